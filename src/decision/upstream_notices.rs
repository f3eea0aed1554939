//! What upstreams say about whether they take requests: that they leave.
//!
//! A notice belongs to one life of the upstream's process. Answers overtake each other,
//! so each has an interval in which the upstream wrote it: from the send of its request
//! to its arrival. That an upstream no longer leaves is believed only if the request was
//! sent clearly after it last said that it does, so no order of answers and reports ends
//! a notice too early.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::crash_suspects::UpstreamLifetime;

/// Upstreams in a table; further ones replace the one that spoke longest ago. More than
/// five times the upstreams of the largest fleet planned for.
const MAX_ENTRIES: usize = 4_096;
/// Time for which what has ended is remembered, so that an older report which arrives late
/// does not bring it back.
const ENDED_RETENTION_MS: i64 = 60_000;
/// Time between the last answer that says that an upstream leaves and the send of the
/// request whose answer ends that; more than reports take between instances.
const END_MARGIN_MS: i64 = 1_000;

/// Why the value of a header is unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidNotice {
    /// The values that an upstream leaves.
    #[error("whether an upstream leaves must be 1 or 0, in all values the same")]
    Leaving,
}

/// Parses the values of all headers of one response that say whether the upstream leaves;
/// an upstream that says nothing does not leave.
///
/// # Errors
/// Returns an error if a value is neither 0 nor 1, or if they differ.
pub fn parse_leaving<'v>(values: impl Iterator<Item = &'v [u8]>) -> Result<bool, InvalidNotice> {
    let mut known = None;
    for value in values {
        let is_leaving = match value.trim_ascii() {
            b"1" => true,
            b"0" => false,
            _ => return Err(InvalidNotice::Leaving),
        };
        if known.is_some_and(|known| known != is_leaving) {
            return Err(InvalidNotice::Leaving);
        }
        known = Some(is_leaving);
    }
    Ok(known.unwrap_or(false))
}

/// What one answer of an upstream said about its leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Whether the upstream leaves.
    pub is_leaving: bool,
    /// When the request was sent, before which the upstream did not write the answer.
    pub sent_ms: u64,
    /// When the answer arrived.
    pub received_ms: u64,
}

/// Effect of a statement or report on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NoticeChange {
    /// The upstream leaves.
    Leaving,
    /// The upstream does not leave any more.
    Staying,
    /// All is as before.
    None,
}

/// What an instance knows of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeReport {
    /// The upstream process.
    pub lifetime: UpstreamLifetime,
    /// Whether it leaves; `None` if it never said so.
    pub leaving: Option<LeavingReport>,
}

/// What an instance knows of the leaving of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// Whether it leaves; false if it did and does not any more.
    pub is_leaving: bool,
    /// Time since the request was sent whose answer says so, in milliseconds.
    pub sent_age_ms: u64,
    /// Time since that answer arrived, in milliseconds.
    pub received_age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Leaving {
    is_leaving: bool,
    sent_ms: i64,
    received_ms: i64,
}

#[derive(Clone, Debug)]
struct Entry {
    started_at_ms: u64,
    leaving: Option<Leaving>,
    changed_at: u64,
}

/// Notices of upstreams by the upstreams' names, as this instance knows them.
#[derive(Clone, Debug, Default)]
pub struct UpstreamNotices {
    by_upstream: HashMap<Arc<str>, Entry>,
    changes: u64,
}

impl UpstreamNotices {
    /// Whether nothing is known of any upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_upstream.is_empty()
    }

    /// Number of upstreams that leave.
    #[must_use]
    pub fn leaving(&self) -> usize {
        let entries = self.by_upstream.values();
        entries.filter(|entry| entry.is_leaving()).count()
    }

    /// Whether an upstream process leaves.
    #[must_use]
    pub fn is_leaving(&self, upstream: &str, started_at_ms: u64) -> bool {
        self.entry(upstream, started_at_ms)
            .is_some_and(Entry::is_leaving)
    }

    /// When an upstream process that leaves last said so; `None` if it does not.
    #[must_use]
    pub fn leaving_confirmed_ms(&self, upstream: &str, started_at_ms: u64) -> Option<u64> {
        let leaving = self.entry(upstream, started_at_ms)?.leaving?;
        leaving.is_leaving.then(|| to_u64(leaving.received_ms))
    }

    /// Names of the upstreams that leave.
    pub fn leaving_upstreams(&self) -> impl Iterator<Item = &Arc<str>> {
        let entries = self.by_upstream.iter();
        entries.filter_map(|(upstream, entry)| entry.is_leaving().then_some(upstream))
    }

    /// Applies what an answer of an upstream says of its leaving.
    pub fn on_statement(
        &mut self,
        lifetime: &UpstreamLifetime,
        statement: Statement,
    ) -> NoticeChange {
        let is_news =
            statement.is_leaving || self.is_leaving(&lifetime.upstream, lifetime.started_at_ms);
        if !is_news {
            return NoticeChange::None;
        }
        let new = Leaving {
            is_leaving: statement.is_leaving,
            sent_ms: to_i64(statement.sent_ms),
            received_ms: to_i64(statement.received_ms),
        };
        self.apply_leaving(lifetime, new)
    }

    /// Applies what another instance knows.
    pub fn merge(&mut self, report: &NoticeReport, now_ms: u64) -> NoticeChange {
        let at = |age_ms| to_i64(now_ms).saturating_sub(to_i64(age_ms));
        let Some(leaving) = report.leaving else {
            return NoticeChange::None;
        };
        let new = Leaving {
            is_leaving: leaving.is_leaving,
            sent_ms: at(leaving.sent_age_ms),
            received_ms: at(leaving.received_age_ms),
        };
        if !new.is_leaving && is_forgotten(new.received_ms, now_ms) {
            return NoticeChange::None;
        }
        self.apply_leaving(&report.lifetime, new)
    }

    fn apply_leaving(&mut self, lifetime: &UpstreamLifetime, new: Leaving) -> NoticeChange {
        let Some(entry) = self.entry_of_process(lifetime) else {
            return NoticeChange::None;
        };
        let before = entry.is_leaving();
        entry.leaving = Some(match entry.leaving {
            None => new,
            Some(known) => known.updated(new),
        });
        let change = match (before, entry.is_leaving()) {
            (false, true) => NoticeChange::Leaving,
            (true, false) => NoticeChange::Staying,
            _ => NoticeChange::None,
        };
        if change != NoticeChange::None {
            self.on_change(&lifetime.upstream);
        }
        change
    }

    /// The entry of a process, which replaces that of an earlier one; `None` if the known
    /// one is later.
    fn entry_of_process(&mut self, lifetime: &UpstreamLifetime) -> Option<&mut Entry> {
        let upstream = &lifetime.upstream;
        let started_at_ms = lifetime.started_at_ms;
        let known_ms = self
            .by_upstream
            .get(upstream)
            .map(|entry| entry.started_at_ms);
        let must_replace = match known_ms {
            None => true,
            Some(known_ms) if is_other_process(known_ms, started_at_ms) => {
                if started_at_ms < known_ms {
                    return None;
                }
                true
            }
            Some(_) => false,
        };
        if must_replace {
            if known_ms.is_none() {
                self.make_room();
            }
            let entry = Entry {
                started_at_ms,
                leaving: None,
                changed_at: 0,
            };
            self.by_upstream.insert(Arc::clone(upstream), entry);
        }
        self.by_upstream.get_mut(upstream)
    }

    fn entry(&self, upstream: &str, started_at_ms: u64) -> Option<&Entry> {
        let entry = self.by_upstream.get(upstream)?;
        (!is_other_process(entry.started_at_ms, started_at_ms)).then_some(entry)
    }

    /// Removes what is no longer needed, and upstreams that `is_present` does not know any
    /// more.
    pub fn expire(&mut self, now_ms: u64, is_present: impl Fn(&str) -> bool) {
        self.by_upstream.retain(|upstream, entry| {
            let may_go = !entry.is_leaving() || !is_present(upstream);
            !(may_go && is_forgotten(entry.heard_ms(), now_ms))
        });
    }

    /// The report on one upstream, if it has ever said something.
    #[must_use]
    pub fn report(&self, upstream: &str, now_ms: u64) -> Option<NoticeReport> {
        let (upstream, entry) = self.by_upstream.get_key_value(upstream)?;
        let age_ms = |at_ms: i64| to_u64(to_i64(now_ms).saturating_sub(at_ms));
        Some(NoticeReport {
            lifetime: UpstreamLifetime {
                upstream: Arc::clone(upstream),
                started_at_ms: entry.started_at_ms,
            },
            leaving: entry.leaving.map(|leaving| LeavingReport {
                is_leaving: leaving.is_leaving,
                sent_age_ms: age_ms(leaving.sent_ms),
                received_age_ms: age_ms(leaving.received_ms),
            }),
        })
    }

    /// The reports that changed after a position, oldest change first and at most
    /// `max_count` of them, and the position after them.
    #[must_use]
    pub fn reports_after(
        &self,
        position: u64,
        max_count: usize,
        now_ms: u64,
    ) -> (Vec<NoticeReport>, u64) {
        let mut changed = Vec::new();
        for (upstream, entry) in &self.by_upstream {
            if entry.changed_at > position {
                changed.push((entry.changed_at, upstream));
            }
        }
        changed.sort_unstable();
        changed.truncate(max_count);
        let next = changed.last().map_or(position, |(at, _)| *at);
        let reports = changed
            .into_iter()
            .filter_map(|(_, upstream)| self.report(upstream, now_ms));
        (reports.collect(), next)
    }

    /// What is known of one upstream, for log lines.
    #[must_use]
    pub fn describe(&self, upstream: &str, now_ms: u64) -> String {
        let Some(entry) = self.by_upstream.get(upstream) else {
            return format!("{upstream} unknown");
        };
        let age_ms = to_i64(now_ms).saturating_sub(entry.heard_ms());
        format!("{upstream} leaving={} age_ms={age_ms}", entry.is_leaving())
    }

    /// A hash of the notices in force, which is the same for instances that know the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut digest = 0_u64;
        for (upstream, entry) in &self.by_upstream {
            if !entry.is_leaving() {
                continue;
            }
            let mut hasher = DefaultHasher::new();
            (upstream, entry.started_at_ms).hash(&mut hasher);
            digest = digest.wrapping_add(hasher.finish());
        }
        digest
    }

    fn make_room(&mut self) {
        if self.by_upstream.len() < MAX_ENTRIES {
            return;
        }
        let entries = self.by_upstream.iter();
        let oldest = entries.min_by_key(|(_, entry)| (entry.is_leaving(), entry.heard_ms()));
        if let Some(upstream) = oldest.map(|(upstream, _)| Arc::clone(upstream)) {
            self.by_upstream.remove(&upstream);
        }
    }

    fn on_change(&mut self, upstream: &str) {
        self.changes += 1;
        if let Some(entry) = self.by_upstream.get_mut(upstream) {
            entry.changed_at = self.changes;
        }
    }
}

impl Entry {
    fn is_leaving(&self) -> bool {
        self.leaving.is_some_and(|leaving| leaving.is_leaving)
    }

    /// When the upstream last said something of importance.
    fn heard_ms(&self) -> i64 {
        self.leaving.map_or(i64::MIN, |leaving| leaving.received_ms)
    }
}

impl Leaving {
    /// This, with what the same process said before or after it.
    fn updated(self, new: Self) -> Self {
        match (self.is_leaving, new.is_leaving) {
            (true, true) => Self {
                is_leaving: true,
                sent_ms: self.sent_ms.max(new.sent_ms),
                received_ms: self.received_ms.max(new.received_ms),
            },
            (true, false) => {
                if new.sent_ms >= self.received_ms.saturating_add(END_MARGIN_MS) {
                    new
                } else {
                    self
                }
            }
            (false, true) => {
                if self.sent_ms >= new.received_ms.saturating_add(END_MARGIN_MS) {
                    self
                } else {
                    new
                }
            }
            (false, false) if new.sent_ms > self.sent_ms => new,
            (false, false) => self,
        }
    }
}

/// Whether two starts, in Unix milliseconds and 0 if unknown, are of two processes.
fn is_other_process(known_ms: u64, other_ms: u64) -> bool {
    known_ms != 0 && other_ms != 0 && known_ms != other_ms
}

fn is_forgotten(at_ms: i64, now_ms: u64) -> bool {
    to_i64(now_ms).saturating_sub(at_ms) > ENDED_RETENTION_MS
}

fn to_i64(time_ms: u64) -> i64 {
    i64::try_from(time_ms).unwrap_or(i64::MAX)
}

fn to_u64(time_ms: i64) -> u64 {
    u64::try_from(time_ms).unwrap_or(0)
}

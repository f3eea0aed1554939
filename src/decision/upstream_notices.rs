//! What upstreams say about whether they take requests: that they leave, or want none for
//! a time.
//!
//! A notice belongs to one life of the upstream's process. Answers overtake each other,
//! so each has an interval in which the upstream wrote it: from the send of its request
//! to its arrival. That an upstream no longer leaves is believed only if the request was
//! sent clearly after it last said that it does, so no order of answers and reports ends
//! a notice too early. Of several times in which an upstream wants nothing, the one that
//! ends last counts.

mod entry;
mod report;

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use self::entry::{Entry, KnownSilence, Leaving};
use super::crash_suspects::UpstreamLifetime;
use super::exchanged_reports::{changed_after, entry_to_replace, is_other_process, to_i64, to_u64};
use super::notice_headers::MAX_SILENCE_MS;

pub use self::report::{LeavingReport, NoticeReport, SilenceReport};

/// Upstreams in a table; further ones replace the one that spoke longest ago. More than
/// five times the upstreams of the largest fleet planned for.
const MAX_ENTRIES: usize = 4_096;
/// Time for which what has ended is remembered, so that an older report which arrives late
/// does not bring it back.
const ENDED_RETENTION_MS: i64 = 60_000;
/// Shortest extension of a time in which an upstream wants nothing that other instances are
/// told of, in milliseconds; the answers to requests in flight together each extend it a
/// little.
const MIN_EXTENSION_MS: i64 = 100;

/// That an upstream wants nothing for a time, as its answer said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Names this answer among all.
    pub id: u64,
    /// For how long, in milliseconds.
    pub for_ms: u64,
    /// When the answer arrived.
    pub received_ms: u64,
    /// How much later this instance returns, in milliseconds, so that not all do at once.
    pub return_delay_ms: u64,
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
    /// The upstream wants nothing for a time.
    Silence,
    /// All is as before.
    None,
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

    /// Number of upstreams that want nothing now.
    #[must_use]
    pub fn quiet(&self, now_ms: u64) -> usize {
        let entries = self.by_upstream.values();
        entries.filter(|entry| entry.is_quiet(now_ms)).count()
    }

    /// Whether a notice of any upstream is in force.
    #[must_use]
    pub fn has_any(&self, now_ms: u64) -> bool {
        let mut entries = self.by_upstream.values();
        entries.any(|entry| entry.is_leaving() || entry.is_quiet(now_ms))
    }

    /// Time until this instance may send to an upstream process that wants nothing, in
    /// milliseconds; 0 if it may now.
    #[must_use]
    pub fn silence_left_ms(&self, upstream: &str, started_at_ms: u64, now_ms: u64) -> u64 {
        let entry = self.entry(upstream, started_at_ms);
        entry.map_or(0, |entry| entry.silence_left_ms(now_ms))
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

    /// Applies that an upstream wants nothing for a time.
    pub fn on_silence(&mut self, lifetime: &UpstreamLifetime, silence: Silence) -> NoticeChange {
        if silence.for_ms == 0 {
            return NoticeChange::None;
        }
        let received_ms = to_i64(silence.received_ms);
        let until_ms = received_ms.saturating_add(to_i64(silence.for_ms.min(MAX_SILENCE_MS)));
        let new = KnownSilence {
            id: silence.id,
            received_ms,
            until_ms,
            told_until_ms: until_ms,
            return_delay_ms: silence.return_delay_ms,
        };
        self.apply_silence(lifetime, new)
    }

    /// Applies what another instance knows of the time in which an upstream wants nothing;
    /// this one returns `return_delay_ms` later.
    pub fn merge_silence(
        &mut self,
        report: &NoticeReport,
        return_delay_ms: u64,
        now_ms: u64,
    ) -> NoticeChange {
        let Some(silence) = report.silence.filter(|silence| silence.left_ms > 0) else {
            return NoticeChange::None;
        };
        let left_ms = to_i64(silence.left_ms.min(MAX_SILENCE_MS));
        let until_ms = to_i64(now_ms).saturating_add(left_ms);
        let new = KnownSilence {
            id: silence.id,
            received_ms: to_i64(now_ms).saturating_sub(to_i64(silence.age_ms)),
            until_ms,
            told_until_ms: until_ms,
            return_delay_ms,
        };
        self.apply_silence(&report.lifetime, new)
    }

    fn apply_silence(&mut self, lifetime: &UpstreamLifetime, new: KnownSilence) -> NoticeChange {
        let Some(entry) = self.entry_of_process(lifetime) else {
            return NoticeChange::None;
        };
        if let Some(known) = &mut entry.silence {
            // What comes back by another instance has aged on the way.
            if known.id == new.id || known.until_ms >= new.until_ms {
                return NoticeChange::None;
            }
            if new.until_ms < known.told_until_ms.saturating_add(MIN_EXTENSION_MS) {
                known.until_ms = new.until_ms;
                return NoticeChange::None;
            }
        }
        entry.silence = Some(new);
        self.on_change(&lifetime.upstream);
        NoticeChange::Silence
    }

    /// Applies what another instance knows of the leaving of an upstream.
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
                silence: None,
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
            silence: entry.silence.and_then(|silence| {
                let left_ms = to_u64(silence.until_ms.saturating_sub(to_i64(now_ms)));
                (left_ms > 0).then(|| SilenceReport {
                    id: silence.id,
                    age_ms: age_ms(silence.received_ms),
                    left_ms,
                })
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
        let entries = self.by_upstream.iter();
        let entries = entries.map(|(upstream, entry)| (entry.changed_at, upstream));
        let (changed, next) = changed_after(entries, position, max_count);
        let reports = changed
            .into_iter()
            .filter_map(|upstream| self.report(upstream, now_ms));
        (reports.collect(), next)
    }

    /// What is known of one upstream, for log lines.
    #[must_use]
    pub fn describe(&self, upstream: &str, now_ms: u64) -> String {
        let Some(entry) = self.by_upstream.get(upstream) else {
            return format!("{upstream} unknown");
        };
        let age_ms = to_i64(now_ms).saturating_sub(entry.heard_ms());
        let left_ms = entry.silence_left_ms(now_ms);
        format!(
            "{upstream} leaving={} quiet_for_ms={left_ms} age_ms={age_ms}",
            entry.is_leaving()
        )
    }

    /// A hash of the notices in force, which is the same for instances that know the same.
    #[must_use]
    pub fn digest(&self, now_ms: u64) -> u64 {
        let mut digest = 0_u64;
        for (upstream, entry) in &self.by_upstream {
            let silence = entry.silence.filter(|_| entry.is_quiet(now_ms));
            let silence_id = silence.map(|silence| silence.id);
            if !entry.is_leaving() && silence_id.is_none() {
                continue;
            }
            let mut hasher = DefaultHasher::new();
            let facts = (entry.started_at_ms, entry.is_leaving(), silence_id);
            (upstream, facts).hash(&mut hasher);
            digest = digest.wrapping_add(hasher.finish());
        }
        digest
    }

    fn make_room(&mut self) {
        let entries = self.by_upstream.iter();
        let ranks =
            entries.map(|(upstream, entry)| (upstream, (entry.is_leaving(), entry.heard_ms())));
        let oldest = entry_to_replace(self.by_upstream.len(), MAX_ENTRIES, ranks);
        if let Some(upstream) = oldest {
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

fn is_forgotten(at_ms: i64, now_ms: u64) -> bool {
    to_i64(now_ms).saturating_sub(at_ms) > ENDED_RETENTION_MS
}

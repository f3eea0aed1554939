//! What upstreams say about the rate of requests that they take from the whole fleet.
//!
//! A limit holds until an answer without one is known to be newer. Answers overtake
//! each other, so each has an interval in which the upstream wrote it: from the send of
//! its request to its arrival. Where the intervals of two answers overlap, the stricter
//! answer holds, so no order of answers and reports ends a limit too early.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::crash_suspects::UpstreamLifetime;
use super::exchanged_reports::{changed_after, entry_to_replace, is_other_process, to_i64, to_u64};

/// Limits above this rate are ignored: no upstream runs as many requests.
const MAX_LIMIT_PER_S: f64 = 1_000.0;
/// Upstreams in a table; further ones replace the one that spoke longest ago.
const MAX_ENTRIES: usize = 4_096;
/// Time for which the end of a limit is remembered, so that an older report which
/// arrives late does not bring the limit back.
const LIFTED_RETENTION_MS: i64 = 60_000;

/// Why the value of a limit header is unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a limit must be a decimal number of requests per second, 0 or more")]
pub struct InvalidLimit;

/// Parses the values of all limit headers of one response and returns the lowest valid
/// one; `None` if there is no header.
///
/// # Errors
/// Returns an error if there are values but none is valid.
pub fn parse_limits<'v>(
    values: impl Iterator<Item = &'v [u8]>,
) -> Result<Option<f64>, InvalidLimit> {
    let mut lowest: Option<f64> = None;
    let mut has_values = false;
    for value in values {
        has_values = true;
        let Ok(text) = std::str::from_utf8(value) else {
            continue;
        };
        for part in text.split(',') {
            if let Some(per_s) = parse_limit(part.trim()) {
                lowest = Some(lowest.map_or(per_s, |known| known.min(per_s)));
            }
        }
    }
    if has_values && lowest.is_none() {
        return Err(InvalidLimit);
    }
    Ok(lowest)
}

fn parse_limit(text: &str) -> Option<f64> {
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let per_s: f64 = text.parse().ok()?;
    (is_decimal && per_s.is_finite()).then_some(per_s)
}

/// What one answer of an upstream said about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// The limit in requests per second; `None` if the answer named none.
    pub per_s: Option<f64>,
    /// When the request was sent, before which the upstream did not write the answer.
    pub sent_ms: u64,
    /// When the answer arrived.
    pub received_ms: u64,
    /// Whether it was the answer to a probe.
    pub is_probe: bool,
}

/// Effect of a statement or report on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum LimitChange {
    /// The upstream was not limited before.
    Named,
    /// The limit has another rate.
    Changed,
    /// The upstream is not limited any more.
    Lifted,
    /// The limit is as before.
    None,
}

/// A limit in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests per second that the upstream takes from the whole fleet.
    pub per_s: f64,
    /// When it was first named, on the clock of this process.
    pub since_ms: u64,
    /// When it was last confirmed.
    pub confirmed_ms: u64,
}

/// What an instance knows of one upstream's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The upstream process.
    pub lifetime: UpstreamLifetime,
    /// The limit in requests per second; `None` once it is lifted.
    pub per_s: Option<f64>,
    /// Whether answers to probes have named a limit.
    pub is_named_in_probes: bool,
    /// Whether answers to requests have named a limit.
    pub is_named_in_answers: bool,
    /// Time since the limit was first named, in milliseconds.
    pub since_age_ms: u64,
    /// Time since the request was sent whose answer says so.
    pub sent_age_ms: u64,
    /// Time since that answer arrived.
    pub received_age_ms: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    started_at_ms: u64,
    per_s: Option<f64>,
    is_named_in_probes: bool,
    is_named_in_answers: bool,
    since_ms: i64,
    sent_ms: i64,
    received_ms: i64,
    changed_at: u64,
}

/// Limits of upstreams by the upstreams' names, as this instance knows them.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    by_upstream: HashMap<Arc<str>, Entry>,
    changes: u64,
}

impl RateLimits {
    /// Whether no upstream is known to be or have been limited.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_upstream.is_empty()
    }

    /// Number of upstreams with a limit in force.
    #[must_use]
    pub fn limited(&self) -> usize {
        let entries = self.by_upstream.values();
        entries.filter(|entry| entry.per_s.is_some()).count()
    }

    /// The limit in force of an upstream process, if there is one.
    #[must_use]
    pub fn limit(&self, upstream: &str, started_at_ms: u64) -> Option<RateLimit> {
        let entry = self.by_upstream.get(upstream)?;
        if is_other_process(entry.started_at_ms, started_at_ms) {
            return None;
        }
        Some(RateLimit {
            per_s: entry.per_s?,
            since_ms: to_u64(entry.since_ms),
            confirmed_ms: to_u64(entry.received_ms),
        })
    }

    /// Applies what an answer of an upstream says.
    pub fn on_statement(
        &mut self,
        lifetime: &UpstreamLifetime,
        statement: Statement,
    ) -> LimitChange {
        let per_s = statement.per_s.filter(|per_s| *per_s <= MAX_LIMIT_PER_S);
        let known = self.by_upstream.get(&lifetime.upstream);
        if per_s.is_none() {
            let is_known_to_be_limited = known.is_some_and(|entry| {
                entry.per_s.is_some()
                    && !is_other_process(entry.started_at_ms, lifetime.started_at_ms)
                    && entry.is_named_in(statement.is_probe)
            });
            if !is_known_to_be_limited {
                return LimitChange::None;
            }
        }
        self.apply(
            &lifetime.upstream,
            Entry {
                started_at_ms: lifetime.started_at_ms,
                per_s,
                is_named_in_probes: statement.is_probe && per_s.is_some(),
                is_named_in_answers: !statement.is_probe && per_s.is_some(),
                since_ms: to_i64(statement.received_ms),
                sent_ms: to_i64(statement.sent_ms),
                received_ms: to_i64(statement.received_ms),
                changed_at: 0,
            },
        )
    }

    /// Applies what another instance knows.
    pub fn merge(&mut self, report: &LimitReport, now_ms: u64) -> LimitChange {
        let at = |age_ms| to_i64(now_ms).saturating_sub(to_i64(age_ms));
        let received_ms = at(report.received_age_ms);
        if report.per_s.is_none() && is_forgotten(received_ms, now_ms) {
            return LimitChange::None;
        }
        self.apply(
            &report.lifetime.upstream,
            Entry {
                started_at_ms: report.lifetime.started_at_ms,
                per_s: report.per_s,
                is_named_in_probes: report.is_named_in_probes,
                is_named_in_answers: report.is_named_in_answers,
                since_ms: at(report.since_age_ms),
                sent_ms: at(report.sent_age_ms),
                received_ms,
                changed_at: 0,
            },
        )
    }

    fn apply(&mut self, upstream: &Arc<str>, new: Entry) -> LimitChange {
        let Some(known) = self.by_upstream.get_mut(upstream) else {
            let change = if new.per_s.is_some() {
                LimitChange::Named
            } else {
                LimitChange::None
            };
            self.make_room();
            self.by_upstream.insert(Arc::clone(upstream), new);
            self.on_change(upstream);
            return change;
        };
        let before = if is_other_process(known.started_at_ms, new.started_at_ms) {
            if new.started_at_ms < known.started_at_ms {
                return LimitChange::None;
            }
            *known = Entry {
                per_s: None,
                ..new.clone()
            };
            None
        } else {
            known.per_s
        };
        known.update(&new);
        let after = known.per_s;
        let change = match (before, after) {
            (None, Some(_)) => {
                known.since_ms = new.since_ms;
                LimitChange::Named
            }
            (Some(_), None) => LimitChange::Lifted,
            #[expect(clippy::float_cmp, reason = "both are values that an upstream named")]
            (Some(before), Some(after)) if before != after => LimitChange::Changed,
            _ => LimitChange::None,
        };
        if change != LimitChange::None {
            self.on_change(upstream);
        }
        change
    }

    /// Removes ends of limits that are no longer needed, and upstreams that
    /// `is_present` does not know any more.
    pub fn expire(&mut self, now_ms: u64, is_present: impl Fn(&str) -> bool) {
        self.by_upstream.retain(|upstream, entry| {
            let may_go = entry.per_s.is_none() || !is_present(upstream);
            !(may_go && is_forgotten(entry.received_ms, now_ms))
        });
    }

    /// The report on one upstream, if it is or was limited.
    #[must_use]
    pub fn report(&self, upstream: &str, now_ms: u64) -> Option<LimitReport> {
        let (upstream, entry) = self.by_upstream.get_key_value(upstream)?;
        let age_ms = |at_ms: i64| to_u64(to_i64(now_ms).saturating_sub(at_ms));
        Some(LimitReport {
            lifetime: UpstreamLifetime {
                upstream: Arc::clone(upstream),
                started_at_ms: entry.started_at_ms,
            },
            per_s: entry.per_s,
            is_named_in_probes: entry.is_named_in_probes,
            is_named_in_answers: entry.is_named_in_answers,
            since_age_ms: age_ms(entry.since_ms),
            sent_age_ms: age_ms(entry.sent_ms),
            received_age_ms: age_ms(entry.received_ms),
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
    ) -> (Vec<LimitReport>, u64) {
        let entries = self.by_upstream.iter();
        let entries = entries.map(|(upstream, entry)| (entry.changed_at, upstream));
        let (changed, next) = changed_after(entries, position, max_count);
        let reports = changed
            .into_iter()
            .filter_map(|upstream| self.report(upstream, now_ms));
        (reports.collect(), next)
    }

    /// Names of the upstreams with a limit in force.
    pub fn limited_upstreams(&self) -> impl Iterator<Item = &Arc<str>> {
        let entries = self.by_upstream.iter();
        entries.filter_map(|(upstream, entry)| entry.per_s.is_some().then_some(upstream))
    }

    /// Whether a probe would show that the limit of an upstream is lifted.
    #[must_use]
    pub fn is_named_in_probes(&self, upstream: &str) -> bool {
        let entry = self.by_upstream.get(upstream);
        entry.is_some_and(|entry| entry.is_named_in_probes)
    }

    /// A hash of the limits in force, which is the same for instances that know the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut digest = 0_u64;
        for (upstream, entry) in &self.by_upstream {
            let Some(per_s) = entry.per_s else {
                continue;
            };
            let mut hasher = DefaultHasher::new();
            (upstream, entry.started_at_ms, per_s.to_bits()).hash(&mut hasher);
            digest = digest.wrapping_add(hasher.finish());
        }
        digest
    }

    fn make_room(&mut self) {
        let entries = self.by_upstream.iter();
        let ranks =
            entries.map(|(upstream, entry)| (upstream, (entry.per_s.is_some(), entry.received_ms)));
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

impl Entry {
    /// Whether answers of this kind name limits, so that one without a limit ends it.
    fn is_named_in(&self, is_probe: bool) -> bool {
        if is_probe {
            self.is_named_in_probes
        } else {
            self.is_named_in_answers
        }
    }

    /// Applies what the same process said, before or after this.
    fn update(&mut self, new: &Self) {
        self.is_named_in_probes |= new.is_named_in_probes;
        self.is_named_in_answers |= new.is_named_in_answers;
        if new.sent_ms >= self.received_ms {
            self.say(new);
            return;
        }
        if self.sent_ms >= new.received_ms {
            return;
        }
        let is_stricter = match (self.per_s, new.per_s) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(known), Some(new)) => new < known,
        };
        if is_stricter {
            self.say(new);
        } else if self.per_s == new.per_s && new.received_ms > self.received_ms {
            self.sent_ms = new.sent_ms;
            self.received_ms = new.received_ms;
        }
    }

    fn say(&mut self, new: &Self) {
        self.per_s = new.per_s;
        self.sent_ms = new.sent_ms;
        self.received_ms = self.received_ms.max(new.received_ms);
    }
}

fn is_forgotten(received_ms: i64, now_ms: u64) -> bool {
    to_i64(now_ms).saturating_sub(received_ms) > LIFTED_RETENTION_MS
}

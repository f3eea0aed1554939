//! The promises, checked from what callers, upstreams and operators saw.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use crate::caller::DEADLINE_MS;
use crate::ledger::{End, Run, Sent};
use crate::world::{Disturbance, SERVICES, Version, World};

/// Time after the last fault until everything must be served again.
pub const SETTLE: Duration = Duration::from_secs(9);
/// Time in which it is checked that everything is served again.
pub const CALM: Duration = Duration::from_secs(3);
/// Requests in a hundred in that time that must be answered.
const CALM_SERVED_PERCENT: usize = 95;
/// Time after a disturbance until a gateway counts as in touch again.
const IN_TOUCH_AFTER_MS: u64 = 3_000;
/// Bounds of the platform, after the store's acknowledgement.
const DRAIN_MS: u64 = 2_500;
const OUT_MS: u64 = 5_000;
const VERSION_MS: u64 = 2_500;
/// Time beyond the deadline by which the final answer must be there.
const LATE_MS: u64 = 500;
/// Requests a second that a cold upstream may get: 1.5 times 4, and 5.
const COLD_MAX: usize = 11;
/// Time for which a caller that left may find its request still at work.
const GONE_MS: u64 = 500;

/// Everything that was seen, by what the checks ask for.
struct Seen {
    sent: Vec<Sent>,
    runs: HashMap<String, Vec<Run>>,
    versions: Vec<Version>,
    disturbances: Vec<Disturbance>,
    broken: Vec<String>,
}

/// Finds the broken promises.
pub fn find(world: &World, calm_from_ms: u64) -> Vec<String> {
    let mut seen = Seen {
        sent: world.ledger.sent().clone(),
        runs: world.ledger.runs_by_id(),
        versions: world.versions(),
        disturbances: world.disturbances(),
        broken: world.broken(),
    };
    for number in 0..seen.sent.len() {
        let sent = seen.sent[number].clone();
        let runs = seen.runs.get(&sent.id).cloned().unwrap_or_default();
        seen.check_runs(&sent, &runs);
        seen.check_end(&sent, &runs);
        seen.check_answer(&sent, &runs);
        seen.check_version(&sent, &runs);
        seen.check_places(world, &sent, &runs);
    }
    seen.check_unasked();
    seen.check_cold(world);
    seen.check_gone();
    seen.check_calm(calm_from_ms);
    seen.check_lines(world);
    seen.broken
}

/// Ends of requests by status; 0 for those without an answer.
pub fn count_ends(world: &World) -> BTreeMap<u16, usize> {
    let mut ends = BTreeMap::new();
    for sent in world.ledger.sent().iter() {
        *ends.entry(sent.status()).or_default() += 1;
    }
    ends
}

impl Seen {
    fn violate(&mut self, what: &str, sent: &Sent, runs: &[Run]) {
        self.broken.push(format!("{what}: {sent:?}; runs {runs:?}"));
    }

    /// Whether nothing disturbed a gateway in this time, and shortly before.
    fn is_in_touch(&self, gateway: usize, from_ms: u64, until_ms: u64) -> bool {
        !self.disturbances.iter().any(|other| {
            other.gateway.is_none_or(|number| number == gateway)
                && other.from_ms <= until_ms
                && other.until_ms.saturating_add(IN_TOUCH_AFTER_MS) >= from_ms
        })
    }

    fn check_runs(&mut self, sent: &Sent, runs: &[Run]) {
        if !sent.is_idempotent() && runs.len() > 1 {
            self.violate("ran twice", sent, runs);
        }
        let is_refusal = matches!(sent.status(), 408 | 421 | 429 | 503);
        if is_refusal && !sent.is_idempotent() && !runs.is_empty() {
            self.violate("told not run", sent, runs);
        }
        let attempts = if sent.is_idempotent() { 3 } else { 2 };
        if runs.len() > attempts {
            self.violate("ran more often than its route allows", sent, runs);
        }
        let body = if sent.method == "POST" {
            format!("body {}", sent.id)
        } else {
            String::new()
        };
        let request = format!("{} {} {body}", sent.method, sent.target);
        if runs.iter().any(|run| run.request != request) {
            self.violate("changed on its way", sent, runs);
        }
    }

    fn check_end(&mut self, sent: &Sent, runs: &[Run]) {
        let was_killed = self.disturbances.iter().any(|other| {
            other.is_kill
                && other.gateway.is_none_or(|number| number == sent.gateway)
                && other.from_ms <= sent.ended_ms + LATE_MS
                && other.until_ms >= sent.sent_ms
        });
        if sent.end == End::Closed && !runs.is_empty() && !was_killed {
            self.violate("no answer to a request that ran", sent, runs);
        }
        let took_ms = sent.ended_ms - sent.sent_ms;
        let is_late = sent.end == End::Silent || took_ms > DEADLINE_MS + LATE_MS;
        if is_late && self.is_in_touch(sent.gateway, sent.sent_ms, sent.ended_ms) {
            self.violate("no final answer in time", sent, runs);
        }
    }

    fn check_answer(&mut self, sent: &Sent, runs: &[Run]) {
        let End::Answered {
            status,
            body,
            stamp,
            return_after,
        } = &sent.end
        else {
            return;
        };
        let request = format!("{} {} ", sent.method, sent.target);
        let is_own = body.starts_with(&format!("{} {request}", sent.id));
        let is_whole = sent.is_idempotent() || body.ends_with(&format!("body {}", sent.id));
        if *status == 200 && !(is_own && is_whole && !stamp.is_empty()) {
            self.violate("not the whole answer to its own request", sent, runs);
        }
        if *status == 503 && stamp.is_empty() && return_after.parse::<f64>().is_err() {
            self.violate("no time to come back", sent, runs);
        }
        if matches!(*status, 400 | 403 | 413) {
            self.violate("a proper request was denied", sent, runs);
        }
    }

    fn check_version(&mut self, sent: &Sent, runs: &[Run]) {
        if !self.is_in_touch(sent.gateway, sent.sent_ms, sent.ended_ms) {
            return;
        }
        let due_ms = sent.sent_ms.saturating_sub(VERSION_MS);
        let oldest = self
            .versions
            .iter()
            .rfind(|version| version.accepted_ms <= due_ms);
        let Some(oldest) = oldest.copied() else {
            return;
        };
        let added = sent
            .target
            .strip_prefix("/new-")
            .and_then(|rest| rest.split('/').next());
        let added = added
            .and_then(|number| number.parse().ok())
            .unwrap_or(0_u64);
        if sent.status() == 404 && added <= oldest.number {
            self.violate("no route though its version is in force", sent, runs);
        }
        let allowed: HashSet<&str> = if sent.target.starts_with("/move/") {
            let newer = self
                .versions
                .iter()
                .filter(|version| version.number >= oldest.number);
            newer.map(|version| version.moving_service()).collect()
        } else if sent.target.starts_with("/book/") {
            HashSet::from([SERVICES[1]])
        } else {
            HashSet::from([SERVICES[0]])
        };
        if runs.iter().any(|run| !allowed.contains(run.service)) {
            self.violate(
                "ran at a service that no version in force names",
                sent,
                runs,
            );
        }
    }

    fn check_places(&mut self, world: &World, sent: &Sent, runs: &[Run]) {
        for run in runs {
            // What waits at the upstream has arrived before; callers wait so long.
            let arrived_ms = run.at_ms.saturating_sub(DEADLINE_MS);
            if !self.is_in_touch(sent.gateway, arrived_ms, run.at_ms) {
                continue;
            }
            if run
                .leaving_ms
                .is_some_and(|since_ms| arrived_ms > since_ms + DRAIN_MS)
            {
                self.violate("sent to an upstream that leaves", sent, runs);
            }
            let is_out = world.outs().iter().any(|out| {
                out.data_centre == run.data_centre
                    && arrived_ms > out.from_ms + OUT_MS
                    && run.at_ms < out.until_ms
            });
            if is_out {
                self.violate("sent to a data centre that is out", sent, runs);
            }
        }
    }

    fn check_unasked(&mut self) {
        let asked: HashSet<&str> = self.sent.iter().map(|sent| sent.id.as_str()).collect();
        let mut unasked = Vec::new();
        for run in self.runs.values().flatten() {
            if !asked.contains(run.id.as_str()) {
                unasked.push(format!("nobody sent {run:?}"));
            }
        }
        self.broken.extend(unasked);
    }

    fn check_cold(&mut self, world: &World) {
        let mut times: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for run in world.ledger.runs().iter().filter(|run| run.was_cold) {
            times
                .entry(run.upstream.clone())
                .or_default()
                .push(run.at_ms);
        }
        for (upstream, times_ms) in times {
            for window in times_ms.windows(COLD_MAX + 1) {
                if window[COLD_MAX] - window[0] < 1_000 {
                    self.broken
                        .push(format!("{upstream} got {window:?} while it was cold"));
                    break;
                }
            }
        }
    }

    /// Whether upstreams mostly stop the work of callers that left.
    fn check_gone(&mut self) {
        let (mut left, mut at_work) = (0, 0);
        for sent in self.sent.iter().filter(|sent| sent.end == End::Left) {
            if !self.is_in_touch(sent.gateway, sent.sent_ms, sent.ended_ms + GONE_MS) {
                continue;
            }
            let until_ms = sent.ended_ms + GONE_MS;
            let runs = self.runs.get(&sent.id).map_or(&[][..], Vec::as_slice);
            left += 1;
            at_work += usize::from(
                runs.iter()
                    .any(|run| run.ended_ms.is_none_or(|at_ms| at_ms > until_ms)),
            );
        }
        if left >= 8 && at_work * 4 > left {
            self.broken.push(format!(
                "work went on for {at_work} of {left} callers that left"
            ));
        }
    }

    fn check_calm(&mut self, calm_from_ms: u64) {
        let calm: Vec<&Sent> = self
            .sent
            .iter()
            .filter(|sent| sent.sent_ms >= calm_from_ms && sent.end != End::Left)
            .collect();
        let served = calm.iter().filter(|sent| sent.status() == 200).count();
        let unserved: Vec<_> = calm
            .iter()
            .filter(|sent| sent.status() != 200)
            .take(3)
            .collect();
        if served * 100 < CALM_SERVED_PERCENT * calm.len() || calm.is_empty() {
            let text = format!(
                "after all faults {served} of {} served; {unserved:?}",
                calm.len()
            );
            self.broken.push(text);
        }
    }

    /// Whether each failed request can be found in the log of its gateway.
    fn check_lines(&mut self, world: &World) {
        let mut told: Vec<HashSet<String>> = Vec::new();
        for gateway in &world.gateways {
            let text = std::fs::read_to_string(&gateway.log).unwrap_or_default();
            let mut ids = HashSet::new();
            for line in text.lines() {
                let Ok(line) = serde_json::from_str::<serde_json::Value>(line) else {
                    continue;
                };
                if let Some(id) = line["request"].as_str() {
                    ids.insert(id.to_owned());
                }
            }
            told.push(ids);
        }
        let mut untold = Vec::new();
        for sent in &self.sent {
            let is_failed = matches!(sent.status(), 500..);
            let may_be_lost = self.disturbances.iter().any(|other| {
                other.is_kill
                    && other.from_ms + 1_000 >= sent.sent_ms
                    && other.from_ms <= sent.ended_ms + 1_000
            });
            if is_failed && !may_be_lost && !told[sent.gateway].contains(&sent.id) {
                untold.push(format!("no line tells of {sent:?}"));
            }
        }
        self.broken.extend(untold);
    }
}

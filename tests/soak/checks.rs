//! Checks of the guarantees against what callers, upstreams and operators observed.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use crate::crashing;
use crate::env::{Disturbance, SERVICES, TestEnv, Version};
use crate::ledger::{End, Run, SentRequest};

/// Time after the last fault within which the gateways must recover.
pub const RECOVERY_TIME: Duration = Duration::from_secs(9);
/// Length of the phase after the recovery in which requests must succeed again.
pub const STEADY_TIME: Duration = Duration::from_secs(3);
/// Least percentage of requests in the steady phase that must succeed.
const MIN_STEADY_SERVED_PERCENT: usize = 95;
/// Time after the end of a disturbance during which a gateway still counts as
/// disturbed.
const RECONNECT_MS: u64 = 3_000;
/// Bounds that the platform sets on following a drain, an evacuation and a new
/// version, counted from the store's acknowledgement.
const DRAIN_BOUND_MS: u64 = 2_500;
const EVACUATION_BOUND_MS: u64 = 5_000;
const VERSION_BOUND_MS: u64 = 2_500;
/// Time after the deadline by which the caller must have the final answer.
const ANSWER_TOLERANCE_MS: u64 = 500;
/// Requests per second that a cold upstream may get: 1.5 (`cold_factor`) times 4
/// (`warmup-per-s`) plus 5 (`cold_slack`).
const MAX_COLD_REQUESTS_PER_S: usize = 11;
/// Time in which a request must stop running after its caller disconnected.
const CANCEL_BOUND_MS: u64 = 500;

/// Everything that was observed while a seed ran.
struct Observations {
    requests: Vec<SentRequest>,
    runs: HashMap<String, Vec<Run>>,
    versions: Vec<Version>,
    disturbances: Vec<Disturbance>,
    violations: Vec<String>,
}

/// Returns a description of each violated guarantee.
pub fn find_violations(env: &TestEnv, steady_from_ms: u64) -> Vec<String> {
    let mut observed = Observations {
        requests: env.ledger.requests().clone(),
        runs: env.ledger.runs_by_id(),
        versions: env.versions(),
        disturbances: env.disturbances(),
        violations: env.violations(),
    };
    for index in 0..observed.requests.len() {
        let request = observed.requests[index].clone();
        let runs = observed.runs.get(&request.id).cloned().unwrap_or_default();
        observed.check_runs(&request, &runs);
        observed.check_end(&request, &runs);
        observed.check_answer(&request, &runs);
        observed.check_version(&request, &runs);
        observed.check_targets(env, &request, &runs);
    }
    observed.check_unknown_runs();
    observed.check_cold_rate(env);
    observed.check_cancellations();
    observed.check_steady_phase(steady_from_ms);
    observed.check_logs(env);
    observed.violations
}

/// Numbers of requests by status; those without an answer count as status 0.
pub fn count_by_status(env: &TestEnv) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    for request in env.ledger.requests().iter() {
        *counts.entry(request.status()).or_default() += 1;
    }
    counts
}

impl Observations {
    fn add_violation(&mut self, what: &str, request: &SentRequest, runs: &[Run]) {
        self.violations
            .push(format!("{what}: {request:?}; runs {runs:?}"));
    }

    /// Whether nothing disturbed a gateway during this time and the
    /// [`RECONNECT_MS`] before it.
    fn is_undisturbed(&self, gateway: usize, from_ms: u64, until_ms: u64) -> bool {
        !self.disturbances.iter().any(|other| {
            other.gateway.is_none_or(|number| number == gateway)
                && other.from_ms <= until_ms
                && other.until_ms.saturating_add(RECONNECT_MS) >= from_ms
        })
    }

    fn check_runs(&mut self, request: &SentRequest, runs: &[Run]) {
        if !request.is_idempotent() && runs.len() > 1 {
            self.add_violation("non-idempotent request ran more than once", request, runs);
        }
        let is_refusal = matches!(request.status(), 408 | 421 | 429 | 503);
        if is_refusal && !request.is_idempotent() && !runs.is_empty() {
            self.add_violation(
                "request ran, but its status says that it did not",
                request,
                runs,
            );
        }
        let attempts = if request.is_idempotent() { 3 } else { 2 };
        if runs.len() > attempts {
            self.add_violation(
                "request ran more often than the attempts of its route allow",
                request,
                runs,
            );
        }
        let body = if request.method == "POST" {
            format!("body {}", request.id)
        } else {
            String::new()
        };
        let expected = format!("{} {} {body}", request.method, request.target);
        if runs.iter().any(|run| run.request != expected) {
            self.add_violation("request changed on the way to the upstream", request, runs);
        }
    }

    fn check_end(&mut self, request: &SentRequest, runs: &[Run]) {
        let was_killed = self.disturbances.iter().any(|other| {
            other.is_kill
                && other.gateway.is_none_or(|number| number == request.gateway)
                && other.from_ms <= request.ended_ms + ANSWER_TOLERANCE_MS
                && other.until_ms >= request.sent_ms
        });
        if request.end == End::ConnectionClosed && !runs.is_empty() && !was_killed {
            self.add_violation("request ran, but its caller got no answer", request, runs);
        }
        let took_ms = request.ended_ms - request.sent_ms;
        let is_late =
            request.end == End::TimedOut || took_ms > request.deadline_ms + ANSWER_TOLERANCE_MS;
        if is_late && self.is_undisturbed(request.gateway, request.sent_ms, request.ended_ms) {
            self.add_violation(
                "no final answer within the deadline and its tolerance",
                request,
                runs,
            );
        }
    }

    fn check_answer(&mut self, request: &SentRequest, runs: &[Run]) {
        let End::Answered {
            status,
            body,
            server_stamp,
            retry_after,
        } = &request.end
        else {
            return;
        };
        let method_and_target = format!("{} {} ", request.method, request.target);
        let is_own = body.starts_with(&format!("{} {method_and_target}", request.id));
        let is_whole = request.is_idempotent() || body.ends_with(&format!("body {}", request.id));
        if *status == 200 && !(is_own && is_whole && !server_stamp.is_empty()) {
            self.add_violation(
                "answer is incomplete or belongs to another request",
                request,
                runs,
            );
        }
        if *status == 503 && server_stamp.is_empty() && retry_after.parse::<f64>().is_err() {
            self.add_violation(
                "503 of the gateway has no valid retry-after header",
                request,
                runs,
            );
        }
        if matches!(*status, 400 | 403 | 413) {
            self.add_violation("valid request was rejected", request, runs);
        }
    }

    fn check_version(&mut self, request: &SentRequest, runs: &[Run]) {
        if !self.is_undisturbed(request.gateway, request.sent_ms, request.ended_ms) {
            return;
        }
        let due_ms = request.sent_ms.saturating_sub(VERSION_BOUND_MS);
        let oldest = self
            .versions
            .iter()
            .rfind(|version| version.accepted_ms <= due_ms);
        let Some(oldest) = oldest.copied() else {
            return;
        };
        let added = request
            .target
            .strip_prefix("/new-")
            .and_then(|rest| rest.split('/').next());
        let added = added
            .and_then(|number| number.parse().ok())
            .unwrap_or(0_u64);
        if request.status() == 404 && added <= oldest.number {
            self.add_violation(
                "no route found although its version is in force",
                request,
                runs,
            );
        }
        let allowed: HashSet<&str> = if request.target.starts_with("/move/") {
            let newer = self
                .versions
                .iter()
                .filter(|version| version.number >= oldest.number);
            newer.map(|version| version.moving_service()).collect()
        } else if request.target.starts_with("/book/") {
            HashSet::from([SERVICES[1]])
        } else {
            HashSet::from([SERVICES[0]])
        };
        if runs.iter().any(|run| !allowed.contains(run.service)) {
            self.add_violation(
                "request ran at a service that no version in force assigns to its route",
                request,
                runs,
            );
        }
    }

    fn check_targets(&mut self, env: &TestEnv, request: &SentRequest, runs: &[Run]) {
        for run in runs {
            // The request may have queued at the upstream for as long as its caller waits.
            let arrived_ms = run.started_ms.saturating_sub(request.deadline_ms);
            if !self.is_undisturbed(request.gateway, arrived_ms, run.started_ms) {
                continue;
            }
            if run
                .draining_since_ms
                .is_some_and(|since_ms| arrived_ms > since_ms + DRAIN_BOUND_MS)
            {
                self.add_violation("request sent to a draining upstream", request, runs);
            }
            let is_evacuated = env.evacuations().iter().any(|evacuation| {
                evacuation.data_centre == run.data_centre
                    && arrived_ms > evacuation.from_ms + EVACUATION_BOUND_MS
                    && run.started_ms < evacuation.until_ms
            });
            if is_evacuated {
                self.add_violation("request sent to an evacuated data centre", request, runs);
            }
        }
    }

    fn check_unknown_runs(&mut self) {
        let sent_ids: HashSet<&str> = self
            .requests
            .iter()
            .map(|request| request.id.as_str())
            .collect();
        let mut unknown = Vec::new();
        for run in self.runs.values().flatten() {
            let is_known =
                sent_ids.contains(run.id.as_str()) || run.id.starts_with(crashing::ID_PREFIX);
            if !is_known {
                unknown.push(format!("run of a request that no caller sent: {run:?}"));
            }
        }
        self.violations.extend(unknown);
    }

    fn check_cold_rate(&mut self, env: &TestEnv) {
        let mut times: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for run in env.ledger.runs().iter().filter(|run| run.was_cold) {
            times
                .entry(run.upstream.clone())
                .or_default()
                .push(run.started_ms);
        }
        for (upstream, times_ms) in times {
            for window in times_ms.windows(MAX_COLD_REQUESTS_PER_S + 1) {
                if window[MAX_COLD_REQUESTS_PER_S] - window[0] < 1_000 {
                    self.violations.push(format!(
                        "{upstream} got too many requests while cold, at {window:?} ms"
                    ));
                    break;
                }
            }
        }
    }

    /// Checks that requests of callers that disconnected stop running in most
    /// cases: a quarter may run on, and fewer than 8 cases aren't judged.
    fn check_cancellations(&mut self) {
        let (mut cancelled, mut still_running) = (0, 0);
        for request in self
            .requests
            .iter()
            .filter(|request| request.end == End::Cancelled)
        {
            if !self.is_undisturbed(
                request.gateway,
                request.sent_ms,
                request.ended_ms + CANCEL_BOUND_MS,
            ) {
                continue;
            }
            let until_ms = request.ended_ms + CANCEL_BOUND_MS;
            let runs = self.runs.get(&request.id).map_or(&[][..], Vec::as_slice);
            cancelled += 1;
            still_running += usize::from(
                runs.iter()
                    .any(|run| run.ended_ms.is_none_or(|ended_ms| ended_ms > until_ms)),
            );
        }
        if cancelled >= 8 && still_running * 4 > cancelled {
            self.violations.push(format!(
                "{still_running} of {cancelled} requests ran on after their callers disconnected"
            ));
        }
    }

    fn check_steady_phase(&mut self, steady_from_ms: u64) {
        let steady: Vec<&SentRequest> = self
            .requests
            .iter()
            .filter(|request| request.sent_ms >= steady_from_ms && request.end != End::Cancelled)
            .collect();
        let served = steady
            .iter()
            .filter(|request| request.status() == 200)
            .count();
        let unserved: Vec<_> = steady
            .iter()
            .filter(|request| request.status() != 200)
            .take(3)
            .collect();
        if served * 100 < MIN_STEADY_SERVED_PERCENT * steady.len() || steady.is_empty() {
            let text = format!(
                "after the recovery only {served} of {} requests succeeded; failed ones: {unserved:?}",
                steady.len()
            );
            self.violations.push(text);
        }
    }

    /// Checks that the log of the gateway has a line for each request that failed.
    fn check_logs(&mut self, env: &TestEnv) {
        let mut logged: Vec<HashSet<String>> = Vec::new();
        for gateway in &env.gateways {
            let text = std::fs::read_to_string(&gateway.log_file).unwrap_or_default();
            let mut ids = HashSet::new();
            for line in text.lines() {
                let Ok(line) = serde_json::from_str::<serde_json::Value>(line) else {
                    continue;
                };
                if let Some(id) = line["request"].as_str() {
                    ids.insert(id.to_owned());
                }
            }
            logged.push(ids);
        }
        let mut missing = Vec::new();
        for request in &self.requests {
            let is_failed = matches!(request.status(), 500..);
            let may_be_lost = self.disturbances.iter().any(|other| {
                other.is_kill
                    && other.from_ms + 1_000 >= request.sent_ms
                    && other.from_ms <= request.ended_ms + 1_000
            });
            if is_failed && !may_be_lost && !logged[request.gateway].contains(&request.id) {
                missing.push(format!("no log line for {request:?}"));
            }
        }
        self.violations.extend(missing);
    }
}

//! Whether an upstream serves what this instance sends it.

/// Failures in a row after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 2;
/// Share of recent failures above which an upstream is ejected.
const FAILURE_SHARE_TO_EJECT: f64 = 0.3;
/// Weight of the newest outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.2;
/// First time of an ejection; each further one is twice as long.
const EJECTION_MS: u64 = 800;
/// Longest ejection.
const EJECTION_MAX_MS: u64 = 6_400;
/// First pause after a connection was refused; each further one is twice as
/// long.
const REFUSED_PAUSE_MS: u64 = 400;
/// Longest such pause; a crashed upstream is back after some seconds.
const REFUSED_PAUSE_MAX_MS: u64 = 1_600;

/// How a request or probe ended, as far as the upstream's condition goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Evidence {
    /// It answered a request.
    Served,
    /// It failed a request that it had room for.
    Failed,
    /// It turned a request down although it had told of room.
    Shed,
    /// No connection could be opened.
    Unreachable,
}

/// What the outcomes so far say of an upstream.
#[derive(Clone, Debug, Default)]
pub struct EjectionState {
    failures_in_row: u32,
    failure_share: f64,
    ejections: u32,
    refusals: u32,
    ejected_until_ms: u64,
    needs_trial: bool,
    trial_runs: bool,
}

impl EjectionState {
    /// Whether requests may be sent now.
    #[must_use]
    pub fn is_usable(&self, now_ms: u64) -> bool {
        now_ms >= self.ejected_until_ms && !(self.needs_trial && self.trial_runs)
    }

    /// Whether the next request decides about its return.
    #[must_use]
    pub fn needs_trial(&self) -> bool {
        self.needs_trial
    }

    /// Share of recent requests that failed, 0 to 1.
    #[must_use]
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Notes that a request is sent.
    pub fn on_send(&mut self) {
        self.trial_runs = self.needs_trial;
    }

    /// Notes that a request ended without evidence.
    pub fn on_abandoned(&mut self) {
        self.trial_runs = false;
    }

    /// Takes an outcome in; true if it ejects the upstream.
    pub fn on_evidence(&mut self, evidence: Evidence, now_ms: u64) -> bool {
        self.trial_runs = false;
        if evidence != Evidence::Unreachable {
            self.refusals = 0;
        }
        match evidence {
            Evidence::Served => {
                self.failures_in_row = 0;
                self.failure_share *= 1.0 - OUTCOME_WEIGHT;
                if self.needs_trial {
                    self.needs_trial = false;
                    self.failure_share = 0.0;
                }
                if self.failure_share < OUTCOME_WEIGHT / 4.0 {
                    self.ejections = 0;
                }
                false
            }
            Evidence::Failed | Evidence::Shed => self.on_failure(now_ms),
            Evidence::Unreachable => {
                let pause_ms = doubled(REFUSED_PAUSE_MS, self.refusals).min(REFUSED_PAUSE_MAX_MS);
                self.refusals += 1;
                self.ejected_until_ms = self.ejected_until_ms.max(now_ms + pause_ms);
                true
            }
        }
    }

    fn on_failure(&mut self, now_ms: u64) -> bool {
        self.failures_in_row += 1;
        self.failure_share += OUTCOME_WEIGHT * (1.0 - self.failure_share);
        let is_bad = self.needs_trial
            || self.failures_in_row >= FAILURES_TO_EJECT
            || self.failure_share > FAILURE_SHARE_TO_EJECT;
        if !is_bad {
            return false;
        }
        let time_ms = doubled(EJECTION_MS, self.ejections).min(EJECTION_MAX_MS);
        self.ejections += 1;
        self.ejected_until_ms = now_ms + time_ms;
        self.needs_trial = true;
        true
    }
}

/// A time doubled so many times.
fn doubled(time_ms: u64, times: u32) -> u64 {
    time_ms.saturating_mul(1 << times.min(16))
}

//! Outlier ejection: an upstream whose requests fail gets no requests for a
//! while, then one trial request that decides whether it is used again.

/// Failures in a row after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 2;
/// Share of recent failures above which an upstream is ejected.
const FAILURE_SHARE_TO_EJECT: f64 = 0.3;
/// Weight of the newest outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Duration of the first ejection; it doubles with each further one.
const MIN_EJECTION_MS: u64 = 800;
/// Longest duration of an ejection.
const MAX_EJECTION_MS: u64 = 6_400;
/// Pause after the first failure to reach an upstream; it doubles with each
/// further one in a row.
const MIN_UNREACHABLE_PAUSE_MS: u64 = 400;
/// Longest such pause; a crashed upstream is back after a few seconds.
const MAX_UNREACHABLE_PAUSE_MS: u64 = 1_600;

/// Outcome of a request or probe, as it counts for ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Evidence {
    /// The upstream answered a request.
    Served,
    /// The upstream accepted a request or probe and failed it, or did not respond
    /// in time.
    Failed,
    /// The upstream has not answered a request in the expected time, and may be at work on it.
    Overdue,
    /// The upstream rejected a request although it had reported free capacity.
    Shed,
    /// The upstream rejected a request and wants nothing for a time.
    TurnedAway,
    /// The upstream could not be reached: no connection could be opened, or
    /// another upstream responds at its address.
    Unreachable,
}

/// Ejection state of one upstream, as this instance sees it.
#[derive(Clone, Debug, Default)]
pub struct EjectionState {
    failures_in_row: u32,
    failure_share: f64,
    ejections: u32,
    unreachable_in_row: u32,
    ejected_until_ms: u64,
    needs_trial: bool,
    is_trial_in_flight: bool,
    /// Whether all failures since the last served request were refusals and late responses.
    is_alive: bool,
}

impl EjectionState {
    /// Whether the upstream may get a request now.
    #[must_use]
    pub fn is_usable(&self, now_ms: u64) -> bool {
        now_ms >= self.ejected_until_ms && !(self.needs_trial && self.is_trial_in_flight)
    }

    /// Whether the upstream is ejected for nothing but refusals and late responses, so that it
    /// may be tried if there is no other one: a refusal costs a request little, and a service
    /// that has turned slow as a whole still serves.
    #[must_use]
    pub fn is_last_resort(&self, now_ms: u64) -> bool {
        !self.is_usable(now_ms) && self.is_alive
    }

    /// Whether the upstream was ejected and the next request decides if it is
    /// used again.
    #[must_use]
    pub fn needs_trial(&self) -> bool {
        self.needs_trial
    }

    /// Moving average of the share of requests that failed, from 0 to 1.
    #[must_use]
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Records that a request is sent; during a trial no second one follows.
    pub fn on_send(&mut self) {
        self.is_trial_in_flight = self.needs_trial;
    }

    /// Records that a request ended without an outcome, as its caller left.
    pub fn on_abandoned(&mut self) {
        self.is_trial_in_flight = false;
    }

    /// Records an outcome; returns whether it ejects the upstream.
    pub fn on_evidence(&mut self, evidence: Evidence, now_ms: u64) -> bool {
        self.is_trial_in_flight = false;
        if evidence != Evidence::Unreachable {
            self.unreachable_in_row = 0;
        }
        if self.is_alive && evidence == Evidence::Served {
            // It was tried for want of another one.
            self.ejected_until_ms = now_ms;
        }
        self.is_alive = match evidence {
            Evidence::Shed | Evidence::Overdue => self.failures_in_row == 0 || self.is_alive,
            Evidence::TurnedAway => self.is_alive,
            Evidence::Served | Evidence::Failed | Evidence::Unreachable => false,
        };
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
            Evidence::Failed | Evidence::Overdue | Evidence::Shed => self.on_failure(now_ms),
            Evidence::TurnedAway => false,
            Evidence::Unreachable => {
                let pause_ms = backoff_ms(MIN_UNREACHABLE_PAUSE_MS, self.unreachable_in_row)
                    .min(MAX_UNREACHABLE_PAUSE_MS);
                self.unreachable_in_row += 1;
                self.ejected_until_ms = self.ejected_until_ms.max(now_ms + pause_ms);
                true
            }
        }
    }

    fn on_failure(&mut self, now_ms: u64) -> bool {
        self.failures_in_row += 1;
        self.failure_share += OUTCOME_WEIGHT * (1.0 - self.failure_share);
        let must_eject = self.needs_trial
            || self.failures_in_row >= FAILURES_TO_EJECT
            || self.failure_share > FAILURE_SHARE_TO_EJECT;
        if !must_eject {
            return false;
        }
        let ejection_ms = backoff_ms(MIN_EJECTION_MS, self.ejections).min(MAX_EJECTION_MS);
        self.ejections += 1;
        self.ejected_until_ms = now_ms + ejection_ms;
        self.needs_trial = true;
        true
    }
}

/// Exponential backoff: `first_ms` doubled `times` times.
fn backoff_ms(first_ms: u64, times: u32) -> u64 {
    first_ms.saturating_mul(1 << times.min(16))
}

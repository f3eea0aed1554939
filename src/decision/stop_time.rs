//! Which requests may still begin during a planned stop.
//!
//! The pattern: most requests of a stop come while the platform's balancer still sends new
//! connections. A few come later, on connections that were open or whose head was not
//! complete, and the process ends while they run.

/// Time for which a stopping instance still accepts connections, in milliseconds: the
/// balancer checks readiness once a second and needs two failed checks.
const ACCEPT_AFTER_STOP_MS: u64 = 2_700;
/// Part of the stop limit reserved for the exit of the process, in milliseconds.
const STOP_MARGIN_MS: u64 = 300;
/// Time for writing a response that comes at the deadline, in milliseconds.
const RESPONSE_MARGIN_MS: u64 = 100;
/// Multiple of the longest time that a route has needed lately that a request must have: an
/// upstream that turns slow works four times as long.
const LONGEST_FACTOR: f64 = 4.0;

/// The times of a planned stop, on the clock of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTime {
    /// When the stop began, in milliseconds.
    pub began_ms: u64,
    /// Until then connections are accepted, in milliseconds.
    pub accept_until_ms: u64,
    /// The process ends then at the latest, in milliseconds.
    pub end_ms: u64,
}

impl StopTime {
    /// The times of a stop that begins now, `limit_ms` before the process is killed.
    #[must_use]
    pub fn new(now_ms: u64, limit_ms: u64) -> Self {
        Self {
            began_ms: now_ms,
            accept_until_ms: now_ms + ACCEPT_AFTER_STOP_MS.min(limit_ms / 2),
            end_ms: now_ms + limit_ms.saturating_sub(STOP_MARGIN_MS),
        }
    }

    /// Whether a request may be sent to an upstream now: it will have been answered when the
    /// process ends.
    ///
    /// `left_ms` is the time until its deadline. `longest_ms` is what its route has needed
    /// lately at most; it counts only while connections are accepted, since a request that
    /// comes later costs its caller little if it is refused.
    #[must_use]
    pub fn may_send(&self, now_ms: u64, left_ms: u64, longest_ms: Option<f64>) -> bool {
        let last_response_ms = self.end_ms.saturating_sub(RESPONSE_MARGIN_MS);
        if now_ms.saturating_add(left_ms) <= last_response_ms {
            return true;
        }
        let until_last_ms = to_f64(last_response_ms.saturating_sub(now_ms));
        let fits = longest_ms.is_some_and(|longest| longest * LONGEST_FACTOR <= until_last_ms);
        now_ms < self.accept_until_ms && fits
    }
}

fn to_f64(ms: u64) -> f64 {
    u32::try_from(ms).map_or(f64::MAX, f64::from)
}

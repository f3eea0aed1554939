//! When refused callers of limited upstreams may return.
//!
//! All upstreams together take requests at a known rate. Callers that return sooner than
//! that are refused again, so each gets a time of its own.

/// Time over which the permits of this instance are counted.
const COUNTING_TIME_MS: f64 = 2_000.0;
/// Shortest delay that a refused caller is given, in milliseconds.
const MIN_WAIT_MS: f64 = 20.0;

/// Longest time between two callers, in milliseconds; the rate may rise.
const MAX_SPACING_MS: f64 = 10_000.0;

/// A refusal for which a return time is needed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Time until the first permit is expected, in milliseconds.
    pub first_permit_ms: u64,
    /// Permits per second that this instance gets if all instances get the same.
    pub equal_share_per_s: f64,
    /// Longest delay of use to the caller, in milliseconds.
    pub max_wait_ms: u64,
    /// A random number from 0 to 1.
    pub random: f64,
}

/// Return times given out to the callers of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnSchedule {
    next_ms: f64,
    permits: f64,
    counted_ms: u64,
}

impl ReturnSchedule {
    /// Counts a permit that this instance got.
    pub fn on_permit(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.permits += 1.0;
    }

    /// The delay for a refused caller, in milliseconds.
    ///
    /// Callers that find no time of their own within their longest delay return at random
    /// in its second half.
    pub fn wait_ms(&mut self, refusal: Refusal, now_ms: u64) -> u64 {
        self.decay(now_ms);
        let now = to_f64(now_ms);
        let per_s = (self.permits * 1_000.0 / COUNTING_TIME_MS).max(refusal.equal_share_per_s);
        let first = now + to_f64(refusal.first_permit_ms);
        let at = self.next_ms.max(first);
        let max_wait = to_f64(refusal.max_wait_ms);
        let wait = at - now;
        if wait > max_wait {
            let wait = max_wait * (0.5 + 0.5 * refusal.random);
            return to_ms(wait.max(1.0));
        }
        self.next_ms = at + (1_000.0 / per_s).min(MAX_SPACING_MS);
        to_ms(wait.max(MIN_WAIT_MS.min(max_wait)).max(1.0))
    }

    fn decay(&mut self, now_ms: u64) {
        let passed = to_f64(now_ms.saturating_sub(self.counted_ms));
        self.permits *= (-passed / COUNTING_TIME_MS).exp();
        self.counted_ms = self.counted_ms.max(now_ms);
    }
}

fn to_f64(time_ms: u64) -> f64 {
    f64::from(u32::try_from(time_ms).unwrap_or(u32::MAX))
}

fn to_ms(time_ms: f64) -> u64 {
    let time = std::time::Duration::from_secs_f64(time_ms / 1_000.0);
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

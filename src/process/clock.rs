//! Monotonic time, counted from the start of the process.

use std::time::Duration;

use tokio::time::Instant;

/// Measures the time since the start of the process by the runtime's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that reads zero now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start, in microseconds.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        self.us_at(Instant::now())
    }

    /// Returns the time since the start, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_us() / 1000
    }

    /// Returns the time from the start to `instant`, in microseconds; zero if
    /// `instant` is earlier.
    #[must_use]
    pub fn us_at(&self, instant: Instant) -> u64 {
        let elapsed = instant.saturating_duration_since(self.start);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    }
}

/// Returns the instant `remaining_us` microseconds from now.
#[must_use]
pub fn deadline_in_us(remaining_us: u64) -> Instant {
    Instant::now() + Duration::from_micros(remaining_us)
}

/// Returns the time left until a deadline, in microseconds; zero if it passed.
#[must_use]
pub fn remaining_us(deadline: Instant) -> u64 {
    let left = deadline.saturating_duration_since(Instant::now());
    u64::try_from(left.as_micros()).unwrap_or(u64::MAX)
}

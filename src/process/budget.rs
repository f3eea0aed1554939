//! Token buckets that bound measuring and retries.

/// Tokens are counted in thousandths.
const MILLI: u64 = 1000;

/// A bucket that starts empty and fills with time.
///
/// Starting empty keeps a restarted process, or two holders in turn, within
/// the agreed rate: nothing is spent before it has been earned.
#[derive(Clone, Copy, Debug)]
pub struct TimeBudget {
    per_second_milli: u64,
    most_milli: u64,
    held_milli_us: u64,
    filled_us: u64,
}

impl TimeBudget {
    /// A bucket that earns `per_second_milli` thousandths of a token a second
    /// and holds at most `most` tokens.
    #[must_use]
    pub fn new(per_second_milli: u64, most: u64, now_us: u64) -> Self {
        Self {
            per_second_milli,
            most_milli: most * MILLI,
            held_milli_us: 0,
            filled_us: now_us,
        }
    }

    /// Takes a whole token if one has been earned.
    pub fn take(&mut self, now_us: u64) -> bool {
        const MICROS: u64 = 1_000_000;
        let elapsed_us = now_us.saturating_sub(self.filled_us);
        self.filled_us = now_us;
        let earned = elapsed_us.saturating_mul(self.per_second_milli);
        let most = self.most_milli * MICROS;
        self.held_milli_us = self.held_milli_us.saturating_add(earned).min(most);
        let cost = MILLI * MICROS;
        if self.held_milli_us < cost {
            return false;
        }
        self.held_milli_us -= cost;
        true
    }
}

/// Repeated attempts as a share of first attempts.
///
/// Every first attempt earns a fixed part of a token, so that retries add at
/// most that share to the load, whatever fails.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    earned_milli: u64,
    held_milli: u64,
    most_milli: u64,
}

impl RetryBudget {
    /// A budget that earns `earned_milli` thousandths of an attempt per first
    /// attempt, starts with `initial` attempts and holds ten times as many.
    #[must_use]
    pub fn new(earned_milli: u64, initial: u64) -> Self {
        Self {
            earned_milli,
            held_milli: initial * MILLI,
            most_milli: initial * MILLI * 10,
        }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.held_milli = (self.held_milli + self.earned_milli).min(self.most_milli);
    }

    /// Takes one repeated attempt if the budget holds it.
    pub fn take(&mut self) -> bool {
        if self.held_milli < MILLI {
            return false;
        }
        self.held_milli -= MILLI;
        true
    }
}

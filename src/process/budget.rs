//! Token buckets that bound measuring and retries.

/// Tokens are counted in thousandths.
const MILLI: u64 = 1000;

/// A bucket that starts empty and fills with time.
///
/// Starting empty keeps a restarted process, or two holders in turn, within
/// the agreed rate: nothing is spent before it has been earned.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    refill_per_second_milli: u64,
    max_milli: u64,
    tokens_milli_us: u64,
    refilled_us: u64,
}

impl TokenBucket {
    /// A bucket that earns `refill_per_second_milli` thousandths of a token a second
    /// and holds at most `most` tokens.
    #[must_use]
    pub fn new(refill_per_second_milli: u64, most: u64, now_us: u64) -> Self {
        Self {
            refill_per_second_milli,
            max_milli: most * MILLI,
            tokens_milli_us: 0,
            refilled_us: now_us,
        }
    }

    /// Takes a whole token if one has been earned.
    pub fn try_take(&mut self, now_us: u64) -> bool {
        const MICROS_PER_SECOND: u64 = 1_000_000;
        let elapsed_us = now_us.saturating_sub(self.refilled_us);
        self.refilled_us = now_us;
        let earned = elapsed_us.saturating_mul(self.refill_per_second_milli);
        let most = self.max_milli * MICROS_PER_SECOND;
        self.tokens_milli_us = self.tokens_milli_us.saturating_add(earned).min(most);
        let cost = MILLI * MICROS_PER_SECOND;
        if self.tokens_milli_us < cost {
            return false;
        }
        self.tokens_milli_us -= cost;
        true
    }
}

/// Repeated attempts as a share of first attempts.
///
/// Every first attempt earns a fixed part of a token, so that retries add at
/// most that share to the load, whatever fails.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    deposit_milli: u64,
    balance_milli: u64,
    max_milli: u64,
}

impl RetryBudget {
    /// A budget that earns `deposit_milli` thousandths of an attempt per first
    /// attempt, starts with `initial` attempts and holds ten times as many.
    #[must_use]
    pub fn new(deposit_milli: u64, initial: u64) -> Self {
        Self {
            deposit_milli,
            balance_milli: initial * MILLI,
            max_milli: initial * MILLI * 10,
        }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.balance_milli = (self.balance_milli + self.deposit_milli).min(self.max_milli);
    }

    /// Takes one repeated attempt if the budget holds it.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance_milli < MILLI {
            return false;
        }
        self.balance_milli -= MILLI;
        true
    }
}

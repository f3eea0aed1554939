//! Token buckets that limit probes and retries.

/// Tokens and retries are counted in thousandths.
const MILLI: u64 = 1000;

/// A token bucket that starts empty and refills at a fixed rate.
///
/// It starts empty so that a restarted process, or successive holders of a
/// pool, stay within the rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    refill_per_second_milli: u64,
    max_milli: u64,
    /// Thousandths of a token, multiplied by the microseconds of a second so
    /// that short intervals are not rounded away.
    tokens_milli_us: u64,
    refilled_us: u64,
}

impl TokenBucket {
    /// Creates an empty bucket that gains `refill_per_second_milli` thousandths
    /// of a token per second and holds at most `max_tokens` tokens.
    #[must_use]
    pub fn new(refill_per_second_milli: u64, max_tokens: u64, now_us: u64) -> Self {
        Self {
            refill_per_second_milli,
            max_milli: max_tokens * MILLI,
            tokens_milli_us: 0,
            refilled_us: now_us,
        }
    }

    /// Takes a token; returns `false` if there is no whole one.
    pub fn try_take(&mut self, now_us: u64) -> bool {
        const MICROS_PER_SECOND: u64 = 1_000_000;
        let elapsed_us = now_us.saturating_sub(self.refilled_us);
        self.refilled_us = now_us;
        let earned = elapsed_us.saturating_mul(self.refill_per_second_milli);
        let max_milli_us = self.max_milli * MICROS_PER_SECOND;
        self.tokens_milli_us = self
            .tokens_milli_us
            .saturating_add(earned)
            .min(max_milli_us);
        let cost = MILLI * MICROS_PER_SECOND;
        if self.tokens_milli_us < cost {
            return false;
        }
        self.tokens_milli_us -= cost;
        true
    }
}

/// Limits retries to a share of the first attempts.
///
/// Each first attempt deposits a fraction of a retry, so that retries add at
/// most that share to the load even if all attempts fail.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    deposit_milli: u64,
    balance_milli: u64,
    max_milli: u64,
}

impl RetryBudget {
    /// Creates a budget that gains `deposit_milli` thousandths of a retry per
    /// first attempt, starts with `initial` retries and holds at most ten times
    /// as many.
    #[must_use]
    pub fn new(deposit_milli: u64, initial: u64) -> Self {
        Self {
            deposit_milli,
            balance_milli: initial * MILLI,
            max_milli: initial * MILLI * 10,
        }
    }

    /// Adds the share that a first attempt earns.
    pub fn deposit(&mut self) {
        self.balance_milli = (self.balance_milli + self.deposit_milli).min(self.max_milli);
    }

    /// Takes a retry from the budget; returns `false` if there is none.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance_milli < MILLI {
            return false;
        }
        self.balance_milli -= MILLI;
        true
    }
}

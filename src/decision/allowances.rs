//! Allowances of organisations over all instances: the token bucket that the issuer of an
//! organisation keeps, and what one instance holds of it.
//!
//! A token is charged when it leaves the bucket, before its request runs. An instance holds
//! unused tokens for [`CREDIT_MS`] at most and then gives them back, so the requests that run
//! in any time exceed those that the bucket allows by at most that time of its rate.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use super::organisations::Allowance;

/// Time for which an instance may use tokens that it was given ahead of its requests, in
/// milliseconds. Together with [`START_S`] at a change of the issuer, this is half a second of
/// the rate, which the users' check of a 5 s window leaves (a tenth).
pub const CREDIT_MS: u64 = 250;
/// Tokens of a bucket whose issuer is new, in seconds of its rate, and at least.
const START_S: f64 = 0.25;
const MIN_START: f64 = 2.0;
/// Tokens that are not given out ahead of requests, in seconds of the rate.
const RESERVE_S: f64 = 0.35;
/// Part of the tokens above the reserve that one instance is given ahead.
const CREDIT_SHARE: f64 = 0.25;
/// Smallest bucket, in seconds of the rate and in tokens: without any burst, requests that come
/// close together would be refused at a part of the rate.
const MIN_BUCKET_S: f64 = 0.1;
const MIN_BUCKET: f64 = 6.0;
/// Tokens that a bucket holds beyond the burst: half of the 20 requests that the users' check
/// allows. Requests of small organisations come by chance close together, and tokens that
/// instances hold unused are missing in the bucket.
const SLACK: f64 = 10.0;
/// Tokens that buckets smaller than one may hold in all instances together, in seconds of the
/// whole rate, in tokens and in parts of the burst. Hundreds of instances with equal shares would
/// otherwise keep one each; the users' check allows half a second, 20 and a tenth.
const HELD_S: f64 = 0.4;
const HELD: f64 = 15.0;
const HELD_BURST: f64 = 0.1;
/// Such a bucket never holds a second whole token.
const MAX_HELD_PART: f64 = 0.999;
/// Calls a second that an organisation without tokens costs its issuer.
const MAX_DENIALS_PER_S: f64 = 400.0;
/// Bounds of the time for which an instance that was denied tokens does not ask again, and that
/// time for the first ones, in milliseconds.
const MIN_PAUSE_MS: f64 = 10.0;
const MAX_PAUSE_MS: f64 = 250.0;
const FIRST_PAUSE_MS: f64 = 100.0;
/// Part of the way to the right pause that each denial goes, and the time over which denials are
/// averaged, in seconds: the count follows a change of the pause late.
const PAUSE_STEP: f64 = 0.2;
const DENIALS_TIME_S: f64 = 0.5;
/// Longest return time, in milliseconds.
const MAX_RETRY_MS: f64 = 60_000.0;
/// Time without requests after which a bucket is forgotten, in milliseconds.
const FORGET_MS: u64 = 60_000;

/// Whether an organisation's requests need a token of the issuer each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AllowanceMode {
    /// Instances are given tokens ahead of their requests.
    Open,
    /// Each request waits for a token.
    Metered,
}

/// What one instance needs of an organisation's allowance, and what it has left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Requests that wait for a token.
    pub waiting: u32,
    /// Requests since the last report that used tokens given ahead.
    pub used: u32,
    /// Requests since the last report that were refused.
    pub refused: u32,
    /// Tokens that were not used and are given back.
    pub returned: u32,
}

impl Demand {
    /// Whether there is nothing to report.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The issuer's answer to a [`Demand`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settled {
    /// Tokens, first for the requests that wait; the rest may be used within [`CREDIT_MS`].
    pub granted: u32,
    /// Whether tokens are given ahead.
    pub mode: AllowanceMode,
    /// Time until the bucket has a token for the first request that got none.
    pub retry_ms: u64,
    /// Time for which the instance is not to ask again if it got less than it needs.
    pub pause_ms: u64,
}

#[derive(Clone, Debug)]
struct Bucket {
    tokens: f64,
    per_s: f64,
    updated_ms: u64,
    /// Requests that were denied a token and told when to return; falls at the rate.
    promised: f64,
    /// Moving average of denials a second.
    denials_per_s: f64,
    /// Time for which instances that were denied tokens do not ask again.
    denied_pause_ms: f64,
}

impl Bucket {
    fn new(phase: f64, organisation: &str, allowance: Allowance, share: f64, now_ms: u64) -> Self {
        let per_s = allowance.per_s * share;
        let size = size(allowance, share);
        let mut hasher = DefaultHasher::new();
        organisation.hash(&mut hasher);
        let position = hasher.finish() % 1_024;
        let phase = (phase + f64::from(u32::try_from(position).unwrap_or(0)) / 1_024.0).fract();
        Self {
            tokens: if size >= 1.0 {
                ((START_S * allowance.per_s).max(MIN_START) * share).min(size)
            } else {
                phase
            },
            per_s,
            updated_ms: now_ms,
            promised: 0.0,
            denials_per_s: 0.0,
            denied_pause_ms: FIRST_PAUSE_MS,
        }
    }

    fn refill(&mut self, allowance: Allowance, share: f64, now_ms: u64) {
        let per_s = allowance.per_s * share;
        let elapsed_s = seconds(now_ms.saturating_sub(self.updated_ms));
        let earned = self.per_s.min(per_s) * elapsed_s;
        self.updated_ms = now_ms;
        self.per_s = per_s;
        self.tokens += earned;
        self.promised = (self.promised - earned).max(0.0);
        self.denials_per_s *= (-elapsed_s / DENIALS_TIME_S).exp();
        let size = size(allowance, share);
        if size >= 1.0 {
            self.tokens = self.tokens.min(size);
        } else if self.tokens >= 1.0 {
            let held = HELD_S * allowance.per_s + HELD + HELD_BURST * allowance.burst;
            if self.tokens >= 1.0 + (held * share).min(MAX_HELD_PART) {
                self.tokens = self.tokens.fract();
            }
        }
    }

    /// Counts an instance that needs more than it got; returns the time for which it is not to
    /// ask again. It grows with the number of such instances.
    fn deny(&mut self) -> u64 {
        if self.denials_per_s < 1.0 {
            self.denied_pause_ms = FIRST_PAUSE_MS;
        }
        self.denials_per_s += 1.0 / DENIALS_TIME_S;
        let instances = self.denials_per_s * self.denied_pause_ms / 1_000.0;
        let right_ms = (instances * 1_000.0 / MAX_DENIALS_PER_S).clamp(MIN_PAUSE_MS, MAX_PAUSE_MS);
        self.denied_pause_ms += PAUSE_STEP * (right_ms - self.denied_pause_ms);
        milliseconds(self.denied_pause_ms)
    }
}

fn size(allowance: Allowance, share: f64) -> f64 {
    let least = MIN_BUCKET + MIN_BUCKET_S * allowance.per_s;
    (allowance.burst.max(least) + SLACK) * share
}

/// Buckets of the organisations whose tokens one instance gives out.
#[derive(Clone, Debug)]
pub struct AllowanceIssuer {
    buckets: HashMap<Arc<str>, Bucket>,
    /// Number from 0 to 1 by which instances with small shares get whole tokens at different
    /// times.
    phase: f64,
}

impl AllowanceIssuer {
    /// Creates an issuer without buckets; `phase` is a random number from 0 to 1.
    #[must_use]
    pub fn new(phase: f64) -> Self {
        Self {
            buckets: HashMap::new(),
            phase,
        }
    }

    /// Takes back what an instance did not use, and gives it what it needs of its share of an
    /// allowance; `share` is the part of the allowance that this issuer may give out.
    pub fn settle(
        &mut self,
        organisation: &Arc<str>,
        allowance: Allowance,
        demand: Demand,
        share: f64,
        now_ms: u64,
    ) -> Settled {
        let phase = self.phase;
        let bucket = self
            .buckets
            .entry(Arc::clone(organisation))
            .or_insert_with(|| Bucket::new(phase, organisation, allowance, share, now_ms));
        bucket.tokens += f64::from(demand.returned);
        bucket.refill(allowance, share, now_ms);
        let for_waiting = whole(bucket.tokens).min(demand.waiting);
        bucket.tokens -= f64::from(for_waiting);
        let denied = demand.waiting - for_waiting;
        let reserve = RESERVE_S * bucket.per_s;
        let is_open = denied == 0 && bucket.tokens > reserve + f64::from(demand.used);
        let (wanted, left) = if is_open {
            let seen = demand.used.saturating_add(demand.waiting.saturating_sub(1));
            let wanted = seen.saturating_mul(2).saturating_add(demand.refused);
            (wanted, bucket.tokens - reserve)
        } else {
            (demand.used.saturating_add(demand.refused), bucket.tokens)
        };
        let ahead = whole(CREDIT_SHARE * left).min(wanted);
        bucket.tokens -= f64::from(ahead);
        let is_short = !is_open && (denied > 0 || wanted > ahead);
        let pause_ms = if is_short { bucket.deny() } else { 0 };
        let retry_ms = wait_ms(bucket, 1.0);
        bucket.promised = (bucket.promised + f64::from(denied)).min(bucket.per_s.max(1.0));
        Settled {
            granted: for_waiting + ahead,
            mode: if is_open {
                AllowanceMode::Open
            } else {
                AllowanceMode::Metered
            },
            retry_ms,
            pause_ms,
        }
    }

    /// Forgets buckets that nobody has used for some time.
    pub fn expire(&mut self, now_ms: u64) {
        self.buckets
            .retain(|_, bucket| now_ms.saturating_sub(bucket.updated_ms) < FORGET_MS);
    }

    /// Number of organisations with a bucket.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether there are no buckets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}

/// What an instance does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It holds a token.
    Admitted,
    /// The issuer is to be asked for one.
    Ask,
    /// There is none.
    Refused {
        /// Time until the bucket has a token.
        retry_ms: u64,
    },
}

/// What one instance knows of an organisation's allowance.
#[derive(Clone, Debug, Default)]
pub struct AllowanceUse {
    credit: u32,
    credit_until_ms: u64,
    paused_until_ms: u64,
    retry_at_ms: u64,
    unreported: Demand,
}

impl AllowanceUse {
    /// Decides on a request.
    pub fn admit(&mut self, now_ms: u64) -> Admission {
        self.drop_old_credit(now_ms);
        if self.credit > 0 {
            self.credit -= 1;
            self.unreported.used += 1;
            return Admission::Admitted;
        }
        if now_ms >= self.paused_until_ms {
            return Admission::Ask;
        }
        Admission::Refused {
            retry_ms: self.refuse(now_ms),
        }
    }

    /// Counts a refused request; returns the time until the bucket has a token.
    pub fn refuse(&mut self, now_ms: u64) -> u64 {
        self.unreported.refused = self.unreported.refused.saturating_add(1);
        self.retry_at_ms.saturating_sub(now_ms).max(1)
    }

    /// Takes back the token of a request that did not run.
    pub fn give_back(&mut self) {
        self.unreported.returned = self.unreported.returned.saturating_add(1);
    }

    /// Takes what is to be reported, with `waiting` requests that need a token.
    pub fn report(&mut self, waiting: u32, now_ms: u64) -> Demand {
        self.drop_old_credit(now_ms);
        let demand = Demand {
            waiting,
            ..self.unreported
        };
        self.unreported = Demand::default();
        demand
    }

    /// Whether something is to be reported although no request waits.
    #[must_use]
    pub fn is_report_due(&mut self, now_ms: u64) -> bool {
        self.drop_old_credit(now_ms);
        self.unreported.used > 0 || self.unreported.returned > 0
    }

    /// Applies the answer to a report that was sent at `asked_ms`; returns how many of the
    /// requests that wait have a token.
    pub fn on_settled(
        &mut self,
        settled: Settled,
        waiting: u32,
        asked_ms: u64,
        now_ms: u64,
    ) -> u32 {
        self.unreported.returned += self.credit;
        let served = settled.granted.min(waiting);
        self.credit = settled.granted - served;
        self.credit_until_ms = asked_ms + CREDIT_MS;
        self.paused_until_ms = now_ms + settled.pause_ms;
        self.retry_at_ms = now_ms + settled.retry_ms;
        self.drop_old_credit(now_ms);
        served
    }

    /// Tokens that may be used now without asking.
    #[must_use]
    pub fn credit(&self) -> u32 {
        self.credit
    }

    fn drop_old_credit(&mut self, now_ms: u64) {
        if now_ms >= self.credit_until_ms {
            self.unreported.returned += self.credit;
            self.credit = 0;
        }
    }
}

fn wait_ms(bucket: &Bucket, tokens: f64) -> u64 {
    let missing = (tokens + bucket.promised - bucket.tokens).max(0.0);
    let wait_ms = missing / bucket.per_s.max(f64::MIN_POSITIVE) * 1_000.0;
    milliseconds(wait_ms.min(MAX_RETRY_MS)).max(1)
}

fn seconds(time_ms: u64) -> f64 {
    std::time::Duration::from_millis(time_ms).as_secs_f64()
}

fn milliseconds(time_ms: f64) -> u64 {
    let time = std::time::Duration::try_from_secs_f64(time_ms / 1_000.0).unwrap_or_default();
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// The whole tokens of a bucket.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and tokens below zero count as none"
)]
fn whole(tokens: f64) -> u32 {
    tokens as u32
}

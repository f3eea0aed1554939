//! Permits to send to upstreams that limit the rate of their requests.
//!
//! One instance gives out all permits of an upstream, from a token bucket at the rate that
//! the upstream names, so the limit holds however many instances send. It also knows how
//! many permitted requests are running, and gives out no more than the upstream has slots,
//! since a permitted request is sent without a probe.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Requests that may follow each other at once after a pause. The users allow 5 in 4 s
/// beyond one and a half times the rate.
const MIN_BURST: f64 = 2.0;
/// Addition to the burst for each request per second of the limit, since more requests
/// arrive at random while a permit is on its way.
const BURST_TIME_S: f64 = 0.125;
/// Largest burst.
const MAX_BURST: f64 = 4.5;
/// Burst of a deputy: the principal's burst may come at the same time.
const DEPUTY_BURST: f64 = 1.0;
/// Tokens that must remain for more urgent requests, for each lower priority.
const RESERVE_PER_PRIORITY: f64 = 0.2;
/// Lowest priority with a reserve of its own.
pub const MAX_PRIORITY: u8 = 3;
/// Rate at which an upstream is tried whose limit is 0 or nearly so; otherwise the end of
/// the limit would not be noticed.
const MIN_PER_S: f64 = 0.05;
/// Delay after which a permit is asked for again that was denied because the upstream's
/// slots are in use; a typical request takes longer.
const BUSY_RETRY_MS: u64 = 50;
/// Longest delay after which a permit is asked for again, as the limit may change.
const MAX_RETRY_MS: f64 = 2_000.0;
/// Share of the slots up to which a limit that is used up keeps them busy; a limit above
/// that hardly binds.
const MAX_BINDING_SLOT_SHARE: f64 = 0.75;
/// Weight of the newest request in the mean time for which permits are held.
const MEAN_WEIGHT: f64 = 0.2;
/// Time after which a bucket that nobody asks is forgotten.
const RETENTION_MS: u64 = 60_000;

/// Asks for the permit of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Start of its process, in Unix milliseconds.
    pub started_at_ms: u64,
    /// Names this permit; asking again with the same one takes no second token.
    pub token: u64,
    /// Time after which the permit counts as returned, in milliseconds.
    pub lifetime_ms: u64,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    /// Priority of the request; 0 is the highest.
    pub priority: u8,
    /// Whether no upstream without a limit has room for the request.
    pub is_last_resort: bool,
}

/// The rate at which this instance may give out the permits of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IssuingRate {
    /// Permits per second.
    pub per_s: f64,
    /// Whether another instance may be giving out permits, too.
    pub is_deputy: bool,
}

impl IssuingRate {
    fn per_ms(self) -> f64 {
        self.per_s.max(MIN_PER_S) / 1_000.0
    }

    fn burst(self) -> f64 {
        if self.is_deputy {
            return DEPUTY_BURST;
        }
        (MIN_BURST + BURST_TIME_S * self.per_s).min(MAX_BURST)
    }
}

/// Answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitDecision {
    /// One request may be sent.
    Granted,
    /// The rate is used up.
    UsedUp {
        /// Time until the next permit for this priority, in milliseconds.
        retry_ms: u64,
    },
    /// All slots that may be used are in use.
    Busy {
        /// Time after which to ask again, in milliseconds.
        retry_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Held {
    token: u64,
    granted_ms: u64,
    expires_at_ms: u64,
}

#[derive(Clone, Debug)]
struct Bucket {
    started_at_ms: u64,
    tokens: f64,
    refilled_ms: u64,
    held: Vec<Held>,
    mean_held_ms: f64,
}

/// Buckets of the upstreams whose permits this instance gives out.
#[derive(Clone, Debug, Default)]
pub struct SendPermits {
    buckets: HashMap<Arc<str>, Bucket>,
}

impl SendPermits {
    /// Number of upstreams whose permits this instance gives out.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether this instance gives out no permits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Gives out a permit, or says when to ask again.
    ///
    /// The first bucket of an upstream process starts empty: what it got before is not
    /// known here.
    pub fn acquire(
        &mut self,
        request: &PermitRequest,
        rate: IssuingRate,
        now_ms: u64,
    ) -> PermitDecision {
        let bucket = self.refilled(&request.upstream, request.started_at_ms, rate, now_ms);
        bucket.held.retain(|held| held.expires_at_ms > now_ms);
        if bucket.held.iter().any(|held| held.token == request.token) {
            return PermitDecision::Granted;
        }
        let reserve = RESERVE_PER_PRIORITY * f64::from(request.priority.min(MAX_PRIORITY));
        let needed = (1.0 + reserve).min(rate.burst());
        if bucket.tokens < needed {
            let wait_ms = ((needed - bucket.tokens) / rate.per_ms()).min(MAX_RETRY_MS);
            return PermitDecision::UsedUp {
                retry_ms: to_ms(wait_ms).max(1),
            };
        }
        if bucket.held.len() >= bucket.usable_slots(request, rate) {
            return PermitDecision::Busy {
                retry_ms: BUSY_RETRY_MS,
            };
        }
        bucket.tokens -= 1.0;
        bucket.held.push(Held {
            token: request.token,
            granted_ms: now_ms,
            expires_at_ms: now_ms.saturating_add(request.lifetime_ms),
        });
        PermitDecision::Granted
    }

    /// Takes a permit back. One that was not used may be given out again.
    pub fn release(&mut self, upstream: &str, token: u64, is_used: bool, now_ms: u64) {
        let Some(bucket) = self.buckets.get_mut(upstream) else {
            return;
        };
        let Some(position) = bucket.held.iter().position(|held| held.token == token) else {
            return;
        };
        let held = bucket.held.swap_remove(position);
        if is_used {
            let held_ms = now_ms.saturating_sub(held.granted_ms);
            let newest = f64::from(u32::try_from(held_ms).unwrap_or(u32::MAX));
            bucket.mean_held_ms += MEAN_WEIGHT * (newest - bucket.mean_held_ms);
        } else {
            bucket.tokens += 1.0;
        }
    }

    /// Takes a token for a probe, even if there is none left.
    pub fn spend(
        &mut self,
        upstream: &Arc<str>,
        started_at_ms: u64,
        rate: IssuingRate,
        now_ms: u64,
    ) {
        self.refilled(upstream, started_at_ms, rate, now_ms).tokens -= 1.0;
    }

    /// Forgets buckets that nobody has asked for a while.
    pub fn expire(&mut self, now_ms: u64) {
        self.buckets
            .retain(|_, bucket| now_ms < bucket.refilled_ms.saturating_add(RETENTION_MS));
    }

    fn refilled(
        &mut self,
        upstream: &Arc<str>,
        started_at_ms: u64,
        rate: IssuingRate,
        now_ms: u64,
    ) -> &mut Bucket {
        let new = || Bucket {
            started_at_ms,
            tokens: 0.0,
            refilled_ms: now_ms,
            held: Vec::new(),
            mean_held_ms: 0.0,
        };
        let bucket = self.buckets.entry(Arc::clone(upstream)).or_insert_with(new);
        if bucket.started_at_ms != started_at_ms {
            *bucket = new();
        }
        let passed_ms = now_ms.saturating_sub(bucket.refilled_ms);
        let gained = f64::from(u32::try_from(passed_ms).unwrap_or(u32::MAX)) * rate.per_ms();
        bucket.tokens = (bucket.tokens + gained).min(rate.burst());
        bucket.refilled_ms = bucket.refilled_ms.max(now_ms);
        bucket
    }
}

impl Bucket {
    /// Half of the slots, as for an upstream that counts as idle, unless the limit is what
    /// binds or no other upstream has room.
    fn usable_slots(&self, request: &PermitRequest, rate: IssuingRate) -> usize {
        let slots = request.slots.max(1);
        let slots_in_use = rate.per_ms() * self.mean_held_ms;
        let is_binding = slots_in_use <= MAX_BINDING_SLOT_SHARE * f64::from(slots);
        let usable = if request.is_last_resort || is_binding {
            slots
        } else {
            (slots / 2).max(1)
        };
        usize::try_from(usable).unwrap_or(usize::MAX)
    }
}

fn to_ms(time_ms: f64) -> u64 {
    let time = std::time::Duration::from_secs_f64(time_ms / 1_000.0);
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

//! Token bucket that limits how often an instance probes the upstreams of a
//! service for their load.

use std::collections::HashMap;
use std::sync::Arc;

/// Share of the allowed rate that is used; the rest covers instances whose
/// membership views differ.
const USED_SHARE: f64 = 0.9;
/// Capacity of a bucket, as the seconds in which it fills up.
const BURST_S: f64 = 4.0;
/// Share of the capacity that first probes leave for each more urgent priority.
const KEPT_SHARE_PER_PRIORITY: f64 = 0.05;
/// Lowest priority that is told apart.
const MAX_PRIORITY: u8 = 3;
/// Share of the capacity that all other probes leave for first ones: a request gains the
/// most from its first reading.
const KEPT_SHARE_FOR_FIRST: f64 = 0.3;

/// Limit of the whole fleet on probes of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeLimit {
    /// Probes per second that one upstream may get from the whole fleet.
    pub per_upstream_s: f64,
    /// Number of upstreams of the service.
    pub upstreams: usize,
    /// Number of instances in the fleet; they share the limit equally.
    pub instances: usize,
}

impl ProbeLimit {
    /// Probes per second of one instance.
    fn per_s(self) -> f64 {
        USED_SHARE * self.per_upstream_s * to_f64(self.upstreams) / to_f64(self.instances.max(1))
    }
}

/// What probes are for; it decides how much of the budget they leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbePurpose {
    /// The first reading of a request of this priority; 0 is the highest.
    First(u8),
    /// Further readings, or new ones while the request waits for capacity.
    Further,
}

impl ProbePurpose {
    /// Share of the capacity that has to be left.
    fn kept_share(self) -> f64 {
        match self {
            Self::First(priority) => {
                KEPT_SHARE_PER_PRIORITY * f64::from(priority.min(MAX_PRIORITY))
            }
            Self::Further => KEPT_SHARE_FOR_FIRST,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Below 0 after probes that are never withheld.
    tokens: f64,
    capacity: f64,
    refilled_ms: u64,
}

/// Token buckets of this instance, by service.
#[derive(Debug, Default)]
pub struct ProbeBudget {
    buckets: HashMap<Arc<str>, Bucket>,
}

impl ProbeBudget {
    /// Takes up to `wanted` probes from the budget and returns how many may be
    /// sent; 0 if it is used up.
    pub fn acquire_up_to(
        &mut self,
        service: &Arc<str>,
        limit: ProbeLimit,
        purpose: ProbePurpose,
        wanted: usize,
        now_ms: u64,
    ) -> usize {
        let bucket = self.refill(service, limit, now_ms);
        let kept = purpose.kept_share() * bucket.capacity;
        let mut acquired = 0;
        while acquired < wanted && bucket.tokens - kept >= 1.0 {
            bucket.tokens -= 1.0;
            acquired += 1;
        }
        acquired
    }

    /// Counts a probe that is sent in any case, such as a check of the links; those of
    /// requests make up for it later.
    ///
    /// The debt ends at the capacity, so that requests get probes again soon after many checks.
    pub fn charge(&mut self, service: &Arc<str>, limit: ProbeLimit, now_ms: u64) {
        let bucket = self.refill(service, limit, now_ms);
        bucket.tokens = (bucket.tokens - 1.0).max(-bucket.capacity);
    }

    fn refill(&mut self, service: &Arc<str>, limit: ProbeLimit, now_ms: u64) -> &mut Bucket {
        let per_s = limit.per_s();
        // With less than one token no probe would ever be sent.
        let capacity = if per_s > 0.0 {
            (per_s * BURST_S).max(1.0 / (1.0 - KEPT_SHARE_FOR_FIRST))
        } else {
            0.0
        };
        let bucket = self.buckets.entry(Arc::clone(service)).or_insert(Bucket {
            tokens: capacity,
            capacity,
            refilled_ms: now_ms,
        });
        let elapsed_ms = now_ms.saturating_sub(bucket.refilled_ms);
        let elapsed_ms = f64::from(u32::try_from(elapsed_ms).unwrap_or(u32::MAX));
        bucket.tokens = (bucket.tokens + elapsed_ms * per_s / 1_000.0).min(capacity);
        bucket.capacity = capacity;
        bucket.refilled_ms = now_ms;
        bucket
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

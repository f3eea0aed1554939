//! Token bucket that limits how often an instance probes the upstreams of a
//! service for their load.

use std::collections::HashMap;
use std::sync::Arc;

/// Share of the allowed rate that is used; the rest covers instances whose
/// membership views differ.
const USED_SHARE: f64 = 0.9;
/// Capacity of a bucket, as the seconds in which it fills up.
const BURST_S: f64 = 4.0;

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

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled_ms: u64,
}

/// Token buckets of this instance, by service.
#[derive(Debug, Default)]
pub struct ProbeBudget {
    buckets: HashMap<Arc<str>, Bucket>,
}

impl ProbeBudget {
    /// Takes up to `wanted` probes from the budget and returns how many may be
    /// sent.
    ///
    /// One probe is always allowed, as no request is sent without a probe.
    pub fn acquire_up_to(
        &mut self,
        service: &Arc<str>,
        limit: ProbeLimit,
        wanted: usize,
        now_ms: u64,
    ) -> usize {
        let per_s = USED_SHARE * limit.per_upstream_s * to_f64(limit.upstreams)
            / to_f64(limit.instances.max(1));
        let capacity = per_s * BURST_S;
        let bucket = self.buckets.entry(Arc::clone(service)).or_insert(Bucket {
            tokens: capacity,
            refilled_ms: now_ms,
        });
        let elapsed_ms = now_ms.saturating_sub(bucket.refilled_ms);
        let elapsed_ms = f64::from(u32::try_from(elapsed_ms).unwrap_or(u32::MAX));
        bucket.tokens = (bucket.tokens + elapsed_ms * per_s / 1_000.0).min(capacity);
        bucket.refilled_ms = now_ms;
        let mut acquired = 1;
        bucket.tokens = (bucket.tokens - 1.0).max(0.0);
        while acquired < wanted && bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            acquired += 1;
        }
        acquired
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

//! Bounds the questions for the load of a service's upstreams.

use std::collections::HashMap;
use std::sync::Arc;

/// Part of the agreed rate that is used; the rest covers differing views.
const USED_PART: f64 = 0.9;
/// Time whose worth of probes may be asked at once, in seconds.
const BURST_S: f64 = 4.0;

/// What an instance may ask of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeLimit {
    /// Probes that one upstream may get in a second from the whole fleet.
    pub per_upstream_s: f64,
    /// Upstreams of the service.
    pub upstreams: usize,
    /// Instances of the fleet.
    pub instances: usize,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    held: f64,
    filled_ms: u64,
}

/// Buckets of this instance by service.
#[derive(Debug, Default)]
pub struct ProbeBudget {
    buckets: HashMap<Arc<str>, Bucket>,
}

impl ProbeBudget {
    /// Takes up to `wanted` probes and tells how many may be sent; one always
    /// may, since a request is not sent blindly.
    pub fn acquire_up_to(
        &mut self,
        service: &Arc<str>,
        bound: ProbeLimit,
        wanted: usize,
        now_ms: u64,
    ) -> usize {
        let per_s = USED_PART * bound.per_upstream_s * to_f64(bound.upstreams)
            / to_f64(bound.instances.max(1));
        let most = per_s * BURST_S;
        let bucket = self.buckets.entry(Arc::clone(service)).or_insert(Bucket {
            held: most,
            filled_ms: now_ms,
        });
        let since_ms = now_ms.saturating_sub(bucket.filled_ms);
        let since_ms = f64::from(u32::try_from(since_ms).unwrap_or(u32::MAX));
        bucket.held = (bucket.held + since_ms * per_s / 1_000.0).min(most);
        bucket.filled_ms = now_ms;
        let mut taken = 1;
        bucket.held = (bucket.held - 1.0).max(0.0);
        while taken < wanted && bucket.held >= 1.0 {
            bucket.held -= 1.0;
            taken += 1;
        }
        taken
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

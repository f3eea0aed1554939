//! Rate limit on the requests that the fleet sends to a cold upstream.
//!
//! The limit holds for the whole fleet without coordination: rendezvous hashing
//! over the known instances picks a few senders, and each of them sends at most
//! once per interval. Instances whose membership views differ pick more senders, so
//! their number is chosen such that one request from each of twice as many fits into one
//! second. That keeps the limit up to about 4 requests per second; above it, twice as many
//! senders would exceed it. An instance whose own view lacks it is not registered yet: no
//! other can know it, so it waits.

use std::collections::HashMap;
use std::sync::Arc;

use super::rendezvous::rank;

/// Largest number of instances that send to one cold upstream.
const MAX_SENDERS: usize = 4;
/// Number of instances that send to the slowest cold upstream, so that it still gets
/// requests while one of them has ended or is cut off.
const MIN_SENDERS: usize = 2;

/// Limits what this instance sends to each cold upstream.
#[derive(Debug, Default)]
pub struct ColdLimiter {
    next_at_ms: HashMap<Arc<str>, u64>,
}

/// Limit of the whole fleet on requests to one cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests per second that the upstream can serve while it is cold.
    pub per_s: f64,
    /// Factor on that rate that the fleet must not exceed.
    pub factor: f64,
    /// Requests allowed in any one second on top of that.
    pub slack: f64,
}

impl ColdLimiter {
    /// Whether this instance may send a request to the upstream now; if so, the
    /// next one has to wait for an interval.
    pub fn try_acquire(
        &mut self,
        upstream: &Arc<str>,
        instances: &[Arc<str>],
        me: &Arc<str>,
        limit: ColdLimit,
        now_ms: u64,
    ) -> bool {
        if requests_in_one_second(limit) < 1.0 || !instances.contains(me) {
            return false;
        }
        let senders = senders(limit);
        let others = instances.iter().map(|instance| &**instance);
        if rank(upstream, others, me) >= senders {
            return false;
        }
        if self
            .next_at_ms
            .get(upstream)
            .is_some_and(|next_ms| now_ms < *next_ms)
        {
            return false;
        }
        // Keeps the map small: entries in the past include those of upstreams
        // that are warm by now.
        self.next_at_ms.retain(|_, next_ms| now_ms < *next_ms);
        let next_ms = now_ms + interval_ms(limit, senders);
        self.next_at_ms.insert(Arc::clone(upstream), next_ms);
        true
    }
}

/// Requests that the fleet may send within any second.
fn requests_in_one_second(limit: ColdLimit) -> f64 {
    limit.per_s * limit.factor + limit.slack
}

/// Number of instances that may send to an upstream with this limit.
///
/// The fewest that send at most once per second each: where views differ, more instances
/// send, and each of them then adds one request to a second.
fn senders(limit: ColdLimit) -> usize {
    let most = requests_in_one_second(limit);
    let mut senders = MIN_SENDERS;
    while senders < MAX_SENDERS && f64::from(u32::try_from(senders).unwrap_or(0)) < limit.per_s {
        senders += 1;
    }
    // One request from each of twice as many senders must fit into one second.
    while senders > 1 && f64::from(u32::try_from(2 * senders).unwrap_or(u32::MAX)) > most {
        senders -= 1;
    }
    senders
}

/// Interval between the requests of one sender, in milliseconds.
fn interval_ms(limit: ColdLimit, senders: usize) -> u64 {
    let senders = f64::from(u32::try_from(senders).unwrap_or(1));
    let per_sender = (limit.per_s / senders).max(0.1);
    let interval = std::time::Duration::from_secs_f64(1.0 / per_sender);
    u64::try_from(interval.as_millis()).unwrap_or(u64::MAX)
}

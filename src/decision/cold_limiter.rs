//! Which instances may send to a cold upstream, and how often.
//!
//! The bound on a cold upstream holds over the whole fleet. Instances do not
//! talk about it: rendezvous hashing over the known instances names a few that
//! may send, each at most once in an interval. Where views differ, a few more
//! instances send; the shares are set so that twice as many senders still keep
//! the bound.

use std::collections::HashMap;
use std::sync::Arc;

use super::rendezvous::rank;

/// Most instances that send to one cold upstream.
const SENDERS_MAX: usize = 4;

/// What one instance may send to cold upstreams.
#[derive(Debug, Default)]
pub struct ColdLimiter {
    next_at_ms: HashMap<Arc<str>, u64>,
}

/// The fleet's bound on one cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests a second that the upstream bears.
    pub per_s: f64,
    /// Factor on that within which the fleet must stay.
    pub factor: f64,
    /// Requests beyond that in any one second.
    pub slack: f64,
}

impl ColdLimiter {
    /// Takes the right to send one request, if this instance has it now.
    pub fn try_acquire(
        &mut self,
        upstream: &Arc<str>,
        instances: &[Arc<str>],
        me: &Arc<str>,
        bound: ColdLimit,
        now_ms: u64,
    ) -> bool {
        if in_one_second(bound) < 1.0 {
            return false;
        }
        let senders = senders(bound);
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
        // Bounds the map; entries of warm upstreams are in the past.
        self.next_at_ms.retain(|_, next_ms| now_ms < *next_ms);
        let next_ms = now_ms + interval_ms(bound, senders);
        self.next_at_ms.insert(Arc::clone(upstream), next_ms);
        true
    }
}

/// Requests that the fleet may send within any second.
fn in_one_second(bound: ColdLimit) -> f64 {
    bound.per_s * bound.factor + bound.slack
}

/// Number of instances that may send to an upstream with this bound.
fn senders(bound: ColdLimit) -> usize {
    let most = in_one_second(bound);
    let mut senders = SENDERS_MAX;
    // Twice the senders, each with one request, must fit into one second.
    while senders > 1 && f64::from(u32::try_from(2 * senders).unwrap_or(u32::MAX)) > most {
        senders -= 1;
    }
    senders
}

/// Interval between the requests of one sender.
fn interval_ms(bound: ColdLimit, senders: usize) -> u64 {
    let senders = f64::from(u32::try_from(senders).unwrap_or(1));
    let per_sender = (bound.per_s / senders).max(0.1);
    let interval = std::time::Duration::from_secs_f64(1.0 / per_sender);
    u64::try_from(interval.as_millis()).unwrap_or(u64::MAX)
}

//! Retry budget: limits the sends of a request beyond its first one.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Smallest number of instances that the slack is divided among, so that an
/// instance that does not know the others yet does not use all of it.
const MIN_INSTANCES: usize = 8;
/// Share of the limit that is used; the rest covers instances whose membership
/// views differ.
const USED_SHARE: f64 = 0.7;

/// Limit of the whole fleet on retries for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed in a window on top of that, for the whole fleet.
    pub slack: f64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
}

#[derive(Debug, Default)]
struct Window {
    requests_ms: VecDeque<u64>,
    retries_ms: VecDeque<u64>,
}

/// Requests and retries of this instance in the window, by service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    windows: HashMap<Arc<str>, Window>,
}

impl RetryBudget {
    /// Counts a request for a service.
    pub fn on_request(&mut self, service: &Arc<str>, limit: RetryLimit, now_ms: u64) {
        let window = self.windows.entry(Arc::clone(service)).or_default();
        window.requests_ms.push_back(now_ms);
        window.trim(limit.window_ms, now_ms);
    }

    /// Takes one retry from the budget; false if the share of this instance is
    /// used up.
    pub fn try_acquire(
        &mut self,
        service: &Arc<str>,
        limit: RetryLimit,
        instances: usize,
        now_ms: u64,
    ) -> bool {
        let window = self.windows.entry(Arc::clone(service)).or_default();
        window.trim(limit.window_ms, now_ms);
        let instances = to_f64(instances.max(MIN_INSTANCES));
        let slack = limit.slack / instances;
        let earned = limit.ratio * to_f64(window.requests_ms.len());
        if to_f64(window.retries_ms.len() + 1) > USED_SHARE * (slack + earned) {
            return false;
        }
        window.retries_ms.push_back(now_ms);
        true
    }
}

impl Window {
    fn trim(&mut self, window_ms: u64, now_ms: u64) {
        for times_ms in [&mut self.requests_ms, &mut self.retries_ms] {
            while times_ms
                .front()
                .is_some_and(|at_ms| at_ms + window_ms < now_ms)
            {
                times_ms.pop_front();
            }
        }
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

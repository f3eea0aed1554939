//! Bounds what is sent beyond the first time of each request.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Fewest instances that the fixed part is divided among, so that one that
/// has not met the others yet does not take all of it.
const INSTANCES_MIN: usize = 8;
/// Part of the bound that is used; the rest covers differing views.
const USED_PART: f64 = 0.7;

/// The fleet's bound on repeats for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that in a window, over the whole fleet.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: u64,
}

#[derive(Debug, Default)]
struct Window {
    requests_ms: VecDeque<u64>,
    repeats_ms: VecDeque<u64>,
}

/// Requests and repeats of this instance by service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    windows: HashMap<Arc<str>, Window>,
}

impl RetryBudget {
    /// Counts a request for a service.
    pub fn on_request(&mut self, service: &Arc<str>, bound: RetryLimit, now_ms: u64) {
        let window = self.windows.entry(Arc::clone(service)).or_default();
        window.requests_ms.push_back(now_ms);
        window.trim(bound.window_ms, now_ms);
    }

    /// Takes one repeat, if this instance's share of the bound allows it.
    pub fn try_acquire(
        &mut self,
        service: &Arc<str>,
        bound: RetryLimit,
        instances: usize,
        now_ms: u64,
    ) -> bool {
        let window = self.windows.entry(Arc::clone(service)).or_default();
        window.trim(bound.window_ms, now_ms);
        let instances = to_f64(instances.max(INSTANCES_MIN));
        let fixed = bound.slack / instances;
        let earned = bound.ratio * to_f64(window.requests_ms.len());
        if to_f64(window.repeats_ms.len() + 1) > USED_PART * (fixed + earned) {
            return false;
        }
        window.repeats_ms.push_back(now_ms);
        true
    }
}

impl Window {
    fn trim(&mut self, window_ms: u64, now_ms: u64) {
        for times_ms in [&mut self.requests_ms, &mut self.repeats_ms] {
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

//! Which part of the instances this one reaches, estimated from its last calls to others.
//!
//! Each side of a cut gives out the part of an allowance that it reaches, so that all sides
//! together give out no more than the whole.

use std::collections::VecDeque;
use std::net::SocketAddr;

/// Other instances whose last responses count.
const SAMPLE: usize = 16;
/// Age from which a response no longer counts, in milliseconds.
const MAX_AGE_MS: u64 = 3_000;
/// Least part that is taken for all: single instances end, and are replaced, at any time. The
/// rest stays within the tenth that the users' check leaves.
const WHOLE: f64 = 0.93;
/// Interval between samples that follow a failed call, in milliseconds.
const RESAMPLE_MS: u64 = 500;

/// The last calls to different instances.
#[derive(Clone, Debug, Default)]
pub struct ReachedShare {
    calls: VecDeque<(SocketAddr, u64, bool)>,
    sampled_ms: Option<u64>,
}

impl ReachedShare {
    /// Records a call to another instance; returns whether a sample of others is to be called
    /// now, since this one has not responded.
    pub fn on_call(&mut self, address: SocketAddr, has_responded: bool, now_ms: u64) -> bool {
        self.calls.retain(|(known, _, _)| *known != address);
        self.calls.push_back((address, now_ms, has_responded));
        if self.calls.len() > SAMPLE {
            self.calls.pop_front();
        }
        let is_sampled = self
            .sampled_ms
            .is_some_and(|sampled_ms| now_ms < sampled_ms + RESAMPLE_MS);
        if has_responded || is_sampled {
            return false;
        }
        self.sampled_ms = Some(now_ms);
        true
    }

    /// The part of `instances`, which include this one, that respond; at least an equal share.
    #[must_use]
    pub fn share(&self, instances: usize, now_ms: u64) -> f64 {
        let mut reached = 1_u32;
        let mut called = 1_u32;
        for (_, at_ms, has_responded) in &self.calls {
            if now_ms.saturating_sub(*at_ms) < MAX_AGE_MS {
                called += 1;
                reached += u32::from(*has_responded);
            }
        }
        let equal = equal_share(instances);
        if reached == 1 && called > 1 {
            return equal;
        }
        let share = f64::from(reached) / f64::from(called);
        if share >= WHOLE {
            1.0
        } else {
            share.max(equal)
        }
    }
}

/// The share of one of so many instances.
#[must_use]
pub fn equal_share(instances: usize) -> f64 {
    1.0 / f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX))
}

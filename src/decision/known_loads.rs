//! What an instance knows of the loads of upstreams without a probe: the loads that they told
//! in probes and answers, by age, and its own requests in flight.

use std::collections::HashMap;
use std::sync::Arc;

use super::selection::Load;

/// Age at which a load says nothing more of its upstream: a slow phase of an upstream takes
/// 150 ms, and its requests change within that time.
const MAX_LOAD_AGE_MS: u64 = 150;
/// Age of a service's newest load at which its mean says nothing more.
const MAX_MEAN_AGE_MS: u64 = 1_000;
/// Weight of a new load in the mean of its service.
const MEAN_WEIGHT: f64 = 0.1;

/// Load of one upstream, without the requests of this instance.
#[derive(Clone, Copy, Debug)]
struct OthersLoad {
    requests: f64,
    slots: u32,
    speed_percent: f64,
    told_ms: u64,
}

/// What is known of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownLoad {
    others: Option<OthersLoad>,
    /// Requests of this instance.
    in_flight: u32,
}

impl KnownLoad {
    /// Records that this instance sends a request.
    pub fn on_send(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a request of this instance has ended.
    pub fn on_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the load that the upstream tells.
    pub fn on_load(&mut self, load: &Load, now_ms: u64) {
        let requests = (load.running + load.waiting).saturating_sub(self.in_flight);
        self.others = Some(OthersLoad {
            requests: f64::from(requests),
            slots: load.slots.max(1),
            speed_percent: load.speed_percent,
            told_ms: now_ms,
        });
    }

    /// Age of the newest load in milliseconds; `None` without one.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.others?.told_ms))
    }

    /// The expected load: the one told, which becomes the mean of the service with its age, and
    /// the requests of this instance. `None` if nothing recent is known.
    #[must_use]
    pub fn estimate(&self, mean: Option<&MeanLoad>, now_ms: u64) -> Option<Load> {
        let mean = mean?;
        let told = self.others.unwrap_or(OthersLoad {
            requests: 0.0,
            slots: mean.slots,
            speed_percent: mean.speed_percent,
            told_ms: 0,
        });
        let age_ms = self.age_ms(now_ms).unwrap_or(MAX_LOAD_AGE_MS);
        let weight = 1.0 - to_f64(age_ms.min(MAX_LOAD_AGE_MS)) / to_f64(MAX_LOAD_AGE_MS);
        let blend = |told: f64, mean: f64| weight * told + (1.0 - weight) * mean;
        let others = blend(
            told.requests,
            mean.requests_per_slot * f64::from(told.slots),
        );
        let requests = round(others).saturating_add(self.in_flight);
        Some(Load {
            running: requests.min(told.slots),
            waiting: requests.saturating_sub(told.slots),
            slots: told.slots,
            speed_percent: blend(told.speed_percent, mean.speed_percent),
        })
    }
}

/// Mean load of the upstreams of a service.
#[derive(Clone, Copy, Debug)]
pub struct MeanLoad {
    requests_per_slot: f64,
    slots: u32,
    speed_percent: f64,
    told_ms: u64,
}

/// Mean loads by service.
#[derive(Debug, Default)]
pub struct MeanLoads {
    by_service: HashMap<Arc<str>, MeanLoad>,
}

impl MeanLoads {
    /// Adds the load that an upstream of a service tells.
    pub fn on_load(&mut self, service: &Arc<str>, load: &Load, now_ms: u64) {
        let slots = load.slots.max(1);
        let newest = MeanLoad {
            requests_per_slot: f64::from(load.running + load.waiting) / f64::from(slots),
            slots,
            speed_percent: load.speed_percent,
            told_ms: now_ms,
        };
        let Some(mean) = self.by_service.get_mut(service) else {
            self.by_service.insert(Arc::clone(service), newest);
            return;
        };
        if now_ms.saturating_sub(mean.told_ms) > MAX_MEAN_AGE_MS {
            *mean = newest;
            return;
        }
        let blend = |mean: f64, newest: f64| mean + MEAN_WEIGHT * (newest - mean);
        *mean = MeanLoad {
            requests_per_slot: blend(mean.requests_per_slot, newest.requests_per_slot),
            speed_percent: blend(mean.speed_percent, newest.speed_percent),
            ..newest
        };
    }

    /// The mean load of a service; `None` if no upstream of it has told a load recently.
    #[must_use]
    pub fn get(&self, service: &str, now_ms: u64) -> Option<MeanLoad> {
        let mean = self.by_service.get(service)?;
        (now_ms.saturating_sub(mean.told_ms) <= MAX_MEAN_AGE_MS).then_some(*mean)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts of floating-point numbers saturate, and counts are never negative"
)]
fn round(count: f64) -> u32 {
    count.round() as u32
}

fn to_f64(time_ms: u64) -> f64 {
    f64::from(u32::try_from(time_ms).unwrap_or(u32::MAX))
}

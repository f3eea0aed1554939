//! Chooses a pool of a service for a call at an entry instance.

use std::collections::HashMap;
use std::sync::Arc;

use rand::{Rng, RngExt};

/// Time over which a reported wait decays linearly to zero.
const ESTIMATE_LIFETIME_US: u64 = 50_000;
/// Cost of a round trip to another data centre.
const REMOTE_COST_US: u64 = 1_000;
/// Cost of each call in flight from this instance to a pool.
const IN_FLIGHT_COST_US: u64 = 200;
/// Wait assumed for a pool that just failed; decays like a reported one.
const FAILED_WAIT_US: u64 = 2_000_000;

/// Identifies a pool by service and data centre.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct PoolName {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the data centre.
    pub data_centre: Arc<str>,
}

#[derive(Clone, Copy, Debug, Default)]
struct WaitEstimate {
    wait_us: u64,
    reported_us: u64,
    /// Calls in flight from this instance.
    in_flight: u64,
}

/// Expected waits at the pools, as reported in their responses.
#[derive(Debug, Default)]
pub struct WaitEstimates {
    estimates: HashMap<PoolName, WaitEstimate>,
}

impl WaitEstimates {
    /// Counts a call to a pool as in flight.
    pub fn on_sent(&mut self, pool: &PoolName) {
        self.entry(pool).in_flight += 1;
    }

    /// Records a response of a pool, with its wait for new calls.
    pub fn on_answered(&mut self, now_us: u64, pool: &PoolName, wait_us: u64) {
        let estimate = self.entry(pool);
        estimate.in_flight = estimate.in_flight.saturating_sub(1);
        estimate.wait_us = wait_us;
        estimate.reported_us = now_us;
    }

    /// Records a call that got no response or reached an instance that does not
    /// hold the pool.
    pub fn on_failed(&mut self, now_us: u64, pool: &PoolName) {
        self.on_answered(now_us, pool, FAILED_WAIT_US);
    }

    /// Picks two pools at random and returns the cheaper one for an instance in
    /// data centre `home`.
    ///
    /// The random picks keep entry instances with the same estimates from all
    /// choosing the same pool at once.
    pub fn choose<R: Rng>(
        &self,
        now_us: u64,
        pools: &[PoolName],
        home: &str,
        random: &mut R,
    ) -> Option<PoolName> {
        if pools.is_empty() {
            return None;
        }
        let first = random.random_range(0..pools.len());
        let mut second = first;
        if pools.len() > 1 {
            second = (first + random.random_range(1..pools.len())) % pools.len();
        }
        let first_cost = self.cost_us(now_us, &pools[first], home);
        let second_cost = self.cost_us(now_us, &pools[second], home);
        let chosen = if second_cost < first_cost {
            second
        } else {
            first
        };
        Some(pools[chosen].clone())
    }

    fn cost_us(&self, now_us: u64, pool: &PoolName, home: &str) -> u64 {
        let estimate = self.estimates.get(pool).copied().unwrap_or_default();
        let age_us = now_us
            .saturating_sub(estimate.reported_us)
            .min(ESTIMATE_LIFETIME_US);
        let wait_us = estimate.wait_us * (ESTIMATE_LIFETIME_US - age_us) / ESTIMATE_LIFETIME_US;
        let remote_us = if &*pool.data_centre == home {
            0
        } else {
            REMOTE_COST_US
        };
        wait_us + remote_us + estimate.in_flight * IN_FLIGHT_COST_US
    }

    fn entry(&mut self, pool: &PoolName) -> &mut WaitEstimate {
        if !self.estimates.contains_key(pool) {
            self.estimates.insert(pool.clone(), WaitEstimate::default());
        }
        self.estimates.entry(pool.clone()).or_default()
    }
}

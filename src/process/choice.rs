//! An entry instance's choice among the pools of a service.

use std::collections::HashMap;
use std::sync::Arc;

use rand::{Rng, RngExt};

/// Time in which a hint loses its weight.
const HINT_LIFE_US: u64 = 50_000;
/// Cost of leaving the own data centre and coming back.
const REMOTE_COST_US: u64 = 1_000;
/// Cost of each own call that a pool has not answered yet.
const OUTSTANDING_COST_US: u64 = 200;
/// Cost of a pool that just failed, until its hint has lost its weight.
const FAILED_COST_US: u64 = 2_000_000;

/// Names a pool: service and data centre.
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
struct Hint {
    cost_us: u64,
    told_us: u64,
    outstanding: u64,
}

/// What the answers of pools told of their waits.
#[derive(Debug, Default)]
pub struct Hints {
    hints: HashMap<PoolName, Hint>,
}

impl Hints {
    /// Counts a call sent to a pool.
    pub fn on_sent(&mut self, pool: &PoolName) {
        self.entry(pool).outstanding += 1;
    }

    /// Counts an answer that says how long new calls wait.
    pub fn on_answered(&mut self, now_us: u64, pool: &PoolName, wait_us: u64) {
        let hint = self.entry(pool);
        hint.outstanding = hint.outstanding.saturating_sub(1);
        hint.cost_us = wait_us;
        hint.told_us = now_us;
    }

    /// Counts a call that got no answer from the pool.
    pub fn on_failed(&mut self, now_us: u64, pool: &PoolName) {
        self.on_answered(now_us, pool, FAILED_COST_US);
    }

    /// The cheaper of two pools picked at random.
    ///
    /// Two random picks keep entry instances that heard the same hint from
    /// moving to the same pool at once.
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
        let hint = self.hints.get(pool).copied().unwrap_or_default();
        let age_us = now_us.saturating_sub(hint.told_us).min(HINT_LIFE_US);
        let wait_us = hint.cost_us * (HINT_LIFE_US - age_us) / HINT_LIFE_US;
        let distance_us = if &*pool.data_centre == home {
            0
        } else {
            REMOTE_COST_US
        };
        wait_us + distance_us + hint.outstanding * OUTSTANDING_COST_US
    }

    fn entry(&mut self, pool: &PoolName) -> &mut Hint {
        if !self.hints.contains_key(pool) {
            self.hints.insert(pool.clone(), Hint::default());
        }
        self.hints.entry(pool.clone()).or_default()
    }
}

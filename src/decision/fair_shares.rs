//! Fair shares of a service's short capacity between organisations, as one instance sees them.

use std::collections::HashMap;
use std::sync::Arc;

/// Time constant of the recent demand: bursts of an organisation take 5 to 8 s.
const RECENT_MS: f64 = 2_000.0;
/// Time constant of the usual demand.
const USUAL_MS: f64 = 30_000.0;
/// Multiple of the usual demand above which an organisation's demand is unusual.
const UNUSUAL_FACTOR: f64 = 2.0;
/// Requests of the recent demand that are never unusual: with few requests chance decides.
const MIN_REQUESTS: f64 = 3.0;
/// Largest number of organisations that are remembered of one service.
const MAX_ORGANISATIONS: usize = 10_000;

/// Demand of one organisation, as sums of requests that decay.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    recent: f64,
    usual: f64,
    updated_ms: u64,
}

impl Demand {
    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        let elapsed_ms = f64::from(u32::try_from(elapsed_ms).unwrap_or(u32::MAX));
        self.recent *= (-elapsed_ms / RECENT_MS).exp();
        self.usual *= (-elapsed_ms / USUAL_MS).exp();
        self.updated_ms = now_ms;
    }
}

/// Demand of the organisations of one service.
#[derive(Debug, Default)]
pub struct FairShares {
    demands: HashMap<Arc<str>, Demand>,
    began_ms: Option<u64>,
}

impl FairShares {
    /// Counts a request, without its retries. Returns the share of its organisation's demand
    /// that is usual, from 0 to 1; 1 while the usual demand is not known.
    pub fn on_request(&mut self, organisation: &Arc<str>, now_ms: u64) -> f64 {
        let began_ms = *self.began_ms.get_or_insert(now_ms);
        if self.demands.len() >= MAX_ORGANISATIONS && !self.demands.contains_key(organisation) {
            self.demands.retain(|_, demand| {
                demand.decay(now_ms);
                demand.usual >= 0.1
            });
        }
        let demand = self.demands.entry(Arc::clone(organisation)).or_default();
        demand.decay(now_ms);
        demand.recent += 1.0;
        let known_ms = now_ms.saturating_sub(began_ms);
        let known_ms = f64::from(u32::try_from(known_ms).unwrap_or(u32::MAX));
        if known_ms < USUAL_MS / 2.0 {
            demand.usual += 1.0;
            return 1.0;
        }
        // The sum has not yet reached its final value after a start.
        let filled = 1.0 - (-known_ms / USUAL_MS).exp();
        let usual_recent = demand.usual / filled * RECENT_MS / USUAL_MS;
        let fair = (UNUSUAL_FACTOR * usual_recent).max(MIN_REQUESTS);
        let share = (fair / demand.recent).min(1.0);
        // The excess would make a burst usual before it ends.
        demand.usual += share;
        share
    }
}

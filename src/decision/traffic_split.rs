//! Splits the requests of a route among its targets by their weights.

use std::collections::HashMap;
use std::sync::Arc;

use super::manifest::{Route, Target};

#[derive(Debug)]
struct RoundRobin {
    targets: Vec<Target>,
    credits: Vec<f64>,
}

/// Smooth weighted round robin over the targets of each route.
#[derive(Debug, Default)]
pub struct TrafficSplitter {
    by_route: HashMap<Arc<str>, RoundRobin>,
}

impl TrafficSplitter {
    /// Returns the service for the next request of `route`; `None` if the route
    /// has no targets.
    ///
    /// `phase`, from 0 to 1, sets where the round robin starts, so that instances
    /// with few requests do not all begin with the same target.
    pub fn next(&mut self, route: &Route, phase: f64) -> Option<Arc<str>> {
        if let [only] = &route.targets[..] {
            return Some(Arc::clone(&only.service));
        }
        let round_robin = self
            .by_route
            .entry(Arc::clone(&route.name))
            .or_insert_with(|| RoundRobin::new(&route.targets, phase));
        if round_robin.targets != route.targets {
            *round_robin = RoundRobin::new(&route.targets, phase);
        }
        round_robin.next()
    }
}

impl RoundRobin {
    fn new(targets: &[Target], phase: f64) -> Self {
        let mut round_robin = Self {
            targets: targets.to_vec(),
            credits: vec![0.0; targets.len()],
        };
        let total: f64 = targets.iter().map(|target| target.weight).sum();
        // The initial credits shift the first turn of each target by up to one
        // whole period.
        let mut left = phase * total;
        for (credit, target) in round_robin.credits.iter_mut().zip(targets) {
            let offset = left.min(target.weight);
            *credit = offset - target.weight * phase;
            left -= offset;
        }
        round_robin
    }

    fn next(&mut self) -> Option<Arc<str>> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut best: Option<usize> = None;
        for (index, target) in self.targets.iter().enumerate() {
            self.credits[index] += target.weight;
            if best.is_none_or(|best| self.credits[index] > self.credits[best]) {
                best = Some(index);
            }
        }
        let best = best?;
        self.credits[best] -= total;
        Some(Arc::clone(&self.targets[best].service))
    }
}

//! Spreads the requests of a route over its targets by their weights.

use std::collections::HashMap;
use std::sync::Arc;

use super::manifest::{Route, Target};

#[derive(Debug)]
struct Turn {
    targets: Vec<Target>,
    credits: Vec<f64>,
}

/// Smooth weighted round robin over the targets of each route.
#[derive(Debug, Default)]
pub struct TrafficSplitter {
    turns: HashMap<Arc<str>, Turn>,
}

impl TrafficSplitter {
    /// The service that the next request of `route` goes to.
    ///
    /// `phase`, from 0 to 1, sets where a new turn starts, so that instances
    /// with few requests do not all begin with the same target.
    pub fn next(&mut self, route: &Route, phase: f64) -> Option<Arc<str>> {
        if let [only] = &route.targets[..] {
            return Some(Arc::clone(&only.service));
        }
        let turn = self
            .turns
            .entry(Arc::clone(&route.name))
            .or_insert_with(|| Turn::new(&route.targets, phase));
        if turn.targets != route.targets {
            *turn = Turn::new(&route.targets, phase);
        }
        turn.next()
    }
}

impl Turn {
    fn new(targets: &[Target], phase: f64) -> Self {
        let mut turn = Self {
            targets: targets.to_vec(),
            credits: vec![0.0; targets.len()],
        };
        let total: f64 = targets.iter().map(|target| target.weight).sum();
        // Moves the first choice of each target by up to one whole period.
        let mut left = phase * total;
        for (credit, target) in turn.credits.iter_mut().zip(targets) {
            let taken = left.min(target.weight);
            *credit = taken - target.weight * phase;
            left -= taken;
        }
        turn
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

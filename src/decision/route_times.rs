//! How long the requests of each route take, and how much they transfer.

use std::collections::HashMap;
use std::sync::Arc;

use super::manifest::Route;

/// Fraction of the route's latency objective used as its mean work time before
/// the first response.
const INITIAL_WORK_FRACTION: f64 = 0.35;
/// Weight of the newest response in a route's moving averages.
const MEAN_WEIGHT: f64 = 0.1;
/// Part of the distance to a shorter time that each response takes from the longest time, so
/// that a time counts for about 50 responses.
const LONGEST_DECAY: f64 = 0.02;

/// Moving averages over the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteMeans {
    /// Service time on an idle upstream at its usual speed.
    pub work_ms: f64,
    /// Size of the request's and the response's bodies together.
    pub bytes: f64,
}

/// Measured times of all routes, by name.
#[derive(Debug, Default)]
pub struct RouteTimes {
    means: HashMap<Arc<str>, RouteMeans>,
    longest_ms: HashMap<Arc<str>, f64>,
}

impl RouteTimes {
    /// The moving averages of a route.
    #[must_use]
    pub fn means(&self, route: &Route) -> RouteMeans {
        let objective_ms = u32::try_from(route.objective_ms).unwrap_or(u32::MAX);
        let measured = self.means.get(&route.name).copied();
        measured.unwrap_or(RouteMeans {
            work_ms: INITIAL_WORK_FRACTION * f64::from(objective_ms),
            bytes: 0.0,
        })
    }

    /// Adds a response of a typical upstream to the moving averages of a route.
    pub fn add_typical(&mut self, route: &Route, newest: RouteMeans) {
        let current = self.means(route);
        let updated = RouteMeans {
            work_ms: current.work_ms + MEAN_WEIGHT * (newest.work_ms - current.work_ms),
            bytes: current.bytes + MEAN_WEIGHT * (newest.bytes - current.bytes),
        };
        self.means.insert(Arc::clone(&route.name), updated);
    }

    /// Adds the time of any response.
    pub fn add(&mut self, route: &Route, took_ms: f64) {
        let longest_ms = self.longest_ms.get(&route.name).copied();
        let longest_ms = longest_ms.map_or(took_ms, |longest| {
            took_ms.max(longest - LONGEST_DECAY * (longest - took_ms))
        });
        self.longest_ms.insert(Arc::clone(&route.name), longest_ms);
    }

    /// About the longest time that a request of the route has taken lately, in milliseconds;
    /// `None` before the first one.
    #[must_use]
    pub fn longest_ms(&self, route: &Route) -> Option<f64> {
        self.longest_ms.get(&route.name).copied()
    }
}

//! One version of the routes and services, and which route a request takes.

use std::collections::HashMap;
use std::sync::Arc;

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    pub head_max_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_max_bytes: usize,
    /// Time in which the head of a request must have come.
    pub head_timeout_ms: u64,
    /// Time that a connection may stay without a request.
    pub idle_timeout_ms: u64,
}

/// What all routes to one service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Path that tells the load and health of an upstream.
    pub health_path: Arc<str>,
    /// Requests a second that a cold upstream bears from the whole fleet.
    pub cold_per_s: f64,
}

/// One service of a route with its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share, relative to the other targets.
    pub weight: f64,
}

/// How requests with one host and path prefix are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that requests name, in lower case.
    pub host: Arc<str>,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Where requests go.
    pub targets: Vec<Target>,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Longest time until the final answer.
    pub timeout_ms: u64,
    /// Time in which an answer is of full use to the caller.
    pub objective_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Most upstreams that one request may be sent to.
    pub attempts: u32,
}

/// A whole version, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Manifest {
    /// Version; a greater one replaces a smaller one.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<Arc<str>, ServiceSpec>,
    /// Limits on callers.
    pub limits: CallerLimits,
    routes_by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl Manifest {
    /// A version with these routes.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<Arc<str>, ServiceSpec>,
        limits: CallerLimits,
    ) -> Self {
        let mut routes_by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = Arc::clone(&route.host);
            routes_by_host
                .entry(host)
                .or_default()
                .push(Arc::new(route));
        }
        for routes in routes_by_host.values_mut() {
            // The first prefix that fits is the longest.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            services,
            limits,
            routes_by_host,
        }
    }

    /// The route with the longest prefix of `path` among those of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes_by_host.get(host) {
            Some(routes) => routes,
            None => self.routes_by_host.get(&*host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// All routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes_by_host.values().flatten()
    }
}

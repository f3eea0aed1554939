//! One version of the routes and services, and the lookup of a request's route.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use super::organisations::Organisations;

/// Limits on the connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time in which the head of a request must arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time for which a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Limits that hold where a manifest names none that this build can read.
pub const DEFAULT_CALLER_LIMITS: CallerLimits = CallerLimits {
    max_head_bytes: 16 * 1024,
    max_body_bytes: 64 * 1024,
    head_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

/// A value of a manifest that this build cannot read, and what it does instead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadField {
    /// Kind and name of the object that it belongs to.
    pub object: String,
    /// Name of the field.
    pub field: &'static str,
    /// The value, cut off if it is long; `missing` without one.
    pub value: String,
    /// What this build can read there.
    pub expected: &'static str,
    /// What holds instead.
    pub instead: &'static str,
    /// Line of the manifest's text at which it stands, from 1 on.
    pub line: usize,
}

impl fmt::Display for UnreadField {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            object,
            field,
            value,
            expected,
            instead,
            ..
        } = self;
        write!(
            formatter,
            "{object}: {field} is {value}; use {expected}. Until then, {instead}"
        )
    }
}

/// Properties of a service that apply to all its routes.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Connections that each upstream accepts from all callers together, if it says.
    pub max_connections: Option<u32>,
    /// Path at which upstreams report their load and health.
    pub health_path: Arc<str>,
    /// Requests per second that a cold upstream can serve, from the whole fleet.
    pub cold_per_s: f64,
}

/// A service that a route sends requests to, with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests, relative to the other targets.
    pub weight: f64,
}

/// Handling of the requests with one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique name of the route.
    pub name: Arc<str>,
    /// Host of the requests, in lower case and without a port.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Services that the requests are split among; none if the route is closed.
    pub targets: Vec<Target>,
    /// Whether requests may run more than once.
    pub is_idempotent: bool,
    /// Time limit for the final response, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective in milliseconds: a response within this time is of full
    /// use to the caller.
    pub objective_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Largest number of upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// A validated version of the routes, services and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Manifest {
    /// Version number; a manifest replaces those with a smaller one.
    pub version: u64,
    /// Properties of the services, by name.
    pub services: HashMap<Arc<str>, ServiceSpec>,
    /// Limits that apply to all callers.
    pub limits: CallerLimits,
    /// Values that this build could not read.
    pub unread: Vec<UnreadField>,
    routes_by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
    organisations: Option<Organisations>,
}

impl Manifest {
    /// Creates a manifest and indexes its routes by host.
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
            // Lookups take the first match, which then is the longest prefix.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            services,
            limits,
            unread: Vec::new(),
            routes_by_host,
            organisations: None,
        }
    }

    /// Notes the values that could not be read.
    #[must_use]
    pub fn with_unread(self, unread: Vec<UnreadField>) -> Self {
        Self { unread, ..self }
    }

    /// Sets the organisations that may call.
    #[must_use]
    pub fn with_organisations(self, organisations: Option<Organisations>) -> Self {
        Self {
            organisations,
            ..self
        }
    }

    /// The organisations that may call; `None` if requests need no key.
    #[must_use]
    pub fn organisations(&self) -> Option<&Organisations> {
        self.organisations.as_ref()
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// The host may be in any case and may contain a port.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes_by_host.get(host) {
            Some(routes) => routes,
            None => self.routes_by_host.get(&*host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes_by_host.values().flatten()
    }
}

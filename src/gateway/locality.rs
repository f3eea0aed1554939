//! Decides how much of each service's traffic leaves the data centre, from the loads that
//! upstreams report to this instance.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use rand::RngExt;
use tokio::time::sleep;

use super::settings::TrafficMode;
use super::state::Gateway;
use super::store::Platform;
use crate::decision::locality::loads::{Figures, LoadTable, UpstreamState};
use crate::decision::locality::{Cause, Inputs, RequestCosts, ServiceTraffic, Shares};
use crate::decision::manifest::{Manifest, Route};
use crate::decision::route_times::RouteMeans;
use crate::decision::selection::Load;

/// Shortest and longest time between two decisions, in milliseconds; random, so that the
/// instances do not all decide at the same moment.
const DECISION_INTERVAL_MS: std::ops::Range<u64> = 150..250;
/// Time after which static settings are checked again.
const STATIC_INTERVAL: Duration = Duration::from_secs(1);

/// Known loads, and the shares that were decided from them.
#[derive(Debug, Default)]
pub struct LocalityState {
    loads: Mutex<LoadTable>,
    /// Shares by service; empty while the settings are static.
    shares: ArcSwap<HashMap<Arc<str>, Arc<Shares>>>,
}

impl LocalityState {
    /// The shares of a service; `None` if they are not decided by load.
    #[must_use]
    pub fn shares(&self, service: &str) -> Option<Arc<Shares>> {
        self.shares.load().get(service).cloned()
    }

    fn loads(&self) -> MutexGuard<'_, LoadTable> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<P: Platform> Gateway<P> {
    /// Records the load that an upstream reported.
    pub fn note_load(&self, upstream: &Arc<str>, load: Option<Load>) {
        if let Some(load) = load
            && self.is_traffic_adaptive()
        {
            self.locality.loads().put(upstream, load, self.now_ms());
        }
    }

    /// What the requests of a route cost.
    #[must_use]
    pub fn request_costs(&self, route: &Route, means: RouteMeans) -> RequestCosts {
        RequestCosts {
            bytes: means.bytes,
            work_ms: means.work_ms,
            objective_ms: f64::from(u32::try_from(route.objective_ms).unwrap_or(u32::MAX)),
            prices: self.settings().data_centre_traffic.prices,
        }
    }

    fn is_traffic_adaptive(&self) -> bool {
        self.settings().data_centre_traffic.mode == TrafficMode::Adaptive
    }

    /// What is known of a service's upstreams by data centre, without evacuated ones.
    fn traffic_figures(
        &self,
        service: &str,
        cold_slots: f64,
        now_ms: u64,
    ) -> BTreeMap<Arc<str>, Figures> {
        let upstreams = self.eligible_upstreams(service);
        let mut states = Vec::with_capacity(upstreams.len());
        for upstream in &upstreams {
            let report = &upstream.report;
            let slots = f64::from(report.slots.max(1));
            let is_cold = upstream.cold_until_ms > now_ms;
            let client = self.upstream_clients.get(report);
            let is_usable = client.ejection().is_usable(now_ms);
            states.push(UpstreamState {
                id: &report.id,
                data_centre: &report.data_centre,
                slots: if is_cold {
                    slots.min(cold_slots)
                } else {
                    slots
                },
                is_usable,
            });
        }
        self.locality.loads().figures(states, now_ms)
    }
}

/// Decides at random intervals while the settings are adaptive.
pub async fn run<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut services = HashMap::new();
    loop {
        if gateway.is_traffic_adaptive() {
            decide_all(&gateway, &mut services);
            let interval_ms = rand::rng().random_range(DECISION_INTERVAL_MS);
            sleep(Duration::from_millis(interval_ms)).await;
            continue;
        }
        if !services.is_empty() {
            services.clear();
            gateway.locality.shares.store(Arc::default());
            gateway.metrics.clear_leaving_shares();
        }
        sleep(STATIC_INTERVAL).await;
    }
}

/// Decides the shares of all services of the version in force.
fn decide_all<P: Platform>(gateway: &Gateway<P>, services: &mut HashMap<Arc<str>, ServiceTraffic>) {
    let Some(manifest) = gateway.manifest() else {
        return;
    };
    let now_ms = gateway.now_ms();
    let own = Arc::clone(&gateway.settings().data_centre);
    gateway.locality.loads().expire(now_ms);
    services.retain(|service, _| manifest.services.contains_key(service));
    let mut shares = HashMap::with_capacity(manifest.services.len());
    for (service, costs) in costs_by_service(gateway, &manifest) {
        let Some(spec) = manifest.services.get(&service) else {
            continue;
        };
        let cold_slots = spec.cold_per_s * costs.work_ms / 1_000.0;
        let figures = gateway.traffic_figures(&service, cold_slots, now_ms);
        let inputs = Inputs {
            own: &own,
            figures: &figures,
            costs,
        };
        let traffic = services.entry(Arc::clone(&service)).or_default();
        let before = traffic.shares().clone();
        if let Some(cause) = traffic.decide(&inputs, now_ms) {
            on_change(gateway, &service, &before, traffic.shares(), &inputs, cause);
        }
        shares.insert(service, Arc::new(traffic.shares().clone()));
    }
    gateway.locality.shares.store(Arc::new(shares));
}

/// What the requests of each service cost: the mean over its routes, and their strictest
/// objective.
fn costs_by_service<P: Platform>(
    gateway: &Gateway<P>,
    manifest: &Manifest,
) -> HashMap<Arc<str>, RequestCosts> {
    let mut sums: HashMap<Arc<str>, (f64, RequestCosts)> = HashMap::new();
    for route in manifest.routes() {
        let costs = gateway.request_costs(route, gateway.route_means(route));
        for target in &route.targets {
            let Some((count, sum)) = sums.get_mut(&target.service) else {
                sums.insert(Arc::clone(&target.service), (1.0, costs));
                continue;
            };
            *count += 1.0;
            sum.bytes += costs.bytes;
            sum.work_ms += costs.work_ms;
            sum.objective_ms = sum.objective_ms.min(costs.objective_ms);
        }
    }
    let mut means = HashMap::with_capacity(sums.len());
    for (service, (count, mut costs)) in sums {
        costs.bytes /= count;
        costs.work_ms /= count;
        means.insert(service, costs);
    }
    means
}

/// Logs a change with its inputs and shows it in the gauges.
fn on_change<P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    before: &Shares,
    after: &Shares,
    inputs: &Inputs<'_>,
    cause: Cause,
) {
    for data_centre in before.leaving.keys() {
        if !after.leaving.contains_key(data_centre) {
            gateway.metrics.set_leaving_share(service, data_centre, 0.0);
        }
    }
    for (data_centre, share) in &after.leaving {
        gateway
            .metrics
            .set_leaving_share(service, data_centre, *share);
    }
    if gateway.log_budget.take() {
        tracing::info!(
            service,
            %cause,
            leaving = describe_shares(after),
            leaving_before = describe_shares(before),
            figures = describe_figures(inputs.figures),
            remote_ms = inputs.costs.remote_ms(),
            work_ms = inputs.costs.work_ms,
            objective_ms = inputs.costs.objective_ms,
            "shares of traffic to other data centres changed"
        );
    }
}

fn describe_shares(shares: &Shares) -> String {
    let mut text = String::new();
    for (data_centre, share) in &shares.leaving {
        // Writing to a string cannot fail.
        let _ = write!(text, "{data_centre}={share:.3} ");
    }
    text
}

fn describe_figures(figures: &BTreeMap<Arc<str>, Figures>) -> String {
    let mut text = String::new();
    for (data_centre, figures) in figures {
        let _ = write!(
            text,
            "{data_centre}: slots={:.1}/{:.1} per_slot={:.2?} loads={} age_ms={}; ",
            figures.slots,
            figures.nominal_slots,
            figures.per_slot,
            figures.loads,
            figures.newest_age_ms
        );
    }
    text
}

//! Tells the deciding instance the counts of this one, and learns the statuses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::deciding;
use crate::decision::rendezvous::weight;
use crate::decision::rollout::evidence::{CellKey, Cells, Sums};
use crate::decision::rollout::{State, Status};
use crate::gateway::peer_client::{PeerClient, RelayError};
use crate::gateway::state::Gateway;
use crate::gateway::store::Platform;

/// Interval between reports for each instance of the fleet: the decider then gets at most
/// some 330 reports a second.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(3);
/// Bounds of the interval; the longest leaves half of the lease for a lost report.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// The same while no roll-out runs.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);
/// Time in which the decider must respond.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for which an instance uses a share that the decider has not confirmed. A bad
/// version gets no request later than `rollback` after its 50th bad answer; the decider needs
/// the rest of that time.
const MAX_LEASE_MS: u64 = 2_000;
/// Instances that are asked in one round.
const MAX_ASKED: usize = 3;
/// Instances of each data centre that may be its reader.
const READERS_PER_DATA_CENTRE: usize = 2;

/// Counts of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// The service.
    pub service: Arc<str>,
    /// Hash of the order that the status in use belongs to; 0 without a status.
    pub order: u64,
    /// Share that the instance uses for the new version.
    pub share: f64,
    /// Cells that have changed since the last report to the same decider.
    pub cells: Vec<(CellKey, Sums)>,
}

/// What an instance tells the decider.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Tells its processes apart.
    pub process: u64,
    /// Counts by service.
    pub services: Vec<ServiceCounts>,
}

/// What the decider answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutAnswer {
    /// Whether the instance decides.
    pub is_decider: bool,
    /// Tells deciders apart: another one lacks what the one before was told.
    pub decider: u64,
    /// Statuses by service.
    pub statuses: Vec<(Arc<str>, Status)>,
}

/// Weight, name and address of an instance.
type Ranked = (u64, Arc<str>, SocketAddr);

/// What the last decider was told.
#[derive(Debug, Default)]
struct Told {
    decider: u64,
    cells: HashMap<Arc<str>, (u64, Cells)>,
}

/// Takes part in roll-outs for the life of the process.
pub async fn run<P: Platform>(gateway: Arc<Gateway<P>>) {
    let process: u64 = rand::random();
    let mut told = Told::default();
    let mut changes = gateway.watch_changes();
    loop {
        let began = Instant::now();
        changes.mark_unchanged();
        if apply_orders(&gateway) {
            round(&gateway, process, &mut told).await;
        }
        sleep_until(began + MIN_INTERVAL).await;
        let _ = timeout_at(began + interval(&gateway), changes.changed()).await;
    }
}

/// Takes the orders of the view; returns whether there are any.
fn apply_orders<P: Platform>(gateway: &Gateway<P>) -> bool {
    let mut orders = HashMap::new();
    if gateway.settings().exposure_limit.is_some() {
        for (service, order) in &gateway.view().rollouts {
            let target = order.order.as_ref().ok();
            let target = target.map(|order| Arc::clone(&order.target_version));
            orders.insert(Arc::clone(service), target);
        }
    }
    gateway.rollouts.set_orders(&orders, gateway.now_ms());
    gateway
        .rollouts
        .has_any
        .load(std::sync::atomic::Ordering::Relaxed)
}

fn interval<P: Platform>(gateway: &Gateway<P>) -> Duration {
    let rules = gateway.rollouts.rules.load();
    let is_idle = rules
        .values()
        .all(|rule| rule.state().is_some_and(|state| state != State::Running));
    if is_idle {
        return IDLE_INTERVAL;
    }
    let instances = u32::try_from(gateway.view().instances.len()).unwrap_or(u32::MAX);
    (INTERVAL_PER_INSTANCE * instances.min(1_000)).clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// Reports to the first instance that decides, which may be this one.
async fn round<P: Platform>(gateway: &Arc<Gateway<P>>, process: u64, told: &mut Told) {
    let report = report(gateway, process, told);
    let mut asked = 0;
    for candidate in candidates(gateway) {
        let Some(address) = candidate else {
            if gateway.is_active_reader() {
                gateway.rollouts.deciding().set_follows_other(false);
                let answer = deciding::on_report(gateway, &report);
                on_answer(gateway, &report, &answer, told);
                deciding::decide(gateway).await;
                return;
            }
            continue;
        };
        let now_ms = gateway.now_ms();
        if gateway.peers.contacts().is_paused(&address, now_ms) {
            continue;
        }
        if asked == MAX_ASKED {
            break;
        }
        asked += 1;
        let call = |client: PeerClient| {
            let report = report.clone();
            async move { client.report_rollout(report).await }
        };
        let answer = gateway.peers.call(address, REPORT_TIMEOUT, call).await;
        let has_responded = answer
            .as_ref()
            .map_or_else(RelayError::is_other_build, |_| true);
        gateway.on_peer_call(address, has_responded);
        match answer {
            Ok(answer) if answer.is_decider => {
                gateway.rollouts.deciding().set_follows_other(true);
                on_answer(gateway, &report, &answer, told);
                return;
            }
            Ok(_) => {}
            Err(error) => tracing::debug!(%address, %error, "cannot report to a decider"),
        }
    }
    gateway.rollouts.deciding().set_follows_other(false);
    // Others may have chosen this instance, which is a reader that they reach.
    deciding::decide(gateway).await;
}

fn report<P: Platform>(gateway: &Gateway<P>, process: u64, told: &mut Told) -> RolloutReport {
    let now_ms = gateway.now_ms();
    let mut services = Vec::new();
    for (service, rule) in gateway.rollouts.rules.load().iter() {
        let order = rule.status.as_ref().map_or(0, |status| status.order);
        let known = told.cells.entry(Arc::clone(service)).or_default();
        if known.0 != order {
            *known = (order, Cells::new());
            gateway.rollouts.counts().forget(service);
        }
        services.push(ServiceCounts {
            service: Arc::clone(service),
            order,
            share: rule.share(now_ms),
            cells: gateway.rollouts.counts().changed(service, &known.1),
        });
    }
    RolloutReport {
        instance: Arc::clone(&gateway.settings().name),
        process,
        services,
    }
}

fn on_answer<P: Platform>(
    gateway: &Gateway<P>,
    report: &RolloutReport,
    answer: &RolloutAnswer,
    told: &mut Told,
) {
    if told.decider == answer.decider {
        for counts in &report.services {
            // A decider that does not know the status takes no counts.
            let is_counted = answer.statuses.iter().any(|(service, status)| {
                *service == counts.service && status.order == counts.order
            });
            if !is_counted {
                continue;
            }
            if let Some((_, cells)) = told.cells.get_mut(&counts.service) {
                cells.extend(counts.cells.iter().cloned());
            }
        }
    } else {
        // Another decider gets all counts with the next report.
        told.decider = answer.decider;
        for (_, cells) in told.cells.values_mut() {
            cells.clear();
        }
    }
    let rollback_ms = gateway
        .settings()
        .exposure_limit
        .map_or(0, |limit| limit.rollback_ms);
    let lease_ms = MAX_LEASE_MS.min(rollback_ms / 2);
    let until_ms = gateway.now_ms() + lease_ms;
    for (service, status) in &answer.statuses {
        if !gateway.rollouts.on_status(service, status, until_ms) {
            continue;
        }
        gateway.metrics.on_rollout(status.state);
        tracing::info!(
            %service,
            state = %status.state,
            step = %status.step,
            share = status.share,
            target_version = %status.target_version,
            reason = %status.reason,
            "status of a roll-out taken over"
        );
    }
}

/// The instances that may decide, the first one first; `None` is this one.
///
/// The reader of a data centre is the instance with the greatest weight there that responds.
fn candidates<P: Platform>(gateway: &Gateway<P>) -> Vec<Option<SocketAddr>> {
    let settings = gateway.settings();
    let mut by_data_centre: HashMap<Arc<str>, Vec<Ranked>> = HashMap::new();
    for (name, instance) in &gateway.view().instances {
        let data_centre = &instance.data_centre;
        let rank = weight(data_centre, name);
        let known = by_data_centre.entry(Arc::clone(data_centre)).or_default();
        known.push((rank, Arc::clone(name), instance.address));
    }
    let mut ranked = Vec::new();
    for instances in by_data_centre.values_mut() {
        instances.sort_unstable_by(|a, b| b.cmp(a));
        let readers = instances.iter().take(READERS_PER_DATA_CENTRE);
        for (place, (_, name, address)) in readers.enumerate() {
            ranked.push((place, u64::MAX - weight("rollout", name), *address));
        }
    }
    ranked.sort_unstable();
    let mut candidates = Vec::new();
    for (_, _, address) in ranked {
        candidates.push((address != settings.peer_address).then_some(address));
    }
    if !candidates.contains(&None) {
        candidates.push(None);
    }
    candidates
}

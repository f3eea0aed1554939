//! Decides on roll-outs at the instance that the others report to, and keeps their statuses in
//! the store.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::exchange::{RolloutAnswer, RolloutReport};
use crate::decision::directory::UpstreamState;
use crate::decision::rollout::{self, Decider, ExposureLimit, State, Status, Upstreams};
use crate::gateway::crash_evidence::unix_ms;
use crate::gateway::state::Gateway;
use crate::gateway::store::{Platform, StoreError};
use crate::gateway::view::RolloutOrder;

/// Time without reports or own rounds after which an instance reads the statuses again, since
/// another one may have decided meanwhile.
const IDLE_TIME_MS: u64 = 3_000;
/// Time for which a report counts when all instances must use a share.
const REPORT_LIFETIME_MS: u64 = 3_000;

/// What this instance decides, while it does.
#[derive(Debug, Default)]
pub struct Deciding {
    /// Changes with each time that this instance begins to decide.
    id: u64,
    last_ms: u64,
    /// Whether another instance decided in the last round, so that this one must not.
    follows_other: bool,
    is_loaded: bool,
    statuses: BTreeMap<Arc<str>, Status>,
    /// Offset at which the next status is written.
    end: u64,
    /// Roll-backs that are in force here and still to be written.
    unwritten: BTreeMap<Arc<str>, Status>,
    deciders: HashMap<Arc<str>, Decider>,
    /// Share that each instance uses, and when it said so.
    shares: HashMap<(Arc<str>, Arc<str>), (f64, u64)>,
}

impl Deciding {
    /// Begins to decide, unless this instance does so already.
    fn begin(&mut self, now_ms: u64) {
        if self.id == 0 || now_ms >= self.last_ms + IDLE_TIME_MS {
            *self = Self {
                id: rand::random_range(1..=u64::MAX),
                ..Self::default()
            };
        }
        self.last_ms = now_ms;
    }

    /// Records whether another instance decides.
    pub fn set_follows_other(&mut self, follows_other: bool) {
        self.follows_other = follows_other;
    }

    fn status(&self, service: &str) -> Option<&Status> {
        self.unwritten
            .get(service)
            .or_else(|| self.statuses.get(service))
    }

    fn is_confirmed(&self, service: &Arc<str>, share: f64, now_ms: u64) -> bool {
        self.shares
            .iter()
            .filter(|((of, _), (_, at_ms))| of == service && now_ms < at_ms + REPORT_LIFETIME_MS)
            .all(|(_, (used, _))| (used - share).abs() < f64::EPSILON)
    }
}

/// Takes the counts of an instance, if this one reads the store.
pub fn on_report<P: Platform>(gateway: &Gateway<P>, report: &RolloutReport) -> RolloutAnswer {
    if !gateway.is_active_reader() || gateway.settings().exposure_limit.is_none() {
        return RolloutAnswer::default();
    }
    let now_ms = gateway.now_ms();
    let mut deciding = gateway.rollouts.deciding();
    if deciding.follows_other {
        return RolloutAnswer::default();
    }
    deciding.begin(now_ms);
    let mut statuses = Vec::new();
    for counts in &report.services {
        let service = &counts.service;
        let key = (Arc::clone(service), Arc::clone(&report.instance));
        deciding.shares.insert(key, (counts.share, now_ms));
        let Some(status) = deciding.status(service).cloned() else {
            continue;
        };
        if counts.order == status.order {
            let decider = deciding.deciders.entry(Arc::clone(service));
            let decider = decider.or_insert_with(|| Decider::new(unix_ms()));
            decider
                .evidence
                .on_report(&report.instance, report.process, &counts.cells);
        }
        statuses.push((Arc::clone(service), status));
    }
    RolloutAnswer {
        is_decider: true,
        decider: deciding.id,
        statuses,
    }
}

/// Decides on all roll-outs, if others report to this instance or it is the first itself.
pub async fn decide<P: Platform>(gateway: &Gateway<P>) {
    let Some(limit) = gateway.settings().exposure_limit else {
        return;
    };
    let (id, is_loaded) = {
        let deciding = gateway.rollouts.deciding();
        let is_current = gateway.now_ms() < deciding.last_ms + IDLE_TIME_MS;
        if deciding.id == 0 || !is_current || !gateway.is_active_reader() {
            return;
        }
        (deciding.id, deciding.is_loaded)
    };
    if !is_loaded && !load(gateway, id).await {
        return;
    }
    for (service, next) in next_statuses(gateway, limit) {
        write(gateway, id, service, next).await;
    }
}

/// Reads the statuses; returns whether this instance may decide by them.
async fn load<P: Platform>(gateway: &Gateway<P>, id: u64) -> bool {
    let stored = gateway.platform.rollout_statuses().await;
    gateway.metrics.on_store_call(stored.is_ok());
    match stored {
        Ok(stored) => {
            let mut deciding = gateway.rollouts.deciding();
            if deciding.id != id {
                return false;
            }
            tracing::info!(
                statuses = stored.statuses.len(),
                "this instance decides on roll-outs"
            );
            deciding.statuses = stored.statuses;
            deciding.end = stored.end;
            deciding.is_loaded = true;
            true
        }
        Err(error) => {
            tracing::warn!(%error, "cannot read the statuses of roll-outs");
            false
        }
    }
}

fn next_statuses<P: Platform>(
    gateway: &Gateway<P>,
    limit: ExposureLimit,
) -> Vec<(Arc<str>, Status)> {
    let orders = gateway.view().rollouts.clone();
    let now_ms = unix_ms();
    let mut next = Vec::new();
    let mut deciding = gateway.rollouts.deciding();
    for (service, status) in &deciding.unwritten {
        next.push((Arc::clone(service), status.clone()));
    }
    for (service, status) in &deciding.statuses {
        let is_withdrawn = status.state == State::Running && !orders.contains_key(service);
        if is_withdrawn && !deciding.unwritten.contains_key(service) {
            let withdrawn = Status {
                order: 0,
                ..rollout::roll_back(status, "the order was withdrawn", now_ms)
            };
            next.push((Arc::clone(service), withdrawn));
        }
    }
    for (service, order) in &orders {
        if deciding.unwritten.contains_key(service) {
            continue;
        }
        let known = deciding.statuses.get(service).cloned();
        let share = known.as_ref().map_or(0.0, |status| status.share);
        let is_confirmed = deciding.is_confirmed(service, share, gateway.now_ms());
        let upstreams = upstreams(gateway, service, order, is_confirmed);
        match known {
            Some(status) if status.order == order.hash => {
                let decider = deciding.deciders.entry(Arc::clone(service));
                let decider = decider.or_insert_with(|| Decider::new(now_ms));
                let changed = decider.decide(&status, limit, upstreams, now_ms);
                next.extend(changed.map(|status| (Arc::clone(service), status)));
            }
            before => {
                let wanted = order.order.as_ref().map_err(|error| &*error.0);
                let before = before.as_ref();
                let status = rollout::begin(wanted, order.hash, before, limit, upstreams, now_ms);
                deciding.deciders.remove(service);
                next.push((Arc::clone(service), status));
            }
        }
    }
    next
}

/// The upstreams of a service by version.
fn upstreams<P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    order: &RolloutOrder,
    is_share_confirmed: bool,
) -> Upstreams {
    let target = order.order.as_ref().ok().map(|order| &order.target_version);
    let now_ms = gateway.now_ms();
    let mut upstreams = Upstreams {
        is_service_known: gateway.knows_service(service),
        is_share_confirmed,
        ..Upstreams::default()
    };
    for upstream in gateway.view().directory.ready_upstreams(service) {
        let report = &upstream.report;
        if report.state != UpstreamState::Ready {
            continue;
        }
        if report.version.as_ref() != target {
            upstreams.old_slots += report.slots;
            continue;
        }
        upstreams.new_slots += report.slots;
        if upstream.cold_until_ms <= now_ms {
            upstreams.warm_slots += report.slots;
        }
    }
    upstreams
}

/// Writes a status; a roll-back is in force before it is written.
async fn write<P: Platform>(gateway: &Gateway<P>, id: u64, service: Arc<str>, status: Status) {
    let at = {
        let mut deciding = gateway.rollouts.deciding();
        if deciding.id != id {
            return;
        }
        if status.state == State::RolledBack {
            deciding
                .unwritten
                .insert(Arc::clone(&service), status.clone());
        }
        deciding.end
    };
    let written = gateway
        .platform
        .append_rollout_status(&service, &status, at)
        .await;
    gateway.metrics.on_store_call(written.is_ok());
    let mut deciding = gateway.rollouts.deciding();
    if deciding.id != id {
        return;
    }
    match written {
        Ok(true) => {
            log_written(&service, &status);
            deciding.unwritten.remove(&service);
            deciding.statuses.insert(service, status);
            deciding.end += 1;
        }
        Ok(false) => {
            tracing::info!(%service, "another instance has written a status; reading it");
            deciding.is_loaded = false;
        }
        Err(error) => on_write_error(&mut deciding, &service, &error),
    }
}

/// The append may have succeeded, so the statuses are read again.
fn on_write_error(deciding: &mut Deciding, service: &str, error: &StoreError) {
    tracing::warn!(service, %error, "cannot write the status of a roll-out");
    deciding.is_loaded = false;
}

fn log_written(service: &str, status: &Status) {
    tracing::info!(
        service,
        state = %status.state,
        step = %status.step,
        share = status.share,
        target_version = %status.target_version,
        reason = %status.reason,
        "status of a roll-out written"
    );
}

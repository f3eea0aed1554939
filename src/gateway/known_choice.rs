//! Chooses an upstream by known loads, for a request without probe budget.

use std::sync::Arc;

use tokio::time::Instant;

use super::calls::Call;
use super::candidates::Candidates;
use super::probing::ProbedUpstream;
use super::state::Gateway;
use super::store::Platform;
use super::upstream_client::{UpstreamClient, evidence_of};
use crate::connection::exchange::Connection;
use crate::decision::admission::{Admission, PendingRequest};
use crate::decision::directory::Upstream;
use crate::decision::known_loads::MeanLoad;
use crate::decision::selection::{Load, Reading, cost, weighted_sample};

/// Upstreams whose known loads are compared.
const COMPARED: usize = 2;
/// Age of an upstream's last told load up to which an idle connection to it may carry a request
/// that may not be repeated: nothing else shows that the connection still leads to the upstream.
const MAX_UNVERIFIED_MS: u64 = 500;

/// How the choice ended.
#[derive(Debug)]
pub enum KnownChoice {
    /// The request is to be sent to this upstream.
    Chosen(Box<ProbedUpstream>),
    /// All known loads say that no upstream answers in time.
    Full,
    /// The upstreams that have room could not be used.
    Failed,
}

/// An upstream with the load that it is expected to have.
struct Estimated {
    upstream: Arc<Upstream>,
    client: Arc<UpstreamClient>,
    load: Option<Load>,
    cost: f64,
}

/// Chooses the better of two upstreams whose known loads have room for the request.
///
/// An upstream whose known load is full is never chosen, as it would not answer.
pub async fn choose<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    service: &str,
    mut candidates: Candidates,
    pending: &PendingRequest,
) -> KnownChoice {
    let now_ms = gateway.now_ms();
    let mean = gateway.probe_state.mean_loads().get(service, now_ms);
    let had_candidates = !candidates.is_empty();
    let mut loads = keep_those_with_room(&mut candidates, pending, mean.as_ref(), now_ms);
    if had_candidates && candidates.is_empty() {
        gateway.metrics.on_known_load("full");
        return KnownChoice::Full;
    }
    let drawn = weighted_sample(
        &candidates.for_sampling,
        candidates.locality,
        COMPARED,
        &mut rand::rng(),
    );
    let mut compared = Vec::with_capacity(COMPARED);
    for index in drawn {
        let (upstream, client) = candidates.upstreams[index].clone();
        let load = loads[index].take();
        let is_local = candidates.for_sampling[index].is_local;
        let cost = cost(&reading(load), candidates.locality, is_local);
        compared.push(Estimated {
            upstream,
            client,
            load,
            cost,
        });
    }
    compared.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    for estimated in compared {
        if !may_send(gateway, &estimated.upstream, service) {
            continue;
        }
        let Some(connection) = connect(gateway, call, &estimated.client).await else {
            continue;
        };
        gateway.metrics.on_known_load("chosen");
        let Estimated {
            upstream,
            client,
            load,
            ..
        } = estimated;
        let chosen = ProbedUpstream::with_reading(upstream, client, connection, reading(load));
        return KnownChoice::Chosen(Box::new(chosen));
    }
    gateway.metrics.on_known_load("failed");
    KnownChoice::Failed
}

/// Removes the candidates whose known loads have no room, and returns the loads of the others.
fn keep_those_with_room(
    candidates: &mut Candidates,
    pending: &PendingRequest,
    mean: Option<&MeanLoad>,
    now_ms: u64,
) -> Vec<Option<Load>> {
    let mut loads = Vec::with_capacity(candidates.len());
    let mut kept = Vec::with_capacity(candidates.len());
    let mut for_sampling = Vec::with_capacity(candidates.len());
    let upstreams = std::mem::take(&mut candidates.upstreams);
    for ((upstream, client), candidate) in upstreams.into_iter().zip(&candidates.for_sampling) {
        let load = client.known_load().estimate(mean, now_ms);
        let has_room = load.is_none_or(|load| pending.decide(Some(&load)) == Admission::Send);
        if !has_room {
            continue;
        }
        loads.push(load);
        kept.push((upstream, client));
        for_sampling.push(*candidate);
    }
    candidates.upstreams = kept;
    candidates.for_sampling = for_sampling;
    loads
}

fn reading(load: Option<Load>) -> Reading {
    Reading {
        load,
        cold_left_ms: 0,
        is_healthy: true,
    }
}

/// Whether a request may be sent now; a cold upstream needs a permit.
fn may_send<P: Platform>(gateway: &Gateway<P>, upstream: &Upstream, service: &str) -> bool {
    // Nothing tells whether a lapsed upstream is leaving, so it counts as unhealthy.
    if !gateway.may_send(upstream, false) {
        return false;
    }
    if upstream.cold_until_ms <= gateway.now_ms() {
        return true;
    }
    let cold_per_s = gateway
        .manifest()
        .and_then(|manifest| Some(manifest.services.get(service)?.cold_per_s));
    cold_per_s.is_some_and(|per_s| gateway.try_acquire_cold_send(&upstream.report.id, per_s))
}

/// Gets a connection: an idle one if the request may be repeated, or if the upstream has
/// answered just now.
async fn connect<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    client: &Arc<UpstreamClient>,
) -> Option<Connection> {
    let now_ms = gateway.now_ms();
    let age_ms = client.known_load().age_ms(now_ms);
    let is_verified = age_ms.is_some_and(|age_ms| age_ms <= MAX_UNVERIFIED_MS);
    if call.route.is_idempotent || is_verified {
        let idle = client.take_idle();
        if idle.is_some() {
            return idle;
        }
    }
    let began = Instant::now();
    match client.open(&gateway.metrics).await {
        Ok(connection) => Some(connection),
        Err(error) => {
            let evidence = evidence_of(&error);
            let is_ejected = gateway.on_upstream_failure(client, evidence, began);
            if is_ejected {
                gateway.metrics.ejections.inc();
            }
            if gateway.log_budget.take() {
                tracing::info!(
                    request = call.id_text(),
                    upstream = %client.id,
                    %error,
                    is_ejected,
                    "cannot connect to an upstream that was chosen by its known load"
                );
            }
            None
        }
    }
}

//! Probes the load of upstreams just before a request is sent.

use std::fmt::Write as _;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, timeout};

use super::calls::{Call, to_ms};
use super::candidates::Candidates;
use super::pending_probes::PendingProbes;
use super::rate_limits::{AnswerKind, probe_answer_kind};
use super::state::Gateway;
use super::store::Platform;
use super::upstream_client::{ProbeError, ProbeResponse, UpstreamClient, evidence_of};
use crate::connection::exchange::Connection;
use crate::decision::directory::Upstream;
use crate::decision::locality::draw;
use crate::decision::probe_budget::ProbePurpose;
use crate::decision::selection::{
    Locality, PROBES_PER_ROUND, Reading, can_stop_probing, cost, probe_order,
};
use crate::decision::upstream_contact::SILENCE_MS;

/// Cost factor of a cold upstream, which works at half its usual speed.
const COLD_COST_FACTOR: f64 = 2.0;

/// Times for which a request waits for the readings of its probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeWaits {
    /// Wait for further readings after the first one.
    pub further_readings: Duration,
    /// Wait for a first reading before the next round of probes.
    pub round: Duration,
    /// Wait for a first reading in the last round.
    pub last_round: Duration,
    /// The same if no upstream at all has answered since the first probe, and another
    /// instance may take the request.
    pub silent_round: Duration,
}

impl Default for ProbeWaits {
    /// The waits of the product; that of a round is ten times a round trip within a
    /// region.
    fn default() -> Self {
        Self {
            further_readings: Duration::from_millis(10),
            round: Duration::from_millis(15),
            last_round: Duration::from_millis(300),
            silent_round: Duration::from_millis(SILENCE_MS),
        }
    }
}

/// An upstream that answered a probe.
#[derive(Debug)]
pub struct ProbedUpstream {
    /// The upstream as last reported.
    pub upstream: Arc<Upstream>,
    /// The client that the connection belongs to.
    pub client: Arc<UpstreamClient>,
    /// The connection of the probe, on which the request is to be sent.
    pub connection: Connection,
    /// Load and health from the probe's response.
    pub reading: Reading,
    /// Whether the reading is the answer to a probe and not an estimate.
    pub is_probed: bool,
    read_at: Instant,
    cost: f64,
    is_cold: bool,
}

impl ProbedUpstream {
    /// An upstream that is used without a probe.
    #[must_use]
    pub fn without_probe(
        upstream: Arc<Upstream>,
        client: Arc<UpstreamClient>,
        connection: Connection,
    ) -> Self {
        let reading = Reading {
            load: None,
            cold_left_ms: 0,
            is_healthy: true,
        };
        Self::with_reading(upstream, client, connection, reading)
    }

    /// An upstream that is used without a probe, by what is known of it.
    #[must_use]
    pub fn with_reading(
        upstream: Arc<Upstream>,
        client: Arc<UpstreamClient>,
        connection: Connection,
        reading: Reading,
    ) -> Self {
        Self {
            upstream,
            client,
            connection,
            reading,
            is_probed: false,
            read_at: Instant::now(),
            cost: 1.0,
            is_cold: false,
        }
    }
}

/// The result of the probes for a request.
#[derive(Debug)]
pub struct Probing {
    /// Upstreams that answered.
    pub answered: Vec<ProbedUpstream>,
    /// The upstreams that could be drawn.
    pub candidates: Candidates,
    /// Whether no probe was sent, as the budget is used up.
    pub is_without_budget: bool,
}

/// Draws upstreams at random and probes them in rounds, until their readings
/// suffice or the budget is used up.
///
/// `has_probed` says that the request has had probes before.
pub async fn probe_candidates<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    candidates: Candidates,
    has_probed: bool,
    may_hand_over: bool,
) -> Probing {
    let now_ms = gateway.now_ms();
    let (locality, drawn) = if let Some(shares) = gateway.locality.shares(service) {
        let upstreams = candidates.upstreams.iter();
        let data_centres: Vec<&str> = upstreams
            .map(|(upstream, _)| &*upstream.report.data_centre)
            .collect();
        let sampled = &candidates.for_sampling;
        let drawn = draw::probe_order(sampled, &data_centres, &shares, &mut rand::rng());
        let means = gateway.route_means(&call.route);
        (gateway.request_costs(&call.route, means).locality(), drawn)
    } else {
        let locality = candidates.locality;
        let drawn = probe_order(&candidates.for_sampling, locality, &mut rand::rng());
        (locality, drawn)
    };
    let health_path = gateway
        .manifest()
        .and_then(|manifest| Some(Arc::clone(&manifest.services.get(service)?.health_path)));
    let waits = gateway.probe_waits;
    let mut pending = PendingProbes::new(drawn.len(), waits.further_readings);
    let mut remaining = &drawn[..];
    let mut is_without_budget = false;
    for (round, wanted) in PROBES_PER_ROUND.into_iter().enumerate() {
        let Some(health_path) = &health_path else {
            break;
        };
        let wanted = wanted.min(remaining.len());
        if wanted == 0 || has_enough_readings(gateway, call, &pending.answered) {
            break;
        }
        let purpose = if round == 0 && !has_probed {
            ProbePurpose::First(call.priority())
        } else {
            ProbePurpose::Further
        };
        let count = gateway.acquire_probes(service, candidates.len(), purpose, wanted);
        is_without_budget = round == 0 && count == 0;
        if is_without_budget || (count == 0 && !pending.answered.is_empty()) {
            break;
        }
        let (current, later) = remaining.split_at(count);
        remaining = later;
        for index in current {
            let (upstream, client) = candidates.upstreams[*index].clone();
            let health_path = Arc::clone(health_path);
            let task = probe_one(Arc::clone(gateway), upstream, client, health_path, locality);
            pending.spawn(task);
        }
        let is_last = count == 0 || remaining.is_empty() || round + 1 == PROBES_PER_ROUND.len();
        let is_silent = || !gateway.contact.decision().has_answered_since(now_ms);
        let shows_lost_links = may_hand_over && !gateway.contact.lets_probes_wait(service);
        let wait = match is_last {
            false => waits.round,
            true if shows_lost_links && is_silent() => waits.silent_round,
            true => waits.last_round,
        };
        pending.collect(wait).await;
        if wait == waits.silent_round && !is_silent() {
            pending
                .collect(waits.last_round.saturating_sub(waits.silent_round))
                .await;
        }
        if count == 0 {
            break;
        }
    }
    Probing {
        answered: pending.finish(),
        candidates,
        is_without_budget,
    }
}

/// Whether the readings so far make further probes unnecessary.
fn has_enough_readings<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    answered: &[ProbedUpstream],
) -> bool {
    let work_ms = gateway.route_means(&call.route).work_ms;
    let left_ms = call.route.objective_ms.saturating_sub(call.held_ms());
    let readings: Vec<Reading> = answered.iter().map(|probed| probed.reading).collect();
    can_stop_probing(&readings, work_ms, left_ms)
}

/// Probes one upstream; `None` if the probe fails, which counts towards the
/// upstream's ejection.
pub async fn probe_one<P: Platform>(
    gateway: Arc<Gateway<P>>,
    upstream: Arc<Upstream>,
    client: Arc<UpstreamClient>,
    health_path: Arc<str>,
    locality: Locality,
) -> Option<ProbedUpstream> {
    if !gateway.is_wanted_by(&upstream.report) {
        return None;
    }
    let sent_at = Instant::now();
    let probed = probe_noting_silence(&gateway, &client, &health_path).await;
    let ProbeResponse {
        connection,
        reading,
        named_limit,
        notice,
    } = match probed {
        Ok(probed) => probed,
        Err(error) => {
            on_failed_probe(&gateway, &client, &error, sent_at);
            return None;
        }
    };
    gateway.on_upstream_answer(&client.id);
    gateway.on_probe_time(sent_at);
    note_probe_load(&gateway, &upstream, &reading);
    if let Some(load) = &reading.load {
        gateway.on_load(&upstream, &client, load);
    }
    gateway.note_load(&client.id, reading.load);
    gateway.on_named_limit(&client, named_limit, sent_at, AnswerKind::Probe);
    gateway.on_notice(&client, notice, sent_at, probe_answer_kind(&reading));
    let is_local = upstream.report.data_centre == gateway.settings().data_centre;
    let is_cold = reading.cold_left_ms > 0;
    let mut cost = cost(&reading, locality, is_local);
    if is_cold {
        cost *= COLD_COST_FACTOR;
    }
    Some(ProbedUpstream {
        upstream,
        client,
        connection,
        reading,
        is_probed: true,
        read_at: Instant::now(),
        cost,
        is_cold,
    })
}

/// Notes whether the probes of an upstream's service may wait for a slot.
fn note_probe_load<P: Platform>(gateway: &Gateway<P>, upstream: &Upstream, reading: &Reading) {
    if !reading.is_healthy {
        return;
    }
    let service = &upstream.report.service;
    let tells_load = reading.load.is_some();
    if gateway.contact.on_probe_load(service, tells_load) && gateway.log_budget.take() {
        let upstream = &upstream.report.id;
        tracing::info!(%service, %upstream, tells_load, "probes of a service answered with a load, or not any more");
    }
}

/// Probes an upstream, and records it if no answer comes within [`SILENCE_MS`].
async fn probe_noting_silence<P: Platform>(
    gateway: &Gateway<P>,
    client: &UpstreamClient,
    health_path: &str,
) -> Result<ProbeResponse, ProbeError> {
    let names = gateway.platform.headers();
    let mut probe = pin!(client.probe(names, health_path, &gateway.metrics));
    let silence = Duration::from_millis(SILENCE_MS);
    if let Ok(probed) = timeout(silence, &mut probe).await {
        return probed;
    }
    gateway.on_upstream_silent(client);
    probe.await
}

fn on_failed_probe<P: Platform>(
    gateway: &Gateway<P>,
    client: &UpstreamClient,
    error: &ProbeError,
    sent_at: Instant,
) {
    gateway.metrics.probes_failed.inc();
    let evidence = evidence_of(error);
    let is_ejected = gateway.on_upstream_failure(client, evidence, sent_at);
    if is_ejected {
        gateway.metrics.ejections.inc();
    }
    if gateway.log_budget.take() {
        tracing::info!(upstream = %client.id, %error, %evidence, is_ejected, "probe failed");
    }
}

/// Removes and returns the cheapest upstream that may get a request now.
///
/// A cold upstream also needs a permit, since it can serve only few requests from
/// the whole fleet.
pub fn take_best<P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    probed: &mut Vec<ProbedUpstream>,
) -> Option<ProbedUpstream> {
    probed.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    let cold_per_s = gateway.manifest()?.services.get(service)?.cold_per_s;
    for index in 0..probed.len() {
        let candidate = &probed[index];
        let id = &candidate.upstream.report.id;
        // The probe may have named a limit, or another instance since.
        let is_limited = gateway.limit_of(&candidate.upstream.report).is_some();
        let may_send = !is_limited
            && gateway.may_send(&candidate.upstream, candidate.reading.is_healthy)
            && (!candidate.is_cold || gateway.try_acquire_cold_send(id, cold_per_s));
        if may_send {
            return Some(probed.remove(index));
        }
    }
    None
}

/// Formats an upstream and its reading for log lines.
#[must_use]
pub fn describe(probed: &ProbedUpstream) -> String {
    let mut text = probed.upstream.report.id.to_string();
    let load = probed.reading.load;
    // Writing to a string cannot fail.
    let _ = match load {
        Some(load) => write!(
            text,
            " running={} waiting={} slots={} speed_percent={}",
            load.running, load.waiting, load.slots, load.speed_percent
        ),
        None => write!(text, " load=unknown"),
    };
    let _ = write!(
        text,
        " probed={} cold_left_ms={} healthy={} age_ms={}",
        probed.is_probed,
        probed.reading.cold_left_ms,
        probed.reading.is_healthy,
        to_ms(probed.read_at.elapsed())
    );
    text
}

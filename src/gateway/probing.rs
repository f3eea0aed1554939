//! Asks upstreams for their load at the moment of sending.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::calls::{Call, to_ms};
use super::links::{Link, ProbeError, evidence_of};
use super::state::Gateway;
use super::store::Platform;
use crate::connection::exchange::Connection;
use crate::decision::directory::Upstream;
use crate::decision::selection::{
    Candidate, Locality, PROBES_PER_ROUND, Reading, can_stop_probing, cost, probe_order,
};

/// Time for which further readings are awaited after the first one.
const MORE_READINGS: Duration = Duration::from_millis(10);
/// Time for which a first reading is awaited before more upstreams are asked;
/// ten times a round trip within a region.
const ROUND_READING: Duration = Duration::from_millis(15);
/// Time for which a first reading is awaited once all are asked.
const LAST_READING: Duration = Duration::from_millis(300);
/// Factor on the cost of a cold upstream; it works at half its pace.
const COLD_COST: f64 = 2.0;

/// An upstream with the connection and reading of its probe.
#[derive(Debug)]
pub struct Probed {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// The link to it.
    pub link: Arc<Link>,
    /// The connection that the probe took.
    pub connection: Connection,
    /// What it told.
    pub reading: Reading,
    read_at: Instant,
    cost: f64,
    is_cold: bool,
}

/// Draws upstreams and asks them for their load; also tells how many could be
/// drawn.
pub async fn probe_some<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    tried: &[Arc<str>],
) -> (Vec<Probed>, usize) {
    let now_ms = gateway.now_ms();
    let mut usable = Vec::new();
    let mut candidates = Vec::new();
    for upstream in gateway.upstreams(service) {
        let link = gateway.links.get(&upstream.report);
        let failure_share = {
            let condition = link.condition();
            if !condition.is_usable(now_ms) {
                continue;
            }
            condition.failure_share()
        };
        if tried.contains(&upstream.report.id) {
            continue;
        }
        candidates.push(Candidate {
            is_local: upstream.report.data_centre == gateway.settings().data_centre,
            is_connected: link.is_connected(),
            failure_share,
        });
        usable.push((upstream, link));
    }
    let near = candidates.iter().filter(|candidate| candidate.is_local);
    let locality = Locality::new(gateway.means(&call.route).bytes, near.count());
    let drawn = probe_order(&candidates, locality, &mut rand::rng());
    let health_path = gateway
        .manifest()
        .and_then(|manifest| Some(Arc::clone(&manifest.services.get(service)?.health_path)));
    let Some(health_path) = health_path else {
        return (Vec::new(), 0);
    };
    let mut asking = Asking::new(drawn.len());
    let mut rest = &drawn[..];
    for (round, wanted) in PROBES_PER_ROUND.into_iter().enumerate() {
        let wanted = wanted.min(rest.len());
        if wanted == 0 || has_found(gateway, call, &asking.found) {
            break;
        }
        let count = gateway.take_probes(service, candidates.len(), wanted);
        let (now, later) = rest.split_at(count);
        rest = later;
        for index in now {
            let (upstream, link) = usable[*index].clone();
            let health_path = Arc::clone(&health_path);
            let task = probe_one(Arc::clone(gateway), upstream, link, health_path, locality);
            asking.spawn(task);
        }
        let is_last = rest.is_empty() || round + 1 == PROBES_PER_ROUND.len();
        let wait = if is_last { LAST_READING } else { ROUND_READING };
        asking.collect(wait).await;
    }
    (asking.finish(), candidates.len())
}

/// Probes on their way, and the readings that have come.
struct Asking {
    sender: mpsc::Sender<Option<Probed>>,
    receiver: mpsc::Receiver<Option<Probed>>,
    outstanding: usize,
    found: Vec<Probed>,
}

impl Asking {
    fn new(most: usize) -> Self {
        let (sender, receiver) = mpsc::channel(most.max(1));
        Self {
            sender,
            receiver,
            outstanding: 0,
            found: Vec::with_capacity(most),
        }
    }

    /// Starts a probe; its connection is kept also where the answer comes late.
    fn spawn(&mut self, probe: impl Future<Output = Option<Probed>> + Send + 'static) {
        self.outstanding += 1;
        let sender = self.sender.clone();
        tokio::spawn(async move {
            if let Err(late) = sender.send(probe.await).await
                && let Some(probed) = late.0
            {
                probed.link.give_back(probed.connection);
            }
        });
    }

    /// Waits for a first reading, and for moments for those that follow it.
    async fn collect(&mut self, wait: Duration) {
        let mut until = Instant::now() + wait;
        if !self.found.is_empty() {
            until = until.min(Instant::now() + MORE_READINGS);
        }
        while self.outstanding > 0 {
            let Ok(Some(answer)) = timeout_at(until, self.receiver.recv()).await else {
                return;
            };
            self.outstanding -= 1;
            if let Some(probed) = answer {
                self.found.push(probed);
                until = until.min(Instant::now() + MORE_READINGS);
            }
        }
    }

    fn finish(mut self) -> Vec<Probed> {
        self.receiver.close();
        while let Ok(late) = self.receiver.try_recv() {
            self.found.extend(late);
        }
        self.found
    }
}

/// Whether the readings that have come are good enough.
fn has_found<P: Platform>(gateway: &Gateway<P>, call: &Call, found: &[Probed]) -> bool {
    let work_ms = gateway.means(&call.route).work_ms;
    let left_ms = call.route.objective_ms.saturating_sub(call.held_ms());
    let readings: Vec<Reading> = found.iter().map(|probed| probed.reading).collect();
    can_stop_probing(&readings, work_ms, left_ms)
}

/// Asks one upstream for its load.
async fn probe_one<P: Platform>(
    gateway: Arc<Gateway<P>>,
    upstream: Arc<Upstream>,
    link: Arc<Link>,
    health_path: Arc<str>,
    locality: Locality,
) -> Option<Probed> {
    let names = gateway.platform.headers();
    let (connection, reading) = match link.probe(names, &health_path, &gateway.meters).await {
        Ok(probed) => probed,
        Err(error) => {
            on_failed_probe(&gateway, &link, &error);
            return None;
        }
    };
    let is_local = upstream.report.data_centre == gateway.settings().data_centre;
    let is_cold = reading.cold_left_ms > 0;
    let mut cost = cost(&reading, locality, is_local);
    if is_cold {
        cost *= COLD_COST;
    }
    Some(Probed {
        upstream,
        link,
        connection,
        reading,
        read_at: Instant::now(),
        cost,
        is_cold,
    })
}

fn on_failed_probe<P: Platform>(gateway: &Gateway<P>, link: &Link, error: &ProbeError) {
    gateway.meters.probes_failed.inc();
    let evidence = evidence_of(error);
    let is_ejected = link.condition().on_evidence(evidence, gateway.now_ms());
    if is_ejected {
        gateway.meters.ejections.inc();
    }
    if gateway.lines.take() {
        tracing::info!(upstream = %link.id, %error, %evidence, is_ejected, "probe failed");
    }
}

/// Takes the cheapest upstream that may get a request now out of the list.
pub fn take_best<P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    probed: &mut Vec<Probed>,
) -> Option<Probed> {
    probed.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    let cold_per_s = gateway.manifest()?.services.get(service)?.cold_per_s;
    for index in 0..probed.len() {
        let found = &probed[index];
        let id = &found.upstream.report.id;
        let may_send = gateway.may_send(&found.upstream, found.reading.is_healthy)
            && (!found.is_cold || gateway.take_cold(id, cold_per_s));
        if may_send {
            return Some(probed.remove(index));
        }
    }
    None
}

/// The upstream with its reading, for log lines.
#[must_use]
pub fn describe(probed: &Probed) -> String {
    let mut text = probed.upstream.report.id.to_string();
    let load = probed.reading.load;
    // Writing to a string does not fail.
    let _ = match load {
        Some(load) => write!(
            text,
            " running={} waiting={} slots={} speed_percent={}",
            load.running, load.waiting, load.slots, load.speed_percent
        ),
        None => write!(text, " load=untold"),
    };
    let _ = write!(
        text,
        " cold_left_ms={} healthy={} age_ms={}",
        probed.reading.cold_left_ms,
        probed.reading.is_healthy,
        to_ms(probed.read_at.elapsed())
    );
    text
}

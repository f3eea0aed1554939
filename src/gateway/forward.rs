//! Brings a request to the upstream that answers it soonest.
//!
//! A few upstreams are asked for their load at the moment of sending, each on
//! the connection that the request would take. So the reading is fresh, the
//! connection is known to work, and the upstream is the expected one.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout_at};

use super::calls::{Call, to_ms};
use super::links::{Link, ProbeError, evidence_of};
use super::outcome::{Outcome, Reason};
use super::state::{Gateway, Means};
use super::store::{HeaderNames, Platform};
use crate::connection::exchange::{Answer, Connection, ExchangeError, Outgoing};
use crate::decision::admission::{Admission, SEARCH_PAUSE_MS, Search};
use crate::decision::condition::Evidence;
use crate::decision::directory::Upstream;
use crate::decision::selection::{
    Candidate, Nearness, PROBE_ROUNDS, Reading, USUAL_SPEED, cost, expected_ms, is_good_enough,
    shortlist,
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
/// Factor on the expected time after which an idempotent request that got no
/// answer is taken elsewhere.
const PATIENCE_FACTOR: f64 = 3.0;
/// Time added to that; an upstream's pace may drop for 150 ms at a time.
const PATIENCE_MORE: Duration = Duration::from_millis(200);
/// Weight of a cold upstream's speed in the expected time is unknown; work is
/// learnt only from upstreams at up to this pace.
const LEARN_SPEED_MAX_PERCENT: f64 = 150.0;

/// An upstream with the connection and reading of its probe.
#[derive(Debug)]
struct Probed {
    upstream: Arc<Upstream>,
    link: Arc<Link>,
    connection: Connection,
    reading: Reading,
    read_at: Instant,
    cost: f64,
    is_cold: bool,
}

/// How a send ended.
#[derive(Debug)]
enum Sent {
    /// The upstream answered.
    Answered(Answer),
    /// The upstream did not run it.
    NotRun,
    /// It may have run.
    Failed(Reason),
}

/// What has been tried for a request.
#[derive(Debug, Default)]
struct Trail {
    tried: Vec<Arc<str>>,
    may_have_run: bool,
}

/// Brings a request to an upstream and returns the final answer.
pub async fn forward<P: Platform>(gateway: &Arc<Gateway<P>>, call: &Call) -> Outcome {
    let Some(service) = gateway.split(&call.route) else {
        return Outcome::refused(Reason::NoUpstream, call.left_ms() / 4);
    };
    gateway.on_request(&service);
    let mut trail = Trail::default();
    let mut kept: Option<Outcome> = None;
    loop {
        let chosen = match choose(gateway, call, &service, &trail).await {
            Ok(chosen) => chosen,
            Err(refusal) => return kept.unwrap_or_else(|| trail.outcome(refusal)),
        };
        trail.tried.push(Arc::clone(&chosen.upstream.report.id));
        let sent = send(gateway, call, chosen).await;
        let outcome = match sent {
            Sent::Answered(answer) => {
                let is_final = !call.route.is_idempotent || !answer.status.is_server_error();
                if is_final {
                    return Outcome::Answered(answer);
                }
                trail.may_have_run = true;
                Outcome::Answered(answer)
            }
            Sent::NotRun => {
                trail.outcome(Outcome::refused(Reason::Refused, return_ms(gateway, call)))
            }
            Sent::Failed(reason) => {
                trail.may_have_run = true;
                Outcome::own(reason)
            }
        };
        let may_repeat = call.route.is_idempotent || !trail.may_have_run;
        if !may_repeat || !has_attempt(gateway, call, &service, &trail) {
            return outcome;
        }
        gateway.meters.repeats.inc();
        kept = matches!(outcome, Outcome::Answered(_)).then_some(outcome);
    }
}

impl Trail {
    /// Says "not run" only of what has not run.
    fn outcome(&self, refusal: Outcome) -> Outcome {
        if !self.may_have_run {
            return refusal;
        }
        match refusal {
            Outcome::Own {
                reason: Reason::LateUnsent,
                ..
            } => Outcome::own(Reason::Late),
            _ => Outcome::own(Reason::UpstreamFailed),
        }
    }
}

fn has_attempt<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    service: &Arc<str>,
    trail: &Trail,
) -> bool {
    let attempts = usize::try_from(call.route.attempts).unwrap_or(usize::MAX);
    trail.tried.len() < attempts && call.left_ms() > 0 && gateway.take_repeat(service)
}

fn return_ms<P: Platform>(gateway: &Gateway<P>, call: &Call) -> u64 {
    search(gateway, call).return_ms()
}

fn search<P: Platform>(gateway: &Gateway<P>, call: &Call) -> Search {
    Search {
        priority: call.route.priority,
        held_ms: call.held_ms(),
        objective_ms: call.route.objective_ms,
        left_ms: call.left_ms(),
        work_ms: gateway.means(&call.route).work_ms,
    }
}

/// Looks for the upstream that will answer soonest.
async fn choose<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    trail: &Trail,
) -> Result<Probed, Outcome> {
    loop {
        if call.left_ms() == 0 {
            return Err(Outcome::own(Reason::LateUnsent));
        }
        let (mut probed, candidates) = probe_some(gateway, call, service, trail).await;
        let best = take_best(gateway, service, &mut probed);
        for other in probed {
            other.link.give_back(other.connection);
        }
        let search = search(gateway, call);
        let load = best.as_ref().and_then(|best| best.reading.load);
        // An upstream that tells no load is taken as it is.
        let is_untold = best.is_some() && load.is_none();
        let admission = if is_untold {
            Admission::Send
        } else {
            search.decide(load.as_ref())
        };
        match (admission, best) {
            (Admission::Send, Some(best)) => return Ok(best),
            (Admission::Refuse { return_ms }, best) => {
                log_refusal(gateway, call, service, best.as_ref(), candidates, return_ms);
                if let Some(best) = best {
                    best.link.give_back(best.connection);
                }
                let reason = if gateway.upstreams(service).is_empty() {
                    Reason::NoUpstream
                } else {
                    Reason::NoRoom
                };
                return Err(Outcome::refused(reason, return_ms));
            }
            (_, best) => {
                if let Some(best) = best {
                    best.link.give_back(best.connection);
                }
                sleep(Duration::from_millis(SEARCH_PAUSE_MS)).await;
            }
        }
    }
}

fn log_refusal<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    service: &str,
    best: Option<&Probed>,
    candidates: usize,
    return_ms: u64,
) {
    if !gateway.lines.take() {
        return;
    }
    let reading = best.map(describe).unwrap_or_default();
    tracing::info!(
        request = call.id_text(),
        route = %call.route.name,
        version = call.version,
        service,
        candidates,
        best = reading,
        held_ms = call.held_ms(),
        left_ms = call.left_ms(),
        work_ms = gateway.means(&call.route).work_ms,
        return_ms,
        "no room in time; refusing"
    );
}

/// Draws upstreams and asks them for their load; also tells how many could be
/// drawn.
async fn probe_some<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    trail: &Trail,
) -> (Vec<Probed>, usize) {
    let now_ms = gateway.now_ms();
    let nearness = Nearness::of_bytes(gateway.means(&call.route).bytes);
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
        if trail.tried.contains(&upstream.report.id) {
            continue;
        }
        candidates.push(Candidate {
            is_near: upstream.report.data_centre == gateway.settings().data_centre,
            is_connected: link.is_connected(),
            failure_share,
        });
        usable.push((upstream, link));
    }
    let probes = PROBE_ROUNDS.iter().sum();
    let drawn = shortlist(&candidates, nearness, probes, &mut rand::rng());
    let health_path = gateway
        .manifest()
        .and_then(|manifest| Some(Arc::clone(&manifest.services.get(service)?.health_path)));
    let Some(health_path) = health_path else {
        return (Vec::new(), 0);
    };
    let mut asking = Asking::new(drawn.len());
    let mut rest = &drawn[..];
    for (round, wanted) in PROBE_ROUNDS.into_iter().enumerate() {
        let wanted = wanted.min(rest.len());
        if wanted == 0 || is_settled(gateway, call, &asking.found) {
            break;
        }
        let count = gateway.take_probes(service, candidates.len(), wanted);
        let (now, later) = rest.split_at(count);
        rest = later;
        for index in now {
            let (upstream, link) = usable[*index].clone();
            let health_path = Arc::clone(&health_path);
            let task = probe_one(Arc::clone(gateway), upstream, link, health_path, nearness);
            asking.spawn(task);
        }
        let is_last = rest.is_empty() || round + 1 == PROBE_ROUNDS.len();
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

/// Whether asking more upstreams is not worth it: one is idle at its usual
/// pace, or after the second round one will answer in time.
fn is_settled<P: Platform>(gateway: &Gateway<P>, call: &Call, found: &[Probed]) -> bool {
    let work_ms = gateway.means(&call.route).work_ms;
    let left_ms = call.route.objective_ms.saturating_sub(call.held_ms());
    let left_ms = f64::from(u32::try_from(left_ms).unwrap_or(u32::MAX));
    let is_in_time = |probed: &Probed| expected_ms(&probed.reading, work_ms) <= left_ms;
    found.iter().any(|probed| is_good_enough(&probed.reading))
        || (found.len() > 1 && found.iter().any(is_in_time))
}

/// Asks one upstream for its load.
async fn probe_one<P: Platform>(
    gateway: Arc<Gateway<P>>,
    upstream: Arc<Upstream>,
    link: Arc<Link>,
    health_path: Arc<str>,
    nearness: Nearness,
) -> Option<Probed> {
    let names = gateway.platform.headers();
    let (connection, reading) = match link.probe(names, &health_path, &gateway.meters).await {
        Ok(probed) => probed,
        Err(error) => {
            on_failed_probe(&gateway, &link, &error);
            return None;
        }
    };
    let is_near = upstream.report.data_centre == gateway.settings().data_centre;
    let is_cold = reading.cold_left_ms > 0;
    let mut cost = cost(&reading, nearness, is_near);
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
fn take_best<P: Platform>(
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

fn describe(probed: &Probed) -> String {
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

/// Notes a send whose future is dropped, since the caller left.
struct Abandoned<'l> {
    link: &'l Link,
    is_settled: bool,
}

impl Drop for Abandoned<'_> {
    fn drop(&mut self) {
        if !self.is_settled {
            self.link.condition().on_abandoned();
        }
    }
}

async fn send<P: Platform>(gateway: &Gateway<P>, call: &Call, chosen: Probed) -> Sent {
    let names = gateway.platform.headers();
    let link = Arc::clone(&chosen.link);
    let expected_ms = expected_ms(&chosen.reading, gateway.means(&call.route).work_ms);
    if gateway.lines.take() {
        tracing::info!(
            request = call.id_text(),
            route = %call.route.name,
            version = call.version,
            service = %chosen.upstream.report.service,
            upstream = describe(&chosen),
            held_ms = call.held_ms(),
            left_ms = call.left_ms(),
            expected_ms,
            "request sent"
        );
    }
    link.condition().on_send();
    let mut guard = Abandoned {
        link: &link,
        is_settled: false,
    };
    let connection = link.keep_or_open(chosen.connection, &gateway.meters).await;
    let mut connection = match connection {
        Ok(connection) => connection,
        Err(error) => {
            guard.is_settled = true;
            note(gateway, call, &link, evidence_of(&error), &error);
            return Sent::NotRun;
        }
    };
    let request = outgoing(names, call, &chosen.upstream.report.id);
    let began = Instant::now();
    let until = give_up_at(call, expected_ms, began);
    let exchange = connection.exchange(&request, Some(&names.request_id));
    let ended = timeout_at(until, exchange).await;
    guard.is_settled = true;
    gateway
        .meters
        .upstream_s
        .observe(began.elapsed().as_secs_f64());
    match ended {
        Ok(Ok(answer)) => {
            let sent = judge(gateway, call, &link, answer);
            link.give_back(connection);
            learn(gateway, call, &chosen.reading, began, &sent);
            sent
        }
        Ok(Err(error)) => {
            on_broken(gateway, call, &link, &error);
            Sent::Failed(Reason::UpstreamFailed)
        }
        Err(_) => {
            // Dropping the connection tells the upstream to stop.
            drop(connection);
            on_silent(gateway, call, &link, began);
            Sent::Failed(Reason::Late)
        }
    }
}

fn give_up_at(call: &Call, expected_ms: f64, began: Instant) -> Instant {
    if !call.route.is_idempotent {
        return call.deadline;
    }
    let patience = Duration::from_secs_f64(PATIENCE_FACTOR * expected_ms / 1_000.0) + PATIENCE_MORE;
    call.deadline.min(began + patience)
}

fn outgoing(names: &HeaderNames, call: &Call, upstream: &str) -> Outgoing {
    let mut headers = call.headers.clone();
    headers.insert(&names.deadline_ms, HeaderValue::from(call.left_ms().max(1)));
    if let Ok(value) = HeaderValue::from_str(upstream) {
        headers.insert(&names.expected_upstream, value);
    }
    Outgoing {
        method: call.method.clone(),
        target: call.target.clone(),
        headers,
        body: call.body.clone(),
    }
}

/// What an answer means for the request and for the upstream's condition.
fn judge<P: Platform>(gateway: &Gateway<P>, call: &Call, link: &Link, answer: Answer) -> Sent {
    let names = gateway.platform.headers();
    let is_misdirected = answer.status == StatusCode::MISDIRECTED_REQUEST;
    let is_not_run = is_misdirected
        || (answer.headers.contains_key(&names.not_run)
            && answer.status != StatusCode::BAD_REQUEST);
    let is_unstamped = answer.status.is_success() && !answer.headers.contains_key(&names.stamp);
    let (evidence, sent) = if is_misdirected {
        (Evidence::Unreachable, Sent::NotRun)
    } else if is_not_run {
        (Evidence::Shed, Sent::NotRun)
    } else if is_unstamped {
        (Evidence::Failed, Sent::Failed(Reason::UpstreamFailed))
    } else if answer.status.is_server_error() {
        (Evidence::Failed, Sent::Answered(answer))
    } else {
        (Evidence::Served, Sent::Answered(answer))
    };
    note(gateway, call, link, evidence, &format_args!("answered"));
    sent
}

fn on_broken<P: Platform>(gateway: &Gateway<P>, call: &Call, link: &Link, error: &ExchangeError) {
    note(gateway, call, link, Evidence::Failed, error);
}

fn on_silent<P: Platform>(gateway: &Gateway<P>, call: &Call, link: &Link, began: Instant) {
    let silent_ms = to_ms(began.elapsed());
    let what = format_args!("no answer for {silent_ms} ms").to_string();
    note(gateway, call, link, Evidence::Failed, &what);
}

fn note<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    link: &Link,
    evidence: Evidence,
    what: &dyn std::fmt::Display,
) {
    let is_ejected = link.condition().on_evidence(evidence, gateway.now_ms());
    if is_ejected {
        gateway.meters.ejections.inc();
    }
    gateway.meters.on_send(match evidence {
        Evidence::Served => "served",
        Evidence::Failed => "failed",
        Evidence::Shed => "shed",
        Evidence::Unreachable => "misdirected",
    });
    if evidence != Evidence::Served && gateway.lines.take() {
        tracing::info!(
            request = call.id_text(),
            upstream = %link.id,
            %evidence,
            %what,
            is_ejected,
            "send without a good answer"
        );
    }
}

fn learn<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    reading: &Reading,
    began: Instant,
    sent: &Sent,
) {
    let Sent::Answered(answer) = sent else {
        return;
    };
    let Some(load) = reading.load else {
        return;
    };
    let is_typical = load.speed_percent <= LEARN_SPEED_MAX_PERCENT
        && load.running + load.waiting < load.slots
        && reading.cold_left_ms == 0;
    if answer.status.is_success() && is_typical {
        let work_ms = began.elapsed().as_secs_f64() * 1_000.0;
        let bytes = call.body.len() + answer.body.len();
        let newest = Means {
            work_ms: work_ms * USUAL_SPEED / load.speed_percent.max(1.0),
            bytes: f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)),
        };
        gateway.learn(&call.route, newest);
    }
}

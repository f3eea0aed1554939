//! Sends a request to an upstream and classifies the response.

use std::pin::pin;
use std::sync::Arc;

use http::{HeaderValue, StatusCode};
use tokio::time::{Instant, timeout_at};

use super::attempts::{Attempt, OverdueCause, overdue, overdue_at};
use super::calls::{Call, to_ms};
use super::crash_evidence;
use super::limited_choice::Chosen;
use super::outcome::{Reason, RunResponse, says_not_run};
use super::probe_state::InFlight;
use super::probing::describe;
use super::rate_limits::{AnswerKind, read_limit};
use super::rollouts::counts::Sample;
use super::send_permit::SendPermit;
use super::state::Gateway;
use super::store::{HeaderNames, Platform};
use super::upstream_client::{UpstreamClient, evidence_of};
use super::upstream_notices::read_notice;
use crate::connection::exchange::{Connection, ExchangeError, HttpRequest, HttpResponse};
use crate::decision::directory::Upstream;
use crate::decision::ejection::Evidence;
use crate::decision::route_times::RouteMeans;
use crate::decision::selection::{Reading, USUAL_SPEED_PERCENT, expected_ms};

/// Service time, in percent of the usual one, above which an upstream's responses
/// don't count towards the route's averages.
const MAX_TYPICAL_SPEED_PERCENT: f64 = 150.0;

/// How an attempt to send a request ended.
#[derive(Debug)]
pub enum SendOutcome {
    /// The upstream ran the request and answered.
    Answered(RunResponse),
    /// No connection could be opened, so nothing was sent.
    Unsent,
    /// The upstream did not run the request.
    NotRun,
    /// The request failed and may have run.
    Failed(Reason),
}

/// Records that a request ended without evidence about its upstream, if the send
/// is dropped because the caller disconnected.
struct AbandonGuard<'c> {
    client: &'c UpstreamClient,
    _in_flight: InFlight<'c>,
    is_finished: bool,
}

impl<'c> AbandonGuard<'c> {
    fn new(client: &'c UpstreamClient) -> Self {
        Self {
            client,
            _in_flight: client.begin_request(),
            is_finished: false,
        }
    }
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.client.ejection().on_abandoned();
        }
    }
}

/// Sends a request on the connection of its upstream's probe, or with a permit, and waits for the
/// response until the request's deadline.
pub async fn send<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    chosen: Chosen<P>,
    attempt: &mut Attempt<'_>,
) -> SendOutcome {
    let Chosen {
        upstream: chosen,
        mut permit,
    } = chosen;
    let names = gateway.platform.headers();
    let client = Arc::clone(&chosen.client);
    let expected_ms = expected_ms(&chosen.reading, gateway.route_means(&call.route).work_ms);
    if gateway.log_budget.take() {
        tracing::info!(
            request = call.id_text(),
            route = %call.route.name,
            version = call.version,
            service = %chosen.upstream.report.service,
            upstream = describe(&chosen),
            held_ms = call.held_ms(),
            left_ms = call.left_ms(),
            expected_ms,
            permit_from = permit.as_ref().map(SendPermit::issuer_text),
            "request sent"
        );
    }
    let began = Instant::now();
    client.ejection().on_send();
    let mut guard = AbandonGuard::new(&client);
    let id = call.id.as_ref();
    let connection = if id.is_some_and(|id| !chosen.connection.has_refused(id)) {
        client
            .reuse_or_open(chosen.connection, &gateway.metrics)
            .await
    } else {
        // A late copy of another answer could not be told from the right one.
        client.open(&gateway.metrics).await
    };
    let mut connection = match connection {
        Ok(connection) => connection,
        Err(error) => {
            guard.is_finished = true;
            let evidence = evidence_of(&error);
            record_failure(gateway, call, &client, evidence, began, &error);
            return SendOutcome::Unsent;
        }
    };
    let obstacle = if !gateway.is_wanted_by(&chosen.upstream.report) {
        Some("the upstream takes none now")
    } else if permit.as_mut().is_some_and(|permit| !permit.try_use()) {
        Some("its permit has expired")
    } else {
        None
    };
    if let Some(why) = obstacle {
        if gateway.log_budget.take() {
            tracing::info!(request = call.id_text(), upstream = %client.id, why, "request not sent");
        }
        guard.is_finished = true;
        client.ejection().on_abandoned();
        client.release(connection);
        return SendOutcome::Unsent;
    }
    let request = upstream_request(names, call, &chosen.upstream.report.id);
    let sent_at = Instant::now();
    let sent = Sent::new(&client, sent_at, overdue_at(call, expected_ms, sent_at));
    let sample = Sample::begin(gateway, call, &chosen.upstream, &chosen.reading);
    let result = exchange(gateway, call, &mut connection, &request, &sent, attempt).await;
    Sample::end(sample, names, result.as_ref());
    guard.is_finished = true;
    gateway
        .metrics
        .upstream_s
        .observe(sent_at.elapsed().as_secs_f64());
    match result {
        Some(Ok(response)) => {
            let asks_silence =
                note_statements(gateway, &chosen.upstream, &client, &response, sent_at);
            crash_evidence::on_answer(gateway, call, &response);
            let sent = classify_response(gateway, call, &client, response, asks_silence, attempt);
            if let Some(id) = &call.id {
                if matches!(sent, SendOutcome::NotRun) {
                    connection.note_refusal(id);
                }
                client.release(connection);
            }
            let probed = chosen.is_probed.then_some(&chosen.reading);
            update_means(gateway, call, probed, sent_at, &sent);
            sent
        }
        Some(Err(error)) => {
            on_exchange_error(gateway, call, &sent, &error, attempt);
            crash_evidence::on_failed_exchange(gateway, call, &client, &error).await;
            SendOutcome::Failed(Reason::UpstreamFailed)
        }
        None => {
            // Closing the connection cancels the request at the upstream.
            drop(connection);
            on_timeout(gateway, call, &sent, attempt);
            SendOutcome::Failed(Reason::Late)
        }
    }
}

/// A request that an upstream has got.
struct Sent<'c> {
    client: &'c UpstreamClient,
    sent_at: Instant,
    /// When the attempt is overdue; `None` for one beside which no other may begin.
    overdue_at: Option<Instant>,
}

impl<'c> Sent<'c> {
    fn new(client: &'c UpstreamClient, sent_at: Instant, overdue_at: Option<Instant>) -> Self {
        Self {
            client,
            sent_at,
            overdue_at,
        }
    }
}

/// Sends the request and waits for the response; `None` if it does not arrive before the
/// request's deadline.
async fn exchange<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    connection: &mut Connection,
    request: &HttpRequest,
    sent: &Sent<'_>,
    attempt: &mut Attempt<'_>,
) -> Option<Result<HttpResponse, ExchangeError>> {
    let id_header = Some(&gateway.platform.headers().request_id);
    let exchange = connection.exchange_within(request, id_header, &gateway.response_memory);
    let mut exchange = pin!(timeout_at(call.deadline, exchange));
    attempt.begin_send();
    let cause = tokio::select! {
        // A response that came while this process stood still is in time.
        biased;
        result = &mut exchange => return result.ok(),
        () = overdue(sent.overdue_at) => OverdueCause::Estimate,
        () = gateway.contact.cut_off(), if sent.overdue_at.is_some() => OverdueCause::LostLinks,
    };
    on_overdue(gateway, call, sent, cause);
    attempt.set_overdue();
    exchange.await.ok()
}

fn upstream_request(names: &HeaderNames, call: &Call, upstream: &str) -> HttpRequest {
    let mut headers = call.headers.clone();
    headers.insert(&names.deadline_ms, HeaderValue::from(call.left_ms().max(1)));
    if let Ok(value) = HeaderValue::from_str(upstream) {
        headers.insert(&names.expected_upstream, value);
    }
    HttpRequest {
        method: call.method.clone(),
        target: call.target.clone(),
        headers,
        body: call.body.clone(),
    }
}

/// Records what a response says of its upstream; a response of another process than the
/// expected one says nothing. Returns whether it asks for silence.
fn note_statements<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    upstream: &Upstream,
    client: &UpstreamClient,
    response: &HttpResponse,
    sent_at: Instant,
) -> bool {
    if response.status == StatusCode::MISDIRECTED_REQUEST {
        return false;
    }
    let names = gateway.platform.headers();
    if let Some(load) = client.parse_load_header(names, &response.headers) {
        gateway.on_load(upstream, client, &load);
        gateway.note_load(&client.id, Some(load));
    }
    let kind = if response.headers.contains_key(&names.stamp) {
        AnswerKind::Run
    } else {
        AnswerKind::Rejection
    };
    let limit = read_limit(&response.headers, &names.rate_limit);
    gateway.on_named_limit(client, limit, sent_at, kind);
    let notice = read_notice(response, names, &client.id);
    gateway.on_notice(client, notice, sent_at, kind);
    notice.is_some_and(|notice| notice.asks_silence())
}

/// Decides whether a response shows that the request ran, and records it in the
/// upstream's ejection state, unless it was overdue: then it has counted already.
///
/// Only the header for it, or status 421, shows that the request did not run; a failure with
/// another status that tells callers so is not passed on.
fn classify_response<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    client: &UpstreamClient,
    response: HttpResponse,
    asks_silence: bool,
    attempt: &Attempt<'_>,
) -> SendOutcome {
    let names = gateway.platform.headers();
    let is_misdirected = response.status == StatusCode::MISDIRECTED_REQUEST;
    let is_not_run = is_misdirected
        || (response.headers.contains_key(&names.not_run)
            && response.status != StatusCode::BAD_REQUEST);
    let status = response.status;
    let is_unstamped = status.is_success() && !response.headers.contains_key(&names.stamp);
    let is_failure = status.is_server_error() || says_not_run(status);
    let run_response = RunResponse::new(response);
    let evidence = if is_misdirected {
        Evidence::Unreachable
    } else if asks_silence {
        Evidence::TurnedAway
    } else if is_not_run {
        Evidence::Shed
    } else if is_unstamped || is_failure {
        Evidence::Failed
    } else {
        Evidence::Served
    };
    let (sent, what) = match run_response {
        _ if is_not_run => (SendOutcome::NotRun, "did not run it"),
        Ok(_) if is_unstamped => (
            SendOutcome::Failed(Reason::UpstreamFailed),
            "without its stamp",
        ),
        Ok(response) => (SendOutcome::Answered(response), "ran it"),
        Err(_) => (
            SendOutcome::Failed(Reason::UpstreamFailed),
            "may have run it, though the status says otherwise",
        ),
    };
    let is_ejected =
        !attempt.is_overdue() && client.ejection().on_evidence(evidence, gateway.now_ms());
    gateway.on_upstream_answer(&client.id);
    record_evidence(
        gateway,
        call,
        client,
        evidence,
        is_ejected,
        &format_args!("answered {}: {what}", status.as_u16()),
    );
    sent
}

fn on_exchange_error<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    sent: &Sent<'_>,
    error: &ExchangeError,
    attempt: &Attempt<'_>,
) {
    let client = sent.client;
    if matches!(error, ExchangeError::NoMemory) {
        client.ejection().on_abandoned();
        let id = call.id_text();
        tracing::info!(request = id, upstream = %client.id, %error, "response given up");
        return;
    }
    if attempt.is_overdue() {
        record_evidence(gateway, call, client, Evidence::Overdue, false, error);
        return;
    }
    record_failure(gateway, call, client, Evidence::Failed, sent.sent_at, error);
}

/// Records that a response is overdue; the upstream may still be at work on it.
fn on_overdue<P: Platform>(gateway: &Gateway<P>, call: &Call, sent: &Sent, cause: OverdueCause) {
    gateway.metrics.on_overdue(cause.into());
    let is_ejected = gateway.on_upstream_failure(sent.client, Evidence::Overdue, sent.sent_at);
    if is_ejected {
        gateway.metrics.ejections.inc();
    }
    if gateway.log_budget.take() {
        tracing::info!(
            request = call.id_text(),
            upstream = %sent.client.id,
            %cause,
            waited_ms = to_ms(sent.sent_at.elapsed()),
            left_ms = call.left_ms(),
            is_ejected,
            stopping_for_ms = gateway.stopping_for_ms(),
            "response overdue; waiting on"
        );
    }
}

fn on_timeout<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    sent: &Sent<'_>,
    attempt: &Attempt<'_>,
) {
    let silent_ms = to_ms(sent.sent_at.elapsed());
    let what = format_args!("no response for {silent_ms} ms, until the deadline").to_string();
    if attempt.is_overdue() {
        record_evidence(gateway, call, sent.client, Evidence::Overdue, false, &what);
        return;
    }
    record_failure(
        gateway,
        call,
        sent.client,
        Evidence::Failed,
        sent.sent_at,
        &what,
    );
}

/// Records an attempt without an answer.
fn record_failure<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    client: &UpstreamClient,
    evidence: Evidence,
    began: Instant,
    what: &dyn std::fmt::Display,
) {
    let is_ejected = gateway.on_upstream_failure(client, evidence, began);
    record_evidence(gateway, call, client, evidence, is_ejected, what);
}

/// Records the end of an attempt in the metrics and the log; an overdue one has counted towards
/// the ejection already.
fn record_evidence<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    client: &UpstreamClient,
    evidence: Evidence,
    is_ejected: bool,
    what: &dyn std::fmt::Display,
) {
    if is_ejected {
        gateway.metrics.ejections.inc();
    }
    gateway.metrics.on_send(match evidence {
        Evidence::Served => "served",
        Evidence::Failed => "failed",
        Evidence::Overdue => "overdue",
        Evidence::Shed => "shed",
        Evidence::TurnedAway => "turned-away",
        Evidence::Unreachable => "misdirected",
    });
    if evidence != Evidence::Served && gateway.log_budget.take() {
        tracing::info!(
            request = call.id_text(),
            upstream = %client.id,
            %evidence,
            %what,
            is_ejected,
            "request not served by the upstream"
        );
    }
}

/// Updates the route's times, and its averages from a typical response: successful, and from an
/// upstream that is warm, not overly slow, and had a free slot.
fn update_means<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    probed: Option<&Reading>,
    sent_at: Instant,
    sent: &SendOutcome,
) {
    let SendOutcome::Answered(response) = sent else {
        return;
    };
    let took_ms = sent_at.elapsed().as_secs_f64() * 1_000.0;
    gateway.route_times().add(&call.route, took_ms);
    let Some((reading, load)) = probed.and_then(|reading| Some((reading, reading.load?))) else {
        return;
    };
    let is_typical = load.speed_percent <= MAX_TYPICAL_SPEED_PERCENT
        && load.running + load.waiting < load.slots
        && reading.cold_left_ms == 0;
    if response.status.is_success() && is_typical {
        let bytes = call.body.len() + response.body.len();
        let newest = RouteMeans {
            work_ms: took_ms * USUAL_SPEED_PERCENT / load.speed_percent.max(1.0),
            bytes: f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)),
        };
        gateway.route_times().add_typical(&call.route, newest);
    }
}

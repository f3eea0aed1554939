//! Sends a request to an upstream and classifies the response.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use tokio::time::{Instant, timeout_at};

use super::calls::{Call, to_ms};
use super::crash_evidence;
use super::limited_choice::Chosen;
use super::outcome::{Reason, RunResponse, says_not_run};
use super::probing::describe;
use super::rate_limits::{AnswerKind, read_limit};
use super::send_permit::SendPermit;
use super::state::Gateway;
use super::store::{HeaderNames, Platform};
use super::upstream_client::{UpstreamClient, evidence_of};
use super::upstream_notices::read_notice;
use crate::connection::exchange::{Connection, ExchangeError, HttpRequest, HttpResponse};
use crate::decision::ejection::Evidence;
use crate::decision::route_times::RouteMeans;
use crate::decision::selection::{Reading, USUAL_SPEED_PERCENT, expected_ms};

/// Multiple of the expected service time after which an attempt of an idempotent
/// request times out, so that it can be retried on another upstream.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 3.0;
/// Added to that, since an upstream may slow down for 150 ms at a time.
const ATTEMPT_TIMEOUT_MARGIN: Duration = Duration::from_millis(200);
/// Service time, in percent of the usual one, above which an upstream's responses
/// don't count towards the route's averages.
const MAX_TYPICAL_SPEED_PERCENT: f64 = 150.0;

/// What ended an attempt that had no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptLimit {
    /// The time in which the response was expected.
    Estimate,
    /// The belief that this instance reaches no upstream.
    LostLinks,
    /// The deadline of the request.
    Deadline,
}

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
    is_finished: bool,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.client.ejection().on_abandoned();
        }
    }
}

/// Sends a request on the connection of its upstream's probe, or with a permit.
pub async fn send<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    chosen: Chosen<P>,
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
    let mut guard = AbandonGuard {
        client: &client,
        is_finished: false,
    };
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
    let deadline = attempt_deadline(call, expected_ms, sent_at);
    let result = exchange_until(gateway, call, &mut connection, &request, deadline).await;
    guard.is_finished = true;
    gateway
        .metrics
        .upstream_s
        .observe(sent_at.elapsed().as_secs_f64());
    match result {
        Ok(Ok(response)) => {
            let asks_silence = note_statements(gateway, &client, &response, sent_at);
            crash_evidence::on_answer(gateway, call, &response);
            let sent = classify_response(gateway, call, &client, response, asks_silence);
            if let Some(id) = &call.id {
                if matches!(sent, SendOutcome::NotRun) {
                    connection.note_refusal(id);
                }
                client.release(connection);
            }
            update_means(gateway, call, &chosen.reading, sent_at, &sent);
            sent
        }
        Ok(Err(error)) => {
            on_exchange_error(gateway, call, &client, &error, sent_at);
            crash_evidence::on_failed_exchange(gateway, call, &client, &error).await;
            SendOutcome::Failed(Reason::UpstreamFailed)
        }
        Err(limit) => {
            // Closing the connection cancels the request at the upstream.
            drop(connection);
            on_timeout(gateway, call, &client, sent_at, limit);
            SendOutcome::Failed(Reason::Late)
        }
    }
}

/// Sends the request and waits for the response.
///
/// # Errors
/// Returns what ended the attempt if the response does not arrive in time.
async fn exchange_until<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    connection: &mut Connection,
    request: &HttpRequest,
    deadline: Instant,
) -> Result<Result<HttpResponse, ExchangeError>, AttemptLimit> {
    let id_header = Some(&gateway.platform.headers().request_id);
    let exchange = connection.exchange_within(request, id_header, &gateway.response_memory);
    tokio::pin!(exchange);
    let answered = timeout_at(deadline, &mut exchange);
    let result = if call.route.is_idempotent {
        tokio::select! {
            result = answered => result,
            // No answer can come any more; another instance may run the request in time.
            () = lost_links(gateway) => return Err(AttemptLimit::LostLinks),
        }
    } else {
        answered.await
    };
    if result.is_err() && gateway.is_stopping() {
        // The upstream is at work, and a retry may find no room before the process ends.
        let result = timeout_at(call.deadline, &mut exchange).await;
        return result.map_err(|_| AttemptLimit::Deadline);
    }
    result.map_err(|_| {
        if deadline < call.deadline {
            AttemptLimit::Estimate
        } else {
            AttemptLimit::Deadline
        }
    })
}

/// Waits until this instance believes that it reaches no upstream. During a planned stop the
/// belief ends no request: if it is wrong, the upstream's answer is lost.
async fn lost_links<P: Platform>(gateway: &Gateway<P>) {
    gateway.contact.cut_off().await;
    if gateway.is_stopping() {
        std::future::pending::<()>().await;
    }
}

/// When an attempt that began at `sent_at` times out.
#[must_use]
pub fn attempt_deadline(call: &Call, expected_ms: f64, sent_at: Instant) -> Instant {
    if !call.route.is_idempotent {
        return call.deadline;
    }
    let timeout = Duration::from_secs_f64(ATTEMPT_TIMEOUT_FACTOR * expected_ms / 1_000.0)
        + ATTEMPT_TIMEOUT_MARGIN;
    call.deadline.min(sent_at + timeout)
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
    client: &UpstreamClient,
    response: &HttpResponse,
    sent_at: Instant,
) -> bool {
    if response.status == StatusCode::MISDIRECTED_REQUEST {
        return false;
    }
    let names = gateway.platform.headers();
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
/// upstream's ejection state.
///
/// Only the header for it, or status 421, shows that the request did not run; a failure with
/// another status that tells callers so is not passed on.
fn classify_response<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    client: &UpstreamClient,
    response: HttpResponse,
    asks_silence: bool,
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
    let is_ejected = client.ejection().on_evidence(evidence, gateway.now_ms());
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
    client: &UpstreamClient,
    error: &ExchangeError,
    began: Instant,
) {
    if matches!(error, ExchangeError::NoMemory) {
        client.ejection().on_abandoned();
        let id = call.id_text();
        tracing::info!(request = id, upstream = %client.id, %error, "response given up");
        return;
    }
    record_failure(gateway, call, client, Evidence::Failed, began, error);
}

fn on_timeout<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    client: &UpstreamClient,
    sent_at: Instant,
    limit: AttemptLimit,
) {
    gateway.metrics.on_given_up(limit.into());
    let silent_ms = to_ms(sent_at.elapsed());
    let left_ms = call.left_ms();
    let what = format!("no response for {silent_ms} ms, limit {limit}, {left_ms} ms left");
    record_failure(gateway, call, client, Evidence::Failed, sent_at, &what);
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

/// Records the end of an attempt in the metrics and the log.
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
    reading: &Reading,
    sent_at: Instant,
    sent: &SendOutcome,
) {
    let SendOutcome::Answered(response) = sent else {
        return;
    };
    let took_ms = sent_at.elapsed().as_secs_f64() * 1_000.0;
    gateway.route_times().add(&call.route, took_ms);
    let Some(load) = reading.load else {
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

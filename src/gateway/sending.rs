//! Sends a request to its upstream and judges the answer.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use tokio::time::{Instant, timeout_at};

use super::calls::{Call, to_ms};
use super::links::{Link, evidence_of};
use super::outcome::Reason;
use super::probing::{Probed, describe};
use super::state::{Gateway, Means};
use super::store::{HeaderNames, Platform};
use crate::connection::exchange::{Answer, ExchangeError, Outgoing};
use crate::decision::ejection::Evidence;
use crate::decision::selection::{Reading, USUAL_SPEED_PERCENT, expected_ms};

/// Factor on the expected time after which an idempotent request that got no
/// answer is taken elsewhere.
const PATIENCE_FACTOR: f64 = 3.0;
/// Time added to that; an upstream's pace may drop for 150 ms at a time.
const PATIENCE_MORE: Duration = Duration::from_millis(200);
/// Pace up to which an answer tells how long work takes.
const LEARN_SPEED_MAX_PERCENT: f64 = 150.0;

/// How a send ended.
#[derive(Debug)]
pub enum Sent {
    /// The upstream answered.
    Answered(Answer),
    /// The upstream did not run it.
    NotRun,
    /// It may have run.
    Failed(Reason),
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

/// Sends a request on the connection of its probe.
pub async fn send<P: Platform>(gateway: &Gateway<P>, call: &Call, chosen: Probed) -> Sent {
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
            work_ms: work_ms * USUAL_SPEED_PERCENT / load.speed_percent.max(1.0),
            bytes: f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)),
        };
        gateway.learn(&call.route, newest);
    }
}

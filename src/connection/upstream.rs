//! Connections to upstreams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use reqwest::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};
use reqwest::{Client, Method, redirect, retry};
use tokio::time::{Instant, timeout_at};

use crate::process::lifecycle::Signal;
use crate::request::attempt::{Attempt, Unsent};
use crate::request::body::Body;
use crate::request::call::Call;
use crate::request::headers;
use crate::request::outcome::{Answer, Header, Outcome, UnknownReason};

/// Time in which a connection must stand.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// How one attempt at an upstream ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The attempt is over.
    Done(Outcome),
    /// It is proved that the upstream did not start.
    NotStarted(Attempt<Unsent>),
    /// No answer will come, but the call may be repeated.
    Retryable(Attempt<Unsent>, UnknownReason),
}

/// What one attempt showed and how it ended.
#[derive(Debug)]
pub struct AttemptReport {
    /// What it showed of the upstream.
    pub signal: Signal,
    /// How it ended.
    pub end: AttemptEnd,
}

/// The connections of this process to upstreams.
///
/// Each upstream has a client of its own. After silence the client is
/// replaced, so that no later call meets another silent connection of it.
#[derive(Debug, Default)]
pub struct UpstreamClients {
    clients: Mutex<HashMap<SocketAddr, Client>>,
}

/// Limits of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    /// Time at which the caller needs no answer any more.
    pub deadline: Instant,
    /// Time at which the upstream must have answered.
    pub run_deadline: Instant,
    /// Largest body of the answer.
    pub body_limit_bytes: usize,
    /// Whether a fresh connection must be made.
    pub needs_new_connection: bool,
}

impl UpstreamClients {
    /// Sends an attempt to an upstream and waits for the whole answer.
    pub async fn run(
        &self,
        name: &Arc<str>,
        address: SocketAddr,
        attempt: Attempt<Unsent>,
        context: &str,
        limits: AttemptLimits,
    ) -> AttemptReport {
        if limits.needs_new_connection {
            self.discard_client(address);
        }
        let client = self.client(address);
        let until = limits.deadline.min(limits.run_deadline);
        let request = build_request(&client, address, attempt.call(), context, until);
        let sent = attempt.mark_sent();
        let exchange = exchange(request, name, limits.body_limit_bytes);
        let failure = match timeout_at(until, exchange).await {
            Ok(Ok(Exchange::Answer(answer, signal))) => {
                let end = AttemptEnd::Done(sent.complete(answer));
                return new_report(signal, end);
            }
            Ok(Ok(Exchange::NotStarted)) => {
                return new_report(Signal::Refused, AttemptEnd::NotStarted(sent.into_unsent()));
            }
            Ok(Err(failure)) => failure,
            Err(_) if limits.deadline <= limits.run_deadline => Failure::CallerDeadline,
            Err(_) => Failure::RunTimeout,
        };
        if failure == Failure::ConnectFailed {
            return new_report(
                Signal::Unconnected,
                AttemptEnd::NotStarted(sent.into_unsent()),
            );
        }
        if failure == Failure::RunTimeout {
            self.discard_client(address);
        }
        let end = match sent.fail(failure.reason()) {
            Ok(held) => AttemptEnd::Retryable(held, failure.reason()),
            Err(outcome) => AttemptEnd::Done(outcome),
        };
        AttemptReport {
            signal: failure.signal(),
            end,
        }
    }

    /// Asks the health endpoint; `true` for a 2xx answer in time.
    pub async fn probe(&self, address: SocketAddr, path: &str, until: Instant) -> bool {
        let url = format!("http://{address}{path}");
        let answer = self.client(address).get(url).send();
        matches!(timeout_at(until, answer).await, Ok(Ok(answer)) if answer.status().is_success())
    }

    /// Replaces the client of an upstream.
    pub fn discard_client(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn client(&self, address: SocketAddr) -> Client {
        let mut clients = self.lock();
        let client = clients.entry(address).or_insert_with(new_client);
        client.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Client>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A client that sends each request at most once and only where it is told.
fn new_client() -> Client {
    Client::builder()
        .retry(retry::never())
        .redirect(redirect::Policy::none())
        .no_proxy()
        .http1_only()
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build()
        .unwrap_or_else(|_| Client::new())
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    ConnectFailed,
    ConnectionReset,
    InvalidBody,
    TooLarge,
    RunTimeout,
    CallerDeadline,
}

impl Failure {
    fn reason(self) -> UnknownReason {
        match self {
            Self::ConnectFailed | Self::ConnectionReset => UnknownReason::UpstreamCut,
            Self::InvalidBody => UnknownReason::AnswerBroken,
            Self::TooLarge => UnknownReason::AnswerTooLarge,
            Self::RunTimeout | Self::CallerDeadline => UnknownReason::UpstreamSilent,
        }
    }

    fn signal(self) -> Signal {
        match self {
            Self::ConnectFailed => Signal::Unconnected,
            Self::ConnectionReset => Signal::Reset,
            Self::InvalidBody => Signal::Errored,
            Self::TooLarge => Signal::Answered,
            Self::RunTimeout => Signal::Silent,
            Self::CallerDeadline => Signal::Cancelled,
        }
    }
}

enum Exchange {
    Answer(Answer, Signal),
    NotStarted,
}

fn new_report(signal: Signal, end: AttemptEnd) -> AttemptReport {
    AttemptReport { signal, end }
}

fn build_request(
    client: &Client,
    address: SocketAddr,
    call: &Call,
    context: &str,
    until: Instant,
) -> reqwest::RequestBuilder {
    let method = Method::from_bytes(call.method.as_bytes()).unwrap_or(Method::GET);
    let remaining_ms = until.saturating_duration_since(Instant::now()).as_millis();
    let mut request = client
        .request(method, format!("http://{address}{}", call.path))
        .headers(headers_to_map(&call.headers))
        .header(headers::TIMEOUT_MS, remaining_ms.max(1).to_string())
        .header(headers::CONTEXT, context)
        .header(headers::CALL_ID, &*call.id);
    if let Some(key) = &call.key {
        request = request.header(headers::IDEMPOTENCY_KEY, &**key);
    }
    if call.body.is_empty() {
        return request;
    }
    request.body(call.body.0.clone())
}

async fn exchange(
    request: reqwest::RequestBuilder,
    name: &Arc<str>,
    body_limit_bytes: usize,
) -> Result<Exchange, Failure> {
    let mut response = request.send().await.map_err(|error| {
        if error.is_connect() {
            Failure::ConnectFailed
        } else {
            Failure::ConnectionReset
        }
    })?;
    if response.headers().contains_key(headers::NOT_STARTED) {
        return Ok(Exchange::NotStarted);
    }
    let mut body = Vec::with_capacity(
        usize::try_from(response.content_length().unwrap_or(0))
            .unwrap_or(0)
            .min(body_limit_bytes),
    );
    while let Some(chunk) = response.chunk().await.map_err(|_| Failure::InvalidBody)? {
        if body.len() + chunk.len() > body_limit_bytes {
            return Err(Failure::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    let signal = signal_of(&response);
    let answer = Answer {
        status: response.status().as_u16(),
        headers: headers_from_map(response.headers()),
        body: body.into(),
        upstream: Arc::clone(name),
    };
    Ok(Exchange::Answer(answer, signal))
}

fn signal_of(response: &reqwest::Response) -> Signal {
    if response.status().is_server_error() {
        return Signal::Errored;
    }
    let report = response.headers().get(headers::LOAD_METRICS);
    let is_overloaded = report
        .and_then(|report| report.to_str().ok())
        .is_some_and(headers::is_overloaded);
    if is_overloaded {
        Signal::AnsweredOverloaded
    } else {
        Signal::Answered
    }
}

/// Headers that go on to the other side, in the product's form.
#[must_use]
pub fn headers_from_map(map: &HeaderMap) -> Vec<Header> {
    let mut found = Vec::new();
    for (name, value) in map {
        if headers::is_not_forwarded(name.as_str()) || name == CONTENT_LENGTH {
            continue;
        }
        found.push(Header {
            name: name.as_str().into(),
            value: Body(bytes::Bytes::copy_from_slice(value.as_bytes())),
        });
    }
    found
}

/// Headers in the form of the HTTP libraries; invalid ones are dropped.
#[must_use]
pub fn headers_to_map(list: &[Header]) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(list.len());
    for header in list {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value.0);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}

//! HTTP client for upstreams, which sends each attempt at most once.

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

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Result of one attempt at an upstream.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The call has ended with this outcome.
    Done(Outcome),
    /// The upstream certainly did not start the call.
    NotStarted(Attempt<Unsent>),
    /// The attempt failed, but the call is idempotent and may be sent again.
    Retryable(Attempt<Unsent>, UnknownReason),
}

/// Result of one attempt and what it showed about the upstream.
#[derive(Debug)]
pub struct AttemptReport {
    /// Input for the upstream's state in its pool.
    pub signal: Signal,
    /// Result of the attempt.
    pub end: AttemptEnd,
}

/// HTTP clients of this process, one per upstream.
///
/// After a run timeout the upstream's client is replaced, so that later calls do
/// not reuse another of its unresponsive connections.
#[derive(Debug, Default)]
pub struct UpstreamClients {
    clients: Mutex<HashMap<SocketAddr, Client>>,
}

/// Limits of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    /// Deadline of the caller.
    pub deadline: Instant,
    /// Time by which the upstream must respond, from the service's run limit.
    pub run_deadline: Instant,
    /// Largest accepted body of the response.
    pub body_limit_bytes: usize,
    /// Whether to open a new connection instead of reusing an idle one.
    pub needs_new_connection: bool,
}

impl UpstreamClients {
    /// Sends an attempt to the upstream `name` and waits for its complete response.
    ///
    /// `context` is the value of the [`headers::CONTEXT`] header.
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
        let call_id = Arc::clone(&attempt.call().id);
        let sent = attempt.mark_sent();
        let exchange = exchange(request, name, &call_id, limits.body_limit_bytes);
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
                Signal::ConnectFailed,
                AttemptEnd::NotStarted(sent.into_unsent()),
            );
        }
        if matches!(failure, Failure::RunTimeout | Failure::OtherCall) {
            self.discard_client(address);
        }
        let end = match sent.fail(failure.reason()) {
            Ok(unsent) => AttemptEnd::Retryable(unsent, failure.reason()),
            Err(outcome) => AttemptEnd::Done(outcome),
        };
        AttemptReport {
            signal: failure.signal(),
            end,
        }
    }

    /// Requests the health endpoint; `true` for a 2xx response before `until`.
    pub async fn probe(&self, address: SocketAddr, path: &str, until: Instant) -> bool {
        let url = format!("http://{address}{path}");
        let response = self.client(address).get(url).send();
        matches!(timeout_at(until, response).await, Ok(Ok(response)) if response.status().is_success())
    }

    /// Drops the client of an upstream, so that its next request opens a new
    /// connection.
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

/// Creates a client without retries, redirects or proxies: each request goes at
/// most once, and only to its address.
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
    OtherCall,
    TooLarge,
    RunTimeout,
    CallerDeadline,
}

impl Failure {
    fn reason(self) -> UnknownReason {
        match self {
            Self::ConnectFailed | Self::ConnectionReset => UnknownReason::UpstreamCut,
            Self::InvalidBody | Self::OtherCall => UnknownReason::AnswerBroken,
            Self::TooLarge => UnknownReason::AnswerTooLarge,
            Self::RunTimeout | Self::CallerDeadline => UnknownReason::UpstreamSilent,
        }
    }

    fn signal(self) -> Signal {
        match self {
            Self::ConnectFailed => Signal::ConnectFailed,
            Self::ConnectionReset => Signal::Reset,
            Self::InvalidBody | Self::OtherCall => Signal::ServerError,
            Self::TooLarge => Signal::Answered,
            Self::RunTimeout => Signal::TimedOut,
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
    call_id: &str,
    body_limit_bytes: usize,
) -> Result<Exchange, Failure> {
    let mut response = request.send().await.map_err(|error| {
        if error.is_connect() {
            Failure::ConnectFailed
        } else {
            Failure::ConnectionReset
        }
    })?;
    // A second copy of an earlier answer, late on a connection that is in use again.
    let answered = response.headers().get(headers::CALL_ID);
    if answered.is_some_and(|answered| answered.as_bytes() != call_id.as_bytes()) {
        return Err(Failure::OtherCall);
    }
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
        return Signal::ServerError;
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

/// Converts the headers that are forwarded to the form in which instances pass
/// them on.
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

/// Converts headers to the form of the HTTP libraries and drops invalid ones.
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

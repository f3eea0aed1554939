//! Connections to upstreams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use reqwest::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};
use reqwest::{Client, Method, redirect, retry};
use tokio::time::{Instant, timeout_at};

use crate::process::lifecycle::Signal;
use crate::request::attempt::{Attempt, Held};
use crate::request::body::Body;
use crate::request::call::Call;
use crate::request::headers;
use crate::request::outcome::{Answer, Header, Outcome, UnknownReason};

/// Time in which a connection must stand.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// How one attempt at an upstream ended.
#[derive(Debug)]
pub enum End {
    /// The attempt is over.
    Done(Outcome),
    /// It is proved that the upstream did not start.
    NotStarted(Attempt<Held>),
    /// No answer will come, but the call may be repeated.
    Lost(Attempt<Held>, UnknownReason),
}

/// What one attempt showed and how it ended.
#[derive(Debug)]
pub struct Report {
    /// What it showed of the upstream.
    pub signal: Signal,
    /// How it ended.
    pub end: End,
}

/// The connections of this process to upstreams.
///
/// Each upstream has a client of its own. After silence the client is
/// replaced, so that no later call meets another silent connection of it.
#[derive(Debug, Default)]
pub struct Upstreams {
    clients: Mutex<HashMap<SocketAddr, Client>>,
}

/// Limits of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    /// Time at which the caller needs no answer any more.
    pub deadline: Instant,
    /// Time at which the upstream must have answered.
    pub run_until: Instant,
    /// Largest body of the answer.
    pub body_limit_bytes: usize,
    /// Whether a fresh connection must be made.
    pub must_connect: bool,
}

impl Upstreams {
    /// Sends an attempt to an upstream and waits for the whole answer.
    pub async fn run(
        &self,
        name: &Arc<str>,
        address: SocketAddr,
        attempt: Attempt<Held>,
        context: &str,
        limits: AttemptLimits,
    ) -> Report {
        if limits.must_connect {
            self.forget(address);
        }
        let client = self.client(address);
        let until = limits.deadline.min(limits.run_until);
        let request = build(&client, address, attempt.call(), context, until);
        let sent = attempt.send();
        let exchange = exchange(request, name, limits.body_limit_bytes);
        let failure = match timeout_at(until, exchange).await {
            Ok(Ok(Exchanged::Answer(answer, signal))) => {
                let end = End::Done(sent.answered(answer));
                return report(signal, end);
            }
            Ok(Ok(Exchanged::NotStarted)) => {
                return report(Signal::Refused, End::NotStarted(sent.refused()));
            }
            Ok(Err(failure)) => failure,
            Err(_) if limits.deadline <= limits.run_until => Failure::Deadline,
            Err(_) => Failure::Silent,
        };
        if failure == Failure::NotConnected {
            return report(Signal::ConnectFailed, End::NotStarted(sent.refused()));
        }
        if failure == Failure::Silent {
            self.forget(address);
        }
        let end = match sent.lost(failure.reason()) {
            Ok(held) => End::Lost(held, failure.reason()),
            Err(outcome) => End::Done(outcome),
        };
        Report {
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
    pub fn forget(&self, address: SocketAddr) {
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
        .connect_timeout(CONNECT_LIMIT)
        .pool_idle_timeout(IDLE_LIMIT)
        .build()
        .unwrap_or_else(|_| Client::new())
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    NotConnected,
    Cut,
    Broken,
    TooLarge,
    Silent,
    Deadline,
}

impl Failure {
    fn reason(self) -> UnknownReason {
        match self {
            Self::NotConnected | Self::Cut => UnknownReason::UpstreamCut,
            Self::Broken => UnknownReason::AnswerBroken,
            Self::TooLarge => UnknownReason::AnswerTooLarge,
            Self::Silent | Self::Deadline => UnknownReason::UpstreamSilent,
        }
    }

    fn signal(self) -> Signal {
        match self {
            Self::NotConnected => Signal::ConnectFailed,
            Self::Cut => Signal::Reset,
            Self::Broken => Signal::ServerError,
            Self::TooLarge => Signal::Answered,
            Self::Silent => Signal::TimedOut,
            Self::Deadline => Signal::Cancelled,
        }
    }
}

enum Exchanged {
    Answer(Answer, Signal),
    NotStarted,
}

fn report(signal: Signal, end: End) -> Report {
    Report { signal, end }
}

fn build(
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
        .headers(to_map(&call.headers))
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
) -> Result<Exchanged, Failure> {
    let mut response = request.send().await.map_err(|error| {
        if error.is_connect() {
            Failure::NotConnected
        } else {
            Failure::Cut
        }
    })?;
    if response.headers().contains_key(headers::NOT_STARTED) {
        return Ok(Exchanged::NotStarted);
    }
    let mut body = Vec::with_capacity(
        usize::try_from(response.content_length().unwrap_or(0))
            .unwrap_or(0)
            .min(body_limit_bytes),
    );
    while let Some(chunk) = response.chunk().await.map_err(|_| Failure::Broken)? {
        if body.len() + chunk.len() > body_limit_bytes {
            return Err(Failure::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    let signal = signal_of(&response);
    let answer = Answer {
        status: response.status().as_u16(),
        headers: from_map(response.headers()),
        body: body.into(),
        upstream: Arc::clone(name),
    };
    Ok(Exchanged::Answer(answer, signal))
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

/// Headers that go on to the other side, in the product's form.
#[must_use]
pub fn from_map(map: &HeaderMap) -> Vec<Header> {
    let mut found = Vec::new();
    for (name, value) in map {
        if headers::is_local(name.as_str()) || name == CONTENT_LENGTH {
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
pub fn to_map(list: &[Header]) -> HeaderMap {
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

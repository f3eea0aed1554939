//! An upstream with slots, a cold start, refusals, crashes and a run count.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use argh::FromArgs;
use axum::body::{Body as AxumBody, Bytes, to_bytes};
use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use chicorywing::request::headers;
use futures::{StreamExt, stream};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

/// Largest body that is read.
const BODY_LIMIT_BYTES: usize = 8 * 1024 * 1024;
/// Header whose presence crashes the process.
const CRASH_HEADER: &str = "x-crash";
/// Header that sets the service time of one call.
const SERVICE_TIME_HEADER: &str = "x-service-time-ms";

/// an upstream
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "upstream")]
pub struct UpstreamArgs {
    /// unique name
    #[argh(option)]
    name: String,
    /// where it listens
    #[argh(option)]
    address: SocketAddr,
    /// calls that it runs at once
    #[argh(option, default = "2")]
    slots: usize,
    /// calls that it bears at once when cold; more make it fall over
    #[argh(option, default = "1")]
    cold_slots: usize,
    /// calls after which it is warm
    #[argh(option, default = "8")]
    warm_after: usize,
    /// mean time of a call
    #[argh(option, default = "5")]
    service_ms: u64,
    /// address that is told of each run before it begins
    #[argh(option)]
    ledger: Option<SocketAddr>,
}

/// What the upstream is told to do wrong.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct Faults {
    /// Calls take so many times as long; 0 for once.
    slow_factor: u64,
    /// How calls are served.
    mode: Mode,
    /// It is cold again from now on.
    #[serde(rename = "cold")]
    resets_to_cold: bool,
    /// The health endpoint says the opposite of the truth.
    #[serde(rename = "lies")]
    fails_health_checks: bool,
}

/// How calls are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Mode {
    /// Whole answers.
    #[default]
    Answer,
    /// Every call is refused before it starts.
    Refuse,
    /// Every call fails fast with a server error.
    Error,
    /// Answers are cut in the middle of the body.
    Truncate,
    /// Answers stop in the middle of the body and never go on.
    Stall,
}

/// What the upstream has counted.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Counts {
    /// Runs that began, by idempotency key.
    runs: BTreeMap<String, u64>,
    /// Runs that began.
    started: u64,
    /// Runs that ended.
    finished: u64,
    /// Most calls at once.
    #[serde(rename = "most_at_once")]
    max_running: usize,
    /// Most calls at once while cold.
    #[serde(rename = "most_when_cold")]
    max_running_cold: usize,
    /// Probes of the health endpoint.
    probes: u64,
}

/// One run, as the ledger is told.
#[derive(Debug, Serialize)]
struct LedgerEntry {
    upstream: String,
    key: String,
    #[serde(rename = "at_once")]
    running: usize,
    is_cold: bool,
}

struct Upstream {
    args: UpstreamArgs,
    client: reqwest::Client,
    running: AtomicUsize,
    answered_since_cold: AtomicUsize,
    faults: Mutex<Faults>,
    counts: Mutex<Counts>,
}

type Shared = State<Arc<Upstream>>;

/// Serves the upstream until the process is ended.
pub async fn run(args: UpstreamArgs) -> std::io::Result<()> {
    let address = args.address;
    let upstream = Arc::new(Upstream {
        args,
        client: reqwest::Client::new(),
        running: AtomicUsize::new(0),
        answered_since_cold: AtomicUsize::new(0),
        faults: Mutex::default(),
        counts: Mutex::default(),
    });
    let router = Router::new()
        .route("/health", get(health))
        .route("/control", post(control))
        .route("/counts", get(counts))
        .fallback(serve)
        .with_state(upstream);
    crate::serve(address, router).await
}

async fn health(State(upstream): Shared) -> StatusCode {
    upstream.count(|counts| counts.probes += 1);
    if upstream.faults().fails_health_checks {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    }
}

async fn control(State(upstream): Shared, Json(faults): Json<Faults>) {
    if faults.resets_to_cold {
        upstream.answered_since_cold.store(0, Ordering::Relaxed);
    }
    *upstream
        .faults
        .lock()
        .unwrap_or_else(PoisonError::into_inner) = faults;
}

async fn counts(State(upstream): Shared) -> Json<Counts> {
    Json(
        upstream
            .counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone(),
    )
}

impl Upstream {
    fn faults(&self) -> Faults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn is_cold(&self) -> bool {
        self.answered_since_cold.load(Ordering::Relaxed) < self.args.warm_after
    }
}

/// Counts a run until it ends or its caller goes away.
struct RunningGuard<'u>(&'u Upstream);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(State(upstream): Shared, request: Request) -> Response {
    let faults = upstream.faults();
    if faults.mode == Mode::Refuse {
        let mark = [(headers::NOT_STARTED, "1"), ("retry-after", "1")];
        return (StatusCode::SERVICE_UNAVAILABLE, mark).into_response();
    }
    if faults.mode == Mode::Error {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let (parts, body) = request.into_parts();
    if parts.headers.contains_key(CRASH_HEADER) {
        std::process::abort();
    }
    let Ok(body) = to_bytes(body, BODY_LIMIT_BYTES).await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let running = upstream.running.fetch_add(1, Ordering::Relaxed) + 1;
    let _guard = RunningGuard(&upstream);
    record_start(&upstream, &parts.headers, running).await;
    let factor = faults.slow_factor.max(1);
    let time_ms = service_ms(&upstream, &parts.headers) * factor;
    // The shortest sleep takes a millisecond.
    if time_ms > 0 {
        sleep(Duration::from_millis(time_ms)).await;
    }
    upstream.answered_since_cold.fetch_add(1, Ordering::Relaxed);
    upstream.count(|counts| counts.finished += 1);
    build_response(&upstream, &parts, &body, running, faults.mode)
}

async fn record_start(upstream: &Upstream, map: &HeaderMap, running: usize) {
    let key = map
        .get(headers::IDEMPOTENCY_KEY)
        .and_then(|key| key.to_str().ok());
    let is_cold = upstream.is_cold();
    if let Some(ledger) = upstream.args.ledger {
        let entry = LedgerEntry {
            upstream: upstream.args.name.clone(),
            key: key.unwrap_or_default().to_owned(),
            running,
            is_cold,
        };
        let request = upstream
            .client
            .post(format!("http://{ledger}/run"))
            .json(&entry);
        // A run that the ledger was not told of would not be counted.
        if request.send().await.is_err() {
            std::process::abort();
        }
    }
    upstream.count(|counts| {
        counts.started += 1;
        counts.max_running = counts.max_running.max(running);
        if is_cold {
            counts.max_running_cold = counts.max_running_cold.max(running);
        }
        if let Some(key) = key {
            *counts.runs.entry(key.to_owned()).or_default() += 1;
        }
    });
    if is_cold && running > upstream.args.cold_slots {
        std::process::abort();
    }
}

fn service_ms(upstream: &Upstream, map: &HeaderMap) -> u64 {
    map.get(SERVICE_TIME_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(upstream.args.service_ms)
}

fn build_response(
    upstream: &Upstream,
    parts: &axum::http::request::Parts,
    body: &Bytes,
    running: usize,
    mode: Mode,
) -> Response {
    let percent = running * 90 / upstream.args.slots;
    let text = format!(
        "{} {} by {}: {}\n",
        parts.method,
        parts.uri,
        upstream.args.name,
        String::from_utf8_lossy(body)
    );
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let mut response = match mode {
        Mode::Truncate => {
            let chunks = [Ok(half), Err(std::io::Error::other("cut"))];
            AxumBody::from_stream(stream::iter(chunks)).into_response()
        }
        Mode::Stall => {
            let first = stream::iter([Ok::<_, std::io::Error>(half)]);
            AxumBody::from_stream(first.chain(stream::pending())).into_response()
        }
        _ => text.into_response(),
    };
    let report = format!(
        "TEXT application_utilization={}.{:02}",
        percent / 100,
        percent % 100
    );
    if let Ok(report) = HeaderValue::from_str(&report) {
        response.headers_mut().insert(headers::LOAD_METRICS, report);
    }
    response
}

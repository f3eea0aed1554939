//! Stand-in for an upstream: it has slots and a cold start, counts its runs, and
//! can refuse calls or crash.

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

/// Largest request body; a larger one is answered with status 400.
const BODY_LIMIT_BYTES: usize = 8 * 1024 * 1024;
/// Header of a request that crashes the process.
const CRASH_HEADER: &str = "x-crash";
/// Header that sets the service time of one call, in milliseconds.
const SERVICE_TIME_HEADER: &str = "x-service-time-ms";

/// upstream of a service
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "upstream")]
pub struct UpstreamArgs {
    /// unique name
    #[argh(option)]
    name: String,
    /// address to listen on
    #[argh(option)]
    address: SocketAddr,
    /// number of slots; with so many concurrent calls it reports a load of 90 %
    #[argh(option, default = "2")]
    slots: usize,
    /// concurrent calls that it survives while cold; one more crashes it
    #[argh(option, default = "1")]
    cold_slots: usize,
    /// answered calls after which it is warm
    #[argh(option, default = "8")]
    warm_after: usize,
    /// service time of a call in milliseconds
    #[argh(option, default = "5")]
    service_ms: u64,
    /// address of the ledger that records each run before it starts
    #[argh(option)]
    ledger: Option<SocketAddr>,
}

/// Faults to inject; `/control` sets all of them.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct Faults {
    /// Factor on the service time; 0 counts as 1.
    slow_factor: u64,
    /// How calls are answered.
    mode: Mode,
    /// The upstream becomes cold when this is set.
    #[serde(rename = "cold")]
    resets_to_cold: bool,
    /// The health endpoint reports unhealthy although calls are answered.
    #[serde(rename = "lies")]
    fails_health_checks: bool,
}

/// How calls are answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Mode {
    /// With a complete response.
    #[default]
    Answer,
    /// With status 503 and the header that says that the call did not start.
    Refuse,
    /// With status 500, at once.
    Error,
    /// With half of the body, then a broken connection.
    Truncate,
    /// With half of the body, then nothing while the connection stays open.
    Stall,
}

/// Counters since the upstream started.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Counts {
    /// Runs that started, by idempotency key.
    runs: BTreeMap<String, u64>,
    /// Runs that started.
    started: u64,
    /// Runs that finished.
    finished: u64,
    /// Most concurrent calls.
    #[serde(rename = "most_at_once")]
    max_running: usize,
    /// Most concurrent calls while cold.
    #[serde(rename = "most_when_cold")]
    max_running_cold: usize,
    /// Requests to the health endpoint.
    probes: u64,
}

/// One run, as sent to the ledger.
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

/// Serves the upstream until the process is killed.
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

/// Counts a run as running until it ends or its caller disconnects.
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
    // Skipped for 0, because even the shortest sleep takes a millisecond.
    if time_ms > 0 {
        sleep(Duration::from_millis(time_ms)).await;
    }
    upstream.answered_since_cold.fetch_add(1, Ordering::Relaxed);
    upstream.count(|counts| counts.finished += 1);
    build_response(&upstream, &parts, &body, running, faults.mode)
}

/// Records a run in the ledger and the counters; crashes a cold upstream with
/// too many concurrent calls.
async fn record_start(upstream: &Upstream, header_map: &HeaderMap, running: usize) {
    let key = header_map
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
        // The ledger must not miss a run, so crash before the run starts.
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

fn service_ms(upstream: &Upstream, header_map: &HeaderMap) -> u64 {
    header_map
        .get(SERVICE_TIME_HEADER)
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

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
const CRASH: &str = "x-crash";
/// Header that sets the service time of one call.
const SERVICE_TIME: &str = "x-service-time-ms";

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
    cold: bool,
    /// The health endpoint says the opposite of the truth.
    lies: bool,
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
    most_at_once: usize,
    /// Most calls at once while cold.
    most_when_cold: usize,
    /// Probes of the health endpoint.
    probes: u64,
}

/// One run, as the ledger is told.
#[derive(Debug, Serialize)]
struct Run {
    upstream: String,
    key: String,
    at_once: usize,
    is_cold: bool,
}

struct Upstream {
    args: UpstreamArgs,
    client: reqwest::Client,
    running: AtomicUsize,
    answered: AtomicUsize,
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
        answered: AtomicUsize::new(0),
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
    if upstream.faults().lies {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    }
}

async fn control(State(upstream): Shared, Json(faults): Json<Faults>) {
    if faults.cold {
        upstream.answered.store(0, Ordering::Relaxed);
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
        self.answered.load(Ordering::Relaxed) < self.args.warm_after
    }
}

/// Counts a run until it ends or its caller goes away.
struct Running<'u>(&'u Upstream);

impl Drop for Running<'_> {
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
    if parts.headers.contains_key(CRASH) {
        std::process::abort();
    }
    let Ok(body) = to_bytes(body, BODY_LIMIT_BYTES).await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let at_once = upstream.running.fetch_add(1, Ordering::Relaxed) + 1;
    let _running = Running(&upstream);
    note_start(&upstream, &parts.headers, at_once).await;
    let factor = faults.slow_factor.max(1);
    let time_ms = service_ms(&upstream, &parts.headers) * factor;
    // The shortest sleep takes a millisecond.
    if time_ms > 0 {
        sleep(Duration::from_millis(time_ms)).await;
    }
    upstream.answered.fetch_add(1, Ordering::Relaxed);
    upstream.count(|counts| counts.finished += 1);
    answer(&upstream, &parts, &body, at_once, faults.mode)
}

async fn note_start(upstream: &Upstream, map: &HeaderMap, at_once: usize) {
    let key = map
        .get(headers::IDEMPOTENCY_KEY)
        .and_then(|key| key.to_str().ok());
    let is_cold = upstream.is_cold();
    if let Some(ledger) = upstream.args.ledger {
        let run = Run {
            upstream: upstream.args.name.clone(),
            key: key.unwrap_or_default().to_owned(),
            at_once,
            is_cold,
        };
        let told = upstream
            .client
            .post(format!("http://{ledger}/run"))
            .json(&run);
        // A run that the ledger was not told of would not be counted.
        if told.send().await.is_err() {
            std::process::abort();
        }
    }
    upstream.count(|counts| {
        counts.started += 1;
        counts.most_at_once = counts.most_at_once.max(at_once);
        if is_cold {
            counts.most_when_cold = counts.most_when_cold.max(at_once);
        }
        if let Some(key) = key {
            *counts.runs.entry(key.to_owned()).or_default() += 1;
        }
    });
    if is_cold && at_once > upstream.args.cold_slots {
        std::process::abort();
    }
}

fn service_ms(upstream: &Upstream, map: &HeaderMap) -> u64 {
    map.get(SERVICE_TIME)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(upstream.args.service_ms)
}

fn answer(
    upstream: &Upstream,
    parts: &axum::http::request::Parts,
    body: &Bytes,
    at_once: usize,
    mode: Mode,
) -> Response {
    let percent = at_once * 90 / upstream.args.slots;
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

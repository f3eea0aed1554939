//! Stand-in for the platform's append-only log.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use argh::FromArgs;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use chicorywing::connection::log::{AppendResponse, LogRecord, Page};
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

/// Most records in one page.
const MAX_PAGE_RECORDS: usize = 100;

/// append-only log
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "log")]
pub struct LogArgs {
    /// address to listen on
    #[argh(option)]
    address: SocketAddr,
}

/// Faults to inject; `/control` sets all of them.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct Faults {
    /// Every append and read fails with status 503.
    is_down: bool,
    /// Delay of every append and read.
    delay_ms: u64,
    /// Number of further appends that take effect but are answered with status 504.
    lose_answers: u32,
    /// Most records that a stream keeps, the newest; 0 for no limit.
    #[serde(rename = "keep")]
    max_records: usize,
    /// Number of newest records that reads don't return.
    #[serde(rename = "behind")]
    read_lag_records: u64,
}

#[derive(Default)]
struct Stream {
    first: u64,
    records: Vec<Box<RawValue>>,
}

struct Log {
    streams: Mutex<HashMap<String, Stream>>,
    faults: Mutex<Faults>,
    appended: watch::Sender<u64>,
}

type Shared = State<Arc<Log>>;

/// Serves the log until the process is killed.
pub async fn run(args: &LogArgs) -> std::io::Result<()> {
    let log = Arc::new(Log {
        streams: Mutex::default(),
        faults: Mutex::default(),
        appended: watch::Sender::new(0),
    });
    let router = Router::new()
        .route("/streams/{name}/records", post(append).get(read))
        .route("/control", post(control))
        .route("/health", get(|| async { "up\n" }))
        .with_state(log);
    crate::serve(args.address, router).await
}

async fn control(State(log): Shared, Json(faults): Json<Faults>) {
    *log.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
}

/// Waits for the injected delay and fails if the log is down; returns the faults.
async fn apply_faults(log: &Log) -> Result<Faults, StatusCode> {
    let faults = *log.faults.lock().unwrap_or_else(PoisonError::into_inner);
    sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.is_down {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    Ok(faults)
}

async fn append(
    State(log): Shared,
    Path(name): Path<String>,
    Json(data): Json<Box<RawValue>>,
) -> Result<Json<AppendResponse>, StatusCode> {
    let faults = apply_faults(&log).await?;
    let offset = {
        let mut streams = log.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let stream = streams.entry(name).or_default();
        stream.records.push(data);
        if faults.max_records > 0 && stream.records.len() > faults.max_records {
            let excess = stream.records.len() - faults.max_records;
            stream.records.drain(..excess);
            stream.first += excess as u64;
        }
        stream.first + stream.records.len() as u64 - 1
    };
    log.appended.send_modify(|count| *count += 1);
    let mut faults = log.faults.lock().unwrap_or_else(PoisonError::into_inner);
    if faults.lose_answers > 0 {
        faults.lose_answers -= 1;
        return Err(StatusCode::GATEWAY_TIMEOUT);
    }
    Ok(Json(AppendResponse { offset }))
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    #[serde(default)]
    wait_ms: u64,
}

async fn read(
    State(log): Shared,
    Path(name): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Result<Json<Page>, StatusCode> {
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    let mut appended = log.appended.subscribe();
    loop {
        let faults = apply_faults(&log).await?;
        let page = read_page(&log, &name, query.from, faults.read_lag_records);
        if !page.records.is_empty() || Instant::now() >= deadline {
            return Ok(Json(page));
        }
        let _ = timeout_at(deadline, appended.changed()).await;
    }
}

fn read_page(log: &Log, name: &str, from: u64, lag_records: u64) -> Page {
    let mut streams = log.streams.lock().unwrap_or_else(PoisonError::into_inner);
    let stream = streams.entry(name.to_owned()).or_default();
    let head = stream.first + stream.records.len() as u64;
    let head = head.saturating_sub(lag_records).max(stream.first);
    let mut records = Vec::new();
    let mut offset = from.max(stream.first);
    while offset < head && records.len() < MAX_PAGE_RECORDS {
        let index = usize::try_from(offset - stream.first).unwrap_or(usize::MAX);
        records.push(LogRecord {
            offset,
            data: stream.records[index].clone(),
        });
        offset += 1;
    }
    Page {
        first_offset: stream.first,
        next_offset: head,
        records,
    }
}

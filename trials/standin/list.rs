//! Stand-in for the platform's list of instances, which lags behind changes.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use argh::FromArgs;
use axum::extract::{Path, State};
use axum::http::header::{ETAG, IF_NONE_MATCH};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use chicorywing::connection::list::{InstanceList, ListedInstance};
use serde::Deserialize;
use tokio::time::Instant;

/// list of live and leaving instances that shows changes late
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListArgs {
    /// address to listen on
    #[argh(option)]
    address: SocketAddr,
    /// milliseconds until a change shows
    #[argh(option, default = "0")]
    lag_ms: u64,
}

/// Faults to inject; `/control` sets all of them.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct Faults {
    /// Every read of the list fails with status 503.
    is_down: bool,
}

enum Change {
    Put(ListedInstance),
    Delete(String),
}

#[derive(Default)]
struct ListState {
    visible: BTreeMap<String, ListedInstance>,
    pending: VecDeque<(Instant, Change)>,
    revision: u64,
    faults: Faults,
}

struct InstanceListStandin {
    state: Mutex<ListState>,
    lag: Duration,
}

type Shared = State<Arc<InstanceListStandin>>;

/// Serves the list until the process is killed.
pub async fn run(args: &ListArgs) -> std::io::Result<()> {
    let list = Arc::new(InstanceListStandin {
        state: Mutex::default(),
        lag: Duration::from_millis(args.lag_ms),
    });
    let router = Router::new()
        .route("/instances", get(read))
        .route("/instances/{name}", put(add).delete(remove))
        .route("/control", post(control))
        .with_state(list);
    crate::serve(args.address, router).await
}

/// Calls `access` with the state after applying the changes that are due.
fn with_state<T>(list: &InstanceListStandin, access: impl FnOnce(&mut ListState) -> T) -> T {
    let mut state = list.state.lock().unwrap_or_else(PoisonError::into_inner);
    while state
        .pending
        .front()
        .is_some_and(|(at, _)| at.elapsed() >= list.lag)
    {
        let Some((_, change)) = state.pending.pop_front() else {
            break;
        };
        state.revision += 1;
        match change {
            Change::Put(instance) => {
                state.visible.insert(instance.name.to_string(), instance);
            }
            Change::Delete(name) => {
                state.visible.remove(&name);
            }
        }
    }
    access(&mut state)
}

async fn control(State(list): Shared, Json(faults): Json<Faults>) {
    with_state(&list, |state| state.faults = faults);
}

async fn add(State(list): Shared, Path(name): Path<String>, Json(instance): Json<ListedInstance>) {
    let _ = name;
    let change = Change::Put(instance);
    with_state(&list, |state| {
        state.pending.push_back((Instant::now(), change));
    });
}

async fn remove(State(list): Shared, Path(name): Path<String>) {
    let change = Change::Delete(name);
    with_state(&list, |state| {
        state.pending.push_back((Instant::now(), change));
    });
}

async fn read(State(list): Shared, headers: HeaderMap) -> Response {
    with_state(&list, |state| {
        if state.faults.is_down {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let tag = format!("\"{}\"", state.revision);
        if headers.get(IF_NONE_MATCH).is_some_and(|seen| *seen == *tag) {
            return StatusCode::NOT_MODIFIED.into_response();
        }
        let instances = state.visible.values().cloned().collect();
        ([(ETAG, tag)], Json(InstanceList { instances })).into_response()
    })
}

//! Counts runs outside the upstreams, so that the runs of a killed upstream are kept.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use axum::extract::State;
use axum::routing::post;
use axum::{Json, Router};
use serde::Deserialize;

/// One run, which an upstream reports before it begins.
#[derive(Clone, Debug, Deserialize)]
pub struct LedgerRun {
    pub upstream: String,
    pub key: String,
    /// Calls that ran at the upstream then, including this one.
    pub at_once: usize,
    pub is_cold: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Ledger {
    runs: Arc<Mutex<Vec<LedgerRun>>>,
}

impl Ledger {
    pub async fn serve(&self, address: SocketAddr) {
        let router = Router::new()
            .route("/run", post(record_run))
            .with_state(self.clone());
        let listener = tokio::net::TcpListener::bind(address).await.unwrap();
        tokio::spawn(async move { axum::serve(listener, router).await });
    }

    pub fn runs(&self) -> Vec<LedgerRun> {
        self.runs.lock().unwrap().clone()
    }

    /// Number of runs with a key, over all upstreams.
    pub fn run_count_of_key(&self, key: &str) -> usize {
        self.runs().iter().filter(|run| run.key == key).count()
    }

    /// Largest number of runs with the same key.
    pub fn max_runs_per_key(&self) -> usize {
        let mut counts = BTreeMap::new();
        for run in self.runs() {
            if !run.key.is_empty() {
                *counts.entry(run.key).or_insert(0) += 1;
            }
        }
        counts.values().copied().max().unwrap_or(0)
    }

    /// Largest number of concurrent runs at one upstream, over all runs or only those at cold
    /// upstreams.
    pub fn max_concurrent_runs(&self, cold_only: bool) -> usize {
        let runs = self.runs();
        let counted = runs.iter().filter(|run| run.is_cold || !cold_only);
        counted.map(|run| run.at_once).max().unwrap_or(0)
    }

    /// Number of runs at upstreams whose name starts with `prefix`.
    pub fn run_count_at(&self, prefix: &str) -> usize {
        let runs = self.runs();
        runs.iter()
            .filter(|run| run.upstream.starts_with(prefix))
            .count()
    }
}

async fn record_run(State(ledger): State<Ledger>, Json(run): Json<LedgerRun>) {
    ledger.runs.lock().unwrap().push(run);
}

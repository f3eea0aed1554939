//! Counts runs outside of the upstreams, so that a killed one's runs count.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use axum::extract::State;
use axum::routing::post;
use axum::{Json, Router};
use serde::Deserialize;

#[derive(Clone, Debug, Deserialize)]
pub struct LedgerRun {
    pub upstream: String,
    pub key: String,
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
            .route("/run", post(note))
            .with_state(self.clone());
        let listener = tokio::net::TcpListener::bind(address).await.unwrap();
        tokio::spawn(async move { axum::serve(listener, router).await });
    }

    pub fn runs(&self) -> Vec<LedgerRun> {
        self.runs.lock().unwrap().clone()
    }

    /// Runs of one key over all upstreams.
    pub fn runs_of(&self, key: &str) -> usize {
        self.runs().iter().filter(|run| run.key == key).count()
    }

    /// The largest number of runs of any key.
    pub fn most_runs_of_a_key(&self) -> usize {
        let mut counts = BTreeMap::new();
        for run in self.runs() {
            if !run.key.is_empty() {
                *counts.entry(run.key).or_insert(0) += 1;
            }
        }
        counts.values().copied().max().unwrap_or(0)
    }

    /// Most calls at once at any upstream; only cold ones if `when_cold`.
    pub fn most_at_once(&self, when_cold: bool) -> usize {
        let runs = self.runs();
        let counted = runs.iter().filter(|run| run.is_cold || !when_cold);
        counted.map(|run| run.at_once).max().unwrap_or(0)
    }

    /// Runs at upstreams whose name begins so.
    pub fn runs_at(&self, prefix: &str) -> usize {
        let runs = self.runs();
        runs.iter()
            .filter(|run| run.upstream.starts_with(prefix))
            .count()
    }
}

async fn note(State(ledger): State<Ledger>, Json(run): Json<LedgerRun>) {
    ledger.runs.lock().unwrap().push(run);
}

//! What callers and upstreams saw.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer.
    Answered {
        status: u16,
        body: String,
        stamp: String,
        return_after: String,
    },
    /// The connection ended without one, after the whole request was written.
    Closed,
    /// The request could not be written.
    Unsent,
    /// No answer long after the deadline.
    Silent,
    /// The caller left.
    Left,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub gateway: usize,
    pub method: &'static str,
    pub target: String,
    pub sent_ms: u64,
    pub ended_ms: u64,
    pub end: End,
}

impl Sent {
    pub fn is_idempotent(&self) -> bool {
        self.method == "GET"
    }

    pub fn status(&self) -> u16 {
        match self.end {
            End::Answered { status, .. } => status,
            _ => 0,
        }
    }
}

/// One request as an upstream saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub upstream: String,
    pub service: &'static str,
    pub data_centre: &'static str,
    pub request: String,
    pub at_ms: u64,
    pub ended_ms: Option<u64>,
    pub was_cold: bool,
    /// Since when the store has said that the upstream leaves.
    pub leaving_ms: Option<u64>,
}

#[derive(Debug, Default)]
pub struct Ledger {
    sent: Mutex<Vec<Sent>>,
    runs: Mutex<Vec<Run>>,
}

impl Ledger {
    pub fn on_sent(&self, sent: Sent) {
        self.sent.lock().unwrap().push(sent);
    }

    /// Notes the begin of a run; its number ends it.
    pub fn on_run(&self, run: Run) -> usize {
        let mut runs = self.runs.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    pub fn on_run_ended(&self, number: usize, at_ms: u64) {
        self.runs.lock().unwrap()[number].ended_ms = Some(at_ms);
    }

    pub fn sent(&self) -> MutexGuard<'_, Vec<Sent>> {
        self.sent.lock().unwrap()
    }

    pub fn runs(&self) -> MutexGuard<'_, Vec<Run>> {
        self.runs.lock().unwrap()
    }

    pub fn runs_by_id(&self) -> HashMap<String, Vec<Run>> {
        let mut by_id: HashMap<String, Vec<Run>> = HashMap::new();
        for run in self.runs().iter() {
            by_id.entry(run.id.clone()).or_default().push(run.clone());
        }
        by_id
    }
}

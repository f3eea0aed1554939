//! Records of what callers sent and what upstreams ran.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard};

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The caller received a complete answer.
    Answered {
        status: u16,
        body: String,
        server_stamp: String,
        retry_after: String,
    },
    /// The connection closed without a complete answer, after the request was
    /// written in full.
    ConnectionClosed,
    /// Writing the request failed.
    WriteFailed,
    /// No answer arrived within [`crate::caller::ANSWER_TIMEOUT`], long after the
    /// deadline.
    TimedOut,
    /// The caller closed the connection without waiting for the answer.
    Cancelled,
}

/// A request from the view of its caller.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub id: String,
    pub gateway: usize,
    pub method: &'static str,
    pub target: String,
    /// Deadline that its caller sent, from the start of the request.
    pub deadline_ms: u64,
    pub sent_ms: u64,
    pub ended_ms: u64,
    pub end: End,
}

impl SentRequest {
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

/// One execution of a request at an upstream.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub upstream: String,
    pub service: &'static str,
    pub data_centre: &'static str,
    /// Method, target and body, separated by spaces.
    pub request: String,
    pub started_ms: u64,
    pub ended_ms: Option<u64>,
    /// Whether its connection closed while the upstream was at work.
    pub is_broken_off: bool,
    pub was_cold: bool,
    /// When the upstream reported to the store that it is draining.
    pub draining_since_ms: Option<u64>,
}

/// A limit that an upstream names from some time on; `None` if it names none any more.
#[derive(Clone, Debug)]
pub struct NamedLimit {
    pub upstream: String,
    pub limit: Option<String>,
    pub named_ms: u64,
    /// When the first answer with it was sent.
    pub first_told_ms: Option<u64>,
}

/// A request or probe at an upstream that has named a limit, or in a play of links or answers.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub upstream: String,
    pub at_ms: u64,
    pub is_probe: bool,
    /// Id of the request.
    pub request: String,
    /// The gateway that its connection comes from, where that is known.
    pub gateway: Option<usize>,
    /// Whether the upstream says that it leaves.
    pub is_leaving: bool,
    /// Whether it was answered that the upstream wants nothing for a time.
    pub is_turned_away: bool,
}

#[derive(Debug, Default)]
pub struct Ledger {
    named_limits: Mutex<Vec<NamedLimit>>,
    arrivals: Mutex<Vec<Arrival>>,
    requests: Mutex<Vec<SentRequest>>,
    runs: Mutex<Vec<Run>>,
    crashes_ms: Mutex<Vec<u64>>,
    harmless: Mutex<BTreeMap<String, usize>>,
}

impl Ledger {
    pub fn add_request(&self, request: SentRequest) {
        self.requests.lock().unwrap().push(request);
    }

    /// Records the start of a run and returns its index for [`Self::end_run`].
    pub fn start_run(&self, run: Run) -> usize {
        let mut runs = self.runs.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    pub fn end_run(&self, index: usize, ended_ms: u64, is_broken_off: bool) {
        let run = &mut self.runs.lock().unwrap()[index];
        run.ended_ms = Some(ended_ms);
        run.is_broken_off = is_broken_off;
    }

    /// Times at which an upstream ended under [`crate::crashing::MARK`].
    pub fn crashes_ms(&self) -> MutexGuard<'_, Vec<u64>> {
        self.crashes_ms.lock().unwrap()
    }

    /// Limits that upstreams named, in order.
    pub fn named_limits(&self) -> MutexGuard<'_, Vec<NamedLimit>> {
        self.named_limits.lock().unwrap()
    }

    /// Requests and probes at upstreams, in order, as far as they are recorded.
    pub fn arrivals(&self) -> MutexGuard<'_, Vec<Arrival>> {
        self.arrivals.lock().unwrap()
    }

    /// Answers to the harmless request that all its callers send alike, by status and
    /// the gateway's reason.
    pub fn harmless(&self) -> MutexGuard<'_, BTreeMap<String, usize>> {
        self.harmless.lock().unwrap()
    }

    pub fn requests(&self) -> MutexGuard<'_, Vec<SentRequest>> {
        self.requests.lock().unwrap()
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

//! Logs the decisions on calls and keeps the most recent ones.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use strum::Display;

/// Number of recent decisions that an instance keeps.
const MAX_DECISIONS: usize = 4096;

/// Kind of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DecisionKind {
    /// An entry instance chose a pool.
    Route,
    /// A pool chose an upstream.
    Place,
    /// A pool or an instance refused a call.
    Refuse,
    /// A call was retried.
    Retry,
    /// A call was answered from the record of its idempotency key.
    Recall,
}

/// One decision with its reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Time since the process started.
    pub at_ms: u64,
    /// Kind of the decision.
    pub kind: DecisionKind,
    /// Id of the call.
    pub call: Arc<str>,
    /// Name of the call's service.
    pub service: Arc<str>,
    /// Data centre, instance or upstream that the decision concerns; empty if
    /// there is none.
    pub target: Arc<str>,
    /// Reason in kebab case, or the name of the chosen holder.
    pub reason: Arc<str>,
}

/// The most recent decisions of this instance.
#[derive(Debug, Default)]
pub struct Decisions {
    recent: Mutex<VecDeque<DecisionRecord>>,
}

/// Query for decisions; every field that is set must match.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DecisionFilter {
    /// Name of a service.
    pub service: Option<String>,
    /// Name of an upstream or a data centre.
    pub target: Option<String>,
    /// Id of a call.
    pub call: Option<String>,
}

impl DecisionFilter {
    fn matches(&self, decision: &DecisionRecord) -> bool {
        let is_match = |wanted: &Option<String>, found: &str| {
            wanted.as_ref().is_none_or(|wanted| wanted == found)
        };
        is_match(&self.service, &decision.service)
            && is_match(&self.target, &decision.target)
            && is_match(&self.call, &decision.call)
    }
}

impl Decisions {
    /// Logs a decision and keeps it, dropping the oldest one if necessary.
    pub fn record(&self, decision: DecisionRecord) {
        tracing::info!(
            target: "decision",
            kind = %decision.kind,
            call = %decision.call,
            service = %decision.service,
            to = %decision.target,
            reason = %decision.reason,
        );
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.len() == MAX_DECISIONS {
            recent.pop_front();
        }
        recent.push_back(decision);
    }

    /// Returns the kept decisions that match, oldest first.
    #[must_use]
    pub fn find(&self, filter: &DecisionFilter) -> Vec<DecisionRecord> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let matching = recent.iter().filter(|decision| filter.matches(decision));
        matching.cloned().collect()
    }
}

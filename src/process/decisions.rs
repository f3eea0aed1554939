//! The log line and the short memory of each decision.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use strum::Display;

/// Decisions that an instance remembers.
const MAX_DECISIONS: usize = 4096;

/// What was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DecisionKind {
    /// An entry instance chose a pool.
    Route,
    /// A pool chose an upstream.
    Place,
    /// A pool or an instance turned a call down.
    Refuse,
    /// A call was attempted again.
    Retry,
    /// A keyed call was answered from what is known of its key.
    Recall,
}

/// One decision with its reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Time since the instance started.
    pub at_ms: u64,
    /// What was decided.
    pub kind: DecisionKind,
    /// The call.
    pub call: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Where it goes: a data centre or an upstream, empty if nowhere.
    pub target: Arc<str>,
    /// Why.
    pub reason: Arc<str>,
}

/// The last decisions of this instance.
#[derive(Debug, Default)]
pub struct Decisions {
    recent: Mutex<VecDeque<DecisionRecord>>,
}

/// Which decisions are asked for; each part that is set must fit.
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
    /// Logs and remembers a decision.
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

    /// The remembered decisions that fit, oldest first.
    #[must_use]
    pub fn find(&self, filter: &DecisionFilter) -> Vec<DecisionRecord> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let matching = recent.iter().filter(|decision| filter.matches(decision));
        matching.cloned().collect()
    }
}

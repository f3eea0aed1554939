//! The log line and the short memory of each decision.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use strum::Display;

/// Decisions that an instance remembers.
const REMEMBERED: usize = 4096;

/// What was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
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
pub struct Decided {
    /// Time since the instance started.
    pub at_ms: u64,
    /// What was decided.
    pub kind: Kind,
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
    recent: Mutex<VecDeque<Decided>>,
}

/// Which decisions are asked for; each part that is set must fit.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Filter {
    /// Name of a service.
    pub service: Option<String>,
    /// Name of an upstream or a data centre.
    pub target: Option<String>,
    /// Id of a call.
    pub call: Option<String>,
}

impl Filter {
    fn fits(&self, decided: &Decided) -> bool {
        let is_fit = |wanted: &Option<String>, found: &str| {
            wanted.as_ref().is_none_or(|wanted| wanted == found)
        };
        is_fit(&self.service, &decided.service)
            && is_fit(&self.target, &decided.target)
            && is_fit(&self.call, &decided.call)
    }
}

impl Decisions {
    /// Logs and remembers a decision.
    pub fn note(&self, decided: Decided) {
        tracing::info!(
            target: "decision",
            kind = %decided.kind,
            call = %decided.call,
            service = %decided.service,
            to = %decided.target,
            reason = %decided.reason,
        );
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.len() == REMEMBERED {
            recent.pop_front();
        }
        recent.push_back(decided);
    }

    /// The remembered decisions that fit, oldest first.
    #[must_use]
    pub fn find(&self, filter: &Filter) -> Vec<Decided> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let fitting = recent.iter().filter(|decided| filter.fits(decided));
        fitting.cloned().collect()
    }
}

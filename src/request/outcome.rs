//! How a call ended: a result, not run, or unknown.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::body::Body;

/// One header of a call or an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: Arc<str>,
    /// Value as it was received.
    pub value: Body,
}

/// A whole answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers that reach the caller.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Body,
    /// Upstream that gave it.
    pub upstream: Arc<str>,
}

/// Why a call did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunReason {
    /// It could not be answered before its deadline.
    Overloaded,
    /// Its deadline passed while it waited.
    DeadlinePassed,
    /// No upstream takes work.
    NoUpstream,
    /// Earlier runs of the same request cut their connections.
    Poison,
    /// No instance that could run it was reached.
    NoHolder,
    /// Every upstream asked refused before starting.
    Refused,
    /// This instance lacks a fresh view of the fleet.
    Isolated,
    /// This instance is stopping.
    Stopping,
    /// The service is not in the objects in force.
    NoService,
    /// The key was used for other work.
    KeyReused,
}

/// Why nobody can say whether a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum UnknownReason {
    /// The connection to the upstream was cut.
    UpstreamCut,
    /// The upstream did not answer in time.
    UpstreamSilent,
    /// The answer of the upstream was cut short or broken.
    AnswerBroken,
    /// The answer of the upstream is larger than the service allows.
    AnswerTooLarge,
    /// The instance that ran it was lost.
    HolderLost,
    /// An earlier attempt with the same key may still run.
    EarlierAttempt,
    /// Those who knew earlier attempts with this key could not be asked.
    RecordsLost,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream's whole answer.
    Result(Answer),
    /// It is proved that it did not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back.
        retry_after_ms: u64,
    },
    /// It may have run.
    Unknown {
        /// Why nobody can say.
        reason: UnknownReason,
        /// When to ask again with the same key.
        retry_after_ms: u64,
    },
}

impl Outcome {
    /// Whether it is proved that the call did not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }

    /// Whether nobody can say.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }

    /// Not run, with when to come back.
    #[must_use]
    pub fn not_run(reason: NotRunReason, retry_after_ms: u64) -> Self {
        Self::NotRun {
            reason,
            retry_after_ms,
        }
    }

    /// Unknown, with when to ask again.
    #[must_use]
    pub fn unknown(reason: UnknownReason, retry_after_ms: u64) -> Self {
        Self::Unknown {
            reason,
            retry_after_ms,
        }
    }
}

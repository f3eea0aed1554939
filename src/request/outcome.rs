//! Outcome of a call: a result, not run, or unknown.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::body::Body;

/// One header of a call or a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: Arc<str>,
    /// Value as it was received.
    pub value: Body,
}

/// A complete response of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers that are forwarded to the caller.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Body,
    /// Name of the upstream that sent the response.
    pub upstream: Arc<str>,
}

/// Why a call did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunReason {
    /// Capacity is short: the call could not finish before its deadline.
    Overloaded,
    /// The deadline passed while the call waited.
    DeadlinePassed,
    /// No upstream of the service accepts work.
    NoUpstream,
    /// Earlier runs of the same request ended in connection resets.
    Poison,
    /// No instance that holds a pool of the service was reached.
    NoHolder,
    /// The upstreams that were tried refused the call before starting it.
    Refused,
    /// This instance lacks current information about the fleet.
    Isolated,
    /// This instance is shutting down.
    Stopping,
    /// The configuration in force does not contain the service.
    NoService,
    /// The idempotency key was used for a different call.
    KeyReused,
}

/// Why it is unknown whether a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum UnknownReason {
    /// The connection to the upstream was lost.
    UpstreamCut,
    /// The upstream did not respond in time.
    UpstreamSilent,
    /// The upstream's response was truncated or malformed.
    AnswerBroken,
    /// The upstream's response is larger than the service allows.
    AnswerTooLarge,
    /// The instance that ran the call was lost.
    HolderLost,
    /// An earlier attempt with the same key may still run.
    EarlierAttempt,
    /// The instances that know of earlier attempts with this key could not be
    /// asked.
    RecordsLost,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream sent a complete response, of any status.
    Result(Answer),
    /// The call certainly did not run.
    NotRun {
        /// Why it did not run.
        reason: NotRunReason,
        /// Time after which to retry.
        retry_after_ms: u64,
    },
    /// The call may have run.
    Unknown {
        /// Why it is unknown.
        reason: UnknownReason,
        /// Time after which to ask again with the same key.
        retry_after_ms: u64,
    },
}

impl Outcome {
    /// Whether the call certainly did not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }

    /// Whether the call may have run.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }

    /// Creates the outcome of a call that did not run.
    #[must_use]
    pub fn not_run(reason: NotRunReason, retry_after_ms: u64) -> Self {
        Self::NotRun {
            reason,
            retry_after_ms,
        }
    }

    /// Creates the outcome of a call that may have run.
    #[must_use]
    pub fn unknown(reason: UnknownReason, retry_after_ms: u64) -> Self {
        Self::Unknown {
            reason,
            retry_after_ms,
        }
    }
}

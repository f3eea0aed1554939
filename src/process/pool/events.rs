//! What a pool takes and what it decides.

use std::net::SocketAddr;
use std::sync::Arc;

use strum::Display;

use crate::process::lifecycle::Signal;
use crate::process::poison::ResetCount;
use crate::process::queue::QueuedCall;
use crate::version::objects::TierKind;

/// Why a pool sends a call where it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SendReason {
    /// The least loaded of the fast upstreams with room.
    LeastLoaded,
    /// No fast upstream would be free in the time that the slow one takes.
    SlowButSooner,
    /// A check whether a slow upstream has recovered.
    SlowCheck,
}

/// Why a pool turns a call down; none of these calls has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RefuseReason {
    /// It could not be answered before its deadline.
    Overloaded,
    /// The deadline passed while it waited.
    DeadlinePassed,
    /// No upstream takes work.
    NoUpstream,
    /// Earlier runs of the same request cut their connections.
    Poison,
    /// Another instance holds the pool.
    Moved,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call came in.
    Arrived(QueuedCall),
    /// A caller no longer waits.
    Withdrawn(QueuedCall),
    /// A call that was sent has ended.
    Ended(EndedCall),
    /// The list names these upstreams.
    Listed(Vec<ListedUpstream>),
    /// A predecessor may still run calls.
    Inherited(InheritedCalls),
    /// A probe has ended.
    Probed {
        /// Index of the upstream.
        upstream: usize,
        /// Whether it answered well.
        healthy: bool,
    },
    /// Peers counted cut connections.
    ResetCounts(Vec<ResetCount>),
    /// Time has passed.
    Tick,
}

/// The end of a call that was sent.
#[derive(Clone, Copy, Debug)]
pub struct EndedCall {
    /// Index of the upstream.
    pub upstream: usize,
    /// What it showed; `None` if the call was never sent.
    pub signal: Option<Signal>,
    /// Time from sending to the end.
    pub took_us: u64,
    /// Owner's tier.
    pub tier: TierKind,
    /// Identifies the work.
    pub fingerprint: u64,
}

/// An upstream as the list names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedUpstream {
    /// Unique name.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// What a predecessor may still run at an upstream.
#[derive(Clone, Debug)]
pub struct InheritedCalls {
    /// Name of the upstream; `None` for all of them.
    pub upstream: Option<Arc<str>>,
    /// Calls that may still run; `None` for all slots.
    pub calls: Option<usize>,
    /// Whether the predecessor saw it warm.
    pub is_warm: bool,
    /// Time at which those calls have ended for certain.
    pub until_us: u64,
}

/// What the owner of the pool has to do.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Send the call.
    Send {
        /// The call.
        call: QueuedCall,
        /// Index of the upstream.
        upstream: usize,
        /// Why there.
        reason: SendReason,
        /// Whether an earlier run of the same request was cut.
        is_suspect: bool,
    },
    /// Answer that the call did not run.
    Refuse {
        /// The call.
        call: QueuedCall,
        /// Why.
        reason: RefuseReason,
        /// When to come back.
        retry_after_ms: u64,
    },
    /// Send a probe.
    Probe {
        /// Index of the upstream.
        upstream: usize,
    },
}

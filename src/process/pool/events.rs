//! Events that a pool handles and the decisions that it makes.

use std::net::SocketAddr;
use std::sync::Arc;

use strum::Display;

use crate::process::lifecycle::Signal;
use crate::process::poison::ResetCount;
use crate::process::queue::QueuedCall;
use crate::version::objects::TierKind;

/// Why a pool chose an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SendReason {
    /// It is the least loaded of the fast upstreams with a free slot.
    LeastLoaded,
    /// The slow upstream would answer before a fast one is free.
    SlowButSooner,
    /// The call checks whether a slow upstream has recovered.
    SlowCheck,
}

/// Why a pool refuses a call; a refused call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RefuseReason {
    /// The queue is too long for it to be answered before its deadline.
    Overloaded,
    /// Its deadline passed or its caller disconnected while it was queued.
    DeadlinePassed,
    /// All upstreams are ejected or leaving, or there are none.
    NoUpstream,
    /// Earlier runs of the same request reset their upstream's connection.
    Poison,
    /// Another instance holds the pool.
    Moved,
}

/// An input to a pool.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call arrived.
    Arrived(QueuedCall),
    /// The caller of a queued call no longer waits.
    Withdrawn(QueuedCall),
    /// A call ended, or its slot was freed before it was sent.
    Ended(EndedCall),
    /// The platform's list was read; it names these upstreams.
    Listed(Vec<ListedUpstream>),
    /// A previous holder of the pool may still have calls in flight.
    Inherited(InheritedCalls),
    /// A probe finished.
    Probed {
        /// Index of the upstream.
        upstream: usize,
        /// Whether it answered with a success status in time.
        is_healthy: bool,
    },
    /// Peers reported connection resets.
    ResetCounts(Vec<ResetCount>),
    /// Time passed without another event.
    Tick,
}

/// A call that has freed its slot.
#[derive(Clone, Copy, Debug)]
pub struct EndedCall {
    /// Index of the upstream.
    pub upstream: usize,
    /// Health signal of the call; `None` if it was never sent.
    pub signal: Option<Signal>,
    /// Time for which it occupied the slot.
    pub took_us: u64,
    /// Tier of the calling organisation.
    pub tier: TierKind,
    /// Fingerprint of the request, equal for each repetition.
    pub fingerprint: u64,
}

/// An upstream's entry in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedUpstream {
    /// Name, unique in the list.
    pub name: Arc<str>,
    /// Address that serves calls.
    pub address: SocketAddr,
    /// Whether it is leaving and gets no new calls.
    pub is_leaving: bool,
}

/// Calls that a previous holder of the pool may still have in flight.
#[derive(Clone, Debug)]
pub struct InheritedCalls {
    /// Name of the upstream; `None` for all of them.
    pub upstream: Option<Arc<str>>,
    /// Number of calls that may still run; `None` for all slots.
    pub calls: Option<usize>,
    /// Whether the upstream was warm at the previous holder.
    pub is_warm: bool,
    /// Time by which those calls have certainly ended.
    pub until_us: u64,
}

/// An action for the owner of the pool.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Send a call to an upstream.
    Send {
        /// The call to send.
        call: QueuedCall,
        /// Index of the upstream.
        upstream: usize,
        /// Why this upstream was chosen.
        reason: SendReason,
        /// Whether an earlier run of the same request reset its connection.
        is_suspect: bool,
    },
    /// Answer that a call did not run.
    Refuse {
        /// The call to refuse.
        call: QueuedCall,
        /// Why it is refused.
        reason: RefuseReason,
        /// Delay that the caller should wait before a retry.
        retry_after_ms: u64,
    },
    /// Send a health probe.
    Probe {
        /// Index of the upstream to probe.
        upstream: usize,
    },
}

//! The protocol between instances: tarpc calls, encoded as bincode.
//!
//! The order of fields, variants and methods is part of the encoding. A frame
//! has at most [`MAX_FRAME_BYTES`].

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::process::keys::{ClaimResponse, KeyName, KeyRecord};
use crate::process::members::{GossipEntry, Member, MemberLoss, View};
use crate::process::pool_choice::PoolName;
use crate::request::call::Call;
use crate::request::outcome::Outcome;

/// Largest frame: the largest body and room for the rest of a call.
pub const MAX_FRAME_BYTES: usize = 9 * 1024 * 1024;
/// Calls that are served concurrently on one connection.
pub const MAX_CALLS_PER_CONNECTION: usize = 4096;

/// Connection resets while a request ran; see [`crate::process::poison`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireResetCount {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Connection resets that the sender knows of.
    pub resets: u32,
}

/// Gossip that instances exchange periodically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender, once it has joined, and instances that it has heard from.
    pub members: Vec<GossipEntry>,
    /// Configuration version in force at the sender.
    pub version: u64,
    /// Age of the sender's copy of the instance list; `None` if it has none.
    pub list_age_ms: Option<u64>,
    /// Requests that were running when connections were reset.
    pub reset_counts: Vec<WireResetCount>,
}

/// Asks the holder of a pool to run a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Pool whose holder is asked.
    pub pool: PoolName,
    /// Call to run.
    pub call: Arc<Call>,
}

/// Response to a [`RunRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunResponse {
    /// How the call ended.
    pub outcome: Outcome,
    /// Upstream that ran the call or may have run it.
    pub upstream: Option<Arc<str>>,
    /// Expected wait of a new call of the same kind.
    pub wait_us: u64,
    /// Whether the instance does not hold the pool, so the call did not run.
    pub is_not_holder: bool,
}

/// Claims an idempotency key, so that the claimant may run its call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Idempotency key, qualified by service and organisation.
    pub name: KeyName,
    /// Fingerprint of the call.
    pub fingerprint: u64,
    /// Incarnation of the process that runs the call.
    pub claimant: u64,
    /// Incarnation of the process that is asked; another one rejects the claim.
    pub target: u64,
}

/// Reports how a key's call ended; a call that did not run releases its claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// Idempotency key, qualified by service and organisation.
    pub name: KeyName,
    /// Fingerprint of the call.
    pub fingerprint: u64,
    /// Incarnation of the process that runs the call.
    pub claimant: u64,
    /// How the call ended.
    pub outcome: Arc<Outcome>,
}

/// Calls that an instance still runs in a pool which it has released.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedPool {
    /// Upstreams of the pool; empty if the instance did not hold it.
    pub upstreams: Vec<ReleasedUpstream>,
}

/// One upstream of a released pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedUpstream {
    /// Name of the upstream.
    pub name: Arc<str>,
    /// Calls of the previous holder in flight.
    pub in_flight: usize,
    /// Whether the upstream is warm and may use all of its slots.
    pub is_warm: bool,
}

/// State that a joining instance takes over from a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JoinState {
    /// All records of idempotency keys.
    pub records: Vec<KeyRecord>,
    /// The current view, and recent ones that contain an earlier process of the
    /// joining instance.
    pub recent_views: Vec<View>,
    /// Views that lost two processes at nearly the same time, and perhaps key
    /// records with them.
    pub member_losses: Vec<MemberLoss>,
    /// Time from now for which earlier key records may be missing.
    pub records_incomplete_ms: u64,
}

/// Version and instance list that an instance takes over from a peer which has
/// newer ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Configuration version in force; 0 before the first.
    pub version: u64,
    /// Id of the append that published the version.
    pub id: Arc<str>,
    /// Who published the version.
    pub author: Arc<str>,
    /// Objects as published, JSON with comments.
    pub text: Arc<str>,
    /// Instance list as the platform returned it.
    pub list: Option<Arc<str>>,
    /// Age of the instance list.
    pub list_age_ms: u64,
}

/// Calls that each instance serves to its peers.
#[tarpc::service]
pub trait Peer {
    /// Exchanges gossip: takes the peer's and returns the instance's own.
    async fn gossip(message: GossipMessage) -> GossipMessage;
    /// Runs a call in a pool that this instance holds.
    async fn run(request: RunRequest) -> RunResponse;
    /// Runs a call that is not idempotent, as the first instance of its key's
    /// pair.
    async fn run_keyed(call: Arc<Call>) -> Outcome;
    /// Claims an idempotency key for a process.
    async fn claim(request: ClaimRequest) -> ClaimResponse;
    /// Records how a key's call ended, or releases its claim.
    async fn record_outcome(report: OutcomeReport);
    /// Takes over key records whose pair now includes this instance.
    async fn replicate_keys(records: Vec<KeyRecord>);
    /// Returns the state that a joining instance takes over.
    async fn join(member: Arc<Member>) -> JoinState;
    /// Releases a pool, which the calling instance takes over.
    async fn release(pool: PoolName) -> ReleasedPool;
    /// Returns the calls that still run in a released pool.
    async fn running_calls(pool: PoolName) -> ReleasedPool;
    /// Returns the configuration version in force and the instance list.
    async fn snapshot() -> Snapshot;
}

//! The protocol between instances.
//!
//! Messages travel by tarpc in bincode, each frame at most
//! [`MAX_FRAME_BYTES`] long.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::process::choice::PoolName;
use crate::process::keys::{Claim, KeyName, KeyRecord};
use crate::process::members::{Hearsay, LostView, Member, View};
use crate::request::call::Call;
use crate::request::outcome::Outcome;

/// Longest frame: the largest body with room for the rest of a call.
pub const MAX_FRAME_BYTES: usize = 9 * 1024 * 1024;
/// Calls of one connection that are served at once.
pub const MAX_CALLS_PER_CONNECTION: usize = 4096;

/// One strike of a request, see [`crate::process::poison`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireResetCount {
    /// Identifies the request.
    pub fingerprint: u64,
    /// Cut connections counted so far.
    pub resets: u32,
}

/// What instances tell each other all the time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The teller first, then others that it heard.
    pub members: Vec<Hearsay>,
    /// Version in force at the teller.
    pub version: u64,
    /// Age of the teller's copy of the list; `None` if it has none.
    pub list_age_ms: Option<u64>,
    /// Requests that cut connections.
    pub reset_counts: Vec<WireResetCount>,
}

/// A call for the holder of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The pool.
    pub pool: PoolName,
    /// The call.
    pub call: Arc<Call>,
}

/// Answer of the holder of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunResponse {
    /// How the call ended.
    pub outcome: Outcome,
    /// Upstream that ran it, or may have.
    pub upstream: Option<Arc<str>>,
    /// Wait of a new call of the same kind.
    pub wait_us: u64,
    /// The instance holds no such pool; the call did not run.
    pub is_not_holder: bool,
}

/// Asks that a process may run a key's call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key.
    pub name: KeyName,
    /// Identifies the work.
    pub fingerprint: u64,
    /// Incarnation of the claimant.
    pub claimant: u64,
    /// Incarnation of the process that is asked.
    pub target: u64,
}

/// Tells how a key's call ended, or that its claim is given up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// The key.
    pub name: KeyName,
    /// Identifies the work.
    pub fingerprint: u64,
    /// Incarnation of the claimant.
    pub claimant: u64,
    /// How it ended.
    pub outcome: Arc<Outcome>,
}

/// What an instance that gave a pool up still runs there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedPool {
    /// Its upstreams; empty if it did not hold the pool.
    pub upstreams: Vec<ReleasedUpstream>,
}

/// One upstream of a pool that was given up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedUpstream {
    /// Name of the upstream.
    pub name: Arc<str>,
    /// Calls that still run there.
    pub in_flight: usize,
    /// Whether it bears all of its slots.
    pub is_warm: bool,
}

/// What an instance that joins is taught.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JoinState {
    /// All records of keys.
    pub records: Vec<KeyRecord>,
    /// Views in force of late, with the joining instance's earlier processes.
    pub recent_views: Vec<View>,
    /// Views whose losses may have taken records along.
    pub member_losses: Vec<LostView>,
    /// Time for which records from before may be missing.
    pub records_incomplete_ms: u64,
}

/// What an instance without the log or the list takes from a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version in force; 0 for none.
    pub version: u64,
    /// Id of the append that carried it.
    pub id: Arc<str>,
    /// Who published it.
    pub author: Arc<str>,
    /// The whole set.
    pub text: Arc<str>,
    /// The platform's list as it was answered.
    pub list: Option<Arc<str>>,
    /// Age of that answer.
    pub list_age_ms: u64,
}

/// What an instance serves to the others.
#[tarpc::service]
pub trait Peer {
    /// Exchanges what both have heard.
    async fn gossip(message: GossipMessage) -> GossipMessage;
    /// Runs a call in a pool that the instance holds.
    async fn run(run: RunRequest) -> RunResponse;
    /// Runs a call that may not be repeated, as the first of its key's pair.
    async fn run_keyed(call: Arc<Call>) -> Outcome;
    /// Asks that a process may run a key's call.
    async fn claim(request: ClaimRequest) -> Claim;
    /// Tells how a key's call ended.
    async fn report_outcome(report: OutcomeReport);
    /// Passes on records of keys.
    async fn replicate_keys(records: Vec<KeyRecord>);
    /// Teaches an instance that joins.
    async fn join(member: Arc<Member>) -> JoinState;
    /// Gives a pool up for the caller.
    async fn release(pool: PoolName) -> ReleasedPool;
    /// Tells what still runs in a pool that was given up.
    async fn running_calls(pool: PoolName) -> ReleasedPool;
    /// Tells the version in force and the list.
    async fn snapshot() -> Snapshot;
}

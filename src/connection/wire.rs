//! The protocol between instances.
//!
//! Messages travel by tarpc in bincode, each frame at most
//! [`FRAME_LIMIT_BYTES`] long.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::process::keys::{ClaimResponse, KeyName, KeyRecord};
use crate::process::members::{GossipEntry, Member, MemberLoss, View};
use crate::process::pool_choice::PoolName;
use crate::request::call::Call;
use crate::request::outcome::Outcome;

/// Longest frame: the largest body with room for the rest of a call.
pub const FRAME_LIMIT_BYTES: usize = 9 * 1024 * 1024;
/// Calls of one connection that are served at once.
pub const CALLS_PER_CONNECTION: usize = 4096;

/// One strike of a request, see [`crate::process::poison`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireStrike {
    /// Identifies the request.
    pub fingerprint: u64,
    /// Cut connections counted so far.
    pub strikes: u32,
}

/// What instances tell each other all the time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// The teller first, then others that it heard.
    pub hearsay: Vec<GossipEntry>,
    /// Version in force at the teller.
    pub version: u64,
    /// Age of the teller's copy of the list; `None` if it has none.
    pub list_age_ms: Option<u64>,
    /// Requests that cut connections.
    pub strikes: Vec<WireStrike>,
}

/// A call for the holder of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The pool.
    pub pool: PoolName,
    /// The call.
    pub call: Arc<Call>,
}

/// Answer of the holder of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ran {
    /// How the call ended.
    pub outcome: Outcome,
    /// Upstream that ran it, or may have.
    pub upstream: Option<Arc<str>>,
    /// Wait of a new call of the same kind.
    pub wait_us: u64,
    /// The instance holds no such pool; the call did not run.
    pub is_elsewhere: bool,
}

/// Asks that a process may run a key's call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key.
    pub name: KeyName,
    /// Identifies the work.
    pub fingerprint: u64,
    /// Incarnation of the claimant.
    pub by: u64,
    /// Incarnation of the process that is asked.
    pub to: u64,
}

/// Tells how a key's call ended, or that its claim is given up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The key.
    pub name: KeyName,
    /// Identifies the work.
    pub fingerprint: u64,
    /// Incarnation of the claimant.
    pub by: u64,
    /// How it ended.
    pub outcome: Arc<Outcome>,
}

/// What an instance that gave a pool up still runs there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Released {
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
pub struct Lesson {
    /// All records of keys.
    pub records: Vec<KeyRecord>,
    /// Views in force of late, with the joining instance's earlier processes.
    pub recent_views: Vec<View>,
    /// Views whose losses may have taken records along.
    pub lost_views: Vec<MemberLoss>,
    /// Time for which records from before may be missing.
    pub doubt_ms: u64,
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
    async fn greet(greeting: Greeting) -> Greeting;
    /// Runs a call in a pool that the instance holds.
    async fn run(run: Run) -> Ran;
    /// Runs a call that may not be repeated, as the first of its key's pair.
    async fn run_keyed(call: Arc<Call>) -> Outcome;
    /// Asks that a process may run a key's call.
    async fn claim(request: ClaimRequest) -> ClaimResponse;
    /// Tells how a key's call ended.
    async fn settle(settlement: Settlement);
    /// Passes on records of keys.
    async fn teach(records: Vec<KeyRecord>);
    /// Teaches an instance that joins.
    async fn join(member: Arc<Member>) -> Lesson;
    /// Gives a pool up for the caller.
    async fn release(pool: PoolName) -> Released;
    /// Tells what still runs in a pool that was given up.
    async fn running(pool: PoolName) -> Released;
    /// Tells the version in force and the list.
    async fn snapshot() -> Snapshot;
}

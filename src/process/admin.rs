//! Serves operators over HTTP: the state of the instance and its recent
//! decisions.

use std::sync::Arc;

use axum::extract::{Query, State};
use axum::routing::get;
use axum::{Json, Router};
use serde::{Deserialize, Serialize};

use super::decisions::{DecisionFilter, DecisionRecord};
use super::node::Node;
use super::pool_actor::GetSummary;

/// Answer to `/status`: the state of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Data centre in which the instance runs.
    pub data_centre: Arc<str>,
    /// Whether the instance is ready for callers.
    pub is_ready: bool,
    /// Configuration version in force; 0 before the first.
    pub version: u64,
    /// Id of the append that published the version.
    pub id: Arc<str>,
    /// Names of the instances in its view of the fleet.
    pub members: Vec<Arc<str>>,
    /// Age of its copy of the platform's list.
    pub list_age_ms: u64,
    /// Number of idempotency keys in its table.
    pub keys: usize,
    /// Pools that it holds, by service and data centre.
    pub pools: Vec<PoolStatus>,
}

/// One pool that an instance holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Service of the pool.
    pub service: Arc<str>,
    /// Data centre of the pool.
    pub data_centre: Arc<str>,
    /// State of each upstream.
    pub upstreams: Vec<UpstreamStatus>,
}

/// One upstream of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub name: Arc<str>,
    /// Lifecycle state: cold, warm, ejected or leaving.
    pub life: String,
    /// Calls in flight.
    pub in_flight: usize,
    /// Mean time until the upstream answers.
    pub mean_us: u64,
}

/// Returns the routes for operators.
pub fn router(node: Arc<Node>) -> Router {
    Router::new()
        .route("/status", get(status))
        .route("/decisions", get(decisions))
        .with_state(node)
}

async fn decisions(
    State(node): State<Arc<Node>>,
    Query(filter): Query<DecisionFilter>,
) -> Json<Vec<DecisionRecord>> {
    Json(node.decisions.find(&filter))
}

async fn status(State(node): State<Arc<Node>>) -> Json<Status> {
    let accepted = node.accepted.load_full();
    let view = node.view();
    let mut members = Vec::new();
    for member in view.members() {
        members.push(Arc::clone(&member.name));
    }
    let keys = node.key_table().len();
    Json(Status {
        name: Arc::clone(&node.me.name),
        data_centre: Arc::clone(&node.me.data_centre),
        is_ready: node.is_ready(),
        version: accepted.version,
        id: Arc::clone(&accepted.id),
        members,
        list_age_ms: node.fence.list_age_ms(node.clock.now_ms()),
        keys,
        pools: pools(&node).await,
    })
}

async fn pools(node: &Node) -> Vec<PoolStatus> {
    let mut pools = Vec::new();
    for (name, actor) in node.pools() {
        let Ok(summary) = actor.ask(GetSummary).await else {
            continue;
        };
        if summary.is_closed {
            continue;
        }
        let mut upstreams = Vec::new();
        for upstream in summary.upstreams {
            upstreams.push(UpstreamStatus {
                name: upstream.name,
                life: upstream.state.to_string(),
                in_flight: upstream.in_flight,
                mean_us: upstream.mean_us,
            });
        }
        pools.push(PoolStatus {
            service: name.service,
            data_centre: name.data_centre,
            upstreams,
        });
    }
    pools.sort_by(|a, b| (&a.service, &a.data_centre).cmp(&(&b.service, &b.data_centre)));
    pools
}

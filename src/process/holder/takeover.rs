//! Takes over pools from their previous holders.

use std::sync::Arc;
use std::time::Duration;

use kameo::prelude::*;
use tokio::time::{Instant, sleep};

use super::CANCEL_GRACE_MS;
use crate::connection::peer::PeerError;
use crate::connection::wire::ReleasedPool;
use crate::process::members::Member;
use crate::process::metrics::Counter;
use crate::process::node::Node;
use crate::process::pool::InheritedCalls;
use crate::process::pool_actor::{GetRunning, Inherit, PoolActor, Release, Reopen};
use crate::process::pool_choice::PoolName;

/// Time in which a previous holder must respond to a request for release or for
/// its running calls.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between requests to a previous holder that still runs calls.
const RUNNING_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the actor of a pool, and starts it if necessary.
///
/// Returns `None` if another instance holds the pool by the current view, or if
/// its service does not exist.
pub async fn open_held_pool(node: &Arc<Node>, name: &PoolName) -> Option<ActorRef<PoolActor>> {
    if !is_holder(node, name) {
        return None;
    }
    let (actor, is_new) = node.start_pool(name)?;
    let was_closed = !is_new && actor.ask(Reopen).await.unwrap_or(false);
    if is_new || was_closed {
        start_takeover(node, name, &actor);
    }
    Some(actor)
}

/// Starts every pool that this instance holds by the current view.
pub async fn start_held_pools(node: &Arc<Node>) {
    if !node.is_joined() {
        return;
    }
    let objects = node.objects();
    for service in objects.services.values() {
        for data_centre in &service.data_centres {
            let name = PoolName {
                service: Arc::clone(&service.name),
                data_centre: Arc::clone(data_centre),
            };
            open_held_pool(node, &name).await;
        }
    }
}

fn is_holder(node: &Node, name: &PoolName) -> bool {
    let view = node.view();
    let holder = view.holder(&name.service, &name.data_centre);
    holder.is_some_and(|holder| **holder == *node.me)
}

/// Counts all slots as occupied, then requests the pool from its previous
/// holders.
fn start_takeover(node: &Arc<Node>, name: &PoolName, actor: &ActorRef<PoolActor>) {
    node.metrics.count(Counter::Takeovers);
    let run_limit_ms = node
        .objects()
        .services
        .get(&name.service)
        .map_or(0, |service| service.run_limit_ms);
    inherit_on_all_upstreams(node, actor, run_limit_ms.max(CANCEL_GRACE_MS));
    let node = Arc::clone(node);
    let name = name.clone();
    let actor = actor.clone();
    tokio::spawn(async move { take_over(&node, &name, &actor).await });
}

/// Tells the pool that all upstreams may run calls of a previous holder for
/// `occupied_ms`.
fn inherit_on_all_upstreams(node: &Node, actor: &ActorRef<PoolActor>, occupied_ms: u64) {
    let inherited = InheritedCalls {
        upstream: None,
        calls: None,
        is_warm: false,
        until_us: node.clock.now_us() + occupied_ms * 1000,
    };
    let _ = actor.tell(Inherit(inherited)).try_send();
}

async fn take_over(node: &Arc<Node>, name: &PoolName, actor: &ActorRef<PoolActor>) {
    let mut all_confirmed = true;
    let mut released = None;
    for member in previous_holders(node, name) {
        match request_release(node, name, &member).await {
            Ok(pool) => {
                // The member may have been unresponsive. Unless the view
                // includes it again, two instances would keep taking over the
                // pool from each other.
                node.on_peer_answered(&member);
                if !pool.upstreams.is_empty() {
                    released = Some((member, pool));
                }
            }
            Err(error) if error.is_refused() => node.check_peer(&member, &error).await,
            Err(error) => {
                tracing::info!(
                    target: "placement",
                    pool = ?name,
                    %error,
                    "previous holder did not release the pool"
                );
                node.check_peer(&member, &error).await;
                // A dead process runs nothing; an unresponsive one may.
                all_confirmed &= node.members().is_dead(&member);
            }
        }
    }
    if !all_confirmed {
        return;
    }
    match released {
        Some((member, pool)) => track_released_calls(node, name, actor, &member, pool).await,
        None => inherit_on_all_upstreams(node, actor, CANCEL_GRACE_MS),
    }
    tracing::info!(target: "placement", pool = ?name, "took over the pool");
}

/// Polls the previous holder for its running calls until none is left.
async fn track_released_calls(
    node: &Arc<Node>,
    name: &PoolName,
    actor: &ActorRef<PoolActor>,
    member: &Arc<Member>,
    mut pool: ReleasedPool,
) {
    let run_limit_ms = node
        .objects()
        .services
        .get(&name.service)
        .map_or(0, |service| service.run_limit_ms);
    let until_us = node.clock.now_us() + run_limit_ms * 1000;
    inherit_on_all_upstreams(node, actor, 0);
    loop {
        let mut running = 0;
        for upstream in &pool.upstreams {
            running += upstream.in_flight;
            let inherited = InheritedCalls {
                upstream: Some(Arc::clone(&upstream.name)),
                calls: Some(upstream.in_flight),
                is_warm: upstream.is_warm,
                until_us,
            };
            let _ = actor.tell(Inherit(inherited)).try_send();
        }
        let is_done = running == 0 || node.clock.now_us() >= until_us;
        if is_done || !is_holder(node, name) {
            return;
        }
        sleep(RUNNING_POLL_INTERVAL).await;
        match request_running_calls(node, name, member).await {
            Ok(next) => pool = next,
            Err(_) => return,
        }
    }
}

async fn request_release(
    node: &Node,
    name: &PoolName,
    member: &Member,
) -> Result<ReleasedPool, PeerError> {
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    let name = name.clone();
    node.peers
        .call(member.address, deadline, |client, context| async move {
            client.release(context, name).await
        })
        .await
}

async fn request_running_calls(
    node: &Node,
    name: &PoolName,
    member: &Member,
) -> Result<ReleasedPool, PeerError> {
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    let name = name.clone();
    node.peers
        .call(member.address, deadline, |client, context| async move {
            client.running_calls(context, name).await
        })
        .await
}

/// The members that may have held the pool by a recent view.
fn previous_holders(node: &Node, name: &PoolName) -> Vec<Arc<Member>> {
    let now_ms = node.clock.now_ms();
    let views = node.members().recent_views(now_ms);
    let mut found: Vec<Arc<Member>> = Vec::new();
    for view in views {
        let others = view.without(&node.me);
        let candidates = [
            view.holder(&name.service, &name.data_centre),
            others.holder(&name.service, &name.data_centre),
        ];
        for candidate in candidates.into_iter().flatten() {
            if **candidate != *node.me && !found.contains(candidate) {
                found.push(Arc::clone(candidate));
            }
        }
    }
    found
}

/// Closes a pool of this instance and returns the calls that it still runs.
pub async fn release_pool(node: &Arc<Node>, name: &PoolName) -> ReleasedPool {
    let Some(actor) = node.pool(name) else {
        return ReleasedPool {
            upstreams: Vec::new(),
        };
    };
    let upstreams = actor.ask(Release).await.unwrap_or_default();
    ReleasedPool { upstreams }
}

/// Returns the calls that still run in a pool of this instance, without closing
/// it.
pub async fn running_calls(node: &Arc<Node>, name: &PoolName) -> ReleasedPool {
    let Some(actor) = node.pool(name) else {
        return ReleasedPool {
            upstreams: Vec::new(),
        };
    };
    let upstreams = actor.ask(GetRunning).await.unwrap_or_default();
    ReleasedPool { upstreams }
}

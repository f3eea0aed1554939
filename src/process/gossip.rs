//! Joins the fleet and keeps in touch with it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::prelude::*;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout};

use super::keys::RETENTION_MS;
use super::list_poller::adopt_from_peer;
use super::members::Member;
use super::node::Node;
use super::versions::{Adopt, VersionActor};
use crate::connection::log::LogClient;
use crate::connection::peer::PeerError;
use crate::connection::wire::GossipMessage;

/// Interval between exchanges.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(600);
/// Instances greeted at a time; with the interval and the length of a message
/// this keeps a node's exchanges within some 5 KB/s, whatever the fleet's size.
const FANOUT: usize = 1;
/// Instances greeted at once with urgent news, which they pass on likewise.
const URGENT_FANOUT: usize = 3;
/// Time in which a message must be answered.
const GOSSIP_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which a joining instance must be taught.
const STATE_TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between tries to join.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time that a founder of the fleet gets to be heard.
const FOUNDER_TIMEOUT: Duration = Duration::from_secs(3);
/// Difference of list ages from which a peer's copy is asked for.
const MIN_LIST_AGE_DIFFERENCE_MS: u64 = 1_000;
/// Stream of the log that names the instances that found a fleet.
const FLEET_STREAM: &str = "fleet";

#[derive(Debug, Serialize, Deserialize)]
struct Founder {
    name: Arc<str>,
    incarnation: u64,
}

/// Joins, then keeps in touch until the process ends.
pub async fn join_and_run(node: Arc<Node>, versions: ActorRef<VersionActor>) {
    join(&node, &versions).await;
    tracing::info!(target: "membership", name = %node.me.name, records_incomplete_ms = node.records_incomplete_ms(), "joined");
    node.notify_changed();
    gossip_with_all(&node, &versions).await;
    loop {
        let is_urgent = timeout(GOSSIP_INTERVAL, node.gossip_now.notified())
            .await
            .is_ok();
        let fanout = if is_urgent { URGENT_FANOUT } else { FANOUT };
        let targets = node.members().gossip_targets();
        let chosen: Vec<SocketAddr> = targets.sample(&mut rand::rng(), fanout).copied().collect();
        gossip_with_each(&node, &versions, chosen).await;
        if node.members().update_view(node.clock.now_ms()) {
            node.on_view_changed();
        }
    }
}

/// Tells every instance that this one knows of.
pub async fn gossip_with_all(node: &Arc<Node>, versions: &ActorRef<VersionActor>) {
    let targets = node.members().gossip_targets();
    gossip_with_each(node, versions, targets).await;
}

async fn gossip_with_each(
    node: &Arc<Node>,
    versions: &ActorRef<VersionActor>,
    addresses: Vec<SocketAddr>,
) {
    let exchanges = addresses
        .into_iter()
        .map(|address| gossip_with(node, versions, address));
    futures::future::join_all(exchanges).await;
}

async fn gossip_with(node: &Arc<Node>, versions: &ActorRef<VersionActor>, address: SocketAddr) {
    let asked_ms = node.clock.now_ms();
    match send_gossip(node, address).await {
        Ok(message) => {
            node.fence.on_contact(asked_ms);
            node.on_gossip(&message);
            fetch_newer_state(node, versions, address, &message).await;
            if node.accepted.load().version >= message.version {
                node.fence.on_version(asked_ms);
            }
        }
        Err(error) => {
            let view = node.view();
            let found = view
                .members()
                .iter()
                .find(|member| member.address == address);
            if let Some(member) = found {
                node.check_peer(member, &error).await;
            }
        }
    }
}

async fn send_gossip(node: &Node, address: SocketAddr) -> Result<GossipMessage, PeerError> {
    let message = node.gossip_message();
    let deadline = Instant::now() + GOSSIP_TIMEOUT;
    node.peers
        .call(address, deadline, |client, context| async move {
            client.gossip(context, message).await
        })
        .await
}

/// Takes from a peer what it has newer: the version in force, the list.
async fn fetch_newer_state(
    node: &Arc<Node>,
    versions: &ActorRef<VersionActor>,
    address: SocketAddr,
    message: &GossipMessage,
) {
    let asked_ms = node.clock.now_ms();
    let own_age_ms = node.fence.list_age_ms(asked_ms);
    let is_version_newer = message.version > node.accepted.load().version;
    let is_list_newer = message.list_age_ms.is_some_and(|age_ms| {
        node.list.load().is_none() || age_ms + MIN_LIST_AGE_DIFFERENCE_MS < own_age_ms
    });
    if !is_version_newer && !is_list_newer {
        return;
    }
    let deadline = Instant::now() + STATE_TRANSFER_TIMEOUT;
    let answer = node
        .peers
        .call(address, deadline, |client, context| async move {
            client.snapshot(context).await
        })
        .await;
    let Ok(snapshot) = answer else {
        return;
    };
    if let Some(text) = snapshot.list.clone().filter(|_| is_list_newer)
        && let Err(error) = adopt_from_peer(node, text, snapshot.list_age_ms, asked_ms)
    {
        tracing::warn!(target: "list", %error, "a peer's copy of the list");
    }
    if is_version_newer {
        // The actor ends only with the process.
        let _ = versions.ask(Adopt(snapshot)).await;
    }
}

/// Learns what the fleet knows before taking part in it.
async fn join(node: &Arc<Node>, versions: &ActorRef<VersionActor>) {
    let fleet = LogClient::new(&node.config.log_url, FLEET_STREAM);
    let mut founder_until: Option<Instant> = None;
    loop {
        sleep(JOIN_RETRY_DELAY).await;
        if node.list.load().is_none() {
            continue;
        }
        gossip_with_all(node, versions).await;
        let others = node.view().without(&node.me);
        if !others.members().is_empty() {
            if let Some(records_incomplete_ms) = fetch_join_states(node, others.members()).await {
                node.members().on_joined(node.clock.now_ms());
                node.set_joined(records_incomplete_ms);
                return;
            }
            continue;
        }
        match find_founder(node, &fleet).await {
            Some(founder) if founder.incarnation == node.me.incarnation => {
                node.set_joined(0);
                return;
            }
            Some(_) => {
                // Another process founded the fleet: it is still to be
                // heard, or gone with everything that it knew.
                let until = *founder_until.get_or_insert(Instant::now() + FOUNDER_TIMEOUT);
                if Instant::now() >= until {
                    node.set_joined(RETENTION_MS);
                    return;
                }
            }
            None => {}
        }
    }
}

/// The first process of the fleet, which is this one if the stream is empty.
async fn find_founder(node: &Node, fleet: &LogClient) -> Option<Founder> {
    let page = fleet.read(0, Duration::ZERO).await.ok()?;
    if page.next_offset > 0 {
        let nobody = Founder {
            name: "".into(),
            incarnation: 0,
        };
        let first = page.records.first();
        let read = first.and_then(|record| serde_json::from_str(record.data.get()).ok());
        return Some(read.unwrap_or(nobody));
    }
    let this_process = Founder {
        name: Arc::clone(&node.me.name),
        incarnation: node.me.incarnation,
    };
    // Whoever stands first has founded it, whatever this append is answered.
    let _ = fleet.append(&this_process).await;
    let page = fleet.read(0, Duration::ZERO).await.ok()?;
    let first = page.records.first()?;
    serde_json::from_str(first.data.get()).ok()
}

/// Learns from all others; `None` if one of them did not answer.
async fn fetch_join_states(node: &Arc<Node>, others: &[Arc<Member>]) -> Option<u64> {
    let mut records_incomplete_ms = 0;
    for member in others {
        let deadline = Instant::now() + STATE_TRANSFER_TIMEOUT;
        let me = Arc::clone(&node.me);
        let answer = node
            .peers
            .call(member.address, deadline, |client, context| async move {
                client.join(context, me).await
            })
            .await;
        let state = match answer {
            Ok(state) => state,
            Err(error) => {
                node.check_peer(member, &error).await;
                return None;
            }
        };
        let now_ms = node.clock.now_ms();
        records_incomplete_ms = records_incomplete_ms.max(state.records_incomplete_ms);
        {
            let mut members = node.members();
            members.on_member_losses(now_ms, state.member_losses);
            members.add_peer_views(now_ms, state.recent_views);
        }
        let mut key_table = node.key_table();
        for record in &state.records {
            key_table.merge(now_ms, record);
        }
    }
    Some(records_incomplete_ms)
}

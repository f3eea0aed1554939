//! Joins the fleet and exchanges gossip with its members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::prelude::*;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout};

use super::keys::KEY_RETENTION_MS;
use super::list_poller::adopt_from_peer;
use super::members::Member;
use super::node::Node;
use super::versions::{Adopt, VersionActor};
use crate::connection::log::LogClient;
use crate::connection::peer::PeerError;
use crate::connection::wire::GossipMessage;

/// Interval between gossip exchanges.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(600);
/// Peers per exchange. With the interval and the size of a message, one peer
/// limits an instance's gossip to about 5 KB/s for any size of the fleet.
const FANOUT: usize = 1;
/// Peers per exchange for urgent news, which the receivers pass on to as many.
const URGENT_FANOUT: usize = 3;
/// Time without contact after which more peers are chosen, as most of those that are
/// still listed may have ended: two intervals, well within the isolation timeout.
const MAX_CONTACT_AGE_MS: u64 = 1_200;
/// Peers per exchange then.
const NO_CONTACT_FANOUT: usize = 16;
/// Time in which a peer must respond to a gossip message.
const GOSSIP_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which a peer must send its join state or a snapshot.
const STATE_TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before each attempt to join.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for which a joining process tries to reach the fleet's founder before it
/// joins without the earlier key records.
const FOUNDER_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum difference in age for which a peer's copy of the list is requested.
const MIN_LIST_AGE_DIFFERENCE_MS: u64 = 1_000;
/// Stream of the platform's log whose first record names the process that
/// founded the fleet.
const FLEET_STREAM: &str = "fleet";

/// Record of the stream [`FLEET_STREAM`].
#[derive(Debug, Serialize, Deserialize)]
struct Founder {
    name: Arc<str>,
    incarnation: u64,
}

/// Joins the fleet, then exchanges gossip until the process ends.
pub async fn join_and_run(node: Arc<Node>, versions: ActorRef<VersionActor>) {
    join(&node, &versions).await;
    tracing::info!(
        target: "membership",
        name = %node.me.name,
        records_incomplete_ms = node.records_incomplete_ms(),
        "joined the fleet"
    );
    node.notify_changed();
    gossip_with_all(&node, &versions).await;
    loop {
        let is_urgent = timeout(GOSSIP_INTERVAL, node.gossip_now.notified())
            .await
            .is_ok();
        let contact_age_ms = node.fence.contact_age_ms(node.clock.now_ms());
        let fanout = if contact_age_ms > MAX_CONTACT_AGE_MS {
            NO_CONTACT_FANOUT
        } else if is_urgent {
            URGENT_FANOUT
        } else {
            FANOUT
        };
        let targets = node.members().gossip_targets();
        let chosen: Vec<SocketAddr> = targets.sample(&mut rand::rng(), fanout).copied().collect();
        gossip_with_each(&node, &versions, chosen).await;
        if node.members().update_view(node.clock.now_ms()) {
            node.on_view_changed();
        }
    }
}

/// Exchanges gossip with every known instance.
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

/// Fetches the configuration version and the list from a peer that has newer
/// ones.
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
    let response = node
        .peers
        .call(address, deadline, |client, context| async move {
            client.snapshot(context).await
        })
        .await;
    let Ok(snapshot) = response else {
        return;
    };
    if let Some(text) = snapshot.list.clone().filter(|_| is_list_newer)
        && let Err(error) = adopt_from_peer(node, text, snapshot.list_age_ms, asked_ms)
    {
        tracing::warn!(target: "list", %error, "ignored a peer's invalid copy of the list");
    }
    if is_version_newer {
        // Fails only while the process ends.
        let _ = versions.ask(Adopt(snapshot)).await;
    }
}

/// Fetches the state of the fleet from its members, or founds the fleet if there
/// is none, and marks this process as joined.
async fn join(node: &Arc<Node>, versions: &ActorRef<VersionActor>) {
    let fleet = LogClient::new(&node.config.log_url, FLEET_STREAM);
    let mut founder_deadline: Option<Instant> = None;
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
                // Another process founded the fleet. Either it can still be
                // reached, or it has ended and the key records are lost.
                let deadline = *founder_deadline.get_or_insert(Instant::now() + FOUNDER_TIMEOUT);
                if Instant::now() >= deadline {
                    node.set_joined(KEY_RETENTION_MS);
                    return;
                }
            }
            None => {}
        }
    }
}

/// Returns the process that founded the fleet, or `None` if the log does not
/// answer. If the stream is empty, this process tries to become the founder.
async fn find_founder(node: &Node, fleet: &LogClient) -> Option<Founder> {
    let page = fleet.read(0, Duration::ZERO).await.ok()?;
    if page.next_offset > 0 {
        let unknown = Founder {
            name: "".into(),
            incarnation: 0,
        };
        let first = page.records.first();
        let founder = first.and_then(|record| serde_json::from_str(record.data.get()).ok());
        return Some(founder.unwrap_or(unknown));
    }
    let this_process = Founder {
        name: Arc::clone(&node.me.name),
        incarnation: node.me.incarnation,
    };
    // Only the first record decides: the append may have succeeded although its
    // response was lost, or another process may have been faster.
    let _ = fleet.append(&this_process).await;
    let page = fleet.read(0, Duration::ZERO).await.ok()?;
    let first = page.records.first()?;
    serde_json::from_str(first.data.get()).ok()
}

/// Merges the state of all other members, and returns for how long key records
/// may be missing; `None` if a member did not respond.
async fn fetch_join_states(node: &Arc<Node>, others: &[Arc<Member>]) -> Option<u64> {
    let mut records_incomplete_ms = 0;
    for member in others {
        let deadline = Instant::now() + STATE_TRANSFER_TIMEOUT;
        let me = Arc::clone(&node.me);
        let response = node
            .peers
            .call(member.address, deadline, |client, context| async move {
                client.join(context, me).await
            })
            .await;
        let state = match response {
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

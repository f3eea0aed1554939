//! Joins the fleet and keeps in touch with it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::prelude::*;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout};

use super::keys::RETENTION_MS;
use super::listing::take_from_peer;
use super::members::Member;
use super::node::Node;
use super::versions::{Adopt, VersionActor};
use crate::connection::log::LogClient;
use crate::connection::peer::PeerError;
use crate::connection::wire::GossipMessage;

/// Interval between greetings.
const INTERVAL: Duration = Duration::from_millis(600);
/// Instances greeted at a time; with the interval and the length of a greeting
/// this keeps a node's greetings within some 5 KB/s, whatever the fleet's size.
const FANOUT: usize = 1;
/// Instances greeted at once with urgent news, which they pass on likewise.
const URGENT_FANOUT: usize = 3;
/// Time in which a greeting must be answered.
const LIMIT: Duration = Duration::from_millis(300);
/// Time in which a joining instance must be taught.
const LESSON_LIMIT: Duration = Duration::from_secs(10);
/// Pause between tries to join.
const JOIN_PAUSE: Duration = Duration::from_millis(50);
/// Time that a founder of the fleet gets to be heard.
const FOUNDER_WAIT: Duration = Duration::from_secs(3);
/// Difference of list ages from which a peer's copy is asked for.
const FRESHER_BY_MS: u64 = 1_000;
/// Stream of the log that names the instances that found a fleet.
const FLEET_STREAM: &str = "fleet";

#[derive(Debug, Serialize, Deserialize)]
struct Founding {
    name: Arc<str>,
    incarnation: u64,
}

/// Joins, then keeps in touch until the process ends.
pub async fn keep(node: Arc<Node>, versions: ActorRef<VersionActor>) {
    join(&node, &versions).await;
    tracing::info!(target: "membership", name = %node.me.name, doubt_ms = node.doubt_ms(), "joined");
    node.announce();
    greet_all(&node, &versions).await;
    loop {
        let is_urgent = timeout(INTERVAL, node.greet_now.notified()).await.is_ok();
        let fanout = if is_urgent { URGENT_FANOUT } else { FANOUT };
        let contacts = node.members().gossip_targets();
        let chosen: Vec<SocketAddr> = contacts.sample(&mut rand::rng(), fanout).copied().collect();
        greet_each(&node, &versions, chosen).await;
        if node.members().update_view(node.clock.now_ms()) {
            node.on_view_changed();
        }
    }
}

/// Tells every instance that this one knows of.
pub async fn greet_all(node: &Arc<Node>, versions: &ActorRef<VersionActor>) {
    let contacts = node.members().gossip_targets();
    greet_each(node, versions, contacts).await;
}

async fn greet_each(
    node: &Arc<Node>,
    versions: &ActorRef<VersionActor>,
    addresses: Vec<SocketAddr>,
) {
    let greetings = addresses
        .into_iter()
        .map(|address| greet(node, versions, address));
    futures::future::join_all(greetings).await;
}

async fn greet(node: &Arc<Node>, versions: &ActorRef<VersionActor>, address: SocketAddr) {
    let asked_ms = node.clock.now_ms();
    match exchange(node, address).await {
        Ok(greeting) => {
            node.fence.on_contact(asked_ms);
            node.on_greeting(&greeting);
            catch_up(node, versions, address, &greeting).await;
            if node.accepted.load().version >= greeting.version {
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
                node.verify(member, &error).await;
            }
        }
    }
}

async fn exchange(node: &Node, address: SocketAddr) -> Result<GossipMessage, PeerError> {
    let greeting = node.greeting();
    let deadline = Instant::now() + LIMIT;
    node.peers
        .call(address, deadline, |client, context| async move {
            client.gossip(context, greeting).await
        })
        .await
}

/// Takes from a peer what it has newer: the version in force, the list.
async fn catch_up(
    node: &Arc<Node>,
    versions: &ActorRef<VersionActor>,
    address: SocketAddr,
    greeting: &GossipMessage,
) {
    let asked_ms = node.clock.now_ms();
    let own_age_ms = node.fence.list_age_ms(asked_ms);
    let has_version = greeting.version > node.accepted.load().version;
    let has_list = greeting
        .list_age_ms
        .is_some_and(|age_ms| node.list.load().is_none() || age_ms + FRESHER_BY_MS < own_age_ms);
    if !has_version && !has_list {
        return;
    }
    let deadline = Instant::now() + LESSON_LIMIT;
    let answer = node
        .peers
        .call(address, deadline, |client, context| async move {
            client.snapshot(context).await
        })
        .await;
    let Ok(snapshot) = answer else {
        return;
    };
    if let Some(text) = snapshot.list.clone().filter(|_| has_list)
        && let Err(error) = take_from_peer(node, text, snapshot.list_age_ms, asked_ms)
    {
        tracing::warn!(target: "list", %error, "a peer's copy of the list");
    }
    if has_version {
        // The actor ends only with the process.
        let _ = versions.ask(Adopt(snapshot)).await;
    }
}

/// Learns what the fleet knows before taking part in it.
async fn join(node: &Arc<Node>, versions: &ActorRef<VersionActor>) {
    let fleet = LogClient::new(&node.config.log_url, FLEET_STREAM);
    let mut founder_until: Option<Instant> = None;
    loop {
        sleep(JOIN_PAUSE).await;
        if node.list.load().is_none() {
            continue;
        }
        greet_all(node, versions).await;
        let others = node.view().without(&node.me);
        if !others.members().is_empty() {
            if let Some(doubt_ms) = learn(node, others.members()).await {
                node.members().on_joined(node.clock.now_ms());
                node.set_joined(doubt_ms);
                return;
            }
            continue;
        }
        match founder(node, &fleet).await {
            Some(founder) if founder.incarnation == node.me.incarnation => {
                node.set_joined(0);
                return;
            }
            Some(_) => {
                // Another process founded the fleet: it is still to be
                // heard, or gone with everything that it knew.
                let until = *founder_until.get_or_insert(Instant::now() + FOUNDER_WAIT);
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
async fn founder(node: &Node, fleet: &LogClient) -> Option<Founding> {
    let page = fleet.read(0, Duration::ZERO).await.ok()?;
    if page.next_offset > 0 {
        let nobody = Founding {
            name: "".into(),
            incarnation: 0,
        };
        let first = page.records.first();
        let read = first.and_then(|record| serde_json::from_str(record.data.get()).ok());
        return Some(read.unwrap_or(nobody));
    }
    let own = Founding {
        name: Arc::clone(&node.me.name),
        incarnation: node.me.incarnation,
    };
    // Whoever stands first has founded it, whatever this append is answered.
    let _ = fleet.append(&own).await;
    let page = fleet.read(0, Duration::ZERO).await.ok()?;
    let first = page.records.first()?;
    serde_json::from_str(first.data.get()).ok()
}

/// Learns from all others; `None` if one of them did not answer.
async fn learn(node: &Arc<Node>, others: &[Arc<Member>]) -> Option<u64> {
    let mut doubt_ms = 0;
    for member in others {
        let deadline = Instant::now() + LESSON_LIMIT;
        let me = Arc::clone(&node.me);
        let answer = node
            .peers
            .call(member.address, deadline, |client, context| async move {
                client.join(context, me).await
            })
            .await;
        let lesson = match answer {
            Ok(lesson) => lesson,
            Err(error) => {
                node.verify(member, &error).await;
                return None;
            }
        };
        let now_ms = node.clock.now_ms();
        doubt_ms = doubt_ms.max(lesson.records_incomplete_ms);
        {
            let mut members = node.members();
            members.on_member_losses(now_ms, lesson.member_losses);
            members.add_peer_views(now_ms, lesson.recent_views);
        }
        let mut key_table = node.key_table();
        for record in &lesson.records {
            key_table.merge(now_ms, record);
        }
    }
    Some(doubt_ms)
}

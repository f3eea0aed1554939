//! Tells other instances of requests under which upstreams ended.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time::sleep;

use super::relay::{PeerClient, RelayError};
use super::state::Gateway;
use super::store::Platform;
use crate::decision::rendezvous::weight;

/// Instances that are told of a suspect directly; beyond that, the readers of the data
/// centres and as many others, and these tell theirs.
const MAX_DIRECT_PEERS: usize = 16;
/// Delay before a peer that could not be told is told once more.
const PUSH_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Tells other instances, in the background, what this one knows of a suspect request.
///
/// Instances that cannot be told get it with the records that they fetch.
pub fn push_suspect<P: Platform>(gateway: &Arc<Gateway<P>>, content: u64) {
    for address in push_targets(gateway) {
        let gateway = Arc::clone(gateway);
        tokio::spawn(async move {
            if push_to(&gateway, content, address).await.is_ok() {
                return;
            }
            sleep(PUSH_RETRY_DELAY).await;
            if let Err(error) = push_to(&gateway, content, address).await {
                tracing::debug!(%address, %error, "failed to tell an instance of a suspect request");
            }
        });
    }
}

async fn push_to<P: Platform>(
    gateway: &Gateway<P>,
    content: u64,
    address: SocketAddr,
) -> Result<(), RelayError> {
    let reports = gateway.suspect_report(content).into_iter().collect();
    let client = PeerClient::connect(address).await?;
    client.report_suspects(reports).await
}

/// All other instances if they are few; otherwise those that rank first as readers of
/// their data centres, whose followers wait for changes, and random others.
fn push_targets<P: Platform>(gateway: &Gateway<P>) -> Vec<SocketAddr> {
    let settings = gateway.settings();
    let mut others = Vec::new();
    let mut readers: BTreeMap<Arc<str>, (u64, SocketAddr)> = BTreeMap::new();
    for (name, instance) in &gateway.view().instances {
        if instance.address == settings.peer_address {
            continue;
        }
        others.push(instance.address);
        let data_centre = Arc::clone(&instance.data_centre);
        let candidate = (weight(&data_centre, name), instance.address);
        let best = readers.entry(data_centre).or_insert(candidate);
        *best = candidate.max(*best);
    }
    if others.len() <= MAX_DIRECT_PEERS {
        return others;
    }
    let mut targets: Vec<SocketAddr> = others
        .sample(&mut rand::rng(), MAX_DIRECT_PEERS)
        .copied()
        .collect();
    for (_, address) in readers.into_values() {
        if !targets.contains(&address) {
            targets.push(address);
        }
    }
    targets
}

//! Tells other instances at once what they must know: requests under which upstreams
//! ended, limits that upstreams name, and upstreams that take no requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time::sleep;

use super::peer_client::{PeerClient, RelayError};
use super::state::Gateway;
use super::store::Platform;
use crate::decision::rendezvous::weight;

/// Instances that are told directly; beyond that, the readers of the data centres and as
/// many others, and these tell theirs.
const MAX_DIRECT_PEERS: usize = 16;
/// Delay before a peer that could not be told is told once more.
const PUSH_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time in which a peer must respond.
const PUSH_TIMEOUT: Duration = Duration::from_millis(400);

/// What to tell.
#[derive(Clone, Debug)]
pub enum News {
    /// The suspect requests with this content.
    Suspect(u64),
    /// The limit of this upstream.
    Limit(Arc<str>),
    /// What this upstream says about whether it takes requests.
    Notice(Arc<str>),
}

/// Tells other instances, in the background, what this one knows.
///
/// Instances that cannot be told get it with the records that they fetch.
pub fn push<P: Platform>(gateway: &Arc<Gateway<P>>, news: &News) {
    for address in push_targets(gateway) {
        let gateway = Arc::clone(gateway);
        let news = news.clone();
        tokio::spawn(async move {
            if push_to(&gateway, &news, address).await.is_ok() {
                return;
            }
            sleep(PUSH_RETRY_DELAY).await;
            if let Err(error) = push_to(&gateway, &news, address).await {
                tracing::debug!(%address, ?news, %error, "failed to tell an instance");
            }
        });
    }
}

async fn push_to<P: Platform>(
    gateway: &Gateway<P>,
    news: &News,
    address: SocketAddr,
) -> Result<(), RelayError> {
    match news {
        News::Suspect(content) => {
            let reports: Vec<_> = gateway.suspect_report(*content).into_iter().collect();
            let call = |client: PeerClient| {
                let reports = reports.clone();
                async move { client.report_suspects(reports).await }
            };
            gateway.peers.call(address, PUSH_TIMEOUT, call).await
        }
        News::Limit(upstream) => {
            let reports: Vec<_> = gateway.limit_report(upstream).into_iter().collect();
            let digest = gateway.limits.table().digest();
            let call = |client: PeerClient| {
                let reports = reports.clone();
                async move { client.exchange_limits(reports, digest).await }
            };
            let known = gateway.peers.call(address, PUSH_TIMEOUT, call).await?;
            gateway.merge_limits(&known, &address.to_string());
            Ok(())
        }
        News::Notice(upstream) => {
            let reports: Vec<_> = gateway.notice_report(upstream).into_iter().collect();
            let digest = gateway.notices.table().digest(gateway.now_ms());
            let call = |client: PeerClient| {
                let reports = reports.clone();
                async move { client.exchange_notices(reports, digest).await }
            };
            let known = gateway.peers.call(address, PUSH_TIMEOUT, call).await?;
            gateway.merge_notices(&known.unwrap_or_default(), &address.to_string());
            Ok(())
        }
    }
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

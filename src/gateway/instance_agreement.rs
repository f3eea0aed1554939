//! Finds out whether instances know the same instances while the store is away.
//!
//! An instance that follows the store knows the others from there. If the store goes away
//! soon after the first start of all, an instance compares what it knows with what the
//! others know: if all that respond know the same, and they are most of them, then no two
//! of them rank instances differently, and it can rely on what it knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use tokio::time::sleep;

use super::limit_exchange::other_instances;
use super::peer_client::{PeerClient, RelayError};
use super::reader_role;
use super::state::Gateway;
use super::store::{Platform, Records, Stream};
use super::view::{Instance, View};
use crate::decision::instance_agreement::Agreement;

/// Interval at which an instance checks whether it needs to ask; a small part of the time
/// in which callers notice that limits are hardly used.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two rounds, as between other exchanges with all instances.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which an instance must respond, as in other exchanges.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Instances that are asked at once.
const ASKED_AT_ONCE: usize = 16;

/// Asks the others until this instance knows all of them.
pub async fn run<P: Platform>(gateway: &Arc<Gateway<P>>) {
    while !reader_role::knows_all_instances(gateway) {
        let is_needed = !reader_role::is_settling(gateway)
            && gateway.lacks_store()
            && gateway.limits.table().limited() > 0;
        if !is_needed {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        if agrees_with_others(gateway).await {
            tracing::info!("the instances know each other, though the store is away");
            gateway.set_settled();
            return;
        }
        sleep(ROUND_INTERVAL).await;
    }
}

/// Whether most instances respond, and all that do know the same ones as this instance.
async fn agrees_with_others<P: Platform>(gateway: &Gateway<P>) -> bool {
    if !gateway.is_registered() {
        return false;
    }
    let own = gateway.view().instances.clone();
    let others = other_instances(gateway);
    let mut agreement = Agreement::new(others.len());
    for batch in others.chunks(ASKED_AT_ONCE) {
        let asked = batch.iter().map(|address| known_to(gateway, *address));
        for (address, known) in batch.iter().zip(join_all(asked).await) {
            match known {
                Ok(known) => agreement.on_answer(known == own),
                Err(error) => {
                    tracing::debug!(%address, %error, "no response about known instances");
                }
            }
        }
        if agreement.has_difference() {
            return false;
        }
    }
    // What the others were compared with may have changed meanwhile.
    agreement.is_reached() && gateway.view().instances == own
}

/// The instances that another one knows.
async fn known_to<P: Platform>(
    gateway: &Gateway<P>,
    address: SocketAddr,
) -> Result<BTreeMap<Arc<str>, Instance>, RelayError> {
    let call = |client: PeerClient| async move { client.instance_records().await };
    let records = gateway.peers.call(address, ANSWER_TIMEOUT, call).await?;
    Ok(instances_of(gateway, records))
}

fn instances_of<P: Platform>(
    gateway: &Gateway<P>,
    records: Records,
) -> BTreeMap<Arc<str>, Instance> {
    let mut view = View::default();
    let now_ms = gateway.now_ms();
    view.apply_peer_state(&gateway.platform, Stream::Instances, records, false, now_ms);
    view.instances
}

impl<P: Platform> Gateway<P> {
    /// Whether the others can know this instance: it has read its own record.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        let settings = self.settings();
        let view = self.view();
        let own = view.instances.get(&settings.name);
        own.is_some_and(|instance| instance.address == settings.peer_address)
    }

    /// Whether neither this instance nor the one that it gets records from reads the store.
    fn lacks_store(&self) -> bool {
        let is_reader = *self.watch_reader_role().borrow();
        !self.is_active_reader() && (is_reader || self.reader_search.borrow().lost_since.is_some())
    }
}

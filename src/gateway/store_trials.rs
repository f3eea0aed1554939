//! Finds an instance that the store serves while it turns the readers away.
//!
//! The readers of a data centre are few, and the store may turn all of them away while it
//! serves another instance. So the others try it in turn, by one short read each. One that
//! is answered takes on the reader role and tells all instances, which fetch records from
//! it until their own reader reads the store again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use super::follower::read_stream;
use super::peer_client::{PeerClient, RelayError};
use super::reader_role::LONG_POLL_WAIT;
use super::state::Gateway;
use super::store::{Platform, Records, StoreError, Stream};
use super::view::Extent;
use crate::connection::arrivals::Arrivals;
use crate::decision::rendezvous::weight;
use crate::decision::store_reader::{STALE_AGE_MS, first_trial_delay_ms, trial_round_ms};

/// Interval at which an instance that the store serves tells the others so.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an announcement counts; two may be lost.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(2_500);
/// Time in which an instance must take an announcement.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(400);

/// What an instance knows of readers while its own source of records lacks the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReaderSearch {
    /// Since when the source of records has lacked the store.
    pub lost_since: Option<Instant>,
    /// Whether this instance became a reader by a trial.
    pub has_won_trial: bool,
    /// The newest instance that announced that the store serves it, and when.
    announced: Option<(SocketAddr, Instant)>,
}

impl ReaderSearch {
    fn announced_reader(&self) -> Option<SocketAddr> {
        let (address, since) = self.announced?;
        (since.elapsed() < ANNOUNCEMENT_LIFETIME).then_some(address)
    }
}

impl<P: Platform> Gateway<P> {
    /// Records whether the source of this instance's records reads the store.
    pub fn on_record_source(&self, reads_store: bool) {
        let has_changed = self.reader_search.send_if_modified(|search| {
            let is_known = search.lost_since.is_none() == reads_store;
            if !is_known {
                search.lost_since = (!reads_store).then(Instant::now);
            }
            !is_known
        });
        if has_changed {
            tracing::info!(
                reads_store,
                "source of records: access to the store changed"
            );
        }
    }

    /// Records whether this instance is a reader by a trial.
    pub fn set_trial_won(&self, has_won: bool) {
        self.reader_search.send_if_modified(|search| {
            let has_changed = search.has_won_trial != has_won;
            search.has_won_trial = has_won;
            has_changed
        });
    }

    /// Whether this instance keeps the reader role that it won by a trial.
    #[must_use]
    pub fn keeps_won_role(&self) -> bool {
        self.reader_search.borrow().has_won_trial && self.is_active_reader()
    }

    /// Records that the store serves another instance.
    pub fn on_reader_announced(&self, address: SocketAddr) {
        let announced = Some((address, Instant::now()));
        self.reader_search
            .send_modify(|search| search.announced = announced);
    }
}

/// Tries the store in turn with the other instances of the data centre while the source of
/// records lacks it, for the life of the process.
pub async fn try_in_turn<P: Platform>(gateway: &Arc<Gateway<P>>) {
    let mut search = gateway.reader_search.subscribe();
    loop {
        // The sender belongs to the gateway, so it is not closed.
        let Ok(lost_since) = search
            .wait_for(|search| search.lost_since.is_some())
            .await
            .map(|search| search.lost_since)
        else {
            return;
        };
        let Some(since) = lost_since else {
            continue;
        };
        let (rank, instances) = rank_at_home(gateway);
        let mut next_at = since + Duration::from_millis(first_trial_delay_ms(rank));
        let round = Duration::from_millis(trial_round_ms(instances));
        let mut is_first = true;
        loop {
            let has_ended = search.wait_for(|search| search.lost_since != lost_since);
            if timeout_at(next_at, has_ended).await.is_ok() {
                break;
            }
            if is_due(gateway, is_first) && try_store(gateway).await {
                announce_while_reader(gateway).await;
                break;
            }
            is_first = false;
            next_at += round;
        }
    }
}

/// The rank of this instance in its data centre, and the number of instances there.
fn rank_at_home<P: Platform>(gateway: &Gateway<P>) -> (usize, usize) {
    let settings = gateway.settings();
    let home = &settings.data_centre;
    let own_weight = weight(home, &settings.name);
    let view = gateway.view();
    let (mut rank, mut instances) = (0, 0);
    for (name, instance) in &view.instances {
        if instance.data_centre != *home {
            continue;
        }
        instances += 1;
        rank += usize::from(weight(home, name) > own_weight);
    }
    (rank, instances)
}

fn is_due<P: Platform>(gateway: &Gateway<P>, is_first: bool) -> bool {
    let is_reader = *gateway.watch_reader_role().borrow();
    if is_reader || !gateway.is_ready() {
        return false;
    }
    if is_first {
        return gateway.reader_search.borrow().announced_reader().is_none();
    }
    // Otherwise a reader of another data centre has access.
    let now_ms = gateway.now_ms();
    gateway.stream_ages.age_ms(Stream::Operator, now_ms) >= STALE_AGE_MS
}

/// Reads the operator stream once; takes on the reader role if the store answers.
async fn try_store<P: Platform>(gateway: &Gateway<P>) -> bool {
    let read = read_stream(
        gateway,
        Stream::Operator,
        true,
        Duration::ZERO,
        &Arrivals::new(),
    )
    .await;
    gateway.metrics.on_store_call(read.is_ok());
    match read {
        Ok(records) => apply_trial(gateway, records),
        // The followers load a snapshot.
        Err(StoreError::Compacted) => {}
        Err(error) => {
            tracing::info!(%error, "the store did not answer a trial");
            return false;
        }
    }
    gateway.set_trial_won(true);
    gateway.set_reader_role(true, "the store answered a trial");
    true
}

/// Applies the records of a trial; those of another era are left to the followers.
fn apply_trial<P: Platform>(gateway: &Gateway<P>, records: Records) {
    if records.era != gateway.view().copy(Stream::Operator).era {
        return;
    }
    gateway
        .stream_ages
        .confirm(Stream::Operator, gateway.now_ms());
    gateway.apply_records(Stream::Operator, records, Extent::Following, "store");
}

/// Tells the other instances that the store serves this one until it loses the role or
/// the store.
async fn announce_while_reader<P: Platform>(gateway: &Gateway<P>) {
    let own_address = gateway.settings().peer_address;
    while gateway.keeps_won_role() {
        let mut addresses: Vec<SocketAddr> = Vec::new();
        for instance in gateway.view().instances.values() {
            addresses.push(instance.address);
        }
        addresses.retain(|address| *address != own_address);
        let told = addresses
            .iter()
            .map(|address| announce_to(gateway, *address, own_address));
        join_all(told).await;
        sleep(ANNOUNCEMENT_INTERVAL).await;
    }
}

async fn announce_to<P: Platform>(gateway: &Gateway<P>, address: SocketAddr, reader: SocketAddr) {
    let call = |client: PeerClient| async move { client.announce_reader(reader).await };
    let told = gateway
        .peers
        .call(address, ANNOUNCEMENT_TIMEOUT, call)
        .await;
    if let Err(error) = told {
        tracing::debug!(%address, %error, "failed to announce the reader to an instance");
    }
}

/// Fetches records from an announced reader while the source of records lacks the store,
/// for the life of the process.
pub async fn follow_announced<P: Platform>(gateway: &Gateway<P>) {
    let mut search = gateway.reader_search.subscribe();
    let mut changes = gateway.watch_changes();
    loop {
        search.mark_unchanged();
        changes.mark_unchanged();
        if let Some(address) = wanted_reader(gateway) {
            fetch_until_lost(gateway, address, &mut search).await;
            continue;
        }
        tokio::select! {
            found = search.changed() => if found.is_err() { return },
            applied = changes.changed() => if applied.is_err() { return },
        }
    }
}

/// The announced reader, if this instance has no other source.
fn wanted_reader<P: Platform>(gateway: &Gateway<P>) -> Option<SocketAddr> {
    let search = *gateway.reader_search.borrow();
    let is_reader = *gateway.watch_reader_role().borrow();
    let lacks_store = search.lost_since.is_some() || is_reader;
    if !lacks_store || gateway.is_active_reader() {
        return None;
    }
    search.announced_reader()
}

/// Fetches records from `address` until it fails or is no longer wanted.
async fn fetch_until_lost<P: Platform>(
    gateway: &Gateway<P>,
    address: SocketAddr,
    search: &mut watch::Receiver<ReaderSearch>,
) {
    let fetched = async {
        let mut client = PeerClient::connect(&gateway.peers.builds, address).await?;
        while wanted_reader(gateway) == Some(address) {
            if !client.fetch(gateway, LONG_POLL_WAIT).await? {
                break;
            }
        }
        Ok::<(), RelayError>(())
    };
    let has_ended = search.wait_for(|search| search.announced_reader() != Some(address));
    tokio::select! {
        ended = fetched => {
            if let Err(error) = ended {
                tracing::info!(%address, %error, "fetches from the announced reader failed");
            }
        }
        _ = has_ended => {}
    }
    gateway.reader_search.send_if_modified(|search| {
        let is_same = search.announced.is_some_and(|(known, _)| known == address);
        if is_same {
            search.announced = None;
        }
        is_same
    });
}

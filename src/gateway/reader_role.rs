//! Chooses the reader of the store: one instance in each data centre reads it on
//! behalf of the others.
//!
//! Calls to the store are limited and billed, so the other instances of a data
//! centre fetch the records from its reader by long polls. Readers also poll
//! each other across data centres, in a ring, so that a reader without access to
//! the store still receives new records at once. An instance whose reader times out reads
//! the store itself until it has found another reader; if the reader has lost
//! the store, [`crate::decision::store_reader`] chooses which instance tries next.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep, timeout};

use super::instance_agreement;
use super::peer_client::{PeerClient, RelayError};
use super::settings::Settings;
use super::state::Gateway;
use super::store::Platform;
use super::store_trials;
use super::view::View;
use crate::decision::rendezvous::weight;
use crate::decision::store_reader::{self, PeerState, StoreRole};

/// Wait of a long poll; together with the response timeout it stays well within
/// the platform's bound of 2 s on a drain or a new version.
pub const LONG_POLL_WAIT: Duration = Duration::from_secs(1);
/// Time for which a peer that failed is not polled again.
const SUSPECT_TIME: Duration = Duration::from_secs(4);
/// The same for a peer whose build cannot be talked to; it may be replaced by another one.
const OTHER_BUILD_TIME: Duration = Duration::from_secs(30);
/// Time after which the peer is chosen again if there was none to poll; new
/// records end it early.
const NO_PEER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time in which the chosen peer must become a reader; it may notice the loss of
/// the previous reader as late as this instance does.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay between polls of a peer that does not read the store yet.
const TAKEOVER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay between polls of a peer without access to the store; it responds at
/// once and gets its records from other data centres.
const STORE_LOST_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time after the first start of all instances in which the seeds must have
/// provided all records; callers connect seconds later.
const SEED_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after the first start of all instances until all know each other;
/// before that they would not agree on the readers.
const SETTLE_TIME_MS: u64 = 4_000;
/// Age at which an instance relies on those it knows even if the store is away.
const UNSETTLED_TIMEOUT_MS: u64 = 10_000;

/// Leaves reading the store to the seeds when all instances start for the first
/// time; must be called before the followers start.
///
/// At any other start callers are already waiting, so the store is read at once.
pub fn defer_to_seeds<P: Platform>(gateway: &Arc<Gateway<P>>) {
    let settings = gateway.settings();
    let is_seed = settings.seeds.contains(&settings.peer_address);
    if !settings.is_first_start || is_seed || settings.seeds.is_empty() {
        return;
    }
    gateway.set_reader_role(false, "first start: the seeds read the store");
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        sleep(SEED_TIMEOUT).await;
        if !gateway.is_ready() {
            gateway.set_reader_role(
                true,
                "first start: the seeds did not provide all records in time",
            );
        }
    });
}

/// Whether all instances have just started for the first time, so that they do not all
/// know each other yet.
pub fn is_settling<P: Platform>(gateway: &Gateway<P>) -> bool {
    gateway.settings().is_first_start && gateway.now_ms() < SETTLE_TIME_MS
}

/// Whether this instance knows all others, unless some have just started.
///
/// After the first start of all, it does once it follows the store at the end of the
/// settle time; if the store is away then, some may be registered that it does not know.
/// So it asks the others ([`instance_agreement`]). By 10 s they have told each other of all
/// that any of them knows.
pub fn knows_all_instances<P: Platform>(gateway: &Gateway<P>) -> bool {
    if !gateway.settings().is_first_start || gateway.has_settled() {
        return true;
    }
    let follows_store = !is_settling(gateway) && gateway.is_active_reader();
    if follows_store || gateway.now_ms() >= UNSETTLED_TIMEOUT_MS {
        gateway.set_settled();
    }
    gateway.has_settled()
}

/// Polls the reader of the data centre, takes on the reader role, or finds another
/// instance that the store serves, for the life of the process.
pub async fn run<P: Platform>(gateway: Arc<Gateway<P>>) {
    tokio::join!(
        poll_reader(&gateway),
        store_trials::try_in_turn(&gateway),
        store_trials::follow_announced(&gateway),
        instance_agreement::run(&gateway),
    );
}

/// Polls the reader of the data centre, or takes on the reader role.
async fn poll_reader<P: Platform>(gateway: &Gateway<P>) {
    let mut follower = PeerFollower {
        suspects: HashMap::new(),
        client: None,
        takeover: None,
    };
    let mut changes = gateway.watch_changes();
    loop {
        changes.mark_unchanged();
        let source = follower.choose(gateway);
        if source.is_reader {
            gateway.set_reader_role(true, "this instance was chosen as a reader");
        }
        let Some(address) = source.address else {
            // New records may name other instances; after the delay, polls of a
            // suspended peer may be allowed again.
            let _ = timeout(NO_PEER_RETRY_DELAY, changes.changed()).await;
            continue;
        };
        // An instance that still reads the store must learn at once that it can stop.
        let may_stop_reading = !source.is_reader && *gateway.watch_reader_role().borrow();
        let wait = if may_stop_reading {
            Duration::ZERO
        } else {
            LONG_POLL_WAIT
        };
        let fetched = follower.fetch(gateway, address, wait).await;
        if matches!(fetched, Ok(false)) && !is_settling(gateway) && !gateway.is_active_reader() {
            gateway.on_record_source(false);
        }
        match fetched {
            Ok(true) => {
                follower.takeover = None;
                gateway.on_record_source(true);
                if !is_settling(gateway) {
                    gateway.set_settled();
                }
                if !source.is_reader {
                    gateway.set_trial_won(false);
                    gateway.set_reader_role(false, "another instance reads the store");
                }
            }
            // Seeds may start a little later and read the store from then on.
            Ok(false) | Err(_) if is_settling(gateway) => {
                sleep(TAKEOVER_RETRY_DELAY).await;
            }
            Ok(false) if source.is_without_store => {
                if gateway.is_ready() && !gateway.keeps_won_role() {
                    gateway.set_reader_role(false, "enough other instances try the store");
                }
                sleep(STORE_LOST_RETRY_DELAY).await;
            }
            Ok(false) if follower.may_take_over(address) => {
                if !source.is_reader && gateway.is_ready() && !gateway.keeps_won_role() {
                    gateway
                        .set_reader_role(false, "another instance is taking over the reader role");
                }
                sleep(TAKEOVER_RETRY_DELAY).await;
            }
            Ok(false) => {
                let why = "it does not read the store";
                follower.suspect(address, PeerState::StoreUnreachable, SUSPECT_TIME, &why);
            }
            Err(error) => {
                let time = if error.is_other_build() {
                    OTHER_BUILD_TIME
                } else {
                    SUSPECT_TIME
                };
                follower.suspect(address, PeerState::Unresponsive, time, &error);
                if !source.is_reader {
                    gateway.set_reader_role(true, "the reader does not respond");
                }
            }
        }
    }
}

/// The peer that this instance polls, and the peers that failed recently.
#[derive(Debug)]
struct PeerFollower {
    suspects: HashMap<SocketAddr, (PeerState, Instant)>,
    client: Option<PeerClient>,
    takeover: Option<(SocketAddr, Instant)>,
}

impl PeerFollower {
    fn choose<P: Platform>(&mut self, gateway: &Gateway<P>) -> RecordSource {
        self.suspects
            .retain(|_, (_, until)| *until > Instant::now());
        let peer_state = |address: &SocketAddr| {
            let suspect = self.suspects.get(address);
            suspect.map_or(PeerState::Usable, |(peer_state, _)| *peer_state)
        };
        let view = gateway.view();
        if is_settling(gateway) || view.instances.len() < 2 {
            choose_seed(&gateway.settings(), peer_state)
        } else {
            choose_source(gateway, &view, peer_state)
        }
    }

    /// Fetches records over the open connection or a new one; returns whether the
    /// peer reads the store.
    async fn fetch<P: Platform>(
        &mut self,
        gateway: &Gateway<P>,
        address: SocketAddr,
        wait: Duration,
    ) -> Result<bool, RelayError> {
        let open = self.client.take().filter(|open| open.address() == address);
        let mut client = match open {
            Some(open) => open,
            None => PeerClient::connect(&gateway.peers.builds, address).await?,
        };
        let is_reader = client.fetch(gateway, wait).await?;
        self.client = Some(client);
        Ok(is_reader)
    }

    fn may_take_over(&mut self, address: SocketAddr) -> bool {
        match self.takeover {
            Some((known, since)) if known == address => since.elapsed() < TAKEOVER_TIMEOUT,
            _ => {
                self.takeover = Some((address, Instant::now()));
                true
            }
        }
    }

    fn suspect(
        &mut self,
        address: SocketAddr,
        peer_state: PeerState,
        time: Duration,
        why: &dyn std::fmt::Display,
    ) {
        tracing::info!(%address, %why, "suspending polls of this instance");
        self.takeover = None;
        let until = Instant::now() + time;
        self.suspects.insert(address, (peer_state, until));
    }
}

/// Where this instance gets its records from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RecordSource {
    /// Whether this instance reads the store itself.
    is_reader: bool,
    /// Whether the peer has no access to the store.
    is_without_store: bool,
    /// The peer to poll, if there is one.
    address: Option<SocketAddr>,
}

/// Chooses the source while no other instance is known.
fn choose_seed(settings: &Settings, peer_state: impl Fn(&SocketAddr) -> PeerState) -> RecordSource {
    let is_seed = settings.seeds.contains(&settings.peer_address);
    let mut seeds = settings.seeds.clone();
    seeds.retain(|seed| *seed != settings.peer_address && peer_state(seed) == PeerState::Usable);
    RecordSource {
        is_reader: is_seed || seeds.is_empty(),
        is_without_store: false,
        address: seeds.choose(&mut rand::rng()).copied(),
    }
}

fn choose_source<P: Platform>(
    gateway: &Gateway<P>,
    view: &View,
    peer_state: impl Fn(&SocketAddr) -> PeerState,
) -> RecordSource {
    let settings = gateway.settings();
    let home = &*settings.data_centre;
    let own_weight = weight(home, &settings.name);
    let mut ranked_higher: Vec<(u64, SocketAddr)> = Vec::new();
    let mut best_elsewhere: BTreeMap<&str, (u64, SocketAddr)> = BTreeMap::new();
    for (name, instance) in &view.instances {
        let (data_centre, address) = (&*instance.data_centre, instance.address);
        if address == settings.peer_address {
            continue;
        }
        let candidate = (weight(data_centre, name), address);
        if data_centre != home && peer_state(&address) == PeerState::Usable {
            let best = best_elsewhere.entry(data_centre).or_insert(candidate);
            *best = candidate.max(*best);
        }
        // An instance that is stopping gives up the reader role.
        if data_centre == home && (candidate.0 > own_weight || gateway.is_stopping()) {
            ranked_higher.push(candidate);
        }
    }
    ranked_higher.sort_unstable_by(|a, b| b.cmp(a));
    let peer_states: Vec<PeerState> = ranked_higher
        .iter()
        .map(|(_, address)| peer_state(address))
        .collect();
    let role = store_reader::choose_role(&peer_states);
    let address = match role {
        StoreRole::Follower(rank) | StoreRole::FollowerWithoutStore(rank) => {
            Some(ranked_higher[rank].1)
        }
        StoreRole::Reader => next_in_ring(home, &best_elsewhere).map(|(_, address)| address),
    };
    RecordSource {
        is_reader: role == StoreRole::Reader,
        is_without_store: matches!(role, StoreRole::FollowerWithoutStore(_)),
        address,
    }
}

/// The entry of the data centre that follows `home` by name, or of the first one after the
/// last.
///
/// In a ring no group of readers polls only each other, so what one of them has reaches
/// all.
fn next_in_ring<T: Copy>(home: &str, others: &BTreeMap<&str, T>) -> Option<T> {
    let after_home = (Bound::Excluded(home), Bound::Unbounded);
    let mut following = others.range::<str, _>(after_home);
    let next = following.next().or_else(|| others.iter().next());
    next.map(|(_, entry)| *entry)
}

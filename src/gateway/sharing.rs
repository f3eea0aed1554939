//! Who reads the store: one instance of each data centre, for all others.
//!
//! Calls to the store are bounded and paid for, so the instances of a data
//! centre follow one of them by long questions. Readers also follow each other
//! across data centres, so that one that the store does not answer still
//! learns at once. An instance whose reader does not answer in time reads the
//! store itself until it has found another one; where the reader has lost the
//! store, [`crate::decision::store_reader`] names who tries it next.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep, timeout};

use super::relay::{AskError, Teller};
use super::settings::Settings;
use super::state::Gateway;
use super::store::Platform;
use super::view::View;
use crate::decision::rendezvous::weight;
use crate::decision::store_reader::{self, PeerState, StoreRole};

/// Longest wait of a question; with the limit on its answer it stays well
/// within the platform's bound of 2 s on a drain or a new version.
const WAIT: Duration = Duration::from_secs(1);
/// Time for which an instance that did not answer is not asked again.
const SUSPECT_TIME: Duration = Duration::from_secs(4);
/// Pause where there is nobody to ask.
const ALONE_PAUSE: Duration = Duration::from_millis(500);

/// Time for which an instance that does not read the store may take it up; it
/// learns of a lost reader as late as this one does.
const TAKE_OVER_TIME: Duration = Duration::from_millis(600);
/// Pause between questions to an instance that does not read the store yet.
const TAKE_OVER_PAUSE: Duration = Duration::from_millis(100);
/// Pause between questions to one that the store does not answer; it answers
/// at once, and learns from other data centres.
const LOST_PAUSE: Duration = Duration::from_millis(400);
/// Time after the first start of all instances in which a seed may tell
/// everything; callers come seconds later.
const SEED_PATIENCE: Duration = Duration::from_secs(2);

/// Time after the first start of all instances until each one is known to the
/// others; they would not agree on readers before.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Leaves the store to the seeds when all instances start for the first time;
/// to be called before the store is followed.
///
/// At any other start callers wait, so the store is read at once.
pub fn start<P: Platform>(gateway: &Arc<Gateway<P>>) {
    let settings = gateway.settings();
    let is_seed = settings.seeds.contains(&settings.peer_address);
    if !settings.is_first_start || is_seed || settings.seeds.is_empty() {
        return;
    }
    gateway.set_role(false, "the seeds read the store at the first start");
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        sleep(SEED_PATIENCE).await;
        if !gateway.is_ready() {
            gateway.set_role(true, "no seed knows all at the first start");
        }
    });
}

/// Follows the reader of the data centre, or is it.
pub async fn share<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut following = Following {
        began: Instant::now(),
        suspects: HashMap::new(),
        teller: None,
        taking_over: None,
    };
    let mut news = gateway.news();
    loop {
        news.mark_unchanged();
        let source = following.choose(&gateway);
        if source.is_reader {
            gateway.set_role(true, "first of its data centre");
        }
        let Some(address) = source.address else {
            // The news may name other instances; without any it is looked again.
            let _ = timeout(ALONE_PAUSE, news.changed()).await;
            continue;
        };
        // Whoever still reads itself wants to know at once that it need not.
        let is_undecided = !source.is_reader && *gateway.role().borrow();
        let wait = if is_undecided { Duration::ZERO } else { WAIT };
        match following.ask(&gateway, address, wait).await {
            Ok(true) => {
                following.taking_over = None;
                if !source.is_reader {
                    gateway.set_role(false, "its reader answers");
                }
            }
            // Seeds may start a little later, and read the store then.
            Ok(false) | Err(_) if following.is_settling(&gateway) => sleep(TAKE_OVER_PAUSE).await,
            Ok(false) if source.is_without_store => {
                if gateway.is_ready() {
                    gateway.set_role(false, "enough others try the store");
                }
                sleep(LOST_PAUSE).await;
            }
            Ok(false) if following.may_take_over(address) => {
                if !source.is_reader && gateway.is_ready() {
                    gateway.set_role(false, "its reader is about to read");
                }
                sleep(TAKE_OVER_PAUSE).await;
            }
            Ok(false) => {
                let why = "it does not read the store";
                following.suspect(address, PeerState::StoreUnreachable, &why);
            }
            Err(error) => {
                following.suspect(address, PeerState::Unresponsive, &error);
                if !source.is_reader {
                    gateway.set_role(true, "its reader does not answer");
                }
            }
        }
    }
}

/// Whom this instance follows, and whom it has given up for a while.
#[derive(Debug)]
struct Following {
    began: Instant,
    suspects: HashMap<SocketAddr, (PeerState, Instant)>,
    teller: Option<Teller>,
    taking_over: Option<(SocketAddr, Instant)>,
}

impl Following {
    fn is_settling<P: Platform>(&self, gateway: &Gateway<P>) -> bool {
        gateway.settings().is_first_start && self.began.elapsed() < SETTLE_TIME
    }

    fn choose<P: Platform>(&mut self, gateway: &Gateway<P>) -> Source {
        self.suspects
            .retain(|_, (_, until)| *until > Instant::now());
        let standing = |address: &SocketAddr| {
            let suspect = self.suspects.get(address);
            suspect.map_or(PeerState::Usable, |(standing, _)| *standing)
        };
        let view = gateway.view();
        if self.is_settling(gateway) || view.instances.len() < 2 {
            choose_seed(&gateway.settings(), standing)
        } else {
            choose_source(gateway, &view, standing)
        }
    }

    /// Asks over the kept connection, or a new one; true if a reader answered.
    async fn ask<P: Platform>(
        &mut self,
        gateway: &Gateway<P>,
        address: SocketAddr,
        wait: Duration,
    ) -> Result<bool, AskError> {
        let kept = self.teller.take().filter(|kept| kept.address() == address);
        let teller = match kept {
            Some(kept) => kept,
            None => Teller::open(address).await?,
        };
        let answer = teller.ask(gateway, wait).await?;
        self.teller = Some(teller);
        Ok(answer)
    }

    fn may_take_over(&mut self, address: SocketAddr) -> bool {
        match self.taking_over {
            Some((known, since)) if known == address => since.elapsed() < TAKE_OVER_TIME,
            _ => {
                self.taking_over = Some((address, Instant::now()));
                true
            }
        }
    }

    fn suspect(&mut self, address: SocketAddr, standing: PeerState, why: &dyn std::fmt::Display) {
        tracing::info!(%address, %why, "an instance is not followed any more");
        self.taking_over = None;
        let until = Instant::now() + SUSPECT_TIME;
        self.suspects.insert(address, (standing, until));
    }
}

/// Whom to follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Source {
    is_reader: bool,
    /// Whether the store does not answer the one to follow.
    is_without_store: bool,
    address: Option<SocketAddr>,
}

/// Whom to follow while no other instance is known.
fn choose_seed(settings: &Settings, standing: impl Fn(&SocketAddr) -> PeerState) -> Source {
    let is_seed = settings.seeds.contains(&settings.peer_address);
    let mut seeds = settings.seeds.clone();
    seeds.retain(|seed| *seed != settings.peer_address && standing(seed) == PeerState::Usable);
    Source {
        is_reader: is_seed || seeds.is_empty(),
        is_without_store: false,
        address: seeds.choose(&mut rand::rng()).copied(),
    }
}

fn choose_source<P: Platform>(
    gateway: &Gateway<P>,
    view: &View,
    standing: impl Fn(&SocketAddr) -> PeerState,
) -> Source {
    let settings = gateway.settings();
    let home = &*settings.data_centre;
    let mine = weight(home, &settings.name);
    let mut before_me: Vec<(u64, SocketAddr)> = Vec::new();
    let mut first_elsewhere: HashMap<&str, (u64, SocketAddr)> = HashMap::new();
    for (name, instance) in &view.instances {
        let (place, address) = (&*instance.data_centre, instance.address);
        if address == settings.peer_address {
            continue;
        }
        let found = (weight(place, name), address);
        if place != home && standing(&address) == PeerState::Usable {
            let best = first_elsewhere.entry(place).or_insert(found);
            *best = found.max(*best);
        }
        // One that is about to stop reads for nobody.
        if place == home && (found.0 > mine || gateway.is_stopping()) {
            before_me.push(found);
        }
    }
    before_me.sort_unstable_by(|a, b| b.cmp(a));
    let standings: Vec<PeerState> = before_me
        .iter()
        .map(|(_, address)| standing(address))
        .collect();
    let choice = store_reader::choose_role(&standings);
    let address = match choice {
        StoreRole::Follower(rank) | StoreRole::FollowerWithoutStore(rank) => {
            Some(before_me[rank].1)
        }
        StoreRole::Reader => {
            let next = first_elsewhere
                .into_iter()
                .max_by_key(|(place, _)| weight(place, home));
            next.map(|(_, (_, address))| address)
        }
    };
    Source {
        is_reader: choice == StoreRole::Reader,
        is_without_store: matches!(choice, StoreRole::FollowerWithoutStore(_)),
        address,
    }
}

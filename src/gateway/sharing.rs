//! Who reads the store: one instance of each data centre, for all others.
//!
//! Calls to the store are bounded and paid for, so the instances of a data
//! centre follow one of them by long questions. Readers also follow each other
//! across data centres, so that one that the store does not answer still
//! learns at once. An instance whose reader does not answer in time, or has
//! lost the store, reads the store itself until it has found another one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep};

use super::relay::{AskError, Teller};
use super::settings::Settings;
use super::state::Gateway;
use super::store::Platform;
use super::view::View;
use crate::decision::rendezvous::weight;

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
    loop {
        let source = following.choose(&gateway);
        if source.is_reader {
            gateway.set_role(true, "first of its data centre");
        }
        let Some(address) = source.address else {
            sleep(ALONE_PAUSE).await;
            continue;
        };
        match following.ask(&gateway, address).await {
            Ok(true) => {
                following.taking_over = None;
                if !source.is_reader {
                    gateway.set_role(false, "its reader answers");
                }
            }
            // Seeds may start a little later, and read the store then.
            Ok(false) | Err(_) if following.is_settling(&gateway) => sleep(TAKE_OVER_PAUSE).await,
            Ok(false) if following.may_take_over(address) => sleep(TAKE_OVER_PAUSE).await,
            Ok(false) => {
                following.suspect(address, &"it does not read the store");
                if !source.is_reader {
                    gateway.set_role(true, "its reader has lost the store");
                }
            }
            Err(error) => {
                following.suspect(address, &error);
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
    suspects: HashMap<SocketAddr, Instant>,
    teller: Option<Teller>,
    taking_over: Option<(SocketAddr, Instant)>,
}

impl Following {
    fn is_settling<P: Platform>(&self, gateway: &Gateway<P>) -> bool {
        gateway.settings().is_first_start && self.began.elapsed() < SETTLE_TIME
    }

    fn choose<P: Platform>(&mut self, gateway: &Gateway<P>) -> Source {
        self.suspects.retain(|_, until| *until > Instant::now());
        let is_usable = |address: &SocketAddr| !self.suspects.contains_key(address);
        let view = gateway.view();
        if self.is_settling(gateway) || view.instances.len() < 2 {
            choose_seed(&gateway.settings(), is_usable)
        } else {
            choose_source(gateway, &view, is_usable)
        }
    }

    /// Asks over the kept connection, or a new one; true if a reader answered.
    async fn ask<P: Platform>(
        &mut self,
        gateway: &Gateway<P>,
        address: SocketAddr,
    ) -> Result<bool, AskError> {
        let kept = self.teller.take().filter(|kept| kept.address() == address);
        let teller = match kept {
            Some(kept) => kept,
            None => Teller::open(address).await?,
        };
        let answer = teller.ask(gateway, WAIT).await?;
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

    fn suspect(&mut self, address: SocketAddr, why: &dyn std::fmt::Display) {
        tracing::info!(%address, %why, "an instance is not followed any more");
        self.taking_over = None;
        self.suspects.insert(address, Instant::now() + SUSPECT_TIME);
    }
}

/// Whom to follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Source {
    is_reader: bool,
    address: Option<SocketAddr>,
}

/// Whom to follow while no other instance is known.
fn choose_seed(settings: &Settings, is_usable: impl Fn(&SocketAddr) -> bool) -> Source {
    let is_seed = settings.seeds.contains(&settings.peer_address);
    let mut seeds = settings.seeds.clone();
    seeds.retain(|seed| *seed != settings.peer_address && is_usable(seed));
    Source {
        is_reader: is_seed || seeds.is_empty(),
        address: seeds.choose(&mut rand::rng()).copied(),
    }
}

fn choose_source<P: Platform>(
    gateway: &Gateway<P>,
    view: &View,
    is_usable: impl Fn(&SocketAddr) -> bool,
) -> Source {
    let settings = gateway.settings();
    let home = &*settings.data_centre;
    let mut readers: HashMap<&str, (u64, SocketAddr)> = HashMap::new();
    let mine = weight(home, &settings.name);
    for (name, instance) in &view.instances {
        if instance.address == settings.peer_address || !is_usable(&instance.address) {
            continue;
        }
        let place = &*instance.data_centre;
        let found = (weight(place, name), instance.address);
        let best = readers.entry(place).or_insert(found);
        *best = found.max(*best);
    }
    // One that is about to stop reads for nobody.
    match readers.get(home) {
        Some((weight, address)) if *weight > mine || gateway.is_stopping() => Source {
            is_reader: false,
            address: Some(*address),
        },
        _ => {
            readers.remove(home);
            let next = readers
                .into_iter()
                .max_by_key(|(place, _)| weight(place, home));
            Source {
                is_reader: true,
                address: next.map(|(_, (_, address))| address),
            }
        }
    }
}

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

/// Pause between questions to seeds that do not read the store yet.
const SEED_PAUSE: Duration = Duration::from_millis(150);

/// Follows the reader of the data centre, or is it.
pub async fn share<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut suspects: HashMap<SocketAddr, Instant> = HashMap::new();
    let mut teller: Option<Teller> = None;
    loop {
        suspects.retain(|_, until| *until > Instant::now());
        let is_usable = |address: &SocketAddr| !suspects.contains_key(address);
        let is_alone = gateway.view().instances.len() < 2;
        let source = if is_alone {
            choose_seed(&gateway.settings(), is_usable)
        } else {
            let view = gateway.view();
            choose_source(&gateway, &view, is_usable)
        };
        if source.is_reader {
            gateway.set_role(true, "first of its data centre");
        }
        let Some(address) = source.address else {
            sleep(ALONE_PAUSE).await;
            continue;
        };
        let asked = ask(&gateway, &mut teller, address).await;
        let told_by_reader = match asked {
            Ok(true) => Ok(()),
            Ok(false) => Err(AskError::NoReader),
            Err(error) => Err(error),
        };
        match told_by_reader {
            Ok(()) if !source.is_reader => gateway.set_role(false, "its reader answers"),
            Ok(()) => {}
            Err(error) => {
                teller = None;
                if is_alone && matches!(error, AskError::NoReader) && !source.is_reader {
                    sleep(SEED_PAUSE).await;
                    continue;
                }
                suspects.insert(address, Instant::now() + SUSPECT_TIME);
                if !source.is_reader {
                    gateway.set_role(true, "its reader does not answer");
                }
                tracing::info!(%address, %error, "an instance is not followed any more");
            }
        }
    }
}

/// Whom to follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Source {
    is_reader: bool,
    address: Option<SocketAddr>,
}

/// Whom to follow while no other instance is known.
///
/// Every process reads the store at its start, so that it is ready soon, and
/// stops once a seed does it.
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

/// Asks over the kept connection, or a new one; true if a reader answered.
async fn ask<P: Platform>(
    gateway: &Gateway<P>,
    teller: &mut Option<Teller>,
    address: SocketAddr,
) -> Result<bool, AskError> {
    let kept = teller.take().filter(|kept| kept.address() == address);
    let open = match kept {
        Some(kept) => kept,
        None => Teller::open(address).await?,
    };
    let answer = open.ask(gateway, WAIT).await?;
    *teller = Some(open);
    Ok(answer)
}

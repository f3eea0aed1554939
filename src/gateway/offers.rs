//! Offers of other instances to take the requests of this one.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::RngExt;
use rand::seq::IndexedRandom;
use tokio::time::{Instant, timeout_at};

use super::handed::Offer;
use super::peer_client::PeerClient;
use super::state::Gateway;
use super::store::Platform;

/// Instances that are asked for offers in one round; beyond that, as many random ones.
const MAX_ASKED: usize = 16;
/// Time in which an instance must make an offer: as long as two lost calls on a kept
/// connection may take, and well below the time that callers wait.
const OFFER_TIMEOUT: Duration = Duration::from_millis(120);
/// Wait for further offers after the first one.
const FURTHER_OFFERS_WAIT: Duration = Duration::from_millis(10);
/// Time for which offers are used, in milliseconds; one more refresh may be missed.
const OFFERS_LIFETIME_MS: u64 = 250;
/// Time for which nobody is asked again after a round without an offer, in milliseconds.
const NOBODY_LIFETIME_MS: u64 = 100;
/// Age of an instance's last answer up to which its offer is preferred, in milliseconds.
const FRESH_CONTACT_MS: u64 = 500;

/// An offer, and what this instance has made of it.
#[derive(Clone, Debug)]
pub struct KnownOffer {
    /// Where it listens for other instances.
    pub address: SocketAddr,
    /// What it said.
    pub offer: Offer,
    /// When, in milliseconds since this instance's start.
    pub received_ms: u64,
    /// Requests handed to it on this offer.
    handed: u32,
}

#[derive(Debug, Default)]
struct Offers {
    willing: Vec<KnownOffer>,
    /// Willing instances that others have named.
    named: Vec<SocketAddr>,
    asked_ms: Option<u64>,
    /// When an instance was last willing.
    willing_ms: Option<u64>,
}

/// Instances that have not taken a request, and since when.
#[derive(Clone, Debug, Default)]
pub struct Declined(Vec<(SocketAddr, u64)>);

impl Declined {
    /// Leaves out the offers of an instance until an upstream has answered it: then its links
    /// are back.
    pub fn until_it_is_answered(&mut self, address: SocketAddr, now_ms: u64) {
        self.0.push((address, now_ms));
    }

    /// Leaves out all offers of an instance.
    pub fn for_good(&mut self, address: SocketAddr) {
        self.0.push((address, u64::MAX));
    }

    /// These instances, and `others`.
    #[must_use]
    pub fn and(&self, others: &[SocketAddr]) -> Self {
        let mut all = self.clone();
        for address in others {
            all.for_good(*address);
        }
        all
    }

    fn holds(&self, known: &KnownOffer) -> bool {
        let no_answer_ms = known.offer.no_answer_ms.unwrap_or(u64::MAX);
        let answered_ms = known.received_ms.saturating_sub(no_answer_ms);
        let mut entries = self.0.iter();
        entries.any(|(address, since_ms)| *address == known.address && answered_ms <= *since_ms)
    }
}

/// Offers of other instances.
#[derive(Debug, Default)]
pub struct OfferState {
    offers: Mutex<Offers>,
    /// Held while offers are asked for, so that requests that come together ask once.
    asking: tokio::sync::Mutex<()>,
}

impl OfferState {
    fn offers(&self) -> MutexGuard<'_, Offers> {
        self.offers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Instances that were willing at the last round.
    #[must_use]
    pub fn willing(&self) -> Vec<SocketAddr> {
        let offers = self.offers();
        offers.willing.iter().map(|known| known.address).collect()
    }

    /// Whether offers, or that there are none, were learnt lately.
    #[must_use]
    pub fn is_known(&self, now_ms: u64) -> bool {
        let offers = self.offers();
        let lifetime_ms = if offers.willing.is_empty() {
            NOBODY_LIFETIME_MS
        } else {
            OFFERS_LIFETIME_MS
        };
        offers
            .asked_ms
            .is_some_and(|asked| now_ms.saturating_sub(asked) < lifetime_ms)
    }

    /// Whether an instance was willing in the last `age_ms`.
    #[must_use]
    pub fn had_offer_within(&self, age_ms: u64, now_ms: u64) -> bool {
        let willing_ms = self.offers().willing_ms;
        willing_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < age_ms)
    }

    /// Takes the less loaded of two random willing instances, except those that have
    /// `declined`.
    pub fn take(&self, declined: &Declined) -> Option<KnownOffer> {
        let mut offers = self.offers();
        let is_fresh = |known: &KnownOffer| {
            let no_answer_ms = known.offer.no_answer_ms;
            no_answer_ms.is_some_and(|age| age <= FRESH_CONTACT_MS)
        };
        let mut others = offers.willing.iter().filter(|known| !declined.holds(known));
        let has_fresh = others.any(is_fresh);
        let mut drawn: Vec<&mut KnownOffer> = Vec::new();
        for known in &mut offers.willing {
            if declined.holds(known) {
                continue;
            }
            if is_fresh(known) || !has_fresh {
                drawn.push(known);
            }
        }
        if drawn.is_empty() {
            return None;
        }
        let first = rand::rng().random_range(0..drawn.len());
        let second = rand::rng().random_range(0..drawn.len());
        let load = |index: usize| drawn[index].offer.taken + drawn[index].handed;
        let best = if load(first) <= load(second) {
            first
        } else {
            second
        };
        drawn[best].handed += 1;
        Some(drawn[best].clone())
    }

    /// Forgets the offer of an instance that did not take a request.
    pub fn remove(&self, address: SocketAddr) {
        let mut offers = self.offers();
        offers.willing.retain(|known| known.address != address);
        if offers.willing.is_empty() {
            // What the others said is no longer true either.
            offers.asked_ms = None;
        }
    }
}

/// Asks for offers, unless another request has just done so.
pub async fn ask_once<P: Platform>(gateway: &Arc<Gateway<P>>) {
    let _asking = gateway.offers.asking.lock().await;
    if !gateway.offers.is_known(gateway.now_ms()) {
        ask(gateway, FURTHER_OFFERS_WAIT).await;
    }
}

/// Asks for offers, in the background.
pub async fn refresh<P: Platform>(gateway: &Arc<Gateway<P>>) {
    if let Ok(_asking) = gateway.offers.asking.try_lock() {
        ask(gateway, OFFER_TIMEOUT).await;
    }
}

/// Asks other instances for offers, and waits `further` for more after the first.
async fn ask<P: Platform>(gateway: &Arc<Gateway<P>>, further: Duration) {
    let mut pending = FuturesUnordered::new();
    for address in targets(gateway) {
        pending.push(async move {
            let call = |client: PeerClient| async move { client.offer().await };
            let offer = gateway.peers.call(address, OFFER_TIMEOUT, call).await;
            (address, offer, gateway.now_ms())
        });
    }
    let mut until = Instant::now() + OFFER_TIMEOUT;
    let mut willing = Vec::new();
    let mut named = Vec::new();
    while let Ok(Some((address, offer, received_ms))) = timeout_at(until, pending.next()).await {
        let offer = match offer {
            Ok(offer) => offer,
            Err(error) => {
                tracing::debug!(%address, %error, "no answer to a request for an offer");
                continue;
            }
        };
        named.extend(&offer.willing);
        if !offer.is_willing {
            continue;
        }
        willing.push(KnownOffer {
            address,
            offer,
            received_ms,
            handed: 0,
        });
        until = until.min(Instant::now() + further);
    }
    named.truncate(MAX_ASKED);
    let asked_ms = Some(gateway.now_ms());
    let mut offers = gateway.offers.offers();
    let willing_ms = if willing.is_empty() {
        offers.willing_ms
    } else {
        asked_ms
    };
    *offers = Offers {
        willing,
        named,
        asked_ms,
        willing_ms,
    };
}

/// Other instances to ask: all if they are few; otherwise those that were or are said to
/// be willing, and random ones of all data centres.
fn targets<P: Platform>(gateway: &Gateway<P>) -> Vec<SocketAddr> {
    let me = gateway.settings().peer_address;
    let now_ms = gateway.now_ms();
    let mut others: Vec<SocketAddr> = Vec::new();
    for instance in gateway.view().instances.values() {
        others.push(instance.address);
    }
    {
        let contacts = gateway.peers.contacts();
        others.retain(|address| *address != me && !contacts.is_paused(address, now_ms));
    }
    if others.len() <= MAX_ASKED {
        return others;
    }
    let mut targets: Vec<SocketAddr> = others
        .sample(&mut rand::rng(), MAX_ASKED)
        .copied()
        .collect();
    let offers = gateway.offers.offers();
    let known = offers.willing.iter().map(|known| &known.address);
    for address in known.chain(&offers.named).take(MAX_ASKED) {
        if others.contains(address) && !targets.contains(address) {
            targets.push(*address);
        }
    }
    targets
}

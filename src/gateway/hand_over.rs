//! Hands requests to other instances while this one reaches no upstream.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::RngExt;
use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep, timeout_at};

use super::calls::{BodyReservation, Call, to_ms};
use super::forward::AttemptEnd;
use super::handed::{
    AttemptHistory, HandedAnswer, HandedRequest, MAX_HANDED_BYTES, Offer, encode_headers,
};
use super::outcome::{Outcome, Reason};
use super::peer_client::{HandError, PeerClient};
use super::sending::attempt_deadline;
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
/// Time in which one attempt looks for a receiver: right after a cut of many instances some
/// offers are of those that do not know yet, and each takes 90 ms to find out.
const SEARCH_TIME: Duration = Duration::from_millis(500);
/// Time since the last answer up to which a request waits for offers that may still come.
const YOUNG_CUT_MS: u64 = 600;
/// Delay before a request looks again for them.
const ASK_AGAIN_DELAY: Duration = Duration::from_millis(15);
/// Time in which a receiver must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Added to the timeout of an attempt, for the receiver's probes and the hop.
const HOP_MARGIN: Duration = Duration::from_millis(100);
/// Retry delay for callers refused because nobody takes requests; links that flap are
/// back after a few hundred milliseconds.
const NOBODY_RETRY_AFTER_MS: u64 = 250;
/// Share of the caller's remaining time that the retry delay may take.
const MAX_RETRY_AFTER_SHARE: u64 = 4;

/// An offer, and what this instance has made of it.
#[derive(Clone, Debug)]
struct KnownOffer {
    address: SocketAddr,
    offer: Offer,
    received_ms: u64,
    handed: u32,
}

#[derive(Debug, Default)]
struct Offers {
    willing: Vec<KnownOffer>,
    /// Willing instances that others have named.
    named: Vec<SocketAddr>,
    asked_ms: Option<u64>,
}

/// Offers of other instances.
#[derive(Debug, Default)]
pub struct HandOverState {
    offers: Mutex<Offers>,
    /// Held while offers are asked for, so that requests that come together ask once.
    asking: tokio::sync::Mutex<()>,
}

impl HandOverState {
    fn offers(&self) -> MutexGuard<'_, Offers> {
        self.offers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Instances that were willing at the last round.
    #[must_use]
    pub fn willing(&self) -> Vec<SocketAddr> {
        let offers = self.offers();
        offers.willing.iter().map(|known| known.address).collect()
    }

    fn is_known(&self, now_ms: u64) -> bool {
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

    /// Takes the less loaded of two random willing instances.
    fn take(&self) -> Option<KnownOffer> {
        let mut offers = self.offers();
        let is_fresh = |known: &KnownOffer| {
            let no_answer_ms = known.offer.no_answer_ms;
            no_answer_ms.is_some_and(|age| age <= FRESH_CONTACT_MS)
        };
        let has_fresh = offers.willing.iter().any(is_fresh);
        let mut drawn: Vec<&mut KnownOffer> = Vec::new();
        for known in &mut offers.willing {
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

    fn remove(&self, address: SocketAddr) {
        let mut offers = self.offers();
        offers.willing.retain(|known| known.address != address);
        if offers.willing.is_empty() {
            // What the others said is no longer true either.
            offers.asked_ms = None;
        }
    }
}

/// Hands a request to another instance.
///
/// [`AttemptEnd::NoContact`] if nobody took it, and nothing was sent.
pub async fn attempt<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    history: &mut AttemptHistory,
) -> AttemptEnd {
    if call.left_ms() == 0 || call.body.len() > MAX_HANDED_BYTES {
        return AttemptEnd::NoContact;
    }
    // The call holds the body a second time, encoded.
    let mut copy = BodyReservation::new(&gateway.body_memory);
    if !copy.grow(call.body.len()) {
        return AttemptEnd::NoContact;
    }
    let began_ms = gateway.now_ms();
    let mut refusal = None;
    let until = call.deadline.min(Instant::now() + SEARCH_TIME);
    while Instant::now() < until {
        if !gateway.hand_over.is_known(gateway.now_ms()) {
            ask_once(gateway).await;
        }
        let Some(known) = gateway.hand_over.take() else {
            if refusal.is_some() || !is_cut_young(gateway, began_ms) {
                break;
            }
            sleep(ASK_AGAIN_DELAY).await;
            continue;
        };
        let end = hand_to(gateway, call, service, history, &known).await;
        log_end(gateway, call, &known, &end);
        match end {
            Ok(HandedAnswer::NotTaken { .. }) | Err(HandError::NotSent(_)) => {
                gateway.metrics.on_handed("not-taken");
                gateway.hand_over.remove(known.address);
            }
            Ok(HandedAnswer::Ended { end, history: all }) => {
                gateway.metrics.on_handed("ended");
                let end = ended(call, history, all, end.into_outcome());
                if !matches!(end, AttemptEnd::Refused(_)) || refusal.is_some() {
                    return end;
                }
                // It may lack some links, too; another one may have room.
                gateway.hand_over.remove(known.address);
                refusal = Some(end);
            }
            Err(error) => {
                gateway.metrics.on_handed("lost");
                gateway.hand_over.remove(known.address);
                history.sends += 1;
                history.may_have_run = true;
                let reason = match error {
                    HandError::Timeout => Reason::Late,
                    HandError::NotSent(_) | HandError::Lost(_) => Reason::UpstreamFailed,
                };
                return AttemptEnd::Ended(Outcome::gateway_error(reason));
            }
        }
    }
    refusal.unwrap_or(AttemptEnd::NoContact)
}

/// Whether this instance's links were lost so lately that an instance that has some may
/// not have been found yet, and no upstream has answered since `began_ms`.
fn is_cut_young<P: Platform>(gateway: &Gateway<P>, began_ms: u64) -> bool {
    let contact = gateway.contact.decision();
    let no_answer_ms = contact.no_answer_ms(gateway.now_ms());
    !contact.has_answered_since(began_ms) && no_answer_ms.is_some_and(|age| age < YOUNG_CUT_MS)
}

/// Refuses a request that no instance can serve.
pub fn refuse<P: Platform>(gateway: &Gateway<P>, call: &Call, service: &str) -> Outcome {
    let retry_after_ms = NOBODY_RETRY_AFTER_MS.min(call.left_ms() / MAX_RETRY_AFTER_SHARE);
    if gateway.log_budget.take() {
        tracing::info!(
            request = call.id_text(),
            route = %call.route.name,
            version = call.version,
            service,
            held_ms = call.held_ms(),
            left_ms = call.left_ms(),
            return_ms = retry_after_ms,
            "request refused: no upstream answers this instance, and no other takes it"
        );
    }
    Outcome::refused(Reason::NoUpstream, retry_after_ms.max(1))
}

/// Takes over what the receiver did, and decides whether the request may be tried again.
fn ended(
    call: &Call,
    history: &mut AttemptHistory,
    all: AttemptHistory,
    outcome: Outcome,
) -> AttemptEnd {
    let was_sent = all.sends > history.sends;
    *history = all;
    match &outcome {
        Outcome::Answered(response) => {
            let is_final = !call.route.is_idempotent || !response.status.is_server_error();
            if is_final {
                AttemptEnd::Final(outcome)
            } else {
                AttemptEnd::Ended(outcome)
            }
        }
        Outcome::GatewayError { .. } if was_sent => AttemptEnd::Ended(outcome),
        Outcome::GatewayError { .. } => AttemptEnd::Refused(outcome),
    }
}

async fn hand_to<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    history: &AttemptHistory,
    known: &KnownOffer,
) -> Result<HandedAnswer, HandError> {
    let client = gateway
        .peers
        .connected(known.address, CONNECT_TIMEOUT)
        .await
        .map_err(HandError::NotSent)?;
    let work_ms = gateway.route_means(&call.route).work_ms;
    let now = Instant::now();
    let deadline = (attempt_deadline(call, work_ms, now) + HOP_MARGIN).min(call.deadline);
    let offer_age_ms = gateway.now_ms().saturating_sub(known.received_ms);
    let request = HandedRequest {
        id: call.id.as_ref().map(|id| id.as_bytes().to_vec()),
        method: call.method.as_str().to_owned(),
        host: call.host().unwrap_or(&call.route.host).to_owned(),
        target: call.target.clone(),
        headers: encode_headers(&call.headers),
        body: call.body.to_vec(),
        service: Arc::clone(service),
        held_ms: call.held_ms(),
        left_ms: to_ms(deadline.saturating_duration_since(now)),
        sent_ms: known.offer.now_ms + offer_age_ms,
        history: history.clone(),
    };
    if gateway.log_budget.take() {
        tracing::info!(
            request = call.id_text(),
            route = %call.route.name,
            version = call.version,
            service = %service,
            to = %known.address,
            offer_age_ms,
            its_no_answer_ms = known.offer.no_answer_ms,
            its_taken = known.offer.taken,
            is_cut_off = gateway.contact.is_cut_off(),
            held_ms = call.held_ms(),
            left_ms = call.left_ms(),
            sends = history.sends,
            "request handed to another instance"
        );
    }
    client.run_handed(request, deadline).await
}

fn log_end<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    known: &KnownOffer,
    end: &Result<HandedAnswer, HandError>,
) {
    if !gateway.log_budget.take() {
        return;
    }
    let (request, to, held_ms) = (call.id_text(), known.address, call.held_ms());
    match end {
        Ok(HandedAnswer::Ended { history, .. }) => tracing::info!(
            request,
            %to,
            held_ms,
            sends = history.sends,
            upstreams = history.tried.join(" "),
            "handed request ended"
        ),
        Ok(HandedAnswer::NotTaken { why, .. }) => {
            tracing::info!(request, %to, held_ms, why, "handed request not taken");
        }
        Err(error) => {
            tracing::info!(request, %to, held_ms, %error, "handed request failed");
        }
    }
}

/// Asks for offers, unless another request has just done so.
async fn ask_once<P: Platform>(gateway: &Arc<Gateway<P>>) {
    let _asking = gateway.hand_over.asking.lock().await;
    if !gateway.hand_over.is_known(gateway.now_ms()) {
        ask(gateway, FURTHER_OFFERS_WAIT).await;
    }
}

/// Asks for offers, in the background.
pub async fn refresh_offers<P: Platform>(gateway: &Arc<Gateway<P>>) {
    if let Ok(_asking) = gateway.hand_over.asking.try_lock() {
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
    *gateway.hand_over.offers() = Offers {
        willing,
        named,
        asked_ms,
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
    let offers = gateway.hand_over.offers();
    let known = offers.willing.iter().map(|known| &known.address);
    for address in known.chain(&offers.named).take(MAX_ASKED) {
        if others.contains(address) && !targets.contains(address) {
            targets.push(*address);
        }
    }
    targets
}

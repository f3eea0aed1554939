//! Hands requests to other instances while this one reaches no upstream.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::attempts::{Attempt, Attempts, overdue, overdue_at};
use super::calls::{BodyReservation, Call};
use super::forward::{AttemptEnd, TryEnd};
use super::handed::{
    AttemptHistory, HandedAnswer, HandedRequest, MAX_HANDED_BYTES, encode_headers,
};
use super::offers::{Declined, KnownOffer, ask_once};
use super::outcome::{Outcome, Reason};
use super::peer_client::{HandError, PeerClient};
use super::state::Gateway;
use super::store::Platform;

/// Time in which one attempt looks for a receiver: right after a cut of many instances some
/// offers are of those that do not know yet, and each takes 90 ms to find out.
const SEARCH_TIME: Duration = Duration::from_millis(500);
/// Time since the last answer up to which a request waits for offers that may still come.
const YOUNG_CUT_MS: u64 = 600;
/// The same since the last offer: instances that took requests until then rarely lose their
/// links at that moment too, and more often get no answer for a moment.
const RECENT_OFFER_MS: u64 = YOUNG_CUT_MS;
/// Retry delay of an instance that does not take a request from which on it is not asked again
/// for it; a shorter one says that its links may be back at once.
const MIN_DECLINED_MS: u64 = 100;
/// Delay before a request looks again for them.
const ASK_AGAIN_DELAY: Duration = Duration::from_millis(15);
/// Time in which a receiver must respond before it gets a request: 60 ms on a kept
/// connection, the silence of an upstream in doubt, and the rest on a new one.
const CHECK_TIMEOUT: Duration = Duration::from_millis(180);
/// Added to the time after which an attempt is overdue, for the receiver's probes and the hop.
const HOP_MARGIN: Duration = Duration::from_millis(100);
/// Time in which a receiver must say to which upstreams it has sent a request.
const UPSTREAMS_TIMEOUT: Duration = Duration::from_millis(60);
/// Retry delay for callers refused because nobody takes requests; links that flap are
/// back after a few hundred milliseconds.
const NOBODY_RETRY_AFTER_MS: u64 = 250;
/// Share of the caller's remaining time that the retry delay may take.
const MAX_RETRY_AFTER_SHARE: u64 = 4;

/// Hands a request to another instance.
///
/// [`TryEnd::NoContact`] if nobody took it, and nothing was sent.
pub async fn attempt<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    attempt: &mut Attempt<'_>,
) -> TryEnd {
    if call.left_ms() == 0 || call.body.len() > MAX_HANDED_BYTES {
        return TryEnd::NoContact;
    }
    // The call holds the body a second time, encoded.
    let mut copy = BodyReservation::new(&gateway.body_memory);
    if !copy.grow(call.body.len()) {
        return TryEnd::NoContact;
    }
    let began_ms = gateway.now_ms();
    let mut refusal = None;
    let mut declined = Declined::default();
    let until = call.deadline.min(Instant::now() + SEARCH_TIME);
    while Instant::now() < until {
        if !gateway.offers.is_known(gateway.now_ms()) {
            ask_once(gateway).await;
        }
        // The same one again may be reached on a new connection.
        let others = declined.and(&attempt.attempts().receivers());
        let known = gateway.offers.take(&others);
        let Some(known) = known.or_else(|| gateway.offers.take(&declined)) else {
            let may_come = is_cut_young(gateway, began_ms)
                || gateway
                    .offers
                    .had_offer_within(RECENT_OFFER_MS, gateway.now_ms());
            if refusal.is_some() || !may_come {
                break;
            }
            sleep(ASK_AGAIN_DELAY).await;
            continue;
        };
        let history = attempt.attempts().history();
        attempt.attempts().count_send();
        let end = hand_to(gateway, call, service, &history, &known, attempt).await;
        if is_unsent(&end, &history) {
            attempt.attempts().uncount_send();
        }
        log_end(gateway, call, &known, &end);
        match end {
            Ok(HandedAnswer::NotTaken { retry_after_ms, .. })
                if retry_after_ms < MIN_DECLINED_MS =>
            {
                gateway.metrics.on_handed("not-taken");
                gateway.offers.remove(known.address);
                declined.until_it_is_answered(known.address, gateway.now_ms());
            }
            Ok(HandedAnswer::NotTaken { .. }) | Err(HandError::NotSent(_)) => {
                gateway.metrics.on_handed("not-taken");
                gateway.offers.remove(known.address);
                declined.for_good(known.address);
            }
            Ok(HandedAnswer::Ended { end, history: all }) => {
                gateway.metrics.on_handed("ended");
                let outcome = end.into_outcome(&gateway.response_memory);
                let outcome = outcome.unwrap_or_else(|| give_up_response(gateway, call, &known));
                let was_sent = all.sends > history.sends;
                attempt
                    .attempts()
                    .update_history(|current| current.add(&history, all));
                let end = ended(call, was_sent, outcome);
                if !matches!(end, AttemptEnd::Refused(_)) || refusal.is_some() {
                    return end.into();
                }
                // It may lack some links, too; another one may have room.
                gateway.offers.remove(known.address);
                declined.for_good(known.address);
                refusal = Some(end);
            }
            Err(error) => {
                gateway.metrics.on_handed("lost");
                gateway.offers.remove(known.address);
                attempt.attempts().update_history(|history| {
                    history.sends += 1;
                    history.may_have_run = true;
                });
                let reason = match error {
                    HandError::Timeout => Reason::Late,
                    HandError::NotSent(_) | HandError::Lost(_) => Reason::UpstreamFailed,
                };
                return AttemptEnd::Ended(Outcome::gateway_error(reason)).into();
            }
        }
    }
    refusal.map_or(TryEnd::NoContact, TryEnd::from)
}

/// Whether the request was neither run by the other instance nor may run there.
fn is_unsent(end: &Result<HandedAnswer, HandError>, history: &AttemptHistory) -> bool {
    match end {
        Ok(HandedAnswer::NotTaken { .. }) | Err(HandError::NotSent(_)) => true,
        Ok(HandedAnswer::Ended { history: all, .. }) => {
            all.sends == history.sends && !all.may_have_run
        }
        Err(HandError::Lost(_) | HandError::Timeout) => false,
    }
}

/// Whether this instance's links were lost so lately that an instance that has some may
/// not have been found yet, and no upstream has answered since `began_ms`.
fn is_cut_young<P: Platform>(gateway: &Gateway<P>, began_ms: u64) -> bool {
    let contact = gateway.contact.decision();
    let no_answer_ms = contact.no_answer_ms(gateway.now_ms());
    !contact.has_answered_since(began_ms) && no_answer_ms.is_some_and(|age| age < YOUNG_CUT_MS)
}

/// Whether requests that no other instance takes are refused at once; otherwise they still
/// try the upstreams.
pub fn is_certain<P: Platform>(gateway: &Gateway<P>) -> bool {
    gateway.contact.decision().is_certain(gateway.now_ms())
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

/// Gives up a response for which the other responses leave no memory; the request has run.
fn give_up_response<P: Platform>(gateway: &Gateway<P>, call: &Call, known: &KnownOffer) -> Outcome {
    if gateway.log_budget.take() {
        tracing::info!(
            request = call.id_text(),
            from = %known.address,
            "response of another instance given up: other responses hold the memory that the body needs"
        );
    }
    Outcome::gateway_error(Reason::UpstreamFailed)
}

/// Decides whether the request may be tried again.
fn ended(call: &Call, was_sent: bool, outcome: Outcome) -> AttemptEnd {
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
    attempt: &mut Attempt<'_>,
) -> Result<HandedAnswer, HandError> {
    let client = gateway
        .peers
        .checked(known.address, CHECK_TIMEOUT)
        .await
        .map_err(HandError::NotSent)?;
    let work_ms = gateway.route_means(&call.route).work_ms;
    let overdue_at = overdue_at(call, work_ms, Instant::now()).map(|at| at + HOP_MARGIN);
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
        left_ms: call.left_ms(),
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
    attempt.note_receiver(known.address);
    attempt.begin_send();
    let mut end = pin!(client.run_handed(request, call.deadline));
    tokio::select! {
        biased;
        end = &mut end => return end,
        () = overdue(overdue_at) => {}
    }
    on_overdue(gateway, call, known);
    tokio::select! {
        end = &mut end => return end,
        () = learn_upstreams(&client, call, attempt.attempts()) => {}
    }
    attempt.set_overdue();
    end.await
}

/// Asks another instance to which upstreams it has sent the request, so that the next attempt
/// goes elsewhere.
async fn learn_upstreams(client: &PeerClient, call: &Call, attempts: &Attempts) {
    let Some(id) = &call.id else {
        return;
    };
    let asked = client.upstreams_of(id.as_bytes().to_vec());
    match timeout(UPSTREAMS_TIMEOUT, asked).await {
        Ok(Ok(upstreams)) => attempts.update_history(|history| history.add_tried(upstreams)),
        Ok(Err(error)) => {
            let to = client.address();
            tracing::debug!(%to, %error, "not known where a handed request runs");
        }
        Err(_) => {}
    }
}

/// Records that an answer of another instance is overdue; the request may be at work there.
fn on_overdue<P: Platform>(gateway: &Gateway<P>, call: &Call, known: &KnownOffer) {
    gateway.metrics.on_handed("overdue");
    gateway.offers.remove(known.address);
    if gateway.log_budget.take() {
        tracing::info!(
            request = call.id_text(),
            to = %known.address,
            held_ms = call.held_ms(),
            left_ms = call.left_ms(),
            stopping_for_ms = gateway.stopping_for_ms(),
            "answer of another instance overdue; waiting on"
        );
    }
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

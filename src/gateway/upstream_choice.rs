//! Chooses the upstream for one attempt of a request.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::calls::Call;
use super::candidates::Candidates;
use super::forward::{AttemptEnd, TryEnd};
use super::known_choice::{self, KnownChoice};
use super::limited_choice::{self, Chosen};
use super::outcome::{Outcome, Reason};
use super::probing::{ProbedUpstream, describe, probe_candidates, take_best};
use super::rollouts::choice::choose_new;
use super::state::Gateway;
use super::store::Platform;
use super::unwanted;
use crate::decision::admission::{Admission, PROBE_AGAIN_DELAY_MS, PendingRequest, Sharing};
use crate::decision::upstream_contact::SILENCE_MS;

/// Retry delay for callers whose request was held past its deadline, as by an instance
/// that stood still.
const LATE_RETRY_AFTER_MS: u64 = 100;

/// Time in which an upstream must answer a check of the links if none could be probed.
const LINK_CHECK_WAIT: Duration = Duration::from_millis(SILENCE_MS);

/// What admission needs to know of a request.
pub(super) fn pending_request<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    sharing: Sharing,
) -> PendingRequest {
    PendingRequest {
        priority: call.priority(),
        held_ms: call.held_ms(),
        objective_ms: call.route.objective_ms,
        left_ms: call.left_ms(),
        work_ms: gateway.route_means(&call.route).work_ms,
        sharing,
    }
}

/// Keeps the connections of upstreams that were not chosen.
fn release_all(probed: impl IntoIterator<Item = ProbedUpstream>) {
    for other in probed {
        other.client.release(other.connection);
    }
}

/// Finds a limited upstream with a permit to give, or probes others until one has room, and
/// returns the best.
///
/// # Errors
/// Returns a refusal if no upstream has room in time, or that none answers at all.
pub(super) async fn choose_upstream<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    excluded: &[Arc<str>],
    sharing: Sharing,
    may_hand_over: bool,
) -> Result<Chosen<P>, TryEnd> {
    let began_ms = gateway.now_ms();
    gateway.on_attempt(service);
    let pending = pending_request(gateway, call, sharing);
    if let Some(chosen) = choose_new(gateway, call, service, excluded, pending).await {
        return Ok(chosen);
    }
    let mut has_probed = false;
    loop {
        if let Some(refusal) = refuse_unchosen(gateway, call, service) {
            return Err(AttemptEnd::Refused(refusal).into());
        }
        if let Some(chosen) = limited_choice::choose(gateway, call, service, excluded, false).await
        {
            return Ok(chosen);
        }
        let candidates = Candidates::new(gateway, call, service, excluded);
        let count = candidates.len();
        let probing = probe_candidates(
            gateway,
            call,
            service,
            candidates,
            has_probed,
            may_hand_over,
        )
        .await;
        has_probed = true;
        let pending = pending_request(gateway, call, sharing);
        let mut refusal = None;
        if probing.is_without_budget {
            let known = known_choice::choose(gateway, call, service, probing.candidates, &pending);
            match known.await {
                KnownChoice::Chosen(upstream) => return Ok((*upstream).into()),
                KnownChoice::Full => refusal = Some(pending.refusal()),
                KnownChoice::Failed => {}
            }
        }
        let mut probed = probing.answered;
        if may_hand_over
            && refusal.is_none()
            && probed.is_empty()
            && has_no_contact(gateway, service, began_ms, count).await
        {
            return Err(TryEnd::NoContact);
        }
        let best = take_best(gateway, service, &mut probed);
        release_all(probed);
        let load = best.as_ref().and_then(|best| best.reading.load);
        // Admission needs a load; an upstream that reports none is always used.
        let has_no_load = best.is_some() && load.is_none();
        let admission = match refusal {
            Some(refusal) => refusal,
            None if has_no_load => Admission::Send,
            None => pending.decide(load.as_ref()),
        };
        if admission != Admission::Send
            && let Some(chosen) =
                limited_choice::choose(gateway, call, service, excluded, true).await
        {
            release_all(best);
            return Ok(chosen);
        }
        if count == 0
            && let Some(refusal) = limited_choice::refuse(gateway, call, service, excluded)
        {
            return Err(AttemptEnd::Refused(refusal).into());
        }
        match (admission, best) {
            (Admission::Send, Some(upstream)) => return Ok(upstream.into()),
            (Admission::Refuse { retry_after_ms }, best) => {
                log_refusal(
                    gateway,
                    call,
                    &pending,
                    service,
                    best.as_ref(),
                    count,
                    retry_after_ms,
                );
                release_all(best);
                let reason = if gateway.eligible_upstreams(service).is_empty() {
                    Reason::NoUpstream
                } else {
                    Reason::NoRoom
                };
                let refusal = Outcome::refused(reason, retry_after_ms);
                return Err(AttemptEnd::Refused(refusal).into());
            }
            (_, best) => {
                release_all(best);
                sleep(Duration::from_millis(PROBE_AGAIN_DELAY_MS)).await;
            }
        }
    }
}

/// Refuses a request that is late, or whose service wants none now.
fn refuse_unchosen<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    service: &Arc<str>,
) -> Option<Outcome> {
    if call.left_ms() == 0 {
        return Some(Outcome::refused(Reason::LateUnsent, LATE_RETRY_AFTER_MS));
    }
    unwanted::refuse(gateway, call, service)
}

/// Whether all upstreams that were tried since `began_ms` failed or stayed silent, and not
/// because they may only be full.
///
/// Without `candidates`, as all are ejected or have been tried, none was asked: a check decides.
async fn has_no_contact<P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    began_ms: u64,
    candidates: usize,
) -> bool {
    if gateway.contact.lets_probes_wait(service) {
        return false;
    }
    let is_silent = {
        let contact = gateway.contact.decision();
        contact.has_failures() && !contact.has_answered_since(began_ms)
    };
    if !is_silent || gateway.eligible_upstreams(service).is_empty() {
        return false;
    }
    let contact = &gateway.contact;
    candidates > 0 || !contact.has_answer_since(began_ms, LINK_CHECK_WAIT).await
}

fn log_refusal<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    pending: &PendingRequest,
    service: &str,
    best: Option<&ProbedUpstream>,
    candidates: usize,
    retry_after_ms: u64,
) {
    if !gateway.log_budget.take() {
        return;
    }
    let reading = best.map(describe).unwrap_or_default();
    tracing::info!(
        request = call.id_text(),
        route = %call.route.name,
        version = call.version,
        service,
        candidates,
        best = reading,
        held_ms = call.held_ms(),
        left_ms = call.left_ms(),
        work_ms = pending.work_ms,
        is_excess = pending.sharing == Sharing::Organisations { is_excess: true },
        return_ms = retry_after_ms,
        "request refused: no upstream has room in time"
    );
}

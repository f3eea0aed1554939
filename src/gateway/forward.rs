//! Forwards a request to the upstream that is expected to answer first.
//!
//! Just before sending, the gateway probes the load of a few upstreams, each on
//! the connection that the request would use. The reading is thus fresh, the
//! connection works, and the upstream at the address is the expected one.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::calls::Call;
use super::hand_over;
use super::handed::AttemptHistory;
use super::limited_choice::{self, Chosen};
use super::outcome::{Outcome, Reason};
use super::probing::{ProbedUpstream, describe, probe_candidates, take_best};
use super::run_permit::{self, Denial};
use super::sending::{SendOutcome, send};
use super::state::Gateway;
use super::store::Platform;
use super::unwanted;
use crate::decision::admission::{Admission, PROBE_AGAIN_DELAY_MS, PendingRequest};

/// Retry delay for callers whose request was held past its deadline, as by an instance
/// that stood still.
const LATE_RETRY_AFTER_MS: u64 = 100;

/// Retry delay for callers of an instance that stops; they reach another one at once.
const STOPPING_RETRY_AFTER_MS: u64 = 1;

/// Retry delay for callers of a route or service that this build cannot read, until a version
/// that it can read.
const UNREAD_RETRY_AFTER_MS: u64 = 2_000;

/// Upstreams that a request may find gone, after their probes, before it is refused.
const MAX_UNSENT: usize = 8;

/// How one attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The caller gets this.
    Final(Outcome),
    /// It was sent; the caller gets this unless it is tried again.
    Ended(Outcome),
    /// It was not sent, and the caller gets this unless an earlier response is better.
    Refused(Outcome),
    /// The chosen upstream could not be used.
    Unsent,
    /// No upstream answers this instance, or no other instance takes the request.
    NoContact,
}

/// Forwards a request and returns the final response.
///
/// A request that may have run is sent again only if its route is idempotent.
/// Retries stay within the route's attempts and the service's retry budget. A request
/// under which upstreams ended runs only with a permit, and finally not at all. While no
/// upstream answers this instance, another one runs it.
pub async fn forward<P: Platform>(gateway: &Arc<Gateway<P>>, call: &Call) -> Outcome {
    let service = gateway.pick_service(&call.route);
    let Some(service) = service.filter(|service| gateway.knows_service(service)) else {
        return Outcome::refused(Reason::NoUpstream, UNREAD_RETRY_AFTER_MS);
    };
    gateway.on_request(&service);
    let mut history = AttemptHistory::default();
    let mut last_response: Option<Outcome> = None;
    let mut may_hand_over = true;
    loop {
        let mut end = attempt(gateway, call, &service, &mut history, may_hand_over).await;
        if matches!(end, AttemptEnd::NoContact) {
            end = hand_over::attempt(gateway, call, &service, &mut history).await;
        }
        let outcome = match end {
            AttemptEnd::Final(outcome) => return outcome,
            AttemptEnd::Refused(refusal) => {
                return last_response.unwrap_or_else(|| history.correct_refusal(refusal));
            }
            AttemptEnd::NoContact if hand_over::is_certain(gateway) => {
                let refusal = hand_over::refuse(gateway, call, &service);
                return last_response.unwrap_or_else(|| history.correct_refusal(refusal));
            }
            AttemptEnd::NoContact => {
                may_hand_over = false;
                continue;
            }
            AttemptEnd::Unsent if has_unsent_left(&history) => continue,
            AttemptEnd::Unsent => not_run(gateway, call, &service, &history),
            AttemptEnd::Ended(outcome) => outcome,
        };
        let may_retry = call.route.is_idempotent || !history.may_have_run;
        if !may_retry || !take_retry(gateway, call, &service, &history) {
            return outcome;
        }
        gateway.metrics.retries.inc();
        last_response = matches!(outcome, Outcome::Answered(_)).then_some(outcome);
    }
}

/// Forwards a request that another instance has handed over, with one attempt: retries are
/// its matter. `None` if no upstream answers this instance either, and nothing was sent.
pub async fn forward_taken<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    history: &mut AttemptHistory,
) -> Option<Outcome> {
    loop {
        match attempt(gateway, call, service, history, true).await {
            AttemptEnd::Final(outcome)
            | AttemptEnd::Ended(outcome)
            | AttemptEnd::Refused(outcome) => return Some(outcome),
            AttemptEnd::NoContact => return None,
            AttemptEnd::Unsent if has_unsent_left(history) => {}
            AttemptEnd::Unsent => return Some(not_run(gateway, call, service, history)),
        }
    }
}

/// Makes one attempt to send a request to an upstream.
///
/// [`AttemptEnd::NoContact`] comes at once if this instance is cut off, and if no upstream
/// answers its probes only if the request may be handed over.
async fn attempt<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    history: &mut AttemptHistory,
    may_hand_over: bool,
) -> AttemptEnd {
    if !gateway.may_begin(&call.route, call.left_ms()) {
        return AttemptEnd::Refused(refuse_while_stopping(gateway, call, service));
    }
    if may_hand_over && gateway.contact.is_cut_off() {
        return AttemptEnd::NoContact;
    }
    let permit = match run_permit::acquire(gateway, call).await {
        Ok(permit) => permit,
        Err(denial) => {
            return AttemptEnd::Final(history.correct_refusal(denied(gateway, call, denial)));
        }
    };
    let mut excluded = run_permit::ended_upstreams(gateway, call);
    excluded.extend_from_slice(&history.tried);
    let choice = choose_upstream(gateway, call, service, &excluded, may_hand_over);
    let choice = tokio::select! {
        biased;
        choice = choice => choice,
        () = gateway.contact.cut_off(), if may_hand_over => return AttemptEnd::NoContact,
    };
    let chosen = match choice {
        Ok(chosen) => chosen,
        Err(end) => return end,
    };
    if !permit.is_valid(call) {
        let unused = chosen.upstream;
        unused.client.release(unused.connection);
        return AttemptEnd::Unsent;
    }
    let id = &chosen.upstream.upstream.report.id;
    history.tried.push(Arc::clone(id));
    let sent = send(gateway, call, chosen).await;
    drop(permit);
    history.sends += usize::from(!matches!(sent, SendOutcome::Unsent));
    match sent {
        SendOutcome::Answered(response) => {
            let is_final = !call.route.is_idempotent || !response.status.is_server_error();
            if is_final {
                return AttemptEnd::Final(Outcome::Answered(response));
            }
            history.may_have_run = true;
            AttemptEnd::Ended(Outcome::Answered(response))
        }
        SendOutcome::Unsent => AttemptEnd::Unsent,
        SendOutcome::NotRun => AttemptEnd::Ended(not_run(gateway, call, service, history)),
        SendOutcome::Failed(reason) => {
            history.may_have_run = true;
            AttemptEnd::Ended(Outcome::gateway_error(reason))
        }
    }
}

/// Refuses a request that would be cut when the process ends; other instances serve it.
fn refuse_while_stopping<P: Platform>(gateway: &Gateway<P>, call: &Call, service: &str) -> Outcome {
    if gateway.log_budget.take() {
        tracing::info!(
            request = call.id_text(),
            route = %call.route.name,
            service,
            held_ms = call.held_ms(),
            left_ms = call.left_ms(),
            longest_ms = gateway.route_times().longest_ms(&call.route),
            "request refused: this instance stops before it could be answered"
        );
    }
    Outcome::refused(Reason::Refused, STOPPING_RETRY_AFTER_MS)
}

fn has_unsent_left(history: &AttemptHistory) -> bool {
    history.tried.len().saturating_sub(history.sends) < MAX_UNSENT
}

fn not_run<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    service: &str,
    history: &AttemptHistory,
) -> Outcome {
    let return_ms = unwanted::return_ms(gateway, service);
    let return_ms = return_ms.unwrap_or_else(|| retry_after_ms(gateway, call));
    let refusal = Outcome::refused(Reason::Refused, return_ms);
    history.correct_refusal(refusal)
}

fn denied<P: Platform>(gateway: &Gateway<P>, call: &Call, denial: Denial) -> Outcome {
    match denial {
        Denial::Stopped { left_ms } => Outcome::refused(Reason::CrashesUpstreams, left_ms),
        Denial::CopyRunning => Outcome::refused(Reason::CopyRunning, retry_after_ms(gateway, call)),
    }
}

/// Whether another attempt is allowed; takes a retry from the budget if so.
fn take_retry<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    service: &Arc<str>,
    history: &AttemptHistory,
) -> bool {
    let attempts = usize::try_from(call.route.attempts).unwrap_or(usize::MAX);
    history.sends < attempts && call.left_ms() > 0 && gateway.try_acquire_retry(service)
}

fn retry_after_ms<P: Platform>(gateway: &Gateway<P>, call: &Call) -> u64 {
    pending_request(gateway, call).retry_after_ms()
}

fn pending_request<P: Platform>(gateway: &Gateway<P>, call: &Call) -> PendingRequest {
    PendingRequest {
        priority: call.route.priority,
        held_ms: call.held_ms(),
        objective_ms: call.route.objective_ms,
        left_ms: call.left_ms(),
        work_ms: gateway.route_means(&call.route).work_ms,
    }
}

/// Finds a limited upstream with a permit to give, or probes others until one has room, and
/// returns the best.
///
/// # Errors
/// Returns a refusal if no upstream has room in time, or that none answers at all.
async fn choose_upstream<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    excluded: &[Arc<str>],
    may_hand_over: bool,
) -> Result<Chosen<P>, AttemptEnd> {
    let began_ms = gateway.now_ms();
    loop {
        if call.left_ms() == 0 {
            let refusal = Outcome::refused(Reason::LateUnsent, LATE_RETRY_AFTER_MS);
            return Err(AttemptEnd::Refused(refusal));
        }
        if let Some(refusal) = unwanted::refuse(gateway, call, service) {
            return Err(AttemptEnd::Refused(refusal));
        }
        if let Some(chosen) = limited_choice::choose(gateway, call, service, excluded, false).await
        {
            return Ok(chosen);
        }
        let (mut probed, candidates) =
            probe_candidates(gateway, call, service, excluded, may_hand_over).await;
        if may_hand_over && probed.is_empty() && has_no_contact(gateway, service, began_ms) {
            return Err(AttemptEnd::NoContact);
        }
        let best = take_best(gateway, service, &mut probed);
        for other in probed {
            other.client.release(other.connection);
        }
        let pending = pending_request(gateway, call);
        let load = best.as_ref().and_then(|best| best.reading.load);
        // Admission needs a load; an upstream that reports none is always used.
        let has_no_load = best.is_some() && load.is_none();
        let admission = if has_no_load {
            Admission::Send
        } else {
            pending.decide(load.as_ref())
        };
        if admission != Admission::Send
            && let Some(chosen) =
                limited_choice::choose(gateway, call, service, excluded, true).await
        {
            if let Some(best) = best {
                best.client.release(best.connection);
            }
            return Ok(chosen);
        }
        if candidates == 0
            && let Some(refusal) = limited_choice::refuse(gateway, call, service, excluded)
        {
            return Err(AttemptEnd::Refused(refusal));
        }
        match (admission, best) {
            (Admission::Send, Some(upstream)) => {
                return Ok(Chosen {
                    upstream,
                    permit: None,
                });
            }
            (Admission::Refuse { retry_after_ms }, best) => {
                log_refusal(
                    gateway,
                    call,
                    service,
                    best.as_ref(),
                    candidates,
                    retry_after_ms,
                );
                if let Some(best) = best {
                    best.client.release(best.connection);
                }
                let reason = if gateway.eligible_upstreams(service).is_empty() {
                    Reason::NoUpstream
                } else {
                    Reason::NoRoom
                };
                let refusal = Outcome::refused(reason, retry_after_ms);
                return Err(AttemptEnd::Refused(refusal));
            }
            (_, best) => {
                if let Some(best) = best {
                    best.client.release(best.connection);
                }
                sleep(Duration::from_millis(PROBE_AGAIN_DELAY_MS)).await;
            }
        }
    }
}

/// Whether all upstreams that were tried since `began_ms` failed or stayed silent, and not
/// because they may only be full.
fn has_no_contact<P: Platform>(gateway: &Gateway<P>, service: &str, began_ms: u64) -> bool {
    if gateway.contact.lets_probes_wait(service) {
        return false;
    }
    let is_silent = {
        let contact = gateway.contact.decision();
        contact.has_failures() && !contact.has_answered_since(began_ms)
    };
    is_silent && !gateway.eligible_upstreams(service).is_empty()
}

fn log_refusal<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
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
        work_ms = gateway.route_means(&call.route).work_ms,
        return_ms = retry_after_ms,
        "request refused: no upstream has room in time"
    );
}

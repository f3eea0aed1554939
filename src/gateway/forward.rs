//! Forwards a request to the upstream that is expected to answer first.
//!
//! Just before sending, the gateway probes the load of a few upstreams, each on
//! the connection that the request would use. The reading is thus fresh, the
//! connection works, and the upstream at the address is the expected one.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, sleep, sleep_until};

use super::attempts::{Attempt, Attempts};
use super::calls::Call;
use super::hand_over;
use super::limited_choice::{self, Chosen};
use super::outcome::{Outcome, Reason};
use super::probing::{ProbedUpstream, describe, probe_candidates, take_best};
use super::rollouts::choice::choose_new;
use super::run_permit::{self, Denial};
use super::sending::{SendOutcome, send};
use super::state::Gateway;
use super::store::Platform;
use super::unwanted;
use crate::decision::admission::{Admission, PROBE_AGAIN_DELAY_MS, PendingRequest};
use crate::decision::upstream_contact::SILENCE_MS;

/// Retry delay for callers whose request was held past its deadline, as by an instance
/// that stood still.
const LATE_RETRY_AFTER_MS: u64 = 100;

/// Retry delay for callers of an instance that stops; they reach another one at once.
const STOPPING_RETRY_AFTER_MS: u64 = 1;

/// Retry delay for callers of a route or service that this build cannot read, until a version
/// that it can read.
const UNREAD_RETRY_AFTER_MS: u64 = 2_000;

/// Delay before an attempt that the retry budget has denied is asked for again, while those
/// that run are overdue.
const RETRY_AGAIN_DELAY: Duration = Duration::from_millis(100);

/// The same for one that was refused and not sent: room may have come.
const REFUSED_AGAIN_DELAY: Duration = Duration::from_millis(250);

/// Time in which an upstream must answer a check of the links if none could be probed.
const LINK_CHECK_WAIT: Duration = Duration::from_millis(SILENCE_MS);

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
}

/// How a try to make an attempt ended.
#[derive(Debug)]
pub enum TryEnd {
    /// The attempt has ended.
    Attempt(AttemptEnd),
    /// The chosen upstream could not be used.
    Unsent,
    /// No upstream answers this instance, or no other instance takes the request.
    NoContact,
}

impl From<AttemptEnd> for TryEnd {
    fn from(end: AttemptEnd) -> Self {
        Self::Attempt(end)
    }
}

/// Forwards a request and returns the final response.
///
/// A request that may have run is sent again only if its route is idempotent. While all of its
/// attempts are overdue, another one runs beside them, and the first response counts; none ends
/// because it takes longer than expected. Retries stay within the route's attempts and the
/// service's retry budget. A request under which upstreams ended runs only with a permit, and
/// finally not at all. While no upstream answers this instance, another one runs it.
pub async fn forward<P: Platform>(gateway: &Arc<Gateway<P>>, call: &Call) -> Outcome {
    let service = gateway.pick_service(&call.route);
    let Some(service) = service.filter(|service| gateway.knows_service(service)) else {
        return Outcome::refused(Reason::NoUpstream, UNREAD_RETRY_AFTER_MS);
    };
    gateway.on_request(&service);
    let attempts = Attempts::default();
    let mut running = FuturesUnordered::new();
    running.push(attempt(gateway, call, &service, attempts.begin()));
    let mut beside = Beside::Allowed;
    let mut last_response: Option<Outcome> = None;
    loop {
        let end = tokio::select! {
            biased;
            Some(end) = running.next() => end,
            () = retry_beside(gateway, call, &service, &attempts, beside) => {
                gateway.metrics.retries.inc();
                running.push(attempt(gateway, call, &service, attempts.begin()));
                beside = Beside::Allowed;
                continue;
            }
        };
        if !running.is_empty() {
            // What the others are still at work on may be answered.
            match end {
                AttemptEnd::Final(outcome @ Outcome::Answered(_)) => return outcome,
                AttemptEnd::Ended(outcome @ Outcome::Answered(_)) => last_response = Some(outcome),
                AttemptEnd::Ended(_) => {}
                AttemptEnd::Refused(_) if !gateway.is_stopping() => {
                    beside = Beside::Unsent {
                        again_at: Instant::now() + REFUSED_AGAIN_DELAY,
                    };
                }
                AttemptEnd::Final(_) | AttemptEnd::Refused(_) => beside = Beside::Never,
            }
            continue;
        }
        let history = attempts.history();
        let outcome = match end {
            AttemptEnd::Final(outcome) => return history.correct(outcome),
            AttemptEnd::Refused(refusal) => {
                return last_response.unwrap_or_else(|| history.correct(refusal));
            }
            AttemptEnd::Ended(outcome @ Outcome::Answered(_)) => outcome,
            AttemptEnd::Ended(outcome) => last_response
                .take()
                .unwrap_or_else(|| history.correct(outcome)),
        };
        let may_retry = call.route.is_idempotent || !history.may_have_run;
        if !may_retry || !take_retry(gateway, call, &service, &attempts) {
            return outcome;
        }
        gateway.metrics.retries.inc();
        last_response = matches!(outcome, Outcome::Answered(_)).then_some(outcome);
        beside = Beside::Allowed;
        running.push(attempt(gateway, call, &service, attempts.begin()));
    }
}

/// Whether another attempt may begin beside those that run.
#[derive(Clone, Copy, Debug)]
enum Beside {
    Allowed,
    /// The last one was refused and not sent, so its retry is still to be used.
    Unsent {
        again_at: Instant,
    },
    Never,
}

/// Waits until all attempts are overdue and another one may begin beside them.
///
/// A suspect request runs at one place at a time.
async fn retry_beside<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    service: &Arc<str>,
    attempts: &Attempts,
    beside: Beside,
) {
    let again_at = match beside {
        Beside::Allowed => None,
        Beside::Unsent { again_at } => Some(again_at),
        Beside::Never => return std::future::pending().await,
    };
    if let Some(again_at) = again_at {
        sleep_until(again_at).await;
        attempts.all_overdue().await;
        if !run_permit::is_suspect(gateway, call) && has_attempts_left(call, attempts) {
            return;
        }
    }
    loop {
        attempts.all_overdue().await;
        if !run_permit::is_suspect(gateway, call) && take_retry(gateway, call, service, attempts) {
            return;
        }
        sleep(RETRY_AGAIN_DELAY).await;
    }
}

/// Forwards a request that another instance has handed over, with one attempt: retries are
/// its matter. `None` if no upstream answers this instance either, and nothing was sent.
pub async fn forward_taken<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    attempts: &Attempts,
) -> Option<Outcome> {
    let mut attempt = attempts.begin();
    loop {
        match try_once(gateway, call, service, &mut attempt, true).await {
            TryEnd::Attempt(
                AttemptEnd::Final(outcome)
                | AttemptEnd::Ended(outcome)
                | AttemptEnd::Refused(outcome),
            ) => return Some(outcome),
            TryEnd::NoContact => return None,
            TryEnd::Unsent if has_unsent_left(attempts) => {}
            TryEnd::Unsent => return Some(not_run(gateway, call, service, attempts)),
        }
    }
}

/// Makes one attempt, at an upstream or, while none answers this instance, at another instance.
async fn attempt<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    mut attempt: Attempt<'_>,
) -> AttemptEnd {
    let attempts = attempt.attempts();
    loop {
        let may_hand_over = attempts.may_hand_over();
        let mut end = try_once(gateway, call, service, &mut attempt, may_hand_over).await;
        if matches!(end, TryEnd::NoContact) {
            end = hand_over::attempt(gateway, call, service, &mut attempt).await;
        }
        match end {
            TryEnd::Attempt(end) => return end,
            TryEnd::NoContact if hand_over::is_certain(gateway) => {
                return AttemptEnd::Refused(hand_over::refuse(gateway, call, service));
            }
            TryEnd::NoContact => attempts.keep_here(),
            TryEnd::Unsent if has_unsent_left(attempts) => {}
            TryEnd::Unsent => {
                return AttemptEnd::Ended(not_run(gateway, call, service, attempts));
            }
        }
    }
}

/// Tries to send a request to an upstream.
///
/// [`TryEnd::NoContact`] comes at once if this instance is cut off, and if no upstream answers
/// its probes only if the request may be handed over.
async fn try_once<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    attempt: &mut Attempt<'_>,
    may_hand_over: bool,
) -> TryEnd {
    if !gateway.may_begin(&call.route, call.left_ms()) {
        return AttemptEnd::Refused(refuse_while_stopping(gateway, call, service)).into();
    }
    if may_hand_over && gateway.contact.is_cut_off() {
        return TryEnd::NoContact;
    }
    let permit = match run_permit::acquire(gateway, call).await {
        Ok(permit) => permit,
        Err(denial) => {
            let refusal = denied(gateway, call, denial);
            let history = attempt.attempts().history();
            return AttemptEnd::Final(history.correct_refusal(refusal)).into();
        }
    };
    let mut excluded = run_permit::ended_upstreams(gateway, call);
    excluded.extend_from_slice(&attempt.attempts().history().tried);
    let choice = choose_upstream(gateway, call, service, &excluded, may_hand_over);
    let choice = tokio::select! {
        biased;
        choice = choice => choice,
        () = gateway.contact.cut_off(), if may_hand_over => return TryEnd::NoContact,
    };
    let chosen = match choice {
        Ok(chosen) => chosen,
        Err(end) => return end,
    };
    if !permit.is_valid(call) {
        let unused = chosen.upstream;
        unused.client.release(unused.connection);
        return TryEnd::Unsent;
    }
    let id = Arc::clone(&chosen.upstream.upstream.report.id);
    attempt
        .attempts()
        .update_history(|history| history.tried.push(id));
    let sent = send(gateway, call, chosen, attempt).await;
    drop(permit);
    let is_sent = !matches!(sent, SendOutcome::Unsent);
    attempt.attempts().update_history(|history| {
        history.sends += usize::from(is_sent);
        history.may_have_run |= may_have_run(call, &sent);
    });
    match sent {
        SendOutcome::Answered(response) => {
            let is_final = !call.route.is_idempotent || !response.status.is_server_error();
            let outcome = Outcome::Answered(response);
            if is_final {
                return AttemptEnd::Final(outcome).into();
            }
            AttemptEnd::Ended(outcome).into()
        }
        SendOutcome::Unsent => TryEnd::Unsent,
        SendOutcome::NotRun => {
            AttemptEnd::Ended(not_run(gateway, call, service, attempt.attempts())).into()
        }
        SendOutcome::Failed(reason) => AttemptEnd::Ended(Outcome::gateway_error(reason)).into(),
    }
}

/// Whether a send that did not end the request may have run it.
fn may_have_run(call: &Call, sent: &SendOutcome) -> bool {
    match sent {
        SendOutcome::Answered(response) => {
            call.route.is_idempotent && response.status.is_server_error()
        }
        SendOutcome::Failed(_) => true,
        SendOutcome::Unsent | SendOutcome::NotRun => false,
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

fn has_unsent_left(attempts: &Attempts) -> bool {
    let history = attempts.history();
    history.tried.len().saturating_sub(history.sends) < MAX_UNSENT
}

fn not_run<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    service: &str,
    attempts: &Attempts,
) -> Outcome {
    let return_ms = unwanted::return_ms(gateway, service);
    let return_ms = return_ms.unwrap_or_else(|| retry_after_ms(gateway, call));
    let refusal = Outcome::refused(Reason::Refused, return_ms);
    attempts.history().correct_refusal(refusal)
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
    attempts: &Attempts,
) -> bool {
    has_attempts_left(call, attempts) && gateway.try_acquire_retry(service)
}

fn has_attempts_left(call: &Call, attempts: &Attempts) -> bool {
    let most = usize::try_from(call.route.attempts).unwrap_or(usize::MAX);
    attempts.sends() < most && call.left_ms() > 0
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
) -> Result<Chosen<P>, TryEnd> {
    let began_ms = gateway.now_ms();
    let pending = pending_request(gateway, call);
    if let Some(chosen) = choose_new(gateway, call, service, excluded, pending).await {
        return Ok(chosen);
    }
    loop {
        if call.left_ms() == 0 {
            let refusal = Outcome::refused(Reason::LateUnsent, LATE_RETRY_AFTER_MS);
            return Err(AttemptEnd::Refused(refusal).into());
        }
        if let Some(refusal) = unwanted::refuse(gateway, call, service) {
            return Err(AttemptEnd::Refused(refusal).into());
        }
        if let Some(chosen) = limited_choice::choose(gateway, call, service, excluded, false).await
        {
            return Ok(chosen);
        }
        let (mut probed, candidates) =
            probe_candidates(gateway, call, service, excluded, may_hand_over).await;
        if may_hand_over
            && probed.is_empty()
            && has_no_contact(gateway, service, began_ms, candidates).await
        {
            return Err(TryEnd::NoContact);
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
            return Err(AttemptEnd::Refused(refusal).into());
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
                return Err(AttemptEnd::Refused(refusal).into());
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

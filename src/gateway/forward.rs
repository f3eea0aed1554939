//! Forwards a request to the upstream that is expected to answer first.
//!
//! Just before sending, the gateway probes the load of a few upstreams, each on
//! the connection that the request would use. The reading is thus fresh, the
//! connection works, and the upstream at the address is the expected one.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::calls::Call;
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

/// Upstreams that a request may find gone, after their probes, before it is refused.
const MAX_UNSENT: usize = 8;

/// Earlier attempts to send a request.
#[derive(Debug, Default)]
struct AttemptHistory {
    tried: Vec<Arc<str>>,
    sends: usize,
    may_have_run: bool,
}

/// Forwards a request and returns the final response.
///
/// A request that may have run is sent again only if its route is idempotent.
/// Retries stay within the route's attempts and the service's retry budget. A request
/// under which upstreams ended runs only with a permit, and finally not at all.
pub async fn forward<P: Platform>(gateway: &Arc<Gateway<P>>, call: &Call) -> Outcome {
    let Some(service) = gateway.pick_service(&call.route) else {
        return Outcome::refused(Reason::NoUpstream, call.left_ms() / 4);
    };
    gateway.on_request(&service);
    let mut history = AttemptHistory::default();
    let mut last_response: Option<Outcome> = None;
    loop {
        let permit = match run_permit::acquire(gateway, call).await {
            Ok(permit) => permit,
            Err(denial) => return history.correct_refusal(denied(gateway, call, denial)),
        };
        let chosen = match choose_upstream(gateway, call, &service, &history).await {
            Ok(chosen) => chosen,
            Err(refusal) => {
                return last_response.unwrap_or_else(|| history.correct_refusal(refusal));
            }
        };
        if !permit.is_valid(call) {
            let unused = chosen.upstream;
            unused.client.release(unused.connection);
            continue;
        }
        let id = &chosen.upstream.upstream.report.id;
        history.tried.push(Arc::clone(id));
        let sent = send(gateway, call, chosen).await;
        drop(permit);
        let is_unsent = matches!(sent, SendOutcome::Unsent);
        history.sends += usize::from(!is_unsent);
        let outcome = match sent {
            SendOutcome::Answered(response) => {
                let is_final = !call.route.is_idempotent || !response.status.is_server_error();
                if is_final {
                    return Outcome::Answered(response);
                }
                history.may_have_run = true;
                Outcome::Answered(response)
            }
            SendOutcome::Unsent | SendOutcome::NotRun => history.correct_refusal(Outcome::refused(
                Reason::Refused,
                unwanted::return_ms(gateway, &service)
                    .unwrap_or_else(|| retry_after_ms(gateway, call)),
            )),
            SendOutcome::Failed(reason) => {
                history.may_have_run = true;
                Outcome::gateway_error(reason)
            }
        };
        if is_unsent && history.tried.len() - history.sends < MAX_UNSENT {
            continue;
        }
        let may_retry = call.route.is_idempotent || !history.may_have_run;
        if !may_retry || !take_retry(gateway, call, &service, &history) {
            return outcome;
        }
        gateway.metrics.retries.inc();
        last_response = matches!(outcome, Outcome::Answered(_)).then_some(outcome);
    }
}

impl AttemptHistory {
    /// Replaces a refusal, which tells the caller that the request did not run,
    /// once an earlier attempt may have run it.
    fn correct_refusal(&self, refusal: Outcome) -> Outcome {
        if !self.may_have_run {
            return refusal;
        }
        match refusal {
            Outcome::GatewayError {
                reason: Reason::LateUnsent,
                ..
            } => Outcome::gateway_error(Reason::Late),
            Outcome::GatewayError {
                reason: Reason::CrashesUpstreams,
                retry_after,
            } => Outcome::GatewayError {
                reason: Reason::UpstreamFailed,
                retry_after,
            },
            _ => Outcome::gateway_error(Reason::UpstreamFailed),
        }
    }
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
/// Returns a refusal if no upstream has room in time.
async fn choose_upstream<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    history: &AttemptHistory,
) -> Result<Chosen<P>, Outcome> {
    loop {
        if call.left_ms() == 0 {
            return Err(Outcome::refused(Reason::LateUnsent, LATE_RETRY_AFTER_MS));
        }
        if let Some(refusal) = unwanted::refuse(gateway, call, service) {
            return Err(refusal);
        }
        let tried = &history.tried;
        if let Some(chosen) = limited_choice::choose(gateway, call, service, tried, false).await {
            return Ok(chosen);
        }
        let (mut probed, candidates) = probe_candidates(gateway, call, service, tried).await;
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
            && let Some(chosen) = limited_choice::choose(gateway, call, service, tried, true).await
        {
            if let Some(best) = best {
                best.client.release(best.connection);
            }
            return Ok(chosen);
        }
        if candidates == 0
            && let Some(refusal) = limited_choice::refuse(gateway, call, service, tried)
        {
            return Err(refusal);
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
                return Err(Outcome::refused(reason, retry_after_ms));
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

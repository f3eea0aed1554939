//! Brings a request to the upstream that answers it soonest.
//!
//! A few upstreams are asked for their load at the moment of sending, each on
//! the connection that the request would take. So the reading is fresh, the
//! connection is known to work, and the upstream is the expected one.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::calls::Call;
use super::outcome::{Outcome, Reason};
use super::probing::{Probed, describe, probe_some, take_best};
use super::sending::{Sent, send};
use super::state::Gateway;
use super::store::Platform;
use crate::decision::admission::{Admission, PROBE_AGAIN_PAUSE_MS, PendingRequest};

/// What has been tried for a request.
#[derive(Debug, Default)]
struct Trail {
    tried: Vec<Arc<str>>,
    may_have_run: bool,
}

/// Brings a request to an upstream and returns the final answer.
pub async fn forward<P: Platform>(gateway: &Arc<Gateway<P>>, call: &Call) -> Outcome {
    let Some(service) = gateway.split(&call.route) else {
        return Outcome::refused(Reason::NoUpstream, call.left_ms() / 4);
    };
    gateway.on_request(&service);
    let mut trail = Trail::default();
    let mut kept: Option<Outcome> = None;
    loop {
        let chosen = match choose(gateway, call, &service, &trail).await {
            Ok(chosen) => chosen,
            Err(refusal) => return kept.unwrap_or_else(|| trail.outcome(refusal)),
        };
        trail.tried.push(Arc::clone(&chosen.upstream.report.id));
        let sent = send(gateway, call, chosen).await;
        let outcome = match sent {
            Sent::Answered(answer) => {
                let is_final = !call.route.is_idempotent || !answer.status.is_server_error();
                if is_final {
                    return Outcome::Answered(answer);
                }
                trail.may_have_run = true;
                Outcome::Answered(answer)
            }
            Sent::NotRun => {
                trail.outcome(Outcome::refused(Reason::Refused, return_ms(gateway, call)))
            }
            Sent::Failed(reason) => {
                trail.may_have_run = true;
                Outcome::own(reason)
            }
        };
        let may_repeat = call.route.is_idempotent || !trail.may_have_run;
        if !may_repeat || !has_attempt(gateway, call, &service, &trail) {
            return outcome;
        }
        gateway.meters.repeats.inc();
        kept = matches!(outcome, Outcome::Answered(_)).then_some(outcome);
    }
}

impl Trail {
    /// Says "not run" only of what has not run.
    fn outcome(&self, refusal: Outcome) -> Outcome {
        if !self.may_have_run {
            return refusal;
        }
        match refusal {
            Outcome::Own {
                reason: Reason::LateUnsent,
                ..
            } => Outcome::own(Reason::Late),
            _ => Outcome::own(Reason::UpstreamFailed),
        }
    }
}

fn has_attempt<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    service: &Arc<str>,
    trail: &Trail,
) -> bool {
    let attempts = usize::try_from(call.route.attempts).unwrap_or(usize::MAX);
    trail.tried.len() < attempts && call.left_ms() > 0 && gateway.take_repeat(service)
}

fn return_ms<P: Platform>(gateway: &Gateway<P>, call: &Call) -> u64 {
    search(gateway, call).retry_after_ms()
}

fn search<P: Platform>(gateway: &Gateway<P>, call: &Call) -> PendingRequest {
    PendingRequest {
        priority: call.route.priority,
        held_ms: call.held_ms(),
        objective_ms: call.route.objective_ms,
        left_ms: call.left_ms(),
        work_ms: gateway.means(&call.route).work_ms,
    }
}

/// Looks for the upstream that will answer soonest.
async fn choose<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    trail: &Trail,
) -> Result<Probed, Outcome> {
    loop {
        if call.left_ms() == 0 {
            return Err(Outcome::own(Reason::LateUnsent));
        }
        let (mut probed, candidates) = probe_some(gateway, call, service, &trail.tried).await;
        let best = take_best(gateway, service, &mut probed);
        for other in probed {
            other.link.give_back(other.connection);
        }
        let search = search(gateway, call);
        let load = best.as_ref().and_then(|best| best.reading.load);
        // An upstream that tells no load is taken as it is.
        let is_untold = best.is_some() && load.is_none();
        let admission = if is_untold {
            Admission::Send
        } else {
            search.decide(load.as_ref())
        };
        match (admission, best) {
            (Admission::Send, Some(best)) => return Ok(best),
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
                    best.link.give_back(best.connection);
                }
                let reason = if gateway.upstreams(service).is_empty() {
                    Reason::NoUpstream
                } else {
                    Reason::NoRoom
                };
                return Err(Outcome::refused(reason, retry_after_ms));
            }
            (_, best) => {
                if let Some(best) = best {
                    best.link.give_back(best.connection);
                }
                sleep(Duration::from_millis(PROBE_AGAIN_PAUSE_MS)).await;
            }
        }
    }
}

fn log_refusal<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    service: &str,
    best: Option<&Probed>,
    candidates: usize,
    return_ms: u64,
) {
    if !gateway.lines.take() {
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
        work_ms = gateway.means(&call.route).work_ms,
        return_ms,
        "no room in time; refusing"
    );
}

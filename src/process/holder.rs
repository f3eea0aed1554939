//! Runs calls in the pools that this instance holds.

mod takeover;

use std::sync::Arc;
use std::time::Duration;

use kameo::prelude::*;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout_at};

use super::clock::deadline_in_us;
use super::decisions::DecisionKind;
use super::node::Node;
use super::pool::RefuseReason;
use super::pool_actor::{Placement, PoolActor, Slot, Submit, Withdraw};
use super::queue::QueuedCall;
use crate::connection::upstream::{AttemptEnd, AttemptLimits};
use crate::connection::wire::{RunRequest, RunResponse};
use crate::request::attempt::{Attempt, Unsent};
use crate::request::call::Call;
use crate::request::context::Context;
use crate::request::outcome::{NotRunReason, Outcome};
use takeover::open_held_pool;
pub use takeover::{release_pool, running_calls, start_held_pools};

/// Refusals by upstreams after which a call is given up.
const MAX_REFUSALS: usize = 8;
/// Delay before the next attempt after one upstream refused a call twice in a
/// row; meanwhile another upstream may free a slot.
const REFUSAL_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Time in which an upstream stops a run whose connection was closed.
const CANCEL_GRACE_MS: u64 = 100;

/// Runs a call in a pool that this instance holds.
pub async fn run_in_pool(node: &Arc<Node>, request: &RunRequest) -> RunResponse {
    let deadline = deadline_in_us(request.call.remaining_us);
    if !node.wait_may_send(deadline).await {
        return not_run(NotRunReason::Isolated, super::fence::ISOLATION_TIMEOUT_MS);
    }
    let Some(pool) = open_held_pool(node, &request.pool).await else {
        return not_holder();
    };
    let mut attempt = Attempt::new(Arc::clone(&request.call));
    let mut avoid = request.call.avoid.clone();
    let mut refused_by: Option<Arc<str>> = None;
    for _ in 0..MAX_REFUSALS {
        let slot = match obtain_slot(node, &pool, &request.call, avoid.take(), deadline).await {
            Placement::Assigned(slot) => slot,
            Placement::Refused {
                reason: RefuseReason::Moved,
                ..
            } => return not_holder(),
            Placement::Refused {
                reason,
                retry_after_ms,
            } => {
                let no_target: Arc<str> = "".into();
                node.log_decision(
                    DecisionKind::Refuse,
                    &request.call,
                    &no_target,
                    reason.to_string(),
                );
                return not_run(not_run_reason(reason), retry_after_ms);
            }
        };
        // If the process stalled while the call waited, another instance may
        // have taken over the pool, and with it the slot.
        if !node.may_send() {
            drop(slot);
            if !node.wait_may_send(deadline).await {
                return not_run(NotRunReason::Isolated, super::fence::ISOLATION_TIMEOUT_MS);
            }
            continue;
        }
        node.log_decision(
            DecisionKind::Place,
            &request.call,
            &slot.name,
            slot.reason.to_string(),
        );
        let name = Arc::clone(&slot.name);
        let wait_us = slot.wait_us;
        match send_to_upstream(node, request, attempt, slot, deadline).await {
            AttemptEnd::Done(outcome) => return sent_response(outcome, name, wait_us),
            AttemptEnd::Retryable(_, reason) => {
                return sent_response(Outcome::unknown(reason, 0), name, wait_us);
            }
            AttemptEnd::NotStarted(unsent) => {
                attempt = unsent;
                if refused_by.as_ref() == Some(&name) {
                    sleep(REFUSAL_RETRY_DELAY).await;
                }
                refused_by = Some(Arc::clone(&name));
                avoid = Some(name);
            }
        }
    }
    not_run(NotRunReason::Refused, CANCEL_GRACE_MS)
}

async fn send_to_upstream(
    node: &Arc<Node>,
    request: &RunRequest,
    attempt: Attempt<Unsent>,
    mut slot: Slot,
    deadline: Instant,
) -> AttemptEnd {
    let objects = node.objects();
    let Some(service) = objects.services.get(&request.call.service) else {
        return AttemptEnd::Done(attempt.give_up(NotRunReason::NoService, CANCEL_GRACE_MS));
    };
    let limits = AttemptLimits {
        deadline,
        run_deadline: Instant::now() + Duration::from_millis(service.run_limit_ms),
        body_limit_bytes: service.body_limit_bytes,
        needs_new_connection: slot.is_suspect,
    };
    let context = Context {
        organisation: Arc::clone(&request.call.organisation),
        tier: request.call.tier,
        depth: request.call.depth,
    };
    let context = context.sign(&node.config.context_secret);
    let upstreams = &node.upstreams;
    slot.mark_sent();
    let report = upstreams
        .run(&slot.name, slot.address, attempt, &context, limits)
        .await;
    tracing::debug!(target: "upstream", upstream = %slot.name, signal = %report.signal);
    slot.finish(report.signal);
    report.end
}

async fn obtain_slot(
    node: &Arc<Node>,
    pool: &ActorRef<PoolActor>,
    call: &Call,
    avoid: Option<Arc<str>>,
    deadline: Instant,
) -> Placement {
    let queued = QueuedCall {
        ticket: node.next_ticket(),
        organisation: Arc::clone(&call.organisation),
        tier: call.tier,
        deadline_us: node.clock.us_at(deadline),
        arrived_us: node.clock.now_us(),
        avoid: None,
        fingerprint: call.fingerprint(),
    };
    let (reply, mut receiver) = oneshot::channel();
    let submit = Submit {
        call: queued.clone(),
        avoid,
        reply,
    };
    let pool_closed = Placement::Refused {
        reason: RefuseReason::Moved,
        retry_after_ms: CANCEL_GRACE_MS,
    };
    if pool.tell(submit).try_send().is_err() {
        return pool_closed;
    }
    let guard = WithdrawOnDrop {
        pool: pool.clone(),
        call: Some(queued),
    };
    let Ok(placement) = timeout_at(deadline, &mut receiver).await else {
        guard.withdraw();
        // The pool replies that the call was removed, or that it was assigned
        // a slot in the meantime.
        return receiver.await.unwrap_or(pool_closed);
    };
    guard.disarm();
    placement.unwrap_or(pool_closed)
}

/// Removes a call from its queue when the future that waits for it is dropped,
/// for example because the caller disconnected.
struct WithdrawOnDrop {
    pool: ActorRef<PoolActor>,
    call: Option<QueuedCall>,
}

impl WithdrawOnDrop {
    fn withdraw(self) {
        drop(self);
    }

    fn disarm(mut self) {
        self.call = None;
    }
}

impl Drop for WithdrawOnDrop {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            let _ = self.pool.tell(Withdraw(call)).try_send();
        }
    }
}

fn not_run_reason(reason: RefuseReason) -> NotRunReason {
    match reason {
        RefuseReason::Overloaded => NotRunReason::Overloaded,
        RefuseReason::DeadlinePassed => NotRunReason::DeadlinePassed,
        RefuseReason::NoUpstream => NotRunReason::NoUpstream,
        RefuseReason::Poison => NotRunReason::Poison,
        RefuseReason::Moved => NotRunReason::NoHolder,
    }
}

fn sent_response(outcome: Outcome, upstream: Arc<str>, wait_us: u64) -> RunResponse {
    RunResponse {
        outcome,
        upstream: Some(upstream),
        wait_us,
        is_not_holder: false,
    }
}

fn not_run(reason: NotRunReason, retry_after_ms: u64) -> RunResponse {
    RunResponse {
        outcome: Outcome::not_run(reason, retry_after_ms),
        upstream: None,
        wait_us: retry_after_ms * 1000,
        is_not_holder: false,
    }
}

fn not_holder() -> RunResponse {
    RunResponse {
        is_not_holder: true,
        ..not_run(NotRunReason::NoHolder, CANCEL_GRACE_MS)
    }
}

//! Runs calls in the pools that this instance holds, and takes pools over.

use std::sync::Arc;
use std::time::Duration;

use kameo::prelude::*;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout_at};

use super::choice::PoolName;
use super::clock::deadline_in_us;
use super::decisions::Kind;
use super::members::Member;
use super::metrics::Counter;
use super::node::Node;
use super::pool::{Inherited, RefuseReason};
use super::pool_actor::{
    Inherit, Placed, PoolActor, Release, Reopen, Running, Slot, Submit, Withdraw,
};
use super::queue::Waiting;
use crate::connection::peer::PeerError;
use crate::connection::upstream::{AttemptLimits, End};
use crate::connection::wire::{Ran, Released, Run};
use crate::request::attempt::{Attempt, Held};
use crate::request::call::Call;
use crate::request::context::Context;
use crate::request::outcome::{NotRunReason, Outcome};

/// Upstreams that one call may be refused by before it is given up.
const REFUSALS_MAX: usize = 3;
/// Time in which an upstream drops a run whose connection was closed.
const CANCEL_GRACE_MS: u64 = 100;
/// Time in which a predecessor must give a pool up.
const RELEASE_LIMIT: Duration = Duration::from_millis(250);
/// Interval between questions to a predecessor that still runs calls.
const RELEASE_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a call in a pool of this instance.
pub async fn run_here(node: &Arc<Node>, run: &Run) -> Ran {
    if !node.may_send() {
        return not_run(NotRunReason::Isolated, super::fence::ISOLATION_MS);
    }
    let Some(pool) = held_pool(node, &run.pool).await else {
        return elsewhere();
    };
    let deadline = deadline_in_us(run.call.remaining_us);
    let mut attempt = Attempt::new(Arc::clone(&run.call));
    let mut avoid = run.call.avoid.clone();
    for _ in 0..REFUSALS_MAX {
        let slot = match obtain_slot(node, &pool, &run.call, avoid.take(), deadline).await {
            Placed::Send(slot) => slot,
            Placed::Refused {
                reason: RefuseReason::Moved,
                ..
            } => return elsewhere(),
            Placed::Refused {
                reason,
                retry_after_ms,
            } => {
                let nowhere: Arc<str> = "".into();
                node.note(Kind::Refuse, &run.call, &nowhere, reason.to_string());
                return not_run(to_not_run(reason), retry_after_ms);
            }
        };
        // The process may have been frozen while the call waited.
        if !node.may_send() {
            return not_run(NotRunReason::Isolated, super::fence::ISOLATION_MS);
        }
        node.note(Kind::Place, &run.call, &slot.name, slot.reason.to_string());
        let name = Arc::clone(&slot.name);
        let wait_us = slot.wait_us;
        match send(node, run, attempt, slot, deadline).await {
            End::Done(outcome) => return ran(outcome, name, wait_us),
            End::Lost(_, reason) => return ran(Outcome::unknown(reason, 0), name, wait_us),
            End::NotStarted(held) => {
                attempt = held;
                avoid = Some(name);
            }
        }
    }
    not_run(NotRunReason::Refused, CANCEL_GRACE_MS)
}

async fn send(
    node: &Arc<Node>,
    run: &Run,
    attempt: Attempt<Held>,
    mut slot: Slot,
    deadline: Instant,
) -> End {
    let objects = node.objects();
    let Some(service) = objects.services.get(&run.call.service) else {
        return End::Done(attempt.give_up(NotRunReason::NoService, CANCEL_GRACE_MS));
    };
    let limits = AttemptLimits {
        deadline,
        run_until: Instant::now() + Duration::from_millis(service.run_limit_ms),
        body_limit_bytes: service.body_limit_bytes,
        must_connect: slot.is_suspect,
    };
    let context = Context {
        organisation: Arc::clone(&run.call.organisation),
        tier: run.call.tier,
        depth: run.call.depth,
    };
    let context = context.sign(&node.config.context_secret);
    let upstreams = &node.upstreams;
    slot.begin();
    let report = upstreams
        .run(&slot.name, slot.address, attempt, &context, limits)
        .await;
    tracing::debug!(target: "upstream", upstream = %slot.name, signal = %report.signal);
    slot.end(report.signal);
    report.end
}

async fn obtain_slot(
    node: &Arc<Node>,
    pool: &ActorRef<PoolActor>,
    call: &Call,
    avoid: Option<Arc<str>>,
    deadline: Instant,
) -> Placed {
    let waiting = Waiting {
        ticket: node.next_ticket(),
        organisation: Arc::clone(&call.organisation),
        tier: call.tier,
        deadline_us: node.clock.us_at(deadline),
        arrived_us: node.clock.now_us(),
        avoid: None,
        fingerprint: call.fingerprint(),
    };
    let (reply, mut placed) = oneshot::channel();
    let submit = Submit {
        waiting: waiting.clone(),
        avoid,
        reply,
    };
    let gone = Placed::Refused {
        reason: RefuseReason::Moved,
        retry_after_ms: CANCEL_GRACE_MS,
    };
    if pool.tell(submit).try_send().is_err() {
        return gone;
    }
    let guard = WithdrawOnDrop {
        pool: pool.clone(),
        waiting: Some(waiting),
    };
    let Ok(answer) = timeout_at(deadline, &mut placed).await else {
        guard.withdraw();
        // The pool confirms that it has given the call up, or has sent it.
        return placed.await.unwrap_or(gone);
    };
    guard.keep();
    answer.unwrap_or(gone)
}

/// Takes a call out of its queue when its caller goes away.
struct WithdrawOnDrop {
    pool: ActorRef<PoolActor>,
    waiting: Option<Waiting>,
}

impl WithdrawOnDrop {
    fn withdraw(self) {
        drop(self);
    }

    fn keep(mut self) {
        self.waiting = None;
    }
}

impl Drop for WithdrawOnDrop {
    fn drop(&mut self) {
        if let Some(waiting) = self.waiting.take() {
            let _ = self.pool.tell(Withdraw(waiting)).try_send();
        }
    }
}

/// The actor of a pool that this instance holds by its view.
async fn held_pool(node: &Arc<Node>, name: &PoolName) -> Option<ActorRef<PoolActor>> {
    if !is_holder(node, name) {
        return None;
    }
    let (actor, is_new) = node.start_pool(name)?;
    let was_closed = !is_new && actor.ask(Reopen).await.unwrap_or(false);
    if is_new || was_closed {
        begin_take_over(node, name, &actor);
    }
    Some(actor)
}

/// Starts every pool that this instance holds by its view.
pub async fn start_held_pools(node: &Arc<Node>) {
    if !node.is_joined() {
        return;
    }
    let objects = node.objects();
    for service in objects.services.values() {
        for data_centre in &service.data_centres {
            let name = PoolName {
                service: Arc::clone(&service.name),
                data_centre: Arc::clone(data_centre),
            };
            held_pool(node, &name).await;
        }
    }
}

fn is_holder(node: &Node, name: &PoolName) -> bool {
    let view = node.view();
    let holder = view.holder(&name.service, &name.data_centre);
    holder.is_some_and(|holder| **holder == *node.me)
}

/// Counts the slots as busy, then asks who held the pool before.
fn begin_take_over(node: &Arc<Node>, name: &PoolName, actor: &ActorRef<PoolActor>) {
    node.metrics.count(Counter::Takeovers);
    let run_limit_ms = node
        .objects()
        .services
        .get(&name.service)
        .map_or(0, |service| service.run_limit_ms);
    inherit_all(node, actor, run_limit_ms.max(CANCEL_GRACE_MS));
    let node = Arc::clone(node);
    let name = name.clone();
    let actor = actor.clone();
    tokio::spawn(async move { take_over(&node, &name, &actor).await });
}

fn inherit_all(node: &Node, actor: &ActorRef<PoolActor>, busy_ms: u64) {
    let inherited = Inherited {
        upstream: None,
        calls: None,
        is_warm: false,
        until_us: node.clock.now_us() + busy_ms * 1000,
    };
    let _ = actor.tell(Inherit(inherited)).try_send();
}

async fn take_over(node: &Arc<Node>, name: &PoolName, actor: &ActorRef<PoolActor>) {
    let mut is_certain = true;
    let mut released = None;
    for member in predecessors(node, name) {
        match ask_release(node, name, &member).await {
            Ok(answer) if answer.upstreams.is_empty() => {}
            Ok(answer) => released = Some((member, answer)),
            Err(error) if error.is_refused() => node.verify(&member, &error).await,
            Err(error) => {
                tracing::info!(target: "placement", pool = ?name, %error, "no release");
                node.verify(&member, &error).await;
                // A process that has ended runs nothing; a silent one may.
                is_certain &= node.members().is_dead(&member);
            }
        }
    }
    if !is_certain {
        return;
    }
    match released {
        Some((member, answer)) => follow_release(node, name, actor, &member, answer).await,
        None => inherit_all(node, actor, CANCEL_GRACE_MS),
    }
    tracing::info!(target: "placement", pool = ?name, "took the pool over");
}

/// Follows the calls of a predecessor until none is left.
async fn follow_release(
    node: &Arc<Node>,
    name: &PoolName,
    actor: &ActorRef<PoolActor>,
    member: &Arc<Member>,
    mut answer: Released,
) {
    let run_limit_ms = node
        .objects()
        .services
        .get(&name.service)
        .map_or(0, |service| service.run_limit_ms);
    let until_us = node.clock.now_us() + run_limit_ms * 1000;
    inherit_all(node, actor, 0);
    loop {
        let mut running = 0;
        for upstream in &answer.upstreams {
            running += upstream.in_flight;
            let inherited = Inherited {
                upstream: Some(Arc::clone(&upstream.name)),
                calls: Some(upstream.in_flight),
                is_warm: upstream.is_warm,
                until_us,
            };
            let _ = actor.tell(Inherit(inherited)).try_send();
        }
        let is_over = running == 0 || node.clock.now_us() >= until_us;
        if is_over || !is_holder(node, name) {
            return;
        }
        sleep(RELEASE_INTERVAL).await;
        match ask_running(node, name, member).await {
            Ok(next) => answer = next,
            Err(_) => return,
        }
    }
}

async fn ask_release(node: &Node, name: &PoolName, member: &Member) -> Result<Released, PeerError> {
    let deadline = Instant::now() + RELEASE_LIMIT;
    let name = name.clone();
    node.peers
        .call(member.address, deadline, |client, context| async move {
            client.release(context, name).await
        })
        .await
}

async fn ask_running(node: &Node, name: &PoolName, member: &Member) -> Result<Released, PeerError> {
    let deadline = Instant::now() + RELEASE_LIMIT;
    let name = name.clone();
    node.peers
        .call(member.address, deadline, |client, context| async move {
            client.running(context, name).await
        })
        .await
}

/// Who may have held the pool by a recent view.
fn predecessors(node: &Node, name: &PoolName) -> Vec<Arc<Member>> {
    let now_ms = node.clock.now_ms();
    let views = node.members().recent_views(now_ms);
    let mut found: Vec<Arc<Member>> = Vec::new();
    for view in views {
        let others = view.without(&node.me);
        let candidates = [
            view.holder(&name.service, &name.data_centre),
            others.holder(&name.service, &name.data_centre),
        ];
        for candidate in candidates.into_iter().flatten() {
            if **candidate != *node.me && !found.contains(candidate) {
                found.push(Arc::clone(candidate));
            }
        }
    }
    found
}

/// Gives a pool of this instance up.
pub async fn release(node: &Arc<Node>, name: &PoolName) -> Released {
    let Some(actor) = node.pool(name) else {
        return Released {
            upstreams: Vec::new(),
        };
    };
    let upstreams = actor.ask(Release).await.unwrap_or_default();
    Released { upstreams }
}

/// Tells what still runs in a pool of this instance.
pub async fn running(node: &Arc<Node>, name: &PoolName) -> Released {
    let Some(actor) = node.pool(name) else {
        return Released {
            upstreams: Vec::new(),
        };
    };
    let upstreams = actor.ask(Running).await.unwrap_or_default();
    Released { upstreams }
}

fn to_not_run(reason: RefuseReason) -> NotRunReason {
    match reason {
        RefuseReason::Overloaded => NotRunReason::Overloaded,
        RefuseReason::DeadlinePassed => NotRunReason::DeadlinePassed,
        RefuseReason::NoUpstream => NotRunReason::NoUpstream,
        RefuseReason::Poison => NotRunReason::Poison,
        RefuseReason::Moved => NotRunReason::NoHolder,
    }
}

fn ran(outcome: Outcome, upstream: Arc<str>, wait_us: u64) -> Ran {
    Ran {
        outcome,
        upstream: Some(upstream),
        wait_us,
        is_elsewhere: false,
    }
}

fn not_run(reason: NotRunReason, retry_after_ms: u64) -> Ran {
    Ran {
        outcome: Outcome::not_run(reason, retry_after_ms),
        upstream: None,
        wait_us: retry_after_ms * 1000,
        is_elsewhere: false,
    }
}

fn elsewhere() -> Ran {
    Ran {
        is_elsewhere: true,
        ..not_run(NotRunReason::NoHolder, CANCEL_GRACE_MS)
    }
}

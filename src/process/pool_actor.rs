//! The actor that owns a pool and executes its decisions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use kameo::prelude::*;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use super::metrics::{Counter, Timer};
use super::node::Node;
use super::poison::ResetCount;
use super::pool::{
    Decision, EndedCall, Event, InheritedCalls, ListedUpstream, Pool, RefuseReason, SendReason,
    UpstreamSummary,
};
use super::pool_choice::PoolName;
use super::queue::{QueuedCall, Ticket};
use crate::connection::wire::ReleasedUpstream;
use crate::version::objects::Service;

/// Interval between ticks of a pool that is not idle.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Reset counts that a pool reports to the process at a time.
const MAX_RESET_COUNTS_SENT: usize = 64;

/// Decision of a pool on a call.
#[derive(Debug)]
pub enum Placement {
    /// The call may be sent to the upstream of this slot.
    Assigned(Slot),
    /// The call is refused; it has not run.
    Refused {
        /// Why the pool refused it.
        reason: RefuseReason,
        /// Delay after which the caller may retry.
        retry_after_ms: u64,
    },
}

/// A slot of an upstream, occupied until this value is dropped or finished.
#[derive(Debug)]
pub struct Slot {
    /// Name of the upstream.
    pub name: Arc<str>,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Why the pool chose this upstream.
    pub reason: SendReason,
    /// Whether a run of the same request ended in a connection reset before. It
    /// then needs a new connection, so that an idle connection which the
    /// upstream had closed does not count as a reset by the request.
    pub is_suspect: bool,
    /// Expected wait of a new call of the same tier and organisation.
    pub wait_us: u64,
    ended: EndedCall,
    assigned_at: Instant,
    pool: ActorRef<PoolActor>,
}

impl Slot {
    /// Marks the call as sent: if the slot is dropped from now on, the call
    /// counts as cancelled and may still run.
    pub fn mark_sent(&mut self) {
        self.ended.signal = Some(super::lifecycle::Signal::Cancelled);
    }

    /// Frees the slot and reports how the call ended.
    pub fn finish(mut self, signal: super::lifecycle::Signal) {
        self.ended.signal = Some(signal);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let elapsed = self.assigned_at.elapsed().as_micros();
        self.ended.took_us = u64::try_from(elapsed).unwrap_or(u64::MAX);
        // The mailbox is unbounded, so this fails only if the actor has ended.
        let _ = self.pool.tell(CallEnded(self.ended)).try_send();
    }
}

/// Actor that owns one pool.
#[derive(Debug)]
pub struct PoolActor {
    name: PoolName,
    pool: Pool,
    node: Weak<Node>,
    replies: HashMap<Ticket, oneshot::Sender<Placement>>,
    decisions: Vec<Decision>,
    is_tick_scheduled: bool,
}

/// Arguments to start a [`PoolActor`].
#[derive(Debug)]
pub struct PoolActorArgs {
    /// Name of the pool.
    pub name: PoolName,
    /// The service's settings.
    pub service: Arc<Service>,
    /// Shared state of the process; weak, because it owns the actor.
    pub node: Weak<Node>,
}

impl Actor for PoolActor {
    type Args = PoolActorArgs;
    type Error = std::convert::Infallible;

    async fn on_start(args: PoolActorArgs, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        let now_us = args.node.upgrade().map_or(0, |node| node.clock.now_us());
        Ok(Self {
            pool: Pool::new(args.service, now_us),
            name: args.name,
            node: args.node,
            replies: HashMap::new(),
            decisions: Vec::new(),
            is_tick_scheduled: false,
        })
    }
}

impl PoolActor {
    fn handle_event(&mut self, event: Event, actor: &ActorRef<Self>) {
        let Some(node) = self.node.upgrade() else {
            return;
        };
        let now_us = node.clock.now_us();
        self.pool.handle(now_us, event, &mut self.decisions);
        self.apply_decisions(&node, actor);
        self.schedule_tick(actor);
    }

    /// Schedules the next tick unless one is scheduled already.
    fn schedule_tick(&mut self, actor: &ActorRef<Self>) {
        if self.is_tick_scheduled {
            return;
        }
        self.is_tick_scheduled = true;
        let weak = actor.downgrade();
        tokio::spawn(async move {
            sleep(TICK_INTERVAL).await;
            if let Some(actor) = weak.upgrade() {
                let _ = actor.tell(Tick).try_send();
            }
        });
    }

    fn apply_decisions(&mut self, node: &Arc<Node>, actor: &ActorRef<Self>) {
        let mut decisions = std::mem::take(&mut self.decisions);
        for decision in decisions.drain(..) {
            match decision {
                Decision::Send {
                    call,
                    upstream,
                    reason,
                    is_suspect,
                } => {
                    let slot = self.new_slot(actor, &call, upstream, reason, is_suspect);
                    self.send(node, &call, slot);
                }
                Decision::Refuse {
                    call,
                    reason,
                    retry_after_ms,
                } => self.refuse(node, &call, reason, retry_after_ms),
                Decision::Probe { upstream } => self.probe(node, actor, upstream),
            }
        }
        // Reuses the allocation for the next event.
        self.decisions = decisions;
    }

    fn new_slot(
        &self,
        actor: &ActorRef<Self>,
        call: &QueuedCall,
        upstream: usize,
        reason: SendReason,
        is_suspect: bool,
    ) -> Slot {
        let (name, address) = self.pool.upstream(upstream);
        Slot {
            name: Arc::clone(name),
            address,
            reason,
            is_suspect,
            wait_us: self.pool.expected_wait_us(call.tier, &call.organisation),
            ended: EndedCall {
                upstream,
                signal: None,
                took_us: 0,
                tier: call.tier,
                fingerprint: call.fingerprint,
            },
            assigned_at: Instant::now(),
            pool: actor.clone(),
        }
    }

    fn send(&mut self, node: &Node, call: &QueuedCall, slot: Slot) {
        let queued_us = node.clock.now_us().saturating_sub(call.arrived_us);
        node.metrics.record_time(Timer::QueueUs, queued_us);
        node.metrics.count(Counter::Sends);
        if let Some(reply) = self.replies.remove(&call.ticket) {
            // If the receiver is gone, the slot is dropped and thereby freed.
            let _ = reply.send(Placement::Assigned(slot));
        }
    }

    fn refuse(
        &mut self,
        node: &Node,
        call: &QueuedCall,
        reason: RefuseReason,
        retry_after_ms: u64,
    ) {
        node.metrics.count(Counter::Refusals);
        if let Some(reply) = self.replies.remove(&call.ticket) {
            let _ = reply.send(Placement::Refused {
                reason,
                retry_after_ms,
            });
        }
    }

    fn released_upstreams(&self) -> Vec<ReleasedUpstream> {
        let mut upstreams = Vec::new();
        for summary in self.pool.summaries() {
            upstreams.push(ReleasedUpstream {
                name: summary.name,
                in_flight: summary.in_flight,
                is_warm: summary.state.is_warm(),
            });
        }
        upstreams
    }

    fn probe(&self, node: &Arc<Node>, actor: &ActorRef<Self>, upstream: usize) {
        node.metrics.count(Counter::Probes);
        let (_, address) = self.pool.upstream(upstream);
        let node = Arc::clone(node);
        let actor = actor.clone();
        let service = Arc::clone(&self.name.service);
        tokio::spawn(async move {
            let objects = node.objects();
            let Some(service) = objects.services.get(&service) else {
                return;
            };
            let deadline = Instant::now() + Duration::from_millis(service.run_limit_ms);
            let path = Arc::clone(&service.health_path);
            let is_healthy = node.upstreams.probe(address, &path, deadline).await;
            let _ = actor
                .tell(Probed {
                    upstream,
                    is_healthy,
                })
                .try_send();
        });
    }
}

/// Queues a call until it is assigned a slot or refused.
#[derive(Debug)]
pub struct Submit {
    /// The call.
    pub call: QueuedCall,
    /// Upstream of an earlier attempt, to be avoided if there is another.
    pub avoid: Option<Arc<str>>,
    /// Receives the decision.
    pub reply: oneshot::Sender<Placement>,
}

impl Message<Submit> for PoolActor {
    type Reply = ();

    async fn handle(&mut self, message: Submit, context: &mut Context<Self, ()>) {
        let mut call = message.call;
        if let Some(name) = &message.avoid {
            call.avoid = self.pool.index_of(name);
        }
        self.replies.insert(call.ticket, message.reply);
        self.handle_event(Event::Arrived(call), &context.actor_ref().clone());
    }
}

/// Removes a call from the queue because its caller no longer waits.
#[derive(Debug)]
pub struct Withdraw(pub QueuedCall);

impl Message<Withdraw> for PoolActor {
    type Reply = ();

    async fn handle(&mut self, message: Withdraw, context: &mut Context<Self, ()>) {
        self.handle_event(Event::Withdrawn(message.0), &context.actor_ref().clone());
    }
}

struct CallEnded(EndedCall);

impl Message<CallEnded> for PoolActor {
    type Reply = ();

    async fn handle(&mut self, message: CallEnded, context: &mut Context<Self, ()>) {
        let was_reset = message.0.signal == Some(super::lifecycle::Signal::Reset);
        self.handle_event(Event::Ended(message.0), &context.actor_ref().clone());
        if let Some(node) = self.node.upgrade().filter(|_| was_reset) {
            node.on_reset_counts(
                &self
                    .pool
                    .reset_counts(node.clock.now_us(), MAX_RESET_COUNTS_SENT),
            );
        }
    }
}

struct Probed {
    upstream: usize,
    is_healthy: bool,
}

impl Message<Probed> for PoolActor {
    type Reply = ();

    async fn handle(&mut self, message: Probed, context: &mut Context<Self, ()>) {
        let event = Event::Probed {
            upstream: message.upstream,
            is_healthy: message.is_healthy,
        };
        self.handle_event(event, &context.actor_ref().clone());
    }
}

struct Tick;

impl Message<Tick> for PoolActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, ()>) {
        // The flag stays set while the event is handled, so that handling it
        // schedules no second tick.
        self.handle_event(Event::Tick, &context.actor_ref().clone());
        self.is_tick_scheduled = false;
        if !self.pool.is_idle() {
            self.schedule_tick(&context.actor_ref().clone());
        }
    }
}

/// Updates the pool to the current objects and list of upstreams.
#[derive(Debug)]
pub struct Update {
    /// The service's settings.
    pub service: Arc<Service>,
    /// Upstreams of the pool that the list contains.
    pub listed: Vec<ListedUpstream>,
}

impl Message<Update> for PoolActor {
    type Reply = ();

    async fn handle(&mut self, message: Update, context: &mut Context<Self, ()>) {
        self.pool.configure(message.service);
        self.handle_event(Event::Listed(message.listed), &context.actor_ref().clone());
    }
}

/// Reports calls that a previous holder may still run.
#[derive(Debug)]
pub struct Inherit(pub InheritedCalls);

impl Message<Inherit> for PoolActor {
    type Reply = ();

    async fn handle(&mut self, message: Inherit, context: &mut Context<Self, ()>) {
        self.handle_event(Event::Inherited(message.0), &context.actor_ref().clone());
    }
}

/// Merges reset counts from other pools and instances.
#[derive(Debug)]
pub struct MergeResetCounts(pub Vec<ResetCount>);

impl Message<MergeResetCounts> for PoolActor {
    type Reply = ();

    async fn handle(&mut self, message: MergeResetCounts, context: &mut Context<Self, ()>) {
        self.handle_event(Event::ResetCounts(message.0), &context.actor_ref().clone());
    }
}

/// Reopens the pool after a release; replies whether it was closed.
#[derive(Debug)]
pub struct Reopen;

impl Message<Reopen> for PoolActor {
    type Reply = bool;

    async fn handle(&mut self, _: Reopen, _: &mut Context<Self, bool>) -> bool {
        let was_closed = self.pool.is_closed();
        self.pool.reopen();
        was_closed
    }
}

/// Closes the pool because another instance takes it over; replies with the
/// calls that still run.
#[derive(Debug)]
pub struct Release;

impl Message<Release> for PoolActor {
    type Reply = Vec<ReleasedUpstream>;

    async fn handle(
        &mut self,
        _: Release,
        context: &mut Context<Self, Self::Reply>,
    ) -> Vec<ReleasedUpstream> {
        self.pool.close(&mut self.decisions);
        let actor = context.actor_ref().clone();
        if let Some(node) = self.node.upgrade() {
            self.apply_decisions(&node, &actor);
        }
        self.released_upstreams()
    }
}

/// Requests the calls that still run, without closing the pool.
#[derive(Debug)]
pub struct GetRunning;

impl Message<GetRunning> for PoolActor {
    type Reply = Vec<ReleasedUpstream>;

    async fn handle(
        &mut self,
        _: GetRunning,
        _: &mut Context<Self, Self::Reply>,
    ) -> Vec<ReleasedUpstream> {
        self.released_upstreams()
    }
}

/// Summary of a pool for operators and for the planned stop.
#[derive(Debug, Reply)]
pub struct PoolSummary {
    /// State of each upstream.
    pub upstreams: Vec<UpstreamSummary>,
    /// Whether the pool was released to another instance.
    pub is_closed: bool,
}

/// Requests a [`PoolSummary`].
#[derive(Debug)]
pub struct GetSummary;

impl Message<GetSummary> for PoolActor {
    type Reply = PoolSummary;

    async fn handle(&mut self, _: GetSummary, _: &mut Context<Self, PoolSummary>) -> PoolSummary {
        PoolSummary {
            upstreams: self.pool.summaries(),
            is_closed: self.pool.is_closed(),
        }
    }
}

//! Assigns the calls of one service to its upstreams in one data centre.
//!
//! A pool does no I/O: it takes events with the current time and appends
//! decisions for its owner to carry out. One instance holds a pool at a time,
//! so all slots of its upstreams share one queue. `docs/design/placement.md`
//! compares the alternatives.

mod events;
mod upstreams;

use std::net::SocketAddr;
use std::sync::Arc;

use super::lifecycle::Signal;
use super::poison::{PoisonTracker, ResetCount, RunEnd, SUSPECT_RETENTION_US};
use super::queue::{Queue, QueuedCall};
use crate::version::objects::{Service, TierKind};
pub use events::{
    Decision, EndedCall, Event, InheritedCalls, ListedUpstream, RefuseReason, SendReason,
};
use upstreams::UpstreamSet;
pub use upstreams::UpstreamSummary;

/// Mean service time assumed until the first answer arrives.
const INITIAL_SERVICE_US: u64 = 5_000;
/// A new sample has a weight of one in this many in the mean service time.
const MEAN_WINDOW_SAMPLES: u64 = 16;
/// Interval between updates of the state that changes with time alone.
const UPDATE_INTERVAL_US: u64 = 50_000;
/// Interval between trial calls sent to a slow upstream to check whether it
/// has recovered.
const SLOW_CHECK_INTERVAL_US: u64 = 500_000;
/// The same interval for paying calls; longer, so that paying calls do the
/// check only where no trial call does.
const PAYING_SLOW_CHECK_INTERVAL_US: u64 = 5_000_000;
/// Time constant of the moving average of the paying demand.
const DEMAND_TIME_CONSTANT_US: u64 = 500_000;
/// Demand is counted in thousandths of a call.
const MILLI: u64 = 1000;
/// Minimum delay after which a refused caller may retry.
const MIN_RETRY_AFTER_MS: u64 = 20;

/// The upstreams and the queue of one service in one data centre.
#[derive(Debug)]
pub struct Pool {
    upstreams: UpstreamSet,
    queue: Queue,
    /// Calls taken from the queue that may not be sent yet. They return to its
    /// front when a call ends or at the next tick.
    deferred: Vec<QueuedCall>,
    poison: PoisonTracker,
    /// Moving average of the service time.
    mean_us: u64,
    paying_in_flight: usize,
    trial_in_flight: usize,
    paying_demand_milli: u64,
    demand_updated_us: u64,
    updated_us: u64,
    is_closed: bool,
}

impl Pool {
    /// Creates a pool without upstreams; [`Event::Listed`] adds them.
    #[must_use]
    pub fn new(service: Arc<Service>, now_us: u64) -> Self {
        Self {
            upstreams: UpstreamSet::new(service),
            queue: Queue::default(),
            deferred: Vec::new(),
            poison: PoisonTracker::default(),
            mean_us: INITIAL_SERVICE_US,
            paying_in_flight: 0,
            trial_in_flight: 0,
            paying_demand_milli: 0,
            demand_updated_us: now_us,
            updated_us: now_us,
            is_closed: false,
        }
    }

    /// Handles an event and appends the resulting decisions.
    pub fn handle(&mut self, now_us: u64, event: Event, decisions: &mut Vec<Decision>) {
        self.update_paying_demand(now_us);
        match event {
            Event::Arrived(call) => self.on_arrived(now_us, call, decisions),
            Event::Withdrawn(call) => self.on_withdrawn(call, decisions),
            Event::Ended(ended) => self.on_ended(now_us, ended),
            Event::Listed(listed) => self.upstreams.on_listed(now_us, listed, self.mean_us),
            Event::Inherited(inherited) => self.upstreams.on_inherited(&inherited),
            Event::Probed {
                upstream,
                is_healthy,
            } => {
                self.upstreams.on_probed(now_us, upstream, is_healthy);
            }
            Event::ResetCounts(reset_counts) => self.on_reset_counts(now_us, &reset_counts),
            Event::Tick => self.requeue_deferred(),
        }
        self.periodic_update(now_us, decisions);
        self.dispatch(now_us, decisions);
    }

    /// Applies the service's settings from a new version of the objects.
    pub fn configure(&mut self, service: Arc<Service>) {
        self.upstreams.configure(service);
    }

    /// Stops sending and refuses all queued calls as moved.
    pub fn close(&mut self, decisions: &mut Vec<Decision>) {
        self.is_closed = true;
        self.requeue_deferred();
        self.refuse_all(RefuseReason::Moved, decisions);
    }

    /// Resumes sending after [`close`](Self::close).
    pub fn reopen(&mut self) {
        self.is_closed = false;
    }

    /// Whether the pool is closed because another instance holds it.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Whether the pool needs no ticks: no call is queued or in flight, and no
    /// upstream's state changes with time alone.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let is_empty = self.queue.is_empty() && self.deferred.is_empty();
        is_empty && self.paying_in_flight + self.trial_in_flight == 0 && self.upstreams.is_settled()
    }

    /// Returns the name and address of the upstream at `index`.
    #[must_use]
    pub fn upstream(&self, index: usize) -> (&Arc<str>, SocketAddr) {
        self.upstreams.name_and_address(index)
    }

    /// Finds the index of the upstream with a name.
    #[must_use]
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.upstreams.index_of(name)
    }

    /// Describes all upstreams except those that left and run no more calls.
    #[must_use]
    pub fn summaries(&self) -> Vec<UpstreamSummary> {
        self.upstreams.summaries()
    }

    /// Returns up to `max_count` reset counts to share with peers.
    #[must_use]
    pub fn reset_counts(&self, now_us: u64, max_count: usize) -> Vec<ResetCount> {
        self.poison.reset_counts(now_us, max_count)
    }

    /// Estimates how long a new call of an organisation would be queued.
    ///
    /// Returns the service's run limit while no fast upstream takes calls.
    #[must_use]
    pub fn expected_wait_us(&self, tier: TierKind, organisation: &str) -> u64 {
        let capacity = self.upstreams.capacity();
        if capacity == 0 {
            return self.upstreams.service().run_limit_ms * 1000;
        }
        let ahead = self.queue.calls_ahead(tier, organisation);
        if ahead == 0 && self.paying_in_flight + self.trial_in_flight < capacity {
            return 0;
        }
        let slots = match tier {
            TierKind::Trial => self.trial_limit(),
            TierKind::Paying => capacity,
        };
        self.mean_us * to_u64(ahead + 1) / to_u64(slots.max(1))
    }

    fn on_arrived(&mut self, now_us: u64, call: QueuedCall, decisions: &mut Vec<Decision>) {
        if self.is_closed {
            decisions.push(refuse(call, RefuseReason::Moved, MIN_RETRY_AFTER_MS));
            return;
        }
        if self.poison.is_poison(call.fingerprint, now_us) {
            decisions.push(refuse_poison(call));
            return;
        }
        if self.upstreams.has_none_available() {
            let reason = RefuseReason::NoUpstream;
            decisions.push(refuse(call, reason, MIN_RETRY_AFTER_MS));
            return;
        }
        let wait_us = self.expected_wait_us(call.tier, &call.organisation);
        if wait_us > 0 && now_us + wait_us + self.mean_us > call.deadline_us {
            let retry_after_ms = (wait_us / 1000).max(MIN_RETRY_AFTER_MS);
            decisions.push(refuse(call, RefuseReason::Overloaded, retry_after_ms));
            return;
        }
        self.queue.push(call);
    }

    fn on_withdrawn(&mut self, call: QueuedCall, decisions: &mut Vec<Decision>) {
        let before = self.deferred.len();
        self.deferred
            .retain(|deferred| deferred.ticket != call.ticket);
        if self.deferred.len() < before || self.queue.withdraw(&call) {
            let retry_after_ms = (self.mean_us / 1000).max(MIN_RETRY_AFTER_MS);
            let reason = RefuseReason::DeadlinePassed;
            decisions.push(refuse(call, reason, retry_after_ms));
        }
    }

    fn on_ended(&mut self, now_us: u64, ended: EndedCall) {
        match ended.tier {
            TierKind::Paying => self.paying_in_flight -= 1,
            TierKind::Trial => self.trial_in_flight -= 1,
        }
        let run_end = match ended.signal {
            Some(Signal::Reset) => RunEnd::Reset(ended.upstream),
            Some(signal) if signal.is_answer() => RunEnd::Answered,
            _ => RunEnd::Other,
        };
        self.poison.on_end(ended.fingerprint, run_end, now_us);
        self.requeue_deferred();
        let Some(signal) = ended.signal else {
            self.upstreams.on_unsent(ended.upstream);
            return;
        };
        let (index, took_us) = (ended.upstream, ended.took_us);
        self.upstreams
            .on_ended(now_us, index, signal, took_us, self.mean_us);
        if signal == Signal::Answered {
            self.mean_us = upstreams::moving_average(self.mean_us, took_us, MEAN_WINDOW_SAMPLES);
        }
    }

    fn on_reset_counts(&mut self, now_us: u64, reset_counts: &[ResetCount]) {
        for entry in reset_counts {
            self.poison.merge(entry.fingerprint, entry.resets, now_us);
        }
    }

    /// Sends queued calls while upstreams have free slots.
    fn dispatch(&mut self, now_us: u64, decisions: &mut Vec<Decision>) {
        if self.upstreams.has_none_available() {
            self.refuse_all(RefuseReason::NoUpstream, decisions);
        }
        while !self.is_closed && self.upstreams.has_free_slot() {
            let may_take_trial = self.trial_in_flight < self.trial_limit();
            let Some(call) = self.queue.pop(may_take_trial) else {
                return;
            };
            let Some(call) = self.admit(now_us, call, decisions) else {
                continue;
            };
            let Some((upstream, reason)) = self.choose_upstream(now_us, &call) else {
                if call.avoid.is_some() {
                    // Other calls may use the upstream that this call avoids.
                    self.deferred.push(call);
                    continue;
                }
                self.queue.push_front(call);
                return;
            };
            let is_suspect = self.poison.resets(call.fingerprint, now_us) > 0;
            self.start_call(now_us, upstream, &call);
            decisions.push(Decision::Send {
                call,
                upstream,
                reason,
                is_suspect,
            });
        }
    }

    /// Returns the call if it may be sent now; otherwise refuses or defers it.
    fn admit(
        &mut self,
        now_us: u64,
        call: QueuedCall,
        decisions: &mut Vec<Decision>,
    ) -> Option<QueuedCall> {
        if call.deadline_us <= now_us {
            let reason = RefuseReason::DeadlinePassed;
            decisions.push(refuse(call, reason, MIN_RETRY_AFTER_MS));
            return None;
        }
        if self.poison.is_poison(call.fingerprint, now_us) {
            decisions.push(refuse_poison(call));
            return None;
        }
        if self.poison.must_wait(call.fingerprint, now_us) {
            self.deferred.push(call);
            return None;
        }
        Some(call)
    }

    /// Puts the deferred calls back at the front of the queue.
    fn requeue_deferred(&mut self) {
        for call in std::mem::take(&mut self.deferred) {
            self.queue.push_front(call);
        }
    }

    fn refuse_all(&mut self, reason: RefuseReason, decisions: &mut Vec<Decision>) {
        for call in self.queue.drain() {
            decisions.push(refuse(call, reason, MIN_RETRY_AFTER_MS));
        }
    }

    fn choose_upstream(&self, now_us: u64, call: &QueuedCall) -> Option<(usize, SendReason)> {
        let slow = self.upstreams.next_slow(call.avoid);
        if let Some(index) = slow.filter(|index| self.is_check_due(now_us, *index, call)) {
            return Some((index, SendReason::SlowCheck));
        }
        if let Some(index) = self.upstreams.next_fast(call.avoid) {
            return Some((index, SendReason::LeastLoaded));
        }
        let is_repeated = call.avoid.is_some();
        if let Some(index) =
            slow.filter(|index| is_repeated || self.would_finish_sooner(*index, call))
        {
            return Some((index, SendReason::SlowButSooner));
        }
        // Falls back to the upstream of the earlier attempt once waiting for
        // another one would risk the deadline.
        let avoid = call.avoid?;
        let has_time = now_us - call.arrived_us.min(now_us) < avoid_time_us(call);
        if has_time && self.upstreams.has_alternative(avoid) {
            return None;
        }
        let fast = self.upstreams.next_fast(None);
        let index = fast.or(self.upstreams.next_slow(None))?;
        Some((index, SendReason::LeastLoaded))
    }

    /// Whether this call should check if a slow upstream has recovered.
    fn is_check_due(&self, now_us: u64, slow: usize, call: &QueuedCall) -> bool {
        let since_us = now_us.saturating_sub(self.upstreams.last_started_us(slow));
        let interval_us = match call.tier {
            TierKind::Trial => SLOW_CHECK_INTERVAL_US,
            TierKind::Paying => PAYING_SLOW_CHECK_INTERVAL_US,
        };
        let has_time = call.deadline_us > now_us + 2 * self.upstreams.mean_us(slow);
        since_us >= interval_us && has_time
    }

    /// Whether a slow upstream would answer sooner than a fast one for which
    /// the call would have to wait.
    fn would_finish_sooner(&self, slow: usize, call: &QueuedCall) -> bool {
        let capacity = self.upstreams.capacity();
        let ahead = to_u64(self.queue.len(call.tier) + 1);
        let wait_us = self.mean_us * ahead / to_u64(capacity.max(1));
        capacity == 0 || self.upstreams.mean_us(slow) < wait_us + self.mean_us
    }

    fn start_call(&mut self, now_us: u64, index: usize, call: &QueuedCall) {
        match call.tier {
            TierKind::Paying => self.paying_in_flight += 1,
            TierKind::Trial => self.trial_in_flight += 1,
        }
        self.poison.on_start(call.fingerprint);
        self.upstreams.start(now_us, index);
    }

    /// Number of slots that trial calls may use, with the rest reserved for
    /// paying calls.
    fn trial_limit(&self) -> usize {
        let capacity = self.upstreams.capacity();
        let demand = self.paying_demand_milli;
        // Half of the standard deviation that the demand would have as a
        // Poisson count; paying calls beyond it wait for the next free slot.
        let spread = (demand * MILLI).isqrt() / 2;
        let reserved = usize::try_from((demand + spread).div_ceil(MILLI)).unwrap_or(usize::MAX);
        let unreserved = capacity.saturating_sub(reserved);
        // While a slot is free, trial calls may use at least one, so that they
        // still check slow upstreams and make progress in a small pool.
        unreserved.max(usize::from(self.paying_in_flight < capacity))
    }

    fn update_paying_demand(&mut self, now_us: u64) {
        let elapsed_us = now_us
            .saturating_sub(self.demand_updated_us)
            .min(DEMAND_TIME_CONSTANT_US);
        self.demand_updated_us = self.demand_updated_us.max(now_us);
        let target =
            (to_u64(self.paying_in_flight) + to_u64(self.queue.len(TierKind::Paying))) * MILLI;
        let demand = self.paying_demand_milli;
        let kept = demand * (DEMAND_TIME_CONSTANT_US - elapsed_us);
        // Rounds up while rising, so that short steps are not rounded away.
        let gained = target * elapsed_us
            + if target > demand {
                DEMAND_TIME_CONSTANT_US - 1
            } else {
                0
            };
        self.paying_demand_milli = (kept + gained) / DEMAND_TIME_CONSTANT_US;
    }

    /// Updates the state that changes with time rather than with events.
    fn periodic_update(&mut self, now_us: u64, decisions: &mut Vec<Decision>) {
        if now_us.saturating_sub(self.updated_us) < UPDATE_INTERVAL_US {
            return;
        }
        self.updated_us = now_us;
        self.upstreams
            .periodic_update(now_us, !self.is_closed, decisions);
    }
}

/// Time for which a call avoids the upstream of its earlier attempt: half of
/// the time that it had left on arrival.
fn avoid_time_us(call: &QueuedCall) -> u64 {
    call.deadline_us.saturating_sub(call.arrived_us) / 2
}

fn refuse_poison(call: QueuedCall) -> Decision {
    refuse(call, RefuseReason::Poison, SUSPECT_RETENTION_US / 1000)
}

fn refuse(call: QueuedCall, reason: RefuseReason, retry_after_ms: u64) -> Decision {
    Decision::Refuse {
        call,
        reason,
        retry_after_ms,
    }
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

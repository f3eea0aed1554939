//! Decides which upstream of one service in one data centre runs which call.
//!
//! A pool is pure: it takes typed events with the time, and appends typed
//! decisions. One instance holds a pool at a time, so the slots of its
//! upstreams share one queue. `docs/design/placement.md` weighs the ways.

mod events;
mod upstreams;

use std::net::SocketAddr;
use std::sync::Arc;

use super::lifecycle::Signal;
use super::poison::{FORGET_AFTER_US, PoisonList, RunEnd, Strike};
use super::queue::{Queue, Waiting};
use crate::version::objects::{Service, TierKind};
pub use events::{Decision, Ended, Event, Inherited, Listed, RefuseReason, SendReason};
use upstreams::UpstreamSet;
pub use upstreams::UpstreamView;

/// Service time assumed before the first answer.
const ASSUMED_SERVICE_US: u64 = 5_000;
/// Weight of a new sample in the mean service time is one in this many.
const MEAN_WEIGHT: u64 = 16;
/// Interval between looks at what changes with time.
const REVIEW_INTERVAL_US: u64 = 50_000;
/// Interval between calls that check whether a slow upstream has recovered.
const SLOW_CHECK_INTERVAL_US: u64 = 500_000;
/// The same for paying calls, which check only where no trial call does.
const PAYING_CHECK_INTERVAL_US: u64 = 5_000_000;
/// Time constant of the mean number of paying calls in flight.
const LEVEL_TIME_US: u64 = 500_000;
/// Levels are counted in thousandths of a call.
const MILLI: u64 = 1000;
/// Wait that a refused caller is told at least.
const RETRY_AFTER_MIN_MS: u64 = 20;

/// One service in one data centre.
#[derive(Debug)]
pub struct Pool {
    upstreams: UpstreamSet,
    queue: Queue,
    held: Vec<Waiting>,
    poison: PoisonList,
    mean_us: u64,
    paying: usize,
    trial: usize,
    paying_level_milli: u64,
    level_us: u64,
    reviewed_us: u64,
    is_closed: bool,
}

impl Pool {
    /// A pool without upstreams.
    #[must_use]
    pub fn new(service: Arc<Service>, now_us: u64) -> Self {
        Self {
            upstreams: UpstreamSet::new(service),
            queue: Queue::default(),
            held: Vec::new(),
            poison: PoisonList::default(),
            mean_us: ASSUMED_SERVICE_US,
            paying: 0,
            trial: 0,
            paying_level_milli: 0,
            level_us: now_us,
            reviewed_us: now_us,
            is_closed: false,
        }
    }

    /// Takes an event and appends what has to be done.
    pub fn handle(&mut self, now_us: u64, event: Event, decisions: &mut Vec<Decision>) {
        self.update_level(now_us);
        match event {
            Event::Arrived(waiting) => self.on_arrived(now_us, waiting, decisions),
            Event::Withdrawn(waiting) => self.on_withdrawn(waiting, decisions),
            Event::Ended(ended) => self.on_ended(now_us, ended),
            Event::Listed(listed) => self.upstreams.on_listed(now_us, listed, self.mean_us),
            Event::Inherited(inherited) => self.upstreams.on_inherited(&inherited),
            Event::Probed { upstream, healthy } => {
                self.upstreams.on_probed(now_us, upstream, healthy);
            }
            Event::Strikes(strikes) => self.on_strikes(now_us, &strikes),
            Event::Tick => self.release_held(),
        }
        self.review(now_us, decisions);
        self.dispatch(now_us, decisions);
    }

    /// Takes the service's settings of a new version.
    pub fn configure(&mut self, service: Arc<Service>) {
        self.upstreams.configure(service);
    }

    /// Stops sending; everything that waits is turned down as moved.
    pub fn close(&mut self, decisions: &mut Vec<Decision>) {
        self.is_closed = true;
        self.release_held();
        self.refuse_all(RefuseReason::Moved, decisions);
    }

    /// Sends again after [`close`](Self::close).
    pub fn reopen(&mut self) {
        self.is_closed = false;
    }

    /// Whether another instance holds the pool.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Whether nothing changes with time alone.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let is_empty = self.queue.is_empty() && self.held.is_empty();
        is_empty && self.paying + self.trial == 0 && self.upstreams.is_settled()
    }

    /// Name and address of an upstream.
    #[must_use]
    pub fn upstream(&self, index: usize) -> (&Arc<str>, SocketAddr) {
        self.upstreams.place(index)
    }

    /// Index of the upstream with a name.
    #[must_use]
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.upstreams.index_of(name)
    }

    /// All upstreams that are not gone.
    #[must_use]
    pub fn view(&self) -> Vec<UpstreamView> {
        self.upstreams.view()
    }

    /// Strikes to tell peers.
    #[must_use]
    pub fn strikes(&self, now_us: u64, most: usize) -> Vec<Strike> {
        self.poison.recent(now_us, most)
    }

    /// Expected wait of a new call of a tier.
    #[must_use]
    pub fn expected_wait_us(&self, tier: TierKind, organisation: &str) -> u64 {
        let capacity = self.upstreams.capacity();
        if capacity == 0 {
            return self.upstreams.service().run_limit_ms * 1000;
        }
        let ahead = self.queue.ahead_of(tier, organisation);
        if ahead == 0 && self.paying + self.trial < capacity {
            return 0;
        }
        let slots = match tier {
            TierKind::Trial => self.trial_limit(),
            TierKind::Paying => capacity,
        };
        self.mean_us * to_u64(ahead + 1) / to_u64(slots.max(1))
    }

    fn on_arrived(&mut self, now_us: u64, waiting: Waiting, decisions: &mut Vec<Decision>) {
        if self.is_closed {
            decisions.push(refusal(waiting, RefuseReason::Moved, RETRY_AFTER_MIN_MS));
            return;
        }
        if self.poison.is_condemned(waiting.fingerprint, now_us) {
            decisions.push(refuse_poison(waiting));
            return;
        }
        if self.upstreams.has_none() {
            let reason = RefuseReason::NoUpstream;
            decisions.push(refusal(waiting, reason, RETRY_AFTER_MIN_MS));
            return;
        }
        let wait_us = self.expected_wait_us(waiting.tier, &waiting.organisation);
        if wait_us > 0 && now_us + wait_us + self.mean_us > waiting.deadline_us {
            let retry_after_ms = (wait_us / 1000).max(RETRY_AFTER_MIN_MS);
            decisions.push(refusal(waiting, RefuseReason::Overloaded, retry_after_ms));
            return;
        }
        self.queue.push(waiting);
    }

    fn on_withdrawn(&mut self, waiting: Waiting, decisions: &mut Vec<Decision>) {
        let before = self.held.len();
        self.held.retain(|held| held.ticket != waiting.ticket);
        if self.held.len() < before || self.queue.withdraw(&waiting) {
            let retry_after_ms = (self.mean_us / 1000).max(RETRY_AFTER_MIN_MS);
            let reason = RefuseReason::DeadlinePassed;
            decisions.push(refusal(waiting, reason, retry_after_ms));
        }
    }

    fn on_ended(&mut self, now_us: u64, ended: Ended) {
        match ended.tier {
            TierKind::Paying => self.paying -= 1,
            TierKind::Trial => self.trial -= 1,
        }
        let run_end = match ended.signal {
            Some(Signal::Reset) => RunEnd::Cut(ended.upstream),
            Some(signal) if signal.is_answer() => RunEnd::Answered,
            _ => RunEnd::Other,
        };
        self.poison.on_end(ended.fingerprint, run_end, now_us);
        self.release_held();
        let Some(signal) = ended.signal else {
            self.upstreams.on_unsent(ended.upstream);
            return;
        };
        let (index, took_us) = (ended.upstream, ended.took_us);
        self.upstreams
            .on_ended(now_us, index, signal, took_us, self.mean_us);
        if signal == Signal::Answered {
            self.mean_us = upstreams::blend(self.mean_us, took_us, MEAN_WEIGHT);
        }
    }

    fn on_strikes(&mut self, now_us: u64, strikes: &[Strike]) {
        for strike in strikes {
            self.poison
                .learn(strike.fingerprint, strike.strikes, now_us);
        }
    }

    /// Sends what waits while there is room.
    fn dispatch(&mut self, now_us: u64, decisions: &mut Vec<Decision>) {
        if self.upstreams.has_none() {
            self.refuse_all(RefuseReason::NoUpstream, decisions);
        }
        while !self.is_closed && self.upstreams.has_ready() {
            let may_take_trial = self.trial < self.trial_limit();
            let Some(waiting) = self.queue.pop(may_take_trial) else {
                return;
            };
            let Some(waiting) = self.sift(now_us, waiting, decisions) else {
                continue;
            };
            let Some((upstream, reason)) = self.choose(now_us, &waiting) else {
                if waiting.avoid.is_some() {
                    // Others may use the room that this call avoids.
                    self.held.push(waiting);
                    continue;
                }
                self.queue.push_front(waiting);
                return;
            };
            let is_suspect = self.poison.strikes(waiting.fingerprint, now_us) > 0;
            self.start(now_us, upstream, &waiting);
            decisions.push(Decision::Send {
                waiting,
                upstream,
                reason,
                is_suspect,
            });
        }
    }

    /// Returns a call that may be sent now; turns down or sets aside others.
    fn sift(
        &mut self,
        now_us: u64,
        waiting: Waiting,
        decisions: &mut Vec<Decision>,
    ) -> Option<Waiting> {
        if waiting.deadline_us <= now_us {
            let reason = RefuseReason::DeadlinePassed;
            decisions.push(refusal(waiting, reason, RETRY_AFTER_MIN_MS));
            return None;
        }
        if self.poison.is_condemned(waiting.fingerprint, now_us) {
            decisions.push(refuse_poison(waiting));
            return None;
        }
        if self.poison.must_wait(waiting.fingerprint, now_us) {
            self.held.push(waiting);
            return None;
        }
        Some(waiting)
    }

    /// Queues the copies that waited for a suspected request to end.
    fn release_held(&mut self) {
        for waiting in std::mem::take(&mut self.held) {
            self.queue.push_front(waiting);
        }
    }

    fn refuse_all(&mut self, reason: RefuseReason, decisions: &mut Vec<Decision>) {
        for waiting in self.queue.drain() {
            decisions.push(refusal(waiting, reason, RETRY_AFTER_MIN_MS));
        }
    }

    fn choose(&self, now_us: u64, waiting: &Waiting) -> Option<(usize, SendReason)> {
        let slow = self.upstreams.next_slow(waiting.avoid);
        if let Some(index) = slow.filter(|index| self.is_check_due(now_us, *index, waiting)) {
            return Some((index, SendReason::SlowCheck));
        }
        if let Some(index) = self.upstreams.next_fast(waiting.avoid) {
            return Some((index, SendReason::LeastLoaded));
        }
        let is_repeated = waiting.avoid.is_some();
        if let Some(index) = slow.filter(|index| is_repeated || self.is_sooner(*index, waiting)) {
            return Some((index, SendReason::SlowButSooner));
        }
        // Rather the upstream that an earlier attempt used than none in time.
        let avoid = waiting.avoid?;
        let has_time = now_us - waiting.arrived_us.min(now_us) < avoid_time_us(waiting);
        if has_time && self.upstreams.has_other(avoid) {
            return None;
        }
        let fast = self.upstreams.next_fast(None);
        let index = fast.or(self.upstreams.next_slow(None))?;
        Some((index, SendReason::LeastLoaded))
    }

    /// Whether a call should check if a slow upstream has recovered.
    fn is_check_due(&self, now_us: u64, slow: usize, waiting: &Waiting) -> bool {
        let since_us = now_us.saturating_sub(self.upstreams.started_us(slow));
        let interval_us = match waiting.tier {
            TierKind::Trial => SLOW_CHECK_INTERVAL_US,
            TierKind::Paying => PAYING_CHECK_INTERVAL_US,
        };
        let has_time = waiting.deadline_us > now_us + 2 * self.upstreams.mean_us(slow);
        since_us >= interval_us && has_time
    }

    /// Whether a slow upstream answers before a fast one is free.
    fn is_sooner(&self, slow: usize, waiting: &Waiting) -> bool {
        let capacity = self.upstreams.capacity();
        let ahead = to_u64(self.queue.len(waiting.tier) + 1);
        let wait_us = self.mean_us * ahead / to_u64(capacity.max(1));
        capacity == 0 || self.upstreams.mean_us(slow) < wait_us + self.mean_us
    }

    fn start(&mut self, now_us: u64, index: usize, waiting: &Waiting) {
        match waiting.tier {
            TierKind::Paying => self.paying += 1,
            TierKind::Trial => self.trial += 1,
        }
        self.poison.on_start(waiting.fingerprint);
        self.upstreams.start(now_us, index);
    }

    /// Slots that trials may use while paying calls need the rest.
    fn trial_limit(&self) -> usize {
        let capacity = self.upstreams.capacity();
        let level = self.paying_level_milli;
        // Half of the spread that the level would have as a Poisson count:
        // paying calls beyond it wait for the next slot that ends.
        let spread = (level * MILLI).isqrt() / 2;
        let reserved = usize::try_from((level + spread).div_ceil(MILLI)).unwrap_or(usize::MAX);
        let most = capacity.saturating_sub(reserved);
        // One slot stays in use by trials while any is free, so that a
        // trial-only upstream check and a small pool do not stop altogether.
        most.max(usize::from(self.paying < capacity))
    }

    fn update_level(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.level_us).min(LEVEL_TIME_US);
        self.level_us = self.level_us.max(now_us);
        let target = (to_u64(self.paying) + to_u64(self.queue.len(TierKind::Paying))) * MILLI;
        let level = self.paying_level_milli;
        let kept = level * (LEVEL_TIME_US - elapsed_us);
        // Rounded up while rising, so that short steps are not lost.
        let gained = target * elapsed_us + if target > level { LEVEL_TIME_US - 1 } else { 0 };
        self.paying_level_milli = (kept + gained) / LEVEL_TIME_US;
    }

    /// Looks at everything that changes with time rather than with events.
    fn review(&mut self, now_us: u64, decisions: &mut Vec<Decision>) {
        if now_us.saturating_sub(self.reviewed_us) < REVIEW_INTERVAL_US {
            return;
        }
        self.reviewed_us = now_us;
        self.upstreams.review(now_us, !self.is_closed, decisions);
    }
}

/// Time for which a call waits for another upstream than the one that an
/// earlier attempt used: half of what it had when it came.
fn avoid_time_us(waiting: &Waiting) -> u64 {
    waiting.deadline_us.saturating_sub(waiting.arrived_us) / 2
}

fn refuse_poison(waiting: Waiting) -> Decision {
    refusal(waiting, RefuseReason::Poison, FORGET_AFTER_US / 1000)
}

fn refusal(waiting: Waiting, reason: RefuseReason, retry_after_ms: u64) -> Decision {
    Decision::Refuse {
        waiting,
        reason,
        retry_after_ms,
    }
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

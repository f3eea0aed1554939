//! Decides which upstream of one service in one data centre runs which call.
//!
//! A pool is pure: it takes typed events with the time, and appends typed
//! decisions. One instance holds a pool at a time, so the slots of its
//! upstreams share one queue. `docs/design/placement.md` weighs the ways.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use strum::Display;

use super::budget::TimeBudget;
use super::heap::IndexedHeap;
use super::lifecycle::{Life, Limits, Signal};
use super::poison::{PoisonList, Strike};
use super::queue::{Queue, Waiting};
use crate::version::objects::{Service, TierKind};

/// Service time assumed before the first answer.
const ASSUMED_SERVICE_US: u64 = 5_000;
/// An upstream this many times slower than the median counts as slow.
const SLOW_FACTOR: u64 = 4;
/// Weight of a new sample in the mean service time is one in this many.
const MEAN_WEIGHT: u64 = 16;
/// Interval between looks at which upstreams are slow.
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
/// Probes that may be saved up.
const SAVED_PROBES: u64 = 1;

/// Why a pool sends a call where it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SendReason {
    /// The least loaded of the fast upstreams with room.
    LeastLoaded,
    /// No fast upstream would be free in the time that the slow one takes.
    SlowButSooner,
    /// A check whether a slow upstream has recovered.
    SlowCheck,
}

/// Why a pool turns a call down; none of these calls has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RefuseReason {
    /// It could not be answered before its deadline.
    Overloaded,
    /// The deadline passed while it waited.
    DeadlinePassed,
    /// No upstream takes work.
    NoUpstream,
    /// Earlier runs of the same request cut their connections.
    Poison,
    /// Another instance holds the pool.
    Moved,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call came in.
    Arrived(Waiting),
    /// A caller no longer waits.
    Withdrawn(Waiting),
    /// A call that was sent has ended.
    Ended(Ended),
    /// The list names these upstreams.
    Listed(Vec<Listed>),
    /// A predecessor may still run calls.
    Inherited(Inherited),
    /// A probe has ended.
    Probed {
        /// Index of the upstream.
        upstream: usize,
        /// Whether it answered well.
        healthy: bool,
    },
    /// Peers counted cut connections.
    Strikes(Vec<Strike>),
    /// Time has passed.
    Tick,
}

/// The end of a call that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// Index of the upstream.
    pub upstream: usize,
    /// What it showed; `None` if the call was never sent.
    pub signal: Option<Signal>,
    /// Time from sending to the end.
    pub took_us: u64,
    /// Owner's tier.
    pub tier: TierKind,
    /// Identifies the work.
    pub fingerprint: u64,
}

/// An upstream as the list names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Unique name.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// What a predecessor may still run at an upstream.
#[derive(Clone, Debug)]
pub struct Inherited {
    /// Name of the upstream; `None` for all of them.
    pub upstream: Option<Arc<str>>,
    /// Calls that may still run; `None` for all slots.
    pub calls: Option<usize>,
    /// Whether the predecessor saw it warm.
    pub is_warm: bool,
    /// Time at which those calls have ended for certain.
    pub until_us: u64,
}

/// What the owner of the pool has to do.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Send the call.
    Send {
        /// The call.
        waiting: Waiting,
        /// Index of the upstream.
        upstream: usize,
        /// Why there.
        reason: SendReason,
    },
    /// Answer that the call did not run.
    Refuse {
        /// The call.
        waiting: Waiting,
        /// Why.
        reason: RefuseReason,
        /// When to come back.
        retry_after_ms: u64,
    },
    /// Send a probe.
    Probe {
        /// Index of the upstream.
        upstream: usize,
    },
}

#[derive(Debug)]
struct Upstream {
    name: Arc<str>,
    address: SocketAddr,
    life: Life,
    in_flight: usize,
    inherited: usize,
    inherited_until_us: u64,
    mean_us: u64,
    is_slow: bool,
    checked_us: u64,
    wants_probe: bool,
    budget: TimeBudget,
}

impl Upstream {
    fn busy(&self) -> usize {
        self.in_flight + self.inherited
    }
}

/// What an upstream looks like from outside the pool.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    /// Unique name.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// State by name.
    pub life: Life,
    /// Calls that run now.
    pub in_flight: usize,
    /// Mean time to answer.
    pub mean_us: u64,
}

/// One service in one data centre.
#[derive(Debug)]
pub struct Pool {
    service: Arc<Service>,
    upstreams: Vec<Upstream>,
    names: HashMap<Arc<str>, usize>,
    ready: IndexedHeap,
    slow: IndexedHeap,
    queue: Queue,
    poison: PoisonList,
    capacity: usize,
    ejected: usize,
    live: usize,
    mean_us: u64,
    paying: usize,
    trial: usize,
    paying_level_milli: u64,
    level_us: u64,
    reviewed_us: u64,
    is_closed: bool,
    scratch: Vec<u64>,
}

impl Pool {
    /// A pool without upstreams.
    #[must_use]
    pub fn new(service: Arc<Service>, now_us: u64) -> Self {
        Self {
            service,
            upstreams: Vec::new(),
            names: HashMap::new(),
            ready: IndexedHeap::default(),
            slow: IndexedHeap::default(),
            queue: Queue::default(),
            poison: PoisonList::default(),
            capacity: 0,
            ejected: 0,
            live: 0,
            mean_us: ASSUMED_SERVICE_US,
            paying: 0,
            trial: 0,
            paying_level_milli: 0,
            level_us: now_us,
            reviewed_us: now_us,
            is_closed: false,
            scratch: Vec::new(),
        }
    }

    /// Takes an event and appends what has to be done.
    pub fn handle(&mut self, now_us: u64, event: Event, decisions: &mut Vec<Decision>) {
        self.update_level(now_us);
        match event {
            Event::Arrived(waiting) => self.on_arrived(now_us, waiting, decisions),
            Event::Withdrawn(waiting) => self.on_withdrawn(waiting, decisions),
            Event::Ended(ended) => self.on_ended(now_us, ended),
            Event::Listed(listed) => self.on_listed(now_us, listed),
            Event::Inherited(inherited) => self.on_inherited(&inherited),
            Event::Probed { upstream, healthy } => self.on_probed(now_us, upstream, healthy),
            Event::Strikes(strikes) => self.on_strikes(now_us, &strikes),
            Event::Tick => {}
        }
        self.review(now_us, decisions);
        self.dispatch(now_us, decisions);
    }

    /// Takes the service's settings of a new version.
    pub fn configure(&mut self, service: Arc<Service>) {
        self.service = service;
        self.capacity = 0;
        let limits = self.limits();
        for index in 0..self.upstreams.len() {
            let upstream = &self.upstreams[index];
            if !upstream.is_slow {
                self.capacity += upstream.life.limit(limits);
            }
            self.refresh(index);
        }
    }

    /// Stops sending; everything that waits is turned down as moved.
    pub fn close(&mut self, decisions: &mut Vec<Decision>) {
        self.is_closed = true;
        for waiting in self.queue.drain() {
            decisions.push(refusal(waiting, RefuseReason::Moved, RETRY_AFTER_MIN_MS));
        }
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

    /// Calls in flight over all upstreams.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.paying + self.trial
    }

    /// Where an upstream listens.
    #[must_use]
    pub fn upstream(&self, index: usize) -> (&Arc<str>, SocketAddr) {
        let upstream = &self.upstreams[index];
        (&upstream.name, upstream.address)
    }

    /// Index of the upstream with a name.
    #[must_use]
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// All upstreams that are not gone.
    #[must_use]
    pub fn view(&self) -> Vec<UpstreamView> {
        let mut views = Vec::new();
        for upstream in &self.upstreams {
            if upstream.life.is_leaving() && upstream.in_flight == 0 {
                continue;
            }
            views.push(UpstreamView {
                name: Arc::clone(&upstream.name),
                address: upstream.address,
                life: upstream.life,
                in_flight: upstream.in_flight,
                mean_us: upstream.mean_us,
            });
        }
        views
    }

    /// Expected wait of a new call of a tier.
    #[must_use]
    pub fn expected_wait_us(&self, tier: TierKind, organisation: &str) -> u64 {
        let busy = self.paying + self.trial;
        if self.capacity == 0 {
            return self.service.run_limit_ms * 1000;
        }
        let ahead = self.queue.ahead_of(tier, organisation);
        if ahead == 0 && busy < self.capacity {
            return 0;
        }
        let slots = if tier.is_trial() {
            self.trial_limit()
        } else {
            self.capacity
        };
        self.mean_us * to_u64(ahead + 1) / to_u64(slots.max(1))
    }

    /// Strikes to tell peers.
    #[must_use]
    pub fn strikes(&self, now_us: u64, most: usize) -> Vec<Strike> {
        self.poison.recent(now_us, most)
    }

    fn on_arrived(&mut self, now_us: u64, waiting: Waiting, decisions: &mut Vec<Decision>) {
        if self.is_closed {
            decisions.push(refusal(waiting, RefuseReason::Moved, RETRY_AFTER_MIN_MS));
            return;
        }
        if !self.poison.may_start(waiting.fingerprint, now_us) {
            let retry_after_ms = super::poison::FORGET_AFTER_US / 1000;
            decisions.push(refusal(waiting, RefuseReason::Poison, retry_after_ms));
            return;
        }
        if self.live == 0 {
            let retry_after_ms = self.service.run_limit_ms;
            decisions.push(refusal(waiting, RefuseReason::NoUpstream, retry_after_ms));
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
        if self.queue.withdraw(&waiting) {
            let retry_after_ms = (self.mean_us / 1000).max(RETRY_AFTER_MIN_MS);
            decisions.push(refusal(
                waiting,
                RefuseReason::DeadlinePassed,
                retry_after_ms,
            ));
        }
    }

    fn on_ended(&mut self, now_us: u64, ended: Ended) {
        match ended.tier {
            TierKind::Paying => self.paying -= 1,
            TierKind::Trial => self.trial -= 1,
        }
        let was_cut = ended.signal == Some(Signal::Reset);
        self.poison.on_end(ended.fingerprint, was_cut, now_us);
        let pool_mean_us = self.mean_us;
        let limits = self.limits();
        let upstream = &mut self.upstreams[ended.upstream];
        upstream.in_flight -= 1;
        let Some(mut signal) = ended.signal else {
            self.refresh(ended.upstream);
            return;
        };
        if matches!(
            signal,
            Signal::Answered | Signal::AnsweredOverloaded | Signal::Silent
        ) {
            upstream.mean_us = blend(upstream.mean_us, ended.took_us, MEAN_WEIGHT / 2);
            let is_late = ended.took_us > pool_mean_us.saturating_mul(SLOW_FACTOR);
            if signal == Signal::Answered && is_late && upstream.is_slow {
                signal = Signal::AnsweredSlowly;
            }
        }
        if signal == Signal::Answered {
            self.mean_us = blend(self.mean_us, ended.took_us, MEAN_WEIGHT);
        }
        let life = upstream.life.on_signal(signal, now_us, limits);
        self.set_life(ended.upstream, life);
    }

    fn on_listed(&mut self, now_us: u64, listed: Vec<Listed>) {
        let mut named = vec![false; self.upstreams.len()];
        for entry in listed {
            let known = self.names.get(&entry.name).copied();
            let index = match known {
                Some(index) if self.upstreams[index].address == entry.address => index,
                _ if entry.is_leaving => continue,
                _ => self.add(now_us, entry.name, entry.address),
            };
            if index < named.len() {
                named[index] = true;
            }
            let life = self.upstreams[index].life;
            if entry.is_leaving && !life.is_leaving() {
                self.set_life(index, life.on_leave());
            } else if !entry.is_leaving && life.is_leaving() {
                self.set_life(index, Life::unknown(self.limits()));
            }
        }
        for (index, is_named) in named.into_iter().enumerate() {
            let life = self.upstreams[index].life;
            if !is_named && !life.is_leaving() {
                self.set_life(index, life.on_leave());
            }
        }
    }

    fn add(&mut self, now_us: u64, name: Arc<str>, address: SocketAddr) -> usize {
        if let Some(old) = self.names.get(&name).copied() {
            let life = self.upstreams[old].life.on_leave();
            self.set_life(old, life);
        }
        let service = &self.service;
        let probes_per_second_milli =
            service.measuring_permille * to_u64(service.slots) * 1000 / service.probe_cost_ms;
        let reusable = self
            .upstreams
            .iter()
            .position(|old| old.life.is_leaving() && old.busy() == 0 && old.name != name);
        let upstream = Upstream {
            name: Arc::clone(&name),
            address,
            life: Life::unknown(self.limits()),
            in_flight: 0,
            inherited: 0,
            inherited_until_us: 0,
            mean_us: self.mean_us,
            is_slow: false,
            checked_us: now_us,
            wants_probe: false,
            // Half of the agreed budget: while views differ, two holders
            // measure the same upstream.
            budget: TimeBudget::new(probes_per_second_milli / 2, SAVED_PROBES, now_us),
        };
        let index = reusable.unwrap_or(self.upstreams.len());
        if index == self.upstreams.len() {
            self.upstreams.push(upstream);
        } else {
            let old = std::mem::replace(&mut self.upstreams[index], upstream);
            if self.names.get(&old.name) == Some(&index) {
                self.names.remove(&old.name);
            }
        }
        self.names.insert(name, index);
        self.live += 1;
        self.capacity += self.upstreams[index].life.limit(self.limits());
        self.refresh(index);
        index
    }

    fn on_inherited(&mut self, inherited: &Inherited) {
        let slots = self.service.slots;
        for index in 0..self.upstreams.len() {
            let is_meant = inherited
                .upstream
                .as_ref()
                .is_none_or(|name| *name == self.upstreams[index].name);
            if !is_meant {
                continue;
            }
            let upstream = &mut self.upstreams[index];
            upstream.inherited = inherited.calls.unwrap_or(slots);
            upstream.inherited_until_us = inherited.until_us;
            if inherited.is_warm && !upstream.life.is_leaving() {
                self.set_life(index, Life::warm());
            }
            self.refresh(index);
        }
    }

    fn on_probed(&mut self, now_us: u64, index: usize, healthy: bool) {
        let upstream = &mut self.upstreams[index];
        upstream.in_flight -= 1;
        upstream.wants_probe = false;
        let signal = if healthy {
            Signal::AnsweredOverloaded
        } else {
            Signal::Errored
        };
        let life = upstream.life.on_signal(signal, now_us, self.limits());
        self.set_life(index, life);
    }

    fn on_strikes(&mut self, now_us: u64, strikes: &[Strike]) {
        for strike in strikes {
            self.poison
                .learn(strike.fingerprint, strike.strikes, now_us);
        }
    }

    /// Sends what waits while there is room.
    fn dispatch(&mut self, now_us: u64, decisions: &mut Vec<Decision>) {
        while !self.is_closed && !self.queue.is_empty() {
            if self.ready.first().is_none() && self.slow.first().is_none() {
                return;
            }
            let Some(waiting) = self.queue.pop(self.trial < self.trial_limit()) else {
                return;
            };
            if waiting.deadline_us <= now_us {
                let retry_after_ms = RETRY_AFTER_MIN_MS;
                decisions.push(refusal(
                    waiting,
                    RefuseReason::DeadlinePassed,
                    retry_after_ms,
                ));
                continue;
            }
            if !self.poison.may_start(waiting.fingerprint, now_us) {
                let retry_after_ms = super::poison::FORGET_AFTER_US / 1000;
                decisions.push(refusal(waiting, RefuseReason::Poison, retry_after_ms));
                continue;
            }
            let Some((upstream, reason)) = self.choose(now_us, &waiting) else {
                self.put_back(waiting);
                return;
            };
            self.start(now_us, upstream, &waiting);
            decisions.push(Decision::Send {
                waiting,
                upstream,
                reason,
            });
        }
    }

    fn put_back(&mut self, waiting: Waiting) {
        self.queue.push_front(waiting);
    }

    fn choose(&self, now_us: u64, waiting: &Waiting) -> Option<(usize, SendReason)> {
        let slow = self.slow.first_except(waiting.avoid);
        if let Some(index) = slow {
            let since_us = now_us.saturating_sub(self.upstreams[index].checked_us);
            let has_time = waiting.deadline_us > now_us + 2 * self.upstreams[index].mean_us;
            let interval_us = match waiting.tier {
                TierKind::Trial => SLOW_CHECK_INTERVAL_US,
                TierKind::Paying => PAYING_CHECK_INTERVAL_US,
            };
            if since_us >= interval_us && has_time {
                return Some((index, SendReason::SlowCheck));
            }
        }
        if let Some(index) = self.ready.first_except(waiting.avoid) {
            return Some((index, SendReason::LeastLoaded));
        }
        if let Some(index) = slow {
            let ahead = to_u64(self.queue.len(waiting.tier) + 1);
            let fast_slots = to_u64(self.capacity.max(1));
            let wait_us = self.mean_us * ahead / fast_slots;
            let is_sooner = self.upstreams[index].mean_us < wait_us + self.mean_us;
            if is_sooner || self.has_only_slow() {
                return Some((index, SendReason::SlowButSooner));
            }
        }
        waiting.avoid?;
        let index = self.ready.first().or(self.slow.first())?;
        Some((index, SendReason::LeastLoaded))
    }

    fn has_only_slow(&self) -> bool {
        self.capacity == 0
    }

    fn start(&mut self, now_us: u64, index: usize, waiting: &Waiting) {
        match waiting.tier {
            TierKind::Paying => self.paying += 1,
            TierKind::Trial => self.trial += 1,
        }
        self.poison.on_start(waiting.fingerprint);
        let upstream = &mut self.upstreams[index];
        upstream.in_flight += 1;
        upstream.checked_us = now_us;
        self.refresh(index);
    }

    /// Slots that trials may use while paying calls need the rest.
    fn trial_limit(&self) -> usize {
        let level = self.paying_level_milli;
        let spread = (level * MILLI).isqrt();
        let reserved = usize::try_from((level + spread).div_ceil(MILLI)).unwrap_or(usize::MAX);
        let most = self.capacity.saturating_sub(reserved);
        // One slot stays in use by trials while any is free, so that a
        // trial-only upstream check and a small pool do not stop altogether.
        most.max(usize::from(self.paying < self.capacity))
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
        let median_us = self.median_us();
        for index in 0..self.upstreams.len() {
            let limits = self.limits();
            let upstream = &mut self.upstreams[index];
            if upstream.inherited > 0 && upstream.inherited_until_us <= now_us {
                upstream.inherited = 0;
            }
            let was_slow = upstream.is_slow;
            upstream.is_slow = upstream.mean_us > median_us.saturating_mul(SLOW_FACTOR);
            let is_slow = upstream.is_slow;
            let before = upstream.life;
            let after = before.on_time(now_us, limits);
            if before.is_ejected() && !after.is_ejected() {
                upstream.wants_probe = true;
            }
            if was_slow != is_slow {
                self.move_capacity(index, is_slow);
            }
            self.set_life(index, after);
            self.probe(now_us, index, decisions);
        }
    }

    fn probe(&mut self, now_us: u64, index: usize, decisions: &mut Vec<Decision>) {
        let has_room = self.has_room(index);
        let upstream = &mut self.upstreams[index];
        let is_due = upstream.wants_probe && has_room && !self.is_closed;
        if !is_due || !upstream.budget.take(now_us) {
            return;
        }
        upstream.wants_probe = false;
        upstream.in_flight += 1;
        self.refresh(index);
        decisions.push(Decision::Probe { upstream: index });
    }

    fn median_us(&mut self) -> u64 {
        self.scratch.clear();
        for upstream in &self.upstreams {
            if !upstream.life.is_leaving() {
                self.scratch.push(upstream.mean_us);
            }
        }
        if self.scratch.is_empty() {
            return ASSUMED_SERVICE_US;
        }
        // The lower median, so that with two upstreams the faster one counts.
        let middle = (self.scratch.len() - 1) / 2;
        *self.scratch.select_nth_unstable(middle).1
    }

    fn move_capacity(&mut self, index: usize, is_slow: bool) {
        let limit = self.upstreams[index].life.limit(self.limits());
        if is_slow {
            self.capacity -= limit;
        } else {
            self.capacity += limit;
        }
    }

    fn set_life(&mut self, index: usize, life: Life) {
        let limits = self.limits();
        let upstream = &mut self.upstreams[index];
        let before = std::mem::replace(&mut upstream.life, life);
        if !upstream.is_slow {
            self.capacity = self.capacity + life.limit(limits) - before.limit(limits);
        }
        self.ejected =
            self.ejected + usize::from(life.is_ejected()) - usize::from(before.is_ejected());
        self.live = self.live + usize::from(!life.is_leaving()) - usize::from(!before.is_leaving());
        self.refresh(index);
    }

    fn has_room(&self, index: usize) -> bool {
        let upstream = &self.upstreams[index];
        let limit = upstream.life.limit(self.limits());
        // A slow upstream is used for one call at a time.
        let limit = if upstream.is_slow {
            limit.min(1)
        } else {
            limit
        };
        upstream.busy() < limit
    }

    /// Puts an upstream where its state belongs.
    fn refresh(&mut self, index: usize) {
        let has_room = self.has_room(index);
        let upstream = &self.upstreams[index];
        let rank = (to_u64(upstream.busy()) << 40) | upstream.mean_us.min((1 << 40) - 1);
        if has_room && upstream.is_slow {
            self.slow.set(index, rank);
        } else {
            self.slow.remove(index);
        }
        if has_room && !upstream.is_slow {
            self.ready.set(index, rank);
        } else {
            self.ready.remove(index);
        }
    }

    fn limits(&self) -> Limits {
        Limits {
            cold_slots: self.service.cold_slots,
            slots: self.service.slots,
            may_eject: (self.ejected + 1) * 2 <= self.live,
        }
    }
}

fn refusal(waiting: Waiting, reason: RefuseReason, retry_after_ms: u64) -> Decision {
    Decision::Refuse {
        waiting,
        reason,
        retry_after_ms,
    }
}

fn blend(mean: u64, sample: u64, weight: u64) -> u64 {
    (mean * (weight - 1) + sample) / weight
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

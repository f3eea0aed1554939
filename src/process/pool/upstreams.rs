//! The upstreams of one pool: concurrency limits, answer times and ranking.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::events::{Decision, InheritedCalls, ListedUpstream};
use crate::process::budget::TokenBucket;
use crate::process::heap::IndexedHeap;
use crate::process::lifecycle::{LifecycleState, Limits, Signal};
use crate::version::objects::Service;

/// An upstream whose mean time is more than this many times the median counts
/// as slow.
const SLOW_FACTOR: u64 = 4;
/// A new sample has a weight of one in this many in an upstream's mean time.
const MEAN_WINDOW_SAMPLES: u64 = 8;
/// Probes that an upstream's unused budget may accumulate.
const MAX_SAVED_PROBES: u64 = 1;

/// One upstream with its state, load and answer times.
#[derive(Debug)]
pub struct Upstream {
    name: Arc<str>,
    address: SocketAddr,
    state: LifecycleState,
    in_flight: usize,
    /// Calls of a previous holder of the pool that may still run.
    inherited: OccupiedSlots,
    /// Calls given up by this pool (cancelled or timed out) that may still run.
    abandoned: OccupiedSlots,
    mean_us: u64,
    is_measured: bool,
    is_slow: bool,
    last_started_us: u64,
    /// Sequence number of the last start of a call in the pool.
    last_start: u64,
    /// Whether an ejection ended and no probe has been sent since.
    needs_probe: bool,
    probe_budget: TokenBucket,
}

impl Upstream {
    fn occupied_slots(&self) -> usize {
        self.in_flight + self.inherited.calls + self.abandoned.calls
    }

    /// Sort key of upstreams with a free slot, lowest first: fewest occupied
    /// slots, then shortest mean time rounded down to a power of two, then
    /// least recently used, so that all of them stay warm.
    fn rank(&self) -> u64 {
        const START_BITS: u32 = 48;
        const MAGNITUDE_BITS: u32 = 6;
        // An upstream without an answer so far comes before measured ones.
        let magnitude = if self.is_measured {
            u64::from(self.mean_us.max(1).ilog2())
        } else {
            0
        };
        let start = self.last_start & ((1 << START_BITS) - 1);
        (to_u64(self.occupied_slots()) << (START_BITS + MAGNITUDE_BITS))
            | (magnitude << START_BITS)
            | start
    }

    /// Adds a call's time to the mean. A late answer of an upstream that counts
    /// as slow becomes [`Signal::AnsweredSlowly`].
    fn record_time(&mut self, signal: Signal, took_us: u64, pool_mean_us: u64) -> Signal {
        let has_time = matches!(
            signal,
            Signal::Answered | Signal::AnsweredOverloaded | Signal::TimedOut
        );
        if !has_time {
            return signal;
        }
        self.mean_us = if self.is_measured {
            moving_average(self.mean_us, took_us, MEAN_WINDOW_SAMPLES)
        } else {
            took_us
        };
        self.is_measured = true;
        let is_late = took_us > pool_mean_us.saturating_mul(SLOW_FACTOR);
        if signal == Signal::Answered && is_late && self.is_slow {
            return Signal::AnsweredSlowly;
        }
        signal
    }
}

/// A snapshot of an upstream's state for status reports.
#[derive(Clone, Debug)]
pub struct UpstreamSummary {
    /// Name, unique in the list.
    pub name: Arc<str>,
    /// Address that serves calls.
    pub address: SocketAddr,
    /// Lifecycle state.
    pub state: LifecycleState,
    /// Calls and probes in flight from this pool.
    pub in_flight: usize,
    /// Moving average of the answer time.
    pub mean_us: u64,
}

/// Calls that occupy slots until a time, or until they are known to have
/// ended.
#[derive(Clone, Copy, Debug, Default)]
struct OccupiedSlots {
    calls: usize,
    until_us: u64,
}

impl OccupiedSlots {
    fn expire(&mut self, now_us: u64) {
        if self.until_us <= now_us {
            self.calls = 0;
        }
    }
}

/// The upstreams of a pool, with indices of those that have a free slot.
#[derive(Debug)]
pub struct UpstreamSet {
    service: Arc<Service>,
    upstreams: Vec<Upstream>,
    index_by_name: HashMap<Arc<str>, usize>,
    fast: IndexedHeap,
    slow: IndexedHeap,
    capacity: usize,
    ejected_count: usize,
    /// Number of upstreams that are not leaving.
    live_count: usize,
    start_count: u64,
    /// Buffer for the median, kept so that it is not allocated each time.
    scratch: Vec<u64>,
}

impl UpstreamSet {
    /// Creates an empty set.
    #[must_use]
    pub fn new(service: Arc<Service>) -> Self {
        Self {
            service,
            upstreams: Vec::new(),
            index_by_name: HashMap::new(),
            fast: IndexedHeap::default(),
            slow: IndexedHeap::default(),
            capacity: 0,
            ejected_count: 0,
            live_count: 0,
            start_count: 0,
            scratch: Vec::new(),
        }
    }

    /// Returns the service's settings.
    #[must_use]
    pub fn service(&self) -> &Service {
        &self.service
    }

    /// Returns how many calls the upstreams may run at once, slow ones excluded.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Whether all upstreams are ejected or leaving, or there are none.
    #[must_use]
    pub fn has_none_available(&self) -> bool {
        self.live_count == self.ejected_count
    }

    /// Whether an upstream other than `avoid` takes calls, now or once it has a
    /// free slot.
    #[must_use]
    pub fn has_alternative(&self, avoid: usize) -> bool {
        let limits = self.limits();
        let takes_calls = |(index, upstream): (usize, &Upstream)| {
            index != avoid && upstream.state.limit(limits) > 0
        };
        self.upstreams.iter().enumerate().any(takes_calls)
    }

    /// Whether no upstream's state changes with time alone.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let is_settled = |upstream: &Upstream| {
            !upstream.state.is_ejected()
                && !upstream.needs_probe
                && upstream.inherited.calls + upstream.abandoned.calls == 0
        };
        self.upstreams.iter().all(is_settled)
    }

    /// Whether any upstream has a free slot.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        self.fast.first().is_some() || self.slow.first().is_some()
    }

    /// Returns the best fast upstream with a free slot, other than `avoid`.
    #[must_use]
    pub fn next_fast(&self, avoid: Option<usize>) -> Option<usize> {
        self.fast.first_except(avoid)
    }

    /// Returns the best slow upstream with a free slot, other than `avoid`.
    #[must_use]
    pub fn next_slow(&self, avoid: Option<usize>) -> Option<usize> {
        self.slow.first_except(avoid)
    }

    /// Returns the moving average of an upstream's answer time.
    #[must_use]
    pub fn mean_us(&self, index: usize) -> u64 {
        self.upstreams[index].mean_us
    }

    /// Returns the time at which an upstream last got a call.
    #[must_use]
    pub fn last_started_us(&self, index: usize) -> u64 {
        self.upstreams[index].last_started_us
    }

    /// Returns the name and address of the upstream at `index`.
    #[must_use]
    pub fn name_and_address(&self, index: usize) -> (&Arc<str>, SocketAddr) {
        let upstream = &self.upstreams[index];
        (&upstream.name, upstream.address)
    }

    /// Finds the index of the upstream with a name.
    #[must_use]
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.index_by_name.get(name).copied()
    }

    /// Describes all upstreams except those that left and run no more calls.
    #[must_use]
    pub fn summaries(&self) -> Vec<UpstreamSummary> {
        let mut summaries = Vec::new();
        for upstream in &self.upstreams {
            if upstream.state.is_leaving() && upstream.in_flight == 0 {
                continue;
            }
            summaries.push(UpstreamSummary {
                name: Arc::clone(&upstream.name),
                address: upstream.address,
                state: upstream.state,
                in_flight: upstream.in_flight,
                mean_us: upstream.mean_us,
            });
        }
        summaries
    }

    /// Applies the service's settings from a new version of the objects.
    pub fn configure(&mut self, service: Arc<Service>) {
        self.service = service;
        self.capacity = 0;
        let limits = self.limits();
        for index in 0..self.upstreams.len() {
            let upstream = &self.upstreams[index];
            if !upstream.is_slow {
                self.capacity += upstream.state.limit(limits);
            }
            self.refresh(index);
        }
    }

    /// Applies a new copy of the list: adds new upstreams, with `mean_us` as
    /// their first mean time, and marks missing ones as leaving.
    pub fn on_listed(&mut self, now_us: u64, listed: Vec<ListedUpstream>, mean_us: u64) {
        let mut named = vec![false; self.upstreams.len()];
        for entry in listed {
            let known = self.index_by_name.get(&entry.name).copied();
            let index = match known {
                Some(index) if self.upstreams[index].address == entry.address => index,
                _ if entry.is_leaving => continue,
                _ => self.add(now_us, entry.name, entry.address, mean_us),
            };
            if index < named.len() {
                named[index] = true;
            }
            let state = self.upstreams[index].state;
            if entry.is_leaving && !state.is_leaving() {
                self.set_state(index, state.on_leave());
            } else if !entry.is_leaving && state.is_leaving() {
                self.set_state(index, LifecycleState::initial(self.limits()));
            }
        }
        for (index, is_named) in named.into_iter().enumerate() {
            let state = self.upstreams[index].state;
            if !is_named && !state.is_leaving() {
                self.set_state(index, state.on_leave());
            }
        }
    }

    fn add(&mut self, now_us: u64, name: Arc<str>, address: SocketAddr, mean_us: u64) -> usize {
        if let Some(old) = self.index_by_name.get(&name).copied() {
            let state = self.upstreams[old].state.on_leave();
            self.set_state(old, state);
        }
        let upstream = Upstream {
            name: Arc::clone(&name),
            address,
            state: LifecycleState::initial(self.limits()),
            in_flight: 0,
            inherited: OccupiedSlots::default(),
            abandoned: OccupiedSlots::default(),
            mean_us,
            is_measured: false,
            is_slow: false,
            last_started_us: now_us,
            last_start: 0,
            needs_probe: false,
            probe_budget: self.new_probe_budget(now_us),
        };
        let index = self.insert_upstream(upstream);
        self.index_by_name.insert(name, index);
        self.live_count += 1;
        self.capacity += self.upstreams[index].state.limit(self.limits());
        self.refresh(index);
        index
    }

    /// Stores an upstream at the index of one that left and runs no more calls,
    /// or at the end.
    fn insert_upstream(&mut self, upstream: Upstream) -> usize {
        let reusable = self.upstreams.iter().position(|old| {
            old.state.is_leaving() && old.occupied_slots() == 0 && old.name != upstream.name
        });
        let Some(index) = reusable else {
            self.upstreams.push(upstream);
            return self.upstreams.len() - 1;
        };
        let old = std::mem::replace(&mut self.upstreams[index], upstream);
        if self.index_by_name.get(&old.name) == Some(&index) {
            self.index_by_name.remove(&old.name);
        }
        index
    }

    /// Creates a bucket with half of the service's probe budget, because two
    /// holders may probe the same upstream while their views differ.
    fn new_probe_budget(&self, now_us: u64) -> TokenBucket {
        let service = &self.service;
        let probes_per_second_milli =
            service.measuring_permille * to_u64(service.slots) * 1000 / service.probe_cost_ms;
        TokenBucket::new(probes_per_second_milli / 2, MAX_SAVED_PROBES, now_us)
    }

    /// Counts slots as occupied by calls of a previous holder of the pool.
    pub fn on_inherited(&mut self, inherited: &InheritedCalls) {
        for index in 0..self.upstreams.len() {
            let upstream = &mut self.upstreams[index];
            let name = inherited.upstream.as_ref();
            if name.is_some_and(|name| *name != upstream.name) {
                continue;
            }
            upstream.inherited = OccupiedSlots {
                calls: inherited.calls.unwrap_or(self.service.slots),
                until_us: inherited.until_us,
            };
            if inherited.is_warm && !upstream.state.is_leaving() {
                self.set_state(index, LifecycleState::warm());
            }
            self.refresh(index);
        }
    }

    /// Occupies a slot for a call that is being sent.
    pub fn start(&mut self, now_us: u64, index: usize) {
        self.start_count += 1;
        let upstream = &mut self.upstreams[index];
        upstream.in_flight += 1;
        upstream.last_started_us = now_us;
        upstream.last_start = self.start_count;
        self.refresh(index);
    }

    /// Frees the slot of a call that was never sent.
    pub fn on_unsent(&mut self, index: usize) {
        self.upstreams[index].in_flight -= 1;
        self.refresh(index);
    }

    /// Frees the slot of a call and updates its upstream's state. An answer
    /// counts as late in relation to `pool_mean_us`.
    pub fn on_ended(
        &mut self,
        now_us: u64,
        index: usize,
        signal: Signal,
        took_us: u64,
        pool_mean_us: u64,
    ) {
        let limits = self.limits();
        let run_limit_us = self.service.run_limit_ms * 1000;
        let upstream = &mut self.upstreams[index];
        upstream.in_flight -= 1;
        if signal.may_still_run() {
            upstream.abandoned.calls += 1;
            upstream.abandoned.until_us = now_us + run_limit_us;
        }
        if signal == Signal::Cancelled {
            self.refresh(index);
            return;
        }
        if signal.is_answer() {
            // The upstream is responsive, so by now it has noticed the closed
            // connections and dropped those calls.
            upstream.abandoned.calls = 0;
        }
        let signal = upstream.record_time(signal, took_us, pool_mean_us);
        let state = upstream.state.on_signal(signal, now_us, limits);
        self.set_state(index, state);
    }

    /// Frees the slot of a probe and updates its upstream's state.
    pub fn on_probed(&mut self, now_us: u64, index: usize, is_healthy: bool) {
        let upstream = &mut self.upstreams[index];
        upstream.in_flight -= 1;
        upstream.needs_probe = false;
        // A successful probe clears failures but must not raise the limit.
        let signal = if is_healthy {
            Signal::AnsweredOverloaded
        } else {
            Signal::ServerError
        };
        let state = upstream.state.on_signal(signal, now_us, self.limits());
        self.set_state(index, state);
    }

    /// Updates the state that changes with time, and appends the probes to
    /// send if `may_probe`.
    pub fn periodic_update(&mut self, now_us: u64, may_probe: bool, decisions: &mut Vec<Decision>) {
        let median_us = self.median_us();
        for index in 0..self.upstreams.len() {
            let limits = self.limits();
            let upstream = &mut self.upstreams[index];
            upstream.inherited.expire(now_us);
            upstream.abandoned.expire(now_us);
            let before = upstream.state;
            let after = before.on_tick(now_us, limits);
            upstream.needs_probe |= before.is_ejected() && !after.is_ejected();
            let is_slow = upstream.mean_us > median_us.saturating_mul(SLOW_FACTOR);
            self.set_slow(index, is_slow);
            self.set_state(index, after);
            if may_probe {
                self.probe(now_us, index, decisions);
            }
        }
    }

    fn probe(&mut self, now_us: u64, index: usize, decisions: &mut Vec<Decision>) {
        let has_free_slot = self.has_free_slot_at(index);
        let upstream = &mut self.upstreams[index];
        if !upstream.needs_probe || !has_free_slot || !upstream.probe_budget.try_take(now_us) {
            return;
        }
        upstream.needs_probe = false;
        upstream.in_flight += 1;
        self.refresh(index);
        decisions.push(Decision::Probe { upstream: index });
    }

    fn median_us(&mut self) -> u64 {
        self.scratch.clear();
        for upstream in &self.upstreams {
            if !upstream.state.is_leaving() {
                self.scratch.push(upstream.mean_us);
            }
        }
        if self.scratch.is_empty() {
            return 0;
        }
        // Takes the lower median, so that of two upstreams the faster one is
        // the reference.
        let middle = (self.scratch.len() - 1) / 2;
        *self.scratch.select_nth_unstable(middle).1
    }

    fn set_slow(&mut self, index: usize, is_slow: bool) {
        let limit = self.upstreams[index].state.limit(self.limits());
        let upstream = &mut self.upstreams[index];
        match (upstream.is_slow, is_slow) {
            (false, true) => self.capacity -= limit,
            (true, false) => self.capacity += limit,
            _ => {}
        }
        upstream.is_slow = is_slow;
    }

    fn set_state(&mut self, index: usize, state: LifecycleState) {
        let limits = self.limits();
        let upstream = &mut self.upstreams[index];
        let before = std::mem::replace(&mut upstream.state, state);
        if !upstream.is_slow {
            self.capacity = self.capacity + state.limit(limits) - before.limit(limits);
        }
        self.ejected_count =
            self.ejected_count + usize::from(state.is_ejected()) - usize::from(before.is_ejected());
        self.live_count =
            self.live_count + usize::from(!state.is_leaving()) - usize::from(!before.is_leaving());
        self.refresh(index);
    }

    fn has_free_slot_at(&self, index: usize) -> bool {
        let upstream = &self.upstreams[index];
        let limit = upstream.state.limit(self.limits());
        // A slow upstream gets one call at a time.
        let limit = if upstream.is_slow {
            limit.min(1)
        } else {
            limit
        };
        upstream.occupied_slots() < limit
    }

    /// Updates an upstream's membership and rank in the two heaps.
    fn refresh(&mut self, index: usize) {
        let has_free_slot = self.has_free_slot_at(index);
        let upstream = &self.upstreams[index];
        let rank = upstream.rank();
        if has_free_slot && upstream.is_slow {
            self.slow.set(index, rank);
        } else {
            self.slow.remove(index);
        }
        if has_free_slot && !upstream.is_slow {
            self.fast.set(index, rank);
        } else {
            self.fast.remove(index);
        }
    }

    fn limits(&self) -> Limits {
        Limits {
            cold_slots: self.service.cold_slots,
            slots: self.service.slots,
            may_eject: (self.ejected_count + 1) * 2 <= self.live_count,
        }
    }
}

/// Exponential moving average in which the new sample has a weight of one in
/// `window`.
#[must_use]
pub fn moving_average(mean: u64, sample: u64, window: u64) -> u64 {
    (mean * (window - 1) + sample) / window
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

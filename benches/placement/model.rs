//! The event model: arrivals, network hops, upstreams with slots, a slowdown,
//! cold restarts and a crash of a pool's holder.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use chicorywing::version::objects::TierKind;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::policy::{Action, Placer, Policy};

pub const INSTANCES: usize = 14;
pub const UPSTREAMS: usize = 12;
pub const SLOTS: usize = 2;
pub const DATA_CENTRES: usize = 3;
/// Calls that a cold upstream can hold; one more crashes it.
const COLD_SLOTS: usize = 1;
/// Answers after which a restarted upstream is warm.
const WARM_AFTER: usize = 8;
/// Time that a crashed upstream takes to restart.
const RESTART_US: u64 = 500_000;
/// One-way time within a data centre.
const LOCAL_HOP_US: u64 = 100;
/// One-way time between two data centres.
const REMOTE_HOP_US: u64 = 500;
/// Mean of the lognormal service time.
const MEAN_SERVICE_US: f64 = 5_000.0;
/// Standard deviation of the service time's logarithm.
const SERVICE_SIGMA: f64 = 0.8;
/// Time from a call's arrival to its deadline.
pub const DEADLINE_US: u64 = 1_000_000;
const DURATION_S: u64 = 60;
pub const END_US: u64 = DURATION_S * 1_000_000;

/// Load and faults of one run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub title: &'static str,
    /// Load of paying calls, as a share of all slots.
    pub paying: f64,
    /// Load of trial calls, as a share of all slots.
    pub trial: f64,
    /// Upstream 0 is ten times slower in the second quarter of the run.
    pub is_slow: bool,
    /// Upstreams 0, 4 and 8 restart cold after a third of the run.
    pub restarts: bool,
    /// The holder of pool 0 crashes in the middle of the run.
    pub holder_crashes: bool,
}

impl Scenario {
    pub fn all() -> Vec<Self> {
        let steady = Self {
            title: "steady, 85 % paying (ms)",
            paying: 0.85,
            trial: 0.0,
            is_slow: false,
            restarts: false,
            holder_crashes: false,
        };
        let mixed = Self {
            title: "60 % paying and 15 % trial (ms)",
            paying: 0.60,
            trial: 0.15,
            ..steady.clone()
        };
        let with = |title, change: fn(&mut Self), base: &Self| {
            let mut scenario = Self {
                title,
                ..base.clone()
            };
            change(&mut scenario);
            scenario
        };
        vec![
            with(
                "one upstream ten times slower, 85 % paying (ms)",
                |s| s.is_slow = true,
                &steady,
            ),
            with(
                "flood: 60 % paying, 150 % trial (ms)",
                |s| s.trial = 1.5,
                &mixed,
            ),
            with(
                "flood and slowdown (ms)",
                |s| (s.trial, s.is_slow) = (1.5, true),
                &mixed,
            ),
            with(
                "three cold restarts, 60 % and 15 % (ms)",
                |s| s.restarts = true,
                &mixed,
            ),
            with(
                "holder crashes, 60 % and 15 % (ms)",
                |s| s.holder_crashes = true,
                &mixed,
            ),
            steady,
            mixed,
        ]
    }
}

/// Results of one policy over all seeds.
#[derive(Debug, Default)]
pub struct RunStats {
    /// Latencies of paying calls; refused and unanswered ones count as the deadline.
    paying_us: Vec<u64>,
    refused: u64,
    late: u64,
    /// Trial calls answered before their deadline.
    trials_in_time: u64,
    /// Most calls, running and queued, at one upstream.
    max_calls: usize,
    /// The same for cold upstreams.
    max_calls_cold: usize,
}

impl RunStats {
    pub fn print(&mut self, policy: Policy) {
        self.paying_us.sort_unstable();
        let at = |permille: usize| {
            let index = (self.paying_us.len() * permille / 1000).min(self.paying_us.len() - 1);
            let tenths = self.paying_us[index] / 100;
            format!("{}.{}", tenths / 10, tenths % 10)
        };
        println!(
            "{:<22} {:>7} {:>7} {:>7} {:>9} {:>9} {:>8} {:>6} {:>6}",
            policy.name(),
            at(500),
            at(990),
            at(999),
            self.refused,
            self.late,
            self.trials_in_time,
            self.max_calls,
            self.max_calls_cold
        );
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A call arrives at its entry instance.
    Arrive(usize),
    /// A pool's holder receives a call: pool, call.
    AtPool(usize, usize),
    /// An upstream receives a call: upstream, call.
    AtUpstream(usize, usize),
    /// An upstream finishes a call: upstream, call, upstream's incarnation.
    Finished(usize, usize, u64),
    /// The answer reaches the pool's holder: upstream, call, time taken.
    AtHolder(usize, usize, u64),
    /// The answer reaches the entry instance: upstream, call, time taken.
    Answered(usize, usize, u64),
    /// The pools check their timers.
    Tick,
    /// Upstream 0 becomes slow, or fast again.
    Slow(bool),
    /// An upstream goes down.
    Restart(usize),
    /// An upstream is up again, and cold.
    Restarted(usize),
    /// The holder of pool 0 crashes.
    HolderCrash,
    /// The new holder of pool 0 starts to serve it.
    Takeover,
}

#[derive(Clone, Debug)]
pub struct Call {
    pub entry: usize,
    pub tier: TierKind,
    pub arrived_us: u64,
    pub sent_us: u64,
    pub pool: usize,
    is_finished: bool,
}

#[derive(Debug, Default)]
struct Server {
    running: Vec<usize>,
    queue: VecDeque<usize>,
    is_down: bool,
    /// Answers that are missing until it is warm; 0 once warm.
    answers_to_warm: usize,
    /// Number of crashes; events of an earlier incarnation are ignored.
    incarnation: u64,
}

pub struct Model<'s> {
    scenario: &'s Scenario,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    calls: Vec<Call>,
    servers: Vec<Server>,
    placer: Placer,
    random: StdRng,
    slow_factor: f64,
    is_ideal: bool,
    is_pooled: bool,
}

pub fn data_centre_of_instance(instance: usize) -> usize {
    instance % DATA_CENTRES
}

pub fn data_centre_of_upstream(upstream: usize) -> usize {
    upstream % DATA_CENTRES
}

impl<'s> Model<'s> {
    pub fn new(scenario: &'s Scenario, policy: Policy, seed: u64) -> Self {
        let mut model = Self {
            scenario,
            events: BinaryHeap::new(),
            sequence: 0,
            calls: Vec::new(),
            servers: (0..UPSTREAMS).map(|_| Server::default()).collect(),
            placer: Placer::new(policy, seed),
            random: StdRng::seed_from_u64(seed),
            slow_factor: 1.0,
            is_ideal: policy == Policy::Ideal,
            is_pooled: policy == Policy::Pools,
        };
        model.schedule_events();
        model
    }

    fn schedule_events(&mut self) {
        let slots = (UPSTREAMS * SLOTS) as f64;
        let schedule_calls = |tier: TierKind, share: f64, model: &mut Self| {
            let gap_us = MEAN_SERVICE_US / (slots * share.max(1e-9));
            let mut at_us = 0.0;
            if share <= 0.0 {
                return;
            }
            loop {
                let uniform: f64 = model.random.random();
                at_us -= gap_us * (1.0 - uniform).ln();
                if at_us >= END_US as f64 {
                    break;
                }
                let entry = model.random.random_range(0..INSTANCES);
                let call = model.calls.len();
                model.calls.push(Call {
                    entry,
                    tier,
                    arrived_us: at_us as u64,
                    sent_us: 0,
                    pool: 0,
                    is_finished: false,
                });
                model.push(at_us as u64, Event::Arrive(call));
            }
        };
        let (paying, trial) = (self.scenario.paying, self.scenario.trial);
        schedule_calls(TierKind::Paying, paying, self);
        schedule_calls(TierKind::Trial, trial, self);
        for tick in 0..END_US / 25_000 {
            self.push(tick * 25_000, Event::Tick);
        }
        if self.scenario.is_slow {
            self.push(END_US / 4, Event::Slow(true));
            self.push(END_US / 2, Event::Slow(false));
        }
        if self.scenario.restarts {
            for upstream in [0, 4, 8] {
                self.push(END_US / 3, Event::Restart(upstream));
            }
        }
        if self.scenario.holder_crashes {
            self.push(END_US / 2, Event::HolderCrash);
        }
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    pub fn run(mut self, run_stats: &mut RunStats) {
        while let Some(Reverse((now_us, _, event))) = self.events.pop() {
            self.handle(now_us, event, run_stats);
        }
        for call in &self.calls {
            if !call.is_finished && call.tier == TierKind::Paying {
                run_stats.late += 1;
                run_stats.paying_us.push(DEADLINE_US);
            }
        }
    }

    fn handle(&mut self, now_us: u64, event: Event, run_stats: &mut RunStats) {
        match event {
            Event::Arrive(call) => {
                let actions = self.placer.on_arrival(now_us, call, &mut self.calls[call]);
                self.apply_actions(now_us, actions, run_stats);
            }
            Event::AtPool(pool, call) => {
                let actions = self
                    .placer
                    .on_arrival_at_pool(now_us, pool, call, &self.calls[call]);
                self.apply_actions(now_us, actions, run_stats);
            }
            Event::AtUpstream(upstream, call) => {
                self.on_arrival_at_upstream(now_us, upstream, call, run_stats);
            }
            Event::Finished(upstream, call, incarnation) => {
                self.on_finished(now_us, upstream, call, incarnation);
            }
            Event::AtHolder(upstream, call, took_us) => {
                let tier = self.calls[call].tier;
                let pool = self.calls[call].pool;
                let actions = self
                    .placer
                    .on_ended(now_us, pool, upstream, tier, Some(took_us));
                self.apply_actions(now_us, actions, run_stats);
                let hop_us = self.hop_to_pool_us(self.calls[call].entry, pool);
                self.push(now_us + hop_us, Event::Answered(upstream, call, took_us));
            }
            Event::Answered(upstream, call, took_us) => {
                let state = &mut self.calls[call];
                self.placer.on_answered(now_us, state, upstream, took_us);
                state.is_finished = true;
                let total_us = now_us - state.arrived_us;
                if state.tier == TierKind::Trial {
                    run_stats.trials_in_time += u64::from(total_us <= DEADLINE_US);
                } else {
                    run_stats.late += u64::from(total_us > DEADLINE_US);
                    run_stats.paying_us.push(total_us.min(DEADLINE_US));
                }
            }
            Event::Tick => {
                let actions = self.placer.on_tick(now_us);
                self.apply_actions(now_us, actions, run_stats);
            }
            Event::Slow(is_slow) => self.slow_factor = if is_slow { 10.0 } else { 1.0 },
            Event::Restart(upstream) => self.crash(now_us, upstream, run_stats),
            Event::Restarted(upstream) => {
                self.servers[upstream].is_down = false;
                self.servers[upstream].answers_to_warm = WARM_AFTER;
            }
            Event::HolderCrash => {
                let lost = self.placer.on_holder_crash(now_us);
                for call in lost {
                    // The entry sees its connection break and places the call again.
                    self.push(now_us + REMOTE_HOP_US, Event::Arrive(call));
                }
                self.push(now_us + 100_000, Event::Takeover);
            }
            Event::Takeover => self.placer.on_takeover(now_us),
        }
    }

    fn apply_actions(&mut self, now_us: u64, actions: Vec<Action>, run_stats: &mut RunStats) {
        for action in actions {
            match action {
                Action::ToPool { pool, call } => {
                    let hop_us = self.hop_to_pool_us(self.calls[call].entry, pool);
                    self.push(now_us + hop_us, Event::AtPool(pool, call));
                }
                Action::ToUpstream { upstream, call } => {
                    self.calls[call].sent_us = now_us;
                    let from = if self.is_pooled {
                        self.calls[call].pool
                    } else {
                        data_centre_of_instance(self.calls[call].entry)
                    };
                    let hop_us = self.one_way_us(from, data_centre_of_upstream(upstream));
                    self.push(now_us + hop_us, Event::AtUpstream(upstream, call));
                }
                Action::Refuse { call } => {
                    let state = &mut self.calls[call];
                    state.is_finished = true;
                    if state.tier == TierKind::Paying {
                        run_stats.refused += 1;
                        run_stats.paying_us.push(DEADLINE_US);
                    }
                }
            }
        }
    }

    fn one_way_us(&self, from: usize, to: usize) -> u64 {
        match (self.is_ideal, from == to) {
            (true, _) => 0,
            (false, true) => LOCAL_HOP_US,
            (false, false) => REMOTE_HOP_US,
        }
    }

    fn hop_to_pool_us(&self, entry: usize, pool: usize) -> u64 {
        if !self.is_pooled || self.placer.is_holder(entry, pool) {
            return 0;
        }
        self.one_way_us(data_centre_of_instance(entry), pool)
    }

    fn on_arrival_at_upstream(
        &mut self,
        now_us: u64,
        upstream: usize,
        call: usize,
        run_stats: &mut RunStats,
    ) {
        let server = &mut self.servers[upstream];
        if server.is_down {
            self.reroute(now_us, upstream, call, run_stats);
            return;
        }
        server.queue.push_back(call);
        let calls_held = server.running.len() + server.queue.len();
        run_stats.max_calls = run_stats.max_calls.max(calls_held);
        if server.answers_to_warm > 0 {
            run_stats.max_calls_cold = run_stats.max_calls_cold.max(calls_held);
            if calls_held > COLD_SLOTS {
                self.crash(now_us, upstream, run_stats);
                return;
            }
        }
        self.start(now_us, upstream);
    }

    fn start(&mut self, now_us: u64, upstream: usize) {
        while self.servers[upstream].running.len() < SLOTS {
            let Some(call) = self.servers[upstream].queue.pop_front() else {
                return;
            };
            self.servers[upstream].running.push(call);
            let factor = if upstream == 0 { self.slow_factor } else { 1.0 };
            let time_us = (self.service_us() * factor) as u64;
            let incarnation = self.servers[upstream].incarnation;
            self.push(
                now_us + time_us,
                Event::Finished(upstream, call, incarnation),
            );
        }
    }

    fn service_us(&mut self) -> f64 {
        let (first, second): (f64, f64) = (self.random.random(), self.random.random());
        let normal = (-2.0 * (1.0 - first).ln()).sqrt() * (std::f64::consts::TAU * second).cos();
        (MEAN_SERVICE_US.ln() - SERVICE_SIGMA * SERVICE_SIGMA / 2.0 + SERVICE_SIGMA * normal).exp()
    }

    fn on_finished(&mut self, now_us: u64, upstream: usize, call: usize, incarnation: u64) {
        let server = &mut self.servers[upstream];
        if server.incarnation != incarnation {
            return;
        }
        server.running.retain(|running| *running != call);
        server.answers_to_warm = server.answers_to_warm.saturating_sub(1);
        let took_us = now_us - self.calls[call].sent_us;
        let data_centre = data_centre_of_upstream(upstream);
        if self.is_pooled {
            let hop_us = self.one_way_us(self.calls[call].pool, data_centre);
            self.push(now_us + hop_us, Event::AtHolder(upstream, call, took_us));
        } else {
            let hop_us =
                self.one_way_us(data_centre, data_centre_of_instance(self.calls[call].entry));
            self.push(now_us + hop_us, Event::Answered(upstream, call, took_us));
        }
        self.start(now_us, upstream);
    }

    /// Takes an upstream down with all of its calls; it restarts cold.
    fn crash(&mut self, now_us: u64, upstream: usize, run_stats: &mut RunStats) {
        let server = &mut self.servers[upstream];
        server.is_down = true;
        server.incarnation += 1;
        let mut cut = std::mem::take(&mut server.running);
        cut.extend(std::mem::take(&mut server.queue));
        self.push(now_us + RESTART_US, Event::Restarted(upstream));
        for call in cut {
            self.reroute(now_us, upstream, call, run_stats);
        }
    }

    /// Ends a call that lost its upstream, and places it again before its deadline.
    fn reroute(&mut self, now_us: u64, upstream: usize, call: usize, run_stats: &mut RunStats) {
        let state = &self.calls[call];
        let (pool, tier) = (state.pool, state.tier);
        let actions = self.placer.on_ended(now_us, pool, upstream, tier, None);
        self.apply_actions(now_us, actions, run_stats);
        if now_us - self.calls[call].arrived_us < DEADLINE_US {
            self.push(now_us + REMOTE_HOP_US, Event::Arrive(call));
        }
    }
}

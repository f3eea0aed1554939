//! Discrete-event simulation of one service behind the gateway: upstreams with
//! slots, a queue and a speed that changes several times a second, instances in
//! several data centres, and callers that retry once and time out.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use chicorywing::decision::selection::{Load, Reading, USUAL_SPEED_PERCENT};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use strum::{Display, EnumIter, EnumString};

use crate::policy::{NextStep, Placer, Policy};

/// Period after which the slowdown of an upstream is drawn anew.
const SLOWDOWN_PERIOD_US: u64 = 150_000;
/// Share of the time in which an upstream is slow.
const SLOW_SHARE: f64 = 0.25;
/// Factor on the time of a request on a slow upstream.
const SLOW_FACTOR: f64 = 5.0;
/// Share of busy slots above which requests take longer.
const SATURATED_SHARE: f64 = 0.8;
/// Factor on the time of a request above that share.
const SATURATED_FACTOR: f64 = 1.7;
/// Factor on the time of a request on a cold upstream.
const COLD_FACTOR: f64 = 2.0;
/// One-way network delay within a data centre.
const LOCAL_ONE_WAY_US: u64 = 100;
/// One-way network delay between two data centres.
const REMOTE_ONE_WAY_US: u64 = 500;
/// Payoff of an answer after the latency objective; one in time earns 1.
const LATE_PAYOFF: f64 = 0.1;
/// Length of the windows that [`RunStats::worst_window`] compares.
const WINDOW_US: u64 = 2_000_000;
const SECOND_US: u64 = 1_000_000;
/// Length of a run; the pattern is active from a third to half of it.
const RUN_US: u64 = 30 * SECOND_US;

/// Disturbance of the load or the upstreams during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Pattern {
    /// None: the usual load.
    Calm,
    /// Three times the usual load.
    Burst,
    /// A fifth of the upstreams takes four times as long.
    SlowShare,
    /// A third of the upstreams is cold, at 1.5 times the usual load.
    ColdThird,
    /// A third of the upstreams rejects all requests.
    SheddingThird,
}

/// Size and load of the simulated service.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub instances: usize,
    pub upstreams: usize,
    pub data_centres: usize,
    pub slots: u32,
    /// Largest number of queued requests of an upstream.
    pub queue: u32,
    /// Median time of a request on an idle upstream.
    pub work_ms: f64,
    /// Standard deviation of the logarithm of that time.
    pub spread: f64,
    pub objective_ms: u64,
    pub deadline_ms: u64,
    /// Share of all slots that the usual load keeps busy, at the usual speed.
    pub load: f64,
}

impl Setup {
    /// A service of twelve upstreams behind thirteen instances.
    pub fn small() -> Self {
        Self {
            instances: 13,
            upstreams: 12,
            data_centres: 3,
            slots: 2,
            queue: 4,
            work_ms: 220.0,
            spread: 0.3,
            objective_ms: 600,
            deadline_ms: 1_500,
            load: 0.25,
        }
    }
}

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub struct RunStats {
    pub requests: u64,
    pub in_time: u64,
    pub refused: u64,
    pub failed: u64,
    pub probes: u64,
    pub sent_remote: u64,
    /// Payoff earned and largest possible payoff, by window.
    windows: Vec<(f64, f64)>,
}

impl RunStats {
    /// Payoff earned, as a share of the largest possible one.
    pub fn payoff(&self) -> f64 {
        let (earned, possible) = self.windows.iter().fold((0.0, 0.0), |sum, window| {
            (sum.0 + window.0, sum.1 + window.1)
        });
        earned / f64::max(possible, 1.0)
    }

    /// Smallest share of the possible payoff earned in any window.
    pub fn worst_window(&self) -> f64 {
        let shares = self.windows.iter().filter(|(_, possible)| *possible > 0.0);
        shares
            .map(|(earned, possible)| earned / possible)
            .fold(1.0, f64::min)
    }

    fn record(&mut self, request: &Request, payoff: f64) {
        let window = usize::try_from(request.first_arrival_us / WINDOW_US).unwrap_or(0);
        if self.windows.len() <= window {
            self.windows.resize(window + 1, (0.0, 0.0));
        }
        self.windows[window].0 += payoff;
        self.windows[window].1 += 1.0;
        self.requests += 1;
        self.in_time += u64::from(payoff >= 1.0);
    }
}

/// One request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub instance: usize,
    /// Arrival of the first attempt.
    pub first_arrival_us: u64,
    /// Arrival of this attempt.
    pub arrived_us: u64,
    pub work_us: f64,
    pub sent_us: u64,
    has_retried: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    /// The probes of a request are answered.
    Readings(usize),
    AtUpstream(usize, usize),
    Done(usize, usize),
    Answered(usize, usize),
}

#[derive(Clone, Debug, Default)]
struct Upstream {
    running: u32,
    queue: VecDeque<usize>,
}

/// State of a run.
pub struct Model {
    pub setup: Setup,
    pattern: Pattern,
    seed: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    requests: Vec<Request>,
    upstreams: Vec<Upstream>,
    pub stats: RunStats,
}

impl Model {
    pub fn new(setup: Setup, pattern: Pattern, seed: u64) -> Self {
        let mut model = Self {
            setup,
            pattern,
            seed,
            events: BinaryHeap::new(),
            sequence: 0,
            requests: Vec::new(),
            upstreams: vec![Upstream::default(); setup.upstreams],
            stats: RunStats::default(),
        };
        model.draw_requests();
        model
    }

    /// Draws all requests from the seed, so that every policy gets the same ones.
    fn draw_requests(&mut self) {
        let mut random = StdRng::seed_from_u64(self.seed);
        let setup = self.setup;
        let slots = f64::from(setup.slots) * setup.upstreams as f64;
        let usual_gap_us = setup.work_ms * 1_000.0 / (slots * setup.load);
        let mut at_us = 0.0;
        loop {
            let factor = self.load_factor(at_us as u64);
            let uniform: f64 = random.random();
            at_us -= usual_gap_us / factor * (1.0 - uniform).ln();
            if at_us as u64 >= RUN_US {
                return;
            }
            let normal = normal(&mut random);
            let work_ms = setup.work_ms * (setup.spread * normal).exp();
            let request = Request {
                instance: random.random_range(0..setup.instances),
                first_arrival_us: at_us as u64,
                arrived_us: at_us as u64,
                work_us: work_ms * 1_000.0,
                sent_us: 0,
                has_retried: false,
            };
            self.requests.push(request);
            self.push(at_us as u64, Event::Arrive(self.requests.len() - 1));
        }
    }

    /// Runs all requests with a policy.
    pub fn run(mut self, policy: Policy) -> RunStats {
        let mut placer = Placer::new(policy, &self.setup, self.seed);
        while let Some(Reverse((now_us, _, event))) = self.events.pop() {
            match event {
                Event::Arrive(request) => {
                    let step = placer.arrive(&mut self, now_us, request);
                    self.apply_step(now_us, request, step);
                }
                Event::Readings(request) => {
                    let step = placer.on_readings(&mut self, now_us, request);
                    self.apply_step(now_us, request, step);
                }
                Event::AtUpstream(request, upstream) => {
                    self.arrive_at_upstream(now_us, request, upstream, &mut placer);
                }
                Event::Done(request, upstream) => self.done(now_us, request, upstream),
                Event::Answered(request, upstream) => {
                    let state = self.requests[request];
                    let step = placer.on_answer(&state, upstream);
                    self.record_answer(now_us, request);
                    if let Some((request, step)) = step {
                        self.apply_step(now_us, request, step);
                    }
                }
            }
        }
        self.stats
    }

    fn apply_step(&mut self, now_us: u64, request: usize, step: NextStep) {
        match step {
            NextStep::Probe { until_us } => self.push(until_us, Event::Readings(request)),
            NextStep::Reschedule { at_us } => self.push(at_us, Event::Arrive(request)),
            NextStep::Wait => {}
            NextStep::Send { upstream } => {
                let one_way_us = self.one_way_us(request, upstream);
                self.stats.sent_remote += u64::from(one_way_us == REMOTE_ONE_WAY_US);
                self.requests[request].sent_us = now_us;
                self.push(now_us + one_way_us, Event::AtUpstream(request, upstream));
            }
            NextStep::Refuse { retry_after_ms } => self.refuse(now_us, request, retry_after_ms),
        }
    }

    /// A refused caller retries once, unless it would time out before.
    fn refuse(&mut self, now_us: u64, request: usize, retry_after_ms: u64) {
        let retry_us = now_us + retry_after_ms * 1_000;
        let state = &mut self.requests[request];
        let timeout_us = state.first_arrival_us + self.setup.deadline_ms * 1_000;
        if state.has_retried || retry_us >= timeout_us {
            self.stats.refused += 1;
            self.stats.record(&self.requests[request], 0.0);
            return;
        }
        state.has_retried = true;
        state.arrived_us = retry_us;
        self.push(retry_us, Event::Arrive(request));
    }

    fn arrive_at_upstream(
        &mut self,
        now_us: u64,
        request: usize,
        upstream: usize,
        placer: &mut Placer,
    ) {
        let state = &mut self.upstreams[upstream];
        let is_full = state.queue.len() >= self.setup.queue as usize;
        let rejects = self.pattern == Pattern::SheddingThird
            && is_pattern_active(now_us)
            && upstream.is_multiple_of(3);
        if is_full || rejects {
            let request_state = self.requests[request];
            placer.on_rejected(&request_state, upstream);
            let one_way_us = self.one_way_us(request, upstream);
            self.push(now_us + one_way_us, Event::Arrive(request));
            return;
        }
        self.upstreams[upstream].queue.push_back(request);
        self.start(now_us, upstream);
    }

    fn start(&mut self, now_us: u64, upstream: usize) {
        while self.upstreams[upstream].running < self.setup.slots {
            let Some(request) = self.upstreams[upstream].queue.pop_front() else {
                return;
            };
            self.upstreams[upstream].running += 1;
            let end_us = self.end_us(now_us, upstream, self.requests[request].work_us);
            self.push(end_us, Event::Done(request, upstream));
        }
    }

    fn done(&mut self, now_us: u64, request: usize, upstream: usize) {
        self.upstreams[upstream].running -= 1;
        let one_way_us = self.one_way_us(request, upstream);
        self.push(now_us + one_way_us, Event::Answered(request, upstream));
        self.start(now_us, upstream);
    }

    fn record_answer(&mut self, now_us: u64, request: usize) {
        let state = self.requests[request];
        let took_us = now_us - state.first_arrival_us;
        let payoff = if took_us <= self.setup.objective_ms * 1_000 {
            1.0
        } else if took_us <= self.setup.deadline_ms * 1_000 {
            LATE_PAYOFF
        } else {
            self.stats.failed += 1;
            0.0
        };
        self.stats.record(&state, payoff);
    }

    /// Time at which a request that starts now ends, with the slowdown of each
    /// period until then.
    fn end_us(&self, start_us: u64, upstream: usize, work_us: f64) -> u64 {
        let busy = f64::from(self.upstreams[upstream].running) / f64::from(self.setup.slots);
        let saturation = if busy > SATURATED_SHARE {
            SATURATED_FACTOR
        } else {
            1.0
        };
        let mut left_us = work_us * saturation;
        let mut now_us = start_us;
        loop {
            let period_end_us = (now_us / SLOWDOWN_PERIOD_US + 1) * SLOWDOWN_PERIOD_US;
            let slowdown = self.slowdown(upstream, now_us);
            let needed_us = left_us * slowdown;
            let span_us = (period_end_us - now_us) as f64;
            if needed_us <= span_us {
                return now_us + needed_us as u64 + 1;
            }
            left_us -= span_us / slowdown;
            now_us = period_end_us;
        }
    }

    /// Factor on the time of a request on an upstream now.
    fn slowdown(&self, upstream: usize, now_us: u64) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, upstream, now_us / SLOWDOWN_PERIOD_US).hash(&mut hasher);
        let drawn = (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64;
        let mut slowdown = if drawn < SLOW_SHARE { SLOW_FACTOR } else { 1.0 };
        if self.pattern == Pattern::SlowShare
            && is_pattern_active(now_us)
            && upstream.is_multiple_of(5)
        {
            slowdown *= 4.0;
        }
        if self.is_cold(upstream, now_us) {
            slowdown *= COLD_FACTOR;
        }
        slowdown
    }

    pub fn is_cold(&self, upstream: usize, now_us: u64) -> bool {
        self.pattern == Pattern::ColdThird
            && is_pattern_active(now_us)
            && upstream.is_multiple_of(3)
    }

    fn load_factor(&self, now_us: u64) -> f64 {
        match self.pattern {
            Pattern::Burst if is_pattern_active(now_us) => 3.0,
            Pattern::ColdThird if is_pattern_active(now_us) => 1.5,
            _ => 1.0,
        }
    }

    /// Result of a probe of an upstream now.
    pub fn reading(&mut self, upstream: usize, now_us: u64) -> Reading {
        self.stats.probes += 1;
        let state = &self.upstreams[upstream];
        let load = Load {
            running: state.running,
            waiting: u32::try_from(state.queue.len()).unwrap_or(u32::MAX),
            slots: self.setup.slots,
            speed_percent: USUAL_SPEED_PERCENT * self.slowdown(upstream, now_us),
        };
        Reading {
            load: Some(load),
            cold_left_ms: u64::from(self.is_cold(upstream, now_us)) * 1_000,
            is_healthy: true,
        }
    }

    pub fn request(&self, request: usize) -> &Request {
        &self.requests[request]
    }

    pub fn is_local(&self, request: usize, upstream: usize) -> bool {
        let instance = self.requests[request].instance;
        instance % self.setup.data_centres == upstream % self.setup.data_centres
    }

    /// One-way delay between the instance of a request and an upstream.
    pub fn one_way_us(&self, request: usize, upstream: usize) -> u64 {
        if self.is_local(request, upstream) {
            LOCAL_ONE_WAY_US
        } else {
            REMOTE_ONE_WAY_US
        }
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }
}

/// Whether the disturbance of the pattern is active.
fn is_pattern_active(now_us: u64) -> bool {
    (RUN_US / 3..RUN_US / 2).contains(&now_us)
}

/// Draws from the standard normal distribution (Box-Muller transform).
fn normal(random: &mut StdRng) -> f64 {
    let (first, second): (f64, f64) = (random.random(), random.random());
    (-2.0 * (1.0 - first).ln()).sqrt() * (std::f64::consts::TAU * second).cos()
}

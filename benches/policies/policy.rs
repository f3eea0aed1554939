//! The ways to place a request that are compared: the gateway's own decisions,
//! and simple ones.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use chicorywing::decision::admission::{Admission, PROBE_AGAIN_PAUSE_MS, PendingRequest};
use chicorywing::decision::cold_limiter::{ColdLimit, ColdLimiter};
use chicorywing::decision::ejection::{EjectionState, Evidence};
use chicorywing::decision::selection::{
    Candidate, Locality, PROBES_PER_ROUND, Reading, can_stop_probing, cost, probe_order,
    weighted_sample,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use strum::{Display, EnumIter, EnumString};

use crate::model::{Model, Request, Setup};

/// Bytes of request and answer.
const BYTES: f64 = 400.0;
/// Requests a second that a cold upstream bears, and the fleet's bound.
const COLD: ColdLimit = ColdLimit {
    per_s: 2.9,
    factor: 1.5,
    slack: 5.0,
};

/// A way to place requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// Any upstream.
    Random,
    /// The upstream to which the instance has the fewest requests on the way.
    LeastInFlight,
    /// The better one of two that are asked for their load.
    ProbeOfTwo,
    /// One holder for each data centre, which knows what is on the way to its
    /// upstreams, but not how fast they are now; what finds no slot waits.
    Holders,
    /// What the gateway does.
    Gateway,
}

/// What happens next with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// Upstreams are asked for their load until then.
    Probe {
        until_us: u64,
    },
    /// It is placed anew then.
    Reschedule {
        at_us: u64,
    },
    /// It waits for a slot.
    Wait,
    Send {
        upstream: usize,
    },
    Refuse {
        retry_after_ms: u64,
    },
}

/// A search of one request: who is drawn, and how many have been asked.
#[derive(Clone, Debug)]
struct Asking {
    drawn: Vec<usize>,
    asked: usize,
    round: usize,
}

/// One way with all its state.
pub struct Placer {
    policy: Policy,
    random: StdRng,
    in_flight: Vec<Vec<u32>>,
    conditions: Vec<Vec<EjectionState>>,
    cold: Vec<ColdLimiter>,
    names: Vec<Arc<str>>,
    upstream_names: Vec<Arc<str>>,
    asking: HashMap<usize, Asking>,
    held: Vec<u32>,
    waiting: VecDeque<usize>,
    work_ms: f64,
}

impl Placer {
    pub fn new(policy: Policy, setup: &Setup, seed: u64) -> Self {
        Self {
            policy,
            random: StdRng::seed_from_u64(seed ^ 0xabcd),
            in_flight: vec![vec![0; setup.upstreams]; setup.instances],
            conditions: vec![vec![EjectionState::default(); setup.upstreams]; setup.instances],
            cold: (0..setup.instances)
                .map(|_| ColdLimiter::default())
                .collect(),
            names: (0..setup.instances)
                .map(|n| format!("gate-{n}").into())
                .collect(),
            upstream_names: (0..setup.upstreams)
                .map(|n| format!("up-{n}").into())
                .collect(),
            asking: HashMap::new(),
            held: vec![0; setup.upstreams],
            waiting: VecDeque::new(),
            work_ms: setup.work_ms,
        }
    }

    pub fn arrive(&mut self, model: &mut Model, now_us: u64, request: usize) -> NextStep {
        let found = *model.request(request);
        let gives_up_us = found.first_arrival_us + model.setup.deadline_ms * 1_000;
        if now_us >= gives_up_us {
            return NextStep::Refuse { retry_after_ms: 0 };
        }
        match self.policy {
            Policy::Random => {
                let upstream = self.random.random_range(0..model.setup.upstreams);
                self.send(&found, upstream)
            }
            Policy::LeastInFlight => {
                let in_flight = &self.in_flight[found.instance];
                let start = self.random.random_range(0..in_flight.len());
                let order = (0..in_flight.len()).map(|step| (start + step) % in_flight.len());
                let upstream = order.min_by_key(|upstream| in_flight[*upstream]);
                self.send(&found, upstream.unwrap_or(start))
            }
            Policy::Holders => self.place_by_holders(model, now_us, request),
            Policy::ProbeOfTwo | Policy::Gateway => self.start_probing(model, now_us, request),
        }
    }

    fn send(&mut self, request: &Request, upstream: usize) -> NextStep {
        self.in_flight[request.instance][upstream] += 1;
        NextStep::Send { upstream }
    }

    /// Draws the upstreams to ask.
    fn start_probing(&mut self, model: &mut Model, now_us: u64, request: usize) -> NextStep {
        let instance = model.request(request).instance;
        let mut usable = Vec::new();
        let mut candidates = Vec::new();
        for upstream in 0..model.setup.upstreams {
            let condition = &self.conditions[instance][upstream];
            if self.policy == Policy::Gateway && !condition.is_usable(now_us / 1_000) {
                continue;
            }
            usable.push(upstream);
            candidates.push(Candidate {
                is_local: model.is_local(request, upstream),
                is_connected: false,
                failure_share: condition.failure_share(),
            });
        }
        let near = candidates.iter().filter(|candidate| candidate.is_local);
        let locality = Locality::new(BYTES, near.count());
        let (drawn, first) = match self.policy {
            Policy::ProbeOfTwo => (
                weighted_sample(&candidates, locality, 2, &mut self.random),
                2,
            ),
            _ => (
                probe_order(&candidates, locality, &mut self.random),
                PROBES_PER_ROUND[0],
            ),
        };
        let drawn: Vec<usize> = drawn.into_iter().map(|index| usable[index]).collect();
        let asked = first.min(drawn.len());
        let asking = Asking {
            drawn,
            asked,
            round: 0,
        };
        let until_us = now_us + round_trip_us(model, request, &asking.drawn[..asked]);
        self.asking.insert(request, asking);
        NextStep::Probe { until_us }
    }

    pub fn on_readings(&mut self, model: &mut Model, now_us: u64, request: usize) -> NextStep {
        let Some(mut asking) = self.asking.remove(&request) else {
            return NextStep::Wait;
        };
        let found = *model.request(request);
        let mut readings: Vec<(usize, Reading)> = Vec::new();
        for upstream in &asking.drawn[..asking.asked] {
            readings.push((*upstream, model.reading(*upstream, now_us)));
        }
        if self.policy == Policy::Gateway && asking.asked < asking.drawn.len() {
            let held_ms = (now_us - found.arrived_us) / 1_000;
            let left_ms = model.setup.objective_ms.saturating_sub(held_ms);
            let told: Vec<Reading> = readings.iter().map(|(_, reading)| *reading).collect();
            let has_round = asking.round + 1 < PROBES_PER_ROUND.len();
            if has_round && !can_stop_probing(&told, self.work_ms, left_ms) {
                asking.round += 1;
                let more = asking.asked + PROBES_PER_ROUND[asking.round];
                asking.asked = more.min(asking.drawn.len());
                let until_us = now_us + round_trip_us(model, request, &asking.drawn);
                self.asking.insert(request, asking);
                return NextStep::Probe { until_us };
            }
        }
        self.decide(model, now_us, request, readings)
    }

    fn decide(
        &mut self,
        model: &Model,
        now_us: u64,
        request: usize,
        mut readings: Vec<(usize, Reading)>,
    ) -> NextStep {
        let found = *model.request(request);
        let locality = Locality::new(BYTES, 0);
        let cost_of = |(upstream, reading): &(usize, Reading)| {
            let cold = if reading.cold_left_ms > 0 { 2.0 } else { 1.0 };
            cold * cost(reading, locality, model.is_local(request, *upstream))
        };
        readings.sort_by(|a, b| cost_of(a).total_cmp(&cost_of(b)));
        if self.policy == Policy::ProbeOfTwo {
            let best = readings.first().map_or(0, |(upstream, _)| *upstream);
            return self.send(&found, best);
        }
        let best = readings.into_iter().find(|(upstream, reading)| {
            reading.cold_left_ms == 0 || self.take_cold(found.instance, *upstream, now_us)
        });
        let held_ms = (now_us - found.arrived_us) / 1_000;
        let spent_ms = (now_us - found.first_arrival_us) / 1_000;
        let search = PendingRequest {
            priority: 0,
            held_ms,
            objective_ms: model.setup.objective_ms,
            left_ms: model.setup.deadline_ms.saturating_sub(spent_ms),
            work_ms: self.work_ms,
        };
        let load = best.as_ref().and_then(|(_, reading)| reading.load);
        match (search.decide(load.as_ref()), best) {
            (Admission::Send, Some((upstream, _))) => self.send(&found, upstream),
            (Admission::Refuse { retry_after_ms }, _) => NextStep::Refuse { retry_after_ms },
            _ => NextStep::Reschedule {
                at_us: now_us + PROBE_AGAIN_PAUSE_MS * 1_000,
            },
        }
    }

    fn take_cold(&mut self, instance: usize, upstream: usize, now_us: u64) -> bool {
        let me = &self.names[instance];
        let subject = &self.upstream_names[upstream];
        self.cold[instance].try_acquire(subject, &self.names, me, COLD, now_us / 1_000)
    }

    fn place_by_holders(&mut self, model: &Model, now_us: u64, request: usize) -> NextStep {
        let found = *model.request(request);
        let free = (0..model.setup.upstreams).filter(|up| self.held[*up] < model.setup.slots);
        let best = free.min_by_key(|up| (self.held[*up], !model.is_local(request, *up)));
        if let Some(upstream) = best {
            self.held[upstream] += 1;
            return self.send(&found, upstream);
        }
        let slots = model.setup.upstreams as f64 * f64::from(model.setup.slots);
        let wait_ms = self.work_ms * (self.waiting.len() as f64 + 1.0) / slots;
        let spent_ms = ((now_us - found.first_arrival_us) / 1_000) as f64;
        if spent_ms + wait_ms + self.work_ms > model.setup.objective_ms as f64 {
            let retry_after_ms = (self.work_ms / 2.0) as u64;
            return NextStep::Refuse { retry_after_ms };
        }
        self.waiting.push_back(request);
        NextStep::Wait
    }

    /// An upstream has answered; a request that waited may take its place.
    pub fn on_answer(&mut self, request: &Request, upstream: usize) -> Option<(usize, NextStep)> {
        self.in_flight[request.instance][upstream] -= 1;
        self.conditions[request.instance][upstream].on_evidence(Evidence::Served, 0);
        if self.policy != Policy::Holders {
            return None;
        }
        self.held[upstream] -= 1;
        let next = self.waiting.pop_front()?;
        self.held[upstream] += 1;
        // The holder sends it; which instance it came from does not matter.
        self.in_flight[request.instance][upstream] += 1;
        Some((next, NextStep::Send { upstream }))
    }

    /// An upstream has turned a request down.
    pub fn on_shed(&mut self, request: &Request, upstream: usize) {
        self.in_flight[request.instance][upstream] -= 1;
        let now_ms = request.sent_us / 1_000;
        self.conditions[request.instance][upstream].on_evidence(Evidence::Shed, now_ms);
        if self.policy == Policy::Holders {
            self.held[upstream] -= 1;
        }
    }
}

fn round_trip_us(model: &Model, request: usize, upstreams: &[usize]) -> u64 {
    let hops = upstreams
        .iter()
        .map(|upstream| model.one_way_us(request, *upstream));
    2 * hops.max().unwrap_or(0)
}

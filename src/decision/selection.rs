//! Which upstreams are asked for their load, and which one gets the request.

use rand::{Rng, RngExt};

/// Upstreams that are asked for one request, by rounds. Mostly the first one
/// is idle; the last round is for when all others would answer too late.
pub const PROBES_PER_ROUND: [usize; 3] = [1, 2, 3];
/// Weight of an upstream in the own data centre when candidates are drawn.
const NEAR_WEIGHT: f64 = 2.0;
/// Weight that each kilobyte of request and answer adds to that.
const NEAR_WEIGHT_PER_KB: f64 = 1.0;
/// Upstreams in the own data centre that double that weight once more: among
/// many of them, one is idle as likely as among all.
const NEAR_ENOUGH: f64 = 8.0;
/// Most by which their number raises that weight, so that some of those that
/// are asked stand elsewhere also where hundreds stand near.
const NEAR_CHOICE_MAX: f64 = 6.0;
/// Weight of an upstream to which a connection stands; a new one takes its time.
const CONNECTED_WEIGHT: f64 = 4.0;
/// Factor on the cost of an upstream in another data centre.
const FAR_COST: f64 = 1.1;
/// What each kilobyte of request and answer adds to that.
const FAR_COST_PER_KB: f64 = 0.1;
/// Factor on the cost of an upstream that calls itself unhealthy.
const UNHEALTHY_COST: f64 = 8.0;
/// Requests for each slot up to which an upstream counts as idle.
const GOOD_TURNS: f64 = 0.5;
/// Speed figure up to which an upstream works at its usual pace.
const GOOD_SPEED_PERCENT: f64 = 110.0;
/// Speed figure of an upstream that works at its usual pace.
pub const USUAL_SPEED_PERCENT: f64 = 100.0;

/// What an upstream told of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time that work takes, in percent of the usual time.
    pub speed_percent: f64,
}

/// What a probe found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// The load, if the upstream tells it.
    pub load: Option<Load>,
    /// Time for which the upstream is still cold.
    pub cold_left_ms: u64,
    /// Whether it calls itself healthy.
    pub is_healthy: bool,
}

/// How much rather a kind of request stays in its data centre; bytes between
/// data centres are paid for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Locality {
    /// Weight of near upstreams when candidates are drawn.
    pub local_weight: f64,
    /// Factor on the cost of far upstreams.
    pub remote_cost_factor: f64,
}

impl Locality {
    /// Nearness of requests with so many bytes, answers included, where so many
    /// upstreams stand in the own data centre.
    #[must_use]
    pub fn new(bytes: f64, near_upstreams: usize) -> Self {
        let kilobytes = bytes / 1_000.0;
        let near = f64::from(u32::try_from(near_upstreams).unwrap_or(u32::MAX));
        let choice = (1.0 + near / NEAR_ENOUGH).min(NEAR_CHOICE_MAX);
        Self {
            local_weight: choice * (NEAR_WEIGHT + NEAR_WEIGHT_PER_KB * kilobytes),
            remote_cost_factor: FAR_COST + FAR_COST_PER_KB * kilobytes,
        }
    }
}

/// One upstream that may be drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Whether it stands in the own data centre.
    pub is_local: bool,
    /// Whether a connection to it stands.
    pub is_connected: bool,
    /// Share of its recent requests that failed.
    pub failure_share: f64,
}

/// Draws the candidates that are asked for one request, round by round.
///
/// The last round is for when nobody so far would answer in time; it is drawn
/// from all data centres alike, since what fills the near upstreams up mostly
/// fills all of them.
pub fn probe_order(
    candidates: &[Candidate],
    locality: Locality,
    random: &mut impl Rng,
) -> Vec<usize> {
    let [first, second, last] = PROBES_PER_ROUND;
    let mut drawn = weighted_sample(candidates, locality, first + second, random);
    let mut rest = Vec::with_capacity(candidates.len());
    for index in 0..candidates.len() {
        if !drawn.contains(&index) {
            rest.push(index);
        }
    }
    let others: Vec<Candidate> = rest.iter().map(|index| candidates[*index]).collect();
    let anywhere = Locality {
        local_weight: 1.0,
        ..locality
    };
    for position in weighted_sample(&others, anywhere, last, random) {
        drawn.push(rest[position]);
    }
    drawn
}

/// Draws up to `count` different candidates, near and sound ones rather.
pub fn weighted_sample(
    candidates: &[Candidate],
    locality: Locality,
    count: usize,
    random: &mut impl Rng,
) -> Vec<usize> {
    let mut weights = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        weights.push(weight(candidate, locality));
    }
    let mut drawn = Vec::with_capacity(count);
    while drawn.len() < count.min(candidates.len()) {
        let total: f64 = weights.iter().sum();
        let mut point = random.random::<f64>() * total;
        let mut last = None;
        for (index, weight) in weights.iter().enumerate() {
            if *weight == 0.0 {
                continue;
            }
            last = Some(index);
            point -= weight;
            if point <= 0.0 {
                break;
            }
        }
        let Some(index) = last else {
            break;
        };
        weights[index] = 0.0;
        drawn.push(index);
    }
    drawn
}

fn weight(candidate: &Candidate, locality: Locality) -> f64 {
    let near = if candidate.is_local {
        locality.local_weight
    } else {
        1.0
    };
    let connected = if candidate.is_connected {
        CONNECTED_WEIGHT
    } else {
        1.0
    };
    near * connected * (1.0 - candidate.failure_share).max(0.05)
}

/// Cost of sending to an upstream; the lowest one gets the request.
#[must_use]
pub fn cost(reading: &Reading, locality: Locality, is_local: bool) -> f64 {
    let mut cost = reading.load.map_or(1.0, |load| {
        requests_per_slot(&load) * load.speed_percent / USUAL_SPEED_PERCENT
    });
    if !is_local {
        cost *= locality.remote_cost_factor;
    }
    if !reading.is_healthy {
        cost *= UNHEALTHY_COST;
    }
    cost
}

/// Whether an upstream will answer as soon as any could: it is idle enough and
/// works at its usual pace.
#[must_use]
pub fn is_idle_at_usual_speed(reading: &Reading) -> bool {
    let Some(load) = reading.load else {
        return false;
    };
    reading.is_healthy
        && reading.cold_left_ms == 0
        && load.waiting == 0
        && requests_per_slot(&load) <= GOOD_TURNS
        && load.speed_percent <= GOOD_SPEED_PERCENT
}

/// Whether asking more upstreams is not worth it: one is idle at its usual
/// pace, or of several one will answer within the time left.
#[must_use]
pub fn can_stop_probing(readings: &[Reading], work_ms: f64, left_ms: u64) -> bool {
    let left_ms = f64::from(u32::try_from(left_ms).unwrap_or(u32::MAX));
    let is_in_time = |reading: &Reading| expected_ms(reading, work_ms) <= left_ms;
    readings.iter().any(is_idle_at_usual_speed)
        || (readings.len() > 1 && readings.iter().any(is_in_time))
}

/// Time that work is expected to take on an upstream, in milliseconds.
#[must_use]
pub fn expected_ms(reading: &Reading, work_ms: f64) -> f64 {
    let factor = reading.load.map_or(1.0, |load| {
        requests_per_slot(&load).max(1.0) * (load.speed_percent / USUAL_SPEED_PERCENT).max(1.0)
    });
    work_ms * factor
}

/// Requests for each slot once another one is sent.
#[must_use]
pub fn requests_per_slot(load: &Load) -> f64 {
    f64::from(load.running + load.waiting + 1) / f64::from(load.slots.max(1))
}

//! Selection of the upstreams to probe for a request, and of the one to send it
//! to.

use rand::{Rng, RngExt};

/// Number of upstreams probed for one request, by round. Usually the first
/// upstream is idle; the last round runs only if no upstream in the earlier ones
/// would respond in time.
pub const PROBES_PER_ROUND: [usize; 3] = [1, 2, 3];
/// Sampling weight of an upstream in the local data centre; a remote one has 1.
const LOCAL_WEIGHT: f64 = 2.0;
/// Addition to that weight for each kilobyte of request and response.
const LOCAL_WEIGHT_PER_KB: f64 = 1.0;
/// Number of local upstreams that doubles the local weight: among many local
/// upstreams, an idle one is as likely to be found as among all upstreams.
const LOCAL_UPSTREAMS_TO_DOUBLE: f64 = 8.0;
/// Largest factor by which the number of local upstreams raises the weight, so
/// that some probes go to remote upstreams even if hundreds are local.
const MAX_LOCAL_COUNT_FACTOR: f64 = 6.0;
/// Sampling weight factor of an upstream with an open connection, as opening a
/// new one takes time.
const CONNECTED_WEIGHT: f64 = 4.0;
/// Sampling weight factor of an upstream in the preferred subset: 16 of 168 then get four of
/// five draws.
const PREFERRED_WEIGHT: f64 = 32.0;
/// Cost factor of an upstream in another data centre.
const REMOTE_COST_FACTOR: f64 = 1.1;
/// Addition to that factor for each kilobyte of request and response.
const REMOTE_COST_FACTOR_PER_KB: f64 = 0.1;
/// Cost factor of an upstream that reports itself unhealthy.
const UNHEALTHY_COST_FACTOR: f64 = 8.0;
/// Requests per slot, the new one included, up to which an upstream counts as
/// idle.
const MAX_IDLE_REQUESTS_PER_SLOT: f64 = 0.5;
/// Value of `speed_percent` up to which an upstream counts as running at its
/// usual speed.
const MAX_USUAL_SPEED_PERCENT: f64 = 110.0;
/// Value of `speed_percent` of an upstream that runs at its usual speed.
pub const USUAL_SPEED_PERCENT: f64 = 100.0;

/// Load that an upstream reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Time that a request takes, in percent of its usual time; above 100 is
    /// slower than usual.
    pub speed_percent: f64,
}

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// Load, if the upstream reports it.
    pub load: Option<Load>,
    /// Remaining warm-up time of the upstream, in milliseconds.
    pub cold_left_ms: u64,
    /// Whether the upstream reports itself healthy.
    pub is_healthy: bool,
}

/// Preference of a kind of request for upstreams in the local data centre, as
/// traffic between data centres costs money.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Locality {
    /// Sampling weight of local upstreams; remote ones have 1.
    pub local_weight: f64,
    /// Cost factor of remote upstreams.
    pub remote_cost_factor: f64,
}

impl Locality {
    /// Preference of requests whose bodies have `bytes` bytes, that of the response
    /// included, given the number of upstreams in the local data centre.
    #[must_use]
    pub fn new(bytes: f64, local_upstreams: usize) -> Self {
        let kilobytes = bytes / 1_000.0;
        let local_upstreams = f64::from(u32::try_from(local_upstreams).unwrap_or(u32::MAX));
        let count_factor =
            (1.0 + local_upstreams / LOCAL_UPSTREAMS_TO_DOUBLE).min(MAX_LOCAL_COUNT_FACTOR);
        Self {
            local_weight: count_factor * (LOCAL_WEIGHT + LOCAL_WEIGHT_PER_KB * kilobytes),
            remote_cost_factor: REMOTE_COST_FACTOR + REMOTE_COST_FACTOR_PER_KB * kilobytes,
        }
    }
}

/// An upstream that may be probed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Whether the upstream is in the local data centre.
    pub is_local: bool,
    /// Whether an idle connection to the upstream is open.
    pub is_connected: bool,
    /// Whether it is in the subset that this instance prefers.
    pub is_preferred: bool,
    /// Share of the recent requests to the upstream that failed, from 0 to 1.
    pub failure_share: f64,
}

/// Draws the candidates to probe for one request and returns their indices in
/// the order of [`PROBES_PER_ROUND`].
///
/// The last round runs only if no upstream so far would answer in time. It
/// ignores locality and the preferred subset, as these are usually all busy by then.
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
    let mut others = Vec::with_capacity(rest.len());
    for index in &rest {
        others.push(Candidate {
            is_preferred: false,
            ..candidates[*index]
        });
    }
    let without_locality = Locality {
        local_weight: 1.0,
        ..locality
    };
    for position in weighted_sample(&others, without_locality, last, random) {
        drawn.push(rest[position]);
    }
    drawn
}

/// Draws the indices of up to `count` different candidates by weight; local,
/// connected and reliable ones are more likely.
pub fn weighted_sample(
    candidates: &[Candidate],
    locality: Locality,
    count: usize,
    random: &mut impl Rng,
) -> Vec<usize> {
    let mut weights = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        weights.push(sampling_weight(candidate, locality));
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

fn sampling_weight(candidate: &Candidate, locality: Locality) -> f64 {
    let local = if candidate.is_local {
        locality.local_weight
    } else {
        1.0
    };
    let connected = if candidate.is_connected {
        CONNECTED_WEIGHT
    } else {
        1.0
    };
    let preferred = if candidate.is_preferred {
        PREFERRED_WEIGHT
    } else {
        1.0
    };
    local * connected * preferred * (1.0 - candidate.failure_share).max(0.05)
}

/// Cost of sending a request to an upstream; the one with the lowest cost gets
/// it.
#[must_use]
pub fn cost(reading: &Reading, locality: Locality, is_local: bool) -> f64 {
    let mut cost = reading.load.map_or(1.0, |load| {
        requests_per_slot(&load) * load.speed_percent / USUAL_SPEED_PERCENT
    });
    if !is_local {
        cost *= locality.remote_cost_factor;
    }
    if !reading.is_healthy {
        cost *= UNHEALTHY_COST_FACTOR;
    }
    cost
}

/// Whether an upstream is idle and runs at its usual speed, so that no other one
/// would answer sooner.
#[must_use]
pub fn is_idle_at_usual_speed(reading: &Reading) -> bool {
    let Some(load) = reading.load else {
        return false;
    };
    reading.is_healthy
        && reading.cold_left_ms == 0
        && load.waiting == 0
        && requests_per_slot(&load) <= MAX_IDLE_REQUESTS_PER_SLOT
        && load.speed_percent <= MAX_USUAL_SPEED_PERCENT
}

/// Whether the readings suffice to choose: one upstream is idle at its usual
/// speed, or one of several is expected to answer within `left_ms`.
#[must_use]
pub fn can_stop_probing(readings: &[Reading], work_ms: f64, left_ms: u64) -> bool {
    let left_ms = f64::from(u32::try_from(left_ms).unwrap_or(u32::MAX));
    let answers_in_time = |reading: &Reading| expected_ms(reading, work_ms) <= left_ms;
    readings.iter().any(is_idle_at_usual_speed)
        || (readings.len() > 1 && readings.iter().any(answers_in_time))
}

/// Expected time until an upstream answers a request that takes `work_ms` when
/// the upstream is idle, in milliseconds.
#[must_use]
pub fn expected_ms(reading: &Reading, work_ms: f64) -> f64 {
    let factor = reading.load.map_or(1.0, |load| {
        requests_per_slot(&load).max(1.0) * (load.speed_percent / USUAL_SPEED_PERCENT).max(1.0)
    });
    work_ms * factor
}

/// Requests per slot of an upstream, with one more request added.
#[must_use]
pub fn requests_per_slot(load: &Load) -> f64 {
    f64::from(load.running + load.waiting + 1) / f64::from(load.slots.max(1))
}

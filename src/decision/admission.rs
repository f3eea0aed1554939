//! Whether a request is sent now, tried again shortly, or refused.

use super::selection::{Load, USUAL_SPEED_PERCENT, requests_per_slot};

/// Part of the latency objective in which a request may look for room.
const SEARCH_PART: f64 = 0.12;
/// Pause between two looks for room.
pub const PROBE_AGAIN_PAUSE_MS: u64 = 12;
/// Rounds of waiting requests that the most urgent kind may join.
const ROUNDS_MAX: f64 = 2.0;
/// Rounds that each further rank gives up.
const ROUNDS_PER_RANK: f64 = 0.25;
/// Shortest time after which a refused caller is asked to return.
const RETURN_MIN_MS: f64 = 60.0;
/// Longest time after which a refused caller is asked to return.
const RETURN_MAX_MS: f64 = 2_000.0;
/// Most of the caller's time left that the wait before its return may take.
const RETURN_PART: f64 = 0.3;

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// Send it to the best upstream.
    Send,
    /// Look for room again after a pause.
    ProbeAgain,
    /// Refuse it; there is no room in time.
    Refuse {
        /// When the caller may return.
        retry_after_ms: u64,
    },
}

/// What is known of a request that looks for room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingRequest {
    /// Rank of the request; 0 is the most urgent.
    pub priority: u8,
    /// Time since the request came.
    pub held_ms: u64,
    /// Time in which an answer is of full use.
    pub objective_ms: u64,
    /// Time until the caller or the route gives up.
    pub left_ms: u64,
    /// Mean time that such requests take on an idle upstream.
    pub work_ms: f64,
}

impl PendingRequest {
    /// Decides by the load of the best upstream; `None` if none answered.
    #[must_use]
    pub fn decide(&self, best: Option<&Load>) -> Admission {
        if best.is_some_and(|load| self.fits(load)) {
            return Admission::Send;
        }
        if to_f64(self.held_ms) < SEARCH_PART * to_f64(self.objective_ms) {
            return Admission::ProbeAgain;
        }
        Admission::Refuse {
            retry_after_ms: self.retry_after_ms(),
        }
    }

    fn fits(&self, load: &Load) -> bool {
        if load.running + load.waiting < load.slots {
            return true;
        }
        // A late answer is of little use, and takes the place of a timely one.
        let rounds = ROUNDS_MAX - ROUNDS_PER_RANK * f64::from(self.priority.min(3));
        let expected_ms =
            requests_per_slot(load) * self.work_ms * load.speed_percent / USUAL_SPEED_PERCENT;
        let useful_ms = to_f64(self.objective_ms.min(self.held_ms + self.left_ms));
        requests_per_slot(load) <= rounds && to_f64(self.held_ms) + expected_ms < useful_ms
    }

    /// Half a run from now a slot is likely to be free.
    #[must_use]
    pub fn retry_after_ms(&self) -> u64 {
        let wait_ms = (self.work_ms / 2.0).clamp(RETURN_MIN_MS, RETURN_MAX_MS);
        let most_ms = (RETURN_PART * to_f64(self.left_ms)).max(1.0);
        let wait = std::time::Duration::from_secs_f64(wait_ms.min(most_ms) / 1_000.0);
        u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)
    }
}

fn to_f64(time_ms: u64) -> f64 {
    f64::from(u32::try_from(time_ms).unwrap_or(u32::MAX))
}

//! Admission control: whether the gateway sends a request now, probes again
//! after a pause, or refuses the request.

use super::selection::{Load, USUAL_SPEED_PERCENT, requests_per_slot};

/// Share of the latency objective during which a request without a free
/// upstream probes again.
const PROBE_AGAIN_SHARE: f64 = 0.12;
/// Delay before a request probes again, in milliseconds.
pub const PROBE_AGAIN_DELAY_MS: u64 = 12;
/// Requests per slot, the new one included, up to which a request of the
/// highest priority may queue at an upstream.
const MAX_REQUESTS_PER_SLOT: f64 = 2.0;
/// Reduction of that limit for each lower priority.
const REQUESTS_PER_SLOT_PRIORITY_STEP: f64 = 0.25;
/// Share of the slots up to which requests are sent where organisations share the capacity:
/// upstreams take 1.7 times as long above it, so that fewer requests are served in time.
const SHARED_SLOTS: f64 = 0.8;
/// The same share for requests of an unusually high demand of their organisation.
const EXCESS_SLOTS: f64 = 0.5;
/// Shortest retry delay that a refused caller is given.
const MIN_RETRY_AFTER_MS: f64 = 60.0;
/// Longest retry delay that a refused caller is given.
const MAX_RETRY_AFTER_MS: f64 = 2_000.0;
/// Largest share of the caller's remaining time that the retry delay may take.
const MAX_RETRY_AFTER_SHARE: f64 = 0.3;

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// Send the request to the best upstream.
    Send,
    /// Probe upstreams again after [`PROBE_AGAIN_DELAY_MS`].
    ProbeAgain,
    /// Refuse the request, as no upstream would answer it in time.
    Refuse {
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// How requests share the capacity of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// Among all callers alike.
    Alike,
    /// Between organisations.
    Organisations {
        /// Whether the request exceeds twice its organisation's usual demand.
        is_excess: bool,
    },
}

/// A request that has not been assigned to an upstream yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingRequest {
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time since the request arrived, in milliseconds.
    pub held_ms: u64,
    /// Latency objective: a response within this time is of full use to the caller.
    pub objective_ms: u64,
    /// Time until the timeout of the caller or the route, in milliseconds.
    pub left_ms: u64,
    /// Mean time that requests of this route take on an idle upstream.
    pub work_ms: f64,
    /// How it shares the capacity with others.
    pub sharing: Sharing,
}

impl PendingRequest {
    /// Decides by the load of the best upstream; `None` if no upstream answered
    /// its probe.
    #[must_use]
    pub fn decide(&self, best: Option<&Load>) -> Admission {
        if best.is_some_and(|load| self.fits(load)) {
            return Admission::Send;
        }
        if to_f64(self.held_ms) < PROBE_AGAIN_SHARE * to_f64(self.objective_ms) {
            return Admission::ProbeAgain;
        }
        self.refusal()
    }

    /// Refuses the request.
    #[must_use]
    pub fn refusal(&self) -> Admission {
        Admission::Refuse {
            retry_after_ms: self.retry_after_ms(),
        }
    }

    fn fits(&self, load: &Load) -> bool {
        if !self.fits_share(load) {
            return false;
        }
        if load.running + load.waiting < load.slots {
            return true;
        }
        // A late response is of little use, and making it delays requests that
        // could still be served in time.
        let max_per_slot = MAX_REQUESTS_PER_SLOT
            - REQUESTS_PER_SLOT_PRIORITY_STEP * f64::from(self.priority.min(3));
        let expected_ms =
            requests_per_slot(load) * self.work_ms * load.speed_percent / USUAL_SPEED_PERCENT;
        let useful_ms = to_f64(self.objective_ms.min(self.held_ms + self.left_ms));
        requests_per_slot(load) <= max_per_slot && to_f64(self.held_ms) + expected_ms < useful_ms
    }

    /// Whether the request leaves the slots that organisations keep free; a single request
    /// always may use one.
    fn fits_share(&self, load: &Load) -> bool {
        let max_per_slot = match self.sharing {
            Sharing::Alike => return true,
            Sharing::Organisations { is_excess: true } => EXCESS_SLOTS,
            Sharing::Organisations { is_excess: false } => SHARED_SLOTS,
        };
        load.running + load.waiting == 0 || requests_per_slot(load) <= max_per_slot
    }

    /// Time after which a refused caller may retry, in milliseconds.
    ///
    /// A slot is likely to be free after half the mean time of a request.
    #[must_use]
    pub fn retry_after_ms(&self) -> u64 {
        let wait_ms = (self.work_ms / 2.0).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        let max_ms = (MAX_RETRY_AFTER_SHARE * to_f64(self.left_ms)).max(1.0);
        let wait = std::time::Duration::from_secs_f64(wait_ms.min(max_ms) / 1_000.0);
        u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)
    }
}

fn to_f64(time_ms: u64) -> f64 {
    f64::from(u32::try_from(time_ms).unwrap_or(u32::MAX))
}

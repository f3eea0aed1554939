//! Runs requests that other instances hand over.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method};
use tokio::time::Instant;

use super::attempts::Attempts;
use super::calls::{BodyReservation, Call};
use super::forward::forward_taken;
use super::handed::{HandedAnswer, HandedEnd, HandedRequest, Offer, decode_headers};
use super::outcome::Outcome;
use super::state::Gateway;
use super::store::Platform;

/// Requests of other instances that run at a time: those of 12 instances whose routes
/// take a second, at 20 requests a second each.
const MAX_TAKEN: usize = 256;
/// Retry delay for requests beyond that, in milliseconds.
const FULL_RETRY_AFTER_MS: u64 = 250;
/// Retry delay for requests that this instance cannot take for as long as callers wait.
const NEVER_RETRY_AFTER_MS: u64 = 60_000;
/// Longest time from sending to receiving a request, in milliseconds, beyond which this
/// instance stood still or its links to the sender are slow.
const MAX_TRANSIT_MS: u64 = 250;
/// Age of the last answer beyond which this instance checks its links before an offer; a
/// cut that is younger shows when the request comes.
const CHECK_AFTER_MS: u64 = 80;
/// Time for that check, well within the time for an offer.
const CHECK_WAIT: Duration = Duration::from_millis(60);

/// The requests that this instance runs for others.
#[derive(Debug, Default)]
pub struct TakenState {
    running: AtomicUsize,
    /// Attempts of those that have an id.
    attempts: Mutex<HashMap<Vec<u8>, Arc<Attempts>>>,
}

impl TakenState {
    /// Requests that this instance runs for others.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Upstreams that a running request with this id was sent to.
    #[must_use]
    pub fn upstreams_of(&self, id: &[u8]) -> Vec<Arc<str>> {
        let attempts = self.lock_attempts().get(id).map(Arc::clone);
        attempts.map_or_else(Vec::new, |attempts| attempts.history().tried)
    }

    fn lock_attempts(&self) -> MutexGuard<'_, HashMap<Vec<u8>, Arc<Attempts>>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes the attempts of a taken request known by its id until it is dropped.
struct KnownAttempts<'t> {
    taken: &'t TakenState,
    id: Vec<u8>,
    attempts: Arc<Attempts>,
}

impl<'t> KnownAttempts<'t> {
    fn new(taken: &'t TakenState, id: Vec<u8>, attempts: Arc<Attempts>) -> Self {
        taken
            .lock_attempts()
            .insert(id.clone(), Arc::clone(&attempts));
        Self {
            taken,
            id,
            attempts,
        }
    }
}

impl Drop for KnownAttempts<'_> {
    fn drop(&mut self) {
        let mut known = self.taken.lock_attempts();
        // A later copy of the request may have taken the place.
        let is_known = known
            .get(&self.id)
            .is_some_and(|known| Arc::ptr_eq(known, &self.attempts));
        if is_known {
            known.remove(&self.id);
        }
    }
}

/// Counts a taken request until it is dropped.
struct TakenGuard<'g, P>(&'g Gateway<P>);

impl<'g, P> TakenGuard<'g, P> {
    fn begin(gateway: &'g Gateway<P>) -> (Self, usize) {
        let before = gateway.taken.running.fetch_add(1, Ordering::Relaxed);
        gateway.metrics.taken.inc();
        (Self(gateway), before)
    }
}

impl<P> Drop for TakenGuard<'_, P> {
    fn drop(&mut self) {
        self.0.taken.running.fetch_sub(1, Ordering::Relaxed);
        self.0.metrics.taken.dec();
    }
}

/// Tells another instance whether this one takes its requests.
pub async fn offer<P: Platform>(gateway: &Gateway<P>) -> Offer {
    let asked_ms = gateway.now_ms();
    let has_answer = gateway
        .contact
        .has_answer_since(asked_ms.saturating_sub(CHECK_AFTER_MS), CHECK_WAIT)
        .await;
    let is_cut_off = gateway.contact.is_cut_off();
    let now_ms = gateway.now_ms();
    let no_answer_ms = gateway.contact.decision().no_answer_ms(now_ms);
    let running = gateway.taken.running();
    Offer {
        is_willing: has_answer && gateway.is_ready() && running < MAX_TAKEN,
        no_answer_ms,
        taken: u32::try_from(running).unwrap_or(u32::MAX),
        now_ms,
        willing: if is_cut_off {
            gateway.offers.willing()
        } else {
            Vec::new()
        },
    }
}

/// Runs a request of another instance; it is never handed on.
pub async fn run<P: Platform>(gateway: &Arc<Gateway<P>>, handed: HandedRequest) -> HandedAnswer {
    let (_guard, running) = TakenGuard::begin(gateway);
    if running >= MAX_TAKEN {
        return not_taken("too many requests of other instances", FULL_RETRY_AFTER_MS);
    }
    let now_ms = gateway.now_ms();
    if now_ms.abs_diff(handed.sent_ms) > MAX_TRANSIT_MS {
        return not_taken("it stood still, or its offer is of an earlier process", 1);
    }
    if gateway.is_stopping() || gateway.contact.is_cut_off() {
        return not_taken("it stops, or is cut off too", 1);
    }
    let transit_ms = now_ms.saturating_sub(handed.sent_ms);
    let held_ms = handed.held_ms + transit_ms;
    let service = Arc::clone(&handed.service);
    let attempts = Arc::new(Attempts::after(handed.history.clone()));
    let known = handed.id.clone();
    let _known = known.map(|id| KnownAttempts::new(&gateway.taken, id, Arc::clone(&attempts)));
    let call = match read(gateway, handed) {
        Ok(call) => call,
        Err(answer) => return answer,
    };
    if gateway.log_budget.take() {
        tracing::info!(
            request = call.id_text(),
            route = %call.route.name,
            version = call.version,
            service = %service,
            transit_ms,
            held_ms,
            left_ms = call.left_ms(),
            sends = attempts.sends(),
            running,
            "request taken from another instance"
        );
    }
    let Some(outcome) = forward_taken(gateway, &call, &service, &attempts).await else {
        return not_taken("no upstream answers it either", 1);
    };
    let mut history = attempts.history();
    // Its instance may not get the response, or may know the route as another kind.
    history.may_have_run |= matches!(outcome, Outcome::Answered(_));
    HandedAnswer::Ended {
        end: HandedEnd::from_outcome(outcome),
        history,
    }
}

fn not_taken(why: &str, retry_after_ms: u64) -> HandedAnswer {
    HandedAnswer::NotTaken {
        why: why.to_owned(),
        retry_after_ms,
    }
}

/// Finds the request's route in the version that this instance knows.
fn read<P: Platform>(gateway: &Gateway<P>, handed: HandedRequest) -> Result<Call, HandedAnswer> {
    let Some(manifest) = gateway.manifest().filter(|_| gateway.knows_fleet_state()) else {
        let why = "no version of the routes is known";
        return Err(not_taken(why, NEVER_RETRY_AFTER_MS));
    };
    let path = handed.target.split('?').next().unwrap_or_default();
    let route = manifest.route(&handed.host, path);
    let Some(route) = route.filter(|route| {
        let mut targets = route.targets.iter();
        targets.any(|target| target.service == handed.service)
    }) else {
        let why = "its version has no such route";
        return Err(not_taken(why, NEVER_RETRY_AFTER_MS));
    };
    let Ok(method) = Method::from_bytes(handed.method.as_bytes()) else {
        return Err(not_taken("the method is invalid", NEVER_RETRY_AFTER_MS));
    };
    let mut reservation = BodyReservation::new(&gateway.body_memory);
    if !reservation.grow(handed.body.len()) {
        return Err(not_taken("no memory for the body", FULL_RETRY_AFTER_MS));
    }
    let now = Instant::now();
    // Not less the time in transit, which is estimated: the other instance ends the request at
    // its deadline.
    let left = Duration::from_millis(handed.left_ms);
    Ok(Call {
        id: handed.id.and_then(|id| HeaderValue::from_bytes(&id).ok()),
        method,
        headers: decode_headers(&handed.headers),
        body: Bytes::from(handed.body),
        reservation,
        route: Arc::clone(route),
        organisation: None,
        version: manifest.version,
        // Its upstreams get the usual time to answer their probes.
        arrived: now,
        deadline: now + left,
        fingerprint: OnceLock::new(),
        target: handed.target,
    })
}

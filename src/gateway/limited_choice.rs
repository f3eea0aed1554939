//! Chooses a limited upstream for a request, if one has a permit to give.
//!
//! Limited upstreams are tried first and without a probe, which the limit would count:
//! what they allow is known exactly, and what does not fit goes to the others.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::RngExt;
use rand::seq::SliceRandom;
use tokio::time::Instant;

use super::calls::Call;
use super::outcome::{Outcome, Reason};
use super::probing::ProbedUpstream;
use super::send_permit::{self, SendPermit};
use super::state::Gateway;
use super::store::Platform;
use super::upstream_client::{UpstreamClient, evidence_of};
use crate::decision::directory::Upstream;
use crate::decision::rate_limits::RateLimit;
use crate::decision::return_schedule::{Refusal, ReturnSchedule};
use crate::decision::send_permits::{MAX_PRIORITY, PermitDecision};

/// Upstreams for which one request asks for a permit in one round.
const MAX_ASKS: usize = 2;
/// The same if no upstream without a limit has room.
const MAX_LAST_ASKS: usize = 6;
/// Share of the caller's remaining time that the retry delay may take.
const MAX_RETRY_AFTER_SHARE: f64 = 0.3;
/// Longest retry delay that a refused caller is given, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 2_000;
/// Limited upstreams named in the line about a refusal.
const MAX_NAMED: usize = 4;

/// Until when permits of an upstream need not be asked for again, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Denial {
    /// By priority; a more urgent request may still get one.
    used_up_until_ms: [u64; MAX_PRIORITY as usize + 1],
    busy_until_ms: u64,
}

/// Denials by upstream, and the return times of refused callers by service.
#[derive(Debug, Default)]
pub struct LimitedChoice {
    denials: Mutex<HashMap<Arc<str>, Denial>>,
    returns: Mutex<HashMap<Arc<str>, ReturnSchedule>>,
}

impl LimitedChoice {
    /// Forgets until when an upstream has no permits, as its limit changed.
    pub fn forget(&self, upstream: &str) {
        self.denials().remove(upstream);
    }

    /// Forgets denials that have ended.
    pub fn expire(&self, now_ms: u64) {
        self.denials().retain(|_, denial| {
            let used_up_until_ms = denial.used_up_until_ms.into_iter().max().unwrap_or(0);
            used_up_until_ms.max(denial.busy_until_ms) > now_ms
        });
    }

    fn denials(&self) -> MutexGuard<'_, HashMap<Arc<str>, Denial>> {
        self.denials.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn returns(&self) -> MutexGuard<'_, HashMap<Arc<str>, ReturnSchedule>> {
        self.returns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time until a permit may be asked for again, in milliseconds; 0 if now.
    fn denied_for_ms(
        &self,
        upstream: &str,
        priority: u8,
        is_last_resort: bool,
        now_ms: u64,
    ) -> u64 {
        let denials = self.denials();
        let Some(denial) = denials.get(upstream) else {
            return 0;
        };
        let mut until_ms = denial.used_up_until_ms[usize::from(priority.min(MAX_PRIORITY))];
        if !is_last_resort {
            until_ms = until_ms.max(denial.busy_until_ms);
        }
        until_ms.saturating_sub(now_ms)
    }

    fn on_denied(&self, upstream: &Arc<str>, priority: u8, decision: PermitDecision, now_ms: u64) {
        let mut denials = self.denials();
        let denial = denials.entry(Arc::clone(upstream)).or_default();
        match decision {
            PermitDecision::Granted => {}
            PermitDecision::UsedUp { retry_ms } => {
                // Instances that are denied together must not all ask at the same moment.
                let jitter_ms = rand::rng().random_range(0..=retry_ms / 4);
                let until_ms = now_ms + retry_ms + jitter_ms;
                for slot in &mut denial.used_up_until_ms[usize::from(priority.min(MAX_PRIORITY))..]
                {
                    *slot = until_ms.max(*slot);
                }
            }
            PermitDecision::Busy { retry_ms } => denial.busy_until_ms = now_ms + retry_ms,
        }
    }
}

/// An upstream chosen for a request.
pub struct Chosen<P: Platform> {
    /// The upstream and the connection to send on.
    pub upstream: ProbedUpstream,
    /// The permit, if the upstream is limited.
    pub permit: Option<SendPermit<P>>,
}

impl<P: Platform> From<ProbedUpstream> for Chosen<P> {
    fn from(upstream: ProbedUpstream) -> Self {
        Self {
            upstream,
            permit: None,
        }
    }
}

/// A limited upstream that a request may use.
struct LimitedUpstream {
    upstream: Arc<Upstream>,
    client: Arc<UpstreamClient>,
    limit: RateLimit,
}

/// Gets a permit for a limited upstream and a connection to it; `None` if there is none
/// now.
pub async fn choose<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    tried: &[Arc<str>],
    is_last_resort: bool,
) -> Option<Chosen<P>> {
    if gateway.limits.table().limited() == 0 {
        return None;
    }
    let priority = call.priority();
    let mut asks = if is_last_resort {
        MAX_LAST_ASKS
    } else {
        MAX_ASKS
    };
    for limited in limited_upstreams(gateway, service, tried) {
        let id = &limited.upstream.report.id;
        let choice = &gateway.limits.choice;
        if choice.denied_for_ms(id, priority, is_last_resort, gateway.now_ms()) > 0 {
            continue;
        }
        if asks == 0 {
            break;
        }
        asks -= 1;
        let left_ms = call.left_ms();
        let permit = send_permit::acquire(
            gateway,
            &limited.upstream,
            priority,
            left_ms,
            is_last_resort,
        )
        .await;
        let permit = match permit {
            Ok(permit) => permit,
            Err(denied) => {
                gateway.metrics.on_send_permit("denied");
                if let Some(decision) = denied {
                    choice.on_denied(id, priority, decision, gateway.now_ms());
                }
                continue;
            }
        };
        gateway.metrics.on_send_permit("granted");
        if !may_send(gateway, &limited.upstream, service) {
            continue;
        }
        if let Some(upstream) = connect(gateway, call, &limited).await {
            let now_ms = gateway.now_ms();
            let mut returns = choice.returns();
            let schedule = returns.entry(Arc::clone(service)).or_default();
            schedule.on_permit(now_ms);
            return Some(Chosen {
                upstream,
                permit: Some(permit),
            });
        }
    }
    None
}

/// Refuses a request of a service all of whose usable upstreams are limited.
pub fn refuse<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    service: &Arc<str>,
    tried: &[Arc<str>],
) -> Option<Outcome> {
    if gateway.limits.table().limited() == 0 {
        return None;
    }
    let limited = limited_upstreams(gateway, service, tried);
    if limited.is_empty() {
        return None;
    }
    let now_ms = gateway.now_ms();
    let choice = &gateway.limits.choice;
    let mut first_permit_ms = u64::MAX;
    let mut fleet_per_s = 0.0;
    for one in &limited {
        let id = &one.upstream.report.id;
        let denied_for_ms = choice.denied_for_ms(id, call.priority(), true, now_ms);
        first_permit_ms = first_permit_ms.min(denied_for_ms);
        fleet_per_s += one.limit.per_s;
    }
    let instances = u32::try_from(gateway.view().instances.len().max(1)).unwrap_or(u32::MAX);
    let left = Duration::from_millis(call.left_ms()).mul_f64(MAX_RETRY_AFTER_SHARE);
    let refusal = Refusal {
        first_permit_ms,
        equal_share_per_s: fleet_per_s / f64::from(instances),
        max_wait_ms: super::calls::to_ms(left).clamp(1, MAX_RETRY_AFTER_MS),
        random: rand::random(),
    };
    let retry_after_ms = choice
        .returns()
        .entry(Arc::clone(service))
        .or_default()
        .wait_ms(refusal, now_ms);
    log_refusal(
        gateway,
        call,
        service,
        &limited,
        first_permit_ms,
        retry_after_ms,
    );
    Some(Outcome::refused(Reason::RateLimited, retry_after_ms))
}

/// The limited upstreams that a request may use, the local ones first, otherwise in random
/// order.
fn limited_upstreams<P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    tried: &[Arc<str>],
) -> Vec<LimitedUpstream> {
    let now_ms = gateway.now_ms();
    let mut limited = Vec::new();
    for upstream in gateway.eligible_upstreams(service) {
        let Some(limit) = gateway.limit_of(&upstream.report) else {
            continue;
        };
        let client = gateway.upstream_clients.get(&upstream.report);
        if !client.ejection().is_usable(now_ms) || tried.contains(&upstream.report.id) {
            continue;
        }
        limited.push(LimitedUpstream {
            upstream,
            client,
            limit,
        });
    }
    limited.shuffle(&mut rand::rng());
    let home = &gateway.settings().data_centre;
    limited.sort_by_key(|one| one.upstream.report.data_centre != *home);
    limited
}

/// Whether a permitted request may be sent now; a cold upstream has a second limit.
fn may_send<P: Platform>(gateway: &Gateway<P>, upstream: &Upstream, service: &str) -> bool {
    let is_cold = upstream.cold_until_ms > gateway.now_ms();
    let cold_per_s = gateway
        .manifest()
        .and_then(|manifest| Some(manifest.services.get(service)?.cold_per_s));
    // Nothing tells whether a lapsed upstream is leaving, so it counts as unhealthy.
    gateway.may_send(upstream, false)
        && (!is_cold
            || cold_per_s
                .is_some_and(|per_s| gateway.try_acquire_cold_send(&upstream.report.id, per_s)))
}

/// Gets a connection: an idle one only for requests that may be sent again, since without
/// a probe nothing shows that it still leads anywhere.
async fn connect<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    limited: &LimitedUpstream,
) -> Option<ProbedUpstream> {
    let client = &limited.client;
    let idle = if call.route.is_idempotent {
        client.take_idle()
    } else {
        None
    };
    let began = Instant::now();
    let connection = match idle {
        Some(connection) => connection,
        None => match client.open(&gateway.metrics).await {
            Ok(connection) => connection,
            Err(error) => {
                let evidence = evidence_of(&error);
                gateway.on_upstream_failure(client, evidence, began);
                if gateway.log_budget.take() {
                    tracing::info!(
                        request = call.id_text(),
                        upstream = %client.id,
                        %error,
                        "cannot connect to a limited upstream"
                    );
                }
                return None;
            }
        },
    };
    let upstream = Arc::clone(&limited.upstream);
    Some(ProbedUpstream::without_probe(
        upstream,
        Arc::clone(client),
        connection,
    ))
}

fn log_refusal<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    service: &str,
    limited: &[LimitedUpstream],
    first_permit_ms: u64,
    retry_after_ms: u64,
) {
    if !gateway.log_budget.take() {
        return;
    }
    let now_ms = gateway.now_ms();
    let mut upstreams = Vec::new();
    for one in limited.iter().take(MAX_NAMED) {
        let id = &one.upstream.report.id;
        upstreams.push(format!(
            "{id} per_s={} named_for_ms={} confirmed_age_ms={} next_permit_ms={}",
            one.limit.per_s,
            now_ms.saturating_sub(one.limit.since_ms),
            now_ms.saturating_sub(one.limit.confirmed_ms),
            gateway
                .limits
                .choice
                .denied_for_ms(id, call.priority(), true, now_ms),
        ));
    }
    tracing::info!(
        request = call.id_text(),
        route = %call.route.name,
        version = call.version,
        service,
        limited = limited.len(),
        upstreams = upstreams.join("; "),
        held_ms = call.held_ms(),
        left_ms = call.left_ms(),
        first_permit_ms,
        return_ms = retry_after_ms,
        "request refused: all upstreams that it may use are at their limits"
    );
}

//! Decides whether a request may run: one that ended several upstreams is refused,
//! and a suspect one runs at one place in the fleet at a time.
//!
//! Rendezvous hashing names the instance that gives out the permit of a request. It
//! also learns of each end before it gives out the permit again, so copies that
//! arrive at different instances do not each end further upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::calls::Call;
use super::peer_client::{PeerClient, RelayError};
use super::state::Gateway;
use super::store::Platform;
use super::suspects::hex;
use crate::decision::crash_suspects::{Scope, Verdict};
use crate::decision::rendezvous::weight;

/// Delay before a suspect request asks again for a permit that a copy holds.
const PERMIT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Age of the last end at which a permit is asked for at the earliest: copies that
/// were sent together end their upstreams together, and each instance must hear of it.
const SETTLE_TIME_MS: u64 = 15;
/// Time for which a permit outlasts the deadline of its request, in milliseconds.
const PERMIT_MARGIN_MS: u64 = 1_000;
/// Instances that are asked before this one decides alone.
const MAX_ISSUERS: usize = 2;
/// Time in which an instance must accept a connection and respond.
const ISSUER_TIMEOUT: Duration = Duration::from_millis(150);

/// Why a request must not run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Upstreams ended under it.
    Stopped {
        /// Time until it may be tried once more, in milliseconds.
        left_ms: u64,
    },
    /// It is suspect, and a copy of it is running.
    CopyRunning,
}

/// The permit of a suspect request; given back when dropped.
struct Held {
    scope: Scope,
    token: u64,
    /// The instance that gave it out; `None` for this one.
    issuer: Option<SocketAddr>,
}

/// Leave to run a request.
pub struct RunPermit<P: Platform> {
    gateway: Arc<Gateway<P>>,
    held: Option<Held>,
}

impl<P: Platform> RunPermit<P> {
    /// Whether the request may still run, since ends may have become known meanwhile.
    #[must_use]
    pub fn is_valid(&self, call: &Call) -> bool {
        match verdict(&self.gateway, call) {
            Verdict::Clear => true,
            Verdict::Suspect(scope) => self.held.as_ref().is_some_and(|held| held.scope == scope),
            Verdict::Stopped { .. } => false,
        }
    }
}

impl<P: Platform> Drop for RunPermit<P> {
    fn drop(&mut self) {
        let Some(held) = self.held.take() else {
            return;
        };
        let Some(issuer) = held.issuer else {
            let mut permits = self.gateway.suspects.permits();
            permits.release(held.scope, held.token);
            return;
        };
        let gateway = Arc::clone(&self.gateway);
        tokio::spawn(async move {
            if let Err(error) = release(&gateway, &held, issuer).await {
                tracing::debug!(%issuer, %error, "failed to give a run permit back; it expires");
            }
        });
    }
}

/// Waits until a request may run.
///
/// # Errors
/// Returns why it must not run, at once if upstreams ended under it, and otherwise
/// when too little time is left.
pub async fn acquire<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
) -> Result<RunPermit<P>, Denial> {
    let token = rand::random();
    loop {
        let scope = match verdict(gateway, call) {
            Verdict::Clear => return Ok(permit(gateway, None)),
            Verdict::Stopped { ends, left_ms } => {
                log_stopped(gateway, call, ends, left_ms);
                return Err(Denial::Stopped { left_ms });
            }
            Verdict::Suspect(scope) => scope,
        };
        let last_end_age_ms = gateway
            .suspect_report(scope.content())
            .map_or(SETTLE_TIME_MS, |report| report.age_ms);
        if last_end_age_ms < SETTLE_TIME_MS {
            sleep(Duration::from_millis(SETTLE_TIME_MS - last_end_age_ms)).await;
            continue;
        }
        let lifetime_ms = call.left_ms() + PERMIT_MARGIN_MS;
        if let Some(held) = ask_issuers(gateway, scope, token, lifetime_ms).await {
            return Ok(permit(gateway, Some(held)));
        }
        let work = Duration::from_secs_f64(gateway.route_means(&call.route).work_ms / 1_000.0);
        if Duration::from_millis(call.left_ms()) <= work + PERMIT_RETRY_DELAY {
            log_copy_running(gateway, call, scope);
            return Err(Denial::CopyRunning);
        }
        sleep(PERMIT_RETRY_DELAY).await;
    }
}

/// Upstreams that a request must not be sent to until they report again, as processes that they
/// reported have ended under it.
pub fn ended_upstreams<P: Platform>(gateway: &Gateway<P>, call: &Call) -> Vec<Arc<str>> {
    if gateway.suspects.table().is_empty() {
        return Vec::new();
    }
    let fingerprint = call.fingerprint(gateway.platform.headers());
    gateway.ended_upstreams(fingerprint.content)
}

/// Whether upstreams ended under a request, so that it runs at one place at a time, if at all.
pub fn is_suspect<P: Platform>(gateway: &Gateway<P>, call: &Call) -> bool {
    verdict(gateway, call) != Verdict::Clear
}

fn permit<P: Platform>(gateway: &Arc<Gateway<P>>, held: Option<Held>) -> RunPermit<P> {
    RunPermit {
        gateway: Arc::clone(gateway),
        held,
    }
}

fn verdict<P: Platform>(gateway: &Gateway<P>, call: &Call) -> Verdict {
    let suspects = gateway.suspects.table();
    if suspects.is_empty() {
        return Verdict::Clear;
    }
    let fingerprint = call.fingerprint(gateway.platform.headers());
    suspects.verdict(fingerprint, gateway.now_ms())
}

/// Asks the first instance of the scope that responds; `None` if a copy holds the
/// permit, or the request is stopped.
async fn ask_issuers<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    scope: Scope,
    token: u64,
    lifetime_ms: u64,
) -> Option<Held> {
    for issuer in issuers(gateway, scope) {
        let Some(address) = issuer else {
            break;
        };
        let asked = ask(gateway, scope, token, lifetime_ms, address);
        let response = timeout(ISSUER_TIMEOUT, asked).await;
        match response.unwrap_or(Err(RelayError::Timeout)) {
            Ok(is_granted) => {
                return is_granted.then_some(Held {
                    scope,
                    token,
                    issuer: Some(address),
                });
            }
            Err(error) => {
                tracing::info!(%address, %error, "no response to a request for a run permit");
                if !error.is_other_build() {
                    gateway.on_peer_call(address, false);
                }
            }
        }
    }
    let is_granted = gateway.grant_run(scope, token, lifetime_ms);
    is_granted.then_some(Held {
        scope,
        token,
        issuer: None,
    })
}

/// The instances that may give out the permit of a scope, best first; `None` is this
/// one.
fn issuers<P: Platform>(gateway: &Gateway<P>, scope: Scope) -> Vec<Option<SocketAddr>> {
    let subject = match scope {
        Scope::Variant(request) => hex(request.content) + &hex(request.variant),
        Scope::Content(content) => hex(content),
    };
    let settings = gateway.settings();
    let mut ranked = vec![(weight(&subject, &settings.name), None)];
    for (name, instance) in &gateway.view().instances {
        let is_other = instance.address != settings.peer_address;
        let contacts = gateway.peers.contacts();
        if is_other && !contacts.is_paused(&instance.address, gateway.now_ms()) {
            ranked.push((weight(&subject, name), Some(instance.address)));
        }
    }
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let mut issuers = Vec::with_capacity(MAX_ISSUERS);
    for (_, issuer) in ranked.into_iter().take(MAX_ISSUERS) {
        issuers.push(issuer);
    }
    issuers
}

async fn ask<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    scope: Scope,
    token: u64,
    lifetime_ms: u64,
    issuer: SocketAddr,
) -> Result<bool, RelayError> {
    let report = gateway.suspect_report(scope.content());
    let client = PeerClient::connect(&gateway.peers.builds, issuer).await?;
    let response = client
        .acquire_run(scope, token, lifetime_ms, report)
        .await?;
    gateway.merge_suspects(&response.reports, &issuer.to_string());
    Ok(response.is_granted)
}

async fn release<P: Platform>(
    gateway: &Gateway<P>,
    held: &Held,
    issuer: SocketAddr,
) -> Result<(), RelayError> {
    let report = gateway.suspect_report(held.scope.content());
    let client = PeerClient::connect(&gateway.peers.builds, issuer).await?;
    client.release_run(held.scope, held.token, report).await
}

fn log_stopped<P: Platform>(gateway: &Gateway<P>, call: &Call, ends: usize, left_ms: u64) {
    if !gateway.log_budget.take() {
        return;
    }
    let fingerprint = call.fingerprint(gateway.platform.headers());
    let report = gateway.suspect_report(fingerprint.content);
    let (last_end_age_ms, upstreams) = report.map_or((0, String::new()), |report| {
        let mut upstreams = Vec::new();
        for end in report.ends.iter().filter(|end| !end.is_refuted) {
            upstreams.push(&*end.lifetime.upstream);
        }
        (report.age_ms, upstreams.join(" "))
    });
    tracing::info!(
        request = call.id_text(),
        route = %call.route.name,
        content = hex(fingerprint.content),
        variant = hex(fingerprint.variant),
        ends,
        upstreams,
        last_end_age_ms,
        return_ms = left_ms,
        "request stopped: upstreams ended while they ran it"
    );
}

fn log_copy_running<P: Platform>(gateway: &Gateway<P>, call: &Call, scope: Scope) {
    if gateway.log_budget.take() {
        tracing::info!(
            request = call.id_text(),
            route = %call.route.name,
            ?scope,
            left_ms = call.left_ms(),
            "request refused: it is suspect, and a copy of it is running"
        );
    }
}

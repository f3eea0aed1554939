//! Asks for permits to send to upstreams that limit the rate of their requests.
//!
//! [`super::issuers`] says which instance gives out the permits of an upstream. One that cannot
//! reach most others gives out its equal share of the limit only.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::issuers::{
    DEPUTY_SHARE, ISSUER_TIMEOUT, MAX_ISSUERS, MIN_ASSUMED_INSTANCES, TAKEOVER_MS,
};
use super::peer_client::{PeerClient, RelayError};
use super::reader_role;
use super::state::Gateway;
use super::store::Platform;
use crate::decision::directory::Upstream;
use crate::decision::rate_limits::LimitReport;
use crate::decision::reached_share::equal_share;
use crate::decision::send_permits::{IssuingRate, PermitDecision, PermitRequest};

/// Time from asking for a permit to the send in which it may be used: an instance that
/// stood still has to ask again.
const USE_TIME: Duration = Duration::from_millis(400);
/// Time for which a permit outlasts the deadline of its request, in milliseconds.
const LIFETIME_MARGIN_MS: u64 = 1_000;
/// Delay after which a permit is asked for again if no instance responded.
const NO_ISSUER_RETRY_MS: u64 = 500;

/// A request for a permit, as instances send it to each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PermitAsk {
    /// The permit asked for.
    pub request: PermitRequest,
    /// What the asking instance knows of the limit.
    pub report: Option<LimitReport>,
    /// Whether the receiver may ask the instance that it takes for the principal.
    pub may_forward: bool,
}

/// The answer to a [`PermitAsk`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// The decision; `None` if the limit was lifted.
    pub decision: Option<PermitDecision>,
    /// What the issuer knows of the limit.
    pub report: Option<LimitReport>,
}

/// Returns a permit that was given out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PermitReturn {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// The permit.
    pub token: u64,
    /// Whether a request was sent with it.
    pub is_used: bool,
    /// What the returning instance knows of the limit.
    pub report: Option<LimitReport>,
}

/// Leave to send one request to a limited upstream; given back when dropped.
#[derive(Debug)]
pub struct SendPermit<P: Platform> {
    gateway: Arc<Gateway<P>>,
    upstream: Arc<str>,
    token: u64,
    /// The instance that was asked; `None` for this one.
    issuer: Option<SocketAddr>,
    asked_at: Instant,
    is_used: bool,
}

impl<P: Platform> SendPermit<P> {
    /// Uses the permit for a send now; false if it was obtained too long ago.
    pub fn try_use(&mut self) -> bool {
        self.is_used = self.asked_at.elapsed() <= USE_TIME;
        self.is_used
    }

    /// The instance that was asked for the permit, for log lines.
    #[must_use]
    pub fn issuer_text(&self) -> String {
        self.issuer
            .map_or_else(|| "this instance".to_owned(), |address| address.to_string())
    }
}

impl<P: Platform> Drop for SendPermit<P> {
    fn drop(&mut self) {
        let gateway = Arc::clone(&self.gateway);
        let returned = PermitReturn {
            upstream: Arc::clone(&self.upstream),
            token: self.token,
            is_used: self.is_used,
            report: self.gateway.limit_report(&self.upstream),
        };
        let Some(issuer) = self.issuer else {
            gateway.return_permit(&returned);
            return;
        };
        tokio::spawn(async move {
            let call = |client: PeerClient| {
                let returned = returned.clone();
                async move { client.return_send_permit(returned).await }
            };
            if let Err(error) = gateway.peers.call(issuer, ISSUER_TIMEOUT, call).await {
                tracing::debug!(%issuer, %error, "failed to give a send permit back; it expires");
            }
        });
    }
}

/// Asks for a permit to send one request to a limited upstream.
///
/// # Errors
/// Returns why there is none, or `None` if the upstream is no longer limited.
pub async fn acquire<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    upstream: &Upstream,
    priority: u8,
    left_ms: u64,
    is_last_resort: bool,
) -> Result<SendPermit<P>, Option<PermitDecision>> {
    let token = rand::random();
    let asked_at = Instant::now();
    let ask = PermitAsk {
        request: PermitRequest {
            upstream: Arc::clone(&upstream.report.id),
            started_at_ms: upstream.report.started_at_ms,
            token,
            lifetime_ms: left_ms + LIFETIME_MARGIN_MS,
            slots: upstream.report.slots,
            priority,
            is_last_resort,
        },
        report: gateway.limit_report(&upstream.report.id),
        may_forward: true,
    };
    let (answer, issuer) = ask_issuer(gateway, &ask).await;
    if let (Some(report), Some(issuer)) = (&answer.report, issuer) {
        gateway.merge_limits(std::slice::from_ref(report), &issuer.to_string());
    }
    match answer.decision {
        Some(PermitDecision::Granted) => Ok(SendPermit {
            gateway: Arc::clone(gateway),
            upstream: Arc::clone(&upstream.report.id),
            token,
            issuer,
            asked_at,
            is_used: false,
        }),
        denied => Err(denied),
    }
}

/// Answers another instance that asks for a permit.
pub async fn answer<P: Platform>(gateway: &Arc<Gateway<P>>, ask: PermitAsk) -> PermitAnswer {
    gateway.merge_limits(ask.report.as_slice(), "another instance");
    if !ask.may_forward {
        return gateway.issue(&ask.request);
    }
    let ask = PermitAsk {
        may_forward: false,
        report: gateway.limit_report(&ask.request.upstream),
        ..ask
    };
    ask_issuer(gateway, &ask).await.0
}

/// Asks the first instance that responds, which may be this one.
async fn ask_issuer<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    ask: &PermitAsk,
) -> (PermitAnswer, Option<SocketAddr>) {
    let mut asked = 0;
    for issuer in gateway.ranked_issuers(&ask.request.upstream) {
        let Some(address) = issuer else {
            return (gateway.issue(&ask.request), None);
        };
        let is_paused = gateway
            .peers
            .contacts()
            .is_paused(&address, gateway.now_ms());
        if is_paused {
            continue;
        }
        if asked == MAX_ISSUERS {
            break;
        }
        asked += 1;
        match ask_peer(gateway, ask, address).await {
            Ok(answer) => return (answer, Some(address)),
            Err(error) => {
                tracing::info!(%address, %error, "no response to a request for a send permit");
            }
        }
    }
    let answer = PermitAnswer {
        decision: Some(PermitDecision::UsedUp {
            retry_ms: NO_ISSUER_RETRY_MS,
        }),
        report: None,
    };
    (answer, None)
}

async fn ask_peer<P: Platform>(
    gateway: &Gateway<P>,
    ask: &PermitAsk,
    address: SocketAddr,
) -> Result<PermitAnswer, RelayError> {
    let call = |client: PeerClient| {
        let ask = ask.clone();
        async move { client.acquire_send(ask).await }
    };
    let answer = gateway.peers.call(address, ISSUER_TIMEOUT, call).await;
    let has_responded = answer
        .as_ref()
        .map_or_else(RelayError::is_other_build, |_| true);
    gateway.on_peer_call(address, has_responded);
    answer
}

impl<P: Platform> Gateway<P> {
    /// Takes back a permit that this instance or its principal has given out.
    pub fn return_permit(&self, returned: &PermitReturn) {
        self.merge_limits(returned.report.as_slice(), "another instance");
        let now_ms = self.now_ms();
        self.limits
            .permits()
            .release(&returned.upstream, returned.token, returned.is_used, now_ms);
    }

    /// The rate at which this instance may give out the permits of an upstream that takes
    /// `per_s`.
    pub fn issuing_rate(&self, upstream: &str, per_s: f64) -> IssuingRate {
        let now_ms = self.now_ms();
        let ranked = self.ranked_issuers(upstream);
        let others: Vec<SocketAddr> = ranked.iter().copied().flatten().collect();
        let shortest_silence_ms = self.silence_before_me_ms(&ranked);
        let contacts = self.peers.contacts();
        let share = if !reader_role::knows_all_instances(self) {
            equal_share(ranked.len().max(MIN_ASSUMED_INSTANCES))
        } else if !contacts.is_in_majority(&others, now_ms) {
            equal_share(ranked.len())
        } else if shortest_silence_ms.is_none_or(|silence_ms| silence_ms >= TAKEOVER_MS) {
            1.0
        } else {
            DEPUTY_SHARE
        };
        IssuingRate {
            per_s: per_s * share,
            is_deputy: shortest_silence_ms.is_some(),
        }
    }

    /// Gives out a permit here.
    fn issue(&self, request: &PermitRequest) -> PermitAnswer {
        let known = self
            .limits
            .table()
            .limit(&request.upstream, request.started_at_ms);
        let decision = known.map(|limit| {
            let rate = self.issuing_rate(&request.upstream, limit.per_s);
            let now_ms = self.now_ms();
            self.limits.permits().acquire(request, rate, now_ms)
        });
        PermitAnswer {
            decision,
            report: self.limit_report(&request.upstream),
        }
    }
}

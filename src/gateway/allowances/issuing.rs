//! Gives out tokens to other instances, and finds out which part of them this one reaches.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::join_all;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use super::super::issuers::{DEPUTY_SHARE, ISSUER_TIMEOUT, MIN_ASSUMED_INSTANCES, TAKEOVER_MS};
use super::super::limit_exchange::other_instances;
use super::super::peer_client::RelayError;
use super::super::reader_role;
use super::super::state::Gateway;
use super::super::store::Platform;
use super::reports;
use crate::decision::allowances::{AllowanceMode, Demand, Settled};
use crate::decision::organisations::Allowance;
use crate::decision::reached_share::equal_share;

/// Instances that are called at once after one has not responded.
const SAMPLE: usize = 16;

/// What an instance reports of an organisation, and how many tokens it needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AllowanceReport {
    /// Name of the organisation.
    pub organisation: Arc<str>,
    /// Rate and burst of the allowance in the version of the reporting instance.
    pub allowance: (f64, f64),
    /// Requests that wait, those that used tokens given ahead, those that were refused, and
    /// tokens that are given back.
    pub demand: (u32, u32, u32, u32),
}

/// The answer to an [`AllowanceReport`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceAnswer {
    /// Tokens given out.
    pub granted: u32,
    /// Whether tokens are given ahead of requests.
    pub is_open: bool,
    /// Time until there is a token for the first request that got none, in milliseconds.
    pub retry_ms: u64,
    /// Time for which the instance is not to ask again, in milliseconds.
    pub pause_ms: u64,
}

impl From<Settled> for AllowanceAnswer {
    fn from(settled: Settled) -> Self {
        Self {
            granted: settled.granted,
            is_open: settled.mode == AllowanceMode::Open,
            retry_ms: settled.retry_ms,
            pause_ms: settled.pause_ms,
        }
    }
}

impl From<AllowanceAnswer> for Settled {
    fn from(answer: AllowanceAnswer) -> Self {
        Self {
            granted: answer.granted,
            mode: if answer.is_open {
                AllowanceMode::Open
            } else {
                AllowanceMode::Metered
            },
            retry_ms: answer.retry_ms,
            pause_ms: answer.pause_ms,
        }
    }
}

/// Answers another instance. What a higher ranked instance issues is passed on to that one, so
/// that a cut between two instances makes no second issuer.
pub async fn answer<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    reports: Vec<AllowanceReport>,
    may_forward: bool,
) -> Vec<AllowanceAnswer> {
    let mut answers: Vec<Option<AllowanceAnswer>> = vec![None; reports.len()];
    let mut elsewhere: HashMap<SocketAddr, Vec<usize>> = HashMap::new();
    for (index, report) in reports.iter().enumerate() {
        let ranked = gateway.ranked_issuers(&report.organisation);
        match gateway.first_responsive(&ranked).filter(|_| may_forward) {
            Some(address) => elsewhere.entry(address).or_default().push(index),
            None => answers[index] = Some(settle_here(gateway, report, &ranked)),
        }
    }
    let passed_on = elsewhere.into_iter().map(|(address, indices)| {
        let passed: Vec<_> = indices
            .iter()
            .map(|index| reports[*index].clone())
            .collect();
        async move {
            let response = reports::call(gateway, address, passed, false, ISSUER_TIMEOUT / 2).await;
            (indices, response)
        }
    });
    for (indices, response) in join_all(passed_on).await {
        let Ok(passed) = response else {
            continue;
        };
        for (index, answer) in indices.into_iter().zip(passed) {
            answers[index] = Some(answer);
        }
    }
    let mut all = Vec::with_capacity(reports.len());
    for (report, answer) in reports.iter().zip(answers) {
        all.push(answer.unwrap_or_else(|| {
            let ranked = gateway.ranked_issuers(&report.organisation);
            settle_here(gateway, report, &ranked)
        }));
    }
    all
}

/// Gives out tokens here.
pub fn settle_here<P: Platform>(
    gateway: &Gateway<P>,
    report: &AllowanceReport,
    ranked: &[Option<SocketAddr>],
) -> AllowanceAnswer {
    let share = share(gateway, ranked);
    settle_share(gateway, report, share)
}

/// Gives out tokens of this share of the allowance here.
pub fn settle_share<P: Platform>(
    gateway: &Gateway<P>,
    report: &AllowanceReport,
    share: f64,
) -> AllowanceAnswer {
    let allowance = strictest(gateway, report);
    let (waiting, used, refused, returned) = report.demand;
    let demand = Demand {
        waiting,
        used,
        refused,
        returned,
    };
    let now_ms = gateway.now_ms();
    let mut issuer = gateway.allowances.issuer();
    let settled = issuer.settle(&report.organisation, allowance, demand, share, now_ms);
    settled.into()
}

/// The lower of what the reporting instance and this one know: either may not have read the
/// newest version yet.
fn strictest<P: Platform>(gateway: &Gateway<P>, report: &AllowanceReport) -> Allowance {
    let (per_s, burst) = report.allowance;
    let told = Allowance { per_s, burst };
    let known = gateway.manifest().and_then(|manifest| {
        let organisation = manifest.organisations()?.get(&report.organisation)?;
        organisation.allowance
    });
    known.map_or(told, |known| Allowance {
        per_s: known.per_s.min(told.per_s),
        burst: known.burst.min(told.burst),
    })
}

/// The part of an allowance that this instance may give out.
fn share<P: Platform>(gateway: &Gateway<P>, ranked: &[Option<SocketAddr>]) -> f64 {
    let knows_all = gateway.are_instances_loaded() && reader_role::knows_all_instances(gateway);
    if !knows_all {
        return equal_share(ranked.len().max(MIN_ASSUMED_INSTANCES));
    }
    let now_ms = gateway.now_ms();
    let reached = gateway.allowances.reached().share(ranked.len(), now_ms);
    match gateway.silence_before_me_ms(ranked) {
        Some(silence_ms) if silence_ms < TAKEOVER_MS => reached * DEPUTY_SHARE,
        _ => reached,
    }
}

/// Records whether an instance responded; if not, finds out at once which others do.
pub fn on_call<P: Platform>(gateway: &Arc<Gateway<P>>, address: SocketAddr, has_responded: bool) {
    gateway.on_peer_call(address, has_responded);
    let now_ms = gateway.now_ms();
    let is_sample_due = gateway
        .allowances
        .reached()
        .on_call(address, has_responded, now_ms);
    if is_sample_due {
        let gateway = Arc::clone(gateway);
        tokio::spawn(async move { call_some(&gateway, SAMPLE).await });
    }
}

/// Calls a few random instances, to learn whether they respond.
pub async fn call_some<P: Platform>(gateway: &Arc<Gateway<P>>, count: usize) {
    let others = other_instances(gateway);
    let sampled: Vec<SocketAddr> = others.sample(&mut rand::rng(), count).copied().collect();
    let calls = sampled.into_iter().map(|address| async move {
        let response = reports::call(gateway, address, Vec::new(), false, ISSUER_TIMEOUT).await;
        if let Err(error) = response {
            tracing::debug!(%address, %error, "an instance does not respond");
        }
    });
    join_all(calls).await;
}

/// Whether a failed call means that the instance does not respond.
#[must_use]
pub fn is_silence(error: &RelayError) -> bool {
    !error.is_other_build()
}

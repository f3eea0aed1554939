//! Keeps what instances know of limits the same: fetches it at the start, exchanges it with
//! random other instances while there are limits, and checks limits that nobody confirms.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep};

use super::peer_client::PeerClient;
use super::rate_limits::{AnswerKind, probe_answer_kind};
use super::relay::{self, MAX_REPORTS};
use super::state::Gateway;
use super::store::Platform;
use crate::decision::start_questions::StartQuestion;

/// Interval between exchanges while there are limits.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// The same until the first one has succeeded.
const FIRST_EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which another instance must respond.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Instances that one asks which has just started.
const PEERS_AT_START: usize = 2;
/// Instances with which one exchange is made: a quarter of all, within these bounds.
const PEERS_PER_EXCHANGE: std::ops::RangeInclusive<usize> = 8..=32;
/// Age of the last confirmation at which a limit is checked by a probe.
const CHECK_AGE_MS: u64 = 3_000;

/// Exchanges limits for the life of the process.
pub async fn run<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        let has_learned = gateway.knows_limits();
        let is_loaded = gateway.are_instances_loaded();
        match StartQuestion::choose(has_learned, is_loaded, gateway.now_ms()) {
            StartQuestion::Limits => learn(&gateway).await,
            StartQuestion::WholeState => relay::fetch_from_any_peer(&gateway).await,
            StartQuestion::Nothing if has_learned && gateway.limits.table().limited() > 0 => {
                exchange(&gateway).await;
            }
            StartQuestion::Nothing => {}
        }
        if !has_learned && !gateway.knows_limits() {
            sleep(FIRST_EXCHANGE_INTERVAL).await;
            continue;
        }
        check_unconfirmed(&gateway).await;
        sleep(EXCHANGE_INTERVAL).await;
    }
}

/// Asks a few random instances for their limits alone.
async fn learn<P: Platform>(gateway: &Arc<Gateway<P>>) {
    let others = other_instances(gateway);
    let sampled: Vec<SocketAddr> = others
        .sample(&mut rand::rng(), PEERS_AT_START)
        .copied()
        .collect();
    let asked = sampled
        .into_iter()
        .map(|address| exchange_with(gateway, address));
    if join_all(asked).await.contains(&true) {
        gateway.limits.set_told();
        gateway.notify_changed();
    }
}

async fn exchange<P: Platform>(gateway: &Arc<Gateway<P>>) {
    let others = other_instances(gateway);
    let count = (others.len() / 4).clamp(*PEERS_PER_EXCHANGE.start(), *PEERS_PER_EXCHANGE.end());
    let sampled: Vec<SocketAddr> = others.sample(&mut rand::rng(), count).copied().collect();
    join_all(
        sampled
            .into_iter()
            .map(|address| exchange_with(gateway, address)),
    )
    .await;
}

/// Compares limits with another instance, and tells it all if it knows something else; returns
/// whether it responds.
async fn exchange_with<P: Platform>(gateway: &Arc<Gateway<P>>, address: SocketAddr) -> bool {
    let mut reports = Vec::new();
    for _ in 0..2 {
        let digest = gateway.limits.table().digest();
        let call = |client: PeerClient| {
            let reports = reports.clone();
            async move { client.exchange_limits(reports, digest).await }
        };
        let response = gateway.peers.call(address, EXCHANGE_TIMEOUT, call).await;
        gateway.on_peer_call(address, response.is_ok());
        match response {
            Ok(told) if told.is_empty() => return true,
            Ok(told) => gateway.merge_limits(&told, &address.to_string()),
            Err(error) => {
                tracing::debug!(%address, %error, "failed to exchange limits");
                return false;
            }
        }
        let now_ms = gateway.now_ms();
        reports = gateway
            .limits
            .table()
            .reports_after(0, MAX_REPORTS, now_ms)
            .0;
    }
    true
}

/// All other known instances; the seeds while there are none.
pub(super) fn other_instances<P: Platform>(gateway: &Gateway<P>) -> Vec<SocketAddr> {
    let settings = gateway.settings();
    let mut others = Vec::new();
    for instance in gateway.view().instances.values() {
        if instance.address != settings.peer_address {
            others.push(instance.address);
        }
    }
    if others.is_empty() {
        others.extend(&settings.seeds);
        others.retain(|address| *address != settings.peer_address);
    }
    others
}

/// Probes the limited upstreams that nobody has heard of for a while and whose permits
/// this instance gives out.
async fn check_unconfirmed<P: Platform>(gateway: &Arc<Gateway<P>>) {
    let now_ms = gateway.now_ms();
    let mut unconfirmed = Vec::new();
    {
        let view = gateway.view();
        let limits = gateway.limits.table();
        for id in limits.limited_upstreams() {
            let Some(upstream) = view.directory.get(id) else {
                continue;
            };
            let limit = limits.limit(id, upstream.report.started_at_ms);
            let is_old = limit.is_some_and(|limit| now_ms > limit.confirmed_ms + CHECK_AGE_MS);
            if is_old && limits.is_named_in_probes(id) {
                unconfirmed.push(Arc::clone(upstream));
            }
        }
    }
    for upstream in unconfirmed {
        let report = &upstream.report;
        let health_path = gateway.manifest().and_then(|manifest| {
            Some(Arc::clone(
                &manifest.services.get(&report.service)?.health_path,
            ))
        });
        let (Some(limit), Some(health_path)) = (gateway.limit_of(report), health_path) else {
            continue;
        };
        if !gateway.is_issuer(&report.id) || !gateway.is_wanted_by(report) {
            continue;
        }
        let rate = gateway.issuing_rate(&report.id, limit.per_s);
        gateway
            .limits
            .permits()
            .spend(&report.id, report.started_at_ms, rate, gateway.now_ms());
        let client = gateway.upstream_clients.get(report);
        let names = gateway.platform.headers();
        let sent_at = Instant::now();
        gateway.charge_probe(&report.service);
        match client.probe(names, &health_path, &gateway.metrics).await {
            Ok(probed) => {
                gateway.on_named_limit(&client, probed.named_limit, sent_at, AnswerKind::Probe);
                gateway.on_notice(
                    &client,
                    probed.notice,
                    sent_at,
                    probe_answer_kind(&probed.reading),
                );
                client.release(probed.connection);
            }
            Err(error) => {
                tracing::debug!(upstream = %client.id, %error, "cannot check a limit");
            }
        }
    }
}

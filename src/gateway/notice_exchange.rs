//! Keeps the notices of upstreams the same on all instances, and checks those that nobody
//! has confirmed for a while.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep};

use super::limit_exchange::other_instances;
use super::peer_client::PeerClient;
use super::rate_limits::probe_answer_kind;
use super::relay::MAX_REPORTS;
use super::state::Gateway;
use super::store::Platform;
use crate::decision::directory::Upstream;

/// Interval between exchanges while there are notices; half of the time in which an
/// instance that was told by nobody must heed one.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an interval that took longer shows that the process stood still.
const STANDSTILL_TIME: Duration = Duration::from_millis(1_500);
/// Time in which another instance must respond.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Instances with which one exchange is made. Most are told at once; what an instance has
/// missed reaches it from one of these, and in a fleet of 140 all know within 4 s.
const PEERS_PER_EXCHANGE: usize = 3;
/// Age of the last confirmation at which one instance checks by a probe whether an
/// upstream still leaves: most have ended by then.
const CHECK_AGE_MS: u64 = 3_000;
/// The same for each instance, should that one not do it.
const LAST_CHECK_AGE_MS: u64 = 15_000;

/// Exchanges and checks notices for the life of the process.
pub async fn run<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        let began = Instant::now();
        sleep(EXCHANGE_INTERVAL).await;
        let stood_still = began.elapsed() > STANDSTILL_TIME;
        let now_ms = gateway.now_ms();
        if stood_still || gateway.notices.table().has_any(now_ms) {
            exchange(&gateway).await;
            check_leaving(&gateway).await;
        }
    }
}

async fn exchange<P: Platform>(gateway: &Arc<Gateway<P>>) {
    let others = other_instances(gateway);
    let sampled = others.sample(&mut rand::rng(), PEERS_PER_EXCHANGE);
    let sampled: Vec<SocketAddr> = sampled.copied().collect();
    let exchanges = sampled.into_iter();
    join_all(exchanges.map(|address| exchange_with(gateway, address))).await;
}

/// Compares notices with another instance, and tells it all if it knows something else.
async fn exchange_with<P: Platform>(gateway: &Arc<Gateway<P>>, address: SocketAddr) {
    let mut reports = Vec::new();
    for _ in 0..2 {
        let digest = gateway.notices.table().digest(gateway.now_ms());
        let call = |client: PeerClient| {
            let reports = reports.clone();
            async move { client.exchange_notices(reports, digest).await }
        };
        let response = gateway.peers.call(address, EXCHANGE_TIMEOUT, call).await;
        match response {
            Ok(None) => return,
            Ok(Some(told)) => gateway.merge_notices(&told, &address.to_string()),
            Err(error) => {
                tracing::debug!(%address, %error, "failed to exchange notices");
                return;
            }
        }
        let now_ms = gateway.now_ms();
        let notices = gateway.notices.table();
        reports = notices.reports_after(0, MAX_REPORTS, now_ms).0;
    }
}

/// Probes the leaving upstreams that nobody has heard of for a while: one that no longer
/// says that it leaves is used again.
async fn check_leaving<P: Platform>(gateway: &Arc<Gateway<P>>) {
    let checks = unconfirmed(gateway).into_iter();
    join_all(checks.map(|upstream| check(gateway, upstream))).await;
}

fn unconfirmed<P: Platform>(gateway: &Gateway<P>) -> Vec<Arc<Upstream>> {
    let now_ms = gateway.now_ms();
    let mut candidates = Vec::new();
    {
        let view = gateway.view();
        let notices = gateway.notices.table();
        for id in notices.leaving_upstreams() {
            let Some(upstream) = view.directory.get(id) else {
                continue;
            };
            let started_at_ms = upstream.report.started_at_ms;
            if notices.silence_left_ms(id, started_at_ms, now_ms) > 0 {
                continue;
            }
            let Some(confirmed_ms) = notices.leaving_confirmed_ms(id, started_at_ms) else {
                continue;
            };
            candidates.push((Arc::clone(upstream), now_ms.saturating_sub(confirmed_ms)));
        }
    }
    let mut unconfirmed = Vec::new();
    for (upstream, age_ms) in candidates {
        let is_due = age_ms >= CHECK_AGE_MS && gateway.is_issuer(&upstream.report.id);
        if is_due || age_ms >= LAST_CHECK_AGE_MS {
            unconfirmed.push(upstream);
        }
    }
    unconfirmed
}

async fn check<P: Platform>(gateway: &Arc<Gateway<P>>, upstream: Arc<Upstream>) {
    let report = &upstream.report;
    let health_path = gateway.manifest().and_then(|manifest| {
        let service = manifest.services.get(&report.service)?;
        Some(Arc::clone(&service.health_path))
    });
    let Some(health_path) = health_path else {
        return;
    };
    let client = gateway.upstream_clients.get(report);
    let names = gateway.platform.headers();
    let sent_at = Instant::now();
    gateway.charge_probe(&report.service);
    match client.probe(names, &health_path, &gateway.metrics).await {
        Ok(probed) => {
            let kind = probe_answer_kind(&probed.reading);
            gateway.on_notice(&client, probed.notice, sent_at, kind);
            client.release(probed.connection);
        }
        Err(error) => {
            tracing::debug!(upstream = %client.id, %error, "cannot check whether it still leaves");
        }
    }
}

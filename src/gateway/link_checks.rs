//! Probes that check the links to upstreams.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::time::{Instant, timeout};

use super::rate_limits::{AnswerKind, probe_answer_kind};
use super::state::Gateway;
use super::store::Platform;
use super::upstream_client::{ListenState, ProbeError, ProbeResponse, UpstreamClient, evidence_of};
use crate::connection::exchange::Connection;
use crate::decision::directory::Upstream;
use crate::decision::upstream_contact::SILENCE_MS;

/// Time after which a check's probe counts as silent; a packet that is lost is sent again
/// after 200 ms.
const SILENT_AFTER: Duration = Duration::from_millis(450);
/// Timeout of a check's probe: a third packet that is lost is sent again within it.
const CHECK_TIMEOUT: Duration = Duration::from_secs(3);
/// Probes that wait on after [`SILENT_AFTER`] at a time, so that late answers count and
/// connections stay few.
pub const MAX_LATE_PROBES: usize = 8;

/// Probes a few random upstreams on new connections, and on kept ones if the new ones stay
/// silent; at first those that have not failed, and have a kept connection.
///
/// Limited, cold and draining ones are not to be asked for this. If there are no others, a
/// connection that one of them accepts shows that the links work. Upstreams whose probes wait for
/// a slot are checked in this way, too, since their silence may only mean that they are full.
pub fn start_probes<P: Platform>(gateway: &Arc<Gateway<P>>, count: usize) {
    let Some(manifest) = gateway.manifest() else {
        return;
    };
    let now_ms = gateway.now_ms();
    let mut known: Vec<(Arc<Upstream>, Arc<str>)> = Vec::new();
    let mut limited: Vec<Arc<Upstream>> = Vec::new();
    for (service, spec) in &manifest.services {
        for upstream in gateway.eligible_upstreams(service) {
            if gateway.limit_of(&upstream.report).is_some() || upstream.cold_until_ms > now_ms {
                limited.push(upstream);
            } else {
                known.push((upstream, Arc::clone(&spec.health_path)));
            }
        }
    }
    if known.is_empty() {
        limited.shuffle(&mut rand::rng());
        for upstream in limited.into_iter().take(count) {
            let client = gateway.upstream_clients.get(&upstream.report);
            tokio::spawn(check_connection(Arc::clone(gateway), client));
        }
        return;
    }
    known.shuffle(&mut rand::rng());
    {
        let contact = gateway.contact.decision();
        known.sort_by_key(|(upstream, _)| {
            let client = gateway.upstream_clients.get(&upstream.report);
            (contact.has_failed(&client.id), !client.is_connected())
        });
    }
    let mut services: Vec<Arc<str>> = Vec::with_capacity(count);
    let mut later = Vec::new();
    let mut drawn = Vec::with_capacity(count);
    // Different services first: the upstreams of one may all be down.
    for entry in known {
        let service = &entry.0.report.service;
        if services.contains(service) {
            later.push(entry);
        } else {
            services.push(Arc::clone(service));
            drawn.push(entry);
        }
    }
    drawn.append(&mut later);
    drawn.truncate(count);
    for (upstream, health_path) in drawn {
        let client = gateway.upstream_clients.get(&upstream.report);
        let gateway = Arc::clone(gateway);
        if gateway.contact.lets_probes_wait(&upstream.report.service) {
            tokio::spawn(check_connection(gateway, client));
        } else {
            let service = Arc::clone(&upstream.report.service);
            tokio::spawn(check_on_new(gateway, client, service, health_path));
        }
    }
}

async fn check_connection<P: Platform>(gateway: Arc<Gateway<P>>, client: Arc<UpstreamClient>) {
    if client.check_accepts(&gateway.metrics).await == ListenState::Accepted {
        gateway.on_upstream_answer(&client.id);
    } else {
        gateway.on_upstream_silent(&client);
    }
}

/// Probes an upstream on a new connection, and then on a kept one, too, if the new one stays
/// silent: it may only be slow. If it fails, kept ones must not hide that.
async fn check_on_new<P: Platform>(
    gateway: Arc<Gateway<P>>,
    client: Arc<UpstreamClient>,
    service: Arc<str>,
    health_path: Arc<str>,
) {
    gateway.charge_probe(&service);
    let mut check = pin!(check_upstream(&gateway, &client, &health_path, None));
    let silence = Duration::from_millis(SILENCE_MS);
    if timeout(silence, &mut check).await.is_ok() {
        return;
    }
    let kept = client.take_idle();
    if kept.is_none() {
        return check.await;
    }
    gateway.contact.set_kept_silent(true);
    gateway.charge_probe(&service);
    let check_kept = check_upstream(&gateway, &client, &health_path, kept);
    tokio::join!(check, check_kept);
}

/// Probes an upstream, on a kept connection if one is given.
async fn check_upstream<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    client: &Arc<UpstreamClient>,
    health_path: &str,
    kept: Option<Connection>,
) {
    let sent_at = Instant::now();
    let is_kept = kept.is_some();
    let Some(probed) = probe_for_check(gateway, client, health_path, kept).await else {
        return;
    };
    match probed {
        Ok(probed) => {
            if is_kept {
                gateway.contact.set_kept_silent(false);
            }
            gateway.on_upstream_answer(&client.id);
            gateway.on_probe_time(sent_at);
            let limit = probed.named_limit;
            gateway.on_named_limit(client, limit, sent_at, AnswerKind::Probe);
            let kind = probe_answer_kind(&probed.reading);
            gateway.on_notice(client, probed.notice, sent_at, kind);
            client.release(probed.connection);
        }
        // Upstreams close kept connections; that says nothing about the links.
        Err(error) if is_kept => {
            tracing::debug!(upstream = %client.id, %error, "check of a kept connection failed");
        }
        Err(error) => {
            gateway.metrics.probes_failed.inc();
            gateway.on_upstream_failure(client, evidence_of(&error), sent_at);
        }
    }
}

/// Waits for the answer to a check's probe, also a late one; `None` if none comes.
async fn probe_for_check<P: Platform>(
    gateway: &Gateway<P>,
    client: &UpstreamClient,
    health_path: &str,
    kept: Option<Connection>,
) -> Option<Result<ProbeResponse, ProbeError>> {
    let (names, metrics) = (gateway.platform.headers(), &gateway.metrics);
    let mut probe = pin!(async {
        if let Some(connection) = kept {
            let probe = client.probe_on_kept(connection, names, health_path, metrics);
            return probe.await;
        }
        let probe = client.probe_on_new(names, health_path, metrics, CHECK_TIMEOUT);
        probe.await
    });
    if let Ok(probed) = timeout(SILENT_AFTER, &mut probe).await {
        return Some(probed);
    }
    gateway.on_upstream_silent(client);
    let _late = gateway.contact.late_probes().try_acquire().ok()?;
    let left = CHECK_TIMEOUT.saturating_sub(SILENT_AFTER);
    // A timeout says no more than the silence that was recorded.
    timeout(left, probe).await.ok()
}

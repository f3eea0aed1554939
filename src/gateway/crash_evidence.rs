//! Finds out whether an upstream ended while it ran a request.
//!
//! A closed connection alone does not show that: the upstream may have lost or cut
//! its response. If no process listens at its address right after, or a new process
//! started there at that moment, it ended.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::{Instant, sleep};

use super::calls::{Call, to_ms};
use super::relay;
use super::state::Gateway;
use super::store::Platform;
use super::upstream_client::{ListenState, UpstreamClient};
use crate::connection::exchange::{ExchangeError, HttpResponse};
use crate::decision::crash_suspects::Fingerprint;
use crate::decision::directory::UpstreamState;
use crate::decision::ejection::Evidence;

/// Delays between further checks of an upstream that still listened at the first one:
/// a process that is being killed may close its connections before its listener.
const LISTEN_CHECK_DELAYS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(400)];
/// Time in which the report of a new process may arrive: two heartbeats.
const RESTART_REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval at which the directory is checked for such a report.
const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Largest difference between the failure and the start of the new process, which
/// includes the difference of their clocks.
const MAX_RESTART_DIFFERENCE_MS: u64 = 2_000;

/// A failed exchange whose upstream may have ended.
struct Failure {
    request: String,
    fingerprint: Fingerprint,
    client: Arc<UpstreamClient>,
    at_unix_ms: u64,
}

/// Checks whether the upstream ended when an exchange failed, and records its end
/// against the request.
///
/// An upstream that does not listen any more is recorded before this returns, others
/// later.
pub async fn on_failed_exchange<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    client: &Arc<UpstreamClient>,
    error: &ExchangeError,
) {
    if !matches!(error, ExchangeError::Disconnected(_)) {
        return;
    }
    let failure = Failure {
        request: call.id_text().to_owned(),
        fingerprint: call.fingerprint(gateway.platform.headers()),
        client: Arc::clone(client),
        at_unix_ms: unix_ms(),
    };
    let listens = client.check_listens(&gateway.metrics).await;
    log_failure(gateway, &failure, listens);
    if listens == ListenState::Refused {
        record_end(gateway, &failure, "connection-refused");
        return;
    }
    let Ok(watch) = Arc::clone(&gateway.end_watches).try_acquire_owned() else {
        return;
    };
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        if let Some(shown_by) = wait_for_end(&gateway, &failure).await {
            record_end(&gateway, &failure, shown_by);
        }
        drop(watch);
    });
}

/// Records that an upstream answered a request, which refutes a suspicion.
pub fn on_answer<P: Platform>(gateway: &Arc<Gateway<P>>, call: &Call, response: &HttpResponse) {
    let names = gateway.platform.headers();
    let is_from_run = response.headers.contains_key(&names.stamp)
        && !response.headers.contains_key(&names.not_run)
        && !response.status.is_server_error();
    if !is_from_run || gateway.crash_suspects().is_empty() {
        return;
    }
    let fingerprint = call.fingerprint(names);
    if gateway.crash_suspects().on_answer(fingerprint) {
        tracing::info!(
            request = call.id_text(),
            content = hex(fingerprint.content),
            variant = hex(fingerprint.variant),
            "suspicion refuted: an upstream answered the request"
        );
        gateway.on_suspects_changed();
        relay::push_suspect(gateway, fingerprint.content);
    }
}

/// Formats a hash for log lines and keys.
#[must_use]
pub fn hex(hash: u64) -> String {
    format!("{hash:016x}")
}

/// Milliseconds since the Unix epoch, on this machine's clock.
#[must_use]
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, to_ms)
}

async fn wait_for_end<P: Platform>(
    gateway: &Gateway<P>,
    failure: &Failure,
) -> Option<&'static str> {
    for delay in LISTEN_CHECK_DELAYS {
        sleep(delay).await;
        if failure.client.check_listens(&gateway.metrics).await == ListenState::Refused {
            return Some("connection-refused");
        }
    }
    let until = Instant::now() + RESTART_REPORT_TIMEOUT;
    while Instant::now() < until {
        sleep(RESTART_CHECK_INTERVAL).await;
        if has_restarted(gateway, failure) {
            return Some("new-process");
        }
    }
    None
}

/// Whether the directory has a process at the upstream's address that started when
/// the exchange failed.
fn has_restarted<P: Platform>(gateway: &Gateway<P>, failure: &Failure) -> bool {
    let old = failure.client.lifetime();
    let view = gateway.view();
    for id in view.directory.ids() {
        let Some(upstream) = view.directory.get(id) else {
            continue;
        };
        let report = &upstream.report;
        let is_successor = report.address == failure.client.address
            && (report.id != old.upstream || report.started_at_ms != old.started_at_ms);
        let difference_ms = report.started_at_ms.abs_diff(failure.at_unix_ms);
        if is_successor && difference_ms <= MAX_RESTART_DIFFERENCE_MS {
            return true;
        }
    }
    false
}

/// Records an end, unless the upstream was leaving anyway.
fn record_end<P: Platform>(gateway: &Arc<Gateway<P>>, failure: &Failure, shown_by: &'static str) {
    let lifetime = failure.client.lifetime();
    let is_leaving = {
        let view = gateway.view();
        let known = view.directory.get(&lifetime.upstream);
        known.is_some_and(|upstream| upstream.report.state == UpstreamState::Draining)
    };
    if is_leaving {
        return;
    }
    let now_ms = gateway.now_ms();
    let evidence = Evidence::Unreachable;
    failure.client.ejection().on_evidence(evidence, now_ms);
    gateway.metrics.upstream_ends.inc();
    let fingerprint = failure.fingerprint;
    let (is_new, verdict) = {
        let mut suspects = gateway.crash_suspects();
        let is_new = suspects.on_end(fingerprint, lifetime.clone(), now_ms);
        (is_new, suspects.verdict(fingerprint, now_ms))
    };
    tracing::info!(
        request = failure.request,
        content = hex(fingerprint.content),
        variant = hex(fingerprint.variant),
        upstream = %lifetime.upstream,
        upstream_started_at_ms = lifetime.started_at_ms,
        shown_by,
        is_new,
        ?verdict,
        "upstream ended while the request was in flight"
    );
    if is_new {
        gateway.on_suspects_changed();
        relay::push_suspect(gateway, fingerprint.content);
    }
}

fn log_failure<P: Platform>(gateway: &Gateway<P>, failure: &Failure, listens: ListenState) {
    if !gateway.log_budget.take() {
        return;
    }
    let lifetime = failure.client.lifetime();
    tracing::info!(
        request = failure.request,
        content = hex(failure.fingerprint.content),
        variant = hex(failure.fingerprint.variant),
        upstream = %lifetime.upstream,
        upstream_started_at_ms = lifetime.started_at_ms,
        %listens,
        "connection closed while the request was in flight"
    );
}

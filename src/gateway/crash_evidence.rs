//! Finds out whether an upstream ended while it ran a request.
//!
//! A closed connection alone does not show that: the upstream may have lost or cut
//! its response. If no process listens at its address right after, or a new process
//! started there at that moment, it ended. New connections that are closed at once
//! count as an end until the upstream turns out to be the same process as before.
//!
//! While no upstream answers this instance, a refused connection says nothing: its links may be
//! lost, or all upstreams may be down. That is decided once an upstream answers again.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::{Instant, sleep, timeout_at};

use super::calls::{Call, to_ms};
use super::peer_push::{News, push};
use super::state::Gateway;
use super::store::Platform;
use super::suspects::hex;
use super::upstream_client::{ListenState, UpstreamClient};
use crate::connection::exchange::{ExchangeError, HttpResponse};
use crate::decision::crash_suspects::Fingerprint;
use crate::decision::directory::UpstreamState;
use crate::decision::ejection::Evidence;

/// Delays before further checks of an upstream that still accepted the first
/// connection.
const ACCEPT_CHECK_DELAYS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(100)];
/// Delay before an upstream that closed all new connections is checked again.
const SURVIVAL_CHECK_DELAY: Duration = Duration::from_millis(500);
/// Time after which an upstream that still closes all new connections counts as ended.
const SURVIVAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which the report of a new process may arrive: two heartbeats.
const RESTART_REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval at which the directory is checked for such a report.
const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which an end stays undecided while no upstream answers; upstreams that ended are
/// back within some seconds.
const UNDECIDED_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before each check of an undecided upstream while others answer.
const UNDECIDED_CHECK_DELAY: Duration = Duration::from_millis(100);
/// Largest difference between the failure and the start of the new process of an
/// upstream that always accepted connections; it includes that of their clocks.
const MAX_RESTART_DIFFERENCE_MS: u64 = 2_000;

/// Whether it is known that an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decision {
    /// It ended, and that is recorded.
    Recorded,
    /// No upstream answers this instance, so that nothing can be said.
    Undecided,
}

/// A failed exchange whose upstream may have ended.
struct Failure {
    request: String,
    fingerprint: Fingerprint,
    client: Arc<UpstreamClient>,
    failed: Instant,
    at_unix_ms: u64,
}

/// Checks whether the upstream ended when an exchange failed, and records its end
/// against the request.
///
/// An upstream that does not listen any more is recorded before this returns, others
/// later. Upstreams that are leaving anyway are not checked.
pub async fn on_failed_exchange<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    client: &Arc<UpstreamClient>,
    error: &ExchangeError,
) {
    if !matches!(error, ExchangeError::Disconnected(_)) || is_leaving(gateway, client) {
        return;
    }
    let failed = Instant::now();
    let failure = Failure {
        request: call.id_text().to_owned(),
        fingerprint: call.fingerprint(gateway.platform.headers()),
        client: Arc::clone(client),
        failed,
        at_unix_ms: unix_ms(),
    };
    let listens = client.check_listens(&gateway.metrics).await;
    log_failure(gateway, &failure, listens);
    let is_refused = listens == ListenState::Refused;
    if is_refused && record_end(gateway, &failure, "connection-refused").await == Decision::Recorded
    {
        return;
    }
    let Ok(watch) = Arc::clone(&gateway.suspects.end_watches).try_acquire_owned() else {
        return;
    };
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        if is_refused {
            decide_later(&gateway, &failure).await;
        } else {
            watch_upstream(&gateway, &failure).await;
        }
        drop(watch);
    });
}

/// Whether the upstream drains or says that it leaves, or has removed its entry and serves
/// for a while.
fn is_leaving<P: Platform>(gateway: &Gateway<P>, client: &UpstreamClient) -> bool {
    let view = gateway.view();
    let known = view.directory.get(&client.id);
    let lifetime = client.lifetime();
    known.is_none_or(|upstream| upstream.report.state == UpstreamState::Draining)
        || gateway
            .notices
            .table()
            .is_leaving(&lifetime.upstream, lifetime.started_at_ms)
}

/// Records that an upstream answered a request, which refutes a suspicion.
pub fn on_answer<P: Platform>(gateway: &Arc<Gateway<P>>, call: &Call, response: &HttpResponse) {
    let names = gateway.platform.headers();
    let is_from_run = response.headers.contains_key(&names.stamp)
        && !response.headers.contains_key(&names.not_run)
        && !response.status.is_server_error();
    if !is_from_run || gateway.suspects.table().is_empty() {
        return;
    }
    let fingerprint = call.fingerprint(names);
    if gateway.suspects.table().on_answer(fingerprint) {
        tracing::info!(
            request = call.id_text(),
            content = hex(fingerprint.content),
            variant = hex(fingerprint.variant),
            "suspicion refuted: an upstream answered the request"
        );
        gateway.on_suspects_changed();
        push(gateway, &News::Suspect(fingerprint.content));
    }
}

/// Milliseconds since the Unix epoch, on this machine's clock.
#[must_use]
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, to_ms)
}

/// Finds out later whether an upstream that accepted a connection ended.
async fn watch_upstream<P: Platform>(gateway: &Arc<Gateway<P>>, failure: &Failure) {
    let mut closed = 0;
    for delay in ACCEPT_CHECK_DELAYS {
        sleep(delay).await;
        match failure.client.check_accepts(&gateway.metrics).await {
            ListenState::Refused => {
                if record_end(gateway, failure, "connection-refused").await == Decision::Undecided {
                    decide_later(gateway, failure).await;
                }
                return;
            }
            ListenState::Closed => closed += 1,
            ListenState::Accepted => break,
            ListenState::Unknown => {}
        }
    }
    let seems_ended = closed == ACCEPT_CHECK_DELAYS.len();
    if seems_ended {
        if record_end(gateway, failure, "connections-closed").await == Decision::Undecided {
            return decide_later(gateway, failure).await;
        }
        let until = Instant::now() + SURVIVAL_TIMEOUT;
        while failure.client.check_accepts(&gateway.metrics).await != ListenState::Accepted {
            if Instant::now() >= until {
                return;
            }
            sleep(SURVIVAL_CHECK_DELAY).await;
        }
    }
    let has_restarted = wait_for_restart(gateway, failure, seems_ended).await;
    match (seems_ended, has_restarted) {
        (false, true) => {
            record_end(gateway, failure, "new-process").await;
        }
        (true, false) => record_survival(gateway, failure),
        (true, true) | (false, false) => {}
    }
}

/// Decides whether an upstream ended once any upstream answers this instance again: it did if
/// it still refuses connections then, or a new process at its address has reported by then or
/// shortly after.
async fn decide_later<P: Platform>(gateway: &Arc<Gateway<P>>, failure: &Failure) {
    let until = Instant::now() + UNDECIDED_TIMEOUT;
    while Instant::now() < until {
        if timeout_at(until, gateway.contact.in_contact())
            .await
            .is_err()
        {
            return;
        }
        // Links that were lost may come back one after the other.
        sleep(UNDECIDED_CHECK_DELAY).await;
        match failure.client.check_listens(&gateway.metrics).await {
            ListenState::Accepted => {
                if wait_for_restart(gateway, failure, true).await {
                    record_end(gateway, failure, "new-process").await;
                }
                return;
            }
            ListenState::Refused => {
                if record_end(gateway, failure, "connection-refused").await == Decision::Recorded {
                    return;
                }
            }
            ListenState::Closed | ListenState::Unknown => {}
        }
    }
}

/// Waits for the report of a new process. Unless the upstream was away meanwhile, the
/// process must have started when the exchange failed.
async fn wait_for_restart<P: Platform>(
    gateway: &Gateway<P>,
    failure: &Failure,
    was_away: bool,
) -> bool {
    let max_difference_ms = if was_away {
        u64::MAX
    } else {
        MAX_RESTART_DIFFERENCE_MS
    };
    let until = Instant::now() + RESTART_REPORT_TIMEOUT;
    while Instant::now() < until {
        if has_restarted(gateway, failure, max_difference_ms) {
            return true;
        }
        sleep(RESTART_CHECK_INTERVAL).await;
    }
    false
}

/// Withdraws an end that was recorded for an upstream that is still the same process.
fn record_survival<P: Platform>(gateway: &Arc<Gateway<P>>, failure: &Failure) {
    let content = failure.fingerprint.content;
    let lifetime = failure.client.lifetime();
    if !gateway.suspects.table().on_survival(content, &lifetime) {
        return;
    }
    tracing::info!(
        request = failure.request,
        content = hex(content),
        upstream = %lifetime.upstream,
        "suspicion refuted: the upstream has not ended"
    );
    gateway.on_suspects_changed();
    push(gateway, &News::Suspect(content));
}

/// Whether the directory has another process at the upstream's address, which started
/// at most this long before or after the exchange failed.
fn has_restarted<P: Platform>(
    gateway: &Gateway<P>,
    failure: &Failure,
    max_difference_ms: u64,
) -> bool {
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
        if is_successor && difference_ms <= max_difference_ms {
            return true;
        }
    }
    false
}

/// Records an end and tells the other instances, unless this instance may have lost its links:
/// then connections are refused whether the upstream has ended or not.
async fn record_end<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    failure: &Failure,
    shown_by: &'static str,
) -> Decision {
    let lifetime = failure.client.lifetime();
    let has_report = shown_by == "new-process";
    if !has_report && gateway.lost_links_since(failure.failed).await {
        tracing::info!(
            request = failure.request,
            upstream = %lifetime.upstream,
            shown_by,
            "not taken as the end of an upstream yet: no upstream answers this instance"
        );
        return Decision::Undecided;
    }
    let now_ms = gateway.now_ms();
    let evidence = Evidence::Unreachable;
    failure.client.ejection().on_evidence(evidence, now_ms);
    gateway.metrics.upstream_ends.inc();
    let fingerprint = failure.fingerprint;
    let (is_new, verdict) = {
        let mut suspects = gateway.suspects.table();
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
        push(gateway, &News::Suspect(fingerprint.content));
    }
    Decision::Recorded
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

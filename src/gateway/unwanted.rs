//! Refuses requests of services none of whose upstreams takes any.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use super::calls::{Call, to_ms};
use super::outcome::{Outcome, Reason};
use super::state::Gateway;
use super::store::Platform;
use crate::decision::directory::Upstream;

/// Share of the caller's remaining time that the retry delay may take if nothing shows when
/// an upstream takes requests again; callers use at most a third.
const MAX_RETRY_AFTER_SHARE: f64 = 0.3;
/// Shortest time over which the returns of callers are spread, in milliseconds.
const MIN_SPREAD_MS: u64 = 100;
/// Upstreams named in the line about a refusal.
const MAX_NAMED: usize = 4;

/// Refuses a request if all upstreams of its service that are ready say that they take no
/// requests; `None` if there is one that does, or none at all.
pub fn refuse<P: Platform>(gateway: &Gateway<P>, call: &Call, service: &str) -> Option<Outcome> {
    if gateway.notices.table().is_empty() {
        return None;
    }
    let ready = unwanting_upstreams(gateway, service)?;
    let (reason, retry_after_ms) = if let Some(left_ms) = shortest_silence_ms(gateway, &ready) {
        (Reason::TurnedAway, spread(left_ms))
    } else {
        let left = Duration::from_millis(call.left_ms());
        let share = MAX_RETRY_AFTER_SHARE * (0.5 + 0.5 * rand::random::<f64>());
        (Reason::NoUpstream, to_ms(left.mul_f64(share)).max(1))
    };
    log_refusal(gateway, call, service, &ready, retry_after_ms);
    Some(Outcome::refused(reason, retry_after_ms))
}

/// Time after which a caller may return, in milliseconds, if all ready upstreams of a
/// service take no requests and it is known when the first one does again.
pub fn return_ms<P: Platform>(gateway: &Gateway<P>, service: &str) -> Option<u64> {
    let ready = unwanting_upstreams(gateway, service)?;
    shortest_silence_ms(gateway, &ready).map(spread)
}

/// The ready upstreams of a service if none of them takes requests.
fn unwanting_upstreams<P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
) -> Option<Vec<Arc<Upstream>>> {
    let ready = gateway.ready_upstreams(service);
    let takes_some = ready.iter().any(|one| gateway.is_wanted_by(&one.report));
    (!ready.is_empty() && !takes_some).then_some(ready)
}

/// Time until the first of these upstreams wants requests again, in milliseconds; those
/// that leave do not count.
fn shortest_silence_ms<P: Platform>(
    gateway: &Gateway<P>,
    upstreams: &[Arc<Upstream>],
) -> Option<u64> {
    let now_ms = gateway.now_ms();
    let notices = gateway.notices.table();
    let mut shortest_ms = None;
    for upstream in upstreams {
        let report = &upstream.report;
        if notices.is_leaving(&report.id, report.started_at_ms) {
            continue;
        }
        let left_ms = notices.silence_left_ms(&report.id, report.started_at_ms, now_ms);
        shortest_ms = Some(shortest_ms.map_or(left_ms, |known: u64| known.min(left_ms)));
    }
    shortest_ms
}

/// A random return time in the first quarter after `left_ms`, so that callers that were
/// refused at different moments do not all return at the same one.
fn spread(left_ms: u64) -> u64 {
    let spread_ms = (left_ms / 4).max(MIN_SPREAD_MS);
    left_ms + rand::rng().random_range(0..=spread_ms)
}

fn log_refusal<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    service: &str,
    ready: &[Arc<Upstream>],
    retry_after_ms: u64,
) {
    if !gateway.log_budget.take() {
        return;
    }
    let now_ms = gateway.now_ms();
    let mut upstreams = Vec::new();
    for upstream in ready.iter().take(MAX_NAMED) {
        upstreams.push(
            gateway
                .notices
                .table()
                .describe(&upstream.report.id, now_ms),
        );
    }
    tracing::info!(
        request = call.id_text(),
        route = %call.route.name,
        version = call.version,
        service,
        ready = ready.len(),
        upstreams = upstreams.join("; "),
        held_ms = call.held_ms(),
        left_ms = call.left_ms(),
        return_ms = retry_after_ms,
        "request refused: all upstreams that it may use take none now"
    );
}

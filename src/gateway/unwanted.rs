//! Refuses requests of services none of whose upstreams takes any.

use std::sync::Arc;
use std::time::Duration;

use super::calls::{Call, to_ms};
use super::outcome::{Outcome, Reason};
use super::state::Gateway;
use super::store::Platform;
use crate::decision::directory::Upstream;

/// Share of the caller's remaining time that the retry delay may take if nothing shows when
/// an upstream takes requests again; callers use at most a third.
const MAX_RETRY_AFTER_SHARE: f64 = 0.3;
/// Upstreams named in the line about a refusal.
const MAX_NAMED: usize = 4;

/// Refuses a request if all upstreams of its service that are ready say that they take no
/// requests; `None` if there is one that does, or none at all.
pub fn refuse<P: Platform>(gateway: &Gateway<P>, call: &Call, service: &str) -> Option<Outcome> {
    if gateway.notices.table().is_empty() {
        return None;
    }
    let ready = gateway.ready_upstreams(service);
    if ready.is_empty() || ready.iter().any(|one| gateway.is_wanted_by(&one.report)) {
        return None;
    }
    let left = Duration::from_millis(call.left_ms());
    let share = MAX_RETRY_AFTER_SHARE * (0.5 + 0.5 * rand::random::<f64>());
    let retry_after_ms = to_ms(left.mul_f64(share)).max(1);
    log_refusal(gateway, call, service, &ready, retry_after_ms);
    Some(Outcome::refused(Reason::NoUpstream, retry_after_ms))
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

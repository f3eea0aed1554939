//! Finds out whether an upstream ended while it ran a request.
//!
//! A closed connection alone does not show that: the upstream may have lost or cut
//! its response. If no process listens at its address right after, it ended.

use super::calls::Call;
use super::state::Gateway;
use super::store::Platform;
use super::upstream_client::{ListenState, UpstreamClient};
use crate::connection::exchange::ExchangeError;

/// Checks whether the upstream still listens after an exchange failed, and logs what
/// the check shows.
pub async fn on_failed_exchange<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    client: &UpstreamClient,
    error: &ExchangeError,
) {
    if !matches!(error, ExchangeError::Disconnected(_)) {
        return;
    }
    let listens = client.check_listens(&gateway.metrics).await;
    if listens == ListenState::Refused {
        gateway.metrics.upstream_ends.inc();
    }
    if gateway.log_budget.take() {
        let fingerprint = call.fingerprint(gateway.platform.headers());
        let lifetime = client.lifetime();
        tracing::info!(
            request = call.id_text(),
            content = format!("{:016x}", fingerprint.content),
            variant = format!("{:016x}", fingerprint.variant),
            upstream = %lifetime.upstream,
            upstream_started_at_ms = lifetime.started_at_ms,
            %listens,
            "connection closed while the request was in flight"
        );
    }
}

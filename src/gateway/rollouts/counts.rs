//! Counts the requests of this instance by version, route, and load of the upstream.

use std::collections::HashMap;
use std::sync::Arc;

use http::StatusCode;
use tokio::time::Instant;

use crate::connection::exchange::{ExchangeError, HttpResponse};
use crate::decision::directory::Upstream;
use crate::decision::rollout::evidence::{CellKey, Cells, LoadKind, Sums};
use crate::decision::selection::Reading;
use crate::gateway::calls::Call;
use crate::gateway::state::Gateway;
use crate::gateway::store::{HeaderNames, Platform};
use crate::gateway::upstream_notices::read_notice;

/// Failures at the new version after which an instance stops by itself, should the decider be
/// silent; the decider usually needs fewer from all instances together.
const STOP_FAILURES: f64 = 10.0;
/// Share of this instance's requests to the new version that must have failed.
const STOP_SHARE: f64 = 0.3;

/// Counts of this instance since the order, by service.
#[derive(Debug, Default)]
pub struct Counts {
    by_service: HashMap<Arc<str>, Cells>,
}

impl Counts {
    /// Counts a request; returns whether this instance should stop using the new version.
    fn add(&mut self, service: &Arc<str>, key: CellKey, is_failure: bool, ms: Option<f64>) -> bool {
        let is_new = key.upstream.is_some();
        let cells = self.by_service.entry(Arc::clone(service)).or_default();
        cells.entry(key).or_default().add(is_failure, ms);
        if !is_new || !is_failure {
            return false;
        }
        let (mut sends, mut failures) = (0.0, 0.0);
        for (key, sums) in cells.iter() {
            if key.upstream.is_some() && key.load != LoadKind::Cold {
                sends += sums.sends;
                failures += sums.failures;
            }
        }
        failures >= STOP_FAILURES && failures >= STOP_SHARE * sends
    }

    /// Cells of a service that differ from those that were told before.
    #[must_use]
    pub fn changed(&self, service: &str, told: &Cells) -> Vec<(CellKey, Sums)> {
        let mut changed = Vec::new();
        for (key, sums) in self.by_service.get(service).into_iter().flatten() {
            if told.get(key) != Some(sums) {
                changed.push((key.clone(), *sums));
            }
        }
        changed
    }

    /// Forgets the counts of services whose order has changed or ended.
    pub fn forget(&mut self, service: &str) {
        self.by_service.remove(service);
    }
}

/// A request of a service whose traffic moves; one that is dropped was abandoned and counts
/// with the time that it took so far.
#[derive(Debug)]
pub struct Sample<'g, P: Platform> {
    gateway: &'g Gateway<P>,
    service: Arc<str>,
    upstream: Arc<str>,
    key: Option<CellKey>,
    sent_at: Instant,
}

impl<'g, P: Platform> Sample<'g, P> {
    /// Begins to count a request that is sent now; `None` for services without a roll-out.
    pub fn begin(
        gateway: &'g Gateway<P>,
        call: &Call,
        upstream: &Upstream,
        reading: &Reading,
    ) -> Option<Self> {
        let service = &upstream.report.service;
        let rule = gateway.rollouts.rule(service)?;
        if !rule.is_running() {
            return None;
        }
        let is_new = rule.is_new(upstream);
        if is_new {
            gateway.metrics.rollout_sends.inc();
        }
        let key = CellKey {
            route: Arc::clone(&call.route.name),
            upstream: is_new.then(|| Arc::clone(&upstream.report.id)),
            load: LoadKind::from(reading),
        };
        Some(Self {
            gateway,
            service: Arc::clone(service),
            upstream: Arc::clone(&upstream.report.id),
            key: Some(key),
            sent_at: Instant::now(),
        })
    }

    /// Counts the request by how it ended; `None` if no response came until its deadline.
    ///
    /// A response that was not run counts as failed: at like load, versions shed alike. One
    /// that says why no upstream of its version would run it, or that another process got it,
    /// says nothing of the version.
    pub fn end(
        sample: Option<Self>,
        names: &HeaderNames,
        result: Option<&Result<HttpResponse, ExchangeError>>,
    ) {
        let Some(mut sample) = sample else {
            return;
        };
        let response = match result {
            None => return sample.count(true, true),
            Some(Err(ExchangeError::NoMemory)) => return sample.count(false, false),
            Some(Err(_)) => return sample.count(true, false),
            Some(Ok(response)) => response,
        };
        let notice = read_notice(response, names, &sample.upstream);
        let says_nothing = response.status == StatusCode::MISDIRECTED_REQUEST
            || notice.is_some_and(|notice| notice.asks_silence());
        let is_unstamped =
            response.status.is_success() && !response.headers.contains_key(&names.stamp);
        let is_not_run = response.headers.contains_key(&names.not_run);
        let is_failure = response.status.is_server_error() || is_not_run || is_unstamped;
        sample.count(is_failure && !says_nothing, !is_failure && !says_nothing);
    }

    fn count(&mut self, is_failure: bool, is_timed: bool) {
        let Some(key) = self.key.take() else {
            return;
        };
        let took_ms = self.sent_at.elapsed().as_secs_f64() * 1_000.0;
        let took_ms = is_timed.then_some(took_ms);
        let rollouts = &self.gateway.rollouts;
        let stops = rollouts
            .counts()
            .add(&self.service, key, is_failure, took_ms);
        if stops && rollouts.stop_here(&self.service) {
            let service = &self.service;
            tracing::warn!(%service, "this instance stops using the new version: many of its requests there failed");
        }
    }
}

impl<P: Platform> Drop for Sample<'_, P> {
    fn drop(&mut self) {
        self.count(false, true);
    }
}

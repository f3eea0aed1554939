//! What this instance knows of the rates that upstreams take from the whole fleet.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::{HeaderMap, HeaderName};
use tokio::time::Instant;

use super::limited_choice::LimitedChoice;
use super::peer_push::{News, push};
use super::state::Gateway;
use super::store::Platform;
use super::upstream_client::UpstreamClient;
use crate::decision::crash_suspects::UpstreamLifetime;
use crate::decision::directory::UpstreamReport;
use crate::decision::rate_limits::{
    InvalidLimit, LimitChange, LimitReport, RateLimit, RateLimits, Statement, parse_limits,
};
use crate::decision::selection::Reading;
use crate::decision::send_permits::SendPermits;

/// What kind of answer a response of an upstream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// To a request that ran.
    Run,
    /// To a request that the upstream rejected.
    Rejection,
    /// To a probe.
    Probe,
}

/// The kind of a probe's answer: an upstream that is unwell has rejected the probe.
#[must_use]
pub fn probe_answer_kind(reading: &Reading) -> AnswerKind {
    if reading.is_healthy {
        AnswerKind::Probe
    } else {
        AnswerKind::Rejection
    }
}

/// The limit that a response names, as it is read from its headers.
pub type NamedLimit = Result<Option<f64>, InvalidLimit>;

/// Reads the limit that a response names.
///
/// # Errors
/// Returns an error if the header is there without a valid value.
pub fn read_limit(headers: &HeaderMap, name: &HeaderName) -> NamedLimit {
    let values = headers.get_all(name).into_iter();
    parse_limits(values.map(http::HeaderValue::as_bytes))
}

/// The limits that this instance knows.
#[derive(Debug, Default)]
pub struct LimitState {
    table: Mutex<RateLimits>,
    permits: Mutex<SendPermits>,
    /// Until when upstreams have no permits for this instance.
    pub choice: LimitedChoice,
    is_told: AtomicBool,
}

impl LimitState {
    /// Whether another instance has told this one its limits.
    #[must_use]
    pub fn is_told(&self) -> bool {
        self.is_told.load(Ordering::Relaxed)
    }

    /// Records that another instance has told this one its limits.
    pub fn set_told(&self) {
        self.is_told.store(true, Ordering::Relaxed);
    }

    /// Locks the limits.
    pub fn table(&self) -> MutexGuard<'_, RateLimits> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the permits that this instance gives out.
    pub fn permits(&self) -> MutexGuard<'_, SendPermits> {
        self.permits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets what is no longer needed.
    pub fn expire(&self, now_ms: u64, is_present: impl Fn(&str) -> bool) {
        self.table().expire(now_ms, is_present);
        self.permits().expire(now_ms);
        self.choice.expire(now_ms);
    }
}

impl<P: Platform> Gateway<P> {
    /// Applies what a response of an upstream says of its limit, and tells the other
    /// instances of a change.
    ///
    /// The upstream wrote the response after `sent_at`, when its request was sent. A
    /// rejected request says nothing by naming no limit: its response need not come from
    /// the part of the upstream that names limits.
    pub fn on_named_limit(
        self: &Arc<Self>,
        client: &UpstreamClient,
        named: NamedLimit,
        sent_at: Instant,
        kind: AnswerKind,
    ) {
        let Ok(per_s) = named else {
            if self.log_budget.take() {
                tracing::warn!(upstream = %client.id, "invalid limit; the known one stays in force");
            }
            return;
        };
        let may_end_limit = kind != AnswerKind::Rejection && !self.limits.table().is_empty();
        if per_s.is_none() && !may_end_limit {
            return;
        }
        let received_ms = self.now_ms();
        let statement = Statement {
            per_s,
            sent_ms: received_ms.saturating_sub(super::calls::to_ms(sent_at.elapsed())),
            received_ms,
            is_probe: kind == AnswerKind::Probe,
        };
        let lifetime = client.lifetime();
        let change = self.limits.table().on_statement(&lifetime, statement);
        self.on_limit_change(change, &lifetime, per_s, "upstream");
        if change != LimitChange::None {
            push(self, &News::Limit(lifetime.upstream));
        }
    }

    /// The limit in force of the upstream that sent a report, if there is one.
    #[must_use]
    pub fn limit_of(&self, report: &UpstreamReport) -> Option<RateLimit> {
        let limits = self.limits.table();
        limits.limit(&report.id, report.started_at_ms)
    }

    /// Adds what another instance knows of limits; `source` names it in the log.
    pub fn merge_limits(&self, reports: &[LimitReport], source: &str) {
        let now_ms = self.now_ms();
        for report in reports {
            let change = self.limits.table().merge(report, now_ms);
            self.on_limit_change(change, &report.lifetime, report.per_s, source);
        }
    }

    /// What this instance knows of an upstream's limit.
    #[must_use]
    pub fn limit_report(&self, upstream: &str) -> Option<LimitReport> {
        self.limits.table().report(upstream, self.now_ms())
    }

    fn on_limit_change(
        &self,
        change: LimitChange,
        lifetime: &UpstreamLifetime,
        per_s: Option<f64>,
        source: &str,
    ) {
        if change == LimitChange::None {
            return;
        }
        self.limits.choice.forget(&lifetime.upstream);
        let limited = self.limits.table().limited();
        self.metrics
            .limited_upstreams
            .set(u64::try_from(limited).unwrap_or(u64::MAX));
        tracing::info!(
            upstream = %lifetime.upstream,
            started_at_ms = lifetime.started_at_ms,
            %change,
            per_s,
            source,
            "limit of an upstream changed"
        );
        self.notify_changed();
    }
}

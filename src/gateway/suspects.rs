//! What this instance knows of requests that are suspected of ending upstreams.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Semaphore;

use super::state::Gateway;
use super::store::Platform;
use super::view::Event;
use crate::decision::crash_suspects::{CrashSuspects, Fingerprint, Scope, SuspectReport, Verdict};
use crate::decision::run_permits::RunPermits;

/// Failed exchanges whose upstreams are watched for their end at the same time.
const MAX_END_WATCHES: usize = 64;

/// Suspects, permits and the limits of their I/O.
#[derive(Debug)]
pub struct SuspectState {
    table: Mutex<CrashSuspects>,
    permits: Mutex<RunPermits>,
    /// Limits the failed exchanges whose upstreams are watched for their end.
    pub end_watches: Arc<Semaphore>,
}

impl Default for SuspectState {
    fn default() -> Self {
        Self {
            table: Mutex::default(),
            permits: Mutex::default(),
            end_watches: Arc::new(Semaphore::new(MAX_END_WATCHES)),
        }
    }
}

impl SuspectState {
    /// Locks the suspects.
    pub fn table(&self) -> MutexGuard<'_, CrashSuspects> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the run permits that this instance has given out.
    pub fn permits(&self) -> MutexGuard<'_, RunPermits> {
        self.permits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<P: Platform> Gateway<P> {
    /// What this instance knows of the requests with this content.
    #[must_use]
    pub fn suspect_report(&self, content: u64) -> Option<SuspectReport> {
        self.suspects.table().report(content, self.now_ms())
    }

    /// Upstreams whose last report is of a process that has ended under requests with this
    /// content. Whatever listens there now has not reported yet, so that its end could not be
    /// told from that one.
    #[must_use]
    pub fn ended_upstreams(&self, content: u64) -> Vec<Arc<str>> {
        let Some(report) = self.suspect_report(content) else {
            return Vec::new();
        };
        let view = self.view();
        let mut ended = Vec::new();
        for end in report.ends {
            let lifetime = end.lifetime;
            let known = view.directory.get(&lifetime.upstream);
            let is_last_report =
                known.is_some_and(|known| known.report.started_at_ms == lifetime.started_at_ms);
            let is_start_known = lifetime.started_at_ms > 0;
            if is_last_report && is_start_known && !end.is_refuted {
                ended.push(lifetime.upstream);
            }
        }
        ended
    }

    /// Adds what another instance or the store knows of suspect requests; `source`
    /// names it in the log.
    pub fn merge_suspects(&self, reports: &[SuspectReport], source: &str) {
        let now_ms = self.now_ms();
        let mut has_changed = false;
        for report in reports {
            if !self.suspects.table().merge(report, now_ms) {
                continue;
            }
            has_changed = true;
            let live = report.ends.iter().filter(|end| !end.is_refuted).count();
            if self.log_budget.take() {
                tracing::info!(
                    content = hex(report.content),
                    ends = report.ends.len(),
                    refuted = report.ends.len() - live,
                    is_content_refuted = report.is_content_refuted,
                    age_ms = report.age_ms,
                    source,
                    "learned of a suspect request"
                );
            }
        }
        if has_changed {
            self.on_suspects_changed();
        }
    }

    /// Updates the metrics after a change of the suspects, and tells the instances
    /// that wait for one.
    pub fn on_suspects_changed(&self) {
        let (known, stopped) = {
            let suspects = self.suspects.table();
            (suspects.len(), suspects.stopped())
        };
        let to_u64 = |count| u64::try_from(count).unwrap_or(u64::MAX);
        self.metrics.suspects.set(to_u64(known));
        self.metrics.stopped_requests.set(to_u64(stopped));
        self.notify_changed();
    }

    /// Gives out the run permit of a scope; false if another token holds it or the
    /// requests are stopped.
    #[must_use]
    pub fn grant_run(&self, scope: Scope, token: u64, lifetime_ms: u64) -> bool {
        let now_ms = self.now_ms();
        let request = match scope {
            Scope::Variant(request) => request,
            Scope::Content(content) => Fingerprint {
                content,
                variant: 0,
            },
        };
        let verdict = self.suspects.table().verdict(request, now_ms);
        if matches!(verdict, Verdict::Stopped { .. }) {
            return false;
        }
        self.suspects
            .permits()
            .acquire(scope, token, lifetime_ms, now_ms)
    }

    /// Adds the records of stopped requests that these events name.
    pub fn merge_stored_suspects(&self, events: &[Event]) {
        let mut reports = Vec::new();
        for event in events {
            let Event::StoppedRequest(content) = event else {
                continue;
            };
            let stored = self.view().stored_suspects.get(content).cloned();
            reports.extend(stored.map(|stored| stored.to_report(*content)));
        }
        self.merge_suspects(&reports, "store");
    }
}

/// Formats a hash for log lines and keys.
#[must_use]
pub fn hex(hash: u64) -> String {
    format!("{hash:016x}")
}

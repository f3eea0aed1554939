//! Whether this instance knows enough of the fleet to start new work.

use std::sync::atomic::{AtomicU64, Ordering};

/// Age up to which a copy of the list may be used.
pub const LIST_MAX_AGE_MS: u64 = 3_000;
/// Time for which a failed look at the list counts as a look.
const LIST_FAILURE_GRACE_MS: u64 = 1_500;
/// Silence of all other processes after which an instance is isolated.
pub const ISOLATION_TIMEOUT_MS: u64 = 3_000;
/// Interval between ticks that show that the process runs.
pub const TICK_INTERVAL_MS: u64 = 100;
/// Silence of the ticks that is taken for a standstill of the process; ten
/// ticks, so that a busy processor is not taken for one.
const STALL_THRESHOLD_MS: u64 = 1_000;

/// When the instance last heard of what.
///
/// Times are those of the runtime's clock, and of the question, not of its
/// answer: an answer may have waited while the process was frozen. After a
/// standstill the process starts nothing before it has asked for both the list
/// and the version in force anew.
#[derive(Debug, Default)]
pub struct Fence {
    list_read_ms: AtomicU64,
    list_failure_ms: AtomicU64,
    contact_ms: AtomicU64,
    version_ms: AtomicU64,
    tick_ms: AtomicU64,
    resumed_ms: AtomicU64,
}

impl Fence {
    /// The list was read `age_ms` before `now_ms`, here or by a peer.
    pub fn on_list(&self, now_ms: u64, age_ms: u64) {
        let read_ms = now_ms.saturating_sub(age_ms);
        self.list_read_ms.fetch_max(read_ms, Ordering::Relaxed);
    }

    /// The list was asked at `asked_ms` and gave no answer.
    pub fn on_list_failure(&self, asked_ms: u64) {
        self.list_failure_ms.fetch_max(asked_ms, Ordering::Relaxed);
    }

    /// The log, the list or a peer answered what it was asked at `asked_ms`.
    pub fn on_contact(&self, asked_ms: u64) {
        self.contact_ms.fetch_max(asked_ms, Ordering::Relaxed);
    }

    /// The version in force is at least what the log or a peer had at
    /// `asked_ms`.
    pub fn on_version(&self, asked_ms: u64) {
        self.version_ms.fetch_max(asked_ms, Ordering::Relaxed);
    }

    /// The process runs; `true` if it has stood still before.
    pub fn on_tick(&self, now_ms: u64) -> bool {
        let was_stalled = self.is_stalled(now_ms);
        if was_stalled {
            self.resumed_ms.store(now_ms, Ordering::Relaxed);
        }
        self.tick_ms.store(now_ms, Ordering::Relaxed);
        was_stalled
    }

    fn is_stalled(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.tick_ms.load(Ordering::Relaxed)) > STALL_THRESHOLD_MS
    }

    /// Whether list and version have been asked for since the last standstill.
    #[must_use]
    pub fn has_caught_up(&self, now_ms: u64) -> bool {
        let resumed_ms = self.resumed_ms.load(Ordering::Relaxed);
        let list_read_ms = self.list_read_ms.load(Ordering::Relaxed);
        let list_failure_ms = self.list_failure_ms.load(Ordering::Relaxed);
        let version_ms = self.version_ms.load(Ordering::Relaxed);
        !self.is_stalled(now_ms)
            && list_read_ms.max(list_failure_ms) >= resumed_ms
            && version_ms >= resumed_ms
    }

    /// Age of the copy of the list.
    #[must_use]
    pub fn list_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.list_read_ms.load(Ordering::Relaxed))
    }

    /// Whether nothing else has answered for too long.
    #[must_use]
    pub fn is_isolated(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.contact_ms.load(Ordering::Relaxed)) > ISOLATION_TIMEOUT_MS
    }

    /// Whether new work may be sent to an upstream now.
    ///
    /// The list must be fresh, or this instance must have asked for it just
    /// now in vain while others still answer it.
    #[must_use]
    pub fn may_send(&self, now_ms: u64) -> bool {
        if self.is_isolated(now_ms) || !self.has_caught_up(now_ms) {
            return false;
        }
        let failure_age_ms = now_ms.saturating_sub(self.list_failure_ms.load(Ordering::Relaxed));
        self.list_age_ms(now_ms) <= LIST_MAX_AGE_MS || failure_age_ms <= LIST_FAILURE_GRACE_MS
    }
}

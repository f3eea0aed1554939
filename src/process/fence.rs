//! Stops an instance from starting new work while its knowledge of the fleet
//! may be stale.

use std::sync::atomic::{AtomicU64, Ordering};

/// Greatest age of a copy of the list on which new work may be based.
pub const MAX_LIST_AGE_MS: u64 = 3_000;
/// Time after a failed request for the list for which an older copy may still
/// be used.
const LIST_FAILURE_GRACE_MS: u64 = 1_500;
/// Time without a response from any other process after which an instance is
/// isolated.
pub const ISOLATION_TIMEOUT_MS: u64 = 3_000;
/// Interval between the ticks that show that the process is running.
pub const TICK_INTERVAL_MS: u64 = 100;
/// Time without a tick after which the process counts as stalled. Ten ticks,
/// so that a busy processor does not count as a stall.
const STALL_THRESHOLD_MS: u64 = 1_000;

/// Times of the last successful contacts, by the runtime's clock.
///
/// Each is the time of the request, not of the response, because a response may
/// have been pending while the process was stalled. After a stall the process
/// starts no new work until it has requested both the list and the version in
/// force again.
#[derive(Debug, Default)]
pub struct Fence {
    list_read_ms: AtomicU64,
    /// Last request for the list that failed.
    list_failure_ms: AtomicU64,
    /// Last request to which any other process responded.
    contact_ms: AtomicU64,
    version_ms: AtomicU64,
    tick_ms: AtomicU64,
    /// End of the last stall.
    resumed_ms: AtomicU64,
}

impl Fence {
    /// Records that the list was read `age_ms` before `now_ms`, here or by a
    /// peer.
    pub fn on_list(&self, now_ms: u64, age_ms: u64) {
        let read_ms = now_ms.saturating_sub(age_ms);
        self.list_read_ms.fetch_max(read_ms, Ordering::Relaxed);
    }

    /// Records that a request for the list, sent at `asked_ms`, failed.
    pub fn on_list_failure(&self, asked_ms: u64) {
        self.list_failure_ms.fetch_max(asked_ms, Ordering::Relaxed);
    }

    /// Records that the log, the list or a peer responded to a request sent at
    /// `asked_ms`.
    pub fn on_contact(&self, asked_ms: u64) {
        self.contact_ms.fetch_max(asked_ms, Ordering::Relaxed);
    }

    /// Records that the version in force here is at least the one that the log
    /// or a peer had at `asked_ms`.
    pub fn on_version(&self, asked_ms: u64) {
        self.version_ms.fetch_max(asked_ms, Ordering::Relaxed);
    }

    /// Records a tick; returns `true` if the process was stalled before it.
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

    /// Whether the list and the version have been requested since the last
    /// stall.
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

    /// Returns the age of the copy of the list.
    #[must_use]
    pub fn list_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.list_read_ms.load(Ordering::Relaxed))
    }

    /// Returns the time since any other process responded.
    #[must_use]
    pub fn contact_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.contact_ms.load(Ordering::Relaxed))
    }

    /// Whether no other process has responded within [`ISOLATION_TIMEOUT_MS`].
    #[must_use]
    pub fn is_isolated(&self, now_ms: u64) -> bool {
        self.contact_age_ms(now_ms) > ISOLATION_TIMEOUT_MS
    }

    /// Whether new work may be sent to an upstream now.
    ///
    /// The list must be fresh. If it cannot be read, an older copy will do while
    /// other processes still respond.
    #[must_use]
    pub fn may_send(&self, now_ms: u64) -> bool {
        if self.is_isolated(now_ms) || !self.has_caught_up(now_ms) {
            return false;
        }
        let failure_age_ms = now_ms.saturating_sub(self.list_failure_ms.load(Ordering::Relaxed));
        self.list_age_ms(now_ms) <= MAX_LIST_AGE_MS || failure_age_ms <= LIST_FAILURE_GRACE_MS
    }
}

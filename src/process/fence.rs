//! Whether this instance knows enough of the fleet to start new work.

use std::sync::atomic::{AtomicU64, Ordering};

/// Age up to which a copy of the list may be used.
pub const LIST_LIFE_MS: u64 = 3_000;
/// Time for which a failed look at the list counts as a look.
const LOOK_LIFE_MS: u64 = 1_500;
/// Silence of all other processes after which an instance is isolated.
pub const ISOLATION_MS: u64 = 3_000;

/// When the instance last heard of what.
///
/// Times are those of the runtime's clock. A process that was frozen finds
/// all of them old when it goes on, and so starts nothing before it has
/// looked again.
#[derive(Debug, Default)]
pub struct Fence {
    list_ms: AtomicU64,
    look_ms: AtomicU64,
    contact_ms: AtomicU64,
}

impl Fence {
    /// The list was read `age_ms` before `now_ms`, here or by a peer.
    pub fn on_list(&self, now_ms: u64, age_ms: u64) {
        let seen_ms = now_ms.saturating_sub(age_ms);
        self.list_ms.fetch_max(seen_ms, Ordering::Relaxed);
    }

    /// The list was asked and gave no answer.
    pub fn on_look(&self, now_ms: u64) {
        self.look_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    /// The log, the list or a peer answered.
    pub fn on_contact(&self, now_ms: u64) {
        self.contact_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    /// Age of the copy of the list.
    #[must_use]
    pub fn list_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.list_ms.load(Ordering::Relaxed))
    }

    /// Whether nothing else has answered for too long.
    #[must_use]
    pub fn is_isolated(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.contact_ms.load(Ordering::Relaxed)) > ISOLATION_MS
    }

    /// Whether new work may be sent to an upstream now.
    ///
    /// The list must be fresh, or this instance must have asked for it just
    /// now in vain while others still answer it.
    #[must_use]
    pub fn may_send(&self, now_ms: u64) -> bool {
        if self.is_isolated(now_ms) {
            return false;
        }
        let look_age_ms = now_ms.saturating_sub(self.look_ms.load(Ordering::Relaxed));
        self.list_age_ms(now_ms) <= LIST_LIFE_MS || look_age_ms <= LOOK_LIFE_MS
    }
}

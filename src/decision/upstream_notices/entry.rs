//! What is known of one upstream process.

use crate::decision::exchanged_reports::{to_i64, to_u64};

/// Time between the last answer that says that an upstream leaves and the send of the
/// request whose answer ends that; more than reports take between instances.
const END_MARGIN_MS: i64 = 1_000;

#[derive(Clone, Copy, Debug)]
pub(super) struct Leaving {
    pub(super) is_leaving: bool,
    pub(super) sent_ms: i64,
    pub(super) received_ms: i64,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct KnownSilence {
    pub(super) id: u64,
    pub(super) received_ms: i64,
    pub(super) until_ms: i64,
    /// End that other instances were told.
    pub(super) told_until_ms: i64,
    pub(super) return_delay_ms: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) started_at_ms: u64,
    pub(super) leaving: Option<Leaving>,
    pub(super) silence: Option<KnownSilence>,
    pub(super) changed_at: u64,
}

impl Entry {
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.is_some_and(|leaving| leaving.is_leaving)
    }

    pub(super) fn is_quiet(&self, now_ms: u64) -> bool {
        self.silence_left_ms(now_ms) > 0
    }

    pub(super) fn silence_left_ms(&self, now_ms: u64) -> u64 {
        self.silence.map_or(0, |silence| {
            let until_ms = silence
                .until_ms
                .saturating_add(to_i64(silence.return_delay_ms));
            to_u64(until_ms.saturating_sub(to_i64(now_ms)))
        })
    }

    /// When the upstream last said something of importance.
    pub(super) fn heard_ms(&self) -> i64 {
        let left_ms = self.leaving.map(|leaving| leaving.received_ms);
        let quiet_ms = self.silence.map(|silence| silence.received_ms);
        left_ms.max(quiet_ms).unwrap_or(i64::MIN)
    }
}

impl Leaving {
    /// This, with what the same process said before or after it.
    pub(super) fn updated(self, new: Self) -> Self {
        match (self.is_leaving, new.is_leaving) {
            (true, true) => Self {
                is_leaving: true,
                sent_ms: self.sent_ms.max(new.sent_ms),
                received_ms: self.received_ms.max(new.received_ms),
            },
            (true, false) => {
                if new.sent_ms >= self.received_ms.saturating_add(END_MARGIN_MS) {
                    new
                } else {
                    self
                }
            }
            (false, true) => {
                if self.sent_ms >= new.received_ms.saturating_add(END_MARGIN_MS) {
                    self
                } else {
                    new
                }
            }
            (false, false) if new.sent_ms > self.sent_ms => new,
            (false, false) => self,
        }
    }
}

//! When the store last confirmed what this instance knows of each stream.

use std::sync::atomic::{AtomicU64, Ordering};

use super::relay::STREAMS;
use super::store::Stream;

/// Time of the newest answer of the store for each stream, received by this instance or
/// by the one that it gets its records from.
#[derive(Debug, Default)]
pub struct StreamAges {
    confirmed_at_ms: [AtomicU64; STREAMS.len()],
}

impl StreamAges {
    /// Records that the store had no further records of a stream at `at_ms`.
    pub fn confirm(&self, stream: Stream, at_ms: u64) {
        for (known, slot) in STREAMS.into_iter().zip(&self.confirmed_at_ms) {
            if known == stream {
                slot.fetch_max(at_ms, Ordering::Relaxed);
            }
        }
    }

    /// Records what another instance tells of its own ages, in the order of [`STREAMS`].
    pub fn confirm_told(&self, ages_ms: &[u64], now_ms: u64) {
        for (stream, age_ms) in STREAMS.into_iter().zip(ages_ms) {
            self.confirm(stream, now_ms.saturating_sub(*age_ms));
        }
    }

    /// Time since the store confirmed a stream, in milliseconds; since the start of the
    /// process if it never has.
    #[must_use]
    pub fn age_ms(&self, stream: Stream, now_ms: u64) -> u64 {
        let mut age_ms = now_ms;
        for (known, slot) in STREAMS.into_iter().zip(&self.confirmed_at_ms) {
            if known == stream {
                age_ms = now_ms.saturating_sub(slot.load(Ordering::Relaxed));
            }
        }
        age_ms
    }

    /// The ages of all streams in the order of [`STREAMS`], in milliseconds.
    #[must_use]
    pub fn ages_ms(&self, now_ms: u64) -> Vec<u64> {
        let ages = STREAMS
            .into_iter()
            .map(|stream| self.age_ms(stream, now_ms));
        ages.collect()
    }
}

//! Detects poison requests, which crash the upstreams that run them.
//!
//! A crash shows as a connection that is reset during a run.

use std::collections::HashMap;

/// Connection resets after which a request is refused.
pub const RESETS_TO_REJECT: u32 = 2;
/// Time after the last reset after which a request is no longer suspect.
pub const SUSPECT_RETENTION_US: u64 = 120_000_000;
/// Resets by one upstream within this time count as one crash.
const SAME_CRASH_WINDOW_US: u64 = 1_000_000;
/// Number of suspects at which the expired ones are removed.
const MAX_SUSPECTS: usize = 4096;

/// A request that reset a connection.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    resets: u32,
    last_us: u64,
    last_upstream: Option<usize>,
    running: u32,
}

/// Suspect requests by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct PoisonTracker {
    suspects: HashMap<u64, Suspect>,
}

/// How a run of a request ended, as far as it matters for poison detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The upstream answered.
    Answered,
    /// The connection to the upstream at this index was reset during the run.
    Reset(usize),
    /// Any other end; neither clears nor adds to the suspicion.
    Other,
}

/// Resets of one request, as shared with peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResetCount {
    /// Fingerprint of the request, equal for each repetition.
    pub fingerprint: u64,
    /// Connection resets counted so far.
    pub resets: u32,
}

impl PoisonTracker {
    /// Whether the request must be refused.
    #[must_use]
    pub fn is_poison(&self, fingerprint: u64, now_us: u64) -> bool {
        self.suspect(fingerprint, now_us)
            .is_some_and(|suspect| suspect.resets >= RESETS_TO_REJECT)
    }

    /// Whether the request must wait because it is suspect and a copy of it is
    /// in flight.
    #[must_use]
    pub fn must_wait(&self, fingerprint: u64, now_us: u64) -> bool {
        self.suspect(fingerprint, now_us)
            .is_some_and(|suspect| suspect.resets > 0 && suspect.running > 0)
    }

    /// Counts the start of a run if the request is suspect.
    pub fn on_start(&mut self, fingerprint: u64) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.running += 1;
        }
    }

    /// Records the end of a run.
    pub fn on_end(&mut self, fingerprint: u64, end: RunEnd, now_us: u64) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.running = suspect.running.saturating_sub(1);
        }
        match end {
            RunEnd::Answered => {
                // A poison request never gets an answer, so the earlier reset
                // had another cause.
                self.suspects.remove(&fingerprint);
            }
            RunEnd::Reset(upstream) => self.on_reset(fingerprint, upstream, now_us),
            RunEnd::Other => {}
        }
    }

    /// Counts a reset, but only once for all copies that ran at an upstream
    /// when it crashed.
    fn on_reset(&mut self, fingerprint: u64, upstream: usize, now_us: u64) {
        let is_same = self.suspect(fingerprint, now_us).is_some_and(|suspect| {
            let is_recent = now_us.saturating_sub(suspect.last_us) < SAME_CRASH_WINDOW_US;
            is_recent && suspect.last_upstream == Some(upstream)
        });
        if is_same {
            return;
        }
        let resets = self.resets(fingerprint, now_us) + 1;
        self.merge(fingerprint, resets, now_us);
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.last_upstream = Some(upstream);
        }
    }

    /// Raises a request's count to that of a peer.
    pub fn merge(&mut self, fingerprint: u64, resets: u32, now_us: u64) {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects
                .retain(|_, suspect| now_us.saturating_sub(suspect.last_us) < SUSPECT_RETENTION_US);
        }
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            resets: 0,
            last_us: now_us,
            last_upstream: None,
            running: 0,
        });
        if now_us.saturating_sub(suspect.last_us) >= SUSPECT_RETENTION_US {
            suspect.resets = 0;
        }
        if resets > suspect.resets {
            suspect.resets = resets;
            suspect.last_us = now_us;
        }
    }

    /// Returns the resets counted for a request.
    #[must_use]
    pub fn resets(&self, fingerprint: u64, now_us: u64) -> u32 {
        self.suspect(fingerprint, now_us)
            .map_or(0, |suspect| suspect.resets)
    }

    /// Returns the counts of up to `max_count` suspects, to share with peers.
    #[must_use]
    pub fn reset_counts(&self, now_us: u64, max_count: usize) -> Vec<ResetCount> {
        let mut counts = Vec::new();
        for (fingerprint, suspect) in &self.suspects {
            let is_old = now_us.saturating_sub(suspect.last_us) >= SUSPECT_RETENTION_US;
            if is_old || suspect.resets == 0 || counts.len() == max_count {
                continue;
            }
            counts.push(ResetCount {
                fingerprint: *fingerprint,
                resets: suspect.resets,
            });
        }
        counts
    }

    fn suspect(&self, fingerprint: u64, now_us: u64) -> Option<&Suspect> {
        self.suspects
            .get(&fingerprint)
            .filter(|suspect| now_us.saturating_sub(suspect.last_us) < SUSPECT_RETENTION_US)
    }
}

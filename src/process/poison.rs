//! Requests that cut the connection of each upstream that runs them.

use std::collections::HashMap;

/// Cut connections after which a request is turned down.
pub const RESETS_TO_REJECT: u32 = 2;
/// Time after which a strike is forgotten.
pub const SUSPECT_RETENTION_US: u64 = 120_000_000;
/// Time in which cut connections to one upstream show the same crash.
const SAME_CRASH_WINDOW_US: u64 = 1_000_000;
/// Requests that are remembered at once.
const MAX_SUSPECTS: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Suspect {
    resets: u32,
    last_us: u64,
    last_upstream: Option<usize>,
    running: u32,
}

/// Strikes by fingerprint of the request.
#[derive(Clone, Debug, Default)]
pub struct PoisonTracker {
    suspects: HashMap<u64, Suspect>,
}

/// How a run ended, as far as suspicion goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The upstream answered.
    Answered,
    /// The connection to this upstream was cut during the run.
    Reset(usize),
    /// Neither.
    Other,
}

/// One fingerprint with its strikes, as told to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResetCount {
    /// Identifies the request.
    pub fingerprint: u64,
    /// Cut connections counted by the sender.
    pub resets: u32,
}

impl PoisonTracker {
    /// Whether the request must be turned down.
    #[must_use]
    pub fn is_poison(&self, fingerprint: u64, now_us: u64) -> bool {
        self.suspect(fingerprint, now_us)
            .is_some_and(|suspect| suspect.resets >= RESETS_TO_REJECT)
    }

    /// Whether a copy of the request must wait: one with a strike runs alone.
    #[must_use]
    pub fn must_wait(&self, fingerprint: u64, now_us: u64) -> bool {
        self.suspect(fingerprint, now_us)
            .is_some_and(|suspect| suspect.resets > 0 && suspect.running > 0)
    }

    /// Counts a start of a request that has a strike already.
    pub fn on_start(&mut self, fingerprint: u64) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.running += 1;
        }
    }

    /// Counts the end of a run.
    pub fn on_end(&mut self, fingerprint: u64, end: RunEnd, now_us: u64) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.running = suspect.running.saturating_sub(1);
        }
        match end {
            RunEnd::Answered => {
                // What crashes upstreams does not answer; the cut connection
                // had another cause.
                self.suspects.remove(&fingerprint);
            }
            RunEnd::Reset(upstream) => self.on_reset(fingerprint, upstream, now_us),
            RunEnd::Other => {}
        }
    }

    /// Copies that ran at one upstream when it went count as one strike.
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

    /// Takes over what a peer has counted.
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

    /// Strikes counted so far.
    #[must_use]
    pub fn resets(&self, fingerprint: u64, now_us: u64) -> u32 {
        self.suspect(fingerprint, now_us)
            .map_or(0, |suspect| suspect.resets)
    }

    /// Everything with a strike, for telling peers.
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

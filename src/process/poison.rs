//! Requests that cut the connection of each upstream that runs them.

use std::collections::HashMap;

/// Cut connections after which a request is turned down.
pub const STRIKES: u32 = 2;
/// Time after which a strike is forgotten.
pub const FORGET_AFTER_US: u64 = 120_000_000;
/// Time in which cut connections to one upstream show the same crash.
const SAME_CRASH_US: u64 = 1_000_000;
/// Requests that are remembered at once.
const MOST_REMEMBERED: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    strikes: u32,
    last_us: u64,
    last_upstream: Option<usize>,
    running: u32,
}

/// Strikes by fingerprint of the request.
#[derive(Clone, Debug, Default)]
pub struct PoisonList {
    suspicions: HashMap<u64, Suspicion>,
}

/// How a run ended, as far as suspicion goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The upstream answered.
    Answered,
    /// The connection to this upstream was cut during the run.
    Cut(usize),
    /// Neither.
    Other,
}

/// One fingerprint with its strikes, as told to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    /// Identifies the request.
    pub fingerprint: u64,
    /// Cut connections counted by the sender.
    pub strikes: u32,
}

impl PoisonList {
    /// Whether the request must be turned down.
    #[must_use]
    pub fn is_condemned(&self, fingerprint: u64, now_us: u64) -> bool {
        self.fresh(fingerprint, now_us)
            .is_some_and(|found| found.strikes >= STRIKES)
    }

    /// Whether a copy of the request must wait: one with a strike runs alone.
    #[must_use]
    pub fn must_wait(&self, fingerprint: u64, now_us: u64) -> bool {
        self.fresh(fingerprint, now_us)
            .is_some_and(|found| found.strikes > 0 && found.running > 0)
    }

    /// Counts a start of a request that has a strike already.
    pub fn on_start(&mut self, fingerprint: u64) {
        if let Some(found) = self.suspicions.get_mut(&fingerprint) {
            found.running += 1;
        }
    }

    /// Counts the end of a run.
    pub fn on_end(&mut self, fingerprint: u64, end: RunEnd, now_us: u64) {
        if let Some(found) = self.suspicions.get_mut(&fingerprint) {
            found.running = found.running.saturating_sub(1);
        }
        match end {
            RunEnd::Answered => {
                // What crashes upstreams does not answer; the cut connection
                // had another cause.
                self.suspicions.remove(&fingerprint);
            }
            RunEnd::Cut(upstream) => self.on_cut(fingerprint, upstream, now_us),
            RunEnd::Other => {}
        }
    }

    /// Copies that ran at one upstream when it went count as one strike.
    fn on_cut(&mut self, fingerprint: u64, upstream: usize, now_us: u64) {
        let is_same = self.fresh(fingerprint, now_us).is_some_and(|found| {
            let is_recent = now_us.saturating_sub(found.last_us) < SAME_CRASH_US;
            is_recent && found.last_upstream == Some(upstream)
        });
        if is_same {
            return;
        }
        let strikes = self.strikes(fingerprint, now_us) + 1;
        self.learn(fingerprint, strikes, now_us);
        if let Some(found) = self.suspicions.get_mut(&fingerprint) {
            found.last_upstream = Some(upstream);
        }
    }

    /// Takes over what a peer has counted.
    pub fn learn(&mut self, fingerprint: u64, strikes: u32, now_us: u64) {
        if self.suspicions.len() >= MOST_REMEMBERED {
            self.suspicions
                .retain(|_, found| now_us.saturating_sub(found.last_us) < FORGET_AFTER_US);
        }
        let found = self.suspicions.entry(fingerprint).or_insert(Suspicion {
            strikes: 0,
            last_us: now_us,
            last_upstream: None,
            running: 0,
        });
        if now_us.saturating_sub(found.last_us) >= FORGET_AFTER_US {
            found.strikes = 0;
        }
        if strikes > found.strikes {
            found.strikes = strikes;
            found.last_us = now_us;
        }
    }

    /// Strikes counted so far.
    #[must_use]
    pub fn strikes(&self, fingerprint: u64, now_us: u64) -> u32 {
        self.fresh(fingerprint, now_us)
            .map_or(0, |found| found.strikes)
    }

    /// Everything with a strike, for telling peers.
    #[must_use]
    pub fn recent(&self, now_us: u64, most: usize) -> Vec<Strike> {
        let mut recent = Vec::new();
        for (fingerprint, found) in &self.suspicions {
            let is_old = now_us.saturating_sub(found.last_us) >= FORGET_AFTER_US;
            if is_old || found.strikes == 0 || recent.len() == most {
                continue;
            }
            recent.push(Strike {
                fingerprint: *fingerprint,
                strikes: found.strikes,
            });
        }
        recent
    }

    fn fresh(&self, fingerprint: u64, now_us: u64) -> Option<&Suspicion> {
        self.suspicions
            .get(&fingerprint)
            .filter(|found| now_us.saturating_sub(found.last_us) < FORGET_AFTER_US)
    }
}

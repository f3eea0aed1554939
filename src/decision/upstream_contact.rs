//! Decides whether this instance has lost its links to all upstreams.
//!
//! The silence of one upstream says something about that upstream; that of several, while
//! none answers, is more likely to be this instance's own.

use std::collections::HashSet;
use std::sync::Arc;

/// Time without an answer to a probe after which its upstream counts as silent, in
/// milliseconds: 40 round trips within a region.
pub const SILENCE_MS: u64 = 60;
/// Distinct upstreams that must have failed or stayed silent since the last answer: the
/// first two rounds of one request's probes.
const MIN_FAILED: usize = 3;
/// The same if fewer are known; one upstream alone never suffices.
const MIN_FAILED_OF_FEW: usize = 2;
/// Shortest and longest time in which a check must be answered, in milliseconds: a first
/// packet that is lost is sent again after 200 ms; requests wait for no more than a second.
const CHECK_WAIT_MS: [u64; 2] = [250, 1_000];
/// Factor from the usual time of probes to that of a check.
const CHECK_WAIT_FACTOR: u64 = 2;
/// Divisor for the part of a longer time that the usual time of probes takes over.
const LONGER_TIME_DIVISOR: u64 = 2;
/// Time without an answer from which the belief is certain, and the part of it that the
/// belief must have held, in milliseconds; before, an answer may only be late.
const CERTAIN_SILENCE_MS: u64 = 750;
const CERTAIN_HELD_MS: u64 = 400;

/// What a change of the belief rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContactEvidence {
    /// Distinct upstreams that failed or stayed silent since the last answer.
    pub failed: usize,
    /// Time since the last answer of any upstream, in milliseconds; `None` without one.
    pub no_answer_ms: Option<u64>,
    /// Time for which the belief held, in milliseconds; 0 at its begin.
    pub held_ms: u64,
}

/// Answers and failures of upstreams, as this instance sees them.
#[derive(Debug, Default)]
pub struct UpstreamContact {
    last_answer_ms: Option<u64>,
    /// Number of answers so far.
    answers: u64,
    failed: HashSet<Arc<str>>,
    cut_off_since_ms: Option<u64>,
    last_end_ms: Option<u64>,
    /// Usual time of answered probes, in milliseconds.
    probe_ms: u64,
}

impl UpstreamContact {
    /// Records a complete answer; returns the evidence if it ends the belief.
    pub fn on_answer(&mut self, now_ms: u64) -> Option<ContactEvidence> {
        let evidence = self.evidence(now_ms);
        let was_cut_off = self.cut_off_since_ms.take().is_some();
        self.last_answer_ms = Some(now_ms);
        self.answers += 1;
        self.failed.clear();
        if !was_cut_off {
            return None;
        }
        self.last_end_ms = Some(now_ms);
        Some(evidence)
    }

    /// Records that an upstream could not be reached, broke off or stayed silent.
    pub fn on_failure(&mut self, upstream: &Arc<str>) {
        if !self.failed.contains(upstream) {
            self.failed.insert(Arc::clone(upstream));
        }
    }

    /// Records how long an answered probe took. A single short time shows that upstreams
    /// are not slow; a long one may be that of one upstream, or of links that were lost.
    pub fn on_probe_time(&mut self, took_ms: u64) {
        if took_ms <= self.probe_ms {
            self.probe_ms = took_ms;
            return;
        }
        self.probe_ms += (took_ms - self.probe_ms).div_ceil(LONGER_TIME_DIVISOR);
    }

    /// Time in which a check must be answered, in milliseconds: longer while all probes
    /// are slow.
    #[must_use]
    pub fn check_wait_ms(&self) -> u64 {
        let [shortest, longest] = CHECK_WAIT_MS;
        (self.probe_ms * CHECK_WAIT_FACTOR).clamp(shortest, longest)
    }

    /// Whether the belief has held for so long, and without an answer, that requests need
    /// not try the upstreams.
    #[must_use]
    pub fn is_certain(&self, now_ms: u64) -> bool {
        let Some(since_ms) = self.cut_off_since_ms else {
            return false;
        };
        let least_held_ms = CERTAIN_HELD_MS.max(self.probe_ms * CHECK_WAIT_FACTOR);
        let is_silent = self
            .no_answer_ms(now_ms)
            .is_none_or(|age| age >= CERTAIN_SILENCE_MS);
        is_silent && now_ms.saturating_sub(since_ms) >= least_held_ms
    }

    /// Whether enough upstreams failed without an answer that the links must be checked.
    #[must_use]
    pub fn is_suspected(&self, known: usize) -> bool {
        self.failed.len() >= known.clamp(MIN_FAILED_OF_FEW, MIN_FAILED)
    }

    /// Begins the belief unless an upstream answered since `checked_ms`, when upstreams
    /// that had not failed were probed; returns the evidence if it begins.
    pub fn try_begin(
        &mut self,
        checked_ms: u64,
        known: usize,
        now_ms: u64,
    ) -> Option<ContactEvidence> {
        let is_settled = now_ms.saturating_sub(checked_ms) >= SILENCE_MS;
        let has_answered = self.has_answered_since(checked_ms);
        if self.is_cut_off() || has_answered || !is_settled || !self.is_suspected(known) {
            return None;
        }
        let evidence = self.evidence(now_ms);
        self.cut_off_since_ms = Some(now_ms);
        Some(evidence)
    }

    /// Whether this instance believes that it reaches no upstream.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since_ms.is_some()
    }

    /// Whether an upstream answered at this time or later.
    #[must_use]
    pub fn has_answered_since(&self, since_ms: u64) -> bool {
        self.last_answer_ms.is_some_and(|last| last >= since_ms)
    }

    /// Time since the last answer, in milliseconds; `None` without one.
    #[must_use]
    pub fn no_answer_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_answer_ms.map(|last| now_ms.saturating_sub(last))
    }

    /// Whether the belief held at some moment since an attempt began, so that its failure
    /// says nothing about the upstream.
    #[must_use]
    pub fn was_cut_off_since(&self, started_ms: u64) -> bool {
        self.is_cut_off() || self.last_end_ms.is_some_and(|end| end >= started_ms)
    }

    /// Number of answers so far.
    #[must_use]
    pub fn answers(&self) -> u64 {
        self.answers
    }

    /// Whether an upstream failed since the last answer.
    #[must_use]
    pub fn has_failed(&self, upstream: &str) -> bool {
        self.failed.contains(upstream)
    }

    /// Whether any did.
    #[must_use]
    pub fn has_failures(&self) -> bool {
        !self.failed.is_empty()
    }

    fn evidence(&self, now_ms: u64) -> ContactEvidence {
        ContactEvidence {
            failed: self.failed.len(),
            no_answer_ms: self.no_answer_ms(now_ms),
            held_ms: self
                .cut_off_since_ms
                .map_or(0, |since| now_ms.saturating_sub(since)),
        }
    }
}

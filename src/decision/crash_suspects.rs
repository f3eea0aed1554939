//! Finds the requests that end the upstreams that run them.
//!
//! Every request that was in flight at an upstream when its process ended shares the
//! suspicion. A request is stopped once [`ENDS_TO_STOP`] upstreams ended under it and
//! none has answered it; an answer refutes the ends before it. Merging is commutative
//! and idempotent, so instances may exchange reports in any order.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::exchanged_reports::{changed_after, to_i64};

/// Ends of upstreams after which a request is stopped.
pub const ENDS_TO_STOP: usize = 3;
/// Ends among these that no other stopped request accounts for.
const MIN_UNEXPLAINED_ENDS: usize = 2;
/// Ends kept for each content; further ones replace refuted or old ones.
const MAX_ENDS: usize = 16;
/// Contents in a table; a new one replaces the oldest that is not stopped.
pub const MAX_SUSPECTS: usize = 4_096;
/// Time after its last end at which a request is no longer suspect.
const SUSPICION_MS: i64 = 30 * 60_000;
/// Time after its last end at which a stopped request is forgotten.
const STOP_RETENTION_MS: i64 = 24 * 3_600_000;
/// Time for which a request is stopped before one trial; it doubles with each
/// trial that ends another upstream.
const FIRST_STOP_MS: i64 = 5 * 60_000;
/// Longest time between two trials.
const MAX_STOP_MS: i64 = 4 * 3_600_000;

/// Identifies a request across its repetitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Hash of the method, host, target and body.
    pub content: u64,
    /// Hash of the headers, which differ between callers.
    pub variant: u64,
}

/// One life of an upstream process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UpstreamLifetime {
    /// Unique name of the upstream.
    pub upstream: Arc<str>,
    /// Start of its process, in Unix milliseconds; 0 if unknown.
    pub started_at_ms: u64,
}

/// An upstream process that ended while a request was in flight there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The process that ended.
    pub lifetime: UpstreamLifetime,
    /// Variant of the request.
    pub variant: u64,
    /// Whether the request has been answered since.
    pub is_refuted: bool,
}

/// What an instance knows of the requests with the same content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Hash of the method, host, target and body.
    pub content: u64,
    /// Ends under requests with this content.
    pub ends: Vec<End>,
    /// Whether one variant was answered while ends under others are known, so that
    /// the content alone is not the cause.
    pub is_content_refuted: bool,
    /// Time since the last end, in milliseconds.
    pub age_ms: u64,
}

/// Requests that a suspicion covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Scope {
    /// Requests with the same content and headers.
    Variant(Fingerprint),
    /// Requests with the same content and any headers.
    Content(u64),
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No end is held against the request.
    Clear,
    /// The requests in this scope may run one at a time.
    Suspect(Scope),
    /// The request must not run.
    Stopped {
        /// Upstreams that ended under it.
        ends: usize,
        /// Time until one trial is allowed, in milliseconds.
        left_ms: u64,
    },
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    ends: Vec<End>,
    is_content_refuted: bool,
    last_end_ms: i64,
    changed_at: u64,
}

/// Suspect requests by content, as this instance knows them.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    by_content: HashMap<u64, Suspect>,
    /// The stopped requests that account for an end. Other requests that were in
    /// flight there are not suspected for it.
    explained: HashMap<UpstreamLifetime, Scope>,
    changes: u64,
}

impl CrashSuspects {
    /// Whether no request is suspect.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_content.is_empty()
    }

    /// Number of known contents, refuted ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_content.len()
    }

    /// Number of contents with a stopped request.
    #[must_use]
    pub fn stopped(&self) -> usize {
        self.stopped_contents().len()
    }

    /// Whether a request may run now.
    #[must_use]
    pub fn verdict(&self, request: Fingerprint, now_ms: u64) -> Verdict {
        let Some(suspect) = self.by_content.get(&request.content) else {
            return Verdict::Clear;
        };
        let variant_scope = Scope::Variant(request);
        let content_scope = Scope::Content(request.content);
        let own_ends = self.counted_ends(suspect, variant_scope);
        let all_ends = self.counted_ends(suspect, content_scope);
        let is_content_suspect = self.is_content_suspect(suspect, request.content);
        let ends = if is_content_suspect {
            all_ends
        } else {
            own_ends
        };
        if ends == 0 {
            return Verdict::Clear;
        }
        let left_ms = suspect.stop_left_ms(ends, now_ms);
        if ends >= ENDS_TO_STOP && left_ms > 0 {
            return Verdict::Stopped { ends, left_ms };
        }
        let scope = if is_content_suspect {
            content_scope
        } else {
            variant_scope
        };
        Verdict::Suspect(scope)
    }

    /// Records that an upstream ended while a request was in flight there; returns
    /// whether that is new.
    pub fn on_end(
        &mut self,
        request: Fingerprint,
        lifetime: UpstreamLifetime,
        now_ms: u64,
    ) -> bool {
        let end = End {
            lifetime,
            variant: request.variant,
            is_refuted: false,
        };
        self.merge(
            &SuspectReport {
                content: request.content,
                ends: vec![end],
                is_content_refuted: false,
                age_ms: 0,
            },
            now_ms,
        )
    }

    /// Records that an upstream ran a request and answered it; returns whether that
    /// refutes a suspicion.
    pub fn on_answer(&mut self, request: Fingerprint) -> bool {
        let Some(suspect) = self.by_content.get_mut(&request.content) else {
            return false;
        };
        let mut has_changed = false;
        for end in &mut suspect.ends {
            let is_own = end.variant == request.variant;
            if is_own && !end.is_refuted {
                end.is_refuted = true;
                has_changed = true;
            }
            if !is_own && !end.is_refuted && !suspect.is_content_refuted {
                suspect.is_content_refuted = true;
                has_changed = true;
            }
        }
        if has_changed {
            self.on_change(request.content);
        }
        has_changed
    }

    /// Records that an upstream process has not ended after all; returns whether that
    /// refutes an end.
    pub fn on_survival(&mut self, content: u64, lifetime: &UpstreamLifetime) -> bool {
        let Some(suspect) = self.by_content.get_mut(&content) else {
            return false;
        };
        let mut has_changed = false;
        for end in &mut suspect.ends {
            if end.lifetime == *lifetime && !end.is_refuted {
                end.is_refuted = true;
                has_changed = true;
            }
        }
        if has_changed {
            self.on_change(content);
        }
        has_changed
    }

    /// Adds what another instance knows; returns whether anything is new.
    pub fn merge(&mut self, report: &SuspectReport, now_ms: u64) -> bool {
        let last_end_ms = to_i64(now_ms).saturating_sub(to_i64(report.age_ms));
        let is_known = self.by_content.contains_key(&report.content);
        if report.ends.is_empty() || is_expired(last_end_ms, STOP_RETENTION_MS, now_ms) {
            return false;
        }
        if !is_known {
            self.make_room();
        }
        let suspect = self.by_content.entry(report.content).or_default();
        let mut has_changed = report.is_content_refuted && !suspect.is_content_refuted;
        suspect.is_content_refuted |= report.is_content_refuted;
        for end in &report.ends {
            has_changed |= suspect.add(end);
        }
        if !has_changed {
            return false;
        }
        suspect.last_end_ms = if is_known {
            suspect.last_end_ms.max(last_end_ms)
        } else {
            last_end_ms
        };
        self.on_change(report.content);
        true
    }

    /// Removes the suspects whose last end is too long ago.
    pub fn expire(&mut self, now_ms: u64) {
        let stopped = self.stopped_contents();
        let mut expired = Vec::new();
        for (content, suspect) in &self.by_content {
            let retention_ms = if stopped.contains(content) {
                STOP_RETENTION_MS
            } else {
                SUSPICION_MS
            };
            if is_expired(suspect.last_end_ms, retention_ms, now_ms) {
                expired.push(*content);
            }
        }
        for content in expired {
            self.remove(content);
        }
    }

    /// The report on one content, if it is known.
    #[must_use]
    pub fn report(&self, content: u64, now_ms: u64) -> Option<SuspectReport> {
        let suspect = self.by_content.get(&content)?;
        Some(suspect.report(content, now_ms))
    }

    /// The reports that changed after a position, oldest change first and at most
    /// `max_count` of them, and the position after them.
    #[must_use]
    pub fn reports_after(
        &self,
        position: u64,
        max_count: usize,
        now_ms: u64,
    ) -> (Vec<SuspectReport>, u64) {
        let suspects = self.by_content.iter();
        let suspects = suspects.map(|(content, suspect)| (suspect.changed_at, *content));
        let (changed, next) = changed_after(suspects, position, max_count);
        let reports = changed
            .into_iter()
            .filter_map(|content| self.report(content, now_ms));
        (reports.collect(), next)
    }

    /// Position after the newest change, for [`CrashSuspects::reports_after`].
    #[must_use]
    pub fn position(&self) -> u64 {
        self.changes
    }

    /// Contents with a stopped request, also while a trial is allowed.
    #[must_use]
    pub fn stopped_contents(&self) -> BTreeSet<u64> {
        self.explained
            .values()
            .map(|scope| scope.content())
            .collect()
    }

    /// The upstream processes that ended under the requests of a scope and whose end no
    /// other stopped request accounts for.
    fn lifetimes<'s>(&self, suspect: &'s Suspect, scope: Scope) -> BTreeSet<&'s UpstreamLifetime> {
        let mut lifetimes = BTreeSet::new();
        for end in &suspect.ends {
            let other = self.explained.get(&end.lifetime);
            let is_explained = other.is_some_and(|other| !other.covers(scope));
            if !end.is_refuted && scope.includes(end.variant) && !is_explained {
                lifetimes.insert(&end.lifetime);
            }
        }
        lifetimes
    }

    /// Number of ends that are held against the requests of a scope.
    ///
    /// An end that another stopped request accounts for counts only beside two that
    /// none does: two requests that end upstreams may have been in flight at the same
    /// one, and instances may differ in which of them was stopped first.
    fn counted_ends(&self, suspect: &Suspect, scope: Scope) -> usize {
        let unexplained = self.lifetimes(suspect, scope).len();
        if unexplained < MIN_UNEXPLAINED_ENDS {
            return unexplained;
        }
        let mut all = BTreeSet::new();
        for end in &suspect.ends {
            if !end.is_refuted && scope.includes(end.variant) {
                all.insert(&end.lifetime);
            }
        }
        all.len()
    }

    /// Whether ends under several variants show that the content alone matters.
    ///
    /// A variant counts only if an upstream ended under it and no other variant:
    /// otherwise it may merely have been in flight beside the one that matters.
    fn is_content_suspect(&self, suspect: &Suspect, content: u64) -> bool {
        if suspect.is_content_refuted {
            return false;
        }
        let mut variants_by_lifetime: HashMap<&UpstreamLifetime, BTreeSet<u64>> = HashMap::new();
        let lifetimes = self.lifetimes(suspect, Scope::Content(content));
        for end in &suspect.ends {
            if !end.is_refuted && lifetimes.contains(&end.lifetime) {
                let variants = variants_by_lifetime.entry(&end.lifetime).or_default();
                variants.insert(end.variant);
            }
        }
        let mut alone: BTreeSet<u64> = BTreeSet::new();
        for variants in variants_by_lifetime.values() {
            if variants.len() == 1 {
                alone.extend(variants);
            }
        }
        alone.len() > 1
    }

    /// Updates which ends the stopped requests with this content account for.
    fn on_change(&mut self, content: u64) {
        self.changes += 1;
        self.explained.retain(|_, scope| scope.content() != content);
        let Some(suspect) = self.by_content.get_mut(&content) else {
            return;
        };
        suspect.changed_at = self.changes;
        let suspect = &self.by_content[&content];
        let mut scopes = Vec::new();
        if self.is_content_suspect(suspect, content) {
            scopes.push(Scope::Content(content));
        } else {
            let variants: BTreeSet<u64> = suspect.ends.iter().map(|end| end.variant).collect();
            for variant in variants {
                scopes.push(Scope::Variant(Fingerprint { content, variant }));
            }
        }
        let mut newly_explained = Vec::new();
        for scope in scopes {
            if self.counted_ends(suspect, scope) < ENDS_TO_STOP {
                continue;
            }
            for lifetime in self.lifetimes(suspect, scope) {
                newly_explained.push((lifetime.clone(), scope));
            }
        }
        for (lifetime, scope) in newly_explained {
            self.explained.entry(lifetime).or_insert(scope);
        }
    }

    /// Removes the oldest suspect if the table is full; a stopped one only if all
    /// are.
    fn make_room(&mut self) {
        if self.by_content.len() < MAX_SUSPECTS {
            return;
        }
        let stopped = self.stopped_contents();
        let oldest = self
            .by_content
            .iter()
            .min_by_key(|(content, suspect)| (stopped.contains(content), suspect.last_end_ms));
        if let Some((content, _)) = oldest {
            let content = *content;
            self.remove(content);
        }
    }

    fn remove(&mut self, content: u64) {
        self.by_content.remove(&content);
        self.explained.retain(|_, scope| scope.content() != content);
    }
}

impl Suspect {
    /// Adds an end, or the refutation of a known one; returns whether that is new.
    fn add(&mut self, new: &End) -> bool {
        let mut known = self.ends.iter_mut();
        let known = known.find(|end| end.lifetime == new.lifetime && end.variant == new.variant);
        if let Some(end) = known {
            let has_changed = new.is_refuted && !end.is_refuted;
            end.is_refuted |= new.is_refuted;
            return has_changed;
        }
        if self.ends.len() >= MAX_ENDS {
            let refuted = self.ends.iter().position(|end| end.is_refuted);
            if new.is_refuted && refuted.is_none() {
                return false;
            }
            self.ends.remove(refuted.unwrap_or(0));
        }
        self.ends.push(new.clone());
        true
    }

    /// Time until a request with this many ends may run once more, in milliseconds.
    fn stop_left_ms(&self, ends: usize, now_ms: u64) -> u64 {
        let trials = u32::try_from(ends.saturating_sub(ENDS_TO_STOP)).unwrap_or(u32::MAX);
        let factor = 1_i64.checked_shl(trials.min(16)).unwrap_or(i64::MAX);
        let stop_ms = FIRST_STOP_MS.saturating_mul(factor).min(MAX_STOP_MS);
        let left_ms = self.last_end_ms + stop_ms - to_i64(now_ms);
        u64::try_from(left_ms).unwrap_or(0)
    }

    fn report(&self, content: u64, now_ms: u64) -> SuspectReport {
        let age_ms = to_i64(now_ms).saturating_sub(self.last_end_ms);
        SuspectReport {
            content,
            ends: self.ends.clone(),
            is_content_refuted: self.is_content_refuted,
            age_ms: u64::try_from(age_ms).unwrap_or(0),
        }
    }
}

impl Scope {
    /// Content of the requests in the scope.
    #[must_use]
    pub fn content(self) -> u64 {
        match self {
            Self::Variant(request) => request.content,
            Self::Content(content) => content,
        }
    }

    fn includes(self, variant: u64) -> bool {
        match self {
            Self::Variant(request) => request.variant == variant,
            Self::Content(_) => true,
        }
    }

    /// Whether `other` contains some of the same requests.
    fn covers(self, other: Self) -> bool {
        match (self, other) {
            (Self::Variant(one), Self::Variant(other)) => one == other,
            _ => self.content() == other.content(),
        }
    }
}

fn is_expired(last_end_ms: i64, retention_ms: i64, now_ms: u64) -> bool {
    to_i64(now_ms).saturating_sub(last_end_ms) >= retention_ms
}

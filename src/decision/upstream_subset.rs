//! The upstreams of a large service that an instance of a large fleet prefers, so that it keeps
//! few connections and uses each often enough to keep it open.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::rendezvous;

/// Fleets up to this size use all upstreams alike.
const MAX_SMALL_FLEET: usize = 60;
/// Fewest upstreams of a subset.
const MIN_UPSTREAMS: usize = 16;
/// Time within which each upstream of the subset is used about once, well below the 10 s after
/// which idle connections close.
const USE_INTERVAL_S: f64 = 2.0;
/// Time between two updates: ranks of 168 upstreams among 108 instances take about a
/// millisecond of a core.
const UPDATE_INTERVAL_MS: u64 = 2_000;
/// Weight of the rate since the last update in the mean rate.
const RATE_WEIGHT: f64 = 0.3;

/// Subset of one service at one instance.
#[derive(Debug, Default)]
pub struct UpstreamSubset {
    instances: Vec<Arc<str>>,
    /// Rank of this instance for each upstream.
    ranks: HashMap<Arc<str>, usize>,
    preferred: Option<Arc<HashSet<Arc<str>>>>,
    uses: u32,
    per_s: f64,
    updated_ms: Option<u64>,
}

impl UpstreamSubset {
    /// Counts a request of the service.
    pub fn on_use(&mut self) {
        self.uses = self.uses.saturating_add(1);
    }

    /// The preferred upstreams; `None` if all are to be used alike.
    #[must_use]
    pub fn preferred(&self) -> Option<Arc<HashSet<Arc<str>>>> {
        self.preferred.clone()
    }

    /// Whether [`UpstreamSubset::update`] should be called.
    #[must_use]
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.updated_ms
            .is_none_or(|updated_ms| now_ms.saturating_sub(updated_ms) >= UPDATE_INTERVAL_MS)
    }

    /// Chooses the subset anew. Returns its size if that has changed to or from no subset.
    ///
    /// Each upstream is preferred by the instances that rank highest for it, so that all get
    /// equally many. An instance for which these are too few adds those where it comes next.
    pub fn update(
        &mut self,
        upstreams: &[Arc<str>],
        mut instances: Vec<Arc<str>>,
        me: &str,
        now_ms: u64,
    ) -> Option<usize> {
        self.update_rate(now_ms);
        let size = MIN_UPSTREAMS.max(to_count(self.per_s * USE_INTERVAL_S));
        let was_whole = self.preferred.is_none();
        if instances.len() <= MAX_SMALL_FLEET || upstreams.len() <= size {
            self.preferred = None;
            self.ranks.clear();
            self.instances.clear();
            return (!was_whole).then_some(upstreams.len());
        }
        instances.sort_unstable();
        if instances != self.instances {
            self.instances = instances;
            self.ranks.clear();
        }
        let known: HashSet<&Arc<str>> = upstreams.iter().collect();
        self.ranks.retain(|upstream, _| known.contains(upstream));
        for upstream in upstreams {
            if self.ranks.contains_key(upstream) {
                continue;
            }
            let others = self.instances.iter().map(|name| &**name);
            let rank = rendezvous::rank(upstream, others, me);
            self.ranks.insert(Arc::clone(upstream), rank);
        }
        let per_upstream = (size * self.instances.len()).div_ceil(upstreams.len());
        let mut ranked: Vec<(usize, &Arc<str>)> = Vec::with_capacity(upstreams.len());
        ranked.extend(self.ranks.iter().map(|(upstream, rank)| (*rank, upstream)));
        ranked.sort_unstable();
        let mut preferred = HashSet::with_capacity(size);
        for (rank, upstream) in ranked {
            if rank >= per_upstream && preferred.len() >= MIN_UPSTREAMS {
                break;
            }
            preferred.insert(Arc::clone(upstream));
        }
        let count = preferred.len();
        self.preferred = Some(Arc::new(preferred));
        was_whole.then_some(count)
    }

    fn update_rate(&mut self, now_ms: u64) {
        let uses = f64::from(std::mem::take(&mut self.uses));
        if let Some(updated_ms) = self.updated_ms {
            let elapsed_ms = now_ms.saturating_sub(updated_ms).max(1);
            let elapsed_ms = f64::from(u32::try_from(elapsed_ms).unwrap_or(u32::MAX));
            let newest = uses * 1_000.0 / elapsed_ms;
            self.per_s += RATE_WEIGHT * (newest - self.per_s);
        }
        self.updated_ms = Some(now_ms);
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts of floating-point numbers saturate, and rates are never negative"
)]
fn to_count(number: f64) -> usize {
    number.ceil() as usize
}

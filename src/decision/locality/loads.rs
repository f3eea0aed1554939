//! Loads that upstreams reported, and what they show of each data centre.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::decision::selection::{Load, USUAL_SPEED_PERCENT};

/// Time for which a reported load counts.
const TRUST_MS: u64 = 2_000;
/// Age at which a load counts half as much as a new one. Loads change within about 150 ms, yet
/// one instance sees only some of a data centre's upstreams in that time.
const HALF_WEIGHT_AGE_MS: f64 = 400.0;
/// Loads of one data centre below which nothing is known of it; one alone may be that of the
/// slowest upstream.
const MIN_LOADS: usize = 2;

/// The last load of one upstream.
#[derive(Clone, Copy, Debug)]
struct KnownLoad {
    load: Load,
    at_ms: u64,
}

/// Last reported loads, by upstream.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    by_upstream: HashMap<Arc<str>, KnownLoad>,
}

impl LoadTable {
    /// Records a load from a probe or an answer.
    pub fn put(&mut self, upstream: &Arc<str>, load: Load, now_ms: u64) {
        let known = KnownLoad {
            load,
            at_ms: now_ms,
        };
        self.by_upstream.insert(Arc::clone(upstream), known);
    }

    /// Forgets loads that count no more.
    pub fn expire(&mut self, now_ms: u64) {
        self.by_upstream
            .retain(|_, known| now_ms.saturating_sub(known.at_ms) <= TRUST_MS);
    }

    /// What is known of the data centres of one service's upstreams.
    #[must_use]
    pub fn figures<'u>(
        &self,
        upstreams: impl IntoIterator<Item = UpstreamState<'u>>,
        now_ms: u64,
    ) -> BTreeMap<Arc<str>, Figures> {
        let mut sums: BTreeMap<Arc<str>, Sums> = BTreeMap::new();
        for upstream in upstreams {
            let sums = match sums.get_mut(upstream.data_centre) {
                Some(sums) => sums,
                None => sums.entry(Arc::clone(upstream.data_centre)).or_default(),
            };
            let known = self.by_upstream.get(upstream.id);
            let known = known.filter(|known| now_ms.saturating_sub(known.at_ms) <= TRUST_MS);
            sums.add(&upstream, known, now_ms);
        }
        let mut figures = BTreeMap::new();
        for (data_centre, sums) in sums {
            figures.insert(data_centre, sums.figures());
        }
        figures
    }
}

/// An upstream that is neither evacuated nor draining.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamState<'a> {
    /// Name.
    pub id: &'a Arc<str>,
    /// Data centre in which it runs.
    pub data_centre: &'a Arc<str>,
    /// Slots by its own report; fewer while it is cold.
    pub slots: f64,
    /// Whether it may get requests; not while it is ejected.
    pub is_usable: bool,
}

/// What is known of one data centre's upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Slots of usable upstreams at the usual speed; a slow upstream counts for less.
    pub slots: f64,
    /// Slots of all upstreams, also those that are ejected.
    pub nominal_slots: f64,
    /// Requests per slot; `None` if too few loads are known.
    pub per_slot: Option<f64>,
    /// Number of loads that count.
    pub loads: usize,
    /// Age of the newest one, in milliseconds.
    pub newest_age_ms: u64,
}

impl Figures {
    /// Whether there are known to be that many requests per slot.
    #[must_use]
    pub fn is_at_least(&self, per_slot: f64) -> bool {
        self.per_slot_or_short()
            .is_some_and(|known| known >= per_slot)
    }

    /// Requests per slot; 1 where all upstreams are ejected.
    #[must_use]
    pub fn per_slot_or_short(&self) -> Option<f64> {
        if self.slots > 0.0 {
            self.per_slot
        } else {
            Some(1.0)
        }
    }

    /// Slots that are free below `max_per_slot`; 0 if unknown.
    #[must_use]
    pub fn free_slots(&self, max_per_slot: f64) -> f64 {
        let per_slot = self.per_slot.unwrap_or(max_per_slot);
        (max_per_slot - per_slot).max(0.0) * self.slots
    }
}

#[derive(Default)]
struct Sums {
    usable_slots: f64,
    nominal_slots: f64,
    /// Usual and effective slots of upstreams with a known load, the latter and the requests
    /// weighted by age.
    usual: f64,
    effective: f64,
    weighted: f64,
    requests: f64,
    loads: usize,
    newest_age_ms: Option<u64>,
}

impl Sums {
    fn add(&mut self, upstream: &UpstreamState<'_>, known: Option<&KnownLoad>, now_ms: u64) {
        self.nominal_slots += upstream.slots;
        if !upstream.is_usable {
            return;
        }
        self.usable_slots += upstream.slots;
        let Some(KnownLoad { load, at_ms }) = known else {
            return;
        };
        let age_ms = now_ms.saturating_sub(*at_ms);
        let newest_ms = self
            .newest_age_ms
            .map_or(age_ms, |newest| newest.min(age_ms));
        self.newest_age_ms = Some(newest_ms);
        self.loads += 1;
        let slowness = (load.speed_percent / USUAL_SPEED_PERCENT).max(1.0);
        let effective = upstream.slots / slowness;
        let per_slot = f64::from(load.running + load.waiting) / upstream.slots.max(0.1);
        let age_ms = f64::from(u32::try_from(age_ms).unwrap_or(u32::MAX));
        let weight = (-age_ms / HALF_WEIGHT_AGE_MS).exp2();
        self.usual += upstream.slots;
        self.effective += effective;
        self.weighted += effective * weight;
        self.requests += per_slot * effective * weight;
    }

    fn figures(self) -> Figures {
        let is_known = self.loads >= MIN_LOADS && self.weighted > 0.0;
        let speed = if self.usual > 0.0 {
            self.effective / self.usual
        } else {
            1.0
        };
        Figures {
            slots: self.usable_slots * speed,
            nominal_slots: self.nominal_slots,
            per_slot: is_known.then(|| self.requests / self.weighted),
            loads: self.loads,
            newest_age_ms: self.newest_age_ms.unwrap_or(u64::MAX),
        }
    }
}

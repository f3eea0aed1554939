//! Counts of requests by version, and their comparison.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decision::selection::Reading;

/// Least failures of the new version that count as evidence: fewer occur by chance.
const MIN_FAILURES: f64 = 4.0;
/// Least answers of the new version by which its times are compared.
const MIN_TIMES: f64 = 8.0;
/// Least answers of the old versions by which times are compared.
const MIN_OLD_TIMES: f64 = 20.0;
/// Standard errors by which the failures must exceed the bound. The comparison is repeated
/// several times a second for each route, so that 2 or 3 would be exceeded by chance.
const MIN_FAILURE_DEVIATION: f64 = 4.0;
/// Standard errors by which the times must exceed theirs, which is itself far from equal times.
const MIN_TIME_DEVIATION: f64 = 2.0;
/// Failure share of the new version relative to the old, up to which it counts as equal.
const FAILURE_FACTOR: f64 = 1.5;
/// Addition to that share.
const FAILURE_MARGIN: f64 = 0.01;
/// Time of the new version relative to the old, up to which it counts as equal.
const TIME_FACTOR: f64 = 1.6;
/// Time covered by the recent counts, which show what begins late, in milliseconds.
const WINDOW_MS: u64 = 3_000;
/// Interval of the snapshots from which the recent counts follow.
const SNAPSHOT_INTERVAL_MS: u64 = 500;

/// Load of an upstream when a request was sent to it; only like loads are compared.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LoadKind {
    /// It has just started, so its answers say nothing of its version.
    Cold,
    /// It was not probed or reports no load.
    Unknown,
    /// At most half of its slots were taken.
    Idle,
    /// It had a free slot.
    Busy,
    /// It had no free slot.
    Full,
}

impl From<&Reading> for LoadKind {
    fn from(reading: &Reading) -> Self {
        if reading.cold_left_ms > 0 {
            return Self::Cold;
        }
        let Some(load) = reading.load else {
            return Self::Unknown;
        };
        let requests = load.running + load.waiting + 1;
        if requests * 2 <= load.slots {
            Self::Idle
        } else if requests <= load.slots {
            Self::Busy
        } else {
            Self::Full
        }
    }
}

/// What is counted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellKey {
    /// Name of the route.
    pub route: Arc<str>,
    /// The upstream of the new version; `None` for all upstreams of old versions.
    pub upstream: Option<Arc<str>>,
    /// Load of the upstream.
    pub load: LoadKind,
}

/// Sums over the requests of a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sums {
    /// Requests sent.
    pub sends: f64,
    /// Requests that failed.
    pub failures: f64,
    /// Answers whose time is known, and requests that were abandoned after a time.
    pub timed: f64,
    /// Sum of their times, in milliseconds.
    pub time_ms: f64,
    /// Sum of the squares of their times.
    pub time_square_ms2: f64,
}

impl Sums {
    /// Counts a request.
    pub fn add(&mut self, is_failure: bool, took_ms: Option<f64>) {
        self.sends += 1.0;
        self.failures += f64::from(u8::from(is_failure));
        if let Some(took_ms) = took_ms {
            self.timed += 1.0;
            self.time_ms += took_ms;
            self.time_square_ms2 += took_ms * took_ms;
        }
    }

    fn plus(self, other: Self, factor: f64) -> Self {
        Self {
            sends: self.sends + factor * other.sends,
            failures: self.failures + factor * other.failures,
            timed: self.timed + factor * other.timed,
            time_ms: self.time_ms + factor * other.time_ms,
            time_square_ms2: self.time_square_ms2 + factor * other.time_square_ms2,
        }
    }

    fn mean_ms(self) -> f64 {
        self.time_ms / self.timed.max(1.0)
    }

    /// Variance of the times relative to the square of their mean.
    fn relative_variance(self) -> f64 {
        let mean_ms = self.mean_ms().max(0.001);
        let variance = self.time_square_ms2 / self.timed.max(1.0) - mean_ms * mean_ms;
        // A few equal times do not show that all are equal.
        (variance / (mean_ms * mean_ms)).max(0.04)
    }
}

/// Counts of one instance since its start.
pub type Cells = BTreeMap<CellKey, Sums>;

/// What shows that the new version is bad.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum Finding {
    /// More of its responses are failures; the route, or none for all together.
    #[strum(to_string = "the new version fails more often")]
    Fails(Option<Arc<str>>),
    /// Its responses take longer.
    #[strum(to_string = "the new version is slower at like load")]
    Slow(Option<Arc<str>>),
}

/// Counts of all instances.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Last report of each instance, by name and start of its process.
    reports: HashMap<(Arc<str>, u64), Cells>,
    totals: Cells,
    snapshots: VecDeque<(u64, Cells)>,
}

impl Evidence {
    /// Takes the counts of an instance since its start; cells that it leaves out are unchanged.
    pub fn on_report(&mut self, instance: &Arc<str>, started_at: u64, cells: &[(CellKey, Sums)]) {
        let known = self
            .reports
            .entry((Arc::clone(instance), started_at))
            .or_default();
        for (key, sums) in cells {
            let before = known.insert(key.clone(), *sums).unwrap_or_default();
            let total = self.totals.entry(key.clone()).or_default();
            *total = total.plus(*sums, 1.0).plus(before, -1.0);
        }
    }

    /// Requests sent to the new version, and to all.
    #[must_use]
    pub fn sends(&self) -> (f64, f64) {
        let mut new = 0.0;
        let mut all = 0.0;
        for (key, sums) in &self.totals {
            all += sums.sends;
            if key.upstream.is_some() {
                new += sums.sends;
            }
        }
        (new, all)
    }

    /// Requests that warm upstreams of the new version got.
    #[must_use]
    pub fn warm_sends(&self) -> f64 {
        let warm = self.totals.iter();
        let warm = warm.filter(|(key, _)| key.upstream.is_some() && key.load != LoadKind::Cold);
        warm.map(|(_, sums)| sums.sends).sum()
    }

    /// Compares the versions over all counts and over the recent ones.
    pub fn find(&mut self, now_ms: u64) -> Option<Finding> {
        let finding = compare(&self.totals).or_else(|| compare(&self.recent(now_ms)));
        let is_due = self
            .snapshots
            .back()
            .is_none_or(|(at_ms, _)| now_ms >= at_ms + SNAPSHOT_INTERVAL_MS);
        if is_due {
            self.snapshots.push_back((now_ms, self.totals.clone()));
        }
        finding
    }

    fn recent(&mut self, now_ms: u64) -> Cells {
        while self.snapshots.len() > 1 && self.snapshots[1].0 + WINDOW_MS <= now_ms {
            self.snapshots.pop_front();
        }
        let mut recent = self.totals.clone();
        if let Some((_, before)) = self.snapshots.front() {
            for (key, sums) in before {
                if let Some(total) = recent.get_mut(key) {
                    *total = total.plus(*sums, -1.0);
                }
            }
        }
        recent
    }
}

/// Sums of the new version by upstream, and of the old versions.
#[derive(Debug, Default)]
struct Pair {
    new: BTreeMap<Arc<str>, Sums>,
    old: Sums,
}

impl Pair {
    fn add(&mut self, key: &CellKey, sums: Sums) {
        match &key.upstream {
            Some(id) => {
                let total = self.new.entry(Arc::clone(id)).or_default();
                *total = total.plus(sums, 1.0);
            }
            None => self.old = self.old.plus(sums, 1.0),
        }
    }

    /// The sums of the new version without the upstream that is worst by `rank`: a single ill
    /// upstream says nothing of its version.
    fn new_without_worst(&self, rank: impl Fn(&Sums) -> f64) -> Sums {
        let mut total = Sums::default();
        for sums in self.new.values() {
            total = total.plus(*sums, 1.0);
        }
        if self.new.len() < 2 {
            return total;
        }
        let worst = self.new.values().max_by(|a, b| rank(a).total_cmp(&rank(b)));
        worst.map_or(total, |worst| total.plus(*worst, -1.0))
    }

    fn fails_more(&self) -> bool {
        let new = self.new_without_worst(|sums| sums.failures);
        if new.failures < MIN_FAILURES || self.old.sends < 1.0 {
            return new.failures >= 2.0 * MIN_FAILURES && new.failures > 0.3 * new.sends;
        }
        let old_share = self.old.failures / self.old.sends;
        let new_share = new.failures / new.sends;
        let bound = old_share * FAILURE_FACTOR + FAILURE_MARGIN;
        let variance = bound * (1.0 - bound).max(0.05) * (1.0 / new.sends + 1.0 / self.old.sends);
        new_share > bound && new_share - bound > MIN_FAILURE_DEVIATION * variance.sqrt()
    }

    fn is_slower(&self) -> bool {
        let new = self.new_without_worst(|sums| sums.time_ms);
        if new.timed < MIN_TIMES || self.old.timed < MIN_OLD_TIMES {
            return false;
        }
        let bound_ms = TIME_FACTOR * self.old.mean_ms();
        // The spread of the old versions also holds where the new one has few samples.
        let spread = self.old.relative_variance().max(new.relative_variance());
        let variance = spread
            * (new.mean_ms() * new.mean_ms() / new.timed + bound_ms * bound_ms / self.old.timed);
        new.mean_ms() - bound_ms > MIN_TIME_DEVIATION * variance.sqrt()
    }
}

fn compare(cells: &Cells) -> Option<Finding> {
    let mut all = Pair::default();
    let mut relative = Pair::default();
    let mut routes: BTreeMap<&Arc<str>, Pair> = BTreeMap::new();
    let mut loads: BTreeMap<(&Arc<str>, LoadKind), Pair> = BTreeMap::new();
    for (key, sums) in cells {
        if key.load == LoadKind::Cold {
            continue;
        }
        all.add(key, *sums);
        routes.entry(&key.route).or_default().add(key, *sums);
        loads
            .entry((&key.route, key.load))
            .or_default()
            .add(key, *sums);
    }
    if all.fails_more() {
        return Some(Finding::Fails(None));
    }
    for (route, pair) in &routes {
        if pair.fails_more() {
            return Some(Finding::Fails(Some(Arc::clone(route))));
        }
    }
    for ((route, _), pair) in &loads {
        if pair.is_slower() {
            return Some(Finding::Slow(Some(Arc::clone(route))));
        }
    }
    for (key, sums) in cells {
        let Some(pair) = loads.get(&(&key.route, key.load)) else {
            continue;
        };
        if pair.old.timed < MIN_OLD_TIMES || pair.new.is_empty() {
            continue;
        }
        // In units of the old versions' mean, times of all routes and loads compare.
        let unit_ms = pair.old.mean_ms().max(0.001);
        let scaled = Sums {
            time_ms: sums.time_ms / unit_ms,
            time_square_ms2: sums.time_square_ms2 / (unit_ms * unit_ms),
            ..*sums
        };
        relative.add(key, scaled);
    }
    relative.is_slower().then_some(Finding::Slow(None))
}

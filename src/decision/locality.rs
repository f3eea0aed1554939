//! How much of a service's traffic leaves its data centre, and where it goes.
//!
//! Each instance decides alone, for its own requests, from the loads that upstreams report. All
//! instances of a data centre see the same upstreams, so that their shares settle alike. Steps
//! are proportional to the free capacity of the receiving data centre and small.

pub mod draw;
pub mod loads;
pub mod reversals;

use std::collections::BTreeMap;
use std::sync::Arc;

use super::selection::Locality;
use loads::Figures;
use reversals::Reversals;

/// Requests per slot of a data centre from which it is short of capacity.
const SHORT_PER_SLOT: f64 = 0.95;
/// Requests per slot below which a data centre takes requests of others.
const FREE_PER_SLOT: f64 = 0.85;
/// Requests per slot below which a data centre takes back its own. The distance to
/// [`SHORT_PER_SLOT`] is the hysteresis; at 0.85, single instances took requests back because of
/// the few loads that they knew, and the share fell by half in a minute.
const RELEASE_PER_SLOT: f64 = 0.75;
/// Standard error of one upstream's requests per slot as a measure of its data centre. A
/// receiver counts as short only beyond the error of the known loads; without this margin, shares
/// were withdrawn from receivers that had room, and fell by half in a minute.
const LOAD_ERROR: f64 = 0.25;
/// Part of the missing or free capacity by which one decision changes the shares. Loads lag by
/// about a decision's interval; larger parts overshoot.
const GAIN: f64 = 0.3;
/// Largest rise of the share that leaves in one decision.
const MAX_RISE: f64 = 0.08;
/// Largest fall of the share that leaves in one decision, unless a receiver is short. A share that
/// falls too far cannot rise again soon; see [`Reversals`].
const MAX_FALL: f64 = 0.03;
/// The same after an evacuation, and the part of the way to new shares during one.
const MAX_RETURN: f64 = 0.1;
/// Smallest fall in one decision, so that a share ends at 0 and does not approach it forever.
const MIN_FALL: f64 = 0.01;
/// Share below which nothing leaves.
const MIN_SHARE: f64 = 0.01;
/// Part of its share that a receiver keeps at each decision while it is short.
const SHORT_RECEIVER_FACTOR: f64 = 0.5;
/// Time for which a receiver that was short gets no larger share.
const SHORT_RECEIVER_PAUSE_MS: u64 = 5_000;
/// Time for which a data centre must be free before it takes its requests back.
const RELEASE_AFTER_MS: u64 = 1_000;
/// Fall of the requests per slot since the last decision at which the share does not rise: what
/// has left already is still taking effect.
const FALLING_PER_SLOT: f64 = 0.05;
/// Share that a data centre gets back at once after it had no upstreams: without requests there,
/// its load would stay unknown.
const RETURN_SHARE: f64 = 0.25;
/// Largest requests per slot that count as demand; the rest is a queue.
const MAX_DEMAND_PER_SLOT: f64 = 1.0;
/// Round trip between data centres of a region, at 1.4 ms one way.
const REMOTE_ROUND_TRIP_MS: f64 = 2.8;

/// Prices of the operator, in any unit that both share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prices {
    /// Price of a byte between data centres.
    pub per_byte: f64,
    /// Price of a millisecond until a response.
    pub per_ms: f64,
}

/// What the requests of a service take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestCosts {
    /// Bytes of a request and its response.
    pub bytes: f64,
    /// Time on an idle upstream, in milliseconds.
    pub work_ms: f64,
    /// Strictest latency objective, in milliseconds.
    pub objective_ms: f64,
    /// Prices of bytes and milliseconds.
    pub prices: Prices,
}

impl RequestCosts {
    /// Milliseconds of waiting that cost as much as running a request in another data centre.
    #[must_use]
    pub fn remote_ms(&self) -> f64 {
        REMOTE_ROUND_TRIP_MS + self.bytes * self.prices.per_byte / self.prices.per_ms
    }

    /// Preference for local upstreams among those that have been probed.
    #[must_use]
    pub fn locality(&self) -> Locality {
        Locality {
            local_weight: 1.0,
            remote_cost_factor: 1.0 + self.remote_ms() / self.work_ms.max(1.0),
        }
    }

    /// Requests per slot from which requests leave; `None` if none should.
    ///
    /// A request waits here as long as that costs less than leaving and it still ends within the
    /// objective.
    #[must_use]
    pub fn leaving_per_slot(&self) -> Option<f64> {
        if self.remote_ms() >= self.objective_ms {
            return None;
        }
        let work_ms = self.work_ms.max(1.0);
        let latest = (self.objective_ms / work_ms).max(SHORT_PER_SLOT);
        Some((SHORT_PER_SLOT + self.remote_ms() / work_ms).min(latest))
    }
}

/// What is known of a service when its shares are decided.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The data centre that decides.
    pub own: &'a Arc<str>,
    /// What is known of each data centre with upstreams that are not evacuated.
    pub figures: &'a BTreeMap<Arc<str>, Figures>,
    /// What the requests take.
    pub costs: RequestCosts,
}

/// Why shares changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// The data centre is short of capacity and another one is free.
    OwnShort,
    /// The data centre is free again.
    OwnFree,
    /// The data centre has no upstreams, or is evacuated.
    OwnLost,
    /// A receiving data centre is short of capacity.
    ReceiverShort,
    /// A receiving data centre has no usable upstreams, or is evacuated.
    ReceiverLost,
}

/// Shares of the traffic of a service that leave, by data centre; the rest stays.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// Share of each other data centre that gets requests.
    pub leaving: BTreeMap<Arc<str>, f64>,
    /// Data centres that must get no further requests of others, as they are short or were so
    /// a moment ago.
    pub short: Vec<Arc<str>>,
    /// Whether the deciding data centre is short, so that it looks for free ones.
    pub is_short: bool,
    /// Whether the load of another data centre is known.
    pub knows_others: bool,
}

impl Shares {
    /// Share that leaves, from 0 to 1.
    #[must_use]
    pub fn total_leaving(&self) -> f64 {
        self.leaving.values().sum::<f64>().clamp(0.0, 1.0)
    }
}

/// The decision for one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceTraffic {
    shares: Shares,
    reversals: Reversals,
    last_per_slot: f64,
    /// Data centres that were short at this decision and shortly before.
    confirmed_short: Vec<Arc<str>>,
    free_since_ms: Option<u64>,
    is_lost: bool,
    is_returning: bool,
    paused_until_ms: BTreeMap<Arc<str>, u64>,
}

impl ServiceTraffic {
    /// The shares in force.
    #[must_use]
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Decides anew; returns why the shares changed, if they did.
    pub fn decide(&mut self, inputs: &Inputs<'_>, now_ms: u64) -> Option<Cause> {
        let before = self.shares.leaving.clone();
        self.note_short(inputs, now_ms);
        let cause = self.step(inputs, now_ms);
        self.shares.leaving.retain(|_, share| *share >= MIN_SHARE);
        if self.shares.leaving == before {
            return None;
        }
        if !self.is_lost {
            let change = self.shares.total_leaving() - before.values().sum::<f64>();
            self.reversals.on_change(change, now_ms);
        }
        cause
    }

    fn note_short(&mut self, inputs: &Inputs<'_>, now_ms: u64) {
        self.confirmed_short.clear();
        self.paused_until_ms.retain(|_, until| *until > now_ms);
        self.shares.knows_others = false;
        for (data_centre, figures) in inputs.figures {
            if data_centre == inputs.own {
                continue;
            }
            self.shares.knows_others |= figures.per_slot.is_some();
            if figures.is_at_least(SHORT_PER_SLOT + load_error(figures)) {
                // One decision alone may rest on a few busy upstreams.
                if self.shares.short.contains(data_centre) {
                    self.confirmed_short.push(Arc::clone(data_centre));
                }
                let until_ms = now_ms + SHORT_RECEIVER_PAUSE_MS;
                self.paused_until_ms
                    .insert(Arc::clone(data_centre), until_ms);
            }
        }
        self.shares.short.clear();
        self.shares
            .short
            .extend(self.paused_until_ms.keys().cloned());
        let own = inputs.figures.get(inputs.own);
        self.shares.is_short = own.is_none_or(|own| own.is_at_least(SHORT_PER_SLOT));
    }

    fn step(&mut self, inputs: &Inputs<'_>, now_ms: u64) -> Option<Cause> {
        let cause = self.drop_lost(inputs);
        let Some(own) = inputs.figures.get(inputs.own) else {
            self.leave(inputs);
            return Some(Cause::OwnLost);
        };
        if std::mem::take(&mut self.is_lost) {
            // What an evacuation moved comes back without counting as a reversal.
            self.reversals = Reversals::default();
            self.free_since_ms = Some(0);
            self.is_returning = true;
            for share in self.shares.leaving.values_mut() {
                *share *= 1.0 - RETURN_SHARE;
            }
            return Some(Cause::OwnFree);
        }
        if self.withdraw(inputs) {
            return Some(Cause::ReceiverShort);
        }
        let per_slot = own.per_slot_or_short()?;
        let is_falling = per_slot < self.last_per_slot - FALLING_PER_SLOT;
        self.last_per_slot = per_slot;
        if per_slot >= RELEASE_PER_SLOT {
            self.free_since_ms = None;
            self.is_returning = false;
            let leaves = inputs.costs.leaving_per_slot();
            if leaves.is_some_and(|least| per_slot >= least) && !is_falling {
                return self
                    .raise(inputs, own, per_slot, now_ms)
                    .then_some(Cause::OwnShort)
                    .or(cause);
            }
            return cause;
        }
        let free_since_ms = *self.free_since_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(free_since_ms) < RELEASE_AFTER_MS {
            return cause;
        }
        self.release(per_slot, now_ms)
            .then_some(Cause::OwnFree)
            .or(cause)
    }

    fn drop_lost(&mut self, inputs: &Inputs<'_>) -> Option<Cause> {
        let count = self.shares.leaving.len();
        self.shares.leaving.retain(|data_centre, _| {
            let figures = inputs.figures.get(data_centre);
            figures.is_some_and(|figures| figures.slots > 0.0)
        });
        (self.shares.leaving.len() < count).then_some(Cause::ReceiverLost)
    }

    /// Sends everything away, as there are no upstreams here: by free capacity, at once at
    /// first and then in steps.
    fn leave(&mut self, inputs: &Inputs<'_>) {
        let weight_by = |weight: &dyn Fn(&Figures) -> f64| {
            let mut weights = BTreeMap::new();
            for (data_centre, figures) in inputs.figures {
                weights.insert(Arc::clone(data_centre), weight(figures));
            }
            let total: f64 = weights.values().sum();
            (total > 0.0).then(|| {
                for weight in weights.values_mut() {
                    *weight /= total;
                }
                weights
            })
        };
        let wanted = weight_by(&|figures| figures.free_slots(MAX_DEMAND_PER_SLOT))
            .or_else(|| weight_by(&|figures| figures.slots))
            .unwrap_or_default();
        let part = if self.is_lost { MAX_RETURN } else { 1.0 };
        self.is_lost = true;
        for share in self.shares.leaving.values_mut() {
            *share *= 1.0 - part;
        }
        for (data_centre, share) in wanted {
            *self.shares.leaving.entry(data_centre).or_default() += part * share;
        }
        let total: f64 = self.shares.leaving.values().sum();
        if total > 0.0 {
            for share in self.shares.leaving.values_mut() {
                *share /= total;
            }
        }
    }

    /// Lowers the shares of receivers that are short, so that their own callers are not
    /// displaced; others take over what they have free.
    fn withdraw(&mut self, inputs: &Inputs<'_>) -> bool {
        let mut withdrawn = 0.0;
        for data_centre in &self.confirmed_short {
            if let Some(share) = self.shares.leaving.get_mut(data_centre) {
                withdrawn += *share * (1.0 - SHORT_RECEIVER_FACTOR);
                *share *= SHORT_RECEIVER_FACTOR;
            }
        }
        if withdrawn == 0.0 {
            return false;
        }
        let room = inputs
            .figures
            .get(inputs.own)
            .map(|own| self.rises(inputs, own))
            .unwrap_or_default();
        let total: f64 = room.iter().map(|(_, rise)| rise).sum();
        let moved = withdrawn.min(total);
        for (data_centre, rise) in room {
            *self.shares.leaving.entry(data_centre).or_default() += rise * moved / total;
        }
        true
    }

    /// By how much the share of each free data centre may rise in one decision.
    fn rises(&self, inputs: &Inputs<'_>, own: &Figures) -> Vec<(Arc<str>, f64)> {
        let staying = 1.0 - self.shares.total_leaving();
        let per_slot = own.per_slot_or_short().unwrap_or(MAX_DEMAND_PER_SLOT);
        let demand = own.nominal_slots * per_slot.min(MAX_DEMAND_PER_SLOT) / staying.max(MIN_SHARE);
        let senders = 1.0 + to_f64(self.shares.short.len());
        let mut rises = Vec::new();
        for (data_centre, figures) in inputs.figures {
            let is_paused = self.paused_until_ms.contains_key(data_centre);
            let free = figures.free_slots(FREE_PER_SLOT);
            if data_centre == inputs.own || is_paused || free == 0.0 {
                continue;
            }
            let rise = GAIN * free / senders / demand.max(1.0);
            rises.push((Arc::clone(data_centre), rise));
        }
        rises
    }

    /// Sends more away, at most a part of what each free data centre can take.
    fn raise(&mut self, inputs: &Inputs<'_>, own: &Figures, per_slot: f64, now_ms: u64) -> bool {
        if !self.reversals.may_raise(now_ms) {
            return false;
        }
        let staying = 1.0 - self.shares.total_leaving();
        let rises = self.rises(inputs, own);
        let total: f64 = rises.iter().map(|(_, rise)| rise).sum();
        let missing = GAIN * (per_slot - FREE_PER_SLOT) / per_slot;
        let wanted = missing.min(MAX_RISE).min(staying);
        if total <= 0.0 || wanted <= 0.0 {
            return false;
        }
        let scale = (wanted / total).min(1.0);
        for (data_centre, rise) in rises {
            *self.shares.leaving.entry(data_centre).or_default() += rise * scale;
        }
        // Smaller shares than this are dropped, and would be raised from 0 each time.
        for share in self.shares.leaving.values_mut() {
            *share = share.max(MIN_SHARE);
        }
        true
    }

    /// Takes requests back, as far as the free capacity here suffices.
    fn release(&mut self, per_slot: f64, now_ms: u64) -> bool {
        let total = self.shares.total_leaving();
        if total == 0.0 || !self.reversals.may_lower(now_ms) {
            return false;
        }
        let max_fall = if self.is_returning {
            MAX_RETURN
        } else {
            MAX_FALL
        };
        let staying = (1.0 - total).max(MAX_RETURN);
        let free = GAIN * (RELEASE_PER_SLOT - per_slot) / per_slot.max(MIN_SHARE) * staying;
        let fall = free.clamp(MIN_FALL, max_fall).min(total);
        for share in self.shares.leaving.values_mut() {
            *share *= 1.0 - fall / total;
        }
        true
    }
}

/// Standard error of a data centre's requests per slot; 0 where all upstreams are ejected.
fn load_error(figures: &Figures) -> f64 {
    if figures.slots > 0.0 {
        LOAD_ERROR / to_f64(figures.loads.max(1)).sqrt()
    } else {
        0.0
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

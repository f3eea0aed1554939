//! The upstreams that are known, by what they report of themselves.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Time after the store's return in which entries that lapsed meanwhile may
/// come back; the platform promises about two seconds.
pub const LAPSE_GRACE_MS: u64 = 2_000;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum UpstreamState {
    /// It takes work.
    Ready,
    /// It is leaving and takes nothing new.
    Draining,
}

/// What an upstream reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Unique name.
    pub id: Arc<str>,
    /// Start of its process, in Unix milliseconds; 0 if it does not tell.
    pub started_at_ms: u64,
    /// Number of the report within its process.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre that holds it.
    pub data_centre: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Time for which it is still cold.
    pub cold_left_ms: u64,
}

/// A known upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its newest report.
    pub report: UpstreamReport,
    /// End of its cold time on the clock of this process.
    pub cold_until_ms: u64,
}

/// How a report changed the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Change {
    /// A new upstream, or a new process under a known name.
    Joined,
    /// It no longer takes work.
    Draining,
    /// Other fields changed.
    Updated,
    /// It left.
    Left,
    /// Its entry went while the store was away; it may come back.
    Lapsed,
    /// Nothing that matters.
    None,
}

#[derive(Clone, Debug)]
struct Entry {
    upstream: Arc<Upstream>,
    lapses_at_ms: Option<u64>,
}

/// Upstreams by name, and those of each service that take work.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: HashMap<Arc<str>, Entry>,
    by_service: HashMap<Arc<str>, BTreeMap<Arc<str>, Arc<Upstream>>>,
}

impl Directory {
    /// Takes a report in.
    pub fn put(&mut self, report: UpstreamReport, now_ms: u64) -> Change {
        let known = self.entries.get(&report.id);
        let change = match known {
            None => Change::Joined,
            Some(entry) => compare(&entry.upstream.report, &report),
        };
        let is_lapsed = known.is_some_and(|entry| entry.lapses_at_ms.is_some());
        let is_old = known.is_some_and(|entry| is_older(&report, &entry.upstream.report));
        if is_old && !is_lapsed {
            return Change::None;
        }
        let cold_until_ms = match report.cold_left_ms {
            0 => 0,
            left_ms => now_ms + left_ms,
        };
        let upstream = Arc::new(Upstream {
            report,
            cold_until_ms,
        });
        self.take_out(&upstream.report.id);
        self.insert(upstream);
        change
    }

    /// Takes an upstream's entry out.
    ///
    /// Where `may_lapse`, since the store has just come back, the upstream stays
    /// until [`LAPSE_GRACE_MS`] have passed.
    pub fn remove(&mut self, id: &str, may_lapse: bool, now_ms: u64) -> Change {
        let Some(entry) = self.entries.get_mut(id) else {
            return Change::None;
        };
        let is_ready = entry.upstream.report.state == UpstreamState::Ready;
        if may_lapse && is_ready {
            entry.lapses_at_ms = Some(now_ms + LAPSE_GRACE_MS);
            return Change::Lapsed;
        }
        self.take_out(id);
        Change::Left
    }

    /// Drops the lapsed entries that did not come back, and names them.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        let mut gone = Vec::new();
        for (id, entry) in &self.entries {
            if entry.lapses_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                gone.push(Arc::clone(id));
            }
        }
        for id in &gone {
            self.take_out(id);
        }
        gone
    }

    /// When [`Directory::expire`] has something to do.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.entries
            .values()
            .filter_map(|entry| entry.lapses_at_ms)
            .min()
    }

    /// Names of all known upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &Arc<str>> {
        self.entries.keys()
    }

    /// The upstream with this name.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.entries.get(id).map(|entry| &entry.upstream)
    }

    /// Whether an upstream may get a request now, given whether it calls itself
    /// healthy.
    ///
    /// One whose entry lapsed may be about to leave, which it tells by calling
    /// itself unhealthy.
    #[must_use]
    pub fn may_send(&self, report: &UpstreamReport, is_healthy: bool, now_ms: u64) -> bool {
        let Some(entry) = self.entries.get(&report.id) else {
            return false;
        };
        let known = &entry.upstream.report;
        let is_same = known.state == report.state && known.address == report.address;
        let is_there = entry
            .lapses_at_ms
            .is_none_or(|at_ms| is_healthy && now_ms < at_ms);
        is_same && is_there
    }

    /// Upstreams of a service that take work, by their names.
    pub fn ready_upstreams(&self, service: &str) -> impl Iterator<Item = &Arc<Upstream>> {
        self.by_service
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    /// Number of known upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, upstream: Arc<Upstream>) {
        let report = &upstream.report;
        if report.state == UpstreamState::Ready {
            let of_service = self.by_service.entry(Arc::clone(&report.service));
            let id = Arc::clone(&report.id);
            of_service.or_default().insert(id, Arc::clone(&upstream));
        }
        let id = Arc::clone(&report.id);
        let entry = Entry {
            upstream,
            lapses_at_ms: None,
        };
        self.entries.insert(id, entry);
    }

    fn take_out(&mut self, id: &str) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        let service = &entry.upstream.report.service;
        let Some(of_service) = self.by_service.get_mut(service) else {
            return;
        };
        of_service.remove(id);
        if of_service.is_empty() {
            self.by_service.remove(service);
        }
    }
}

fn is_older(new: &UpstreamReport, known: &UpstreamReport) -> bool {
    if new.started_at_ms != 0
        && known.started_at_ms != 0
        && new.started_at_ms != known.started_at_ms
    {
        return new.started_at_ms < known.started_at_ms;
    }
    new.sequence < known.sequence
}

fn compare(known: &UpstreamReport, new: &UpstreamReport) -> Change {
    if known.started_at_ms != new.started_at_ms || known.address != new.address {
        return Change::Joined;
    }
    if known.state != new.state && new.state == UpstreamState::Draining {
        return Change::Draining;
    }
    let is_same = known.service == new.service
        && known.data_centre == new.data_centre
        && known.slots == new.slots
        && known.state == new.state
        && known.cold_left_ms == new.cold_left_ms;
    if is_same {
        Change::None
    } else {
        Change::Updated
    }
}

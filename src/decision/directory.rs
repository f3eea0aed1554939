//! Directory of the known upstreams, built from their own reports.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Time for which an upstream is kept after its entry lapsed during an outage
/// of the store; the platform promises that entries return in about two seconds.
pub const LAPSE_GRACE_MS: u64 = 2_000;

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum UpstreamState {
    /// The upstream accepts requests.
    Ready,
    /// The upstream is shutting down and accepts no new requests.
    Draining,
}

/// Report of an upstream about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Unique name of the upstream.
    pub id: Arc<str>,
    /// Start of its process, in Unix milliseconds; 0 if not reported.
    pub started_at_ms: u64,
    /// Sequence number of the report; a new process starts anew.
    pub sequence: u64,
    /// Service that the upstream belongs to.
    pub service: Arc<str>,
    /// Address at which the upstream accepts connections.
    pub address: SocketAddr,
    /// Data centre in which the upstream runs.
    pub data_centre: Arc<str>,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new requests.
    pub state: UpstreamState,
    /// Remaining warm-up time, in milliseconds.
    pub cold_left_ms: u64,
    /// Version of the program that the upstream runs, if it says.
    pub version: Option<Arc<str>>,
}

/// An upstream in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Newest report.
    pub report: UpstreamReport,
    /// End of the warm-up on the clock of this process, in milliseconds.
    pub cold_until_ms: u64,
}

/// Effect of a report or a removal on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Change {
    /// A new upstream, or a new process under a known name.
    Joined,
    /// The upstream no longer accepts requests.
    Draining,
    /// Other fields of the report changed.
    Updated,
    /// The entry of the upstream was removed.
    Left,
    /// The entry disappeared after an outage of the store and may come back.
    Lapsed,
    /// Nothing relevant changed, or the report is stale.
    None,
}

#[derive(Clone, Debug)]
struct Entry {
    upstream: Arc<Upstream>,
    expires_at_ms: Option<u64>,
}

/// All known upstreams by name, and the ready ones of each service.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: HashMap<Arc<str>, Entry>,
    ready_by_service: HashMap<Arc<str>, BTreeMap<Arc<str>, Arc<Upstream>>>,
}

impl Directory {
    /// Applies a report; one that is older than the known report is ignored.
    pub fn put(&mut self, report: UpstreamReport, now_ms: u64) -> Change {
        let known = self.entries.get(&report.id);
        let change = match known {
            None => Change::Joined,
            Some(entry) => detect_change(&entry.upstream.report, &report),
        };
        let is_lapsed = known.is_some_and(|entry| entry.expires_at_ms.is_some());
        let is_stale = known.is_some_and(|entry| is_older(&report, &entry.upstream.report));
        if is_stale && !is_lapsed {
            return Change::None;
        }
        let cold_until_ms = match report.cold_left_ms {
            0 => 0,
            left_ms => now_ms.saturating_add(left_ms),
        };
        let upstream = Arc::new(Upstream {
            report,
            cold_until_ms,
        });
        self.remove_entry(&upstream.report.id);
        self.insert(upstream);
        change
    }

    /// Removes an upstream whose entry is gone from the store.
    ///
    /// With `may_lapse`, set while the store is recovering from an outage, a
    /// ready upstream is kept for [`LAPSE_GRACE_MS`] in case its entry returns.
    pub fn remove(&mut self, id: &str, may_lapse: bool, now_ms: u64) -> Change {
        let Some(entry) = self.entries.get_mut(id) else {
            return Change::None;
        };
        let is_ready = entry.upstream.report.state == UpstreamState::Ready;
        if may_lapse && is_ready {
            entry.expires_at_ms = Some(now_ms + LAPSE_GRACE_MS);
            return Change::Lapsed;
        }
        self.remove_entry(id);
        Change::Left
    }

    /// Removes a ready upstream after `grace_ms`, unless it reports again; one that drains
    /// stays as it is.
    pub fn lapse(&mut self, id: &str, grace_ms: u64, now_ms: u64) -> Change {
        let Some(entry) = self.entries.get_mut(id) else {
            return Change::None;
        };
        if entry.upstream.report.state != UpstreamState::Ready {
            return Change::None;
        }
        entry.expires_at_ms = Some(now_ms + grace_ms);
        Change::Lapsed
    }

    /// Removes the lapsed entries that did not come back in time and returns
    /// their names.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        let mut gone = Vec::new();
        for (id, entry) in &self.entries {
            if entry.expires_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                gone.push(Arc::clone(id));
            }
        }
        for id in &gone {
            self.remove_entry(id);
        }
        gone
    }

    /// Time at which [`Directory::expire`] next has entries to remove, if any.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.entries
            .values()
            .filter_map(|entry| entry.expires_at_ms)
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

    /// Whether an upstream may get a request now, given whether its last probe
    /// found it healthy.
    ///
    /// The report must be current. A lapsed upstream gets requests only while it
    /// is healthy, as it reports itself unhealthy when it is about to leave.
    #[must_use]
    pub fn may_send(&self, report: &UpstreamReport, is_healthy: bool, now_ms: u64) -> bool {
        let Some(entry) = self.entries.get(&report.id) else {
            return false;
        };
        let known = &entry.upstream.report;
        let is_same = known.state == report.state && known.address == report.address;
        let is_present = entry
            .expires_at_ms
            .is_none_or(|at_ms| is_healthy && now_ms < at_ms);
        is_same && is_present
    }

    /// Ready upstreams of a service, ordered by name.
    pub fn ready_upstreams(&self, service: &str) -> impl Iterator<Item = &Arc<Upstream>> {
        self.ready_by_service
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    /// Number of known upstreams, those that drain or have lapsed included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no upstream is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, upstream: Arc<Upstream>) {
        let report = &upstream.report;
        if report.state == UpstreamState::Ready {
            let ready = self.ready_by_service.entry(Arc::clone(&report.service));
            let id = Arc::clone(&report.id);
            ready.or_default().insert(id, Arc::clone(&upstream));
        }
        let id = Arc::clone(&report.id);
        let entry = Entry {
            upstream,
            expires_at_ms: None,
        };
        self.entries.insert(id, entry);
    }

    fn remove_entry(&mut self, id: &str) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        let service = &entry.upstream.report.service;
        let Some(ready) = self.ready_by_service.get_mut(service) else {
            return;
        };
        ready.remove(id);
        if ready.is_empty() {
            self.ready_by_service.remove(service);
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

fn detect_change(known: &UpstreamReport, new: &UpstreamReport) -> Change {
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
        && known.cold_left_ms == new.cold_left_ms
        && known.version == new.version;
    if is_same {
        Change::None
    } else {
        Change::Updated
    }
}

//! Budget for probes, and the loads that services told lately.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::calls::Call;
use super::state::Gateway;
use super::store::Platform;
use super::upstream_client::UpstreamClient;
use crate::decision::admission::Sharing;
use crate::decision::directory::Upstream;
use crate::decision::fair_shares::FairShares;
use crate::decision::known_loads::{KnownLoad, MeanLoads};
use crate::decision::probe_budget::{ProbeBudget, ProbeLimit, ProbePurpose};
use crate::decision::selection::Load;
use crate::decision::upstream_subset::UpstreamSubset;

/// What the choice of upstreams shares between requests.
#[derive(Debug, Default)]
pub struct ProbeState {
    budget: Mutex<ProbeBudget>,
    mean_loads: Mutex<MeanLoads>,
    fair_shares: Mutex<HashMap<Arc<str>, FairShares>>,
    subsets: Mutex<HashMap<Arc<str>, UpstreamSubset>>,
}

impl ProbeState {
    /// Locks the mean loads by service.
    pub fn mean_loads(&self) -> MutexGuard<'_, MeanLoads> {
        lock(&self.mean_loads)
    }
}

impl<P: Platform> Gateway<P> {
    /// Takes up to `wanted` probes of a service with this many upstreams from the budget, and
    /// returns how many may be sent.
    #[must_use]
    pub fn acquire_probes(
        &self,
        service: &Arc<str>,
        upstreams: usize,
        purpose: ProbePurpose,
        wanted: usize,
    ) -> usize {
        let limit = self.probe_limit(upstreams);
        lock(&self.probe_state.budget).acquire_up_to(service, limit, purpose, wanted, self.now_ms())
    }

    /// Counts a probe that is sent whatever the budget, such as a check of a limit.
    pub fn charge_probe(&self, service: &Arc<str>) {
        let limit = self.probe_limit(self.ready_upstreams(service).len().max(1));
        lock(&self.probe_state.budget).charge(service, limit, self.now_ms());
    }

    fn probe_limit(&self, upstreams: usize) -> ProbeLimit {
        ProbeLimit {
            per_upstream_s: self.settings().probes_per_s,
            upstreams,
            instances: self.view().instances.len(),
        }
    }

    /// How a new request shares the capacity of its service: between organisations if the
    /// version in force has some.
    #[must_use]
    pub fn sharing_of(&self, call: &Call, service: &Arc<str>) -> Sharing {
        let has_organisations = self
            .manifest()
            .is_some_and(|manifest| manifest.organisations().is_some());
        if !has_organisations {
            return Sharing::Alike;
        }
        let organisation = call.organisation.as_ref();
        // Requests of public routes count as those of one organisation without a name.
        let name = organisation.map_or_else(Arc::default, |one| Arc::clone(&one.name));
        let usual_share = {
            let mut shares = lock(&self.probe_state.fair_shares);
            let shares = shares.entry(Arc::clone(service)).or_default();
            shares.on_request(&name, self.now_ms())
        };
        let is_excess = rand::random::<f64>() >= usual_share;
        let end = if is_excess { "excess" } else { "usual" };
        self.metrics.on_shared_request(end);
        Sharing::Organisations { is_excess }
    }

    /// Counts an attempt at an upstream of a service, for the size of its subset.
    pub fn on_attempt(&self, service: &str) {
        if let Some(subset) = lock(&self.probe_state.subsets).get_mut(service) {
            subset.on_use();
        }
    }

    /// The upstreams of a service that this instance prefers; `None` if it uses all alike.
    #[must_use]
    pub fn preferred_upstreams(
        &self,
        service: &Arc<str>,
        eligible: &[Arc<Upstream>],
    ) -> Option<Arc<HashSet<Arc<str>>>> {
        let now_ms = self.now_ms();
        {
            let subsets = lock(&self.probe_state.subsets);
            if let Some(subset) = subsets.get(service).filter(|subset| !subset.is_due(now_ms)) {
                return subset.preferred();
            }
        }
        let instances: Vec<Arc<str>> = self.view().instances.keys().cloned().collect();
        let fleet = instances.len();
        let mut ids = Vec::with_capacity(eligible.len());
        ids.extend(
            eligible
                .iter()
                .map(|upstream| Arc::clone(&upstream.report.id)),
        );
        let mut subsets = lock(&self.probe_state.subsets);
        let subset = subsets.entry(Arc::clone(service)).or_default();
        let changed = subset.update(&ids, instances, &self.settings().name, now_ms);
        if let Some(size) = changed
            && self.log_budget.take()
        {
            tracing::info!(
                %service,
                preferred = size,
                upstreams = ids.len(),
                instances = fleet,
                "preferred upstreams of a service changed between all and a subset"
            );
        }
        let preferred = subset.preferred();
        if let Some(preferred) = &preferred {
            self.metrics.set_preferred(service, preferred.len());
        } else if changed.is_some() {
            self.metrics.set_preferred(service, ids.len());
        }
        preferred
    }

    /// Records the load that an upstream tells in a probe or an answer.
    pub fn on_load(&self, upstream: &Upstream, client: &UpstreamClient, load: &Load) {
        let now_ms = self.now_ms();
        client.known_load().on_load(load, now_ms);
        let service = &upstream.report.service;
        self.probe_state.mean_loads().on_load(service, load, now_ms);
    }
}

/// A request in flight at an upstream, until it is dropped.
#[derive(Debug)]
pub struct InFlight<'c> {
    known_load: &'c Mutex<KnownLoad>,
}

impl<'c> InFlight<'c> {
    /// Counts a request.
    #[must_use]
    pub fn begin(known_load: &'c Mutex<KnownLoad>) -> Self {
        lock(known_load).on_send();
        Self { known_load }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        lock(self.known_load).on_end();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! The upstreams of a service that a request may use.

use std::sync::Arc;

use super::calls::Call;
use super::state::Gateway;
use super::store::Platform;
use super::upstream_client::UpstreamClient;
use crate::decision::directory::Upstream;
use crate::decision::selection::{Candidate, Locality};

/// The upstreams of a service that a request may be sent to.
#[derive(Debug)]
pub struct Candidates {
    /// Each upstream with its client.
    pub upstreams: Vec<(Arc<Upstream>, Arc<UpstreamClient>)>,
    /// What their sampling needs, in the same order.
    pub for_sampling: Vec<Candidate>,
    /// Preference of the request for upstreams in the local data centre.
    pub locality: Locality,
}

impl Candidates {
    /// Collects the upstreams of a service, without those in `tried`, ejected ones and those
    /// with a limit; a probe would count against the limit.
    #[must_use]
    pub fn new<P: Platform>(
        gateway: &Gateway<P>,
        call: &Call,
        service: &Arc<str>,
        tried: &[Arc<str>],
    ) -> Self {
        let now_ms = gateway.now_ms();
        let settings = gateway.settings();
        let mut upstreams = Vec::new();
        let mut for_sampling = Vec::new();
        let eligible = gateway.eligible_upstreams(service);
        let preferred = gateway.preferred_upstreams(service, &eligible);
        let has_usable = eligible.iter().any(|upstream| {
            let client = gateway.upstream_clients.get(&upstream.report);
            !tried.contains(&upstream.report.id) && client.ejection().is_usable(now_ms)
        });
        for upstream in eligible {
            let client = gateway.upstream_clients.get(&upstream.report);
            let failure_share = {
                let ejection = client.ejection();
                let is_last_resort = !has_usable && ejection.is_last_resort(now_ms);
                if !ejection.is_usable(now_ms) && !is_last_resort {
                    continue;
                }
                ejection.failure_share()
            };
            let is_limited = gateway.limit_of(&upstream.report).is_some();
            if is_limited || tried.contains(&upstream.report.id) {
                continue;
            }
            for_sampling.push(Candidate {
                is_local: upstream.report.data_centre == settings.data_centre,
                is_connected: client.is_connected(),
                is_preferred: preferred
                    .as_ref()
                    .is_some_and(|preferred| preferred.contains(&upstream.report.id)),
                failure_share,
            });
            upstreams.push((upstream, client));
        }
        let local = for_sampling.iter().filter(|candidate| candidate.is_local);
        let locality = Locality::new(gateway.route_means(&call.route).bytes, local.count());
        Self {
            upstreams,
            for_sampling,
            locality,
        }
    }

    /// Number of upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether the request may use no upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }
}

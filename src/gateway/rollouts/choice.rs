//! Chooses an upstream of a new version for the requests that its share gives to it.

use std::sync::Arc;

use rand::seq::SliceRandom;
use tokio::time::timeout;

use super::Rule;
use crate::decision::admission::{Admission, PendingRequest};
use crate::decision::directory::Upstream;
use crate::decision::probe_budget::ProbePurpose;
use crate::decision::rendezvous::weight;
use crate::decision::selection::Locality;
use crate::gateway::calls::Call;
use crate::gateway::limited_choice::Chosen;
use crate::gateway::probing::{probe_one, take_best};
use crate::gateway::state::Gateway;
use crate::gateway::store::Platform;

/// Least upstreams of the new version that get requests: a single ill one must be told from a
/// bad version.
const MIN_CANARIES: usize = 3;
/// Upstreams that one request probes before it goes to the old version.
const MAX_PROBES: usize = 2;

/// Finds an upstream of the new version, if this request is to go there.
///
/// `None` for most requests; they go to the old version, as do retries.
pub async fn choose_new<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    call: &Call,
    service: &Arc<str>,
    excluded: &[Arc<str>],
    pending: PendingRequest,
) -> Option<Chosen<P>> {
    let rule = gateway.rollouts.rule(service)?;
    if !excluded.is_empty() || !rule.draw(gateway.now_ms()) {
        return None;
    }
    let mut canaries = canaries(gateway, &rule, service);
    canaries.shuffle(&mut rand::rng());
    let health_path = {
        let manifest = gateway.manifest()?;
        Arc::clone(&manifest.services.get(service)?.health_path)
    };
    let locality = Locality::new(gateway.route_means(&call.route).bytes, 0);
    let purpose = ProbePurpose::First(call.priority());
    let allowed = gateway.acquire_probes(service, canaries.len(), purpose, MAX_PROBES);
    for upstream in canaries.into_iter().take(allowed) {
        let client = gateway.upstream_clients.get(&upstream.report);
        let path = Arc::clone(&health_path);
        let probe = probe_one(Arc::clone(gateway), upstream, client, path, locality);
        // Dropping a probe closes its connection; that of a busy instance may be slow.
        let probed = timeout(gateway.probe_waits.last_round, probe).await;
        let Ok(Some(probed)) = probed else {
            continue;
        };
        let mut probed = vec![probed];
        let best = take_best(gateway, service, &mut probed);
        for other in probed {
            other.client.release(other.connection);
        }
        let Some(best) = best else {
            continue;
        };
        let load = best.reading.load;
        if load.is_none() || pending.decide(load.as_ref()) == Admission::Send {
            return Some(Chosen {
                upstream: best,
                permit: None,
            });
        }
        best.client.release(best.connection);
    }
    None
}

/// The upstreams of the new version that share its requests: so many that each gets about as
/// many as an old one, of all data centres in turn, and the same at each instance.
fn canaries<P: Platform>(
    gateway: &Gateway<P>,
    rule: &Rule,
    service: &Arc<str>,
) -> Vec<Arc<Upstream>> {
    let now_ms = gateway.now_ms();
    let mut ready: Vec<(usize, u64, Arc<Upstream>)> = Vec::new();
    {
        let view = gateway.view();
        for upstream in view.directory.ready_upstreams(service) {
            let is_evacuated = view.evacuated.contains(&upstream.report.data_centre);
            if !is_evacuated && rule.is_new(upstream) {
                let rank = weight(service, &upstream.report.id);
                ready.push((0, rank, Arc::clone(upstream)));
            }
        }
    }
    ready.sort_unstable_by_key(|(_, rank, _)| *rank);
    let mut by_data_centre = std::collections::HashMap::new();
    for (turn, _, upstream) in &mut ready {
        let count = by_data_centre
            .entry(Arc::clone(&upstream.report.data_centre))
            .or_insert(0_usize);
        *turn = *count;
        *count += 1;
    }
    ready.sort_by_key(|(turn, rank, upstream)| (upstream.cold_until_ms > now_ms, *turn, *rank));
    let share = rule.share(now_ms).clamp(0.0, 1.0);
    let total = u32::try_from(ready.len()).unwrap_or(u32::MAX);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "it lies between 0 and the number of upstreams"
    )]
    let wanted = (share * f64::from(total)).ceil() as usize;
    ready.truncate(wanted.max(MIN_CANARIES));
    let mut canaries = Vec::with_capacity(ready.len());
    for (_, _, upstream) in ready {
        let client = gateway.upstream_clients.get(&upstream.report);
        let is_usable = client.ejection().is_usable(now_ms)
            && gateway.is_wanted_by(&upstream.report)
            && gateway.limit_of(&upstream.report).is_none();
        if is_usable {
            canaries.push(upstream);
        }
    }
    canaries
}

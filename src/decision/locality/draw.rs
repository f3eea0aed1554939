//! Draws the upstreams to probe by the shares of the data centres.

use std::collections::BTreeSet;

use rand::{Rng, RngExt};

use super::Shares;
use crate::decision::selection::{Candidate, Locality, PROBES_PER_ROUND, weighted_sample};

/// Share of requests that look at another data centre, so that its load stays known.
const LOOK_SHARE: f64 = 0.01;
/// The same while the own data centre is short.
const LOOK_SHARE_IF_SHORT: f64 = 0.05;
/// The same while it is short and nothing is known of others: an instance with two requests per
/// second would otherwise not know them within the 3 s in which shares settle.
const LOOK_SHARE_IF_BLIND: f64 = 0.2;
/// Selection within a data centre does not depend on locality.
const NEUTRAL: Locality = Locality {
    local_weight: 1.0,
    remote_cost_factor: 1.0,
};

/// Draws the candidates to probe for one request and returns their indices in the order of
/// [`PROBES_PER_ROUND`]; `data_centres` are those of the candidates.
///
/// The first rounds ask upstreams of one data centre, drawn by the shares. The last one asks
/// those of all data centres that are not short. Others are asked only if there are no more.
pub fn probe_order(
    candidates: &[Candidate],
    data_centres: &[&str],
    shares: &Shares,
    random: &mut impl Rng,
) -> Vec<usize> {
    let [first, second, last] = PROBES_PER_ROUND;
    let target = draw_data_centre(candidates, data_centres, shares, random);
    let is_short = |index: usize| {
        let data_centre = data_centres[index];
        !candidates[index].is_local && shares.short.iter().any(|short| **short == *data_centre)
    };
    let mut drawn = Vec::with_capacity(first + second + last);
    let in_target = |index: usize| match target {
        Some(target) => data_centres[index] == target,
        None => candidates[index].is_local,
    };
    draw_among(candidates, in_target, first + second, &mut drawn, random);
    let all = first + second + last;
    draw_among(
        candidates,
        |index| !is_short(index),
        all,
        &mut drawn,
        random,
    );
    if drawn.is_empty() {
        draw_among(candidates, |_| true, all, &mut drawn, random);
    }
    drawn
}

/// Draws further candidates of a kind, until `count` are drawn or there are no more.
fn draw_among(
    candidates: &[Candidate],
    is_meant: impl Fn(usize) -> bool,
    count: usize,
    drawn: &mut Vec<usize>,
    random: &mut impl Rng,
) {
    let mut indices = Vec::with_capacity(candidates.len());
    let mut meant = Vec::with_capacity(candidates.len());
    for (index, candidate) in candidates.iter().enumerate() {
        if is_meant(index) && !drawn.contains(&index) {
            indices.push(index);
            meant.push(*candidate);
        }
    }
    let wanted = count.saturating_sub(drawn.len());
    for position in weighted_sample(&meant, NEUTRAL, wanted, random) {
        drawn.push(indices[position]);
    }
}

/// The data centre of a request's first probes; `None` for the own one.
fn draw_data_centre<'d>(
    candidates: &[Candidate],
    data_centres: &[&'d str],
    shares: &Shares,
    random: &mut impl Rng,
) -> Option<&'d str> {
    let mut remote = BTreeSet::new();
    for (candidate, data_centre) in candidates.iter().zip(data_centres) {
        if !candidate.is_local {
            remote.insert(*data_centre);
        }
    }
    let mut point = random.random::<f64>();
    for (data_centre, share) in &shares.leaving {
        point -= share;
        if point < 0.0 {
            return remote.get(&**data_centre).copied();
        }
    }
    let look = match (shares.is_short, shares.knows_others) {
        (false, _) => LOOK_SHARE,
        (true, true) => LOOK_SHARE_IF_SHORT,
        (true, false) => LOOK_SHARE_IF_BLIND,
    };
    remote.retain(|data_centre| !shares.short.iter().any(|short| **short == **data_centre));
    let each = look / f64::from(u32::try_from(remote.len()).unwrap_or(u32::MAX));
    remote.into_iter().find(|_| {
        point -= each;
        point < 0.0
    })
}

//! Compares the gateway's choice of an upstream with simple policies, for each
//! load pattern of the simulation in `benches/policies`; no network, fixed seeds.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the model draws its times as floating point numbers"
)]

#[path = "../benches/policies/model.rs"]
mod model;
#[path = "../benches/policies/policy.rs"]
mod policy;

use googletest::prelude::*;

use model::{Model, Pattern, Setup};
use policy::Policy;

const SEEDS: [u64; 3] = [1, 2, 3];

/// Mean payoff of a policy over all seeds.
fn payoff(pattern: Pattern, policy: Policy) -> f64 {
    let mut sum = 0.0;
    for seed in SEEDS {
        sum += Model::new(Setup::small(), pattern, seed)
            .run(policy)
            .payoff();
    }
    sum / SEEDS.len() as f64
}

/// Checks that the gateway's payoff exceeds that of every simple policy.
fn expect_gateway_beats_simple_policies(pattern: Pattern) {
    let gateway = payoff(pattern, Policy::Gateway);
    for policy in [Policy::Random, Policy::LeastInFlight, Policy::ProbeOfTwo] {
        expect_that!(
            gateway,
            gt(payoff(pattern, policy)),
            "{pattern} by {policy}"
        );
    }
}

#[gtest]
fn gateway_beats_simple_policies_at_usual_load() {
    expect_gateway_beats_simple_policies(Pattern::Calm);
}

#[gtest]
fn gateway_beats_simple_policies_in_load_burst() {
    expect_gateway_beats_simple_policies(Pattern::Burst);
}

#[gtest]
fn gateway_beats_simple_policies_with_slow_upstreams() {
    expect_gateway_beats_simple_policies(Pattern::SlowShare);
}

#[gtest]
fn gateway_beats_simple_policies_with_cold_upstreams() {
    expect_gateway_beats_simple_policies(Pattern::ColdThird);
}

#[gtest]
fn gateway_beats_simple_policies_with_rejecting_upstreams() {
    expect_gateway_beats_simple_policies(Pattern::SheddingThird);
}

#[gtest]
fn late_requests_are_refused_instead_of_failing() {
    let gateway = Model::new(Setup::small(), Pattern::Burst, 1).run(Policy::Gateway);
    let simple = Model::new(Setup::small(), Pattern::Burst, 1).run(Policy::ProbeOfTwo);

    expect_that!(gateway.worst_window(), ge(simple.worst_window()));
    expect_that!(gateway.failed, lt(simple.failed));
    expect_that!(gateway.failed, lt(gateway.refused));
}

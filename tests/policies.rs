//! The gateway's choice of an upstream against simple ways, pattern by pattern,
//! in the event model of `benches/policies`; no network, fixed seeds.

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

/// Mean payoff of a way over all seeds.
fn payoff(pattern: Pattern, policy: Policy) -> f64 {
    let mut sum = 0.0;
    for seed in SEEDS {
        sum += Model::new(Setup::small(), pattern, seed)
            .run(policy)
            .payoff();
    }
    sum / SEEDS.len() as f64
}

/// Checks that the gateway serves callers better than any simple way.
fn beats_simple_ways(pattern: Pattern) {
    let chosen = payoff(pattern, Policy::Gateway);
    for policy in [Policy::Random, Policy::LeastInFlight, Policy::ProbeOfTwo] {
        expect_that!(chosen, gt(payoff(pattern, policy)), "{pattern} by {policy}");
    }
}

#[gtest]
fn on_a_calm_day_with_a_pace_that_changes_all_the_time() {
    beats_simple_ways(Pattern::Calm);
}

#[gtest]
fn in_a_burst_of_three_times_the_usual_load() {
    beats_simple_ways(Pattern::Burst);
}

#[gtest]
fn while_a_share_of_the_upstreams_is_slow() {
    beats_simple_ways(Pattern::SlowShare);
}

#[gtest]
fn while_a_third_is_cold_at_half_as_much_load_again() {
    beats_simple_ways(Pattern::ColdThird);
}

#[gtest]
fn while_a_third_turns_everything_down() {
    beats_simple_ways(Pattern::SheddingThird);
}

#[gtest]
fn what_cannot_be_answered_in_time_is_refused_rather_than_failed() {
    let played = Model::new(Setup::small(), Pattern::Burst, 1).run(Policy::Gateway);
    let simple = Model::new(Setup::small(), Pattern::Burst, 1).run(Policy::ProbeOfTwo);

    expect_that!(played.worst_window(), ge(simple.worst_window()));
    expect_that!(played.failed, lt(simple.failed));
    expect_that!(played.failed, lt(played.refused));
}

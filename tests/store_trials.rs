//! The turns in which instances that are not readers try a store that its readers have lost.

use chicorywing::decision::store_reader::{first_trial_delay_ms, trial_round_ms};
use googletest::prelude::*;

/// Number of tries in one second, from `from_ms` on, of a data centre that keeps its turns.
fn tries_in_second(instances: usize, from_ms: u64) -> usize {
    let round_ms = trial_round_ms(instances);
    let mut tries = 0;
    for rank in 0..instances {
        let mut at_ms = first_trial_delay_ms(rank);
        while at_ms < from_ms {
            at_ms += round_ms;
        }
        tries += usize::from(at_ms < from_ms + 1_000);
    }
    tries
}

// Guards against a store that is down getting calls from the whole fleet at once.
#[gtest]
fn a_data_centre_makes_at_most_ten_tries_a_second() {
    for instances in [1, 5, 13, 50, 150] {
        for from_ms in (0..40_000).step_by(250) {
            let tries = tries_in_second(instances, from_ms);

            expect_that!(tries, le(10), "{instances} instances, from {from_ms} ms");
        }
    }
}

// Guards against an instance that the store serves waiting longer than 15 s for its turn.
#[gtest]
fn every_instance_of_a_large_data_centre_has_its_turn_in_15_s() {
    expect_that!(first_trial_delay_ms(149), le(15_000));
    expect_that!(trial_round_ms(150), le(15_000));
}

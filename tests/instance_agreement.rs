//! Whether instances know the same instances.

use chicorywing::decision::instance_agreement::Agreement;
use googletest::prelude::*;

fn answered(others: usize, same: usize, different: usize) -> Agreement {
    let mut agreement = Agreement::new(others);
    for _ in 0..same {
        agreement.on_answer(true);
    }
    for _ in 0..different {
        agreement.on_answer(false);
    }
    agreement
}

#[gtest]
fn more_than_half_must_know_the_same() {
    expect_that!(answered(12, 5, 0).is_reached(), eq(false));
    expect_that!(answered(12, 6, 0).is_reached(), eq(true));
    expect_that!(answered(3, 1, 0).is_reached(), eq(false));
    expect_that!(answered(3, 2, 0).is_reached(), eq(true));
}

// Guards against a group that does not know some instances giving out a limit as a whole
// beside an instance that knows all.
#[gtest]
fn one_that_knows_other_instances_prevents_it() {
    expect_that!(answered(12, 11, 1).is_reached(), eq(false));
    expect_that!(answered(12, 11, 1).has_difference(), eq(true));
}

// Guards against an instance that nobody answers taking itself for the whole fleet.
#[gtest]
fn an_instance_that_gets_no_answer_knows_nothing() {
    expect_that!(answered(2, 0, 0).is_reached(), eq(false));
    expect_that!(answered(1, 0, 0).is_reached(), eq(false));
}

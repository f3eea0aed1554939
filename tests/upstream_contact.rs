//! Tests of the decision whether this instance reaches any upstream.

use std::sync::Arc;

use chicorywing::decision::upstream_contact::{SILENCE_MS, UpstreamContact};
use googletest::prelude::*;

const KNOWN: usize = 24;
const START_MS: u64 = 1_000;

/// Upstreams answered until the start; these fail after it.
fn failed(count: usize) -> UpstreamContact {
    let mut contact = UpstreamContact::default();
    contact.on_answer(START_MS - 1);
    for number in 0..count {
        contact.on_failure(&Arc::from(format!("up-{number}")));
    }
    contact
}

#[gtest]
fn silence_of_several_upstreams_begins_the_belief_and_an_answer_ends_it() {
    let mut contact = failed(3);

    let begun = contact.try_begin(START_MS, KNOWN, START_MS + SILENCE_MS);
    let ended = contact.on_answer(START_MS + 500);

    expect_that!(begun, some(anything()));
    let evidence = ended.unwrap();
    expect_that!(evidence.failed, eq(3));
    expect_that!(evidence.held_ms, eq(500 - SILENCE_MS));
    expect_that!(evidence.no_answer_ms, some(eq(501)));
    expect_that!(contact.is_cut_off(), eq(false));
}

#[gtest]
fn repeated_failures_of_one_upstream_do_not_begin_it() {
    let mut contact = failed(1);
    for _ in 0..10 {
        contact.on_failure(&Arc::from("up-0"));
    }

    expect_that!(
        contact.try_begin(START_MS, KNOWN, START_MS + 10_000),
        none()
    );
    expect_that!(contact.try_begin(START_MS, 1, START_MS + 10_000), none());
}

#[gtest]
fn failures_of_many_upstreams_while_one_answers_do_not_begin_it() {
    let mut contact = failed(20);
    contact.on_answer(START_MS + 1);

    expect_that!(
        contact.try_begin(START_MS, KNOWN, START_MS + SILENCE_MS),
        none()
    );
    expect_that!(contact.is_suspected(KNOWN), eq(false));
}

#[gtest]
fn it_begins_only_after_the_check_had_time_for_an_answer() {
    let mut contact = failed(20);

    expect_that!(
        contact.try_begin(START_MS, KNOWN, START_MS + SILENCE_MS - 1),
        none()
    );
}

#[gtest]
fn failures_of_attempts_that_began_before_its_end_are_excused() {
    let mut contact = failed(3);
    contact.try_begin(START_MS, KNOWN, START_MS + SILENCE_MS);

    let during = contact.was_cut_off_since(START_MS + 80);
    contact.on_answer(START_MS + 100);

    expect_that!(during, eq(true));
    expect_that!(contact.was_cut_off_since(START_MS + 90), eq(true));
    expect_that!(contact.was_cut_off_since(START_MS + 101), eq(false));
}

#[gtest]
fn two_failed_upstreams_suffice_where_only_two_are_known() {
    let mut contact = failed(2);

    expect_that!(
        contact.try_begin(START_MS, KNOWN, START_MS + SILENCE_MS),
        none()
    );
    expect_that!(
        contact.try_begin(START_MS, 2, START_MS + SILENCE_MS),
        some(anything())
    );
}

/// Time in which a check must be answered while upstreams are fast, and at most.
const SHORTEST_WAIT_MS: u64 = 250;
const LONGEST_WAIT_MS: u64 = 1_000;

// Guards against a belief that begins anew at each check while all upstreams are slow.
#[gtest]
fn checks_wait_longer_while_all_probes_are_slow() {
    let mut contact = UpstreamContact::default();
    let at_first = contact.check_wait_ms();

    for _ in 0..3 {
        contact.on_probe_time(600);
    }

    expect_that!(at_first, eq(SHORTEST_WAIT_MS));
    expect_that!(contact.check_wait_ms(), all!(gt(600), le(LONGEST_WAIT_MS)));
}

// Guards against a cut that is known late because answers of the one before were late.
#[gtest]
fn one_fast_probe_makes_the_checks_short_again() {
    let mut contact = UpstreamContact::default();
    for _ in 0..10 {
        contact.on_probe_time(3_000);
    }
    let while_slow = contact.check_wait_ms();

    contact.on_probe_time(2);

    expect_that!(while_slow, eq(LONGEST_WAIT_MS));
    expect_that!(contact.check_wait_ms(), eq(SHORTEST_WAIT_MS));
}

// Guards against requests refused at once by an instance that was idle before its check.
#[gtest]
fn a_young_belief_is_not_certain_however_old_the_last_answer_is() {
    let mut contact = failed(3);
    let begun_ms = START_MS + 60_000;
    contact.try_begin(begun_ms - SILENCE_MS, KNOWN, begun_ms);

    expect_that!(contact.is_certain(begun_ms + 100), eq(false));
    expect_that!(contact.is_certain(begun_ms + 750), eq(true));
    contact.on_answer(begun_ms + 751);
    expect_that!(contact.is_certain(begun_ms + 752), eq(false));
}

//! All instances start at the same moment: when does each know the limits of upstreams, without
//! which it refuses its callers?

use chicorywing::decision::start_questions::StartQuestion;
use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const INSTANCES: usize = 312;
const SEEDS: usize = 3;
/// Time in which all start, and in which each then reads the store, in milliseconds.
const START_SPREAD_MS: u64 = 300;
const READ_MS: u64 = 220;
/// The narrowest link, 10 Mbit/s.
const LINK_BYTES_PER_MS: u64 = 1_250;
/// State of 481 upstreams, 312 instances and a version; an answer about limits.
const STATE_BYTES: u64 = 200_000;
const LIMITS_BYTES: u64 = 400;
/// Time in which an answer must come, and the pause before the next question.
const ANSWER_TIMEOUT_MS: u64 = 400;
const PAUSE_MS: u64 = 50;
/// Time after the last start in which callers wait until their request is read.
const CALLER_WAIT_MS: u64 = 1_000;

/// When each instance knows the limits, in milliseconds, if it asks by `choose`.
fn known_at(choose: impl Fn(bool, bool, u64) -> StartQuestion) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(39);
    let starts: Vec<u64> = (0..INSTANCES)
        .map(|_| rng.random_range(0..START_SPREAD_MS))
        .collect();
    let mut link_free_ms = vec![0; INSTANCES];
    let mut next_question_ms = starts.clone();
    let mut known = vec![None; INSTANCES];
    for now_ms in 0..10_000 {
        for me in 0..INSTANCES {
            if known[me].is_some() || now_ms < next_question_ms[me] {
                continue;
            }
            let age_ms = now_ms - starts[me];
            let is_loaded = age_ms >= READ_MS;
            let bytes = match choose(false, is_loaded, age_ms) {
                StartQuestion::Nothing => continue,
                StartQuestion::Limits => LIMITS_BYTES,
                StartQuestion::WholeState => STATE_BYTES,
            };
            // Before the others are known, only the seeds can be asked.
            let asked = if is_loaded {
                rng.random_range(0..INSTANCES)
            } else {
                rng.random_range(0..SEEDS)
            };
            if asked == me || starts[asked] > now_ms {
                next_question_ms[me] = now_ms + PAUSE_MS;
                continue;
            }
            let begins_ms = link_free_ms[asked].max(now_ms);
            let comes_ms = begins_ms + bytes.div_ceil(LINK_BYTES_PER_MS);
            link_free_ms[asked] = comes_ms;
            if comes_ms <= now_ms + ANSWER_TIMEOUT_MS {
                known[me] = Some(comes_ms);
            } else {
                next_question_ms[me] = now_ms + ANSWER_TIMEOUT_MS + PAUSE_MS;
            }
        }
    }
    known.into_iter().map(|at| at.unwrap_or(u64::MAX)).collect()
}

fn latest(choose: impl Fn(bool, bool, u64) -> StartQuestion) -> u64 {
    known_at(choose).into_iter().max().unwrap()
}

// Guards against instances that refuse their callers for long after all have started at once.
#[gtest]
fn all_know_the_limits_soon_after_their_own_reads_of_the_store() {
    let latest_ms = latest(StartQuestion::choose);

    expect_that!(latest_ms, le(START_SPREAD_MS + CALLER_WAIT_MS / 2));
}

// Shows the load that the choice answers: whole states time out.
#[gtest]
fn whole_states_take_longer_than_callers_wait() {
    let latest_ms = latest(|_, _, _| StartQuestion::WholeState);

    expect_that!(latest_ms, gt(START_SPREAD_MS + CALLER_WAIT_MS / 2));
}

#[gtest]
fn an_instance_whose_store_is_away_asks_for_the_whole_state() {
    expect_that!(
        StartQuestion::choose(false, false, 0),
        eq(StartQuestion::Nothing)
    );
    expect_that!(
        StartQuestion::choose(false, false, 300),
        eq(StartQuestion::WholeState)
    );
    expect_that!(
        StartQuestion::choose(false, true, 0),
        eq(StartQuestion::Limits)
    );
    expect_that!(
        StartQuestion::choose(true, true, 0),
        eq(StartQuestion::Nothing)
    );
}

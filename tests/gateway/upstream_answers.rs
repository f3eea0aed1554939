//! Upstreams that say in their answers that they leave. Instances and upstreams talk over
//! loopback, so these tests run on the real clock.

use std::time::Duration;

use chicorywing::gateway::store::Stream;
use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use super::fake::{route, within};
use super::limited::{LimitedFleet, served};

const ALL_OF_FOUR: [usize; 4] = [0, 1, 2, 3];
const LEAVES: &str = "t-leaving: 1";
/// Time in which an instance may still send to an upstream that has told it that it leaves.
const HEED_TIME: Duration = Duration::from_secs(2);
const PLAY_TIME: Duration = Duration::from_secs(4);
/// Time in which the fleet learns what an upstream has said to one instance.
const TELL_TIME: Duration = Duration::from_secs(1);
/// Time in which a leaving upstream that no longer says so must be used again.
const RETURN_TIME: Duration = Duration::from_secs(8);
/// Time within which a request that no upstream takes must be refused.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(150);

// Guards against an upstream that leaves being used until the store says so.
#[gtest]
#[tokio::test]
async fn the_fleet_stops_using_an_upstream_that_says_it_leaves() {
    let fleet = LimitedFleet::start(4, 4).await;
    fleet
        .send_steadily(&ALL_OF_FOUR, 80, TELL_TIME, &route())
        .await;
    let since = Instant::now();
    fleet.upstreams[0].say(&[LEAVES]);

    let all = fleet
        .send_steadily(&ALL_OF_FOUR, 80, PLAY_TIME, &route())
        .await;

    expect_that!(fleet.upstreams[0].runs_since(since + HEED_TIME), eq(0));
    expect_that!(served(&all), eq(all.len()));
}

// Guards against each instance finding out by a request of its own.
#[gtest]
#[tokio::test]
async fn instances_are_told_which_upstreams_leave() {
    let fleet = LimitedFleet::start(4, 4).await;
    fleet.upstreams[0].say(&[LEAVES]);
    fleet.send_steadily(&[0], 80, TELL_TIME, &route()).await;

    let since = Instant::now();
    fleet
        .send_steadily(&[1, 2, 3], 80, TELL_TIME, &route())
        .await;

    expect_that!(fleet.upstreams[0].runs_since(since), eq(0));
}

// Guards against an instance that has just started beginning with a leaving upstream.
#[gtest]
#[tokio::test]
async fn an_instance_that_starts_knows_which_upstreams_leave_before_it_is_ready() {
    let mut fleet = LimitedFleet::start(4, 2).await;
    fleet.upstreams[0].say(&[LEAVES]);
    fleet
        .send_steadily(&ALL_OF_FOUR, 40, TELL_TIME, &route())
        .await;

    fleet.restart(2).await;
    while !fleet.instances[2].gateway.is_ready() {
        sleep(Duration::from_millis(1)).await;
    }
    let since = Instant::now();
    let all = fleet.send_steadily(&[2], 40, TELL_TIME, &route()).await;

    expect_that!(fleet.upstreams[0].runs_since(since), eq(0));
    expect_that!(served(&all), eq(all.len()));
}

// Guards against requests that wait for an upstream although all leave.
#[gtest]
#[tokio::test]
async fn requests_are_refused_at_once_if_all_upstreams_leave() {
    let fleet = LimitedFleet::start(2, 2).await;
    for upstream in &fleet.upstreams {
        upstream.say(&[LEAVES]);
    }
    fleet.send_steadily(&[0, 1], 40, TELL_TIME, &route()).await;

    let since = Instant::now();
    let all = fleet.send_steadily(&[0, 1], 40, TELL_TIME, &route()).await;

    for upstream in &fleet.upstreams {
        expect_that!(upstream.runs_since(since), eq(0));
    }
    for ended in &all {
        expect_that!(ended.status, eq(503), "{ended:?}");
        expect_that!(ended.took, le(MAX_REFUSAL_TIME), "{ended:?}");
        expect_that!(ended.retry_after, some(gt(Duration::ZERO)), "{ended:?}");
    }
}

// Guards against one answer putting an upstream away for good.
#[gtest]
#[tokio::test]
async fn an_upstream_that_no_longer_says_it_leaves_is_used_again() {
    let fleet = LimitedFleet::start(4, 2).await;
    fleet.upstreams[0].say(&[LEAVES]);
    fleet
        .send_steadily(&ALL_OF_FOUR, 40, TELL_TIME, &route())
        .await;
    fleet.upstreams[0].say(&[]);

    fleet
        .send_steadily(&ALL_OF_FOUR, 40, RETURN_TIME, &route())
        .await;

    let since = Instant::now();
    fleet
        .send_steadily(&ALL_OF_FOUR, 40, TELL_TIME, &route())
        .await;
    expect_that!(fleet.upstreams[0].runs_since(since), gt(0));
}

// Guards against a new process being taken for the one that left.
#[gtest]
#[tokio::test]
async fn a_new_process_under_the_name_of_one_that_left_is_used() {
    let fleet = LimitedFleet::start(4, 2).await;
    let upstream = &fleet.upstreams[0];
    upstream.say(&[LEAVES]);
    fleet
        .send_steadily(&ALL_OF_FOUR, 40, TELL_TIME, &route())
        .await;

    upstream.say(&[]);
    let report = format!("ready {} 2", upstream.address);
    fleet
        .store
        .write(Stream::Upstreams, &upstream.id, Some(&report));
    within(TELL_TIME, "all know the new process", || {
        fleet.instances.iter().all(|instance| {
            let view = instance.gateway.view();
            let known = view.directory.get(&upstream.id);
            known.is_some_and(|known| known.report.started_at_ms == 2)
        })
    })
    .await;

    let since = Instant::now();
    fleet
        .send_steadily(&ALL_OF_FOUR, 40, TELL_TIME, &route())
        .await;
    expect_that!(upstream.runs_since(since), gt(0));
}

// Guards against values other than 1 putting an upstream away.
#[gtest]
#[tokio::test]
async fn only_a_valid_word_of_leaving_counts() {
    let fleet = LimitedFleet::start(2, 2).await;
    for lines in [
        &["t-leaving: 0"][..],
        &["t-leaving: yes"],
        &["t-leaving: 1", "t-leaving: 0"],
    ] {
        fleet.upstreams[0].say(lines);
        fleet
            .send_steadily(&[0, 1], 40, TELL_TIME / 2, &route())
            .await;
        let since = Instant::now();
        fleet
            .send_steadily(&[0, 1], 40, TELL_TIME / 2, &route())
            .await;
        expect_that!(fleet.upstreams[0].runs_since(since), gt(0), "{lines:?}");
    }
}

/// The time for which an upstream that turns a request away wants nothing.
const ASKED_TIME: Duration = Duration::from_secs(3);
/// Time after an answer in which an instance may still send.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Requests from one instance that the users allow in the rest of the time.
const MOST_IN_SILENCE: usize = 2;
/// What is left of that time a second and a half after it began.
const MIN_LEFT_TIME: Duration = Duration::from_millis(1_500);
const ASKS_SILENCE: &str = "retry-after: 3";

// Guards against requests and probes in the time for which an upstream wants nothing.
#[gtest]
#[tokio::test]
async fn an_upstream_gets_nothing_in_the_time_for_which_it_wants_nothing() {
    let fleet = LimitedFleet::start(1, 4).await;
    fleet.upstreams[0].turn_away(Some(&[ASKS_SILENCE]));
    let began = Instant::now();

    let all = fleet.send_steadily(&[0], 80, ASKED_TIME, &route()).await;

    let first = fleet.upstreams[0].first_arrival_since(began).unwrap();
    let silence = first + REACTION_TIME..first + ASKED_TIME;
    expect_that!(fleet.upstreams[0].arrivals_in(silence), le(MOST_IN_SILENCE));
    expect_that!(served(&all), eq(all.len()));
}

// Guards against each instance asking an upstream that wants nothing.
#[gtest]
#[tokio::test]
async fn instances_are_told_which_upstreams_want_nothing() {
    let fleet = LimitedFleet::start(4, 4).await;
    fleet.upstreams[0].turn_away(Some(&[ASKS_SILENCE]));
    let began = Instant::now();
    fleet.send_steadily(&[0], 80, REACTION_TIME, &route()).await;

    let time = TELL_TIME * 2;
    let all = fleet.send_steadily(&[1, 2, 3], 80, time, &route()).await;

    let first = fleet.upstreams[0].first_arrival_since(began).unwrap();
    let silence = first + REACTION_TIME..first + ASKED_TIME;
    expect_that!(fleet.upstreams[0].arrivals_in(silence), eq(0));
    expect_that!(served(&all), eq(all.len()));
}

// Guards against silence that an upstream asked for being followed by an ejection or a
// trial.
#[gtest]
#[tokio::test]
async fn an_upstream_is_used_in_full_after_the_time() {
    let fleet = LimitedFleet::start(2, 1).await;
    fleet.upstreams[0].turn_away(Some(&["retry-after: 1"]));
    fleet.send_steadily(&[0, 1], 40, TELL_TIME, &route()).await;
    fleet.upstreams[0].turn_away(None);
    sleep(TELL_TIME * 2).await;

    let all = fleet.send_steadily(&[0, 1], 40, TELL_TIME, &route()).await;

    expect_that!(served(&all), eq(all.len()));
}

// Guards against requests that wait for upstreams all of which want nothing, and against
// callers that are asked back too early, too late or all at once.
#[gtest]
#[tokio::test]
async fn requests_are_refused_until_the_first_upstream_wants_them_again() {
    let fleet = LimitedFleet::start(2, 2).await;
    for upstream in &fleet.upstreams {
        upstream.turn_away(Some(&[ASKS_SILENCE]));
    }
    fleet
        .send_steadily(&[0, 1], 40, REACTION_TIME, &route())
        .await;

    let since = Instant::now();
    let all = fleet.send_steadily(&[0, 1], 40, TELL_TIME, &route()).await;

    for upstream in &fleet.upstreams {
        expect_that!(upstream.arrivals_in(since..Instant::now()), eq(0));
    }
    let mut returns = Vec::new();
    for ended in &all {
        expect_that!(ended.status, eq(503), "{ended:?}");
        expect_that!(ended.took, le(MAX_REFUSAL_TIME), "{ended:?}");
        // The time began at most half a second before the first of these requests.
        expect_that!(ended.retry_after, some(ge(MIN_LEFT_TIME)));
        expect_that!(ended.retry_after, some(le(ASKED_TIME + TELL_TIME)));
        returns.extend(ended.retry_after.map(|time| time.as_millis()));
    }
    returns.sort_unstable();
    returns.dedup();
    expect_that!(returns.len(), gt(all.len() / 10));
}

// Guards against a value that is no time putting an upstream away.
#[gtest]
#[tokio::test]
async fn an_invalid_time_keeps_no_upstream_from_being_used() {
    let fleet = LimitedFleet::start(1, 1).await;
    for line in [
        "retry-after: -1",
        "retry-after: NaN",
        "retry-after: Fri, 04 Dec 2099 12:00:00 GMT",
    ] {
        fleet.upstreams[0].turn_away(Some(&[line]));
        let first = fleet.send_steadily(&[0], 10, REACTION_TIME, &route()).await;
        expect_that!(served(&first), eq(0));
        fleet.upstreams[0].turn_away(None);
        // The longest first pause of an ejected upstream.
        sleep(TELL_TIME).await;
        let all = fleet.send_steadily(&[0], 20, TELL_TIME * 2, &route()).await;
        expect_that!(served(&all), gt(0), "{line}");
    }
}

//! Upstreams that name a limit on the rate of their requests. Instances and upstreams
//! talk over loopback, so these tests run on the real clock.

use std::time::Duration;

use chicorywing::decision::manifest::Route;
use chicorywing::decision::rendezvous::weight;
use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use super::fake::{Mode, route};
use super::limited::{LimitedFleet, most_allowed, served};

const ALL_OF_SIX: [usize; 6] = [0, 1, 2, 3, 4, 5];
const PLAY_TIME: Duration = Duration::from_secs(6);
/// Time after which all instances know a limit and the permits of the first seconds are
/// used.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time after a first start in which the instances follow the store to know each other.
const FIRST_START_TIME: Duration = Duration::from_millis(5_500);
/// Time from then on in which those that have not relied on what they know of each other.
const FIRST_START_PLAY_TIME: Duration = Duration::from_millis(3_500);
/// Share of what a limit allows that must be used if there are enough requests.
const MIN_USED_SHARE: f64 = 0.8;
/// Time within which a request that fits nowhere must be refused.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(150);

// Guards against each instance sending to, and probing, a limited upstream as if the
// limit were its own or were none.
#[gtest]
#[tokio::test]
async fn the_fleet_keeps_the_limit_of_an_upstream() {
    let fleet = LimitedFleet::start(6, 8).await;
    fleet.upstreams[0].name_limits(&["1"]);

    let all = fleet
        .send_steadily(&ALL_OF_SIX, 80, PLAY_TIME, &route())
        .await;

    expect_that!(fleet.upstreams[0].most_arrivals(), le(most_allowed(1.0)));
    expect_that!(served(&all), eq(all.len()));
}

// Guards against a limit that only answers to requests name being missed or lifted by
// probes.
#[gtest]
#[tokio::test]
async fn the_fleet_keeps_a_limit_that_probes_do_not_show() {
    let fleet = LimitedFleet::start(6, 8).await;
    fleet.upstreams[0].be_silent_in_probes();
    fleet.upstreams[0].name_limits(&["0.5"]);

    let all = fleet
        .send_steadily(&ALL_OF_SIX, 80, PLAY_TIME, &route())
        .await;

    expect_that!(fleet.upstreams[0].most_arrivals(), le(most_allowed(0.5)));
    expect_that!(served(&all), eq(all.len()));
}

// Guards against equal shares of a limit, most of which go to instances without callers.
#[gtest]
#[tokio::test]
async fn a_limit_is_used_also_if_callers_enter_by_two_instances() {
    let fleet = LimitedFleet::start(6, 8).await;
    for upstream in &fleet.upstreams[..3] {
        upstream.name_limits(&["3"]);
    }
    fleet
        .send_steadily(&[1, 4], 80, SETTLE_TIME, &route())
        .await;

    let since = Instant::now();
    let all = fleet.send_steadily(&[1, 4], 80, PLAY_TIME, &route()).await;

    let allowed = 3.0 * PLAY_TIME.as_secs_f64();
    for upstream in &fleet.upstreams[..3] {
        let runs = u32::try_from(upstream.runs_since(since)).unwrap();
        expect_that!(f64::from(runs), ge(MIN_USED_SHARE * allowed));
        expect_that!(upstream.most_arrivals(), le(most_allowed(3.0)));
    }
    expect_that!(served(&all), eq(all.len()));
}

// Guards against requests that wait for a limited upstream until their deadline, and
// against refusals that all ask their callers back at the same moment.
#[gtest]
#[tokio::test]
async fn what_fits_nowhere_is_refused_at_once_and_asked_back_spread_out() {
    let fleet = LimitedFleet::start(6, 4).await;
    for upstream in &fleet.upstreams {
        upstream.name_limits(&["2"]);
    }
    fleet
        .send_steadily(&ALL_OF_SIX, 40, SETTLE_TIME, &route())
        .await;

    let since = Instant::now();
    let all = fleet
        .send_steadily(&ALL_OF_SIX, 40, PLAY_TIME, &route())
        .await;

    let allowed = 4.0 * 2.0 * PLAY_TIME.as_secs_f64();
    let mut runs = 0;
    for upstream in &fleet.upstreams {
        expect_that!(upstream.most_arrivals(), le(most_allowed(2.0)));
        runs += u32::try_from(upstream.runs_since(since)).unwrap();
    }
    expect_that!(f64::from(runs), ge(MIN_USED_SHARE * allowed));
    let refused: Vec<_> = all.iter().filter(|ended| ended.status != 200).collect();
    let mut retry_times = Vec::new();
    for ended in &refused {
        expect_that!(ended.status, eq(503), "{ended:?}");
        expect_that!(ended.took, le(MAX_REFUSAL_TIME), "{ended:?}");
        retry_times.extend(ended.retry_after.map(|time| time.as_millis()));
    }
    expect_that!(retry_times.len(), eq(refused.len()));
    retry_times.sort_unstable();
    retry_times.dedup();
    expect_that!(retry_times.len(), gt(refused.len() / 10));
}

// Guards against a limit that stays in force after the upstream has stopped naming it.
#[gtest]
#[tokio::test]
async fn a_limit_ends_when_the_upstream_no_longer_names_it() {
    let fleet = LimitedFleet::start(6, 4).await;
    for upstream in &fleet.upstreams {
        upstream.name_limits(&["1"]);
    }
    fleet
        .send_steadily(&ALL_OF_SIX, 40, PLAY_TIME / 2, &route())
        .await;
    for upstream in &fleet.upstreams {
        expect_that!(upstream.most_arrivals(), le(most_allowed(1.0)));
        upstream.name_limits(&[]);
    }

    fleet
        .send_steadily(&ALL_OF_SIX, 40, Duration::from_secs(3), &route())
        .await;

    let all = fleet
        .send_steadily(&ALL_OF_SIX, 40, Duration::from_secs(1), &route())
        .await;
    expect_that!(served(&all), eq(all.len()));
}

// Guards against an instance that has just started using a limited upstream freely.
#[gtest]
#[tokio::test]
async fn an_instance_that_starts_knows_the_limits_before_it_is_ready() {
    let mut fleet = LimitedFleet::start(4, 4).await;
    fleet.upstreams[0].name_limits(&["0.5"]);
    fleet
        .send_steadily(&[0, 1, 2, 3], 40, SETTLE_TIME, &route())
        .await;

    fleet.restart(2).await;
    while !fleet.instances[2].gateway.is_ready() {
        sleep(Duration::from_millis(1)).await;
    }

    let limits = fleet.instances[2].gateway.limits.table().limited();
    expect_that!(limits, eq(1));
}

// Guards against each part of a fleet that is cut into parts using a limit as a whole.
#[gtest]
#[tokio::test]
async fn instances_that_are_cut_off_do_not_use_a_limit_again() {
    let mut fleet = LimitedFleet::start(4, 8).await;
    fleet.add_cut_off(2).await;
    fleet.upstreams[0].name_limits(&["3"]);

    let all = fleet
        .send_steadily(&ALL_OF_SIX, 80, PLAY_TIME, &route())
        .await;

    expect_that!(fleet.upstreams[0].most_arrivals(), le(most_allowed(3.0)));
    expect_that!(served(&all), eq(all.len()));
}

// Guards against a limit that is hardly used for ten seconds after the first start of all
// instances if the store goes away before they have followed it for long enough.
#[gtest]
#[tokio::test]
async fn a_limit_is_used_after_a_first_start_whose_store_goes_away() {
    let fleet = LimitedFleet::start_first(6, 8).await;
    fleet.store.set_mode(Mode::Refusing);
    for upstream in &fleet.upstreams[..3] {
        upstream.name_limits(&["3"]);
    }
    fleet
        .send_steadily(&ALL_OF_SIX, 80, FIRST_START_TIME, &route())
        .await;

    let since = Instant::now();
    let all = fleet
        .send_steadily(&ALL_OF_SIX, 80, FIRST_START_PLAY_TIME, &route())
        .await;

    let allowed = 3.0 * FIRST_START_PLAY_TIME.as_secs_f64();
    for upstream in &fleet.upstreams[..3] {
        let runs = u32::try_from(upstream.runs_since(since)).unwrap();
        expect_that!(f64::from(runs), ge(MIN_USED_SHARE * allowed));
        expect_that!(upstream.most_arrivals(), le(most_allowed(3.0)));
    }
    expect_that!(served(&all), eq(all.len()));
}

// Guards against an instance that starts while the store is away, so that no other one
// knows it, giving out a limit as a whole beside the one that gives it out already.
#[gtest]
#[tokio::test]
async fn an_instance_that_could_not_register_does_not_use_a_limit_again() {
    let mut fleet = LimitedFleet::start(4, 8).await;
    let limited = fleet.upstreams[0].id.clone();
    let unknown = name_that_ranks_first(&limited, 4);
    fleet.store.set_mode(Mode::Refusing);
    fleet.add(&unknown).await;
    fleet.upstreams[0].name_limits(&["10"]);

    let all = fleet
        .send_steadily(&[0, 1, 2, 3, 4, 4, 4, 4], 160, PLAY_TIME, &route())
        .await;

    expect_that!(fleet.upstreams[0].most_arrivals(), le(most_allowed(10.0)));
    expect_that!(served(&all), eq(all.len()));
}

/// A name under which an instance gives out the permits of an upstream, if the others of
/// the fleet know it.
fn name_that_ranks_first(upstream: &str, others: usize) -> String {
    let most = (0..others)
        .map(|number| weight(upstream, &format!("gate-{number}")))
        .max();
    let mut number = others;
    while Some(weight(upstream, &format!("gate-{number}"))) <= most {
        number += 1;
    }
    format!("gate-{number}")
}

// Guards against work being run again, or said not to have run, because the answer of a
// limited upstream was lost.
#[gtest]
#[tokio::test]
async fn a_request_whose_answer_a_limited_upstream_lost_is_not_sent_again() {
    let fleet = LimitedFleet::start(2, 3).await;
    let not_idempotent = Route {
        is_idempotent: false,
        ..route()
    };
    for upstream in &fleet.upstreams {
        upstream.name_limits(&["5"]);
    }
    fleet
        .send_steadily(&[0, 1], 40, SETTLE_TIME, &not_idempotent)
        .await;
    for upstream in &fleet.upstreams {
        upstream.lose_answers();
    }

    let since = Instant::now();
    let all = fleet
        .send_steadily(&[0, 1], 40, SETTLE_TIME, &not_idempotent)
        .await;

    let runs: usize = fleet
        .upstreams
        .iter()
        .map(|upstream| upstream.runs_since(since))
        .sum();
    let unknown = all.iter().filter(|ended| ended.status == 502).count();
    expect_that!(runs, gt(0));
    expect_that!(unknown, eq(runs));
}

//! Upstreams that work longer than the gateway expects, though they are sound. They talk over
//! loopback, so these tests run on the real clock.

use std::sync::Arc;
use std::time::Duration;

use chicorywing::decision::directory::UpstreamState;
use chicorywing::decision::ejection::Evidence;
use chicorywing::decision::manifest::Route;
use chicorywing::gateway::forward::forward;
use chicorywing::gateway::outcome::Outcome;
use chicorywing::gateway::state::Gateway;
use futures::future::join_all;
use googletest::prelude::*;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use super::fake::{
    ALL_READINGS, FakePlatform, FakeStore, call, gateway, gateway_with_waits, manifest, report,
    route, within,
};
use super::hop_faults::Fleet;
use super::upstream::{Behaviour, FakeUpstream};

/// Work of an upstream that is slower than expected: a response is expected after 175 ms, and
/// overdue after 725 ms, with 100 ms more for one of another instance.
const SLOW: Duration = Duration::from_secs(1);
const FAST: Duration = Duration::from_millis(20);
/// Deadline of the requests, in milliseconds.
const TIMEOUT_MS: u64 = 3_000;
/// Time from the begin of a request to its arrival at an upstream.
const ON_THE_WAY: Duration = Duration::from_millis(100);
/// Work that outlasts all requests.
const ENDLESS: Duration = Duration::from_millis(2 * TIMEOUT_MS);
/// Load of an upstream that is not chosen while another has room.
const BUSY: &str = "1,0,2,300";
const IDLE: &str = "0,0,2,100";
/// Time for which an upstream has no room, or the process stands still: responses are overdue.
const FULL_TIME: Duration = Duration::from_millis(1_200);
/// Time for which a service that has turned slow is watched.
const SLOW_TIME: Duration = Duration::from_secs(6);

/// A route whose requests may be sent to `attempts` upstreams.
fn slow_route(attempts: u32) -> Route {
    Route {
        timeout_ms: TIMEOUT_MS,
        attempts,
        ..route()
    }
}

/// A gateway that knows these upstreams, and waits for the readings of all of them.
fn gateway_of(upstreams: &[&FakeUpstream], route: &Route) -> Arc<Gateway<FakePlatform>> {
    let gateway = gateway_with_waits(&FakeStore::new(), ALL_READINGS);
    fill(&gateway, upstreams, route);
    gateway
}

fn fill(gateway: &Gateway<FakePlatform>, upstreams: &[&FakeUpstream], route: &Route) {
    let mut view = gateway.view();
    view.manifest = Some(Arc::new(manifest(1, std::slice::from_ref(route))));
    for upstream in upstreams {
        let report = report(&upstream.id, upstream.address, UpstreamState::Ready);
        view.directory.put(report, 0);
    }
}

fn send(gateway: &Arc<Gateway<FakePlatform>>, route: &Route) -> JoinHandle<Outcome> {
    let gateway = Arc::clone(gateway);
    let request = call(route, "body");
    tokio::spawn(async move { forward(&gateway, &request).await })
}

fn runs(upstreams: &[FakeUpstream]) -> usize {
    upstreams.iter().map(|one| one.runs().len()).sum()
}

fn disconnects(upstreams: &[FakeUpstream]) -> usize {
    upstreams.iter().map(FakeUpstream::disconnects).sum()
}

// Guards against a lookup that is broken off at work, since its response takes longer than the
// gateway expected, while its deadline leaves time for it.
#[gtest]
#[tokio::test]
async fn a_lookup_is_answered_by_an_upstream_slower_than_expected() {
    let slow = FakeUpstream::start("up-1", Behaviour::Serve(SLOW)).await;
    let route = slow_route(1);
    let gateway = gateway_of(&[&slow], &route);

    let outcome = forward(&gateway, &call(&route, "body")).await;

    expect_that!(outcome.status().as_u16(), eq(200));
    expect_that!(slow.runs().len(), eq(1));
    expect_that!(slow.disconnects(), eq(0));
}

// Guards against the same where the request may have another attempt, and nothing takes it.
#[gtest]
#[tokio::test]
async fn a_lookup_that_no_other_upstream_takes_is_answered_by_the_slow_one() {
    let slow = FakeUpstream::start("up-1", Behaviour::Serve(SLOW)).await;
    let full = FakeUpstream::start("up-2", Behaviour::Shed).await;
    full.set_load(BUSY);
    let route = slow_route(2);
    let gateway = gateway_of(&[&slow, &full], &route);

    let outcome = forward(&gateway, &call(&route, "body")).await;

    expect_that!(outcome.status().as_u16(), eq(200));
    expect_that!(slow.disconnects(), eq(0));
}

// Guards against the first response being thrown away, or the slow upstream being broken off
// before another one has answered.
#[gtest]
#[tokio::test]
async fn the_first_of_two_attempts_to_be_answered_counts() {
    for (other, answers) in [(FAST, "up-2"), (ENDLESS, "up-1")] {
        let slow = FakeUpstream::start("up-1", Behaviour::Serve(SLOW * 2)).await;
        let second = FakeUpstream::start("up-2", Behaviour::Serve(other)).await;
        second.set_load(BUSY);
        let route = slow_route(2);
        let gateway = gateway_of(&[&slow, &second], &route);

        let outcome = forward(&gateway, &call(&route, "body")).await;

        let Outcome::Answered(response) = outcome else {
            panic!("{outcome:?}");
        };
        expect_that!(response.headers["t-stamp"].to_str().unwrap(), eq(answers));
        expect_that!(slow.runs().len() + second.runs().len(), eq(2));
    }
}

// Guards against a second run of a request that may run once, or its end while it runs.
#[gtest]
#[tokio::test]
async fn a_booking_at_a_slow_upstream_is_sent_once() {
    let slow = FakeUpstream::start("up-1", Behaviour::Serve(SLOW)).await;
    let idle = FakeUpstream::start("up-2", Behaviour::Serve(FAST)).await;
    idle.set_load(BUSY);
    let route = Route {
        is_idempotent: false,
        ..slow_route(2)
    };
    let gateway = gateway_of(&[&slow, &idle], &route);

    let outcome = forward(&gateway, &call(&route, "body")).await;

    expect_that!(outcome.status().as_u16(), eq(200));
    expect_that!(slow.runs().len() + idle.runs().len(), eq(1));
    expect_that!(slow.disconnects(), eq(0));
}

// Guards against a slow upstream that is preferred again, since its late response counts as if it
// had come in time.
#[gtest]
#[tokio::test]
async fn an_overdue_response_counts_as_one_failure_of_its_upstream() {
    let slow = FakeUpstream::start("up-1", Behaviour::Serve(SLOW)).await;
    let route = slow_route(1);
    let gateway = gateway_of(&[&slow], &route);

    for _ in 0..2 {
        let outcome = forward(&gateway, &call(&route, "body")).await;
        expect_that!(outcome.status().as_u16(), eq(200));
    }

    let report = report(&slow.id, slow.address, UpstreamState::Ready);
    let client = gateway.upstream_clients.get(&report);
    let ejection = client.ejection().clone();
    expect_that!(ejection.needs_trial(), eq(true));
    expect_that!(ejection.is_last_resort(gateway.now_ms()), eq(true));
}

// Guards against attempts beside others beyond the attempts of the route.
#[gtest]
#[tokio::test]
async fn attempts_side_by_side_stay_within_those_of_the_route() {
    let mut upstreams = Vec::new();
    for number in 0..4 {
        upstreams.push(FakeUpstream::start(&format!("up-{number}"), Behaviour::Hang).await);
    }
    let route = slow_route(2);
    let gateway = gateway_of(&upstreams.iter().collect::<Vec<_>>(), &route);

    let outcome = forward(&gateway, &call(&route, "body")).await;

    expect_that!(outcome.status().as_u16(), eq(504));
    expect_that!(runs(&upstreams), eq(2));
}

// Guards against attempts that run on after their caller has left, or another one has been
// answered.
#[gtest]
#[tokio::test]
async fn attempts_end_with_their_request() {
    let mut upstreams = Vec::new();
    for number in 0..2 {
        upstreams.push(FakeUpstream::start(&format!("up-{number}"), Behaviour::Hang).await);
    }
    let route = slow_route(2);
    let gateway = gateway_of(&upstreams.iter().collect::<Vec<_>>(), &route);
    let request = send(&gateway, &route);
    within(SLOW * 2, "both run", || runs(&upstreams) == 2).await;

    request.abort();

    within(SLOW, "both are broken off", || disconnects(&upstreams) == 2).await;
}

// Guards against a service that is served nothing, or refused, once it works longer than it did.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_turns_slow_is_served_on() {
    let mut upstreams = Vec::new();
    for number in 0..6 {
        let id = format!("up-{number}");
        upstreams.push(FakeUpstream::start(&id, Behaviour::Serve(FAST)).await);
    }
    let route = slow_route(2);
    let gateway = gateway(&FakeStore::new());
    fill(&gateway, &upstreams.iter().collect::<Vec<_>>(), &route);
    for _ in 0..50 {
        forward(&gateway, &call(&route, "body")).await;
    }
    for upstream in &upstreams {
        upstream.set_behaviour(Behaviour::Serve(SLOW));
    }

    let until = Instant::now() + SLOW_TIME;
    let callers = (0..3).map(|_| async {
        let mut statuses = Vec::new();
        while Instant::now() < until {
            let outcome = forward(&gateway, &call(&route, "body")).await;
            statuses.push(outcome.status().as_u16());
        }
        statuses
    });
    let statuses = join_all(callers).await.concat();

    expect_that!(statuses.len(), ge(12));
    expect_that!(statuses, each(eq(&200)));
}

// Guards against a lookup at another instance that is broken off after the time in which the
// instance that handed it over expects the answer, also while either of them stops.
#[gtest]
#[tokio::test]
async fn a_lookup_that_another_instance_runs_is_answered_by_a_slow_upstream() {
    for stopping in [None, Some(0), Some(1)] {
        let fleet = Fleet::start(1).await;
        for upstream in &fleet.upstreams {
            upstream.set_behaviour(Behaviour::Serve(SLOW));
        }

        let before = runs(&fleet.upstreams);
        let requests = [(); 3].map(|()| fleet.send(&slow_route(1)));
        within(SLOW, "all run", || runs(&fleet.upstreams) == before + 3).await;
        if let Some(number) = stopping {
            fleet.instances[number].gateway.begin_stop();
        }

        for outcome in join_all(requests).await {
            let status = outcome.unwrap().status().as_u16();
            expect_that!(status, eq(200), "stopping: {stopping:?}");
        }
        expect_that!(
            disconnects(&fleet.upstreams),
            eq(0),
            "stopping: {stopping:?}"
        );
    }
}

// Guards against slow upstreams that are taken for lost links, so that requests are handed to
// another instance although this one reaches all upstreams.
#[gtest]
#[tokio::test]
async fn slow_upstreams_are_not_taken_for_lost_links() {
    let fleet = Fleet::start(2).await;
    let gateway = &fleet.instances[1].gateway;
    for upstream in &fleet.upstreams {
        upstream.set_behaviour(Behaviour::Serve(SLOW * 2));
    }

    let mut requests = Vec::new();
    for _ in 0..12 {
        requests.push(send(gateway, &slow_route(3)));
        sleep(ON_THE_WAY).await;
    }

    for request in requests {
        let outcome = timeout(ENDLESS, request).await.unwrap();
        expect_that!(outcome.unwrap().status().as_u16(), eq(200));
    }
    let metrics = gateway.metrics.text();
    expect_that!(metrics, not(contains_substring("handed_total{")));
    expect_that!(gateway.contact.is_cut_off(), eq(false));
}

// Guards against the next attempt of a handed request going to the upstream at which the first
// one is overdue.
#[gtest]
#[tokio::test]
async fn the_next_attempt_of_a_handed_request_goes_to_another_upstream() {
    let fleet = Fleet::start(2).await;
    for upstream in &fleet.upstreams {
        upstream.set_behaviour(Behaviour::Serve(FAST));
        upstream.set_load(BUSY);
    }
    let hung = &fleet.upstreams[0];
    hung.set_behaviour(Behaviour::Hang);
    hung.set_load(IDLE);
    let before = hung.runs().len();

    let requests = [(); 2].map(|()| fleet.send(&slow_route(2)));

    for outcome in join_all(requests).await {
        expect_that!(outcome.unwrap().status().as_u16(), eq(200));
    }
    let mut ids = Vec::new();
    for head in &hung.runs()[before..] {
        let id = head.lines().find(|line| line.starts_with("t-id")).unwrap();
        expect_that!(ids, not(contains(eq(&id))));
        ids.push(id);
    }
}

// Guards against a usable upstream that has been tried keeping those from use that are only late.
#[gtest]
#[tokio::test]
async fn late_upstreams_are_a_last_resort_if_the_usable_one_has_been_tried() {
    let hung = FakeUpstream::start("up-1", Behaviour::Hang).await;
    let late = FakeUpstream::start("up-2", Behaviour::Serve(FAST)).await;
    let route = slow_route(2);
    let gateway = gateway_of(&[&hung, &late], &route);
    let report = report(&late.id, late.address, UpstreamState::Ready);
    let client = gateway.upstream_clients.get(&report);
    for _ in 0..2 {
        let now_ms = gateway.now_ms();
        client.ejection().on_evidence(Evidence::Overdue, now_ms);
    }

    let outcome = forward(&gateway, &call(&route, "body")).await;

    expect_that!(outcome.status().as_u16(), eq(200));
}

// Guards against the whole response of an upstream being replaced by the gateway's own.
#[gtest]
#[tokio::test]
async fn a_failure_response_is_passed_on_if_the_other_attempt_has_none() {
    let hung = FakeUpstream::start("up-1", Behaviour::Hang).await;
    let failing = FakeUpstream::start("up-2", Behaviour::Fail).await;
    failing.set_load(BUSY);
    let route = slow_route(2);
    let gateway = gateway_of(&[&hung, &failing], &route);

    let outcome = forward(&gateway, &call(&route, "body")).await;

    expect_that!(outcome.status().as_u16(), eq(500));
}

// Guards against a refusal of a request that has run: its first attempt failed after the second
// one had been handed over.
#[gtest]
#[tokio::test]
async fn a_request_that_has_run_beside_a_refused_attempt_is_not_refused() {
    let mut fleet = Fleet::start(2).await;
    for upstream in &fleet.upstreams {
        upstream.set_behaviour(Behaviour::Hang);
    }
    let before = runs(&fleet.upstreams);
    let request = fleet.send(&slow_route(2));
    within(SLOW, "it runs", || runs(&fleet.upstreams) > before).await;
    for upstream in &fleet.upstreams {
        upstream.set_behaviour(Behaviour::Shed);
        upstream.set_probe_delay(Duration::from_millis(50));
    }
    let is_taken = |fleet: &Fleet, number: usize| {
        let taken = &fleet.instances[number].gateway.taken;
        taken.running() > 0
    };
    let (first, second) = if is_taken(&fleet, 1) { (1, 2) } else { (2, 1) };
    within(SLOW * 2, "the second takes it, too", || {
        is_taken(&fleet, second)
    })
    .await;
    drop(fleet.instances.remove(first));

    let outcome = request.await.unwrap();

    expect_that!(outcome.status().as_u16(), eq(502));
}

// Guards against one refusal beside an overdue attempt being final, although room comes soon.
#[gtest]
#[tokio::test]
async fn a_refused_attempt_beside_an_overdue_one_is_made_again() {
    let hung = FakeUpstream::start("up-1", Behaviour::Hang).await;
    let full = FakeUpstream::start("up-2", Behaviour::Serve(FAST)).await;
    full.set_load("2,9,2,300");
    let route = slow_route(2);
    let gateway = gateway_of(&[&hung, &full], &route);

    let request = send(&gateway, &route);
    sleep(FULL_TIME).await;
    full.set_load(IDLE);

    expect_that!(request.await.unwrap().status().as_u16(), eq(200));
}

// Guards against attempts whose responses have come being taken for overdue after a standstill
// of this process.
#[gtest]
#[tokio::test]
async fn a_process_that_stood_still_finds_no_answered_attempt_overdue() {
    let elsewhere = Runtime::new().unwrap();
    let start = FakeUpstream::start("up-1", Behaviour::Serve(ON_THE_WAY));
    let upstream = elsewhere.spawn(start).await.unwrap();
    let route = slow_route(2);
    let gateway = gateway_of(&[&upstream], &route);
    let requests: Vec<_> = (0..10).map(|_| send(&gateway, &route)).collect();
    within(SLOW, "all run", || upstream.runs().len() == 10).await;

    std::thread::sleep(FULL_TIME);

    for request in requests {
        expect_that!(request.await.unwrap().status().as_u16(), eq(200));
    }
    let metrics = gateway.metrics.text();
    expect_that!(metrics, not(contains_substring("overdue_attempts_total{")));
    elsewhere.shutdown_background();
}

//! Requests through a gateway to upstreams that misbehave.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicorywing::decision::directory::UpstreamState;
use chicorywing::decision::manifest::Route;
use chicorywing::gateway::calls::{BodyMemory, BodyShare, Call};
use chicorywing::gateway::forward::forward;
use chicorywing::gateway::outcome::{Outcome, Reason};
use chicorywing::gateway::state::Gateway;
use googletest::prelude::*;
use http::{HeaderMap, HeaderValue, Method};
use tokio::time::{Instant, timeout};

use super::fake::{FakePlatform, FakeStore, gateway, manifest, report, route, within};
use super::upstream::{Act, Upstream};

const NOW: Act = Act::Serve(Duration::ZERO);
const LIMIT: Duration = Duration::from_secs(10);

fn unsafe_route() -> Route {
    Route {
        is_idempotent: false,
        ..route()
    }
}

/// A gateway that knows these upstreams and this route.
pub fn gateway_to(upstreams: &[&Upstream], route: &Route) -> Arc<Gateway<FakePlatform>> {
    let gateway = gateway(&FakeStore::new());
    {
        let mut view = gateway.view();
        view.manifest = Some(Arc::new(manifest(1, std::slice::from_ref(route))));
        for upstream in upstreams {
            let report = report(&upstream.id, upstream.address, UpstreamState::Ready);
            view.directory.put(report, 0);
        }
    }
    gateway
}

pub fn call(route: &Route) -> Call {
    let id = HeaderValue::from_static("call-1");
    let mut headers = HeaderMap::new();
    headers.insert("t-id", id.clone());
    let arrived = Instant::now();
    Call {
        id: Some(id),
        method: Method::POST,
        target: "/path?query".to_owned(),
        headers,
        body: Bytes::from_static(b"body"),
        share: BodyShare::new(&BodyMemory::new(1_000)),
        route: Arc::new(route.clone()),
        version: 1,
        arrived,
        deadline: arrived + Duration::from_millis(route.timeout_ms),
    }
}

fn reason(outcome: &Outcome) -> Option<Reason> {
    match outcome {
        Outcome::Own { reason, .. } => Some(*reason),
        Outcome::Answered(_) => None,
    }
}

fn body(outcome: &Outcome) -> &[u8] {
    match outcome {
        Outcome::Answered(answer) => &answer.body,
        Outcome::Own { .. } => b"",
    }
}

#[gtest]
#[tokio::test]
async fn a_request_reaches_the_upstream_unchanged() {
    let upstream = Upstream::start("up-1", NOW).await;
    let gateway = gateway_to(&[&upstream], &route());

    let outcome = forward(&gateway, &call(&route())).await;

    expect_that!(body(&outcome), eq(b"good"));
    let head = upstream.runs().pop().unwrap();
    expect_that!(head, starts_with("POST /path?query HTTP/1.1\r\n"));
    expect_that!(head, contains_substring("t-id: call-1\r\n"));
    expect_that!(head, contains_substring("t-expected: up-1\r\n"));
    expect_that!(head, ends_with("\r\n\r\nbody"));
}

#[gtest]
#[tokio::test]
async fn work_goes_where_it_is_done_soonest_at_the_moment_of_sending() {
    let slow = Upstream::start("slow", NOW).await;
    let busy = Upstream::start("busy", NOW).await;
    let fast = Upstream::start("fast", NOW).await;
    slow.set_load("0,0,2,900");
    busy.set_load("2,1,2,100");
    let gateway = gateway_to(&[&slow, &busy, &fast], &route());

    for _ in 0..10 {
        forward(&gateway, &call(&route())).await;
    }

    expect_that!(fast.runs().len(), eq(10));
}

#[gtest]
#[tokio::test]
async fn a_refused_request_runs_elsewhere_also_if_it_may_run_once_only() {
    for act in [Act::Shed, Act::Misdirect] {
        let full = Upstream::start("full", act).await;
        let free = Upstream::start("free", NOW).await;
        free.set_load("1,0,2,100");
        let route = unsafe_route();
        let gateway = gateway_to(&[&full, &free], &route);

        let outcome = forward(&gateway, &call(&route)).await;

        expect_that!(body(&outcome), eq(b"good"));
        expect_that!(full.runs().len(), eq(1));
        expect_that!(free.runs().len(), eq(1));
    }
}

#[gtest]
#[tokio::test]
async fn a_request_that_all_refuse_is_told_to_have_not_run() {
    let one = Upstream::start("one", Act::Shed).await;
    let two = Upstream::start("two", Act::Shed).await;
    let route = unsafe_route();
    let gateway = gateway_to(&[&one, &two], &route);

    let outcome = forward(&gateway, &call(&route)).await;

    let Outcome::Own {
        reason,
        return_after,
    } = outcome
    else {
        panic!("{outcome:?}");
    };
    expect_that!(reason, eq(Reason::Refused));
    expect_that!(reason.status().as_u16(), eq(503));
    expect_that!(return_after.is_some(), eq(true));
    expect_that!(
        one.runs().len() + two.runs().len(),
        eq(2),
        "the route's attempts"
    );
}

#[gtest]
#[tokio::test]
async fn what_may_run_once_only_is_not_repeated_once_it_may_have_run() {
    for act in [
        Act::Reset,
        Act::Truncate,
        Act::Unstamped,
        Act::Fail,
        Act::Hang,
    ] {
        let bad = Upstream::start("bad", act).await;
        let good = Upstream::start("good", NOW).await;
        good.set_load("1,0,2,100");
        let mut route = unsafe_route();
        route.timeout_ms = 300;
        let gateway = gateway_to(&[&bad, &good], &route);

        let outcome = forward(&gateway, &call(&route)).await;

        expect_that!(bad.runs().len(), eq(1), "{act:?}");
        expect_that!(good.runs().len(), eq(0), "{act:?}");
        let status = outcome.status().as_u16();
        expect_that!(
            [500, 502, 504].contains(&status),
            eq(true),
            "{act:?}: {status}"
        );
    }
}

#[gtest]
#[tokio::test]
async fn what_may_be_repeated_is_served_by_another() {
    for act in [
        Act::Reset,
        Act::Truncate,
        Act::Unstamped,
        Act::Fail,
        Act::Hang,
    ] {
        let bad = Upstream::start("bad", act).await;
        let good = Upstream::start("good", NOW).await;
        good.set_load("1,0,2,100");
        let gateway = gateway_to(&[&bad, &good], &route());

        let outcome = forward(&gateway, &call(&route())).await;

        expect_that!(body(&outcome), eq(b"good"), "{act:?}");
        expect_that!(bad.runs().len(), eq(1), "{act:?}");
    }
}

#[gtest]
#[tokio::test]
async fn a_repeat_that_finds_no_upstream_leaves_the_first_answer() {
    let bad = Upstream::start("bad", Act::Fail).await;
    let gateway = gateway_to(&[&bad], &route());

    let outcome = forward(&gateway, &call(&route())).await;

    expect_that!(outcome.status().as_u16(), eq(500));
    expect_that!(body(&outcome), eq(b"bad"));
}

#[gtest]
#[tokio::test]
async fn a_stray_answer_is_never_passed_on() {
    let upstream = Upstream::start("up-1", Act::Stray).await;
    let gateway = gateway_to(&[&upstream], &unsafe_route());

    for _ in 0..3 {
        let outcome = forward(&gateway, &call(&unsafe_route())).await;
        expect_that!(body(&outcome), eq(b"good"));
    }
}

#[gtest]
#[tokio::test]
async fn a_request_ends_at_its_timeout_and_its_upstream_is_told() {
    let upstream = Upstream::start("up-1", Act::Hang).await;
    let mut route = unsafe_route();
    route.timeout_ms = 200;
    let gateway = gateway_to(&[&upstream], &route);
    let began = Instant::now();

    let outcome = forward(&gateway, &call(&route)).await;

    expect_that!(reason(&outcome), some(eq(Reason::Late)));
    expect_that!(began.elapsed(), lt(Duration::from_millis(700)));
    within(LIMIT, "its connection is closed", || upstream.closed() == 1).await;
}

#[gtest]
#[tokio::test]
async fn a_caller_that_leaves_ends_its_run() {
    let upstream = Upstream::start("up-1", Act::Hang).await;
    let gateway = gateway_to(&[&upstream], &route());
    let call = call(&route());

    let left = timeout(Duration::from_millis(150), forward(&gateway, &call)).await;

    expect_that!(left.is_err(), eq(true));
    let bound = Duration::from_millis(500);
    within(bound, "its connection is closed", || upstream.closed() == 1).await;
}

#[gtest]
#[tokio::test]
async fn nothing_is_sent_to_an_upstream_that_left_during_the_probe() {
    let upstream = Upstream::start("up-1", NOW).await;
    let gateway = gateway_to(&[&upstream], &route());
    let report = report("up-1", upstream.address, UpstreamState::Draining);
    upstream.set_probe_time(Duration::from_millis(100));
    let pending = {
        let gateway = Arc::clone(&gateway);
        tokio::spawn(async move { forward(&gateway, &call(&route())).await })
    };
    within(LIMIT, "it is asked", || upstream.probes() == 1).await;

    gateway.view().directory.put(report, 0);
    let outcome = pending.await.unwrap();

    expect_that!(reason(&outcome), some(eq(Reason::NoUpstream)));
    expect_that!(upstream.runs().len(), eq(0));
}

#[gtest]
#[tokio::test]
async fn full_upstreams_are_not_given_what_they_cannot_queue() {
    let full = Upstream::start("full", NOW).await;
    full.set_load("2,4,2,100");
    let gateway = gateway_to(&[&full], &unsafe_route());
    let began = Instant::now();

    let outcome = forward(&gateway, &call(&unsafe_route())).await;

    expect_that!(reason(&outcome), some(eq(Reason::NoRoom)));
    expect_that!(full.runs().len(), eq(0));
    expect_that!(
        began.elapsed(),
        lt(Duration::from_millis(400)),
        "refused at once"
    );
}

/// How many of five requests reach an upstream that tells this cold time.
async fn runs_at_cold(cold_ms: &str) -> usize {
    let cold = Upstream::start("cold", NOW).await;
    cold.set_cold(cold_ms);
    let gateway = gateway_to(&[&cold], &unsafe_route());
    let mut refused = 0;
    for _ in 0..5 {
        let outcome = forward(&gateway, &call(&unsafe_route())).await;
        refused += usize::from(reason(&outcome) == Some(Reason::NoRoom));
    }
    assert_eq!(cold.runs().len() + refused, 5);
    cold.runs().len()
}

#[gtest]
#[tokio::test]
async fn a_cold_upstream_gets_one_request_in_its_interval() {
    expect_that!(runs_at_cold("3000").await, eq(1));
    expect_that!(runs_at_cold("0").await, eq(5));
}

#[gtest]
#[tokio::test]
async fn an_upstream_whose_cold_time_cannot_be_read_counts_as_cold() {
    expect_that!(runs_at_cold("soon").await, eq(1));
}

#[gtest]
#[tokio::test]
async fn an_upstream_that_refuses_connections_is_left_alone_for_a_while() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut gone = Upstream::start("gone", NOW).await;
    gone.address = listener.local_addr().unwrap();
    drop(listener);
    let good = Upstream::start("good", NOW).await;
    let gateway = gateway_to(&[&gone, &good], &unsafe_route());

    for _ in 0..5 {
        let outcome = forward(&gateway, &call(&unsafe_route())).await;
        expect_that!(body(&outcome), eq(b"good"));
    }

    expect_that!(gateway.metrics.probes_failed.get(), le(2));
}

#[gtest]
#[tokio::test]
async fn one_connection_carries_probe_and_request() {
    let upstream = Upstream::start("up-1", NOW).await;
    let gateway = gateway_to(&[&upstream], &route());

    for _ in 0..5 {
        forward(&gateway, &call(&route())).await;
    }

    expect_that!(upstream.probes(), eq(5));
    expect_that!(gateway.metrics.connections_opened.get(), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_request_does_not_take_a_connection_that_its_upstream_closes() {
    let upstream = Upstream::start("up-1", NOW).await;
    upstream.close_after_probes();
    let gateway = gateway_to(&[&upstream], &unsafe_route());

    for _ in 0..5 {
        let outcome = forward(&gateway, &call(&unsafe_route())).await;
        expect_that!(body(&outcome), eq(b"good"));
    }
}

#[gtest]
#[tokio::test]
async fn a_silent_upstream_holds_a_request_for_moments_only() {
    let silent = Upstream::start("silent", NOW).await;
    silent.set_probe_time(Duration::from_mins(1));
    let good = Upstream::start("good", NOW).await;

    for _ in 0..8 {
        let gateway = gateway_to(&[&silent, &good], &unsafe_route());
        let began = Instant::now();
        let outcome = forward(&gateway, &call(&unsafe_route())).await;
        expect_that!(body(&outcome), eq(b"good"));
        expect_that!(began.elapsed(), lt(Duration::from_millis(200)));
    }
}

#[gtest]
#[tokio::test]
async fn an_upstream_whose_entry_lapsed_gets_work_only_while_it_calls_itself_well() {
    let leaving = Upstream::start("leaving", NOW).await;
    leaving.call_itself_ill();
    let living = Upstream::start("living", NOW).await;
    let gateway = gateway_to(&[&leaving, &living], &unsafe_route());
    for id in ["leaving", "living"] {
        gateway.view().directory.remove(id, true, gateway.now_ms());
    }
    // So that the one that leaves would be the better choice.
    living.set_load("2,0,2,900");

    for _ in 0..10 {
        forward(&gateway, &call(&unsafe_route())).await;
    }

    expect_that!(leaving.runs().len(), eq(0));
}

//! Responses that come without end: their bounds are the memory of the instance and
//! the time of the caller.

use std::sync::Arc;
use std::time::Duration;

use chicorywing::decision::directory::UpstreamState;
use chicorywing::decision::manifest::Route;
use chicorywing::gateway::forward::forward;
use chicorywing::gateway::settings::Settings;
use chicorywing::gateway::state::Gateway;
use futures::future::join_all;
use googletest::prelude::*;
use tokio::time::Instant;

use super::call_forwarding::call;
use super::fake::{FakePlatform, FakeStore, manifest, report, route, settings};
use super::upstream::{Behaviour, FakeUpstream};

const MEMORY_LIMIT_MB: u64 = 160;
/// Time after the deadline by which the caller must have the final answer.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(500);

/// A gateway with a memory limit that knows these upstreams and this route.
fn gateway_to(upstreams: &[&FakeUpstream], route: &Route) -> Arc<Gateway<FakePlatform>> {
    let settings = Settings {
        memory_limit_mb: MEMORY_LIMIT_MB,
        ..settings("gate-1", ([127, 0, 0, 1], 1).into(), &[])
    };
    let gateway = Gateway::new(FakePlatform::new(&FakeStore::new()), settings);
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

fn non_idempotent_route() -> Route {
    Route {
        is_idempotent: false,
        ..route()
    }
}

/// Forwards requests to an upstream that never ends its responses, and checks that
/// each gets its final answer in time. Returns the most bytes that were taken
/// from the upstream at one time.
async fn peak_bytes_taken(behaviour: Behaviour, requests: usize) -> usize {
    let upstream = FakeUpstream::start("up-1", behaviour).await;
    upstream.set_load("0,0,100,100");
    let route = non_idempotent_route();
    let gateway = gateway_to(&[&upstream], &route);
    let began = Instant::now();

    let calls: Vec<_> = (0..requests).map(|_| call(&route)).collect();
    let outcomes = join_all(calls.iter().map(|call| forward(&gateway, call))).await;

    let limit = Duration::from_millis(route.timeout_ms) + ANSWER_TOLERANCE;
    expect_that!(began.elapsed(), lt(limit));
    let statuses = outcomes.iter().map(|outcome| outcome.status().as_u16());
    expect_that!(
        statuses.collect::<Vec<_>>(),
        each(any!(eq(&502), eq(&503), eq(&504)))
    );
    upstream.peak_bytes_held()
}

// Guards against bodies without end filling the instance's memory.
#[gtest]
#[tokio::test]
async fn endless_bodies_take_no_more_than_the_memory_limit() {
    let limit = usize::try_from(MEMORY_LIMIT_MB).unwrap() << 20;

    expect_that!(
        peak_bytes_taken(Behaviour::EndlessBody, 12).await,
        lt(limit)
    );
    let unframed = peak_bytes_taken(Behaviour::EndlessUnframedBody, 12).await;
    expect_that!(unframed, lt(limit));
}

// Guards against heads, interim responses and trailers without end.
#[gtest]
#[tokio::test]
async fn endless_heads_and_trailers_end_early() {
    for behaviour in [
        Behaviour::EndlessHead,
        Behaviour::EndlessInterimResponses,
        Behaviour::EndlessTrailers,
    ] {
        let began = Instant::now();

        peak_bytes_taken(behaviour, 1).await;

        // Nothing is gained by waiting for the caller's deadline.
        expect_that!(began.elapsed(), lt(Duration::from_secs(1)), "{behaviour:?}");
    }
}

// Guards against endless responses using up the memory of ordinary ones.
#[gtest]
#[tokio::test]
async fn ordinary_responses_fit_beside_endless_ones() {
    let endless = FakeUpstream::start("up-1", Behaviour::EndlessBody).await;
    let ordinary = FakeUpstream::start("up-2", Behaviour::Serve(Duration::ZERO)).await;
    let endless_route = non_idempotent_route();
    let gateway = gateway_to(&[&endless], &endless_route);
    endless.set_load("0,0,100,100");
    let calls: Vec<_> = (0..8).map(|_| call(&endless_route)).collect();
    let hogs = join_all(calls.iter().map(|call| forward(&gateway, call)));

    let meanwhile = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        {
            let mut view = gateway.view();
            let report = report(&ordinary.id, ordinary.address, UpstreamState::Ready);
            view.directory.remove("up-1", false, 0);
            view.directory.put(report, 0);
        }
        let mut served = 0;
        for _ in 0..20 {
            let outcome = forward(&gateway, &call(&endless_route)).await;
            served += usize::from(outcome.status().as_u16() == 200);
        }
        served
    };
    let (_, served) = tokio::join!(hogs, meanwhile);

    expect_that!(served, eq(20));
}

//! Upstreams that run a request and fail it with a status that tells callers it has not run:
//! 408, 429 and 503 without the header by which a rejection says so.

use std::time::Duration;

use bytes::Bytes;
use chicorywing::connection::response_memory::ResponseMemory;
use chicorywing::decision::directory::UpstreamState;
use chicorywing::decision::manifest::Route;
use chicorywing::gateway::forward::forward;
use chicorywing::gateway::handed::HandedEnd;
use chicorywing::gateway::outcome::Outcome;
use googletest::prelude::*;
use http::StatusCode;

use super::call_forwarding::{call, gateway_to};
use super::fake::{report, route};
use super::scripted::{Ending, SCRIPTED_ID, Script, ScriptedUpstream};
use super::upstream::{Behaviour, FakeUpstream};

/// Statuses by which a caller knows that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

fn non_idempotent_route() -> Route {
    Route {
        is_idempotent: false,
        ..route()
    }
}

/// Sends a non-idempotent request to an upstream that answers with `head`, a status line and
/// headers, and `body`; returns the outcome and the number of runs.
async fn send_to_scripted(head: &'static str, body: &'static str) -> (Outcome, usize) {
    let upstream = ScriptedUpstream::start(move |received| {
        let id = received.id;
        let bytes = format!("HTTP/1.1 {head}\r\nt-id: {id}\r\n\r\n{body}");
        Script::at_once(bytes, Ending::Keep)
    })
    .await;
    let gateway = gateway_to(&[], &non_idempotent_route());
    let report = report(SCRIPTED_ID, upstream.address, UpstreamState::Ready);
    gateway.view().directory.put(report, 0);

    let outcome = forward(&gateway, &call(&non_idempotent_route())).await;

    (outcome, upstream.received())
}

// Guards against a second run by a caller that trusts a status which says that its request has
// not run.
#[gtest]
#[tokio::test]
async fn a_failed_run_is_never_answered_as_not_run() {
    let forms = [
        ("503 F\r\nt-stamp: scripted\r\ncontent-length: 3", "bad"),
        ("503 F\r\ncontent-length: 3", "bad"),
        (
            "503 F\r\nt-stamp: scripted\r\nretry-after: 1\r\ncontent-length: 3",
            "bad",
        ),
        (
            "503 F\r\nt-stamp: scripted\r\nt-leaving: 1\r\ncontent-length: 3",
            "bad",
        ),
        (
            "429 F\r\nt-stamp: scripted\r\nretry-after: 1\r\ncontent-length: 3",
            "bad",
        ),
        (
            "408 F\r\nt-stamp: scripted\r\ntransfer-encoding: chunked",
            "3\r\nbad\r\n0\r\n\r\n",
        ),
    ];
    for (head, body) in forms {
        let (outcome, runs) = send_to_scripted(head, body).await;

        expect_that!(runs, eq(1), "{head}");
        expect_that!(outcome.status().as_u16(), eq(502), "{head}");
        // A stamp on another status than the upstream's would be forged.
        expect_that!(
            matches!(outcome, Outcome::GatewayError { .. }),
            eq(true),
            "{head}"
        );
    }
}

// Guards against the opposite: a rejection that the caller may repeat being hidden from it.
#[gtest]
#[tokio::test]
async fn a_rejection_is_still_answered_as_not_run() {
    for head in [
        "503 Full\r\nt-not-run: 1\r\ncontent-length: 0",
        "429 Full\r\nt-not-run: 1\r\ncontent-length: 0",
        "421 Other\r\ncontent-length: 0",
    ] {
        let (outcome, _) = send_to_scripted(head, "").await;

        expect_that!(outcome.status().as_u16(), eq(503), "{head}");
    }
}

// Guards against statuses being replaced that promise nothing.
#[gtest]
#[tokio::test]
async fn other_failures_are_passed_on_unchanged() {
    for (head, status) in [
        ("500 F\r\nt-stamp: scripted\r\ncontent-length: 3", 500),
        ("504 F\r\nt-stamp: scripted\r\ncontent-length: 3", 504),
        ("404 F\r\nt-stamp: scripted\r\ncontent-length: 3", 404),
        ("409 F\r\nt-stamp: scripted\r\ncontent-length: 3", 409),
    ] {
        let (outcome, _) = send_to_scripted(head, "bad").await;

        let Outcome::Answered(response) = outcome else {
            panic!("{head}: {outcome:?}");
        };
        expect_that!(response.status.as_u16(), eq(status));
        expect_that!(&response.body[..], eq(b"bad"));
    }
}

// Guards against lookups that fail although another upstream has room.
#[gtest]
#[tokio::test]
async fn a_lookup_whose_run_failed_is_served_by_another_upstream() {
    for status in [408, 429, 503] {
        let failing = FakeUpstream::start("up-1", Behaviour::FailWith(status)).await;
        let sound = FakeUpstream::start("up-2", Behaviour::Serve(Duration::ZERO)).await;
        sound.set_load("1,0,2,100");
        let gateway = gateway_to(&[&failing, &sound], &route());

        let outcome = forward(&gateway, &call(&route())).await;

        expect_that!(outcome.status().as_u16(), eq(200), "{status}");
        expect_that!(failing.runs().len(), eq(1), "{status}");
    }
}

// Guards against such an answer from an instance of an earlier build, which passes it on.
#[gtest]
fn a_handed_answer_is_checked_by_the_instance_of_the_caller_too() {
    for status in NOT_RUN_STATUSES {
        let end = HandedEnd::Response {
            status,
            headers: vec![("t-stamp".to_owned(), b"up-1".to_vec())],
            body: Bytes::from_static(b"bad"),
        };

        let outcome = end.into_outcome(&ResponseMemory::new(1_000)).unwrap();

        expect_that!(outcome.status(), eq(StatusCode::BAD_GATEWAY), "{status}");
    }
}

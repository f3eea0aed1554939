//! The HTTP client for upstreams sends each attempt at most once and never returns
//! a partial response as a result.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use chicorywing::connection::upstream::{
    AttemptEnd, AttemptLimits, AttemptReport, UpstreamClients,
};
use chicorywing::process::lifecycle::Signal;
use chicorywing::request::attempt::Attempt;
use chicorywing::request::body::Body;
use chicorywing::request::call::Call;
use chicorywing::request::outcome::Outcome;
use chicorywing::version::objects::TierKind;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Serves the given raw responses, one per request, and counts the requests.
async fn serve(responses: Vec<&'static str>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_one(stream, responses.clone(), Arc::clone(&counted)));
        }
    });
    (address, count)
}

async fn serve_one(mut stream: TcpStream, responses: Vec<&'static str>, count: Arc<AtomicUsize>) {
    let mut buffer = vec![0; 4096];
    loop {
        match stream.read(&mut buffer).await {
            Ok(length) if length > 0 => {}
            _ => return,
        }
        let number = count.fetch_add(1, Ordering::SeqCst);
        let response = responses.get(number).copied().unwrap_or_default();
        // An empty response closes the connection.
        if response.is_empty() || stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn call(is_idempotent: bool) -> Arc<Call> {
    Arc::new(Call {
        id: "id".into(),
        service: "s".into(),
        organisation: "o".into(),
        tier: TierKind::Paying,
        method: "POST".into(),
        path: "/x".into(),
        headers: Vec::new(),
        body: Body::default(),
        key: None,
        is_idempotent,
        depth: 0,
        remaining_us: 0,
        avoid: None,
    })
}

async fn run(
    upstreams: &UpstreamClients,
    address: SocketAddr,
    is_idempotent: bool,
) -> AttemptReport {
    let soon = Instant::now() + Duration::from_secs(2);
    let limits = AttemptLimits {
        deadline: soon + Duration::from_secs(1),
        run_deadline: soon,
        body_limit_bytes: 100,
        needs_new_connection: false,
    };
    let attempt = Attempt::new(call(is_idempotent));
    upstreams
        .run(&"up".into(), address, attempt, "context", limits)
        .await
}

const GOOD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// An HTTP client may retry a request when a reused connection is closed; that
/// could run a call twice that is not idempotent.
#[gtest]
#[tokio::test]
async fn reset_on_a_reused_connection_is_not_retried_and_ends_unknown() {
    let (address, count) = serve(vec![GOOD, "", GOOD]).await;
    let upstreams = UpstreamClients::default();
    run(&upstreams, address, false).await;

    let report = run(&upstreams, address, false).await;

    expect_that!(count.load(Ordering::SeqCst), eq(2));
    expect_that!(report.signal, eq(Signal::Reset));
    let is_unknown = matches!(report.end, AttemptEnd::Done(Outcome::Unknown { .. }));
    expect_that!(is_unknown, eq(true));
}

#[gtest]
#[tokio::test]
async fn redirects_are_returned_and_not_followed() {
    let redirect = "HTTP/1.1 307 x\r\nlocation: /y\r\ncontent-length: 0\r\n\r\n";
    let (address, count) = serve(vec![redirect, GOOD]).await;

    let report = run(&UpstreamClients::default(), address, false).await;

    expect_that!(count.load(Ordering::SeqCst), eq(1));
    let is_result =
        matches!(&report.end, AttemptEnd::Done(Outcome::Result(answer)) if answer.status == 307);
    expect_that!(is_result, eq(true));
}

#[gtest]
#[tokio::test]
async fn truncated_response_is_not_a_result() {
    let short = "HTTP/1.1 200 OK\r\ncontent-length: 50\r\nconnection: close\r\n\r\nonly this";
    for is_idempotent in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = vec![0; 4096];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(short.as_bytes()).await;
        });

        let report = run(&UpstreamClients::default(), address, is_idempotent).await;

        let is_result = matches!(report.end, AttemptEnd::Done(Outcome::Result(_)));
        expect_that!(is_result, eq(false));
    }
}

#[gtest]
#[tokio::test]
async fn oversized_response_ends_unknown() {
    let large = "HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n\
        xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx";
    let (address, _) = serve(vec![large]).await;

    let report = run(&UpstreamClients::default(), address, false).await;

    let is_unknown = matches!(report.end, AttemptEnd::Done(Outcome::Unknown { .. }));
    expect_that!(is_unknown, eq(true));
}

#[gtest]
#[tokio::test]
async fn refused_connection_reports_not_started() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);

    let report = run(&UpstreamClients::default(), address, false).await;

    expect_that!(report.signal, eq(Signal::ConnectFailed));
    expect_that!(matches!(report.end, AttemptEnd::NotStarted(_)), eq(true));
}

// Guards against a second copy of an earlier answer, late on a connection that is in use
// again, reaching the next caller.
#[gtest]
#[tokio::test]
async fn an_answer_to_another_call_is_not_a_result() {
    let (address, _) = serve(vec![
        "HTTP/1.1 200 OK\r\nchicorywing-call-id: other\r\ncontent-length: 5\r\n\r\nwrong",
    ])
    .await;

    let report = run(&UpstreamClients::default(), address, false).await;

    expect_that!(report.signal, eq(Signal::ServerError));
    let is_unknown = matches!(report.end, AttemptEnd::Done(Outcome::Unknown { .. }));
    expect_that!(is_unknown, eq(true));
}

//! Callers' connections through the life of a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicorywing::decision::directory::UpstreamState;
use chicorywing::gateway::server::{Callers, serve_callers, serve_ready};
use chicorywing::gateway::state::Gateway;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use super::fake::{FakePlatform, FakeStore, gateway, manifest, report, route, settings, within};
use super::upstream::{Act, Upstream};

const LIMIT: Duration = Duration::from_secs(10);
const GET: &str = "GET /x HTTP/1.1\r\nhost: h.example\r\nt-id: i-1\r\n\r\n";

struct Served {
    gateway: Arc<Gateway<FakePlatform>>,
    callers: Arc<Callers>,
    address: SocketAddr,
    close: watch::Sender<bool>,
}

async fn serve(upstream: &Upstream) -> Served {
    let gateway = gateway(&FakeStore::new());
    {
        let mut view = gateway.view();
        view.manifest = Some(Arc::new(manifest(1, &[route()])));
        let report = report(&upstream.id, upstream.address, UpstreamState::Ready);
        view.directory.put(report, 0);
    }
    serve_by(gateway).await
}

async fn serve_by(gateway: Arc<Gateway<FakePlatform>>) -> Served {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let callers = Arc::new(Callers::default());
    let (close, closing) = watch::channel(false);
    let serving = serve_callers(
        listener,
        Arc::clone(&gateway),
        Arc::clone(&callers),
        closing,
    );
    tokio::spawn(serving);
    Served {
        gateway,
        callers,
        address,
        close,
    }
}

async fn ask(stream: &mut TcpStream, request: &str) -> String {
    stream.write_all(request.as_bytes()).await.unwrap();
    read_answer(stream).await
}

/// Reads until the body of an answer has come, or the connection has ended.
async fn read_answer(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut bytes = [0; 4_096];
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            if length.is_some_and(|length| body.len() >= length.parse().unwrap()) {
                return text;
            }
        }
        let read = timeout(LIMIT, stream.read(&mut bytes)).await.unwrap();
        match read {
            Ok(0) | Err(_) => return text,
            Ok(count) => text.push_str(&String::from_utf8_lossy(&bytes[..count])),
        }
    }
}

#[gtest]
#[tokio::test]
async fn answers_carry_the_request_id_and_own_failures_do_not_look_like_answers() {
    let upstream = Upstream::start("up-1", Act::Serve(Duration::ZERO)).await;
    let served = serve(&upstream).await;
    let mut stream = TcpStream::connect(served.address).await.unwrap();

    let good = ask(&mut stream, GET).await;
    let unknown = ask(&mut stream, &GET.replace("h.example", "x.example")).await;

    expect_that!(good, starts_with("HTTP/1.1 200"));
    expect_that!(good, contains_substring("t-id: i-1\r\n"));
    expect_that!(good, contains_substring("t-stamp: up-1\r\n"));
    expect_that!(unknown, starts_with("HTTP/1.1 404"));
    expect_that!(unknown, contains_substring("t-id: i-1\r\n"));
    expect_that!(unknown, not(contains_substring("t-stamp")));
}

#[gtest]
#[tokio::test]
async fn before_the_first_version_nothing_is_denied() {
    let served = serve_by(gateway(&FakeStore::new())).await;
    let mut stream = TcpStream::connect(served.address).await.unwrap();

    let answer = ask(&mut stream, GET).await;

    expect_that!(answer, starts_with("HTTP/1.1 503"));
    expect_that!(answer, contains_substring("retry-after: 0.3"));
}

#[gtest]
#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let upstream = Upstream::start("up-1", Act::Serve(Duration::ZERO)).await;
    let served = serve(&upstream).await;
    let mut stream = TcpStream::connect(served.address).await.unwrap();

    let head = "POST /x HTTP/1.1\r\nhost: h.example\r\nt-id: i\r\ncontent-length: 70000\r\n\r\n";
    let answer = ask(&mut stream, &format!("{head}{}", "x".repeat(70_000))).await;

    expect_that!(answer, starts_with("HTTP/1.1 413"));
    expect_that!(upstream.runs().len(), eq(0));
}

#[gtest]
#[tokio::test]
async fn a_body_in_chunks_reaches_the_upstream_whole() {
    let upstream = Upstream::start("up-1", Act::Serve(Duration::ZERO)).await;
    let served = serve(&upstream).await;
    let mut stream = TcpStream::connect(served.address).await.unwrap();

    let request = "POST /x HTTP/1.1\r\nhost: h.example\r\nt-id: i\r\n\
                   transfer-encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n";
    ask(&mut stream, request).await;

    let run = upstream.runs().pop().unwrap();
    expect_that!(run, ends_with("\r\n\r\nabcde"));
    expect_that!(run, contains_substring("content-length: 5\r\n"));
    expect_that!(run, not(contains_substring("transfer-encoding")));
}

#[gtest]
#[tokio::test]
async fn a_caller_that_closes_ends_its_run_at_the_upstream() {
    let upstream = Upstream::start("up-1", Act::Hang).await;
    let served = serve(&upstream).await;
    let mut stream = TcpStream::connect(served.address).await.unwrap();
    stream.write_all(GET.as_bytes()).await.unwrap();
    within(LIMIT, "it runs", || upstream.runs().len() == 1).await;

    drop(stream);

    let bound = Duration::from_millis(500);
    within(bound, "its connection is closed", || upstream.closed() == 1).await;
    within(bound, "it is forgotten", || served.callers.in_flight() == 0).await;
}

#[gtest]
#[tokio::test]
async fn a_stop_finishes_what_runs_and_closes_idle_connections() {
    let upstream = Upstream::start("up-1", Act::Serve(Duration::from_millis(400))).await;
    let served = serve(&upstream).await;
    let mut idle = TcpStream::connect(served.address).await.unwrap();
    let mut busy = TcpStream::connect(served.address).await.unwrap();
    ask(&mut idle, GET).await;
    busy.write_all(GET.as_bytes()).await.unwrap();
    within(LIMIT, "it runs", || upstream.runs().len() == 2).await;

    served.gateway.begin_stop();
    served.close.send_replace(true);
    let answer = read_answer(&mut busy).await;
    let end = read_answer(&mut idle).await;

    expect_that!(answer, starts_with("HTTP/1.1 200"));
    expect_that!(answer, contains_substring("connection: close\r\n"));
    expect_that!(answer, ends_with("good"));
    expect_that!(end, eq(""));
    within(LIMIT, "no connection is left", || {
        served.callers.connections() == 0
    })
    .await;
    expect_that!(TcpStream::connect(served.address).await.is_err(), eq(true));
}

#[gtest]
#[tokio::test]
async fn a_stopping_gateway_serves_new_connections_until_its_listener_closes() {
    let upstream = Upstream::start("up-1", Act::Serve(Duration::ZERO)).await;
    let served = serve(&upstream).await;
    served.gateway.begin_stop();
    let mut stream = TcpStream::connect(served.address).await.unwrap();

    let answer = ask(&mut stream, GET).await;

    expect_that!(answer, starts_with("HTTP/1.1 200"));
    expect_that!(answer, contains_substring("connection: close\r\n"));
}

#[gtest]
#[tokio::test]
async fn readiness_begins_with_the_first_version_and_ends_with_the_stop() {
    let gateway = gateway(&FakeStore::new());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve_ready(listener, Arc::clone(&gateway)));
    let mut stream = TcpStream::connect(address).await.unwrap();
    let question = "GET /ready HTTP/1.1\r\nhost: x\r\n\r\n";

    let before = ask(&mut stream, question).await;
    gateway.view().manifest = Some(Arc::new(manifest(1, &[route()])));
    gateway.set_loaded();
    let while_ready = ask(&mut stream, question).await;
    gateway.begin_stop();
    let stopping = ask(&mut stream, question).await;

    expect_that!(before, starts_with("HTTP/1.1 503"));
    expect_that!(while_ready, starts_with("HTTP/1.1 200"));
    expect_that!(stopping, starts_with("HTTP/1.1 503"));
}

#[gtest]
#[tokio::test]
async fn bodies_beyond_the_memory_are_refused_as_not_run() {
    let upstream = Upstream::start("up-1", Act::Serve(Duration::from_millis(300))).await;
    let store = FakeStore::new();
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut settings = settings("gate-1", peer, &[]);
    // A quarter of a megabyte for bodies.
    settings.memory_limit_mb = 1;
    let gateway = Gateway::new(FakePlatform::new(&store), settings);
    {
        let mut view = gateway.view();
        let mut manifest = manifest(1, &[route()]);
        manifest.limits.body_max_bytes = 1 << 20;
        view.manifest = Some(Arc::new(manifest));
        let report = report(&upstream.id, upstream.address, UpstreamState::Ready);
        view.directory.put(report, 0);
    }
    let served = serve_by(gateway).await;
    let post = |bytes: usize| {
        let head = "POST /x HTTP/1.1\r\nhost: h.example\r\nt-id: i\r\ncontent-length:";
        format!("{head} {bytes}\r\n\r\n{}", "x".repeat(bytes))
    };
    let mut first = TcpStream::connect(served.address).await.unwrap();
    first.write_all(post(200_000).as_bytes()).await.unwrap();
    within(LIMIT, "it runs", || upstream.runs().len() == 1).await;

    let mut second = TcpStream::connect(served.address).await.unwrap();
    let refused = ask(&mut second, &post(100_000)).await;
    let answer = read_answer(&mut first).await;
    let mut third = TcpStream::connect(served.address).await.unwrap();
    let later = ask(&mut third, &post(100_000)).await;

    expect_that!(refused, starts_with("HTTP/1.1 503"));
    expect_that!(answer, starts_with("HTTP/1.1 200"));
    expect_that!(later, starts_with("HTTP/1.1 200"));
    expect_that!(upstream.runs().len(), eq(2));
}

//! Requests at each moment of a planned stop. Callers and upstreams talk over loopback, so
//! these tests run on the real clock.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use chicorywing::decision::directory::UpstreamState;
use chicorywing::decision::manifest::Route;
use chicorywing::gateway::handed::{AttemptHistory, HandedAnswer, HandedEnd, HandedRequest};
use chicorywing::gateway::run::drain_and_stop;
use chicorywing::gateway::server::{CallerCounts, serve_callers};
use chicorywing::gateway::state::Gateway;
use chicorywing::gateway::taken;
use futures::future::join_all;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::fake::{FakePlatform, FakeStore, SERVICE, gateway, manifest, report, route, within};
use super::upstream::{Behaviour, FakeUpstream};

/// Moments after the stop signal at which requests end, up to the stop limit of 6 s.
const INTERVAL: Duration = Duration::from_millis(300);
const MOMENTS: u32 = 21;
/// Time up to which the platform's balancer may send new connections: two checks that it
/// makes once a second.
const BALANCER_TIME: Duration = Duration::from_secs(2);
/// Upstreams enough for the probes of all requests.
const UPSTREAMS: usize = 8;
/// Latency objective of the routes, in which the upstreams answer.
const OBJECTIVE_MS: u64 = 2_000;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from the moment at which all callers are prepared to the stop.
const PREPARED_BEFORE: Duration = Duration::from_millis(500);
/// Body of an answer that the buffers of the kernel do not hold.
const LARGE_BYTES: usize = 8 * 1024 * 1024;
/// Receive buffer of a caller that reads slowly, in bytes.
const SMALL_BUFFER_BYTES: u32 = 4_096;
/// Time after which such a caller begins to read, within the stop limit of 6 s.
const READING_DELAY: Duration = Duration::from_millis(4_500);

/// When a connection is opened after which nothing else comes: just before the listener closes.
const LAST_CONNECTION: Duration = Duration::from_millis(2_600);
/// Distance between two moments around the end of the process.
const LAST_STEP: Duration = Duration::from_millis(10);
/// Work of the last request, which outlasts the process if that ends without it.
const LAST_WORK: Duration = Duration::from_millis(300);

/// Body of an answer that the buffers of the kernel hold.
const KERNEL_BYTES: usize = 400 * 1024;
/// Distance between further requests on one connection.
const FURTHER_INTERVAL: Duration = Duration::from_millis(30);
/// Time after which their caller begins to read.
const FURTHER_READING_DELAY: Duration = Duration::from_secs(1);

/// How a request is on its way when the stop begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
enum Kind {
    LateHead,
    LateBody,
    LateChunk,
    Kept,
    Opened,
    New,
}

#[derive(Debug)]
struct Sent {
    kind: Kind,
    at: Duration,
    /// Names its kind, whether it may be repeated, and its moment.
    id: String,
    /// The response to an earlier request on the same connection, if there was one.
    before: String,
    response: String,
}

/// The two parts of a request: before the stop, and at its moment.
fn parts(kind: Kind, host: &str, id: &str) -> (String, String) {
    let head = format!("host: {host}\r\nt-id: {id}\r\n");
    match kind {
        Kind::LateHead => (
            format!("GET /x HTTP/1.1\r\nhost: {host}\r\n"),
            format!("t-id: {id}\r\n\r\n"),
        ),
        Kind::LateBody => (
            format!("POST /x HTTP/1.1\r\n{head}content-length: 4\r\n\r\nab"),
            "cd".to_owned(),
        ),
        Kind::LateChunk => (
            format!("POST /x HTTP/1.1\r\n{head}transfer-encoding: chunked\r\n\r\n2\r\nab\r\n"),
            "0\r\n\r\n".to_owned(),
        ),
        Kind::Kept | Kind::Opened | Kind::New => (
            String::new(),
            format!("POST /x HTTP/1.1\r\n{head}content-length: 0\r\n\r\n"),
        ),
    }
}

/// Reads until a response is complete, or what has come when the connection ends.
async fn read_response(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut bytes = [0; 1_024];
    while !is_complete(&text) {
        match timeout(RESPONSE_TIMEOUT, stream.read(&mut bytes)).await {
            Ok(Ok(count)) if count > 0 => text.push_str(&String::from_utf8_lossy(&bytes[..count])),
            _ => break,
        }
    }
    text
}

fn is_complete(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    length.is_some_and(|length| body.len() >= length.parse().unwrap())
}

/// When the stop begins: once each caller is prepared, as a response that comes after that
/// announces that its connection closes.
#[derive(Debug, Default)]
struct Start {
    prepared: AtomicUsize,
    begins: watch::Sender<Option<Instant>>,
}

impl Start {
    /// Says that a caller is prepared, and waits until all are.
    async fn begins(&self) -> Instant {
        self.prepared.fetch_add(1, Ordering::Relaxed);
        let mut begins = self.begins.subscribe();
        begins.wait_for(Option::is_some).await.unwrap().unwrap()
    }

    /// Waits until all callers are prepared, and sets when the stop begins.
    async fn set(&self, callers: usize) -> Instant {
        within(RESPONSE_TIMEOUT, "all callers are prepared", || {
            self.prepared.load(Ordering::Relaxed) == callers
        })
        .await;
        let begins = Instant::now() + PREPARED_BEFORE;
        self.begins.send_replace(Some(begins));
        begins
    }
}

async fn send(
    address: SocketAddr,
    kind: Kind,
    is_idempotent: bool,
    at: Duration,
    start: Arc<Start>,
) -> Sent {
    let host = if is_idempotent {
        "h.example"
    } else {
        "once.example"
    };
    let id = format!("{kind:?}-{is_idempotent}-{}", at.as_millis());
    let (first, rest) = parts(kind, host, &id);
    let mut sent = Sent {
        kind,
        at,
        id,
        before: String::new(),
        response: String::new(),
    };
    let mut early = None;
    if kind != Kind::New {
        let mut stream = TcpStream::connect(address).await.unwrap();
        if kind == Kind::Kept {
            let (_, whole) = parts(kind, host, &format!("before-{}", sent.id));
            stream.write_all(whole.as_bytes()).await.unwrap();
            sent.before = read_response(&mut stream).await;
        }
        stream.write_all(first.as_bytes()).await.unwrap();
        early = Some(stream);
    }
    let begins = start.begins().await;
    sleep_until(begins + at).await;
    let stream = match early {
        Some(stream) => Ok(stream),
        None => TcpStream::connect(address).await,
    };
    let Ok(mut stream) = stream else {
        return sent;
    };
    if stream.write_all(rest.as_bytes()).await.is_ok() {
        sent.response = read_response(&mut stream).await;
    }
    sent
}

/// A gateway on a runtime of its own, with which all its connections end.
struct StoppingProcess {
    address: SocketAddr,
    gateway: Arc<Gateway<FakePlatform>>,
    callers: Arc<CallerCounts>,
    close: watch::Sender<bool>,
    runtime: Runtime,
}

impl StoppingProcess {
    async fn start(upstreams: &[&FakeUpstream], routes: &[Route]) -> Self {
        let gateway = gateway(&FakeStore::new());
        {
            let mut view = gateway.view();
            view.manifest = Some(Arc::new(manifest(1, routes)));
            for upstream in upstreams {
                let report = report(&upstream.id, upstream.address, UpstreamState::Ready);
                view.directory.put(report, 0);
            }
        }
        gateway.set_instances_loaded();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let callers = Arc::new(CallerCounts::default());
        let (close, closing) = watch::channel(false);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let listener = listener.into_std().unwrap();
        let (serving, counts) = (Arc::clone(&gateway), Arc::clone(&callers));
        runtime.spawn(async move {
            let listener = TcpListener::from_std(listener).unwrap();
            serve_callers(listener, serving, counts, closing).await;
        });
        Self {
            address,
            gateway,
            callers,
            close,
            runtime,
        }
    }

    /// Stops the gateway as planned, and ends the process.
    async fn stop(self) {
        let Self {
            gateway,
            callers,
            close,
            runtime,
            ..
        } = self;
        let stopped =
            runtime.spawn(async move { drain_and_stop(&gateway, &callers, &close).await });
        stopped.await.unwrap();
        runtime.shutdown_background();
    }
}

/// Stops a gateway in calm, whose upstreams work for `work`, and for `work_before` until then;
/// returns the requests and the upstreams.
async fn stop_with(work_before: Duration, work: Duration) -> (Vec<Sent>, Vec<FakeUpstream>) {
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let id = format!("up-{number}");
        upstreams.push(FakeUpstream::start(&id, Behaviour::Serve(work_before)).await);
    }
    let safe = Route {
        objective_ms: OBJECTIVE_MS,
        ..route()
    };
    let once = Route {
        name: "once".into(),
        host: "once.example".into(),
        is_idempotent: false,
        ..safe.clone()
    };
    let process =
        StoppingProcess::start(&upstreams.iter().collect::<Vec<_>>(), &[safe, once]).await;
    let address = process.address;
    let start = Arc::new(Start::default());
    let mut requests = Vec::new();
    for kind in <Kind as strum::IntoEnumIterator>::iter() {
        for is_idempotent in [true, false] {
            for moment in 0..MOMENTS {
                let at = INTERVAL * moment;
                let sent = send(address, kind, is_idempotent, at, Arc::clone(&start));
                requests.push(tokio::spawn(sent));
            }
        }
    }
    sleep_until(start.set(requests.len()).await).await;
    for upstream in &upstreams {
        upstream.set_behaviour(Behaviour::Serve(work));
    }
    process.stop().await;
    let mut sent = Vec::new();
    for request in requests {
        sent.push(request.await.unwrap());
    }
    // A run that began just before the end shows by then.
    sleep(Duration::from_millis(100)).await;
    (sent, upstreams)
}

/// Requests that ran and got no answer, or one that says that they did not run.
fn violations(sent: &[Sent], upstreams: &[FakeUpstream]) -> Vec<String> {
    let runs: Vec<String> = upstreams.iter().flat_map(FakeUpstream::runs).collect();
    let mut found = Vec::new();
    for request in sent {
        let line = format!("t-id: {}\r\n", request.id);
        let ran = runs.iter().any(|run| run.contains(&line));
        let is_refused = request.response.starts_with("HTTP/1.1 503");
        if ran && (!is_complete(&request.response) || is_refused) {
            found.push(format!("{request:?}"));
        }
    }
    found
}

/// Requests that come while the balancer may still send new connections, and are not served.
fn unserved_early(sent: &[Sent]) -> Vec<String> {
    let mut found = Vec::new();
    for request in sent {
        // The time limit of a request whose body is late has passed.
        let has_late_body = matches!(request.kind, Kind::LateBody | Kind::LateChunk);
        let is_early = request.at < BALANCER_TIME && !has_late_body;
        if is_early && !request.response.starts_with("HTTP/1.1 200") {
            found.push(format!("{request:?}"));
        }
    }
    found
}

async fn check(work_before_ms: u64, work_ms: u64) {
    let [before, work] = [work_before_ms, work_ms].map(Duration::from_millis);
    let (sent, upstreams) = stop_with(before, work).await;

    expect_that!(
        violations(&sent, &upstreams),
        is_empty(),
        "work {work_ms} ms"
    );
    expect_that!(unserved_early(&sent), is_empty(), "work {work_ms} ms");
}

// Guards against requests that come late in the stop limit and are cut at its end.
#[gtest]
#[tokio::test]
async fn no_request_of_a_planned_stop_is_lost() {
    tokio::join!(check(200, 200), check(900, 900), check(1_500, 1_500));
}

// Guards against the same where the upstreams have just turned slower than the gateway knows.
#[gtest]
#[tokio::test]
async fn no_request_of_a_planned_stop_is_lost_at_upstreams_that_turn_slow() {
    tokio::join!(check(20, 200), check(20, 900), check(20, 1_500));
}

/// Sends a request, begins to read after [`READING_DELAY`], and returns the length of the answer.
async fn read_late(address: SocketAddr) -> usize {
    let mut stream = send_with_small_buffer(address).await;
    sleep(READING_DELAY).await;
    let mut received = 0;
    let mut bytes = vec![0; 64 * 1024];
    loop {
        let count = stream.read(&mut bytes).await.unwrap_or(0);
        if count == 0 {
            return received;
        }
        received += count;
    }
}

async fn send_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    let request = b"GET /x HTTP/1.1\r\nhost: h.example\r\nt-id: large\r\n\r\n";
    stream.write_all(request).await.unwrap();
    stream
}

// Guards against answers that are cut while they are written, with time left for the stop.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_until_its_answers_are_written() {
    let upstream = FakeUpstream::start("up-1", Behaviour::ServeBytes(LARGE_BYTES)).await;
    let process = StoppingProcess::start(&[&upstream], &[route()]).await;

    let reading = tokio::spawn(read_late(process.address));
    within(Duration::from_secs(1), "it has run", || {
        !upstream.runs().is_empty()
    })
    .await;
    process.stop().await;

    expect_that!(reading.await.unwrap(), ge(LARGE_BYTES));
}

// Guards against a stop that waits for a caller which reads nothing beyond the stop limit.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_ends_though_a_caller_reads_nothing() {
    let upstream = FakeUpstream::start("up-1", Behaviour::ServeBytes(LARGE_BYTES)).await;
    let process = StoppingProcess::start(&[&upstream], &[route()]).await;
    let _stream = send_with_small_buffer(process.address).await;
    within(Duration::from_secs(1), "it has run", || {
        !upstream.runs().is_empty()
    })
    .await;

    let began = Instant::now();
    process.stop().await;

    expect_that!(began.elapsed(), lt(Duration::from_secs(6)));
}

/// A request of another instance, which has arrived after `transit_ms` by this one's clock.
fn handed(gateway: &Gateway<FakePlatform>, left_ms: u64, transit_ms: u64) -> HandedRequest {
    HandedRequest {
        id: Some(b"handed".to_vec()),
        method: "POST".to_owned(),
        host: "once.example".to_owned(),
        target: "/x".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        service: SERVICE.into(),
        held_ms: 0,
        left_ms,
        sent_ms: gateway.now_ms().saturating_sub(transit_ms),
        history: AttemptHistory::default(),
    }
}

// Guards against callers' requests that are cut, since the stop has first waited for a request of
// another instance.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_for_its_callers_after_requests_of_others() {
    let upstream = FakeUpstream::start("up-1", Behaviour::Serve(Duration::from_secs(4))).await;
    let long = Route {
        name: "once".into(),
        host: "once.example".into(),
        timeout_ms: 5_000,
        ..route()
    };
    let short = Route {
        timeout_ms: 2_600,
        ..route()
    };
    let process = StoppingProcess::start(&[&upstream], &[short, long]).await;
    let address = process.address;
    let (gateway, request) = (
        Arc::clone(&process.gateway),
        handed(&process.gateway, 5_000, 0),
    );
    process
        .runtime
        .spawn(async move { taken::run(&gateway, request).await });
    within(RESPONSE_TIMEOUT, "it runs another's request", || {
        upstream.runs().len() == 1
    })
    .await;
    upstream.set_behaviour(Behaviour::Serve(Duration::from_secs(2)));
    let start = Arc::new(Start::default());
    let at = Duration::from_millis(2_500);
    let request = tokio::spawn(send(address, Kind::Opened, true, at, Arc::clone(&start)));

    sleep_until(start.set(1).await).await;
    process.stop().await;

    let sent = request.await.unwrap();
    expect_that!(sent.response, starts_with("HTTP/1.1 200"));
}

/// Sends half a head 2.6 s after the begin of a stop, and the rest at `at`; returns whether
/// it ran, and whether its answer is whole.
async fn last_request(at: Duration) -> (bool, bool) {
    let upstream = FakeUpstream::start("up-1", Behaviour::Serve(LAST_WORK)).await;
    let process = StoppingProcess::start(&[&upstream], &[route()]).await;
    let address = process.address;
    let request = async move {
        let began = Instant::now();
        sleep_until(began + LAST_CONNECTION).await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let (first, rest) = parts(Kind::LateHead, "h.example", "last");
        stream.write_all(first.as_bytes()).await.unwrap();
        sleep_until(began + at).await;
        // The process may have ended.
        let _ = stream.write_all(rest.as_bytes()).await;
        read_response(&mut stream).await
    };
    let request = tokio::spawn(request);
    process.stop().await;
    let response = request.await.unwrap();
    (!upstream.runs().is_empty(), is_complete(&response))
}

// Guards against a request that is passed on between the last look for requests and the end of
// the process.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn what_comes_as_the_process_ends_is_answered_if_it_runs() {
    let mut moments = Vec::new();
    for step in 0..30 {
        let at = LAST_CONNECTION + Duration::from_millis(400) + LAST_STEP * step;
        moments.push(async move { (at, last_request(at).await) });
    }

    let ends = join_all(moments).await;

    for (at, (has_run, is_whole)) in &ends {
        expect_that!(*is_whole || !has_run, eq(true), "{at:?}");
    }
    // The moments lie on both sides of the end.
    expect_that!(ends.first().unwrap().1, eq((true, true)));
    expect_that!(ends.last().unwrap().1.0, eq(false));
}

// Guards against a request of another instance that ends before its deadline, by the time that
// it seems to have been on its way.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_deadline_of_a_handed_request_is_that_of_its_caller() {
    let upstream = FakeUpstream::start("up-1", Behaviour::Serve(Duration::from_millis(900))).await;
    let once = Route {
        host: "once.example".into(),
        is_idempotent: false,
        ..route()
    };
    let process = StoppingProcess::start(&[&upstream], &[once]).await;
    within(RESPONSE_TIMEOUT, "its clock shows the transit", || {
        process.gateway.now_ms() > 200
    })
    .await;

    let answer = taken::run(&process.gateway, handed(&process.gateway, 1_000, 200)).await;

    let HandedAnswer::Ended { end, .. } = answer else {
        panic!("{answer:?}");
    };
    expect_that!(
        end,
        matches_pattern!(HandedEnd::Response {
            status: eq(&200),
            ..
        })
    );
    process.runtime.shutdown_background();
}

/// Sends a request and then, while its answer is made, `further` ones; begins to read late, and
/// returns the length of what comes.
async fn read_after_further_requests(address: SocketAddr, further: usize) -> usize {
    let mut stream = send_with_small_buffer(address).await;
    for _ in 0..further {
        sleep(FURTHER_INTERVAL).await;
        let next = b"GET /x HTTP/1.1\r\nhost: h.example\r\nt-id: next\r\n\r\n";
        stream.write_all(next).await.unwrap();
    }
    sleep(FURTHER_READING_DELAY).await;
    let mut received = 0;
    let mut bytes = vec![0; 64 * 1024];
    while let Ok(count) = stream.read(&mut bytes).await
        && count > 0
    {
        received += count;
    }
    received
}

// Guards against an answer that the kernel still holds being dropped at a stop, since its
// connection is closed with further requests unread.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_whole_though_its_caller_has_sent_further_requests() {
    let upstream = FakeUpstream::start("up-1", Behaviour::ServeBytes(KERNEL_BYTES)).await;
    upstream.set_probe_delay(FURTHER_INTERVAL * 8);
    let process = StoppingProcess::start(&[&upstream], &[route()]).await;
    let address = process.address;
    let stopping = tokio::spawn(process.stop());
    sleep(FURTHER_INTERVAL * 7).await;

    let callers = (0..4).map(|further| read_after_further_requests(address, further));
    let received = join_all(callers).await;

    expect_that!(received, each(ge(&KERNEL_BYTES)));
    stopping.await.unwrap();
}

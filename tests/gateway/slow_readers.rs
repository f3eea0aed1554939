//! Callers that read large responses slowly, many at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicorywing::decision::directory::UpstreamState;
use chicorywing::decision::manifest::Route;
use chicorywing::gateway::server::{CallerCounts, serve_callers};
use chicorywing::gateway::settings::Settings;
use chicorywing::gateway::state::Gateway;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use super::fake::{FakePlatform, FakeStore, manifest, report, route, settings, within};
use super::upstream::{Behaviour, FakeUpstream};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Memory of the process; a quarter of it is for responses.
const MEMORY_LIMIT_MB: u64 = 256;
/// Body of a large response: more than the kernel takes for a caller that does not read.
const LARGE_BYTES: usize = 8 * 1024 * 1024;
const SLOW_CALLERS: usize = 24;
/// Receive buffer of a caller that does not read, in bytes.
const SMALL_BUFFER_BYTES: u32 = 4_096;
const OBJECTIVE: Duration = Duration::from_millis(500);

struct Server {
    address: SocketAddr,
    callers: Arc<CallerCounts>,
    gateway: Arc<Gateway<FakePlatform>>,
    _close: watch::Sender<bool>,
}

async fn start_server(upstream: &FakeUpstream) -> Server {
    let settings = Settings {
        memory_limit_mb: MEMORY_LIMIT_MB,
        ..settings("gate-1", ([127, 0, 0, 1], 1).into(), &[])
    };
    let gateway = Gateway::new(FakePlatform::new(&FakeStore::new()), settings);
    let route = Route {
        timeout_ms: 10_000,
        objective_ms: 5_000,
        ..route()
    };
    {
        let mut view = gateway.view();
        view.manifest = Some(Arc::new(manifest(1, &[route])));
        let report = report(&upstream.id, upstream.address, UpstreamState::Ready);
        view.directory.put(report, 0);
    }
    gateway.set_instances_loaded();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let callers = Arc::new(CallerCounts::default());
    let (close, closing) = watch::channel(false);
    let (serving, counts) = (Arc::clone(&gateway), Arc::clone(&callers));
    tokio::spawn(serve_callers(listener, serving, counts, closing));
    Server {
        address,
        callers,
        gateway,
        _close: close,
    }
}

async fn send(address: SocketAddr, id: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    let head = format!("GET /x HTTP/1.1\r\nhost: h.example\r\nt-id: {id}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Reads a response; its status, the length that it declares, and that of the body.
async fn read(stream: &mut TcpStream) -> (u16, usize, usize) {
    let mut received = Vec::new();
    let mut bytes = vec![0; 64 * 1024];
    loop {
        let head_end = received.windows(4).position(|part| part == b"\r\n\r\n");
        if let Some(end) = head_end {
            let head = String::from_utf8(received[..end].to_vec()).unwrap();
            let status = head[9..12].parse().unwrap();
            let mut lines = head.lines();
            let length = lines.find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.unwrap().parse().unwrap();
            let mut body = received.len() - end - 4;
            while body < length {
                match stream.read(&mut bytes).await {
                    Ok(count) if count > 0 => body += count,
                    _ => break,
                }
            }
            return (status, length, body);
        }
        match stream.read(&mut bytes).await {
            Ok(count) if count > 0 => received.extend_from_slice(&bytes[..count]),
            _ => return (0, 0, 0),
        }
    }
}

// Guards against large responses that wait for their callers filling the memory, or delaying
// small ones, and against a part of one that looks like a whole one.
#[gtest]
#[tokio::test]
async fn large_responses_of_slow_callers_leave_room_for_small_ones() {
    let upstream = FakeUpstream::start("up-1", Behaviour::ServeBytes(LARGE_BYTES)).await;
    upstream.set_load("0,0,100,100");
    let server = start_server(&upstream).await;
    let mut slow = Vec::new();
    for number in 0..SLOW_CALLERS {
        slow.push(send(server.address, &format!("slow-{number}")).await);
    }
    within(TEST_TIMEOUT, "a part of the large ones has run", || {
        upstream.runs().len() >= SLOW_CALLERS / 4 && server.callers.in_flight() == 0
    })
    .await;

    upstream.set_behaviour(Behaviour::Serve(Duration::ZERO));
    let held_bytes = server.gateway.response_memory.reserved_bytes();
    let mut served = 0;
    for number in 0..20 {
        let began = Instant::now();
        let mut stream = send(server.address, &format!("small-{number}")).await;
        let (status, length, body) = read(&mut stream).await;
        let is_served = status == 200 && length == body && began.elapsed() < OBJECTIVE;
        if !is_served {
            println!(
                "small {number}: {status}, {length}, {body}, {:?}",
                began.elapsed()
            );
        }
        served += usize::from(is_served);
    }
    let mut whole = 0;
    for stream in &mut slow {
        let (status, length, body) = timeout(TEST_TIMEOUT, read(stream)).await.unwrap();
        expect_that!(body, eq(length), "status {status}");
        whole += usize::from(status == 200 && body == LARGE_BYTES);
    }
    drop(slow);

    let limit = usize::try_from(MEMORY_LIMIT_MB).unwrap() * 1024 * 1024 / 4;
    expect_that!(held_bytes, all!(gt(0), le(limit)));
    expect_that!(served, eq(20));
    expect_that!(whole, ge(2));
    within(TEST_TIMEOUT, "the memory is free again", || {
        server.gateway.response_memory.reserved_bytes() == 0
    })
    .await;
}

// Guards against callers that never read holding the memory of large responses for ever.
#[gtest]
#[tokio::test]
async fn a_caller_that_never_reads_gives_its_memory_back() {
    let upstream = FakeUpstream::start("up-1", Behaviour::ServeBytes(LARGE_BYTES)).await;
    let server = start_server(&upstream).await;
    let _silent = send(server.address, "silent").await;
    within(TEST_TIMEOUT, "it has run", || {
        upstream.runs().len() == 1 && server.callers.in_flight() == 0
    })
    .await;

    // The deadline of the request, the idle timeout of 5 s, and its grace.
    within(TEST_TIMEOUT, "the memory is free again", || {
        server.gateway.response_memory.reserved_bytes() == 0
    })
    .await;

    expect_that!(server.callers.connections(), eq(0));
}

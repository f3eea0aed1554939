//! Calls between instances of different builds. They talk over loopback, so these tests run
//! on the real clock.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use chicorywing::decision::crash_suspects::{End, SuspectReport, UpstreamLifetime};
use chicorywing::gateway::peer_builds::PeerBuilds;
use chicorywing::gateway::peer_client::{PeerClient, RelayError};
use chicorywing::gateway::peer_format::{Format, Greeting, encode, write_greeting};
use chicorywing::gateway::peer_listener;
use chicorywing::gateway::relay::{Relay, RelayClient, Server};
use chicorywing::gateway::state::Gateway;
use futures::StreamExt;
use googletest::prelude::*;
use prometheus_client::metrics::counter::Counter;
use serde::Serialize;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{ClientMessage, client, context};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::time::timeout;

use super::fake::{FakePlatform, FakeStore, own_address, settings};

fn gateway_at(address: SocketAddr) -> Arc<Gateway<FakePlatform>> {
    Gateway::new(
        FakePlatform::new(&FakeStore::new()),
        settings("gate-1", address, &[]),
    )
}

/// An instance of this build that answers calls.
async fn listening_gateway() -> Arc<Gateway<FakePlatform>> {
    let gateway = gateway_at(own_address());
    peer_listener::listen(Arc::clone(&gateway)).await.unwrap();
    gateway
}

/// An instance of a build before format 1, which reads bincode from the first byte on;
/// returns its address and the number of connections that it has accepted.
async fn older_instance() -> (SocketAddr, Arc<AtomicUsize>) {
    let address = own_address();
    let gateway = gateway_at(address);
    let mut incoming = tcp::listen(address, Bincode::default).await.unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&accepted);
    tokio::spawn(async move {
        while let Some(transport) = incoming.next().await {
            count.fetch_add(1, Ordering::Relaxed);
            let server = Server {
                gateway: Arc::clone(&gateway),
            };
            let answered = BaseChannel::with_defaults(transport.unwrap())
                .execute(server.serve())
                .for_each_concurrent(None, |answered| answered);
            tokio::spawn(answered);
        }
    });
    (address, accepted)
}

/// A build that answers the greeting with another one, and nothing else.
async fn greeting_instance(greeting: &Greeting) -> SocketAddr {
    let encoded = encode(greeting).unwrap();
    let length = u32::try_from(encoded.len()).unwrap().to_be_bytes();
    let message = [&b"CWRP"[..], &length, &encoded].concat();
    let listener = TcpListener::bind(own_address()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut open = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.write_all(&message).await.unwrap();
            open.push(stream);
        }
    });
    address
}

fn suspect() -> SuspectReport {
    SuspectReport {
        content: 5,
        ends: vec![End {
            lifetime: UpstreamLifetime {
                upstream: "up-1".into(),
                started_at_ms: 1,
            },
            variant: 7,
            is_refuted: false,
        }],
        is_content_refuted: false,
        age_ms: 10,
    }
}

// Guards against calls that fail, since the build of the other instance takes the greeting
// for a frame, and against a greeting at each connection to it.
#[gtest]
#[tokio::test]
async fn an_older_build_is_called_in_bincode_after_one_greeting() {
    let (address, accepted) = older_instance().await;
    let builds = PeerBuilds::default();

    for _ in 0..5 {
        let client = PeerClient::connect(&builds, address).await.unwrap();
        client.report_suspects(vec![suspect()]).await.unwrap();
        client.offer().await.unwrap();
    }

    expect_that!(accepted.load(Ordering::Relaxed), eq(6));
    expect_that!(builds.count(Format::Bincode), eq(1));
}

// Guards against a listener that refuses the calls of builds without a greeting.
#[gtest]
#[tokio::test]
async fn an_older_build_calls_this_one_in_bincode() {
    let gateway = listening_gateway().await;
    let address = gateway.settings().peer_address;
    let transport = tcp::connect(address, Bincode::default).await.unwrap();
    let older = RelayClient::new(client::Config::default(), transport).spawn();

    let reports = vec![suspect()];
    older
        .report_suspects(context::current(), reports)
        .await
        .unwrap();
    let records = older.records(context::current(), Vec::new(), 0, 0, 0, 0);
    let known = records.await.unwrap().suspects;

    expect_that!(known.len(), eq(1));
    expect_that!(gateway.suspect_report(5), some(anything()));
}

#[gtest]
#[tokio::test]
async fn two_instances_of_this_build_use_the_named_format() {
    let gateway = listening_gateway().await;
    let builds = PeerBuilds::default();

    let client = PeerClient::connect(&builds, gateway.settings().peer_address)
        .await
        .unwrap();
    client.report_suspects(vec![suspect()]).await.unwrap();

    expect_that!(gateway.suspect_report(5), some(anything()));
    expect_that!(builds.count(Format::Named(1)), eq(1));
}

// Guards against a build that is taken for an instance that does not respond.
#[gtest]
#[tokio::test]
async fn a_build_without_a_common_format_is_told_from_silence() {
    let greeting = Greeting {
        formats: vec![9],
        ..Greeting::own()
    };
    let address = greeting_instance(&greeting).await;

    let opened = PeerClient::connect(&PeerBuilds::default(), address).await;

    let error = opened.unwrap_err();
    expect_that!(error.is_other_build(), eq(true), "{error}");
    expect_that!(error.to_string(), contains_substring("[9]"));
}

// Guards against a call that is made although the other build does not know it, and ends the
// connection there.
#[gtest]
#[tokio::test]
async fn a_call_that_the_other_build_lacks_is_not_made() {
    let greeting = Greeting {
        calls: vec!["records".to_owned()],
        ..Greeting::own()
    };
    let address = greeting_instance(&greeting).await;
    let unknown_calls = Counter::default();
    let builds = PeerBuilds::new(unknown_calls.clone());
    let client = PeerClient::connect(&builds, address).await.unwrap();

    let offered = client.offer().await;

    let is_unknown = matches!(offered, Err(RelayError::UnknownCall("offer")));
    expect_that!(is_unknown, eq(true));
    expect_that!(unknown_calls.get(), eq(1));
}

/// The greeting of this build, and a frame after it.
async fn greeting_and_frame(frame: &[u8]) -> Vec<u8> {
    let mut message = Vec::new();
    write_greeting(&mut message).await.unwrap();
    message.extend_from_slice(&u32::try_from(frame.len()).unwrap().to_be_bytes());
    message.extend_from_slice(frame);
    message
}

// Guards against bytes of another program or build that cost more than their connection.
#[gtest]
#[tokio::test]
async fn what_is_no_call_ends_its_connection_only() {
    let gateway = listening_gateway().await;
    let address = gateway.settings().peer_address;
    let builds = PeerBuilds::default();
    let beside = PeerClient::connect(&builds, address).await.unwrap();
    let mut too_long = greeting_and_frame(b"").await;
    too_long.truncate(too_long.len() - 4);
    too_long.extend_from_slice(&u32::MAX.to_be_bytes());
    let openings = [
        b"GET / HTTP/1.1\r\nHost: a\r\n\r\n".to_vec(),
        [&b"CWRP"[..], &u32::MAX.to_be_bytes()].concat(),
        greeting_and_frame(&encode(&"no call").unwrap()).await,
        greeting_and_frame(&[0xc1; 40]).await,
        too_long,
        [&3_u32.to_be_bytes()[..], &[0xff; 3]].concat(),
    ];

    for opening in openings {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&opening).await.unwrap();
        let mut answer = Vec::new();
        let ended = timeout(Duration::from_secs(1), stream.read_to_end(&mut answer)).await;
        expect_that!(ended.is_ok(), eq(true), "still open after {opening:?}");
    }

    expect_that!(beside.check().await, ok(anything()));
    let after = PeerClient::connect(&builds, address).await.unwrap();
    expect_that!(after.check().await, ok(anything()));
}

/// A call of a newer build.
#[derive(Serialize)]
enum NewerCalls {
    Forget { upstream: String },
}

/// The gateway's program with its log on standard output.
fn gateway_process(folder: &Path, peer_address: SocketAddr) -> Child {
    let file = folder.join("settings.jsonc");
    let settings = serde_json::json!({
        "name": "gate-1", "data_centre": "x", "is_first_start": "false", "seeds": [],
        "caller_address": own_address(), "ready_address": own_address(),
        "metrics_address": own_address(), "peer_address": peer_address,
        "store_address": own_address(), "stop_limit": "6s", "repeat_ratio": "0.2",
        "repeat_slack": "56", "repeat_window": "10s", "cold_factor": "1.5", "cold_slack": "5",
        "probes_per_s": "60",
    });
    std::fs::write(&file, settings.to_string()).unwrap();
    Command::new(env!("CARGO_BIN_EXE_chicorywing-gateway"))
        .arg("--settings")
        .arg(&file)
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap()
}

// Guards against a call of a newer build that ends its connection without a line that names
// it, so that nobody finds the cause.
#[gtest]
#[tokio::test]
async fn an_unknown_call_is_named_in_the_log() {
    let folder = std::env::temp_dir().join(format!("chicorywing-builds-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let address = own_address();
    let mut process = gateway_process(&folder, address);
    let mut lines = BufReader::new(process.stdout.take().unwrap()).lines();
    let call = ClientMessage::Request(tarpc::Request {
        context: context::current(),
        id: 1,
        message: NewerCalls::Forget {
            upstream: "up-1".to_owned(),
        },
    });
    let message = greeting_and_frame(&encode(&call).unwrap()).await;

    let named = async {
        while let Some(line) = lines.next_line().await.unwrap() {
            if line.contains("\"started\"") {
                let mut stream = TcpStream::connect(address).await.unwrap();
                stream.write_all(&message).await.unwrap();
            }
            if line.contains("connection closed") {
                return line;
            }
        }
        String::new()
    };

    let line = timeout(Duration::from_secs(10), named).await.unwrap();
    expect_that!(line, contains_substring("Forget"));
    std::fs::remove_dir_all(&folder).unwrap();
}

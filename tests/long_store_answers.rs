//! Answers of the platform's store that take long to arrive over a narrow link. The tests
//! run on the real clock, since the answers come over sockets.

use std::time::Duration;

use chicorywing::gateway::store::{Platform, Records, StoreError, Stream};
use chicorywing::platform::PlatformStore;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, interval, sleep, timeout};

/// Half of a link of 10 Mbit/s, the narrowest that an instance has; other traffic takes the
/// rest.
const LINK_BYTES_PER_S: usize = 625_000;
/// Interval at which a part of an answer leaves the link.
const PART_INTERVAL: Duration = Duration::from_millis(10);
/// Versions of 2,800 routes as measured, two of which one read returns.
const VERSION_BYTES: usize = 480_000;
/// Time in which the store must begin to answer.
const BEGIN_BOUND: Duration = Duration::from_millis(800);
/// Time for the tests' own work beside such a bound.
const MARGIN: Duration = Duration::from_millis(300);
/// The store's largest answer, 1 MiB, over a quarter of the link, after the time to begin.
const WHOLE_BOUND: Duration = Duration::from_millis(800 + 3_400);

/// How the store answers every call.
#[derive(Clone, Copy)]
enum Answering {
    /// All of the answer at the rate of the link, after a delay.
    OverLink { delay: Duration },
    /// A first part of this size, and nothing more.
    Stalled { sent_bytes: usize },
    /// A first part of 2 KiB, then a byte every 300 ms.
    Trickling,
}

/// Starts a store that gives the responses in order over one connection each time.
async fn store_with(responses: Vec<Vec<u8>>, answering: Answering) -> PlatformStore {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 65_536];
        for response in responses {
            if stream.read(&mut request).await.unwrap_or(0) == 0 {
                return;
            }
            // The client may give up first.
            if answer(&mut stream, &response, answering).await.is_err() {
                return;
            }
        }
    });
    PlatformStore::new(address)
}

async fn answer(
    stream: &mut TcpStream,
    response: &[u8],
    answering: Answering,
) -> std::io::Result<()> {
    match answering {
        Answering::OverLink { delay } => {
            sleep(delay).await;
            let parts_per_s = usize::try_from(1_000 / PART_INTERVAL.as_millis()).unwrap();
            let mut parts = interval(PART_INTERVAL);
            for part in response.chunks(LINK_BYTES_PER_S / parts_per_s) {
                parts.tick().await;
                stream.write_all(part).await?;
            }
        }
        Answering::Stalled { sent_bytes } => {
            stream.write_all(&response[..sent_bytes]).await?;
            std::future::pending::<()>().await;
        }
        Answering::Trickling => {
            let (first, rest) = response.split_at(2_048);
            stream.write_all(first).await?;
            for byte in rest {
                sleep(Duration::from_millis(300)).await;
                stream.write_all(&[*byte]).await?;
            }
        }
    }
    Ok(())
}

fn http_response(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Response to a read: its header, and two versions.
fn two_versions() -> Vec<u8> {
    let mut body = [2_u64.to_be_bytes(), 0_u64.to_be_bytes()].concat();
    for _ in 0..2 {
        let length = u32::try_from(1 + "config".len() + VERSION_BYTES).unwrap();
        body.extend(length.to_be_bytes());
        body.extend(b"\x06config");
        body.extend(vec![b' '; VERSION_BYTES]);
    }
    http_response(&body)
}

/// A page of a snapshot with one value, whose base64 takes 4/3 of its size.
fn page(key: &str, more: bool) -> Vec<u8> {
    let value = "ICAg".repeat(VERSION_BYTES / 3);
    let item = format!(r#"{{"key":"{key}","value":"{value}","offset":1}}"#);
    http_response(format!(r#"{{"items":[{item}],"more":{more},"end":2}}"#).as_bytes())
}

type ReadResult = std::result::Result<Records, StoreError>;

/// Number of records that were read, or the text of the error.
fn record_count(read: ReadResult) -> std::result::Result<usize, String> {
    read.map(|records| records.records.len())
        .map_err(|error| error.to_string())
}

// Guards against versions that are never taken because their answer, though it keeps
// arriving, takes longer than the time in which a short one arrives.
#[gtest]
#[tokio::test]
async fn a_read_of_long_versions_arrives_over_a_narrow_link() {
    let delay = Duration::ZERO;
    let store = store_with(vec![two_versions()], Answering::OverLink { delay }).await;

    let read = store.read(Stream::Operator, 0, Duration::ZERO).await;

    expect_that!(record_count(read), ok(eq(&2)));
}

// Guards against the same for a long poll.
#[gtest]
#[tokio::test]
async fn a_long_poll_that_brings_long_versions_late_arrives_over_a_narrow_link() {
    let wait = Duration::from_millis(600);
    let store = store_with(vec![two_versions()], Answering::OverLink { delay: wait }).await;

    let read = store.read(Stream::Operator, 0, wait).await;

    expect_that!(record_count(read), ok(eq(&2)));
}

// Guards against an instance that starts and never gets the newest version for the same
// reason, or because all pages of the snapshot take longer than short ones.
#[gtest]
#[tokio::test]
async fn a_snapshot_of_long_versions_arrives_over_a_narrow_link() {
    let pages = vec![page("a", true), page("b", false)];
    let delay = Duration::from_millis(240);
    let store = store_with(pages, Answering::OverLink { delay }).await;

    let read = store.newest(Stream::Operator).await;

    expect_that!(record_count(read), ok(eq(&2)));
}

// Guards against a store that hangs in the middle of an answer, and is detected late.
#[gtest]
#[tokio::test]
async fn an_answer_that_stops_is_given_up_after_the_time_to_begin() {
    for (sent_bytes, wait) in [
        (0, Duration::ZERO),
        (60, Duration::ZERO),
        (100_000, Duration::ZERO),
        (100_000, Duration::from_secs(30)),
    ] {
        let store = store_with(vec![two_versions()], Answering::Stalled { sent_bytes }).await;
        let began = Instant::now();

        let read = timeout(WHOLE_BOUND, store.read(Stream::Operator, 0, wait)).await;

        let took = began.elapsed();
        expect_that!(took, le(BEGIN_BOUND + MARGIN), "{sent_bytes}");
        let error = read.unwrap().unwrap_err().to_string();
        let received = format!("{sent_bytes} bytes");
        expect_that!(error, contains_substring(received));
    }
}

// Guards against an answer that arrives byte by byte and holds its reader for ever.
#[gtest]
#[tokio::test]
async fn an_answer_that_trickles_is_given_up() {
    let store = store_with(vec![two_versions()], Answering::Trickling).await;

    let read = store.read(Stream::Operator, 0, Duration::ZERO);
    let read = timeout(WHOLE_BOUND + MARGIN, read).await;

    expect_that!(read, ok(err(matches_pattern!(StoreError::Unreachable(_)))));
}

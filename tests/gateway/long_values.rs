//! Long values that one instance tells another, compressed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicorywing::gateway::peer_client::PeerClient;
use chicorywing::gateway::peer_listener;
use chicorywing::gateway::relay::{StreamPosition, ToldPositions};
use chicorywing::gateway::state::Gateway;
use chicorywing::gateway::store::{KeyedRecord, Records, Stream};
use chicorywing::gateway::view::Extent;
use googletest::prelude::*;
use tarpc::context;
use tokio::time::Instant;

use super::fake::{FakePlatform, FakeStore, own_address, settings};

/// Instances that get a value from the same one.
const FAN_OUT: usize = 4;
/// Length of the versions here, well above that of values that are sent as they are.
const LONG: usize = 100_000;

async fn instance(name: &str) -> Arc<Gateway<FakePlatform>> {
    let store = FakeStore::new();
    let settings = settings(name, own_address(), &[]);
    let gateway = Gateway::new(FakePlatform::new(&store), settings);
    peer_listener::listen(Arc::clone(&gateway)).await.unwrap();
    gateway
}

fn address(gateway: &Gateway<FakePlatform>) -> SocketAddr {
    gateway.settings().peer_address
}

/// A version whose text goes on with `filler` up to the length of a long one.
fn version(number: u64, filler: &str) -> String {
    format!("{number} {}", filler.repeat(LONG / filler.len()))
}

/// Applies a version that stands at `offset` in the first era.
fn apply(gateway: &Gateway<FakePlatform>, offset: u64, text: &str) {
    apply_in(gateway, 1, offset, text);
}

/// Applies a version that stands at `offset` in an era of the store.
fn apply_in(gateway: &Gateway<FakePlatform>, era: u64, offset: u64, text: &str) {
    let records = Records {
        era,
        records: vec![KeyedRecord {
            era,
            offset,
            key: "config".into(),
            value: Some(text.as_bytes().to_vec()),
        }],
        next_offset: offset + 1,
    };
    gateway.apply_records(Stream::Operator, records, Extent::Following, "test");
}

async fn fetch(from: &Gateway<FakePlatform>, to: &Gateway<FakePlatform>) {
    let mut client = PeerClient::connect(&to.peers.builds, address(from))
        .await
        .unwrap();
    client.fetch(to, Duration::ZERO).await.unwrap();
}

fn stored(gateway: &Gateway<FakePlatform>) -> Option<String> {
    let view = gateway.view();
    let known = view.copy(Stream::Operator).get("config")?;
    String::from_utf8(known.value.clone()?).ok()
}

#[gtest]
#[tokio::test]
async fn long_versions_arrive_whole_and_against_the_one_before() {
    let (from, to) = (instance("a").await, instance("b").await);
    for (offset, number) in [(0, 1), (1, 2), (2, 3)] {
        let text = version(number, "abcdefgh-");
        apply(&from, offset, &text);

        fetch(&from, &to).await;

        expect_that!(stored(&to), some(eq(&text)));
    }
}

// Guards against a version that is put together from a value which the other instance does
// not have.
#[gtest]
#[tokio::test]
async fn a_version_is_sent_whole_to_an_instance_with_another_one_before() {
    let (from, to) = (instance("a").await, instance("b").await);
    apply(&from, 0, &version(1, "abcdefgh-"));
    fetch(&from, &to).await;
    apply(&to, 1, &version(2, "other-text"));
    apply(&from, 1, &version(3, "12345678-"));
    let text = version(4, "12345678-");
    apply(&from, 2, &text);

    fetch(&from, &to).await;

    expect_that!(stored(&to), some(eq(&text)));
}

// Guards against a version that is told with the bytes of another one, which the store has lost
// and whose offset it has given out again.
#[gtest]
#[tokio::test]
async fn a_version_at_an_offset_given_out_again_arrives_as_it_is() {
    let (from, to) = (instance("a").await, instance("b").await);
    apply(&from, 0, &version(1, "abcdefgh-"));
    fetch(&from, &to).await;
    let without_it = Records {
        era: 2,
        records: Vec::new(),
        next_offset: 0,
    };
    from.apply_records(Stream::Operator, without_it, Extent::Newest, "test");
    fetch(&from, &to).await;
    let text = version(2, "12345678-");
    apply_in(&from, 2, 0, &text);

    fetch(&from, &to).await;

    expect_that!(stored(&to), some(eq(&text)));
}

// Guards against whole values between readers that read the same version at the same time.
#[gtest]
#[tokio::test]
async fn a_version_that_was_read_meanwhile_is_not_needed() {
    let (from, to) = (instance("a").await, instance("b").await);
    apply(&from, 0, &version(1, "abcdefgh-"));
    fetch(&from, &to).await;
    let text = version(2, "abcdefgh-");
    apply(&from, 1, &text);
    let (client, _) = from.peers.builds.open(address(&from)).await.unwrap();
    let positions = vec![StreamPosition {
        stream: Stream::Operator,
        told_era: 1,
        next_offset: 1,
    }];
    let told = ToldPositions::default();
    let answer = client
        .packed_records(context::current(), positions, told, 0, true, own_address())
        .await
        .unwrap();
    apply(&to, 1, &text);

    let response = answer.unpack(&to).await.unwrap();

    let value = response.streams[0].records.records[0].value.clone();
    expect_that!(value, some(eq(text.as_bytes())));
}

// Guards against a version that is lost with the instance from which it should be fetched.
#[gtest]
#[tokio::test]
async fn a_version_is_fetched_from_its_teller_if_the_instance_that_has_it_is_gone() {
    let (from, to) = (instance("a").await, instance("b").await);
    let text = version(1, "abcdefgh-");
    apply(&from, 0, &text);
    for _ in 0..FAN_OUT {
        ask_as(&from, own_address()).await;
    }

    fetch(&from, &to).await;

    expect_that!(stored(&to), some(eq(&text)));
}

// Guards against a wait for a value that an instance has, as it read it from the store.
#[gtest]
#[tokio::test]
async fn an_instance_hands_on_a_version_that_it_has_from_elsewhere() {
    let (from, other, to) = (
        instance("a").await,
        instance("c").await,
        instance("b").await,
    );
    let text = version(1, "abcdefgh-");
    apply(&from, 0, &text);
    apply(&other, 0, &text);
    for _ in 0..FAN_OUT {
        ask_as(&from, address(&other)).await;
        ask_as(&from, own_address()).await;
    }
    let began = Instant::now();

    fetch(&from, &to).await;

    expect_that!(stored(&to), some(eq(&text)));
    expect_that!(began.elapsed(), lt(Duration::from_millis(400)));
}

// Guards against an instance whose link carries a version for each of many others.
#[gtest]
#[tokio::test]
async fn few_instances_get_a_version_from_the_same_one() {
    let from = instance("a").await;
    apply(&from, 0, &version(1, "abcdefgh-"));

    let mut sources = Vec::new();
    let askers: Vec<SocketAddr> = (0..24).map(|_| own_address()).collect();
    for asker in &askers {
        sources.push(ask_as(&from, *asker).await);
    }

    for asker in &askers {
        let served = sources
            .iter()
            .filter(|source| **source == Some(*asker))
            .count();
        expect_that!(served, le(FAN_OUT));
    }
    let served_here = sources.iter().filter(|source| source.is_none()).count();
    expect_that!(served_here, eq(FAN_OUT));
    expect_that!(ask_as(&from, askers[23]).await, none(), "asks again");
}

/// Asks for all records as an instance at `asker`; returns the other one from which it is to
/// fetch the version.
async fn ask_as(from: &Gateway<FakePlatform>, asker: SocketAddr) -> Option<SocketAddr> {
    let (client, _) = from.peers.builds.open(address(from)).await.unwrap();
    let positions = vec![StreamPosition {
        stream: Stream::Operator,
        told_era: 0,
        next_offset: 0,
    }];
    let told = ToldPositions::default();
    let answer = client
        .packed_records(context::current(), positions, told, 0, true, asker)
        .await
        .unwrap();
    answer.values[0].source
}

//! Long answers of one instance to all others of its data centre, over a link that carries
//! little. Instances talk over loopback, so these tests run on the real clock.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicorywing::gateway::peer_client::PeerClient;
use chicorywing::gateway::peer_listener;
use chicorywing::gateway::reader_role::LONG_POLL_WAIT;
use chicorywing::gateway::relay::{StreamPosition, ToldPositions};
use chicorywing::gateway::state::Gateway;
use chicorywing::gateway::store::{KeyedRecord, Records, Stream};
use chicorywing::gateway::view::Extent;
use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tarpc::context;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::fake::{FakePlatform, FakeStore, own_address, settings, within};
use super::narrow_links::{NarrowLink, long_version};
use super::reader_role::{BOUND, SETTLE_TIMEOUT};

/// Followers of one instance in the largest data centre of the users' sheets.
const FOLLOWERS: usize = 36;
/// Upstreams of the users' largest sheet.
const UPSTREAMS: u64 = 319;
/// Instances that have asked for a version and do not answer; half of those that get it from
/// the reader.
const FROZEN: usize = 2;
/// Delay before a follower asks again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// An instance with all records, and others that poll it over its link.
struct Fan {
    reader: Arc<Gateway<FakePlatform>>,
    /// Where the others reach it.
    address: SocketAddr,
    link: Arc<NarrowLink>,
    followers: Vec<Arc<Gateway<FakePlatform>>>,
    polls: JoinSet<()>,
}

impl Fan {
    async fn new() -> Self {
        let reader = instance("reader").await;
        let link = NarrowLink::wide();
        let address = link.before(reader.settings().peer_address).await;
        let mut followers = Vec::new();
        for number in 0..FOLLOWERS {
            followers.push(instance(&format!("gate-{number}")).await);
        }
        Self {
            reader,
            address,
            link,
            followers,
            polls: JoinSet::new(),
        }
    }

    fn poll(&mut self) {
        for follower in &self.followers {
            self.polls.spawn(poll(Arc::clone(follower), self.address));
        }
    }

    async fn all_know(&self, limit: Duration, version: u64) {
        let is_known = || self.followers.iter().all(|it| version_of(it) >= version);
        within(limit, &format!("version {version} everywhere"), is_known).await;
    }
}

async fn instance(name: &str) -> Arc<Gateway<FakePlatform>> {
    let store = FakeStore::new();
    let settings = settings(name, own_address(), &[]);
    let gateway = Gateway::new(FakePlatform::new(&store), settings);
    peer_listener::listen(Arc::clone(&gateway)).await.unwrap();
    gateway
}

/// Polls an instance for the life of the test.
async fn poll(gateway: Arc<Gateway<FakePlatform>>, address: SocketAddr) {
    loop {
        if let Ok(mut client) = PeerClient::connect(&gateway.peers.builds, address).await {
            while client.fetch(&gateway, LONG_POLL_WAIT).await.is_ok() {}
        }
        sleep(RETRY_DELAY).await;
    }
}

fn version_of(gateway: &Gateway<FakePlatform>) -> u64 {
    let manifest = gateway.manifest();
    manifest.map_or(0, |manifest| manifest.version)
}

fn write_version(gateway: &Gateway<FakePlatform>, offset: u64, text: &str) {
    let record = KeyedRecord {
        era: 1,
        offset,
        key: "config".into(),
        value: Some(text.as_bytes().to_vec()),
    };
    let records = Records {
        era: 1,
        records: vec![record],
        next_offset: offset + 1,
    };
    gateway.apply_records(Stream::Operator, records, Extent::Following, "test");
}

/// An entry with this state and the fields of those in the users' store.
fn entry(era: u64, offset: u64, number: u64, state: &str) -> KeyedRecord {
    let mut rng = SmallRng::seed_from_u64(number);
    let (id, host, born) = (
        rng.random::<u32>(),
        rng.random::<u16>(),
        rng.random::<u32>(),
    );
    let fields = format!(
        r#"{{"service":"s","addr":"10.4.{host}:8166","zone":"d","version":"v1","slots":4,"state":"{state}","warmup-left":"0ms","seq":{},"born":1760990{}}}"#,
        id % 100,
        born % 1_000_000,
    );
    KeyedRecord {
        era,
        offset,
        key: format!("i-{id:010x}").into(),
        value: Some(format!("{state} 127.0.0.1:9 1 {fields}").into_bytes()),
    }
}

/// The newest entries of all upstreams in an era of the store.
fn entries(era: u64) -> Records {
    Records {
        era,
        records: (0..UPSTREAMS)
            .map(|number| entry(era, number, number, "ready"))
            .collect(),
        next_offset: UPSTREAMS,
    }
}

/// Asks for all records as an instance at `asker`.
async fn ask_as(from: &Gateway<FakePlatform>, asker: SocketAddr) {
    let address = from.settings().peer_address;
    let (client, _) = from.peers.builds.open(address).await.unwrap();
    let positions = vec![StreamPosition {
        stream: Stream::Operator,
        told_era: 1,
        next_offset: 1,
    }];
    let told = ToldPositions::default();
    let answer = client
        .packed_records(context::current(), positions, told, 0, true, asker)
        .await
        .unwrap();
    assert_eq!(answer.values.len(), 1);
}

// Guards against a version that no follower gets in time, since all that should have it from
// a frozen instance ask the same one for it at once.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_instances_delay_a_long_version_only_briefly() {
    let mut fan = Fan::new().await;
    write_version(&fan.reader, 0, &long_version(1, 20));
    fan.reader
        .apply_records(Stream::Upstreams, entries(1), Extent::Newest, "test");
    fan.poll();
    fan.all_know(SETTLE_TIMEOUT, 1).await;
    fan.polls.shutdown().await;
    let mut frozen = Vec::new();
    for _ in 0..FROZEN {
        frozen.push(TcpListener::bind(own_address()).await.unwrap());
    }

    fan.link.narrow();
    write_version(&fan.reader, 1, &long_version(2, 4_200));
    for instance in &frozen {
        ask_as(&fan.reader, instance.local_addr().unwrap()).await;
    }
    fan.poll();

    fan.all_know(BOUND, 2).await;
}

// Guards against a drain that no follower learns of in time, since the link of one instance
// carries the whole state of upstreams for each of them at once.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_known_in_time_after_the_store_returned_from_a_copy() {
    let mut fan = Fan::new().await;
    write_version(&fan.reader, 0, "1");
    fan.reader
        .apply_records(Stream::Upstreams, entries(1), Extent::Newest, "test");
    fan.poll();
    fan.all_know(SETTLE_TIMEOUT, 1).await;
    sleep(LONG_POLL_WAIT).await;

    fan.link.narrow();
    fan.reader
        .apply_records(Stream::Upstreams, entries(2), Extent::Newest, "test");
    let drain = Records {
        era: 2,
        records: vec![entry(2, UPSTREAMS, 0, "draining")],
        next_offset: UPSTREAMS + 1,
    };
    fan.reader
        .apply_records(Stream::Upstreams, drain, Extent::Following, "test");

    let is_known = || {
        let mut followers = fan.followers.iter();
        followers.all(|it| it.view().next_offset(Stream::Upstreams) > UPSTREAMS)
    };
    within(BOUND, "the drain everywhere", is_known).await;
}

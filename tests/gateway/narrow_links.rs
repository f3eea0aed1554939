//! Long versions over links that carry little. Instances talk over loopback, so these tests
//! run on the real clock.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chicorywing::gateway::store::Stream;
use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

use super::fake::{FakePlatform, FakeStore, TestInstance, own_address, settings, within};
use super::reader_role::{BOUND, SETTLE_TIMEOUT};

/// The slowest link of the users' sheets, 10 Mbit/s.
const LINK_BYTES_PER_S: u32 = 1_250_000;
/// Bytes that a link carries at once.
const SEGMENT_BYTES: usize = 4_096;
/// Instances of a data centre.
const INSTANCES: usize = 13;
/// Reads of the store that one reader makes for a new version, as in `reader_role`.
const MAX_STORE_CALLS: usize = 6;

/// The link of one instance; what it sends shares the rate in the order of arrival.
#[derive(Debug)]
pub struct NarrowLink {
    /// When it has carried all that was sent; `None` while it is wide.
    free_at: Mutex<Option<Instant>>,
}

impl NarrowLink {
    pub fn wide() -> Arc<Self> {
        Arc::new(Self {
            free_at: Mutex::default(),
        })
    }

    pub fn narrow(&self) {
        *self.free_at.lock().unwrap() = Some(Instant::now());
    }

    /// Waits until the link has carried `bytes` more.
    async fn carry(&self, bytes: usize) {
        let time = Duration::from_secs(1) * u32::try_from(bytes).unwrap() / LINK_BYTES_PER_S;
        let until = {
            let mut free_at = self.free_at.lock().unwrap();
            let Some(free_at) = free_at.as_mut() else {
                return;
            };
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        sleep_until(until).await;
    }

    /// Starts a proxy before an instance, whose answers pass this link; returns its address.
    pub async fn before(self: &Arc<Self>, instance: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind(own_address()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let link = Arc::clone(self);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(carry_answers(near, instance, Arc::clone(&link)));
            }
        });
        address
    }
}

async fn carry_answers(near: TcpStream, instance: SocketAddr, link: Arc<NarrowLink>) {
    let Ok(far) = TcpStream::connect(instance).await else {
        return;
    };
    let (mut from_caller, mut to_caller) = near.into_split();
    let (mut from_instance, mut to_instance) = far.into_split();
    let calls = tokio::io::copy(&mut from_caller, &mut to_instance);
    let answers = async {
        let mut segment = [0; SEGMENT_BYTES];
        while let Ok(length @ 1..) = from_instance.read(&mut segment).await {
            link.carry(length).await;
            if to_caller.write_all(&segment[..length]).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        _ = calls => {}
        () = answers => {}
    }
}

/// A version with `routes` routes of random names, the first ones the same at each length.
pub fn long_version(version: u64, routes: usize) -> String {
    let mut rng = SmallRng::seed_from_u64(32);
    let mut word = |length: usize| -> String {
        let letters = b"abcdefghijklmnopqrstuvwxyz0123456789";
        let drawn = (0..length).map(|_| char::from(letters[rng.random_range(0..letters.len())]));
        drawn.collect()
    };
    let mut text = format!("{version} ");
    for _ in 0..routes {
        let (name, host, prefix) = (word(7), word(4), word(8));
        write!(
            text,
            r#""r-{name}":{{"host":"{host}.example","path-prefix":"/{prefix}/","kind":"safe","timeout":"2000ms","target-latency":"1000ms","priority":1,"service":"s","attempts":2}},"#
        ).unwrap();
    }
    text
}

/// Instances of one data centre that know version 1, each behind a link of its own, which is
/// narrow from now on.
async fn narrow_fleet(store: &Arc<FakeStore>, routes: usize) -> Vec<TestInstance> {
    store.write(Stream::Operator, "config", Some(&long_version(1, routes)));
    store.write(Stream::Upstreams, "up-1", Some("ready"));
    let mut instances = Vec::new();
    let mut links = Vec::new();
    for number in 0..INSTANCES {
        let link = NarrowLink::wide();
        let address = own_address();
        let announced = link.before(address).await;
        let platform = FakePlatform::new(store).announced_at(announced);
        let settings = settings(&format!("gate-{number}"), address, &[]);
        instances.push(TestInstance::start_with(platform, settings).await);
        links.push(link);
    }
    let are_known = || {
        instances.iter().all(|instance| {
            instance.gateway.view().instances.len() == INSTANCES && version_of(instance) == 1
        })
    };
    within(SETTLE_TIMEOUT, "every instance knows all others", are_known).await;
    let has_settled = || {
        let is_reader = |instance: &&TestInstance| *instance.gateway.watch_reader_role().borrow();
        instances.iter().filter(is_reader).count() == 1
    };
    within(SETTLE_TIMEOUT, "one reader", has_settled).await;
    for link in links {
        link.narrow();
    }
    instances
}

fn version_of(instance: &TestInstance) -> u64 {
    let manifest = instance.gateway.manifest();
    manifest.map_or(0, |manifest| manifest.version)
}

/// Writes a version and waits until all instances know it; returns the number of calls that
/// the store got meanwhile.
async fn write_and_wait(
    store: &Arc<FakeStore>,
    instances: &[TestInstance],
    version: u64,
    routes: usize,
) -> usize {
    let calls_before = store.call_count();
    let text = long_version(version, routes);
    store.write(Stream::Operator, "config", Some(&text));
    let is_known = || instances.iter().all(|it| version_of(it) >= version);
    within(BOUND, &format!("version {version} everywhere"), is_known).await;
    store.call_count() - calls_before
}

// Guards against a version that no follower gets in time, since the reader's link carries it
// whole for each of them at once.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_version_is_known_in_time_over_narrow_links() {
    let store = FakeStore::new();
    let instances = narrow_fleet(&store, 2_800).await;

    let calls_for_routes = write_and_wait(&store, &instances, 2, 4_200).await;
    sleep(Duration::from_millis(500)).await;
    let calls_for_weights = write_and_wait(&store, &instances, 3, 4_200).await;

    expect_that!(calls_for_routes, le(MAX_STORE_CALLS));
    expect_that!(calls_for_weights, le(MAX_STORE_CALLS));
}

// Guards against an instance that is taken for silent while its long answer is on the way.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reader_keeps_its_role_while_its_link_carries_a_long_version() {
    let store = FakeStore::new();
    let instances = narrow_fleet(&store, 20).await;
    let is_reader = |it: &TestInstance| *it.gateway.watch_reader_role().borrow();
    let before: Vec<bool> = instances.iter().map(is_reader).collect();

    write_and_wait(&store, &instances, 2, 4_200).await;

    let after: Vec<bool> = instances.iter().map(is_reader).collect();
    expect_that!(after, eq(&before));
}

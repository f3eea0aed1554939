//! Following the store through its outages; the clock is paused.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicorywing::gateway::follower;
use chicorywing::gateway::relay;
use chicorywing::gateway::state::Gateway;
use chicorywing::gateway::store::Stream;
use googletest::prelude::*;
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::fake::{FakePlatform, FakeStore, Mode, gateway, settings, within};

/// Bound on a change of the manifest that the platform names.
const CONFIG_BOUND: Duration = Duration::from_secs(2);
/// Time of calm after which that bound holds again.
const CALM: Duration = Duration::from_secs(3);

fn follow_all(gateway: &Arc<Gateway<FakePlatform>>) {
    for stream in [Stream::Orders, Stream::Upstreams, Stream::Instances] {
        tokio::spawn(follower::follow(Arc::clone(gateway), stream));
    }
    tokio::spawn(follower::check(Arc::clone(gateway)));
}

fn version(gateway: &Gateway<FakePlatform>) -> u64 {
    gateway.manifest().map_or(0, |manifest| manifest.version)
}

async fn following(store: &Arc<FakeStore>) -> Arc<Gateway<FakePlatform>> {
    store.write(Stream::Orders, "config", Some("1"));
    store.write(Stream::Upstreams, "up-1", Some("ready"));
    let gateway = gateway(store);
    follow_all(&gateway);
    within(CONFIG_BOUND, "the first version", || gateway.is_ready()).await;
    gateway
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_new_version_is_in_force_within_the_bound() {
    let store = FakeStore::new();
    let gateway = following(&store).await;

    sleep(Duration::from_secs(7)).await;
    store.write(Stream::Orders, "config", Some("4"));

    within(CONFIG_BOUND, "version 4", || version(&gateway) == 4).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_version_that_a_long_read_misses_is_found_within_the_bound() {
    let store = FakeStore::new();
    let gateway = following(&store).await;
    store.write(Stream::Orders, "config", Some("2"));
    within(CONFIG_BOUND, "version 2", || version(&gateway) == 2).await;

    // The next long read begins a quarter of a second after the news.
    sleep(Duration::from_millis(260)).await;
    store.write_unseen(Stream::Orders, "config", Some("3"));

    within(CONFIG_BOUND, "version 3", || version(&gateway) == 3).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn who_leaves_the_store_to_another_instance_asks_it_nothing_more() {
    let store = FakeStore::new();
    let gateway = following(&store).await;

    // A moment after its first reads it has found out who reads.
    sleep(Duration::from_millis(400)).await;
    gateway.set_reader_role(false, "the test");
    let before = store.reads();
    sleep(Duration::from_secs(30)).await;

    expect_that!(before, eq(3), "the first read of each stream");
    expect_that!(store.reads(), eq(before));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn the_check_of_a_long_read_is_left_out_once_another_instance_reads() {
    let store = FakeStore::new();
    let gateway = following(&store).await;
    sleep(Duration::from_secs(5)).await;
    store.write(Stream::Orders, "config", Some("2"));
    within(CONFIG_BOUND, "version 2", || version(&gateway) == 2).await;
    // The next long read has begun, and its check is to come.
    sleep(Duration::from_millis(300)).await;

    gateway.set_reader_role(false, "the test");
    let before = store.reads();
    sleep(Duration::from_secs(30)).await;

    expect_that!(store.reads(), eq(before));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_version_written_while_the_store_was_silent_is_found_after_its_return() {
    for silent_s in [1, 4, 8, 15] {
        let store = FakeStore::new();
        let gateway = following(&store).await;
        sleep(Duration::from_secs(3)).await;

        store.set(Mode::Silent);
        sleep(Duration::from_secs(silent_s)).await;
        store.write_unseen(Stream::Orders, "config", Some("5"));
        store.set(Mode::Well);

        let bound = CALM + CONFIG_BOUND;
        within(bound, "version 5", || version(&gateway) == 5).await;
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_version_written_while_the_store_was_slow_is_found() {
    let store = FakeStore::new();
    store.write(Stream::Orders, "config", Some("1"));
    store.set(Mode::Slow);
    let gateway = gateway(&store);
    follow_all(&gateway);
    within(CONFIG_BOUND, "version 1", || version(&gateway) == 1).await;

    sleep(Duration::from_millis(1_500)).await;
    store.write_unseen(Stream::Orders, "config", Some("2"));
    sleep(Duration::from_millis(200)).await;
    store.set(Mode::Well);

    let bound = CALM + CONFIG_BOUND;
    within(bound, "version 2", || version(&gateway) == 2).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_instance_that_becomes_a_reader_of_a_slow_store_misses_nothing() {
    let store = FakeStore::new();
    let gateway = following(&store).await;
    gateway.set_reader_role(false, "the test");
    sleep(Duration::from_secs(3)).await;
    store.set(Mode::Slow);

    gateway.set_reader_role(true, "the test");
    sleep(Duration::from_millis(1_500)).await;
    store.write_unseen(Stream::Orders, "config", Some("2"));
    sleep(Duration::from_millis(200)).await;
    store.set(Mode::Well);

    let bound = CALM + CONFIG_BOUND;
    within(bound, "version 2", || version(&gateway) == 2).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_store_that_turned_slow_is_read_by_short_reads() {
    let store = FakeStore::new();
    let gateway = following(&store).await;
    store.write(Stream::Orders, "config", Some("2"));
    within(CONFIG_BOUND, "version 2", || version(&gateway) == 2).await;
    // Between the start of the next long read and its check.
    sleep(Duration::from_millis(350)).await;
    store.set(Mode::Slow);

    sleep(Duration::from_millis(1_500)).await;
    store.write_unseen(Stream::Orders, "config", Some("3"));
    sleep(Duration::from_millis(200)).await;
    store.set(Mode::Well);

    let bound = CALM + CONFIG_BOUND;
    within(bound, "version 3", || version(&gateway) == 3).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_calm_store_is_called_seldom() {
    let store = FakeStore::new();
    let _gateway = following(&store).await;
    let before = store.reads();

    sleep(Duration::from_mins(1)).await;

    expect_that!(store.reads() - before, le(60_usize.div_ceil(3) + 12));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_older_version_never_comes_back() {
    let store = FakeStore::new();
    let gateway = following(&store).await;
    store.write(Stream::Orders, "config", Some("9"));
    within(CONFIG_BOUND, "version 9", || version(&gateway) == 9).await;

    store.write(Stream::Orders, "config", Some("8"));
    sleep(CALM).await;

    expect_that!(version(&gateway), eq(9));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn dropped_records_are_made_up_for_by_the_newest_ones() {
    let store = FakeStore::new();
    let gateway = following(&store).await;
    store.set(Mode::Refusing);
    sleep(Duration::from_secs(2)).await;
    store.write_unseen(Stream::Upstreams, "up-1", None);
    store.write_unseen(Stream::Upstreams, "up-2", Some("ready"));
    store.compact(Stream::Upstreams);

    store.set(Mode::Well);

    let has_new = || gateway.view().directory.get("up-2").is_some();
    within(CALM, "the new upstream", has_new).await;
    let now_ms = gateway.now_ms() + 3_000;
    gateway.view().directory.expire(now_ms);
    expect_that!(gateway.view().directory.get("up-1").is_none(), eq(true));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_upstream_that_drains_gets_nothing_within_the_bound() {
    let store = FakeStore::new();
    let gateway = following(&store).await;

    store.write(Stream::Upstreams, "up-1", Some("draining"));

    let is_out = || gateway.eligible_upstreams("s").is_empty();
    within(Duration::from_secs(2), "no work for it", is_out).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_data_centre_is_taken_out_and_back() {
    let store = FakeStore::new();
    let gateway = following(&store).await;

    store.write(Stream::Orders, "out/dc-a", Some("{}"));
    let is_out = || gateway.eligible_upstreams("s").is_empty();
    within(CONFIG_BOUND, "taken out", is_out).await;
    store.write(Stream::Orders, "out/dc-a", None);

    let is_back = || gateway.eligible_upstreams("s").len() == 1;
    within(CONFIG_BOUND, "brought back", is_back).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn records_that_cannot_be_read_change_nothing() {
    let store = FakeStore::new();
    let gateway = following(&store).await;

    store.write(Stream::Orders, "config", Some("a manifest cut sho"));
    store.write(Stream::Upstreams, "up-1", Some("sleeping"));
    store.write(Stream::Upstreams, "forged", Some("\u{0}"));
    store.write(
        Stream::Instances,
        "instance/x",
        Some("no address, no place"),
    );
    sleep(CALM).await;

    expect_that!(version(&gateway), eq(1));
    expect_that!(gateway.eligible_upstreams("s").len(), eq(1));
    expect_that!(gateway.view().instances.len(), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_instance_tells_its_address_once_and_not_again_after_a_restart() {
    let store = FakeStore::new();
    for _ in 0..2 {
        let gateway = following(&store).await;
        follower::register(Arc::clone(&gateway)).await;
        let is_known = || gateway.view().instances.len() == 1;
        within(CALM, "its own entry", is_known).await;
    }

    let reader = gateway(&store);
    follow_all(&reader);
    within(CALM, "the entries", || reader.are_instances_loaded()).await;

    expect_that!(reader.view().next(Stream::Instances), eq(1));
}

/// Over loopback, so by the real clock.
#[gtest]
#[tokio::test]
async fn an_instance_that_the_store_refuses_learns_from_another() {
    let store = FakeStore::new();
    store.write(Stream::Orders, "config", Some("1"));
    store.write(Stream::Upstreams, "up-1", Some("ready"));
    let address = free_address().await;
    let teller = Gateway::new(FakePlatform::new(&store), settings("gate-1", address, &[]));
    follow_all(&teller);
    relay::listen(Arc::clone(&teller)).await.unwrap();
    within(CALM, "the teller", || teller.is_ready()).await;
    let refusing = FakeStore::new();
    refusing.set(Mode::Refusing);
    let own = SocketAddr::from(([127, 0, 0, 1], 1));
    let learner = Gateway::new(
        FakePlatform::new(&refusing),
        settings("gate-2", own, &[address]),
    );
    follow_all(&learner);
    within(CALM, "the first version", || learner.is_ready()).await;

    store.write(Stream::Orders, "config", Some("2"));
    store.write(Stream::Upstreams, "up-1", Some("draining"));

    within(CONFIG_BOUND, "version 2", || version(&learner) == 2).await;
    let is_out = || learner.eligible_upstreams("s").is_empty();
    within(CONFIG_BOUND, "no work for the draining one", is_out).await;
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

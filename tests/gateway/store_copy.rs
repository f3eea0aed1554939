//! A store that returns from a copy some seconds old: offsets go back and are given out
//! again. All tests but those of several instances run on a paused clock.

use std::sync::Arc;
use std::time::Duration;

use chicorywing::gateway::follower;
use chicorywing::gateway::long_poll_checks;
use chicorywing::gateway::peer_builds::PeerBuilds;
use chicorywing::gateway::peer_client::PeerClient;
use chicorywing::gateway::settings::Settings;
use chicorywing::gateway::state::Gateway;
use chicorywing::gateway::store::{KeyedRecord, Records, Stream};
use chicorywing::gateway::view::Extent;
use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use super::fake::{
    FakePlatform, FakeStore, Mode, TestInstance, gateway, own_address, settings, within,
};

/// The platform's bound on a drain and on applying a new manifest.
const BOUND: Duration = Duration::from_secs(2);
/// Time for which the store is away in a drill.
const AWAY_TIME: Duration = Duration::from_millis(400);
/// Time after which all that the instances do after a drill is done.
const SETTLE_TIME: Duration = Duration::from_secs(8);
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A gateway that follows the store and knows a version and three upstreams.
async fn loaded_gateway(store: &Arc<FakeStore>) -> Arc<Gateway<FakePlatform>> {
    store.write(Stream::Operator, "config", Some("1"));
    for id in ["up-1", "up-2", "up-3"] {
        store.write(Stream::Upstreams, id, Some("ready"));
    }
    let gateway = gateway(store);
    for stream in [Stream::Operator, Stream::Upstreams, Stream::Instances] {
        tokio::spawn(follower::follow(Arc::clone(&gateway), stream));
    }
    tokio::spawn(long_poll_checks::check_long_polls(Arc::clone(&gateway)));
    within(BOUND, "all is read", || ready_upstreams(&gateway) == 3).await;
    sleep(Duration::from_secs(5)).await;
    gateway
}

fn ready_upstreams(gateway: &Gateway<FakePlatform>) -> usize {
    gateway.eligible_upstreams(super::fake::SERVICE).len()
}

fn version(gateway: &Gateway<FakePlatform>) -> u64 {
    gateway.manifest().map_or(0, |manifest| manifest.version)
}

fn is_usable(gateway: &Gateway<FakePlatform>, id: &str) -> bool {
    let upstreams = gateway.eligible_upstreams(super::fake::SERVICE);
    upstreams.iter().any(|upstream| &*upstream.report.id == id)
}

/// Takes the store away for a moment; it returns without the newest records.
async fn drill(store: &FakeStore, lost: &[(Stream, usize)]) {
    store.set_mode(Mode::Refusing);
    sleep(AWAY_TIME).await;
    for (stream, count) in lost {
        store.return_from_copy(*stream, *count);
    }
    store.set_mode(Mode::Healthy);
}

// Guards against records that stand at offsets given out again being skipped, although the
// end has grown past the known one.
#[gtest]
#[tokio::test(start_paused = true)]
async fn records_at_offsets_given_out_again_are_not_skipped() {
    let store = FakeStore::new();
    let gateway = loaded_gateway(&store).await;
    for round in 0..4 {
        store.write(Stream::Upstreams, "up-3", Some("ready"));
        sleep(Duration::from_millis(100 * round)).await;
    }
    sleep(BOUND).await;

    store.set_mode(Mode::Refusing);
    sleep(AWAY_TIME).await;
    store.return_from_copy(Stream::Upstreams, 4);
    store.write(Stream::Upstreams, "up-1", Some("draining"));
    for _ in 0..5 {
        store.write(Stream::Upstreams, "up-3", Some("ready"));
    }
    store.set_mode(Mode::Healthy);

    within(BOUND, "up-1 drains", || !is_usable(&gateway, "up-1")).await;
    sleep(SETTLE_TIME).await;
    expect_that!(is_usable(&gateway, "up-2"), eq(true));
    expect_that!(is_usable(&gateway, "up-3"), eq(true));
}

// Guards against an upstream that has left, and an evacuation that has ended, being back
// in force because the copy still holds them.
#[gtest]
#[tokio::test(start_paused = true)]
async fn what_had_ended_is_not_in_force_again() {
    let store = FakeStore::new();
    let gateway = loaded_gateway(&store).await;
    store.write(Stream::Operator, "out/dc-b", Some("{}"));
    sleep(BOUND).await;
    store.write(Stream::Operator, "out/dc-b", None);
    store.write(Stream::Upstreams, "up-2", None);
    sleep(BOUND).await;
    expect_that!(is_usable(&gateway, "up-2"), eq(false));

    drill(&store, &[(Stream::Operator, 1), (Stream::Upstreams, 1)]).await;

    for _ in 0..80 {
        sleep(Duration::from_millis(100)).await;
        expect_that!(is_usable(&gateway, "up-2"), eq(false));
        expect_that!(gateway.view().evacuated.len(), eq(0));
    }
}

// Guards against a lost record taking back what had been acknowledged.
#[gtest]
#[tokio::test(start_paused = true)]
async fn what_was_acknowledged_stays_in_force() {
    let store = FakeStore::new();
    let gateway = loaded_gateway(&store).await;
    store.write(Stream::Operator, "config", Some("2"));
    store.write(Stream::Operator, "out/dc-b", Some("{}"));
    store.write(Stream::Upstreams, "up-1", Some("draining"));
    sleep(BOUND).await;

    drill(&store, &[(Stream::Operator, 2), (Stream::Upstreams, 1)]).await;

    for _ in 0..20 {
        sleep(Duration::from_millis(100)).await;
        expect_that!(version(&gateway), eq(2));
        expect_that!(gateway.view().evacuated.len(), eq(1));
        expect_that!(is_usable(&gateway, "up-1"), eq(false));
    }
    // Later writes count, also at the same offsets.
    store.write(Stream::Operator, "config", Some("3"));
    store.write(Stream::Operator, "out/dc-b", Some("{}"));
    store.write(Stream::Operator, "out/dc-b", None);
    within(BOUND, "version 3", || version(&gateway) == 3).await;
    within(BOUND, "the evacuation ends", || {
        gateway.view().evacuated.is_empty()
    })
    .await;
}

// Guards against an upstream that ended during the drill, and whose entry is lost, staying
// in use for good.
#[gtest]
#[tokio::test(start_paused = true)]
async fn an_upstream_that_does_not_write_its_lost_entry_again_is_taken_as_gone() {
    let store = FakeStore::new();
    let gateway = loaded_gateway(&store).await;
    store.write(Stream::Upstreams, "up-4", Some("ready"));
    store.write(Stream::Upstreams, "up-5", Some("ready"));
    within(BOUND, "five upstreams", || ready_upstreams(&gateway) == 5).await;

    drill(&store, &[(Stream::Upstreams, 2)]).await;
    store.write(Stream::Upstreams, "up-5", Some("ready"));

    sleep(SETTLE_TIME).await;
    let now_ms = gateway.now_ms();
    gateway.view().directory.expire(now_ms);
    expect_that!(is_usable(&gateway, "up-4"), eq(false));
    expect_that!(is_usable(&gateway, "up-5"), eq(true));
    expect_that!(is_usable(&gateway, "up-1"), eq(true));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_second_drill_in_a_day_is_no_different() {
    let store = FakeStore::new();
    let gateway = loaded_gateway(&store).await;
    for round in ["2", "3"] {
        store.write(Stream::Operator, "config", Some(round));
        sleep(BOUND).await;
        drill(&store, &[(Stream::Operator, 1)]).await;
        sleep(BOUND).await;
        expect_that!(version(&gateway).to_string(), eq(round));
        store.write(Stream::Operator, "config", Some(round));
        sleep(BOUND).await;
    }
    store.write(Stream::Operator, "config", Some("4"));

    within(BOUND, "version 4", || version(&gateway) == 4).await;
}

/// Instances in two data centres that all know each other.
async fn fleet(store: &Arc<FakeStore>, count: usize) -> Vec<TestInstance> {
    store.write(Stream::Operator, "config", Some("1"));
    for id in ["up-1", "up-2", "up-3"] {
        store.write(Stream::Upstreams, id, Some("ready"));
    }
    let mut instances = Vec::new();
    for number in 0..count {
        instances.push(add_instance(store, &instances, number).await);
    }
    let all_know_all = || {
        instances.iter().all(|instance: &TestInstance| {
            let view = instance.gateway.view();
            view.instances.len() == count && view.directory.len() == 3
        })
    };
    within(SETTLE_TIMEOUT, "all know all", all_know_all).await;
    instances
}

async fn add_instance(
    store: &Arc<FakeStore>,
    others: &[TestInstance],
    number: usize,
) -> TestInstance {
    let mut seeds = Vec::new();
    for instance in others {
        seeds.push(instance.gateway.settings().peer_address);
    }
    let settings = Settings {
        data_centre: ["dc-a", "dc-b"][number % 2].into(),
        ..settings(&format!("gate-{number}"), own_address(), &seeds)
    };
    TestInstance::start(store, settings).await
}

// Guards against an instance that starts between the return and the rewriting taking the
// old copy for the truth.
#[gtest]
#[tokio::test]
async fn an_instance_that_starts_after_a_drill_learns_from_the_others() {
    let store = FakeStore::new();
    let mut instances = fleet(&store, 4).await;
    store.write(Stream::Operator, "config", Some("2"));
    store.write(Stream::Upstreams, "up-1", Some("draining"));
    store.write(Stream::Upstreams, "up-2", None);
    let all_know = |instances: &[TestInstance]| {
        instances.iter().all(|instance| {
            version(&instance.gateway) == 2 && ready_upstreams(&instance.gateway) == 1
        })
    };
    within(SETTLE_TIMEOUT, "all know", || all_know(&instances)).await;

    drill(&store, &[(Stream::Operator, 1), (Stream::Upstreams, 2)]).await;
    instances.push(add_instance(&store, &instances, 4).await);

    let started = &instances[4].gateway;
    within(SETTLE_TIMEOUT, "it is ready", || started.is_ready()).await;
    expect_that!(version(started), eq(2));
    for _ in 0..30 {
        expect_that!(all_know(&instances), eq(true));
        sleep(Duration::from_millis(50)).await;
    }
}

// Guards against the instances' own records staying lost, and against all of them being
// written by every instance.
#[gtest]
#[tokio::test]
async fn the_instances_own_records_are_written_again_once() {
    let store = FakeStore::new();
    let instances = fleet(&store, 6).await;
    sleep(Duration::from_secs(2)).await;
    let before = store.record_count(Stream::Instances);

    drill(&store, &[(Stream::Instances, before)]).await;
    sleep(SETTLE_TIME).await;

    for number in 0..6 {
        let key = format!("instance/gate-{number}");
        expect_that!(store.count_records(Stream::Instances, &key), eq(1), "{key}");
    }
    drop(instances);
}

// Guards against an answer from before the return that arrives after one from behind it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_late_answer_of_the_era_before_is_ignored() {
    let store = FakeStore::new();
    let gateway = loaded_gateway(&store).await;
    let late = Records {
        era: 1,
        records: vec![KeyedRecord {
            era: 1,
            offset: 3,
            key: "up-1".into(),
            value: Some(b"draining".to_vec()),
        }],
        next_offset: 40,
    };
    drill(&store, &[(Stream::Upstreams, 0)]).await;
    let has_new_era = || gateway.view().copy(Stream::Upstreams).era == 2;
    within(SETTLE_TIMEOUT, "the new era is known", has_new_era).await;

    gateway.apply_records(Stream::Upstreams, late, Extent::Following, "the test");

    expect_that!(is_usable(&gateway, "up-1"), eq(true));
    expect_that!(gateway.view().next_offset(Stream::Upstreams), eq(3));
}

// Guards against a part of the store that still answers from before the return being asked
// again without a pause, and counting as one that is read.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_store_that_answers_from_an_ended_era_is_asked_like_one_that_refuses() {
    let store = FakeStore::new();
    let gateway = loaded_gateway(&store).await;
    drill(&store, &[(Stream::Upstreams, 0)]).await;
    let has_new_era = || gateway.view().copy(Stream::Upstreams).era == 2;
    within(SETTLE_TIMEOUT, "the new era is known", has_new_era).await;
    sleep(BOUND).await;

    store.set_in_ended_era(Stream::Upstreams, true);
    store.write(Stream::Upstreams, "up-1", Some("draining"));
    sleep(Duration::from_millis(100)).await;
    let before = store.stream_call_count(Stream::Upstreams);
    sleep(Duration::from_secs(3)).await;
    let made = store.stream_call_count(Stream::Upstreams) - before;
    let is_reader = gateway.is_active_reader();
    store.set_in_ended_era(Stream::Upstreams, false);

    // A store that refuses is asked again after 250 ms at the earliest.
    expect_that!(made, le(12));
    expect_that!(is_reader, eq(false));
    within(BOUND, "up-1 drains", || !is_usable(&gateway, "up-1")).await;
}

// Guards against two readers that call each other without a pause for as long as only one
// of them has noticed that the store has returned from a copy.
#[gtest]
#[tokio::test]
async fn an_instance_in_an_era_that_has_ended_is_not_polled_without_a_pause() {
    let older = FakeStore::new();
    for id in ["up-1", "up-2", "up-3"] {
        older.write(Stream::Upstreams, id, Some("ready"));
    }
    let lagging = TestInstance::start(&older, settings("gate-1", own_address(), &[])).await;
    within(SETTLE_TIMEOUT, "it reads the store", || {
        lagging.gateway.is_active_reader()
    })
    .await;
    let address = lagging.gateway.settings().peer_address;
    let store = FakeStore::new();
    store.write(Stream::Upstreams, "up-1", Some("ready"));
    let gateway = gateway(&store);
    let mut client = PeerClient::connect(&PeerBuilds::default(), address)
        .await
        .unwrap();
    // It is told the whole state of the era before, and then follows the store.
    client.fetch(&gateway, Duration::ZERO).await.unwrap();
    store.return_from_copy(Stream::Upstreams, 0);
    let answer = store.newest(Stream::Upstreams);
    gateway.apply_records(Stream::Upstreams, answer, Extent::Newest, "the test");

    let mut polls = 0;
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(1) {
        client
            .fetch(&gateway, Duration::from_millis(500))
            .await
            .unwrap();
        polls += 1;
    }

    // Each is held for its wait, unless records or notices have changed.
    expect_that!(polls, le(4));
}

// Guards against records being skipped that stand before the offset of a read that began
// before another instance told of the return.
#[gtest]
#[tokio::test(start_paused = true)]
async fn an_answer_to_a_read_of_an_ended_era_skips_no_records() {
    let store = FakeStore::new();
    let gateway = loaded_gateway(&store).await;
    store.write(Stream::Upstreams, "up-2", Some("ready"));
    store.write(Stream::Upstreams, "up-3", Some("ready"));
    sleep(BOUND).await;
    let has_read_all = || gateway.view().next_offset(Stream::Upstreams) == 5;
    within(BOUND, "the end", has_read_all).await;
    store.return_from_copy(Stream::Upstreams, 2);
    let told = store.newest(Stream::Upstreams);
    gateway.apply_records(Stream::Upstreams, told, Extent::PeerState, "the test");

    store.write_without_waking(Stream::Upstreams, "up-1", Some("draining"));
    store.write_without_waking(Stream::Upstreams, "up-2", Some("ready"));
    store.write(Stream::Upstreams, "up-3", Some("ready"));

    within(BOUND, "up-1 drains", || !is_usable(&gateway, "up-1")).await;
}

// Guards against a read that waits at an offset of an ended era after another instance has
// told of the return: it gets no records that stand before that offset.
#[gtest]
#[tokio::test]
async fn a_read_of_an_ended_era_ends_when_another_instance_tells_of_the_return() {
    let store = FakeStore::new();
    for id in ["up-1", "up-2", "up-3"] {
        store.write(Stream::Upstreams, id, Some("ready"));
    }
    let gateway = gateway(&store);
    tokio::spawn(follower::follow(Arc::clone(&gateway), Stream::Upstreams));
    within(BOUND, "all is read", || ready_upstreams(&gateway) == 3).await;
    // The long poll of 3 s follows a pause of 700 ms and one poll of 1.2 s.
    sleep(Duration::from_millis(2_100)).await;
    store.return_from_copy(Stream::Upstreams, 2);
    let peer = TestInstance::start(&store, settings("gate-2", own_address(), &[])).await;
    within(BOUND, "the other instance has read", || {
        peer.gateway.is_active_reader()
    })
    .await;

    let address = peer.gateway.settings().peer_address;
    let mut client = PeerClient::connect(&PeerBuilds::default(), address)
        .await
        .unwrap();
    client.fetch(&gateway, Duration::ZERO).await.unwrap();
    store.write(Stream::Upstreams, "up-1", Some("draining"));

    within(BOUND, "up-1 drains", || !is_usable(&gateway, "up-1")).await;
}

// Guards against an instance that has started taking an upstream that had left from
// another one that has not heard of it yet.
#[gtest]
#[tokio::test(start_paused = true)]
async fn an_instance_that_starts_takes_nothing_back_from_one_that_lags() {
    let store = FakeStore::new();
    let lagging = loaded_gateway(&store).await;
    let state = lagging.view().copy(Stream::Upstreams).all_records();
    store.write(Stream::Upstreams, "up-2", None);
    let started = gateway(&store);
    tokio::spawn(follower::follow(Arc::clone(&started), Stream::Upstreams));
    within(BOUND, "the others are read", || {
        ready_upstreams(&started) == 2
    })
    .await;

    started.apply_records(Stream::Upstreams, state, Extent::PeerState, "the test");

    expect_that!(is_usable(&started, "up-2"), eq(false));
    expect_that!(ready_upstreams(&started), eq(2));
}

//! Entries of another writer among the records of the store: they name nothing to use, and
//! change nothing else.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicorywing::decision::directory::{Change, Directory, UpstreamReport, UpstreamState};
use chicorywing::gateway::follower;
use chicorywing::gateway::settings::parse_duration_ms;
use chicorywing::gateway::state::Gateway;
use chicorywing::gateway::store::{Platform, Stream};
use chicorywing::gateway::supervisor::keep_running;
use chicorywing::gateway::{long_poll_checks, suspect_records};
use chicorywing::platform::PlatformStore;
use googletest::prelude::*;
use serde_json::json;

use super::fake::{
    FakePlatform, FakeStore, SERVICE, TestInstance, own_address, report, settings, within,
};
use super::raw_store::RawStore;

/// Time in which an instance that starts learns all from the store or another instance.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Entries of another writer, when they are many.
const MANY: usize = 100_000;
/// Levels of an entry that is nested deeply.
const DEEP: usize = 100_000;

fn entry(number: u16, state: &str) -> String {
    let address = format!("127.0.0.1:{}", 20_000 + number);
    json!({
        "service": SERVICE, "addr": address, "zone": "dc-a", "version": "v1", "slots": 2,
        "state": state, "warmup-left": "0ms", "seq": 1, "born": 1_700_000_000_000_u64,
    })
    .to_string()
}

fn config(version: u64) -> String {
    json!({
        "version": version,
        "routes": {"r": {
            "host": "h.example", "path-prefix": "/", "kind": "safe", "timeout": "2s",
            "target-latency": "500ms", "service": SERVICE,
        }},
        "services": {SERVICE: {"health-path": "/health"}},
        "limits": {
            "max-header-bytes": 16_384, "max-body-bytes": 65_536, "header-timeout": "3s",
            "idle-timeout": "5s",
        },
    })
    .to_string()
}

/// Values that no upstream writes: each names no upstream to use.
fn odd_entries() -> Vec<(String, Vec<u8>)> {
    let good = entry(0, "ready");
    let mut all: Vec<(String, Vec<u8>)> = Vec::new();
    let deep_lists = "[".repeat(DEEP);
    let closed_lists = format!("{deep_lists}{}", "]".repeat(DEEP));
    let deep_objects = format!("{}1{}", "{\"a\":".repeat(DEEP), "}".repeat(DEEP));
    let digits = "9".repeat(5_000);
    for (name, text) in [
        ("deep, not closed", deep_lists.clone()),
        ("deep", closed_lists.clone()),
        ("deep objects", deep_objects),
        ("a number", digits.clone()),
        ("null", "null".to_owned()),
        ("zero byte", "\0".to_owned()),
        ("half an entry", good[..good.len() / 2].to_owned()),
        ("long", "x".repeat(400_000)),
        ("long text", format!("\"{}\"", "x".repeat(400_000))),
    ] {
        all.push((name.to_owned(), text.into_bytes()));
    }
    let long = format!("\"{}\"", "x".repeat(400_000));
    for (original, odd) in [
        ("\"seq\":1", format!("\"seq\":{closed_lists}")),
        ("\"zone\":\"dc-a\"", format!("\"zone\":{closed_lists}")),
        ("\"seq\":1", "\"seq\":1e999".to_owned()),
        (
            "\"seq\":1",
            "\"seq\":1237940039285380274899124224".to_owned(),
        ),
        ("\"seq\":1", format!("\"seq\":{digits}")),
        ("\"seq\":1", "\"seq\":-1".to_owned()),
        ("\"seq\":1", "\"seq\":1.5".to_owned()),
        ("\"slots\":2", "\"slots\":4294967296".to_owned()),
        ("\"slots\":2", "\"slots\":-2".to_owned()),
        ("\"slots\":2,", String::new()),
        ("1700000000000", "1e999".to_owned()),
        ("1700000000000", digits.clone()),
        ("127.0.0.1:20000", "127.0.0.1:70000".to_owned()),
        ("127.0.0.1:20000", "127.0.0.1:-1".to_owned()),
        ("127.0.0.1:20000", "127.0.0.1:0".to_owned()),
        ("127.0.0.1:20000", "0.0.0.0:20000".to_owned()),
        ("127.0.0.1:20000", "127.0.0.1:".to_owned()),
        ("127.0.0.1:20000", "127.0.0.1".to_owned()),
        ("\"127.0.0.1:20000\"", long),
        ("\"ready\"", "\"sleeping\"".to_owned()),
        ("\"ready\"", "7".to_owned()),
        ("\"0ms\"", "\"1e999s\"".to_owned()),
        ("\"0ms\"", "\"soon\"".to_owned()),
    ] {
        let text = good.replacen(original, &odd, 1);
        assert_ne!(text, good, "{original}");
        let shown: String = odd.chars().take(40).collect();
        all.push((format!("{original} as {shown}"), text.into_bytes()));
    }
    let mut bytes = good.clone().into_bytes();
    let position = good.find("dc-a").unwrap();
    bytes[position] = 0xff;
    all.push(("a zone that is not UTF-8".to_owned(), bytes));
    all.push(("not UTF-8".to_owned(), vec![0xff, 0xfe, 0xc0, 0x80]));
    all
}

/// A gateway that follows a store like the platform's.
pub fn follow(store: &RawStore) -> Arc<Gateway<PlatformStore>> {
    let platform = PlatformStore::new(store.address);
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let gateway = Gateway::new(platform, settings("gate-1", nowhere, &[]));
    for stream in [Stream::Operator, Stream::Upstreams, Stream::Instances] {
        let followed = Arc::clone(&gateway);
        keep_running("follower", move || {
            follower::follow(Arc::clone(&followed), stream)
        });
    }
    tokio::spawn(long_poll_checks::check_long_polls(Arc::clone(&gateway)));
    tokio::spawn(suspect_records::keep_stored(Arc::clone(&gateway)));
    gateway
}

fn version<P: Platform>(gateway: &Gateway<P>) -> u64 {
    gateway.manifest().map_or(0, |manifest| manifest.version)
}

fn upstreams<P: Platform>(gateway: &Gateway<P>) -> Vec<String> {
    let eligible = gateway.eligible_upstreams(SERVICE);
    let mut ids: Vec<String> = eligible
        .iter()
        .map(|upstream| upstream.report.id.to_string())
        .collect();
    ids.sort();
    ids
}

/// Writes a version and two upstreams.
async fn store_with_good_entries() -> RawStore {
    let store = RawStore::start().await;
    store.write("keyed.op", b"config", config(1).as_bytes());
    store.write("keyed.servers", b"up-1", entry(1, "ready").as_bytes());
    store.write("keyed.servers", b"up-2", entry(2, "ready").as_bytes());
    store
}

/// Waits until a gateway has taken version 2 and a new upstream, with the known ones left.
async fn expect_news_taken<P: Platform>(gateway: &Gateway<P>, time: Duration, what: &str) {
    within(time, &format!("version 2: {what}"), || {
        version(gateway) == 2
    })
    .await;
    let has_all = || upstreams(gateway) == ["up-1", "up-2", "up-3"];
    within(time, &format!("the upstreams: {what}"), has_all).await;
}

fn write_news(store: &RawStore) {
    store.write("keyed.op", b"config", config(2).as_bytes());
    store.write("keyed.servers", b"up-3", entry(3, "ready").as_bytes());
}

// Guards against one odd entry of another writer that ends the instances which read it in
// the log, or stops them from following the list.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_in_the_log_name_no_upstream_and_the_others_hold() {
    for (name, value) in odd_entries() {
        let store = store_with_good_entries().await;
        let gateway = follow(&store);
        within(START_TIMEOUT, "ready", || upstreams(&gateway).len() == 2).await;

        store.write("keyed.servers", b"odd", &value);
        write_news(&store);

        expect_news_taken(&gateway, START_TIMEOUT, &name).await;
    }
}

// Guards against one odd entry of another writer that an instance cannot get over when it
// loads the newest entries.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_in_a_snapshot_name_no_upstream_and_the_others_hold() {
    for (name, value) in odd_entries() {
        let store = store_with_good_entries().await;
        store.write("keyed.servers", b"odd", &value);
        write_news(&store);

        let gateway = follow(&store);

        expect_news_taken(&gateway, START_TIMEOUT, &name).await;
    }
}

// Guards against an entry whose key cannot be read making the newest entries unreadable.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_that_are_not_utf_8_name_no_upstream_and_the_others_hold() {
    for is_first in [true, false] {
        let store = store_with_good_entries().await;
        let key = if is_first { b"\xff\xfe" } else { b"zz" };
        let other_key = if is_first {
            &b"aa"[..]
        } else {
            b"z\xed\xa0\x80"
        };
        store.write("keyed.servers", key, b"{}");
        store.write("keyed.servers", other_key, b"{}");
        write_news(&store);

        let gateway = follow(&store);
        expect_news_taken(&gateway, START_TIMEOUT, "snapshot").await;
        store.write("keyed.servers", b"\xff\xfd", b"{}");
        store.write("keyed.servers", b"up-4", entry(4, "ready").as_bytes());

        within(START_TIMEOUT, "log", || upstreams(&gateway).len() == 4).await;
    }
}

// Guards against a remaining time so long that the end of the warm-up cannot be told.
#[gtest]
fn an_entry_that_stays_cold_for_ever_is_taken() {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    let cold_left_ms = parse_duration_ms("18446744073709548s").unwrap();
    let cold = UpstreamReport {
        cold_left_ms,
        ..report("cold", nowhere, UpstreamState::Ready)
    };
    let mut directory = Directory::default();

    let change = directory.put(cold, 5_000);

    expect_that!(change, eq(Change::Joined));
    expect_that!(
        directory.get("cold").unwrap().cold_until_ms,
        ge(cold_left_ms)
    );
}

// Guards against an odd entry under the key of a living upstream that ends its readers, or
// keeps the next good one from being taken.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_of_living_upstreams_are_replaced_by_their_next_good_ones() {
    for (name, value) in odd_entries() {
        let store = store_with_good_entries().await;
        let gateway = follow(&store);
        within(START_TIMEOUT, "ready", || upstreams(&gateway).len() == 2).await;

        store.write("keyed.servers", b"up-1", &value);
        write_news(&store);
        within(START_TIMEOUT, &name, || version(&gateway) == 2).await;
        let others_hold = || upstreams(&gateway).ends_with(&["up-2".to_owned(), "up-3".to_owned()]);
        within(START_TIMEOUT, &name, others_hold).await;
        let started_later = follow(&store);
        let knows_others = || upstreams(&started_later) == ["up-2", "up-3"];
        within(START_TIMEOUT, &name, knows_others).await;
        store.write("keyed.servers", b"up-1", entry(1, "draining").as_bytes());

        let has_drained = || upstreams(&gateway) == ["up-2", "up-3"];
        within(START_TIMEOUT, &name, has_drained).await;
    }
}

// Guards against odd records among the instances' own or the operators' that end the
// readers, or stop them from following either stream.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn odd_records_of_instances_and_operators_change_nothing_else() {
    for (name, value) in odd_entries() {
        let store = store_with_good_entries().await;
        let gateway = follow(&store);
        within(START_TIMEOUT, "ready", || upstreams(&gateway).len() == 2).await;

        for key in [
            &b"instance/odd"[..],
            b"crash/00000000000000ff",
            b"crash/odd",
            b"else",
        ] {
            store.write("keyed.instances", key, &value);
        }
        for key in [&b"config"[..], b"evacuate/", b"evacuate/nowhere", b"else"] {
            store.write("keyed.op", key, &value);
        }
        write_news(&store);
        store.write("keyed.instances", b"instance/new", b"127.0.0.1:7 dc-a");

        expect_news_taken(&gateway, START_TIMEOUT, &name).await;
        let knows = || gateway.view().instances.contains_key("new");
        within(START_TIMEOUT, &name, knows).await;
        let started_later = follow(&store);
        expect_news_taken(&started_later, START_TIMEOUT, &name).await;
    }
}

// Guards against many odd entries that keep an instance from following the store, or one
// that starts from loading it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn many_odd_entries_keep_no_instance_from_following_the_store() {
    let store = store_with_good_entries().await;
    let gateway = follow(&store);
    within(START_TIMEOUT, "ready", || upstreams(&gateway).len() == 2).await;

    for number in 0..MANY {
        store.write(
            "keyed.servers",
            format!("odd-{number}").as_bytes(),
            b"{\"seq\":1e999}",
        );
    }
    write_news(&store);

    expect_news_taken(&gateway, 3 * START_TIMEOUT, "in the log").await;
    let started_later = follow(&store);
    expect_news_taken(&started_later, 3 * START_TIMEOUT, "in the snapshot").await;
}

// Guards against a list that is too long for one frame between instances: those that follow
// a reader would learn nothing more.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn instances_that_follow_another_one_learn_all_beside_odd_entries() {
    for (count, bytes) in [(1, 400_000), (120, 100_000), (MANY, 20)] {
        let store = FakeStore::new();
        store.write(Stream::Operator, "config", Some("1"));
        store.write(Stream::Upstreams, "up-1", Some("ready"));
        let address = own_address();
        let reader = settings("gate-1", address, &[]);
        let _reader = TestInstance::start(&store, reader).await;
        let follower = start_silent(&store, "gate-2", address).await;
        within(START_TIMEOUT, "ready", || follower.gateway.is_ready()).await;

        let value = "x".repeat(bytes);
        for number in 0..count {
            store.write_without_waking(Stream::Upstreams, &format!("odd-{number}"), Some(&value));
        }
        store.write(Stream::Upstreams, "up-2", Some("ready"));
        store.write(Stream::Operator, "config", Some("2"));

        let what = format!("{count} entries of {bytes} bytes");
        let knows_all = |instance: &TestInstance| {
            version(&instance.gateway) == 2 && upstreams(&instance.gateway).len() == 2
        };
        within(3 * START_TIMEOUT, &what, || knows_all(&follower)).await;
        let started_later = start_silent(&store, "gate-3", address).await;
        within(3 * START_TIMEOUT, &what, || knows_all(&started_later)).await;
    }
}

/// An instance whose calls the store leaves without an answer.
async fn start_silent(store: &Arc<FakeStore>, name: &str, seed: SocketAddr) -> TestInstance {
    let platform = FakePlatform::new(store);
    platform.set_silent(true);
    TestInstance::start_with(platform, settings(name, own_address(), &[seed])).await
}

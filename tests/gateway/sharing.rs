//! One reader of the store in each data centre; over loopback, so by the real
//! clock.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicorywing::gateway::settings::Settings;
use chicorywing::gateway::state::Gateway;
use chicorywing::gateway::store::Stream;
use chicorywing::gateway::{follower, relay, sharing};
use googletest::prelude::*;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::fake::{FakePlatform, FakeStore, Mode, settings, within};

/// Bound on a drain and on a change of the manifest that the platform names.
const BOUND: Duration = Duration::from_secs(2);
const SETTLED: Duration = Duration::from_secs(10);

/// A gateway with all that follows the store, in its own tasks.
struct Member {
    gateway: Arc<Gateway<FakePlatform>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Member {
    async fn start(store: &Arc<FakeStore>, name: &str, data_centre: &str) -> Self {
        let address = free_address().await;
        Self::start_at(store, name, data_centre, address).await
    }

    async fn start_at(
        store: &Arc<FakeStore>,
        name: &str,
        data_centre: &str,
        address: SocketAddr,
    ) -> Self {
        let settings = Settings {
            data_centre: data_centre.into(),
            ..settings(name, address, &[])
        };
        let gateway = Gateway::new(FakePlatform::new(store), settings);
        relay::listen(Arc::clone(&gateway)).await.unwrap();
        let mut tasks = Vec::new();
        for stream in [Stream::Orders, Stream::Upstreams, Stream::Instances] {
            let follow = follower::follow(Arc::clone(&gateway), stream);
            tasks.push(tokio::spawn(follow));
        }
        tasks.push(tokio::spawn(follower::check(Arc::clone(&gateway))));
        tasks.push(tokio::spawn(follower::register(Arc::clone(&gateway))));
        tasks.push(tokio::spawn(sharing::share(Arc::clone(&gateway))));
        Self { gateway, tasks }
    }

    fn is_reader(&self) -> bool {
        *self.gateway.watch_reader_role().borrow()
    }

    fn version(&self) -> u64 {
        let manifest = self.gateway.manifest();
        manifest.map_or(0, |manifest| manifest.version)
    }
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

async fn fleet(store: &Arc<FakeStore>, places: &[(&str, &str)]) -> Vec<Member> {
    store.write(Stream::Orders, "config", Some("1"));
    store.write(Stream::Upstreams, "up-1", Some("ready"));
    let mut members = Vec::new();
    for (name, data_centre) in places {
        members.push(Member::start(store, name, data_centre).await);
    }
    let count = places.len();
    let mut data_centres: Vec<&str> = places.iter().map(|(_, place)| *place).collect();
    data_centres.sort_unstable();
    data_centres.dedup();
    let are_known = || {
        let mut all = members.iter();
        all.all(|member| member.gateway.view().instances.len() == count)
    };
    within(SETTLED, "all know all", are_known).await;
    let has_settled = || {
        let readers = members.iter().filter(|member| member.is_reader()).count();
        readers == data_centres.len()
    };
    within(SETTLED, "one reader in each data centre", has_settled).await;
    members
}

const FOUR: [(&str, &str); 4] = [("a", "x"), ("b", "x"), ("c", "x"), ("d", "x")];

#[gtest]
#[tokio::test]
async fn one_instance_reads_for_all_of_its_data_centre() {
    let store = FakeStore::new();
    let members = fleet(&store, &FOUR).await;
    sleep(Duration::from_millis(500)).await;
    let before = store.reads();

    store.write(Stream::Orders, "config", Some("2"));
    let is_known = || members.iter().all(|member| member.version() == 2);
    within(BOUND, "version 2 everywhere", is_known).await;

    expect_that!(store.reads() - before, le(6));
}

#[gtest]
#[tokio::test]
async fn news_reach_all_within_the_bound_after_their_reader_has_died() {
    let store = FakeStore::new();
    let members = fleet(&store, &FOUR).await;
    let reader = members.iter().position(Member::is_reader).unwrap();
    for task in &members[reader].tasks {
        task.abort();
    }
    // It answers no more, though its connections stay open.
    members[reader]
        .gateway
        .set_reader_role(false, "frozen by the test");

    store.write(Stream::Upstreams, "up-1", Some("draining"));

    let others = || {
        let mut others = members
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != reader);
        others.all(|(_, member)| member.gateway.eligible_upstreams("s").is_empty())
    };
    within(BOUND, "none sends to it", others).await;
}

#[gtest]
#[tokio::test]
async fn a_reader_that_stops_hands_over_at_once() {
    let store = FakeStore::new();
    let members = fleet(&store, &FOUR).await;
    let reader = members.iter().position(Member::is_reader).unwrap();

    members[reader].gateway.begin_stop();
    let has_moved = || {
        let mut others = members
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != reader);
        others.any(|(_, member)| member.is_reader())
    };
    within(BOUND, "another one reads", has_moved).await;
    store.write(Stream::Orders, "config", Some("2"));

    let is_known = || members.iter().all(|member| member.version() == 2);
    within(BOUND, "version 2 everywhere", is_known).await;
}

#[gtest]
#[tokio::test]
async fn a_reader_that_the_store_refuses_learns_from_another_data_centre() {
    let store = FakeStore::new();
    let members = fleet(&store, &[("a", "x"), ("b", "y")]).await;
    let cut = FakeStore::new();
    cut.set(Mode::Refusing);
    let alone = Member::start(&cut, "c", "z").await;
    // The store has never answered it, so another instance tells it who is there.
    let known = members[0].gateway.view().records_from(Stream::Instances, 0);
    alone
        .gateway
        .apply_records(Stream::Instances, known, true, "the test");

    store.write(Stream::Orders, "config", Some("2"));

    within(BOUND, "version 2", || alone.version() == 2).await;
}

#[gtest]
#[tokio::test]
async fn a_store_that_answers_nobody_is_tried_by_a_few_of_each_data_centre() {
    let store = FakeStore::new();
    let names: Vec<String> = (0..9).map(|number| format!("gate-{number}")).collect();
    let places: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "x")).collect();
    let members = fleet(&store, &places).await;
    store.set(Mode::Refusing);
    store.write(Stream::Orders, "config", Some("2"));
    let is_lost = || {
        members
            .iter()
            .all(|member| !member.gateway.is_active_reader())
    };
    within(SETTLED, "the store is lost", is_lost).await;
    sleep(Duration::from_secs(3)).await;

    let readers = members.iter().filter(|member| member.is_reader()).count();
    store.set(Mode::Well);
    store.write(Stream::Orders, "config", Some("3"));

    expect_that!(readers, le(3));
    let is_known = || members.iter().all(|member| member.version() == 3);
    within(SETTLED, "version 3 everywhere", is_known).await;
}

#[gtest]
#[tokio::test]
async fn instances_that_start_together_leave_the_following_to_one() {
    let store = FakeStore::new();
    store.write(Stream::Orders, "config", Some("1"));
    store.write(Stream::Upstreams, "up-1", Some("ready"));
    // All were known before they lost their power.
    let mut places = Vec::new();
    for number in 0..8 {
        let (name, address) = (format!("gate-{number}"), free_address().await);
        let record = settings(&name, address, &[]).as_instance().to_record();
        let key = format!("instance/{name}");
        store.write(Stream::Instances, &key, Some(&record));
        places.push((name, address));
    }

    let mut members = Vec::new();
    for (name, address) in &places {
        members.push(Member::start_at(&store, name, "dc-a", *address).await);
    }
    let is_known = || members.iter().all(|member| member.version() == 1);
    within(BOUND, "all know the version", is_known).await;
    sleep(Duration::from_secs(2)).await;

    // Each reads three streams once; one follows them on.
    expect_that!(store.reads(), le(8 * 3 + 8));
    let readers = members.iter().filter(|member| member.is_reader());
    expect_that!(readers.count(), eq(1));
}

#[gtest]
#[tokio::test]
async fn entries_that_lapse_with_the_store_are_kept_by_those_who_follow_a_reader() {
    let store = FakeStore::new();
    let members = fleet(&store, &FOUR).await;
    store.set(Mode::Refusing);
    // Long reads are not cut by the refusal; each gets its record and asks anew.
    store.write(Stream::Orders, "config", Some("2"));
    let is_lost = || {
        members
            .iter()
            .all(|member| !member.gateway.is_active_reader())
    };
    within(SETTLED, "the store is lost", is_lost).await;
    store.write_unseen(Stream::Upstreams, "up-1", None);

    store.set(Mode::Well);
    let is_back = || {
        members
            .iter()
            .any(|member| member.gateway.is_active_reader())
    };
    within(SETTLED, "the store is back", is_back).await;
    sleep(Duration::from_millis(300)).await;

    for member in &members {
        let upstreams = member.gateway.eligible_upstreams("s").len();
        expect_that!(upstreams, eq(1), "{}", member.gateway.settings().name);
    }
}

#[gtest]
fn an_instance_is_found_by_its_record() {
    let address = SocketAddr::from(([10, 0, 0, 1], 82));
    let record = settings("a", address, &[]).as_instance().to_record();

    expect_that!(record, eq("10.0.0.1:82 dc-a"));
}

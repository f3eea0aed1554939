//! The choice of one reader of the store per data centre. Instances talk over
//! loopback, so these tests run on the real clock.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicorywing::gateway::settings::Settings;
use chicorywing::gateway::state::Gateway;
use chicorywing::gateway::store::Stream;
use chicorywing::gateway::view::Extent;
use chicorywing::gateway::{follower, long_poll_checks, peer_listener, reader_role};
use googletest::prelude::*;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::fake::{FakePlatform, FakeStore, Mode, own_address, settings, within};

/// The platform's bound on a drain and on applying a new manifest.
pub const BOUND: Duration = Duration::from_secs(2);
/// Time within which the instances know each other and agree on the readers.
pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A gateway with the tasks that read the store and exchange records.
pub struct TestInstance {
    pub gateway: Arc<Gateway<FakePlatform>>,
    tasks: Vec<JoinHandle<()>>,
}

impl TestInstance {
    async fn start(store: &Arc<FakeStore>, name: &str, data_centre: &str) -> Self {
        let address = own_address();
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
        peer_listener::listen(Arc::clone(&gateway)).await.unwrap();
        let mut tasks = Vec::new();
        for stream in [Stream::Operator, Stream::Upstreams, Stream::Instances] {
            let follow = follower::follow(Arc::clone(&gateway), stream);
            tasks.push(tokio::spawn(follow));
        }
        tasks.push(tokio::spawn(long_poll_checks::check_long_polls(
            Arc::clone(&gateway),
        )));
        tasks.push(tokio::spawn(follower::register_instance(Arc::clone(
            &gateway,
        ))));
        tasks.push(tokio::spawn(reader_role::run(Arc::clone(&gateway))));
        Self { gateway, tasks }
    }

    pub fn is_reader(&self) -> bool {
        *self.gateway.watch_reader_role().borrow()
    }

    pub fn version(&self) -> u64 {
        let manifest = self.gateway.manifest();
        manifest.map_or(0, |manifest| manifest.version)
    }
}

pub async fn fleet(store: &Arc<FakeStore>, layout: &[(&str, &str)]) -> Vec<TestInstance> {
    store.write(Stream::Operator, "config", Some("1"));
    store.write(Stream::Upstreams, "up-1", Some("ready"));
    let mut instances = Vec::new();
    for (name, data_centre) in layout {
        instances.push(TestInstance::start(store, name, data_centre).await);
    }
    let count = layout.len();
    let mut data_centres: Vec<&str> = layout.iter().map(|(_, data_centre)| *data_centre).collect();
    data_centres.sort_unstable();
    data_centres.dedup();
    let are_known = || {
        let mut all = instances.iter();
        all.all(|instance| instance.gateway.view().instances.len() == count)
    };
    within(SETTLE_TIMEOUT, "every instance knows all others", are_known).await;
    let has_settled = || {
        let readers = instances
            .iter()
            .filter(|instance| instance.is_reader())
            .count();
        readers == data_centres.len()
    };
    within(
        SETTLE_TIMEOUT,
        "one reader in each data centre",
        has_settled,
    )
    .await;
    instances
}

const FOUR_INSTANCES: [(&str, &str); 4] = [("a", "x"), ("b", "x"), ("c", "x"), ("d", "x")];

#[gtest]
#[tokio::test]
async fn one_instance_reads_the_store_for_its_data_centre() {
    let store = FakeStore::new();
    let instances = fleet(&store, &FOUR_INSTANCES).await;
    sleep(Duration::from_millis(500)).await;
    let before = store.call_count();

    store.write(Stream::Operator, "config", Some("2"));
    let is_known = || instances.iter().all(|instance| instance.version() == 2);
    within(BOUND, "version 2 everywhere", is_known).await;

    expect_that!(store.call_count() - before, le(6));
}

#[gtest]
#[tokio::test]
async fn updates_reach_all_within_the_bound_after_the_reader_stops_reading() {
    let store = FakeStore::new();
    let instances = fleet(&store, &FOUR_INSTANCES).await;
    let reader = instances.iter().position(TestInstance::is_reader).unwrap();
    for task in &instances[reader].tasks {
        task.abort();
    }
    // It no longer reads the store, though its connections stay open.
    instances[reader]
        .gateway
        .set_reader_role(false, "stopped by the test");

    store.write(Stream::Upstreams, "up-1", Some("draining"));

    let others = || {
        let mut others = instances
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != reader);
        others.all(|(_, instance)| instance.gateway.eligible_upstreams("s").is_empty())
    };
    within(
        BOUND,
        "the other instances remove the draining upstream",
        others,
    )
    .await;
}

#[gtest]
#[tokio::test]
async fn a_stopping_reader_hands_over_within_the_bound() {
    let store = FakeStore::new();
    let instances = fleet(&store, &FOUR_INSTANCES).await;
    let reader = instances.iter().position(TestInstance::is_reader).unwrap();

    instances[reader].gateway.begin_stop();
    let has_moved = || {
        let mut others = instances
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != reader);
        others.any(|(_, instance)| instance.is_reader())
    };
    within(BOUND, "another instance becomes the reader", has_moved).await;
    store.write(Stream::Operator, "config", Some("2"));

    let is_known = || instances.iter().all(|instance| instance.version() == 2);
    within(BOUND, "version 2 everywhere", is_known).await;
}

#[gtest]
#[tokio::test]
async fn a_reader_refused_by_the_store_reads_from_another_data_centre() {
    let store = FakeStore::new();
    let instances = fleet(&store, &[("a", "x"), ("b", "y")]).await;
    let refusing = FakeStore::new();
    refusing.set_mode(Mode::Refusing);
    let isolated = TestInstance::start(&refusing, "c", "z").await;
    // The store has never answered this instance, so the test gives it the
    // instances' records.
    let known = instances[0]
        .gateway
        .view()
        .copy(Stream::Instances)
        .all_records();
    isolated
        .gateway
        .apply_records(Stream::Instances, known, Extent::PeerState, "the test");

    store.write(Stream::Operator, "config", Some("2"));

    within(BOUND, "version 2", || isolated.version() == 2).await;
}

#[gtest]
#[tokio::test]
async fn an_unavailable_store_is_tried_by_few_instances_per_data_centre() {
    let store = FakeStore::new();
    let names: Vec<String> = (0..9).map(|number| format!("gate-{number}")).collect();
    let layout: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "x")).collect();
    let instances = fleet(&store, &layout).await;
    store.set_mode(Mode::Refusing);
    store.write(Stream::Operator, "config", Some("2"));
    let is_lost = || {
        instances
            .iter()
            .all(|instance| !instance.gateway.is_active_reader())
    };
    within(SETTLE_TIMEOUT, "the store is lost", is_lost).await;
    sleep(Duration::from_secs(3)).await;

    let readers = instances
        .iter()
        .filter(|instance| instance.is_reader())
        .count();
    store.set_mode(Mode::Healthy);
    store.write(Stream::Operator, "config", Some("3"));

    expect_that!(readers, le(3));
    let is_known = || instances.iter().all(|instance| instance.version() == 3);
    within(SETTLE_TIMEOUT, "version 3 everywhere", is_known).await;
}

#[gtest]
#[tokio::test]
async fn instances_that_start_together_settle_on_one_reader() {
    let store = FakeStore::new();
    store.write(Stream::Operator, "config", Some("1"));
    store.write(Stream::Upstreams, "up-1", Some("ready"));
    // All instances are registered already, as after a power failure.
    let mut layout = Vec::new();
    for number in 0..8 {
        let (name, address) = (format!("gate-{number}"), own_address());
        let record = settings(&name, address, &[]).as_instance().to_record();
        let key = format!("instance/{name}");
        store.write(Stream::Instances, &key, Some(&record));
        layout.push((name, address));
    }

    let mut instances = Vec::new();
    for (name, address) in &layout {
        instances.push(TestInstance::start_at(&store, name, "dc-a", *address).await);
    }
    let is_known = || instances.iter().all(|instance| instance.version() == 1);
    within(BOUND, "version 1 everywhere", is_known).await;
    sleep(Duration::from_secs(2)).await;

    // Each instance reads three streams once; only one continues.
    expect_that!(store.call_count(), le(8 * 3 + 8));
    let readers = instances.iter().filter(|instance| instance.is_reader());
    expect_that!(readers.count(), eq(1));
}

#[gtest]
#[tokio::test]
async fn entries_that_lapse_during_a_store_outage_are_kept_by_followers() {
    let store = FakeStore::new();
    let instances = fleet(&store, &FOUR_INSTANCES).await;
    store.set_mode(Mode::Refusing);
    // Pending long polls are not refused; this record ends them, and the next ones
    // fail.
    store.write(Stream::Operator, "config", Some("2"));
    let is_lost = || {
        instances
            .iter()
            .all(|instance| !instance.gateway.is_active_reader())
    };
    within(SETTLE_TIMEOUT, "the store is lost", is_lost).await;
    store.write_without_waking(Stream::Upstreams, "up-1", None);

    store.set_mode(Mode::Healthy);
    let is_back = || {
        instances
            .iter()
            .any(|instance| instance.gateway.is_active_reader())
    };
    within(SETTLE_TIMEOUT, "the store is back", is_back).await;
    sleep(Duration::from_millis(300)).await;

    for instance in &instances {
        let upstreams = instance.gateway.eligible_upstreams("s").len();
        expect_that!(upstreams, eq(1), "{}", instance.gateway.settings().name);
    }
}

#[gtest]
fn an_instance_record_holds_address_and_data_centre() {
    let address = SocketAddr::from(([10, 0, 0, 1], 82));
    let record = settings("a", address, &[]).as_instance().to_record();

    expect_that!(record, eq("10.0.0.1:82 dc-a"));
}

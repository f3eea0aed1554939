//! The search for an instance that the store serves while it turns all readers away.
//! Instances talk over loopback, so these tests run on the real clock.

use std::sync::Arc;
use std::time::Duration;

use chicorywing::decision::rendezvous::weight;
use chicorywing::gateway::store::Stream;
use futures::future::join_all;
use googletest::prelude::*;
use tokio::time::{Instant, sleep, sleep_until};

use super::fake::{FakeStore, within};
use super::reader_role::{BOUND, SETTLE_TIMEOUT, TestInstance, fleet};

/// Thirteen instances in three data centres.
fn thirteen_instances() -> Vec<(String, &'static str)> {
    let mut layout = Vec::new();
    for number in 0..13 {
        layout.push((format!("gate-{number}"), ["x", "y", "z"][number % 3]));
    }
    layout
}

/// Starts them; the last one is the one of `x` that reads the store after all others.
async fn thirteen_instance_fleet(store: &Arc<FakeStore>) -> Vec<TestInstance> {
    let names = thirteen_instances();
    let layout: Vec<(&str, &str)> = names.iter().map(|(name, at)| (&**name, *at)).collect();
    let mut instances = fleet(store, &layout).await;
    instances.sort_by_key(|instance| {
        let settings = instance.gateway.settings();
        let is_in_x = &*settings.data_centre == "x";
        let rank = weight(&settings.data_centre, &settings.name);
        (is_in_x, std::cmp::Reverse(rank))
    });
    instances
}

// Guards against versions that stay unknown while the store turns the readers of all data
// centres away and serves another instance.
#[gtest]
#[tokio::test]
async fn versions_are_known_while_the_store_serves_one_of_13_instances() {
    let store = FakeStore::new();
    let instances = thirteen_instance_fleet(&store).await;
    let (served, others) = instances.split_last().unwrap();
    expect_that!(served.is_reader(), eq(false));
    for instance in others {
        instance.gateway.platform.set_silent(true);
    }
    sleep(Duration::from_secs(1)).await;

    store.write(Stream::Operator, "config", Some("2"));

    let is_known = || instances.iter().all(|instance| instance.version() == 2);
    within(BOUND, "version 2 everywhere", is_known).await;
    store.write(Stream::Operator, "config", Some("3"));
    let is_known = || instances.iter().all(|instance| instance.version() == 3);
    within(BOUND, "version 3 everywhere", is_known).await;
}

/// Time from new records of all streams until their long polls are the usual ones and the
/// one of versions has just been checked, so that the silence of the store shows as late as
/// it can.
const CHECKED_TIME: Duration = Duration::from_millis(2_100);

/// Silences the store for some of the instances, and checks that the next version and a
/// drain are known to all within the bound.
async fn expect_version_in_time(
    store: &FakeStore,
    instances: &[TestInstance],
    is_served: impl Fn(usize, &TestInstance) -> bool,
    what: &str,
) {
    store.write(Stream::Operator, "config", Some("2"));
    store.write(Stream::Upstreams, "up-2", Some("ready"));
    store.write(Stream::Instances, "other", Some("not an instance"));
    let is_known = || instances.iter().all(|instance| instance.version() == 2);
    let began = Instant::now();
    within(BOUND, "version 2 everywhere", is_known).await;
    sleep_until(began + CHECKED_TIME).await;

    for (index, instance) in instances.iter().enumerate() {
        let is_silent = !is_served(index, instance);
        instance.gateway.platform.set_silent(is_silent);
    }
    store.write(Stream::Operator, "config", Some("3"));
    store.write(Stream::Upstreams, "up-1", Some("draining"));

    let has_both = |instance: &TestInstance| {
        instance.version() == 3 && instance.gateway.eligible_upstreams("s").len() == 1
    };
    let is_known = || instances.iter().all(has_both);
    within(BOUND, &format!("known everywhere, {what}"), is_known).await;
}

// Guards against readers that poll each other while the store leaves both unanswered, so
// that a version known in a third data centre reaches neither of theirs in time.
#[gtest]
#[tokio::test]
async fn versions_are_known_in_all_data_centres_while_the_store_serves_one_reader() {
    let layout = [("a", "u"), ("b", "v"), ("c", "w"), ("d", "x"), ("e", "y")];
    let mut rounds = Vec::new();
    for data_centres in 3..=layout.len() {
        for served in 0..data_centres {
            rounds.push(async move {
                let store = FakeStore::new();
                let instances = fleet(&store, &layout[..data_centres]).await;
                let what = format!("{data_centres} data centres, number {served} served");
                let is_served = |index, _: &TestInstance| index == served;
                expect_version_in_time(&store, &instances, is_served, &what).await;
            });
        }
    }
    join_all(rounds).await;
}

// Guards against readers that find out only after the bound that the store leaves all of
// them unanswered, while it serves the other instances.
#[gtest]
#[tokio::test]
async fn versions_are_known_in_time_while_the_store_serves_all_but_the_readers() {
    let store = FakeStore::new();
    let instances = thirteen_instance_fleet(&store).await;

    let is_served = |_, instance: &TestInstance| !instance.is_reader();
    expect_version_in_time(&store, &instances, is_served, "no reader served").await;
}

// Guards against an instance that reads the store for all keeping the role after the
// readers of the data centres are back.
#[gtest]
#[tokio::test]
async fn readers_that_are_served_again_replace_the_one_that_was_found() {
    let store = FakeStore::new();
    let instances = thirteen_instance_fleet(&store).await;
    let (served, others) = instances.split_last().unwrap();
    for instance in others {
        instance.gateway.platform.set_silent(true);
    }
    let is_found = || served.gateway.is_active_reader();
    within(SETTLE_TIMEOUT, "the served instance reads", is_found).await;

    for instance in others {
        instance.gateway.platform.set_silent(false);
    }

    let has_one_reader_each = || {
        let readers = instances.iter().filter(|instance| instance.is_reader());
        readers.count() == 3 && !served.is_reader()
    };
    within(SETTLE_TIMEOUT, "one reader each", has_one_reader_each).await;
}

// Guards against all instances calling a store that is down.
#[gtest]
#[tokio::test]
async fn instances_that_are_not_readers_seldom_try_a_silent_store() {
    let store = FakeStore::new();
    let instances = thirteen_instance_fleet(&store).await;
    for instance in &instances {
        instance.gateway.platform.set_silent(true);
    }
    let count = |instance: &TestInstance| instance.gateway.platform.call_count();
    let before: Vec<usize> = instances.iter().map(count).collect();

    let mut have_read = vec![false; instances.len()];
    for _ in 0..80 {
        sleep(Duration::from_millis(100)).await;
        for (has_read, instance) in have_read.iter_mut().zip(&instances) {
            *has_read |= instance.is_reader();
        }
    }

    // At most three instances of each data centre are readers; each other one tries the
    // store once every 3 s, so three times in 8 s.
    expect_that!(
        have_read.iter().filter(|has_read| **has_read).count(),
        le(9)
    );
    for (index, instance) in instances.iter().enumerate() {
        if !have_read[index] {
            expect_that!(count(instance) - before[index], le(3));
        }
    }
}

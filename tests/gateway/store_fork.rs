//! A store that returns from a copy older than what the gateway has read lately, so that the
//! records to compare are not there. The test runs on a paused clock.

use std::sync::Arc;
use std::time::Duration;

use chicorywing::gateway::follower;
use chicorywing::gateway::state::Gateway;
use chicorywing::gateway::store::Stream;
use googletest::prelude::*;
use tokio::time::sleep;

use super::fake::{FakePlatform, FakeStore, Mode, gateway, within};

/// The platform's bound on applying a new manifest.
const BOUND: Duration = Duration::from_secs(2);
/// Age beyond which read records are not compared.
const OLD: Duration = Duration::from_secs(11);

fn following_gateway(store: &Arc<FakeStore>) -> Arc<Gateway<FakePlatform>> {
    let gateway = gateway(store);
    tokio::spawn(follower::follow(Arc::clone(&gateway), Stream::Operator));
    gateway
}

// Guards against a version that was written at a lower offset than the lost one being skipped
// for good (soak seed 783).
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_version_written_below_the_lost_one_is_applied() {
    let store = FakeStore::new();
    for number in ["1", "2", "3", "4"] {
        store.write(Stream::Operator, "config", Some(number));
    }
    let gateway = following_gateway(&store);
    let version = || gateway.manifest().map_or(0, |manifest| manifest.version);
    within(BOUND, "version 4", || version() == 4).await;
    sleep(OLD).await;
    store.write(Stream::Operator, "config", Some("5"));
    within(BOUND, "version 5", || version() == 5).await;

    store.set_mode(Mode::Refusing);
    sleep(Duration::from_millis(400)).await;
    store.return_from_copy(Stream::Operator, 4);
    store.write(Stream::Operator, "config", Some("6"));
    store.set_mode(Mode::Healthy);

    within(BOUND, "version 6", || version() == 6).await;
}

//! Upstreams whose slots are all in use and whose probes wait for one, so that they are silent
//! although the links to them work. They talk over loopback, so these tests run on the real clock.

use std::sync::Arc;
use std::time::Duration;

use chicorywing::decision::manifest::Route;
use chicorywing::decision::upstream_contact::ContactEvidence;
use chicorywing::gateway::forward::forward;
use chicorywing::gateway::outcome::Outcome;
use chicorywing::gateway::store::Stream;
use futures::future::join_all;
use googletest::prelude::*;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::fake::{
    FakePlatform, FakeStore, TestInstance, call, own_address, route, settings, within,
};
use super::links::{LinkState, Links};
use super::queueing::QueueingUpstream;

const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
const UPSTREAMS: usize = 3;
const SLOTS: usize = 2;
const WORK: Duration = Duration::from_millis(900);
/// Pause between requests, longer than it takes to choose an upstream.
const PAUSE: Duration = Duration::from_millis(15);

struct Fleet {
    instance: TestInstance,
    links: Arc<Links>,
    upstreams: Vec<QueueingUpstream>,
}

/// A route whose attempts outlast the work of the upstreams.
fn slow_route(is_idempotent: bool) -> Route {
    Route {
        is_idempotent,
        timeout_ms: 3_000,
        objective_ms: 1_500,
        attempts: 1,
        ..route()
    }
}

impl Fleet {
    /// Starts an instance that knows how the upstreams answer probes.
    async fn start() -> Self {
        let store = FakeStore::new();
        let links = Links::new();
        let mut upstreams = Vec::new();
        for number in 0..UPSTREAMS {
            let id = format!("up-{number}");
            let upstream = QueueingUpstream::start(&id, SLOTS, WORK).await;
            let report = format!("ready {}", upstream.address);
            store.write(Stream::Upstreams, &id, Some(&report));
            links.add(upstream.address).await;
            upstreams.push(upstream);
        }
        store.write(Stream::Operator, "config", Some("1"));
        let platform = FakePlatform::new(&store).with_links(&links);
        let settings = settings("gate-1", own_address(), &[]);
        let instance = TestInstance::start_with(platform, settings).await;
        let gateway = &instance.gateway;
        within(SETTLE_TIMEOUT, "it knows all upstreams", || {
            gateway.is_ready() && gateway.view().directory.len() == UPSTREAMS
        })
        .await;
        let fleet = Self {
            instance,
            links,
            upstreams,
        };
        fleet.send(true).await.unwrap();
        fleet
    }

    /// Sends a request in the background.
    fn send(&self, is_idempotent: bool) -> JoinHandle<Outcome> {
        let gateway = Arc::clone(&self.instance.gateway);
        let request = call(&slow_route(is_idempotent), "body");
        tokio::spawn(async move { forward(&gateway, &request).await })
    }

    /// Sends a request for each slot.
    async fn fill_slots(&self) -> Vec<JoinHandle<Outcome>> {
        let runs = self.runs();
        let mut sent = Vec::new();
        for _ in 0..UPSTREAMS * SLOTS {
            sent.push(self.send(true));
            sleep(PAUSE).await;
        }
        within(WORK, "all slots are in use", || {
            self.runs() == runs + UPSTREAMS * SLOTS
        })
        .await;
        sent
    }

    fn runs(&self) -> usize {
        self.upstreams.iter().map(QueueingUpstream::runs).sum()
    }

    fn broken_off(&self) -> usize {
        let upstreams = self.upstreams.iter();
        upstreams.map(QueueingUpstream::broken_off).sum()
    }
}

async fn statuses(sent: Vec<JoinHandle<Outcome>>) -> Vec<u16> {
    let mut statuses = Vec::new();
    for outcome in join_all(sent).await {
        statuses.push(outcome.unwrap().status().as_u16());
    }
    statuses
}

// Guards against lookups that are broken off at work because full upstreams, whose probes wait
// for a slot, are taken for lost links.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn full_upstreams_are_not_taken_for_lost_links() {
    for is_stopping in [true, false] {
        let fleet = Fleet::start().await;
        let first = fleet.fill_slots().await;
        if is_stopping {
            fleet.instance.gateway.begin_stop();
        }

        let mut second = Vec::new();
        for _ in 0..UPSTREAMS * SLOTS {
            second.push(fleet.send(true));
            sleep(PAUSE).await;
        }

        let served = statuses(first).await;
        expect_that!(served, each(eq(&200)), "stopping: {is_stopping}");
        let later = statuses(second).await;
        expect_that!(
            later,
            each(any!(eq(&200), eq(&503))),
            "stopping: {is_stopping}"
        );
        expect_that!(fleet.broken_off(), eq(0), "stopping: {is_stopping}");
        let contact = fleet.instance.gateway.contact.decision();
        expect_that!(contact.is_cut_off(), eq(false), "stopping: {is_stopping}");
    }
}

// Guards against a planned stop that breaks off what upstreams are at work on, whatever this
// instance believes of its links.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_breaks_off_nothing_though_the_links_seem_lost() {
    let fleet = Fleet::start().await;
    let first = fleet.fill_slots().await;
    fleet.instance.gateway.begin_stop();

    let evidence = ContactEvidence {
        failed: UPSTREAMS,
        no_answer_ms: None,
        held_ms: 0,
    };
    fleet.instance.gateway.begin_cut_off(evidence);

    expect_that!(statuses(first).await, each(eq(&200)));
    expect_that!(fleet.broken_off(), eq(0));
}

// Guards against the opposite: an instance that takes really lost links for full upstreams, and
// keeps its requests to itself.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn lost_links_to_upstreams_that_tell_no_load_are_noticed() {
    let fleet = Fleet::start().await;
    fleet.links.set(LinkState::Resetting);
    let contact = &fleet.instance.gateway.contact;

    for _ in 0..3 {
        fleet.send(true).await.unwrap();
    }

    within(Duration::from_secs(1), "it is cut off", || {
        contact.is_cut_off()
    })
    .await;
    fleet.links.set(LinkState::Up);
    within(Duration::from_secs(1), "the links are back", || {
        !contact.is_cut_off()
    })
    .await;
}

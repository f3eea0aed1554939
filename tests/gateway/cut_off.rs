//! Instances that have lost their links to all upstreams. Instances and upstreams talk
//! over loopback, so these tests run on the real clock.

use std::sync::Arc;
use std::time::Duration;

use chicorywing::decision::manifest::Route;
use chicorywing::gateway::forward::forward;
use chicorywing::gateway::outcome::Outcome;
use chicorywing::gateway::state::Gateway;
use chicorywing::gateway::store::Stream;
use googletest::prelude::*;
use tokio::time::{Instant, sleep, timeout};

use super::fake::{
    FakePlatform, FakeStore, TestInstance, call, own_address, route, settings, within,
};
use super::links::{LinkState, Links, SLOW_TO_OPEN};
use super::upstream::{Behaviour, FakeUpstream};

const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a caller's first try is of full use: the route's objective.
const OBJECTIVE: Duration = Duration::from_millis(500);
/// Time in which a request that nobody can serve is refused, once that is known.
const REFUSAL_LIMIT: Duration = Duration::from_millis(50);
/// Time after which the links of an instance are known to be lost for longer.
const LONG_CUT: Duration = Duration::from_secs(1);
/// Silence of a receiver after which its earlier offers are no longer used.
const OFFERS_TIME: Duration = Duration::from_millis(300);
/// Rest of the silence, well within the objective.
const SILENCE_REST: Duration = Duration::from_millis(150);
/// Time after which a fake upstream serves in these tests.
const WORK: Duration = Duration::from_millis(5);

struct Fleet {
    instances: Vec<TestInstance>,
    links: Vec<Arc<Links>>,
    upstreams: Vec<FakeUpstream>,
}

impl Fleet {
    /// Starts instances and upstreams that serve, and one request at each instance.
    async fn start(instances: usize, upstreams: usize) -> Self {
        let store = FakeStore::new();
        let mut fleet = Self {
            instances: Vec::new(),
            links: Vec::new(),
            upstreams: Vec::new(),
        };
        for number in 0..upstreams {
            let id = format!("up-{number}");
            let upstream = FakeUpstream::start(&id, Behaviour::Serve(WORK)).await;
            let report = format!("ready {}", upstream.address);
            store.write(Stream::Upstreams, &id, Some(&report));
            fleet.upstreams.push(upstream);
        }
        store.write(Stream::Operator, "config", Some("1"));
        let mut seeds = Vec::new();
        for number in 0..instances {
            let links = Links::new();
            for upstream in &fleet.upstreams {
                links.add(upstream.address).await;
            }
            let address = own_address();
            let settings = settings(&format!("gate-{number}"), address, &seeds);
            let platform = FakePlatform::new(&store).with_links(&links);
            let instance = TestInstance::start_with(platform, settings).await;
            fleet.instances.push(instance);
            fleet.links.push(links);
            seeds.push(address);
        }
        let all_know_all = || {
            fleet.instances.iter().all(|instance| {
                let view = instance.gateway.view();
                let knows_all =
                    view.instances.len() == instances && view.directory.len() == upstreams;
                drop(view);
                knows_all && instance.gateway.is_ready()
            })
        };
        within(SETTLE_TIMEOUT, "all know all", all_know_all).await;
        for number in 0..instances {
            fleet.send(number, &route()).await;
        }
        fleet
    }

    fn gateway(&self, number: usize) -> &Arc<Gateway<FakePlatform>> {
        &self.instances[number].gateway
    }

    async fn send(&self, number: usize, route: &Route) -> Outcome {
        forward(self.gateway(number), &call(route, "body")).await
    }

    fn runs(&self) -> usize {
        self.upstreams.iter().map(|one| one.runs().len()).sum()
    }

    fn set_behaviour(&self, behaviour: Behaviour) {
        for upstream in &self.upstreams {
            upstream.set_behaviour(behaviour);
        }
    }

    async fn is_served_in_time(&self, number: usize) -> bool {
        let sent = timeout(OBJECTIVE, self.send(number, &route())).await;
        sent.is_ok_and(|outcome| outcome.status() == 200)
    }
}

// Guards against an instance that refuses its callers while others have room.
#[gtest]
#[tokio::test]
async fn first_tries_at_a_cut_off_instance_are_served_by_others() {
    for state in [LinkState::Hanging, LinkState::Resetting] {
        let fleet = Fleet::start(3, 4).await;
        fleet.links[0].set(state);

        let mut served = 0;
        for _ in 0..20 {
            served += usize::from(fleet.is_served_in_time(0).await);
            sleep(Duration::from_millis(20)).await;
        }

        expect_that!(served, eq(20), "{state:?}");
    }
}

// Guards against the one instance with links not being found.
#[gtest]
#[tokio::test]
async fn one_instance_with_links_serves_for_all_others() {
    let fleet = Fleet::start(5, 4).await;
    for links in &fleet.links[1..] {
        links.set(LinkState::Hanging);
    }

    let mut served = 0;
    for attempt in 0..20 {
        served += usize::from(fleet.is_served_in_time(1 + attempt % 4).await);
    }

    expect_that!(served, eq(20));
}

// Guards against requests that are refused in a moment in which no other instance gets
// answers, though one took requests right before.
#[gtest]
#[tokio::test]
async fn a_short_silence_at_the_receiver_costs_no_request() {
    let fleet = Fleet::start(2, 4).await;
    fleet.links[0].set(LinkState::Hanging);
    let until = Instant::now() + LONG_CUT;
    while Instant::now() < until {
        fleet.is_served_in_time(0).await;
    }
    fleet.links[1].set(LinkState::Hanging);
    sleep(OFFERS_TIME).await;

    let ends = async {
        sleep(SILENCE_REST).await;
        fleet.links[1].set(LinkState::Up);
    };
    let (served, ()) = tokio::join!(fleet.is_served_in_time(0), ends);

    expect_that!(served, eq(true));
}

// Guards against requests that wait, or go round in circles, while no instance has links.
#[gtest]
#[tokio::test]
async fn requests_are_refused_at_once_as_not_run_while_all_are_cut_off() {
    let fleet = Fleet::start(2, 4).await;
    let runs = fleet.runs();
    for links in &fleet.links {
        links.set(LinkState::Hanging);
    }
    for number in 0..2 {
        fleet.send(number, &route()).await;
    }
    sleep(Duration::from_millis(300)).await;

    for number in [0, 1, 0, 1] {
        let began = Instant::now();
        let outcome = fleet.send(number, &route()).await;

        let Outcome::GatewayError { retry_after, .. } = &outcome else {
            panic!("answered: {outcome:?}");
        };
        expect_that!(outcome.status().as_u16(), eq(503));
        expect_that!(*retry_after, some(gt(Duration::ZERO)));
        expect_that!(began.elapsed(), lt(REFUSAL_LIMIT));
    }
    expect_that!(fleet.runs(), eq(runs));
}

// Guards against ejections that outlive the cut in which they were learnt.
#[gtest]
#[tokio::test]
async fn requests_are_served_again_as_soon_as_the_links_are_back() {
    for state in [LinkState::Hanging, LinkState::Resetting] {
        let fleet = Fleet::start(1, 4).await;
        fleet.links[0].set(state);
        let end = Instant::now() + Duration::from_millis(1_500);
        while Instant::now() < end {
            fleet.send(0, &route()).await;
            sleep(Duration::from_millis(20)).await;
        }
        fleet.links[0].set(LinkState::Up);
        sleep(OBJECTIVE).await;

        let mut served = 0;
        for _ in 0..20 {
            served += usize::from(fleet.is_served_in_time(0).await);
        }

        expect_that!(served, eq(20), "{state:?}");
    }
}

fn non_idempotent_route() -> Route {
    Route {
        is_idempotent: false,
        ..route()
    }
}

impl Fleet {
    /// Starts instances of which the first is cut off, and knows it.
    async fn start_cut(instances: usize, upstreams: usize) -> Self {
        let fleet = Self::start(instances, upstreams).await;
        fleet.links[0].set(LinkState::Hanging);
        for _ in 0..3 {
            fleet.send(0, &route()).await;
        }
        let contact = &fleet.gateway(0).contact;
        within(OBJECTIVE, "it is cut off", || contact.is_cut_off()).await;
        fleet
    }
}

// Guards against a request that goes round among receivers that do not take it.
#[gtest]
#[tokio::test]
async fn a_request_that_nobody_takes_is_handed_to_each_receiver_once() {
    let fleet = Fleet::start_cut(3, 4).await;
    let unknown = Route {
        host: "unknown.example".into(),
        ..route()
    };

    let outcome = fleet.send(0, &unknown).await;

    let text = fleet.gateway(0).metrics.text();
    let line = text
        .lines()
        .find(|line| line.starts_with("chicorywing_handed_total{end=\"not-taken\"}"));
    let handed: usize = line.unwrap().split(' ').nth(1).unwrap().parse().unwrap();
    expect_that!(outcome.status().as_u16(), eq(503));
    expect_that!(handed, all!(ge(1), le(2)));
}

// Guards against a request that runs twice, or is said not to have run, because the
// instance that ran it ended.
#[gtest]
#[tokio::test]
async fn a_request_whose_receiver_ends_runs_once_and_is_not_refused() {
    let mut fleet = Fleet::start_cut(2, 4).await;
    fleet.set_behaviour(Behaviour::Serve(OBJECTIVE));
    let runs = fleet.runs();

    let gateway = Arc::clone(fleet.gateway(0));
    let request = call(&non_idempotent_route(), "body");
    let sent = tokio::spawn(async move { forward(&gateway, &request).await });
    within(OBJECTIVE, "it runs", || fleet.runs() > runs).await;
    fleet.instances.pop();
    let outcome = sent.await.unwrap();

    expect_that!(outcome.status().as_u16(), any![eq(502), eq(504)]);
    expect_that!(fleet.runs(), eq(runs + 1));
}

// Guards against a request of a caller that has left running on at an upstream.
#[gtest]
#[tokio::test]
async fn a_caller_that_leaves_ends_the_run_behind_the_hop() {
    let fleet = Fleet::start_cut(2, 2).await;
    fleet.set_behaviour(Behaviour::Hang);
    let runs = fleet.runs();

    let gateway = Arc::clone(fleet.gateway(0));
    let request = call(&non_idempotent_route(), "body");
    let sent = tokio::spawn(async move { forward(&gateway, &request).await });
    within(OBJECTIVE, "it runs", || fleet.runs() > runs).await;
    sent.abort();

    let disconnects = || fleet.upstreams.iter().map(FakeUpstream::disconnects).sum();
    within(OBJECTIVE, "the run ends", || {
        let ended: usize = disconnects();
        ended > 0
    })
    .await;
    expect_that!(fleet.gateway(1).taken.running(), eq(0));
}

// Guards against attempts being counted anew at each instance.
#[gtest]
#[tokio::test]
async fn the_attempts_of_a_route_hold_across_the_hop() {
    let fleet = Fleet::start_cut(3, 4).await;
    fleet.set_behaviour(Behaviour::Fail);
    let runs = fleet.runs();

    let outcome = fleet.send(0, &route()).await;

    expect_that!(outcome.status().as_u16(), eq(500));
    expect_that!(fleet.runs(), eq(runs + 2));
}

// Guards against a request that an upstream ran and failed being answered as not run because
// another instance ran it.
#[gtest]
#[tokio::test]
async fn a_failed_run_behind_the_hop_is_not_answered_as_not_run() {
    let fleet = Fleet::start_cut(2, 4).await;
    for status in [408, 429, 503] {
        fleet.set_behaviour(Behaviour::FailWith(status));
        let runs = fleet.runs();

        let outcome = fleet.send(0, &non_idempotent_route()).await;

        expect_that!(outcome.status().as_u16(), eq(502), "{status}");
        expect_that!(fleet.runs(), eq(runs + 1), "{status}");
    }
}

// Guards against a harmless request that is suspected of ending upstreams because its
// instance lost its links, also once they are back.
#[gtest]
#[tokio::test]
async fn a_request_in_flight_when_the_links_are_reset_is_not_suspected() {
    let fleet = Fleet::start(1, 2).await;
    fleet.set_behaviour(Behaviour::Serve(OBJECTIVE));
    let runs = fleet.runs();
    let gateway = Arc::clone(fleet.gateway(0));
    let request = call(&non_idempotent_route(), "body");
    let sent = tokio::spawn(async move { forward(&gateway, &request).await });
    within(OBJECTIVE, "it runs", || fleet.runs() > runs).await;

    fleet.links[0].set(LinkState::Resetting);
    let outcome = sent.await.unwrap();
    sleep(LONG_CUT).await;
    fleet.links[0].set(LinkState::Up);
    sleep(LONG_CUT).await;

    expect_that!(outcome.status().as_u16(), any![eq(502), eq(504)]);
    let suspects = fleet.gateway(0).suspects.table();
    expect_that!(suspects.is_empty(), eq(true));
}

// Guards against upstreams that fail being taken for lost links.
#[gtest]
#[tokio::test]
async fn silent_upstreams_do_not_look_like_lost_links_while_one_answers() {
    let fleet = Fleet::start(2, 6).await;
    for upstream in &fleet.upstreams[1..] {
        upstream.set_probe_delay(SETTLE_TIMEOUT);
    }

    for _ in 0..20 {
        fleet.send(0, &route()).await;
        expect_that!(fleet.gateway(0).contact.is_cut_off(), eq(false));
    }
}

impl Fleet {
    fn set_links(&self, state: LinkState) {
        for links in &self.links {
            links.set(state);
        }
    }

    fn is_any_cut_off(&self) -> bool {
        let mut instances = self.instances.iter();
        instances.any(|instance| instance.gateway.contact.is_cut_off())
    }

    /// Sends a request at each instance in turn, and returns those that were not served.
    async fn count_unserved(&self, rounds: usize) -> usize {
        let mut unserved = 0;
        for _ in 0..rounds {
            for number in 0..self.instances.len() {
                let outcome = self.send(number, &route()).await;
                unserved += usize::from(outcome.status() != 200);
            }
        }
        unserved
    }
}

// Guards against slow new connections being taken for lost links, for as long as they are
// slow, by all instances.
#[gtest]
#[tokio::test]
async fn a_cut_ends_although_new_connections_are_slow_after_it() {
    for state in [LinkState::Hanging, LinkState::Resetting] {
        let fleet = Fleet::start(3, 4).await;
        fleet.set_links(state);
        for number in 0..3 {
            fleet.send(number, &route()).await;
        }
        within(OBJECTIVE, "it is cut off", || fleet.is_any_cut_off()).await;

        fleet.set_links(LinkState::SlowToOpen);
        sleep(SLOW_TO_OPEN + OBJECTIVE).await;
        let unserved = fleet.count_unserved(10).await;

        expect_that!(unserved, eq(0), "{state:?}");
        expect_that!(fleet.is_any_cut_off(), eq(false), "{state:?}");
    }
}

// Guards against instances that try no kept connection while new ones are slow.
#[gtest]
#[tokio::test]
async fn kept_connections_serve_while_new_ones_are_slow() {
    let fleet = Fleet::start(3, 4).await;
    fleet.count_unserved(5).await;
    fleet.set_links(LinkState::SlowToOpen);

    let unserved = fleet.count_unserved(20).await;

    expect_that!(unserved, eq(0));
    expect_that!(fleet.is_any_cut_off(), eq(false));
}

// Guards against a belief that slow answers never end, because each check gives up on them
// and begins anew.
#[gtest]
#[tokio::test]
async fn late_answers_end_the_belief() {
    let fleet = Fleet::start(2, 4).await;
    for upstream in &fleet.upstreams {
        upstream.set_probe_delay(SLOW_TO_OPEN);
    }
    let gateway = Arc::clone(fleet.gateway(0));
    let request = call(&route(), "body");
    let sent = tokio::spawn(async move { forward(&gateway, &request).await });
    let contact = &fleet.gateway(0).contact;
    within(OBJECTIVE, "it is cut off", || contact.is_cut_off()).await;

    let began = Instant::now();
    within(SETTLE_TIMEOUT, "it ends", || !contact.is_cut_off()).await;

    expect_that!(began.elapsed(), lt(SLOW_TO_OPEN + OBJECTIVE));
    sent.await.unwrap();
}

// Guards against requests that are refused because answers are slow.
#[gtest]
#[tokio::test]
async fn requests_are_served_while_all_answers_are_slow() {
    let fleet = Fleet::start(3, 4).await;
    for upstream in &fleet.upstreams {
        upstream.set_probe_delay(Duration::from_millis(200));
    }

    let unserved = fleet.count_unserved(5).await;

    expect_that!(unserved, eq(0));
}

// Guards against a receiver that stood still running a request whose time has passed.
#[gtest]
#[tokio::test]
async fn a_receiver_that_stood_still_runs_no_old_request() {
    let fleet = Fleet::start_cut(2, 4).await;
    expect_that!(fleet.send(0, &route()).await.status().as_u16(), eq(200));
    let runs = fleet.runs();

    fleet.instances[1].stand_still(Duration::from_secs(1));
    let outcome = fleet.send(0, &non_idempotent_route()).await;
    sleep(OBJECTIVE).await;

    expect_that!(outcome.status().as_u16(), any![eq(200), eq(503)]);
    let expected = runs + usize::from(outcome.status() == 200);
    expect_that!(fleet.runs(), eq(expected));
}

//! Faults of the connections between instances, while requests are handed over. Instances
//! and upstreams talk over loopback, so these tests run on the real clock.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chicorywing::decision::manifest::Route;
use chicorywing::gateway::forward::forward;
use chicorywing::gateway::outcome::Outcome;
use chicorywing::gateway::settings::Settings;
use chicorywing::gateway::store::Stream;
use googletest::prelude::*;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::fake::{
    FakePlatform, FakeStore, TestInstance, call, own_address, route, settings, within,
};
use super::hop::{Hop, HopFault};
use super::links::{LinkState, Links};
use super::upstream::{Behaviour, FakeUpstream, id_line};

const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an upstream serves, unless a test needs it to be at work.
const WORK: Duration = Duration::from_millis(5);
/// Time for which an upstream is at work while a hop fails.
const LONG_WORK: Duration = Duration::from_millis(300);
/// Time in which bytes pass a proxy that does not hold them.
const PASS_TIME: Duration = Duration::from_millis(50);
/// Time of a route, in milliseconds.
const TIMEOUT_MS: u64 = 600;
/// Time within which the end of a deadline or of a connection is noticed.
const LATE_BY: Duration = Duration::from_millis(200);
/// Requests that are in flight at the same time; the retry budget has room for all.
const AT_ONCE: usize = 4;
/// Time between two faults of all hops, and between two requests, in trials of many.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Number of faults in such a trial.
const FAULTS: u32 = 7;
/// Least share that is served at an instance without links: the users' target.
const MIN_SHARE: f64 = 0.97;
/// Distance between two places at which an answer is cut off between instances.
const CUT_STEP_BYTES: usize = 3;
/// Requests that one instance runs for others at a time.
const MAX_TAKEN: usize = 256;

/// The first instance is cut off and hands its requests to the others, each behind a proxy.
pub struct Fleet {
    store: Arc<FakeStore>,
    pub instances: Vec<TestInstance>,
    settings: Vec<Settings>,
    hops: Vec<Arc<Hop>>,
    pub upstreams: Vec<FakeUpstream>,
}

impl Fleet {
    pub async fn start(receivers: usize) -> Self {
        let store = FakeStore::new();
        let links = Links::new();
        let mut upstreams = Vec::new();
        for number in 0..4 {
            let id = format!("up-{number}");
            let upstream = FakeUpstream::start(&id, Behaviour::Serve(WORK)).await;
            let report = format!("ready {}", upstream.address);
            store.write(Stream::Upstreams, &id, Some(&report));
            links.add(upstream.address).await;
            upstreams.push(upstream);
        }
        store.write(Stream::Operator, "config", Some("1"));
        let mut fleet = Self {
            store,
            instances: Vec::new(),
            settings: Vec::new(),
            hops: Vec::new(),
            upstreams,
        };
        let mut seeds = Vec::new();
        for number in 0..=receivers {
            let address = own_address();
            let settings = settings(&format!("gate-{number}"), address, &seeds);
            let mut platform = FakePlatform::new(&fleet.store);
            if number == 0 {
                platform = platform.with_links(&links);
            } else {
                let hop = Hop::start(address).await;
                platform = platform.announced_at(hop.address);
                fleet.hops.push(hop);
            }
            let instance = TestInstance::start_with(platform, settings.clone()).await;
            fleet.instances.push(instance);
            fleet.settings.push(settings);
            seeds.push(address);
        }
        let all_know_all = || {
            fleet.instances.iter().all(|instance| {
                let view = instance.gateway.view();
                let knows_all = view.instances.len() > receivers && view.directory.len() == 4;
                drop(view);
                knows_all && instance.gateway.is_ready()
            })
        };
        within(SETTLE_TIMEOUT, "all know all", all_know_all).await;
        links.set(LinkState::Hanging);
        fleet.send(&route()).await.unwrap();
        fleet.settle(receivers).await;
        fleet
    }

    /// Waits until the first instance is cut off and knows offers of all receivers.
    async fn settle(&self, receivers: usize) {
        let gateway = &self.instances[0].gateway;
        let hops = || self.hops.iter().map(|hop| hop.address);
        within(SETTLE_TIMEOUT, "offers are known", || {
            let willing = gateway.offers.willing();
            let known = hops().filter(|hop| willing.contains(hop)).count();
            gateway.contact.is_cut_off() && known == receivers
        })
        .await;
    }

    /// Sends a request at the instance that is cut off.
    pub fn send(&self, route: &Route) -> JoinHandle<Outcome> {
        let gateway = Arc::clone(&self.instances[0].gateway);
        let request = call(route, "body");
        tokio::spawn(async move { forward(&gateway, &request).await })
    }

    pub fn set_hops(&self, fault: HopFault) {
        for hop in &self.hops {
            hop.set(fault);
        }
    }

    fn set_open_hops(&self, fault: HopFault) {
        for hop in &self.hops {
            hop.set_open(fault);
        }
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        for upstream in &self.upstreams {
            upstream.set_behaviour(behaviour);
        }
    }

    pub fn runs(&self) -> usize {
        self.upstreams.iter().map(|one| one.runs().len()).sum()
    }

    fn disconnects(&self) -> usize {
        self.upstreams.iter().map(FakeUpstream::disconnects).sum()
    }

    pub async fn until_runs(&self, count: usize) {
        within(SETTLE_TIMEOUT, "it runs", || self.runs() >= count).await;
    }

    async fn until_disconnects(&self, count: usize) {
        let has_ended = || self.disconnects() >= count;
        within(SETTLE_TIMEOUT, "the run ends", has_ended).await;
    }
}

pub fn once_route() -> Route {
    Route {
        is_idempotent: false,
        timeout_ms: TIMEOUT_MS,
        ..route()
    }
}

// Guards against requests that fail, though they were never sent, on a connection that was
// reset before.
#[gtest]
#[tokio::test]
async fn a_request_after_a_reset_is_sent_on_a_new_connection() {
    let fleet = Fleet::start(2).await;

    let mut served = 0;
    for _ in 0..10 {
        fleet.set_open_hops(HopFault::Reset);
        sleep(PASS_TIME / 5).await;
        let outcome = fleet.send(&once_route()).await.unwrap();
        served += usize::from(outcome.status() == 200);
        fleet.settle(2).await;
    }

    expect_that!(served, eq(10));
}

// Guards against a request that runs though its connection was reset before it was read, or
// is said not to have run.
#[gtest]
#[tokio::test]
async fn a_request_reset_before_it_is_read_has_an_unknown_end() {
    let fleet = Fleet::start(1).await;
    let runs = fleet.runs();

    fleet.set_open_hops(HopFault::HoldRequests);
    let sent = fleet.send(&once_route());
    sleep(PASS_TIME).await;
    fleet.set_open_hops(HopFault::Reset);
    let outcome = sent.await.unwrap();

    expect_that!(outcome.status().as_u16(), eq(502));
    expect_that!(fleet.runs(), eq(runs));
}

// Guards against a run that goes on, or is done again, after a reset.
#[gtest]
#[tokio::test]
async fn a_reset_ends_the_run_behind_the_hop_and_it_is_not_done_again() {
    let fleet = Fleet::start(2).await;
    fleet.set_behaviour(Behaviour::Hang);
    let (runs, disconnects) = (fleet.runs(), fleet.disconnects());

    let sent = fleet.send(&once_route());
    fleet.until_runs(runs + 1).await;
    fleet.set_open_hops(HopFault::Reset);
    let began = Instant::now();
    let outcome = sent.await.unwrap();
    fleet.until_disconnects(disconnects + 1).await;

    expect_that!(began.elapsed(), le(LATE_BY));
    expect_that!(outcome.status().as_u16(), eq(502));
    expect_that!(fleet.runs(), eq(runs + 1));
}

// Guards against a request that is refused, or done again, though it has run.
#[gtest]
#[tokio::test]
async fn a_request_whose_answer_is_lost_ran_once_and_is_not_refused() {
    for fault in [HopFault::HoldAnswers, HopFault::ResetInAnswer] {
        let fleet = Fleet::start(2).await;
        let runs = fleet.runs();

        fleet.set_open_hops(fault);
        let sent = fleet.send(&once_route());
        fleet.until_runs(runs + 1).await;
        sleep(PASS_TIME).await;
        fleet.set_open_hops(HopFault::Reset);
        let outcome = sent.await.unwrap();

        expect_that!(outcome.status().as_u16(), eq(502), "{fault:?}");
        expect_that!(fleet.runs(), eq(runs + 1), "{fault:?}");
    }
}

// Guards against an answer that is cut off between two instances being passed on, or its
// request being refused or done again.
#[gtest]
#[tokio::test]
async fn an_answer_cut_at_any_place_of_the_hop_is_not_passed_on() {
    for is_reset in [false, true] {
        let fleet = Fleet::start(1).await;
        let mut cuts = 0;
        loop {
            let bytes = cuts * CUT_STEP_BYTES;
            let runs = fleet.runs();
            fleet.set_hops(HopFault::CutInAnswer { bytes, is_reset });

            let outcome = fleet.send(&once_route()).await.unwrap();

            expect_that!(fleet.runs(), eq(runs + 1), "{bytes} bytes, {is_reset}");
            if let Outcome::Answered(response) = &outcome {
                expect_that!(&response.body[..], eq(b"good"), "{bytes} bytes, {is_reset}");
                break;
            }
            expect_that!(
                outcome.status().as_u16(),
                eq(502),
                "{bytes} bytes, {is_reset}"
            );
            cuts += 1;
            fleet.set_hops(HopFault::None);
            fleet.settle(1).await;
        }
        expect_that!(cuts, gt(10), "the whole answer is longer than that");
    }
}

// Guards against a hop that hangs keeping a request beyond its deadline, or delivering it
// after that.
#[gtest]
#[tokio::test]
async fn a_request_on_a_hop_that_hangs_ends_at_its_deadline_and_never_runs_later() {
    for (fault, expected_runs) in [(HopFault::HoldRequests, 0), (HopFault::HoldAnswers, 1)] {
        let fleet = Fleet::start(1).await;
        let runs = fleet.runs();

        fleet.set_hops(fault);
        let began = Instant::now();
        let outcome = fleet.send(&once_route()).await.unwrap();
        let took = began.elapsed();
        fleet.set_hops(HopFault::None);
        sleep(LONG_WORK).await;

        let limit = Duration::from_millis(TIMEOUT_MS) + LATE_BY;
        expect_that!(outcome.status().as_u16(), eq(504), "{fault:?}");
        expect_that!(took, le(limit), "{fault:?}");
        expect_that!(fleet.runs(), eq(runs + expected_runs), "{fault:?}");
    }
}

// Guards against a request that ends in doubt, though its instance could see before that the
// receiver does not respond.
#[gtest]
#[tokio::test]
async fn a_request_is_not_handed_to_a_receiver_that_does_not_respond() {
    let fleet = Fleet::start(1).await;
    let runs = fleet.runs();

    fleet.set_hops(HopFault::HoldAll);
    let outcome = fleet.send(&once_route()).await.unwrap();
    fleet.set_hops(HopFault::None);
    sleep(LONG_WORK).await;

    expect_that!(outcome.status().as_u16(), eq(503));
    expect_that!(fleet.runs(), eq(runs));
}

// Guards against requests of one connection that share its end: some lost, some run twice,
// or one that gets the answer of another.
#[gtest]
#[tokio::test]
async fn requests_on_a_connection_that_is_reset_run_once_unless_they_may_run_again() {
    for (route, status, max_runs) in [(once_route(), 502, 1), (route(), 200, 2)] {
        let fleet = Fleet::start(1).await;
        fleet.set_behaviour(Behaviour::Serve(LONG_WORK));
        let runs = fleet.runs();

        let sent: Vec<_> = (0..AT_ONCE).map(|_| fleet.send(&route)).collect();
        fleet.until_runs(runs + AT_ONCE).await;
        fleet.set_open_hops(HopFault::Reset);
        for one in sent {
            let outcome = one.await.unwrap();
            expect_that!(outcome.status().as_u16(), eq(status), "{outcome:?}");
        }

        expect_that!(fleet.runs(), le(runs + AT_ONCE * max_runs));
    }
}

// Guards against attempts beyond those of the route, and requests that fail though there is
// time for another connection, if open ones hang.
#[gtest]
#[tokio::test]
async fn a_request_that_may_run_again_is_served_in_time_if_open_hops_hang() {
    for fault in [
        HopFault::HoldRequests,
        HopFault::HoldAnswers,
        HopFault::HoldAll,
    ] {
        let fleet = Fleet::start(1).await;
        let runs = fleet.runs();

        fleet.set_open_hops(fault);
        let outcome = fleet.send(&route()).await.unwrap();

        expect_that!(outcome.status().as_u16(), eq(200), "{fault:?}");
        expect_that!(fleet.runs(), le(runs + 2), "{fault:?}");
    }
}

// Guards against a receiver that was frozen running a request after its caller's deadline.
#[gtest]
#[tokio::test]
async fn a_receiver_that_thaws_after_the_deadline_does_not_run_the_request() {
    let fleet = Fleet::start(1).await;
    let runs = fleet.runs();

    fleet.instances[1].stand_still(Duration::from_millis(TIMEOUT_MS) + LATE_BY);
    sleep(PASS_TIME).await;
    let outcome = fleet.send(&once_route()).await.unwrap();
    sleep(LATE_BY + LONG_WORK).await;

    expect_that!(outcome.status().as_u16(), any![eq(503), eq(504)]);
    expect_that!(fleet.runs(), eq(runs));
}

// Guards against a request that is lost twice, or not served any more, because its receiver
// was restarted.
#[gtest]
#[tokio::test]
async fn requests_are_served_again_once_their_receiver_was_restarted() {
    let mut fleet = Fleet::start(1).await;
    fleet.set_behaviour(Behaviour::Serve(LONG_WORK));
    let runs = fleet.runs();

    let sent = fleet.send(&once_route());
    fleet.until_runs(runs + 1).await;
    fleet.instances.pop();
    let lost = sent.await.unwrap();
    let platform = FakePlatform::new(&fleet.store).announced_at(fleet.hops[0].address);
    let again = TestInstance::start_with(platform, fleet.settings[1].clone()).await;
    fleet.instances.push(again);
    fleet.settle(1).await;
    let outcome = fleet.send(&once_route()).await.unwrap();

    expect_that!(lost.status().as_u16(), eq(502));
    expect_that!(outcome.status().as_u16(), eq(200));
    expect_that!(fleet.runs(), eq(runs + 2));
}

// Guards against a run that outlives its caller's deadline because the hop does not deliver
// that the caller has left.
#[gtest]
#[tokio::test]
async fn a_caller_that_leaves_ends_the_run_at_its_deadline_if_the_hop_hangs() {
    let fleet = Fleet::start(1).await;
    fleet.set_behaviour(Behaviour::Hang);
    let (runs, disconnects) = (fleet.runs(), fleet.disconnects());

    let began = Instant::now();
    let sent = fleet.send(&once_route());
    fleet.until_runs(runs + 1).await;
    fleet.set_hops(HopFault::HoldAll);
    sent.abort();
    fleet.until_disconnects(disconnects + 1).await;

    let limit = Duration::from_millis(TIMEOUT_MS) + LATE_BY;
    expect_that!(began.elapsed(), le(limit));
    expect_that!(fleet.runs(), eq(runs + 1));
}

/// The ends of many requests.
#[derive(Debug, Default)]
struct Ends {
    served: u32,
    refused: u32,
    /// Ended with 502 or 504.
    unknown: u32,
    /// Were under way at a fault.
    in_flight: u32,
}

impl Ends {
    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.served + self.refused + self.unknown)
    }
}

impl Fleet {
    /// Sends requests at an even rate while a fault hits all open hops again and again.
    async fn send_through(&self, fault: HopFault, route: &Route) -> Ends {
        self.set_behaviour(Behaviour::Serve(PASS_TIME));
        let mut ends = Ends::default();
        let mut sent: Vec<JoinHandle<Outcome>> = Vec::new();
        for _ in 0..FAULTS {
            let until = Instant::now() + FAULT_INTERVAL;
            while Instant::now() < until {
                sent.push(self.send(route));
                sleep(REQUEST_INTERVAL).await;
            }
            for one in &sent {
                ends.in_flight += u32::from(!one.is_finished());
            }
            self.set_open_hops(fault);
        }
        for one in sent {
            match one.await.unwrap().status().as_u16() {
                200 => ends.served += 1,
                503 => ends.refused += 1,
                _ => ends.unknown += 1,
            }
        }
        ends
    }

    /// The most runs of any request.
    fn most_runs(&self) -> usize {
        let mut runs = HashMap::new();
        for upstream in &self.upstreams {
            for head in upstream.runs() {
                *runs.entry(id_line(&head)).or_default() += 1;
            }
        }
        runs.into_values().max().unwrap_or(0)
    }
}

// Guards against an instance without links that does not serve its callers because its
// connections to others are reset, or hang, again and again.
#[gtest]
#[tokio::test]
async fn requests_that_may_run_again_are_served_while_hops_fail() {
    for fault in [HopFault::Reset, HopFault::HoldAll] {
        let fleet = Fleet::start(3).await;

        let ends = fleet.send_through(fault, &route()).await;

        expect_that!(ends.served_share(), ge(MIN_SHARE), "{fault:?}: {ends:?}");
        expect_that!(ends.refused, eq(0), "{fault:?}: {ends:?}");
        expect_that!(fleet.most_runs(), le(2), "{fault:?}");
    }
}

// Guards against requests that run twice, or are refused though others have room, while
// hops fail: only those that are in mid-hop are lost.
#[gtest]
#[tokio::test]
async fn requests_that_run_once_are_lost_only_in_mid_hop_while_hops_fail() {
    for fault in [HopFault::Reset, HopFault::HoldAll] {
        let fleet = Fleet::start(3).await;

        let ends = fleet.send_through(fault, &once_route()).await;

        expect_that!(ends.refused, eq(0), "{fault:?}: {ends:?}");
        expect_that!(ends.unknown, le(ends.in_flight), "{fault:?}: {ends:?}");
        expect_that!(fleet.most_runs(), eq(1), "{fault:?}");
    }
}

// Guards against a request that runs again because its response does not fit into an answer
// between instances.
#[gtest]
#[tokio::test]
async fn a_request_whose_response_is_too_large_for_the_hop_runs_once() {
    let fleet = Fleet::start(2).await;
    fleet.set_behaviour(Behaviour::ServeBytes(8 * 1024 * 1024));
    let runs = fleet.runs();

    let route = Route {
        is_idempotent: false,
        ..route()
    };
    let outcome = fleet.send(&route).await.unwrap();

    expect_that!(outcome.status().as_u16(), eq(502));
    expect_that!(fleet.runs(), eq(runs + 1));
}

// Guards against a full receiver running more than its bound, or refusing what it runs.
#[gtest]
#[tokio::test]
async fn requests_that_a_full_receiver_does_not_take_are_refused_as_not_run() {
    let fleet = Fleet::start(1).await;
    fleet.set_behaviour(Behaviour::Hang);
    let runs = fleet.runs();

    let route = Route {
        is_idempotent: false,
        ..route()
    };
    let sent: Vec<_> = (0..MAX_TAKEN + AT_ONCE)
        .map(|_| fleet.send(&route))
        .collect();
    let mut refused = 0;
    for one in sent {
        refused += usize::from(one.await.unwrap().status() == 503);
    }

    expect_that!(refused, ge(AT_ONCE));
    expect_that!(fleet.runs(), le(runs + MAX_TAKEN + AT_ONCE - refused));
}

//! Tests the decisions of a pool, without I/O.

#[path = "support/properties.rs"]
mod properties;

use std::net::SocketAddr;
use std::sync::Arc;

use chicorywing::process::lifecycle::Signal;
use chicorywing::process::pool::{
    Decision, EndedCall, Event, InheritedCalls, ListedUpstream, Pool, RefuseReason,
};
use chicorywing::process::queue::QueuedCall;
use chicorywing::version::objects::{Service, TierKind};
use googletest::prelude::*;
use proptest::prelude::{Strategy, prop, proptest};

const SECOND_US: u64 = 1_000_000;

fn service(slots: usize) -> Arc<Service> {
    Arc::new(Service {
        name: "s".into(),
        slots,
        cold_slots: 1,
        run_limit_ms: 500,
        idempotent_methods: Vec::new(),
        body_limit_bytes: 0,
        measuring_permille: 10,
        probe_cost_ms: 6,
        health_path: "/health".into(),
        data_centres: Vec::new(),
    })
}

fn listed(count: usize) -> Vec<ListedUpstream> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let names = (0..count).map(|number| format!("up-{number}"));
    names
        .map(|name| ListedUpstream {
            name: name.into(),
            address,
            is_leaving: false,
        })
        .collect()
}

/// Passes events to a pool and collects its decisions.
struct Driver {
    pool: Pool,
    now_us: u64,
    next_ticket: u64,
    sent: Vec<(QueuedCall, usize)>,
    refused: Vec<(QueuedCall, RefuseReason)>,
    probes: Vec<usize>,
}

impl Driver {
    fn new(upstreams: usize, slots: usize) -> Self {
        let mut driver = Self {
            pool: Pool::new(service(slots), 0),
            now_us: 0,
            next_ticket: 0,
            sent: Vec::new(),
            refused: Vec::new(),
            probes: Vec::new(),
        };
        driver.handle(Event::Listed(listed(upstreams)));
        driver
    }

    fn handle(&mut self, event: Event) {
        let mut decisions = Vec::new();
        self.pool.handle(self.now_us, event, &mut decisions);
        for decision in decisions {
            match decision {
                Decision::Send { call, upstream, .. } => self.sent.push((call, upstream)),
                Decision::Refuse { call, reason, .. } => self.refused.push((call, reason)),
                Decision::Probe { upstream } => self.probes.push(upstream),
            }
        }
    }

    fn arrive(&mut self, tier: TierKind, organisation: &str, fingerprint: u64) {
        self.next_ticket += 1;
        self.handle(Event::Arrived(QueuedCall {
            ticket: self.next_ticket,
            organisation: organisation.into(),
            tier,
            deadline_us: self.now_us + SECOND_US,
            arrived_us: self.now_us,
            avoid: None,
            fingerprint,
        }));
    }

    /// Submits a retry of a call whose first attempt failed at upstream `avoid`.
    fn arrive_avoiding(&mut self, avoid: usize) {
        self.next_ticket += 1;
        self.handle(Event::Arrived(QueuedCall {
            ticket: self.next_ticket,
            organisation: "payer".into(),
            tier: TierKind::Paying,
            deadline_us: self.now_us + SECOND_US,
            arrived_us: self.now_us,
            avoid: Some(avoid),
            fingerprint: 7,
        }));
    }

    fn arrive_paying(&mut self, count: u64) {
        for fingerprint in 0..count {
            self.arrive(TierKind::Paying, "payer", fingerprint);
        }
    }

    fn end(&mut self, index: usize, signal: Signal, took_us: u64) {
        let (call, upstream) = self.sent.remove(index);
        self.now_us += took_us;
        self.handle(Event::Ended(EndedCall {
            upstream,
            signal: Some(signal),
            took_us,
            tier: call.tier,
            fingerprint: call.fingerprint,
        }));
    }

    /// Answers calls until every upstream is warm.
    fn warm_up(&mut self) {
        for _ in 0..400 {
            self.arrive_paying(1);
            while !self.sent.is_empty() {
                self.end(0, Signal::Answered, 1_000);
            }
        }
        for summary in self.pool.summaries() {
            assert!(summary.state.is_warm(), "{summary:?}");
        }
    }

    fn max_in_flight(&self) -> usize {
        let summaries = self.pool.summaries();
        summaries
            .iter()
            .map(|summary| summary.in_flight)
            .max()
            .unwrap_or(0)
    }
}

#[gtest]
fn a_new_upstream_gets_only_its_cold_slots() {
    let mut driver = Driver::new(3, 4);

    driver.arrive_paying(20);

    expect_that!(driver.sent, len(eq(3)));
    expect_that!(driver.max_in_flight(), eq(1));
}

#[gtest]
fn concurrency_rises_with_answers_not_with_time() {
    let mut driver = Driver::new(1, 2);
    driver.now_us += 60 * SECOND_US;
    driver.arrive_paying(5);
    expect_that!(driver.sent, len(eq(1)));

    driver.warm_up();
    driver.arrive_paying(5);

    expect_that!(driver.sent, len(eq(2)));
}

#[gtest]
fn refusals_turn_a_warm_upstream_cold() {
    let mut driver = Driver::new(1, 4);
    driver.warm_up();
    driver.arrive_paying(4);

    driver.end(0, Signal::Refused, 1_000);
    driver.end(0, Signal::Refused, 1_000);
    driver.end(0, Signal::Answered, 1_000);
    driver.end(0, Signal::Answered, 1_000);
    driver.arrive_paying(4);

    expect_that!(driver.max_in_flight(), eq(1));
}

#[gtest]
fn errors_eject_at_most_half_of_the_upstreams() {
    let mut driver = Driver::new(4, 2);
    driver.warm_up();

    for _ in 0..200 {
        driver.arrive_paying(1);
        while !driver.sent.is_empty() {
            driver.end(0, Signal::ServerError, 1_000);
        }
    }

    let summaries = driver.pool.summaries();
    let ejected = summaries
        .iter()
        .filter(|summary| summary.state.is_ejected())
        .count();
    expect_that!(ejected, le(2));
}

#[gtest]
fn a_leaving_upstream_gets_no_new_calls_and_keeps_its_running_ones() {
    let mut driver = Driver::new(2, 2);
    driver.arrive_paying(2);
    let mut list = listed(2);
    list[0].is_leaving = true;

    driver.handle(Event::Listed(list));
    let before = driver.sent.len();
    driver.arrive_paying(10);

    let new = &driver.sent[before..];
    expect_that!(
        new.iter().filter(|(_, upstream)| *upstream == 0).count(),
        eq(0)
    );
    expect_that!(driver.sent, len(eq(2)));
}

#[gtest]
fn inherited_calls_occupy_slots_until_their_time_limit() {
    let mut driver = Driver::new(2, 2);
    driver.handle(Event::Inherited(InheritedCalls {
        upstream: None,
        calls: None,
        is_warm: false,
        until_us: 300_000,
    }));

    driver.arrive_paying(2);
    expect_that!(driver.sent, is_empty());
    driver.now_us = 400_000;
    driver.handle(Event::Tick);

    expect_that!(driver.sent, len(eq(2)));
}

#[gtest]
fn a_cancelled_call_occupies_its_slot_until_the_upstream_answers() {
    let mut driver = Driver::new(1, 2);
    driver.warm_up();
    driver.arrive_paying(2);

    driver.end(0, Signal::Cancelled, 1_000);
    driver.arrive_paying(2);
    expect_that!(driver.max_in_flight(), eq(1));
    driver.end(0, Signal::Answered, 1_000);

    expect_that!(driver.max_in_flight(), eq(2));
}

#[gtest]
fn a_retry_waits_for_another_upstream() {
    let mut driver = Driver::new(2, 1);
    driver.warm_up();
    driver.arrive_paying(1);
    let busy = driver.sent[0].1;

    driver.arrive_avoiding(1 - busy);
    let sent_at_once = driver.sent.len() - 1;
    // Another call may use the slot that the retry avoids.
    driver.arrive_paying(1);
    let used = driver.sent[1].1;
    driver.end(0, Signal::Answered, 1_000);

    expect_that!(sent_at_once, eq(0));
    expect_that!(used, eq(1 - busy));
    expect_that!(driver.sent[1].1, eq(busy));
}

#[gtest]
fn a_retry_prefers_a_slow_upstream_to_the_avoided_one() {
    let mut driver = Driver::new(2, 1);
    driver.warm_up();
    for round in 0..100 {
        driver.arrive_paying(if round < 10 { 2 } else { 1 });
        while let Some((_, upstream)) = driver.sent.first() {
            let took_us = if *upstream == 1 { 200_000 } else { 1_000 };
            driver.end(0, Signal::Answered, took_us);
        }
    }

    driver.arrive_avoiding(0);

    expect_that!(driver.sent.len(), eq(1));
    expect_that!(driver.sent[0].1, eq(1));
}

#[gtest]
fn a_retry_falls_back_to_the_avoided_upstream_after_half_of_its_time() {
    let mut driver = Driver::new(2, 1);
    driver.warm_up();
    driver.arrive_paying(1);
    let busy = driver.sent[0].1;

    driver.arrive_avoiding(1 - busy);
    driver.now_us += SECOND_US / 2;
    driver.handle(Event::Tick);

    expect_that!(driver.sent.len(), eq(2));
    expect_that!(driver.sent[1].1, eq(1 - busy));
}

#[gtest]
fn a_flood_of_trial_calls_leaves_slots_for_paying_calls() {
    let mut driver = Driver::new(4, 2);
    driver.warm_up();
    for fingerprint in 0..200 {
        driver.arrive(TierKind::Trial, "trier", fingerprint);
    }
    let trials = driver.sent.len();
    expect_that!(trials, gt(4), "trial calls use free slots");

    // Keeps four paying calls in flight for two seconds.
    for _ in 0..400 {
        driver.arrive_paying(1);
        let paying = driver
            .sent
            .iter()
            .filter(|(call, _)| call.tier == TierKind::Paying);
        if paying.count() > 4 {
            let index = driver
                .sent
                .iter()
                .position(|(call, _)| call.tier == TierKind::Paying);
            driver.end(index.unwrap_or(0), Signal::Answered, 5_000);
        }
        if let Some(index) = driver
            .sent
            .iter()
            .position(|(call, _)| call.tier.is_trial())
        {
            driver.end(index, Signal::Answered, 0);
        }
    }

    let trials = driver
        .sent
        .iter()
        .filter(|(call, _)| call.tier.is_trial())
        .count();
    expect_that!(trials, le(3));
}

#[gtest]
fn a_flood_of_one_organisation_does_not_starve_others_of_its_tier() {
    let mut driver = Driver::new(1, 1);
    for fingerprint in 0..100 {
        driver.arrive(TierKind::Paying, "loud", fingerprint);
    }
    driver.arrive(TierKind::Paying, "quiet", 1_000);

    driver.end(0, Signal::Answered, 5_000);
    driver.end(0, Signal::Answered, 5_000);

    expect_that!(&*driver.sent[0].0.organisation, eq("quiet"));
}

#[gtest]
fn calls_that_cannot_meet_their_deadline_are_refused_on_arrival() {
    let mut driver = Driver::new(1, 1);

    driver.arrive_paying(1_000);

    expect_that!(driver.refused, not(is_empty()));
    for (_, reason) in &driver.refused {
        expect_that!(*reason, eq(RefuseReason::Overloaded));
    }
}

#[gtest]
fn a_poison_request_is_refused_after_two_resets() {
    let mut driver = Driver::new(4, 2);
    for _ in 0..2 {
        driver.arrive(TierKind::Paying, "payer", 7);
        driver.end(0, Signal::Reset, 1_000);
    }

    driver.arrive(TierKind::Paying, "payer", 7);
    driver.arrive(TierKind::Paying, "payer", 8);

    expect_that!(driver.refused[0].1, eq(RefuseReason::Poison));
    expect_that!(driver.sent[0].0.fingerprint, eq(8));
}

#[gtest]
fn resets_of_copies_by_one_crash_count_once() {
    let mut driver = Driver::new(1, 2);
    driver.warm_up();
    driver.arrive(TierKind::Paying, "payer", 7);
    driver.arrive(TierKind::Paying, "payer", 7);

    driver.end(0, Signal::Reset, 1_000);
    driver.end(0, Signal::Reset, 0);
    driver.arrive(TierKind::Paying, "payer", 7);

    expect_that!(driver.refused, is_empty());
}

#[gtest]
fn probes_use_at_most_half_of_the_budget() {
    let mut driver = Driver::new(2, 2);
    let mut probes = 0;
    // Upstream 0 is unreachable for a minute; each ejection ends with a probe.
    for _ in 0..6_000 {
        driver.now_us += 10_000;
        driver.arrive_paying(1);
        while let Some((_, upstream)) = driver.sent.first() {
            let signal = match upstream {
                0 => Signal::ConnectFailed,
                _ => Signal::Answered,
            };
            driver.end(0, signal, 0);
        }
        for upstream in std::mem::take(&mut driver.probes) {
            probes += 1;
            driver.handle(Event::Probed {
                upstream,
                is_healthy: false,
            });
        }
    }

    // The budget is 10 permille of 2 slots over 60 s: 1.2 s, or 200 probes of
    // 6 ms.
    expect_that!(probes, le(100));
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(bool, u64),
    End(usize, Signal),
    Wait(u64),
    Leave(usize),
    Return,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let signal = prop::sample::select(vec![
        Signal::Answered,
        Signal::Answered,
        Signal::Answered,
        Signal::AnsweredOverloaded,
        Signal::ServerError,
        Signal::Refused,
        Signal::ConnectFailed,
        Signal::Reset,
        Signal::TimedOut,
        Signal::Cancelled,
    ]);
    let step = proptest::prop_oneof![
        4 => (proptest::bool::ANY, 0..20_u64).prop_map(|(trial, id)| Step::Arrive(trial, id)),
        4 => (0..64_usize, signal).prop_map(|(index, signal)| Step::End(index, signal)),
        1 => (0..200_000_u64).prop_map(Step::Wait),
        1 => (0..4_usize).prop_map(Step::Leave),
        1 => proptest::strategy::Just(Step::Return),
    ];
    prop::collection::vec(step, 1..300)
}

proptest! {
    #![proptest_config(properties::config())]

    /// For any sequence of events, no upstream gets more calls than its slots, a
    /// leaving one gets no new calls, and each call has at most one outcome.
    #[test]
    fn limits_hold_for_any_sequence_of_events(steps in steps()) {
        let mut driver = Driver::new(4, 3);
        let mut leaving = [false; 4];
        for step in steps {
            let before = driver.sent.len();
            match step {
                Step::Arrive(true, id) => driver.arrive(TierKind::Trial, "trier", id),
                Step::Arrive(false, id) => driver.arrive(TierKind::Paying, "payer", id),
                Step::End(index, signal) if !driver.sent.is_empty() => {
                    let index = index % driver.sent.len();
                    driver.end(index, signal, 2_000);
                }
                Step::End(..) => {}
                Step::Wait(time_us) => {
                    driver.now_us += time_us;
                    driver.handle(Event::Tick);
                }
                Step::Leave(index) => {
                    leaving[index] = true;
                    let mut list = listed(4);
                    for (entry, is_leaving) in list.iter_mut().zip(leaving) {
                        entry.is_leaving = is_leaving;
                    }
                    driver.handle(Event::Listed(list));
                }
                Step::Return => {
                    leaving = [false; 4];
                    driver.handle(Event::Listed(listed(4)));
                }
            }
            for upstream in std::mem::take(&mut driver.probes) {
                driver.handle(Event::Probed { upstream, is_healthy: true });
            }
            let mut counts = [0; 4];
            for (_, upstream) in &driver.sent {
                counts[*upstream] += 1;
            }
            assert!(counts.iter().all(|count| *count <= 3), "{counts:?}");
            for (_, upstream) in driver.sent.iter().skip(before.min(driver.sent.len())) {
                assert!(!leaving[*upstream], "new call for a leaving upstream");
            }
        }
        let known = driver.sent.len() + driver.refused.len();
        assert!(known as u64 <= driver.next_ticket);

        // No slot leaks: afterwards all slots can be used again.
        while !driver.sent.is_empty() {
            driver.end(0, Signal::Answered, 1_000);
        }
        driver.handle(Event::Listed(listed(4)));
        for _ in 0..400 {
            driver.now_us += 50_000;
            driver.handle(Event::Tick);
            for upstream in std::mem::take(&mut driver.probes) {
                driver.handle(Event::Probed { upstream, is_healthy: true });
            }
        }
        for _ in 0..100 {
            (2_000..2_012).for_each(|id| driver.arrive(TierKind::Paying, "payer", id));
            while !driver.sent.is_empty() {
                driver.end(0, Signal::Answered, 1_000);
            }
        }
        for fingerprint in 1_000..1_030 {
            driver.arrive(TierKind::Paying, "payer", fingerprint);
        }
        let used = driver.sent.len() + driver.probes.len();
        assert_eq!(used, 12, "{:?}", driver.pool.summaries());
    }
}

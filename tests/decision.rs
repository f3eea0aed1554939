//! The pure decisions of the gateway.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use chicorywing::decision::admission::{Admission, PendingRequest};
use chicorywing::decision::cold_limiter::{ColdLimit, ColdLimiter};
use chicorywing::decision::directory::{Change, Directory, UpstreamReport, UpstreamState};
use chicorywing::decision::ejection::{EjectionState, Evidence};
use chicorywing::decision::manifest::{CallerLimits, Manifest, Route, Target};
use chicorywing::decision::probe_budget::{ProbeBudget, ProbeLimit};
use chicorywing::decision::retry_budget::{RetryBudget, RetryLimit};
use chicorywing::decision::selection::{
    Candidate, Load, Locality, Reading, cost, is_idle_at_usual_speed, probe_order, weighted_sample,
};
use chicorywing::decision::store_reader::{PeerState, StoreRole, choose_role};
use chicorywing::decision::traffic_split::TrafficSplitter;
use googletest::prelude::*;
use proptest::prelude::{prop, proptest};
use rand::SeedableRng;
use rand::rngs::StdRng;

const LIMITS: CallerLimits = CallerLimits {
    head_max_bytes: 16_384,
    body_max_bytes: 1_024,
    head_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

/// Nearness of requests without a body.
const SMALL: Locality = Locality {
    local_weight: 2.0,
    remote_cost_factor: 1.1,
};

fn route(name: &str, host: &str, prefix: &str, targets: &[(&str, f64)]) -> Route {
    let mut parts = Vec::new();
    for (service, weight) in targets {
        parts.push(Target {
            service: (*service).into(),
            weight: *weight,
        });
    }
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        targets: parts,
        is_idempotent: true,
        timeout_ms: 1_000,
        objective_ms: 400,
        priority: 0,
        attempts: 2,
    }
}

fn report(id: &str, started_at_ms: u64, sequence: u64, state: UpstreamState) -> UpstreamReport {
    UpstreamReport {
        id: id.into(),
        started_at_ms,
        sequence,
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "a".into(),
        slots: 2,
        state,
        cold_left_ms: 0,
    }
}

fn load(running: u32, waiting: u32, speed_percent: f64) -> Load {
    Load {
        running,
        waiting,
        slots: 2,
        speed_percent,
    }
}

fn reading(load: Load) -> Reading {
    Reading {
        load: Some(load),
        cold_left_ms: 0,
        is_healthy: true,
    }
}

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|number| format!("gate-{number}").into())
        .collect()
}

#[gtest]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "h.example", "/a/", &[("s", 1.0)]),
        route("long", "h.example", "/a/b/", &[("s", 1.0)]),
        route("other", "o.example", "/a/b/c/", &[("s", 1.0)]),
    ];
    let manifest = Manifest::new(1, routes, HashMap::new(), LIMITS);

    let found = |host, path| {
        manifest
            .route(host, path)
            .map(|route| route.name.to_string())
    };

    expect_that!(found("h.example", "/a/b/c"), some(eq("long")));
    expect_that!(found("h.example", "/a/x"), some(eq("short")));
    expect_that!(found("H.Example:80", "/a/b/"), some(eq("long")));
    expect_that!(found("h.example", "/ab/"), none());
    expect_that!(found("x.example", "/a/"), none());
}

#[gtest]
fn a_split_gives_each_part_its_share_at_every_phase() {
    let route = route("r", "h", "/", &[("s", 90.0), ("t", 10.0)]);

    for phase in [0.0, 0.3, 0.5, 0.99] {
        let mut splits = TrafficSplitter::default();
        let mut counts: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        for _ in 0..200 {
            let service = splits.next(&route, phase).unwrap();
            *counts.entry(service).or_default() += 1;
        }
        expect_that!(counts["t"], all!(ge(19), le(21)), "phase {phase}");
    }
}

#[gtest]
fn split_turns_of_few_requests_each_keep_the_share_over_the_fleet() {
    let route = route("r", "h", "/", &[("s", 80.0), ("t", 20.0)]);
    let mut to_t = 0;

    for instance in 0..100 {
        let mut splits = TrafficSplitter::default();
        let phase = f64::from(instance) / 100.0;
        for _ in 0..3 {
            let service = splits.next(&route, phase).unwrap();
            to_t += u32::from(&*service == "t");
        }
    }

    expect_that!(to_t, all!(ge(45), le(75)));
}

#[gtest]
fn an_older_report_changes_nothing() {
    let mut directory = Directory::default();
    directory.put(report("u", 5, 9, UpstreamState::Ready), 0);

    let by_sequence = directory.put(report("u", 5, 8, UpstreamState::Draining), 0);
    let by_process = directory.put(report("u", 4, 20, UpstreamState::Draining), 0);

    expect_that!(by_sequence, eq(Change::None));
    expect_that!(by_process, eq(Change::None));
    expect_that!(directory.ready_upstreams("s").count(), eq(1));
}

#[gtest]
fn a_new_process_under_a_known_name_joins_with_any_sequence() {
    let mut directory = Directory::default();
    directory.put(report("u", 5, 9, UpstreamState::Draining), 0);

    let change = directory.put(report("u", 6, 1, UpstreamState::Ready), 0);

    expect_that!(change, eq(Change::Joined));
    expect_that!(directory.ready_upstreams("s").count(), eq(1));
}

#[gtest]
fn a_draining_upstream_gets_no_work_but_stays_known() {
    let mut directory = Directory::default();
    directory.put(report("u", 5, 1, UpstreamState::Ready), 0);

    let change = directory.put(report("u", 5, 2, UpstreamState::Draining), 0);

    expect_that!(change, eq(Change::Draining));
    expect_that!(directory.ready_upstreams("s").count(), eq(0));
    expect_that!(directory.get("u").is_some(), eq(true));
}

#[gtest]
fn an_entry_that_lapsed_with_the_store_comes_back_or_goes_in_time() {
    let mut directory = Directory::default();
    for id in ["back", "gone"] {
        directory.put(report(id, 5, 7, UpstreamState::Ready), 0);
        expect_that!(directory.remove(id, true, 1_000), eq(Change::Lapsed));
    }
    expect_that!(directory.ready_upstreams("s").count(), eq(2));

    directory.put(report("back", 5, 7, UpstreamState::Ready), 1_500);
    let gone = directory.expire(3_001);

    expect_that!(gone, elements_are![eq(&Arc::<str>::from("gone"))]);
    expect_that!(directory.ready_upstreams("s").count(), eq(1));
}

#[gtest]
fn an_upstream_that_leaves_while_the_store_is_well_is_gone_at_once() {
    let mut directory = Directory::default();
    directory.put(report("u", 5, 7, UpstreamState::Ready), 0);

    expect_that!(directory.remove("u", false, 1_000), eq(Change::Left));
    expect_that!(directory.is_empty(), eq(true));
}

/// Requests that reach one cold upstream in its worst second, with instances
/// that differ in whom they know.
fn worst_cold_second(views: &[Vec<Arc<str>>], bound: ColdLimit) -> usize {
    let all = names(views.len());
    let upstream: Arc<str> = "cold".into();
    let mut shares: Vec<ColdLimiter> = views.iter().map(|_| ColdLimiter::default()).collect();
    let mut sent_ms = Vec::new();
    for now_ms in (0..4_000).step_by(25) {
        for (index, share) in shares.iter_mut().enumerate() {
            if share.try_acquire(&upstream, &views[index], &all[index], bound, now_ms) {
                sent_ms.push(now_ms);
            }
        }
    }
    let mut worst = 0;
    for start_ms in &sent_ms {
        let within = sent_ms
            .iter()
            .filter(|at_ms| (*start_ms..start_ms + 1_000).contains(*at_ms));
        worst = worst.max(within.count());
    }
    worst
}

#[gtest]
fn a_cold_upstream_gets_its_bound_from_the_whole_fleet_and_no_more() {
    for (per_s, slack) in [(2.9, 5.0), (21.0, 5.0), (2.9, 8.0), (0.5, 0.0)] {
        let bound = ColdLimit {
            per_s,
            factor: 1.5,
            slack,
        };
        let views = vec![names(14); 14];

        let worst = worst_cold_second(&views, bound);

        let most = f64::from(u32::try_from(worst).unwrap());
        expect_that!(most, le(per_s * 1.5 + slack), "{bound:?}");
        let may_send = per_s * 1.5 + slack >= 1.0;
        expect_that!(worst >= 1, eq(may_send), "{bound:?}");
    }
}

proptest! {
    #[test]
    fn the_cold_bound_holds_where_half_of_the_fleet_is_unknown(
        known in prop::collection::vec(prop::collection::vec(prop::bool::weighted(0.7), 14), 14)
    ) {
        let bound = ColdLimit { per_s: 2.9, factor: 1.5, slack: 5.0 };
        let all = names(14);
        let mut views = Vec::new();
        for row in &known {
            let view = all.iter().zip(row).filter(|(_, is_known)| **is_known);
            views.push(view.map(|(name, _)| Arc::clone(name)).collect());
        }
        let worst = worst_cold_second(&views, bound);
        assert!(worst <= 9, "{worst} in one second");
    }
}

#[gtest]
fn repeats_of_the_fleet_stay_within_the_shared_bound() {
    let bound = RetryLimit {
        ratio: 0.2,
        slack: 56.0,
        window_ms: 10_000,
    };
    let service: Arc<str> = "s".into();
    let mut fleet: Vec<RetryBudget> = (0..13).map(|_| RetryBudget::default()).collect();
    let mut repeats_ms = Vec::new();
    let mut requests = 0_u32;

    for now_ms in (0..30_000).step_by(50) {
        for instance in &mut fleet {
            instance.on_request(&service, bound, now_ms);
            requests += 1;
            while instance.try_acquire(&service, bound, 13, now_ms) {
                repeats_ms.push(now_ms);
            }
        }
    }

    let in_window = f64::from(requests) / 3.0;
    for start_ms in (0..20_000).step_by(500) {
        let window = start_ms..start_ms + 10_000;
        let count = repeats_ms
            .iter()
            .filter(|at_ms| window.contains(*at_ms))
            .count();
        let count = f64::from(u32::try_from(count).unwrap());
        expect_that!(count, le(0.2 * in_window + 56.0));
    }
    expect_that!(repeats_ms.len(), gt(100));
}

#[gtest]
fn an_instance_that_knows_no_other_takes_no_more_than_an_eighth_of_the_slack() {
    let bound = RetryLimit {
        ratio: 0.2,
        slack: 56.0,
        window_ms: 10_000,
    };
    let service: Arc<str> = "s".into();
    let mut repeats = RetryBudget::default();
    let mut taken = 0;

    while repeats.try_acquire(&service, bound, 1, 0) {
        taken += 1;
    }

    expect_that!(taken, le(7));
}

#[gtest]
fn probes_of_an_instance_stay_within_its_share_but_one_is_always_left() {
    let mut budget = ProbeBudget::default();
    let bound = ProbeLimit {
        per_upstream_s: 60.0,
        upstreams: 10,
        instances: 10,
    };
    let service: Arc<str> = "s".into();
    let mut taken = 0;

    for now_ms in 0..20_000 {
        taken += budget.acquire_up_to(&service, bound, 3, now_ms) - 1;
    }

    expect_that!(taken, le(60 * 20));
    expect_that!(budget.acquire_up_to(&service, bound, 3, 20_000), ge(1));
}

#[gtest]
fn two_failures_eject_and_one_good_answer_brings_back() {
    let mut condition = EjectionState::default();

    expect_that!(condition.on_evidence(Evidence::Failed, 0), eq(false));
    expect_that!(condition.on_evidence(Evidence::Failed, 10), eq(true));
    expect_that!(condition.is_usable(700), eq(false));
    expect_that!(condition.is_usable(900), eq(true));
    condition.on_send();
    expect_that!(condition.is_usable(901), eq(false), "one request decides");
    condition.on_evidence(Evidence::Served, 950);

    expect_that!(condition.is_usable(951), eq(true));
    expect_that!(condition.needs_trial(), eq(false));
}

#[gtest]
fn an_upstream_that_fails_its_trial_stays_out_for_longer() {
    let mut condition = EjectionState::default();
    condition.on_evidence(Evidence::Failed, 0);
    condition.on_evidence(Evidence::Failed, 0);
    condition.on_send();

    condition.on_evidence(Evidence::Failed, 1_000);

    expect_that!(condition.is_usable(2_500), eq(false));
    expect_that!(condition.is_usable(2_600), eq(true));
}

#[gtest]
fn a_caller_that_leaves_does_not_keep_an_upstream_on_trial_out() {
    let mut condition = EjectionState::default();
    condition.on_evidence(Evidence::Failed, 0);
    condition.on_evidence(Evidence::Failed, 0);
    condition.on_send();

    condition.on_abandoned();

    expect_that!(condition.is_usable(1_000), eq(true));
}

#[gtest]
fn an_upstream_that_fails_a_third_of_its_requests_is_ejected() {
    let mut condition = EjectionState::default();
    let mut ejected = false;

    for number in 0..30 {
        let evidence = if number % 3 == 0 {
            Evidence::Failed
        } else {
            Evidence::Served
        };
        ejected |= condition.on_evidence(evidence, number * 10);
    }

    expect_that!(ejected, eq(true));
}

#[gtest]
fn an_idle_slow_upstream_costs_more_than_a_busy_fast_one() {
    let idle_slow = cost(&reading(load(0, 0, 500.0)), SMALL, true);
    let busy_fast = cost(&reading(load(1, 0, 100.0)), SMALL, true);

    expect_that!(busy_fast, lt(idle_slow));
    expect_that!(
        is_idle_at_usual_speed(&reading(load(0, 0, 100.0))),
        eq(true)
    );
    expect_that!(
        is_idle_at_usual_speed(&reading(load(0, 0, 500.0))),
        eq(false)
    );
    expect_that!(
        is_idle_at_usual_speed(&reading(load(1, 0, 100.0))),
        eq(false)
    );
}

#[gtest]
fn an_upstream_that_calls_itself_ill_is_the_last_choice() {
    let ill = Reading {
        is_healthy: false,
        ..reading(load(0, 0, 100.0))
    };

    expect_that!(
        cost(&reading(load(2, 1, 150.0)), SMALL, true),
        lt(cost(&ill, SMALL, true))
    );
}

#[gtest]
fn near_upstreams_are_drawn_more_often_and_none_twice() {
    let mut random = StdRng::seed_from_u64(7);
    let candidate = |is_local| Candidate {
        is_local,
        is_connected: false,
        failure_share: 0.0,
    };
    let candidates = [
        candidate(true),
        candidate(false),
        candidate(false),
        candidate(true),
    ];
    let mut first = [0_u32; 4];

    for _ in 0..3_000 {
        let drawn = weighted_sample(&candidates, SMALL, 3, &mut random);
        let mut sorted = drawn.clone();
        sorted.sort_unstable();
        sorted.dedup();
        assert_that!(sorted.len(), eq(3));
        first[drawn[0]] += 1;
    }

    expect_that!(first[0] + first[3], gt(first[1] + first[2]));
    expect_that!(first[1], gt(300));
}

#[gtest]
fn large_answers_stay_near_unless_far_is_much_sooner() {
    let large = Locality::new(6_000.0, 4);
    let small = Locality::new(300.0, 4);
    let near_busy = reading(load(1, 0, 100.0));
    let far_idle = reading(load(0, 0, 150.0));

    expect_that!(
        cost(&near_busy, large, true),
        lt(cost(&far_idle, large, false))
    );
    expect_that!(
        cost(&near_busy, small, true),
        gt(cost(&far_idle, small, false))
    );
    let far_fast = cost(&reading(load(0, 0, 100.0)), large, false);
    expect_that!(cost(&reading(load(0, 0, 500.0)), large, true), gt(far_fast));
}

fn pending_request(held_ms: u64, left_ms: u64) -> PendingRequest {
    PendingRequest {
        priority: 0,
        held_ms,
        objective_ms: 400,
        left_ms,
        work_ms: 150.0,
    }
}

#[gtest]
fn a_free_slot_takes_a_request_at_once() {
    expect_that!(
        pending_request(0, 1_000).decide(Some(&load(1, 0, 500.0))),
        eq(Admission::Send)
    );
}

#[gtest]
fn a_burst_is_refused_at_once_with_a_time_to_return() {
    let full = load(2, 4, 100.0);

    expect_that!(
        pending_request(0, 1_000).decide(Some(&full)),
        eq(Admission::ProbeAgain)
    );
    let late = pending_request(60, 1_000).decide(Some(&full));

    let Admission::Refuse { retry_after_ms } = late else {
        panic!("{late:?}");
    };
    expect_that!(retry_after_ms, all!(ge(1), le(300)));
}

#[gtest]
fn a_request_does_not_queue_where_it_would_come_too_late() {
    let slow = load(2, 0, 500.0);

    expect_that!(
        pending_request(100, 600).decide(Some(&slow)),
        not(eq(Admission::Send))
    );
}

#[gtest]
fn the_first_that_answers_and_has_the_store_is_followed() {
    use PeerState::{StoreUnreachable, Unresponsive, Usable};

    expect_that!(choose_role(&[]), eq(StoreRole::Reader));
    expect_that!(choose_role(&[Usable, Usable]), eq(StoreRole::Follower(0)));
    expect_that!(
        choose_role(&[Unresponsive, StoreUnreachable, Usable]),
        eq(StoreRole::Follower(2))
    );
    expect_that!(
        choose_role(&[Unresponsive, Unresponsive, Unresponsive, Unresponsive]),
        eq(StoreRole::Reader)
    );
    expect_that!(
        choose_role(&[StoreUnreachable, Unresponsive, StoreUnreachable]),
        eq(StoreRole::Reader)
    );
}

#[gtest]
fn a_store_that_answers_nobody_is_tried_by_three() {
    use PeerState::StoreUnreachable;
    let mut readers = 0;

    for rank in 0..50 {
        readers += usize::from(choose_role(&vec![StoreUnreachable; rank]) == StoreRole::Reader);
    }

    expect_that!(readers, eq(3));
    expect_that!(
        choose_role(&[StoreUnreachable; 3]),
        eq(StoreRole::FollowerWithoutStore(0))
    );
}

/// Share of first draws that stay in the own data centre.
fn near_share(near: usize, far: usize) -> f64 {
    let mut candidates = Vec::new();
    for number in 0..near + far {
        candidates.push(Candidate {
            is_local: number < near,
            is_connected: false,
            failure_share: 0.0,
        });
    }
    let locality = Locality::new(400.0, near);
    let mut random = StdRng::seed_from_u64(7);
    let mut stayed = 0;
    for _ in 0..2_000 {
        let drawn = weighted_sample(&candidates, locality, 1, &mut random);
        stayed += u32::from(drawn[0] < near);
    }
    f64::from(stayed) / 2_000.0
}

#[gtest]
fn work_stays_near_where_many_upstreams_stand_there() {
    // What goes elsewhere is paid for, and meets no idler upstream.
    expect_that!(near_share(43, 128), ge(0.7));
    // Among few, the others are needed to find an idle one.
    expect_that!(near_share(4, 8), le(0.7));
    expect_that!(near_share(1, 5), le(0.5));
}

/// Share of requests for which somebody far is among those that are asked.
fn far_asked_share(near: usize, far: usize) -> f64 {
    let mut candidates = Vec::new();
    for number in 0..near + far {
        candidates.push(Candidate {
            is_local: number < near,
            is_connected: false,
            failure_share: 0.0,
        });
    }
    let locality = Locality::new(400.0, near);
    let mut random = StdRng::seed_from_u64(7);
    let mut asked = 0;
    for _ in 0..1_000 {
        let drawn = probe_order(&candidates, locality, &mut random);
        asked += u32::from(drawn.iter().any(|index| *index >= near));
        let mut once = drawn.clone();
        once.sort_unstable();
        once.dedup();
        assert_that!(once.len(), eq(6));
    }
    f64::from(asked) / 1_000.0
}

#[gtest]
fn a_request_that_finds_the_near_upstreams_full_asks_elsewhere() {
    // A third of the upstreams stands near: cold after a return, or in a burst.
    expect_that!(far_asked_share(333, 666), ge(0.9));
    expect_that!(far_asked_share(43, 128), ge(0.9));
    expect_that!(far_asked_share(4, 8), ge(0.9));
}

proptest! {
    /// Whatever comes and goes, a service lists just its upstreams that take
    /// work, by their names.
    #[test]
    fn a_service_lists_its_ready_upstreams(
        steps in prop::collection::vec((0..6_u8, 0..3_u8, 0..4_u8), 1..60)
    ) {
        let mut directory = Directory::default();
        for (sequence, (number, service, what)) in (1..).zip(steps) {
            let id = format!("i-{number}");
            if what == 3 {
                directory.remove(&id, false, 0);
                continue;
            }
            let state = if what == 2 { UpstreamState::Draining } else { UpstreamState::Ready };
            let mut report = report(&id, 1, sequence, state);
            report.service = format!("s{service}").into();
            directory.put(report, 0);
        }

        for service in ["s0", "s1", "s2"] {
            let mut wanted: Vec<String> = Vec::new();
            for id in directory.ids() {
                let report = &directory.get(id).unwrap().report;
                if &*report.service == service && report.state == UpstreamState::Ready {
                    wanted.push(id.to_string());
                }
            }
            wanted.sort();
            let listed = directory.ready_upstreams(service).map(|upstream| upstream.report.id.to_string());
            assert_eq!(listed.collect::<Vec<_>>(), wanted);
        }
    }
}

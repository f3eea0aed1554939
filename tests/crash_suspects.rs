//! Decisions about requests that end the upstreams that run them.

#[path = "support/properties.rs"]
mod properties;

use chicorywing::decision::crash_suspects::{
    CrashSuspects, End, Fingerprint, MAX_SUSPECTS, Scope, SuspectReport, UpstreamLifetime, Verdict,
};
use chicorywing::decision::run_permits::RunPermits;
use googletest::prelude::*;
use proptest::prelude::*;

const MINUTE_MS: u64 = 60_000;
const GUILTY: Fingerprint = Fingerprint {
    content: 1,
    variant: 1,
};

fn lifetime(upstream: usize) -> UpstreamLifetime {
    UpstreamLifetime {
        upstream: format!("up-{upstream}").into(),
        started_at_ms: 1,
    }
}

/// A table in which upstreams ended under a request, 0.1 s apart.
fn after_ends(request: Fingerprint, upstreams: std::ops::Range<usize>) -> CrashSuspects {
    let mut suspects = CrashSuspects::default();
    for (number, upstream) in upstreams.enumerate() {
        let now_ms = u64::try_from(number).unwrap() * 100;
        suspects.on_end(request, lifetime(upstream), now_ms);
    }
    suspects
}

fn is_stopped(suspects: &CrashSuspects, request: Fingerprint, now_ms: u64) -> bool {
    matches!(suspects.verdict(request, now_ms), Verdict::Stopped { .. })
}

#[gtest]
fn a_request_is_stopped_after_three_ends() {
    let mut suspects = after_ends(GUILTY, 0..2);
    expect_that!(
        suspects.verdict(GUILTY, 200),
        eq(Verdict::Suspect(Scope::Variant(GUILTY)))
    );

    suspects.on_end(GUILTY, lifetime(2), 200);

    expect_that!(is_stopped(&suspects, GUILTY, 300), eq(true));
    expect_that!(suspects.stopped(), eq(1));
}

// Guards against several reports of one end counting as several ends.
#[gtest]
fn one_end_counts_once() {
    let mut suspects = CrashSuspects::default();
    for now_ms in 0..10 {
        suspects.on_end(GUILTY, lifetime(0), now_ms);
    }

    expect_that!(is_stopped(&suspects, GUILTY, 10), eq(false));
}

// Guards against forgetting a request that its caller repeats slowly.
#[gtest]
fn slow_repeats_are_counted() {
    let mut suspects = CrashSuspects::default();
    for number in 0..3_usize {
        let now_ms = u64::try_from(number).unwrap() * 10 * MINUTE_MS;
        suspects.expire(now_ms);
        suspects.on_end(GUILTY, lifetime(number), now_ms);
    }

    expect_that!(is_stopped(&suspects, GUILTY, 20 * MINUTE_MS + 1), eq(true));
}

#[gtest]
fn one_trial_is_allowed_later_and_each_further_one_later_still() {
    let mut suspects = after_ends(GUILTY, 0..3);
    let last_end_ms = 200;
    let trial_ms = last_end_ms + 5 * MINUTE_MS;
    expect_that!(is_stopped(&suspects, GUILTY, trial_ms - 1), eq(true));
    expect_that!(
        suspects.verdict(GUILTY, trial_ms),
        eq(Verdict::Suspect(Scope::Variant(GUILTY)))
    );

    suspects.on_end(GUILTY, lifetime(3), trial_ms);

    let second_trial_ms = trial_ms + 10 * MINUTE_MS;
    expect_that!(is_stopped(&suspects, GUILTY, second_trial_ms - 1), eq(true));
    expect_that!(is_stopped(&suspects, GUILTY, second_trial_ms), eq(false));
}

// Guards against stopping for good a request whose upstreams have been mended.
#[gtest]
fn an_answer_refutes_the_suspicion() {
    let mut suspects = after_ends(GUILTY, 0..3);

    suspects.on_answer(GUILTY);

    expect_that!(suspects.verdict(GUILTY, 300), eq(Verdict::Clear));
    expect_that!(suspects.stopped(), eq(0));
}

// Guards against holding an end against a request after the upstream turned out alive.
#[gtest]
fn an_upstream_that_survived_does_not_count() {
    let mut suspects = after_ends(GUILTY, 0..3);

    suspects.on_survival(GUILTY.content, &lifetime(1));

    expect_that!(
        suspects.verdict(GUILTY, 300),
        eq(Verdict::Suspect(Scope::Variant(GUILTY)))
    );
}

// Guards against an answer to another request clearing a request that ends upstreams.
#[gtest]
fn an_answer_to_another_variant_does_not_refute_the_suspicion() {
    let mut suspects = after_ends(GUILTY, 0..3);
    let harmless = Fingerprint {
        variant: 2,
        ..GUILTY
    };

    suspects.on_answer(harmless);

    expect_that!(is_stopped(&suspects, GUILTY, 300), eq(true));
    expect_that!(suspects.verdict(harmless, 300), eq(Verdict::Clear));
}

// Guards against stopping requests that were in flight beside one that ends upstreams.
#[gtest]
fn ends_that_a_stopped_request_accounts_for_are_not_held_against_others() {
    let bystander = Fingerprint {
        content: 2,
        variant: 1,
    };
    let mut suspects = CrashSuspects::default();
    suspects.on_end(GUILTY, lifetime(0), 0);
    suspects.on_end(bystander, lifetime(0), 0);
    suspects.on_end(GUILTY, lifetime(1), 100);
    suspects.on_end(bystander, lifetime(1), 100);
    suspects.on_end(GUILTY, lifetime(2), 200);

    suspects.on_end(bystander, lifetime(2), 200);

    expect_that!(is_stopped(&suspects, GUILTY, 300), eq(true));
    expect_that!(suspects.verdict(bystander, 300), eq(Verdict::Clear));
}

// Guards against stopping another caller's request with the same path and body.
#[gtest]
fn a_variant_in_flight_beside_a_stopped_one_is_not_stopped() {
    let harmless = Fingerprint {
        variant: 2,
        ..GUILTY
    };
    let mut suspects = after_ends(GUILTY, 0..3);

    suspects.on_end(harmless, lifetime(2), 200);

    expect_that!(suspects.verdict(harmless, 300), eq(Verdict::Clear));
}

// Guards against a header that changes with each attempt hiding the repetition.
#[gtest]
fn a_request_whose_headers_vary_is_stopped_by_its_content() {
    let mut suspects = CrashSuspects::default();
    for variant in 0..3 {
        let upstream = usize::try_from(variant).unwrap();
        let request = Fingerprint {
            content: 1,
            variant,
        };
        suspects.on_end(request, lifetime(upstream), variant * 100);
    }

    let next = Fingerprint {
        content: 1,
        variant: 9,
    };
    expect_that!(is_stopped(&suspects, next, 300), eq(true));
    expect_that!(
        suspects.verdict(
            Fingerprint {
                content: 2,
                variant: 9
            },
            300
        ),
        eq(Verdict::Clear)
    );
}

// Guards against a flood of distinct failing requests pushing out a stopped one.
#[gtest]
fn a_flood_of_suspects_does_not_push_out_a_stopped_request() {
    let mut suspects = after_ends(GUILTY, 0..3);
    for number in 0..MAX_SUSPECTS + 500 {
        let request = Fingerprint {
            content: 10 + u64::try_from(number).unwrap(),
            variant: 1,
        };
        suspects.on_end(request, lifetime(10 + number), 1_000);
    }

    expect_that!(suspects.len(), eq(MAX_SUSPECTS));
    expect_that!(is_stopped(&suspects, GUILTY, 2_000), eq(true));
}

#[gtest]
fn reports_arrive_in_parts_of_the_requested_size() {
    let mut source = CrashSuspects::default();
    for content in 0..10 {
        let request = Fingerprint {
            content,
            variant: 1,
        };
        source.on_end(request, lifetime(0), 0);
    }
    let mut copy = CrashSuspects::default();

    let mut position = 0;
    let mut parts = 0;
    loop {
        let (reports, next) = source.reports_after(position, 4, 0);
        if reports.is_empty() {
            break;
        }
        for report in &reports {
            copy.merge(report, 0);
        }
        (position, parts) = (next, parts + 1);
    }

    expect_that!(parts, eq(3));
    expect_that!(copy.len(), eq(10));
}

// Guards against an instance that starts late holding a stop longer than the others.
#[gtest]
fn the_age_of_the_last_end_is_kept_in_a_new_process() {
    let suspects = after_ends(GUILTY, 0..3);
    let report = suspects.report(1, 200 + 4 * MINUTE_MS).unwrap();
    let mut new_process = CrashSuspects::default();

    new_process.merge(&report, 10);

    expect_that!(is_stopped(&new_process, GUILTY, MINUTE_MS), eq(true));
    expect_that!(is_stopped(&new_process, GUILTY, MINUTE_MS + 20), eq(false));
}

#[gtest]
fn one_token_holds_a_permit_until_it_is_released_or_expires() {
    let scope = Scope::Variant(GUILTY);
    let mut permits = RunPermits::default();

    expect_that!(permits.acquire(scope, 1, 1_000, 0), eq(true));
    expect_that!(permits.acquire(scope, 2, 1_000, 10), eq(false));
    permits.release(scope, 2);
    expect_that!(permits.acquire(scope, 2, 1_000, 20), eq(false));
    permits.release(scope, 1);
    expect_that!(permits.acquire(scope, 2, 1_000, 30), eq(true));
    expect_that!(permits.acquire(scope, 3, 1_000, 1_030), eq(true));
}

fn any_report() -> impl Strategy<Value = SuspectReport> {
    let end =
        (0..4_usize, 0..3_u64, any::<bool>()).prop_map(|(upstream, variant, is_refuted)| End {
            lifetime: lifetime(upstream),
            variant,
            is_refuted,
        });
    let ends = proptest::collection::vec(end, 1..4);
    (0..3_u64, ends, any::<bool>()).prop_map(|(content, ends, is_content_refuted)| SuspectReport {
        content,
        ends,
        is_content_refuted,
        age_ms: 0,
    })
}

/// The reports of a table, in an order that does not depend on that of the merges.
fn sorted_reports(suspects: &CrashSuspects) -> Vec<SuspectReport> {
    let (mut reports, _) = suspects.reports_after(0, usize::MAX, 0);
    for report in &mut reports {
        report
            .ends
            .sort_by_key(|end| (end.lifetime.clone(), end.variant));
    }
    reports.sort_by_key(|report| report.content);
    reports
}

proptest! {
    #![proptest_config(properties::config())]

    // Guards against instances that hear of the same ends in another order disagreeing.
    #[test]
    fn the_order_of_reports_does_not_matter(
        reports in proptest::collection::vec(any_report(), 1..12),
        seed in any::<u64>(),
    ) {
        use rand::SeedableRng;
        use rand::seq::SliceRandom;
        let mut shuffled = reports.clone();
        shuffled.shuffle(&mut rand::rngs::StdRng::seed_from_u64(seed));
        shuffled.extend(reports.clone());
        let (mut one, mut other) = (CrashSuspects::default(), CrashSuspects::default());
        for report in &reports {
            one.merge(report, 0);
        }
        for report in &shuffled {
            other.merge(report, 0);
        }
        prop_assert_eq!(sorted_reports(&one), sorted_reports(&other));
    }
}

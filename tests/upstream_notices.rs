//! Tests of what an instance believes of upstreams that say that they leave.

use std::sync::Arc;

use chicorywing::decision::crash_suspects::UpstreamLifetime;
use chicorywing::decision::upstream_notices::{
    LeavingReport, NoticeChange, NoticeReport, Statement, UpstreamNotices, parse_leaving,
};
use googletest::prelude::*;
use proptest::prelude::*;

const UP: &str = "up-1";
const NOW_MS: u64 = 100_000;

fn lifetime(started_at_ms: u64) -> UpstreamLifetime {
    UpstreamLifetime {
        upstream: UP.into(),
        started_at_ms,
    }
}

fn leaving(sent_ms: u64, received_ms: u64) -> Statement {
    Statement {
        is_leaving: true,
        sent_ms,
        received_ms,
    }
}

fn staying(sent_ms: u64, received_ms: u64) -> Statement {
    Statement {
        is_leaving: false,
        ..leaving(sent_ms, received_ms)
    }
}

fn after(statements: &[Statement]) -> UpstreamNotices {
    let mut notices = UpstreamNotices::default();
    for statement in statements {
        notices.on_statement(&lifetime(1), *statement);
    }
    notices
}

fn report(is_leaving: bool, sent_age_ms: u64, received_age_ms: u64) -> NoticeReport {
    NoticeReport {
        lifetime: lifetime(1),
        leaving: Some(LeavingReport {
            is_leaving,
            sent_age_ms,
            received_age_ms,
        }),
    }
}

fn parsed(values: &[&str]) -> Option<bool> {
    parse_leaving(values.iter().map(|value| value.as_bytes())).ok()
}

#[gtest]
fn an_upstream_leaves_if_all_values_are_1() {
    expect_that!(parsed(&[]), some(eq(false)));
    expect_that!(parsed(&["0"]), some(eq(false)));
    expect_that!(parsed(&["1"]), some(eq(true)));
    expect_that!(parsed(&["1", " 1 "]), some(eq(true)));
}

// Guards against a bad value putting an upstream away.
#[gtest]
fn other_values_say_nothing() {
    for values in [&["2"][..], &[""], &["yes"], &["true"], &["01"], &["1", "0"]] {
        expect_that!(parsed(values), none(), "{values:?}");
    }
}

#[gtest]
fn an_answer_sent_clearly_later_ends_the_leaving() {
    let notices = after(&[leaving(0, 100), staying(1_100, 1_110)]);

    expect_that!(notices.is_leaving(UP, 1), eq(false));
}

// Guards against an answer that began before ending what a newer one says.
#[gtest]
fn an_answer_that_began_before_does_not_end_the_leaving() {
    let notices = after(&[leaving(50, 100), staying(90, 5_000)]);

    expect_that!(notices.is_leaving(UP, 1), eq(true));
}

// Guards against the word of an ended process being taken for that of the new one.
#[gtest]
fn a_notice_belongs_to_one_process() {
    let mut notices = after(&[leaving(0, 100)]);
    expect_that!(notices.is_leaving(UP, 2), eq(false));

    notices.on_statement(&lifetime(2), leaving(200, 300));
    let change = notices.on_statement(&lifetime(1), leaving(400, 500));

    expect_that!(change, eq(NoticeChange::None));
    expect_that!(notices.is_leaving(UP, 2), eq(true));
    expect_that!(notices.is_leaving(UP, 1), eq(false));
}

#[gtest]
fn instances_that_know_the_same_have_the_same_digest() {
    let notices = after(&[leaving(NOW_MS - 20, NOW_MS - 10)]);
    let mut other = UpstreamNotices::default();
    let report = notices.report(UP, NOW_MS).unwrap();

    let change = other.merge(&report, 5);

    expect_that!(change, eq(NoticeChange::Leaving));
    expect_that!(other.is_leaving(UP, 1), eq(true));
    expect_that!(other.digest(), eq(notices.digest()));
    expect_that!(other.digest(), not(eq(UpstreamNotices::default().digest())));
}

// Guards against a table that grows with every upstream that ever left.
#[gtest]
fn notices_of_upstreams_that_are_gone_are_forgotten() {
    let mut notices = after(&[leaving(0, 100)]);
    notices.expire(70_000, |_| true);
    expect_that!(notices.is_leaving(UP, 1), eq(true));

    notices.expire(70_000, |_| false);

    expect_that!(notices.is_empty(), eq(true));
}

#[gtest]
fn the_table_is_bounded() {
    let mut notices = UpstreamNotices::default();
    for number in 0..5_000 {
        let lifetime = UpstreamLifetime {
            upstream: Arc::from(format!("up-{number}")),
            started_at_ms: 1,
        };
        notices.on_statement(&lifetime, leaving(number, number));
    }

    expect_that!(notices.leaving(), le(4_096));
    expect_that!(notices.is_leaving("up-4999", 1), eq(true));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(25),
        ..ProptestConfig::default()
    })]

    // Guards against what instances believe depending on the order of reports.
    #[test]
    fn reports_in_any_order_end_in_the_same_belief(
        mut reports in prop::collection::vec((any::<bool>(), 0_u64..4_000, 0_u64..500), 1..8),
        seed in any::<u64>(),
    ) {
        let believed = |reports: &[(bool, u64, u64)]| {
            let mut notices = UpstreamNotices::default();
            for (is_leaving, received_age_ms, took_ms) in reports {
                let sent_age_ms = received_age_ms + took_ms;
                notices.merge(&report(*is_leaving, sent_age_ms, *received_age_ms), NOW_MS);
            }
            notices.is_leaving(UP, 1)
        };
        let first = believed(&reports);
        let middle = usize::try_from(seed % 8).unwrap() % reports.len();
        reports.rotate_left(middle);
        prop_assert_eq!(believed(&reports), first);
        reports.reverse();
        prop_assert_eq!(believed(&reports), first);
    }
}

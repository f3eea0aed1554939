//! Tests of what an instance believes of upstreams that say that they leave, or that they
//! want nothing for a time.

use std::sync::Arc;

use chicorywing::decision::crash_suspects::UpstreamLifetime;
use chicorywing::decision::ejection::{EjectionState, Evidence};
use chicorywing::decision::notice_headers::{parse_leaving, parse_silence_ms};
use chicorywing::decision::upstream_notices::{
    LeavingReport, NoticeChange, NoticeReport, Silence, Statement, UpstreamNotices,
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
        silence: None,
    }
}

fn silence(id: u64, for_ms: u64, received_ms: u64) -> Silence {
    Silence {
        id,
        for_ms,
        received_ms,
        return_delay_ms: 0,
    }
}

fn parsed_ms(values: &[&str]) -> std::result::Result<Option<u64>, ()> {
    parse_silence_ms(values.iter().map(|value| value.as_bytes())).map_err(|_| ())
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
    expect_that!(other.digest(5), eq(notices.digest(NOW_MS)));
    expect_that!(
        other.digest(5),
        not(eq(UpstreamNotices::default().digest(5)))
    );
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

#[gtest]
fn a_time_is_a_decimal_number_of_seconds_and_the_longest_of_several_counts() {
    expect_that!(parsed_ms(&[]), eq(Ok(None)));
    expect_that!(parsed_ms(&["3"]), eq(Ok(Some(3_000))));
    expect_that!(parsed_ms(&[" 0.25 "]), eq(Ok(Some(250))));
    expect_that!(parsed_ms(&["0"]), eq(Ok(Some(0))));
    expect_that!(parsed_ms(&["1", "2.5"]), eq(Ok(Some(2_500))));
    expect_that!(parsed_ms(&["soon", "2"]), eq(Ok(Some(2_000))));
}

#[gtest]
fn other_times_are_invalid() {
    for text in [
        "",
        "-1",
        "NaN",
        "inf",
        "1e3",
        "+1",
        "soon",
        ".",
        "Fri, 04 Dec 2099 12:00:00 GMT",
    ] {
        expect_that!(parsed_ms(&[text]), err(anything()), "{text}");
    }
}

// Guards against one huge value putting an upstream away for good.
#[gtest]
fn a_huge_time_is_cut() {
    let digits = "9".repeat(400);
    expect_that!(parsed_ms(&["86400"]), eq(Ok(Some(30_000))));
    expect_that!(parsed_ms(&[&digits]), eq(Ok(Some(30_000))));

    let mut notices = UpstreamNotices::default();
    notices.on_silence(&lifetime(1), silence(1, u64::MAX, 0));
    expect_that!(notices.silence_left_ms(UP, 1, 0), eq(30_000));
}

#[gtest]
fn an_upstream_is_quiet_until_the_last_of_its_times_ends() {
    let mut notices = UpstreamNotices::default();
    notices.on_silence(&lifetime(1), silence(1, 3_000, 1_000));
    let change = notices.on_silence(&lifetime(1), silence(2, 500, 1_100));

    expect_that!(change, eq(NoticeChange::None));
    expect_that!(notices.silence_left_ms(UP, 1, 1_100), eq(2_900));
    expect_that!(notices.silence_left_ms(UP, 1, 4_000), eq(0));
    expect_that!(notices.silence_left_ms(UP, 2, 1_100), eq(0));
}

// Guards against a time that grows as instances tell each other of it.
#[gtest]
fn a_time_that_comes_back_from_another_instance_does_not_grow() {
    let mut notices = UpstreamNotices::default();
    let mut other = UpstreamNotices::default();
    notices.on_silence(&lifetime(1), silence(1, 3_000, 0));
    for now_ms in (0..2_000).step_by(100) {
        let told = notices.report(UP, now_ms).unwrap();
        other.merge_silence(&told, 0, now_ms + 10);
        let told = other.report(UP, now_ms + 20).unwrap();
        notices.merge_silence(&told, 0, now_ms + 30);
    }

    expect_that!(notices.silence_left_ms(UP, 1, 2_000), eq(1_000));
    expect_that!(other.silence_left_ms(UP, 1, 2_000), eq(1_010));
    expect_that!(other.digest(2_000), eq(notices.digest(2_000)));
}

// Guards against all instances returning at the same moment.
#[gtest]
fn an_instance_returns_with_its_delay() {
    let mut notices = UpstreamNotices::default();
    let delayed = Silence {
        return_delay_ms: 200,
        ..silence(1, 1_000, 0)
    };
    notices.on_silence(&lifetime(1), delayed);

    expect_that!(notices.silence_left_ms(UP, 1, 1_100), eq(100));
    expect_that!(notices.quiet(1_100), eq(1));
    expect_that!(notices.quiet(1_200), eq(0));
}

// Guards against silence that an upstream asked for leading to an ejection, a trial or a
// share of failures.
#[gtest]
fn being_turned_away_is_no_failure() {
    let mut ejection = EjectionState::default();
    for now_ms in 0..20 {
        ejection.on_send();
        expect_that!(
            ejection.on_evidence(Evidence::TurnedAway, now_ms),
            eq(false)
        );
    }

    expect_that!(ejection.is_usable(20), eq(true));
    expect_that!(ejection.needs_trial(), eq(false));
    expect_that!(ejection.failure_share(), eq(0.0));
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

//! Tests of what an instance takes for the limit of an upstream.

#[path = "support/properties.rs"]
mod properties;

use std::sync::Arc;

use chicorywing::decision::crash_suspects::UpstreamLifetime;
use chicorywing::decision::rate_limits::{LimitChange, RateLimits, Statement, parse_limits};
use googletest::prelude::*;
use proptest::prelude::*;

const UP: &str = "up-1";

fn lifetime(started_at_ms: u64) -> UpstreamLifetime {
    UpstreamLifetime {
        upstream: UP.into(),
        started_at_ms,
    }
}

fn answer(per_s: Option<f64>, sent_ms: u64, received_ms: u64) -> Statement {
    Statement {
        per_s,
        sent_ms,
        received_ms,
        is_probe: false,
    }
}

fn probe(per_s: Option<f64>, sent_ms: u64, received_ms: u64) -> Statement {
    Statement {
        is_probe: true,
        ..answer(per_s, sent_ms, received_ms)
    }
}

/// The limit in force after these answers of one process.
fn after(statements: &[Statement]) -> RateLimits {
    let mut limits = RateLimits::default();
    for statement in statements {
        limits.on_statement(&lifetime(1), *statement);
    }
    limits
}

fn per_s(limits: &RateLimits) -> Option<f64> {
    limits.limit(UP, 1).map(|limit| limit.per_s)
}

fn parsed(values: &[&str]) -> std::result::Result<Option<f64>, ()> {
    parse_limits(values.iter().map(|value| value.as_bytes())).map_err(|_| ())
}

#[gtest]
fn a_limit_is_a_decimal_number_and_the_lowest_of_several_counts() {
    expect_that!(parsed(&[]), eq(Ok(None)));
    expect_that!(parsed(&["1"]), eq(Ok(Some(1.0))));
    expect_that!(parsed(&[" 0.25 "]), eq(Ok(Some(0.25))));
    expect_that!(parsed(&["0"]), eq(Ok(Some(0.0))));
    expect_that!(parsed(&["3", "1.5"]), eq(Ok(Some(1.5))));
    expect_that!(parsed(&["3, 2"]), eq(Ok(Some(2.0))));
    expect_that!(parsed(&["none", "2"]), eq(Ok(Some(2.0))));
}

// Guards against a limit being lifted, or taken for 0, by a value that is none.
#[gtest]
fn an_invalid_limit_is_neither_a_limit_nor_the_end_of_one() {
    for text in [
        "", "-1", "NaN", "inf", "1e3", "+1", "one", "1.2.3", "\u{ff}", "1 2", ".",
    ] {
        expect_that!(parsed(&[text]), err(anything()), "{text}");
    }
}

#[gtest]
fn a_huge_limit_is_none() {
    let limits = after(&[answer(Some(1e9), 0, 10)]);

    expect_that!(per_s(&limits), none());
}

#[gtest]
fn an_answer_that_began_after_the_limit_was_named_lifts_it() {
    let limits = after(&[answer(Some(1.0), 0, 100), answer(None, 100, 200)]);

    expect_that!(per_s(&limits), none());
}

// Guards against an old answer that arrives late ending a limit.
#[gtest]
fn an_answer_that_began_before_the_limit_was_named_does_not_lift_it() {
    let limits = after(&[answer(Some(1.0), 50, 100), answer(None, 0, 300)]);

    expect_that!(per_s(&limits), some(eq(1.0)));
}

#[gtest]
fn of_answers_at_the_same_time_the_stricter_one_holds() {
    let limits = after(&[answer(Some(2.0), 0, 100), answer(Some(1.0), 50, 120)]);
    expect_that!(per_s(&limits), some(eq(1.0)));

    let limits = after(&[answer(Some(1.0), 0, 100), answer(Some(2.0), 50, 120)]);
    expect_that!(per_s(&limits), some(eq(1.0)));

    let limits = after(&[answer(Some(1.0), 0, 100), answer(Some(2.0), 110, 120)]);
    expect_that!(per_s(&limits), some(eq(2.0)));
}

// Guards against health answers, which need not name the limit, ending it.
#[gtest]
fn a_probe_lifts_a_limit_only_if_probes_have_named_it() {
    let limits = after(&[answer(Some(1.0), 0, 100), probe(None, 200, 210)]);
    expect_that!(per_s(&limits), some(eq(1.0)));

    let limits = after(&[probe(Some(1.0), 0, 100), probe(None, 200, 210)]);
    expect_that!(per_s(&limits), none());
}

// Guards against a limit that only probes name being lifted by each answer, and used in
// full until the next probe.
#[gtest]
fn an_answer_lifts_a_limit_only_if_answers_have_named_it() {
    let limits = after(&[probe(Some(1.0), 0, 100), answer(None, 200, 300)]);
    expect_that!(per_s(&limits), some(eq(1.0)));

    let named_in_both = [probe(Some(1.0), 0, 100), answer(Some(1.0), 150, 200)];
    let limits = after(&[&named_in_both[..], &[answer(None, 200, 300)]].concat());
    expect_that!(per_s(&limits), none());
}

#[gtest]
fn a_new_process_of_an_upstream_has_no_limit_until_it_names_one() {
    let mut limits = after(&[answer(Some(1.0), 0, 100)]);

    expect_that!(limits.limit(UP, 2), none());
    let change = limits.on_statement(&lifetime(2), answer(Some(4.0), 200, 300));
    expect_that!(change, eq(LimitChange::Named));
    expect_that!(limits.limit(UP, 2).unwrap().per_s, eq(4.0));
    // A late answer of the process before it.
    let change = limits.on_statement(&lifetime(1), answer(Some(9.0), 0, 400));
    expect_that!(change, eq(LimitChange::None));
    expect_that!(limits.limit(UP, 2).unwrap().per_s, eq(4.0));
}

// Guards against a report from before the end of a limit that arrives after it.
#[gtest]
fn an_old_report_does_not_bring_a_limit_back() {
    let teller = after(&[answer(Some(1.0), 0, 100)]);
    let mut limits = after(&[answer(Some(1.0), 0, 100), answer(None, 200, 300)]);

    let report = teller.report(UP, 400).unwrap();
    let change = limits.merge(&report, 400);

    expect_that!(change, eq(LimitChange::None));
    expect_that!(per_s(&limits), none());
}

#[gtest]
fn reports_are_told_once_for_each_change() {
    let mut limits = after(&[answer(Some(1.0), 0, 100)]);
    let (reports, position) = limits.reports_after(0, 10, 100);
    expect_that!(reports.len(), eq(1));

    limits.on_statement(&lifetime(1), answer(Some(1.0), 200, 300));
    expect_that!(limits.reports_after(position, 10, 300).0, is_empty());

    limits.on_statement(&lifetime(1), answer(None, 400, 500));
    expect_that!(limits.reports_after(position, 10, 500).0.len(), eq(1));
}

#[gtest]
fn the_limit_of_an_upstream_that_left_is_forgotten_after_a_while() {
    let mut limits = after(&[answer(Some(1.0), 0, 100)]);

    limits.expire(50_000, |_| false);
    expect_that!(limits.is_empty(), eq(false));
    limits.expire(70_000, |_| true);
    expect_that!(limits.is_empty(), eq(false));
    limits.expire(70_000, |_| false);
    expect_that!(limits.is_empty(), eq(true));
}

fn statements() -> impl Strategy<Value = Vec<Statement>> {
    let limit = proptest::option::of((1_u8..4).prop_map(f64::from));
    let statement = (limit, 0_u64..1_000, 1_u64..300)
        .prop_map(|(per_s, sent_ms, took_ms)| answer(per_s, sent_ms, sent_ms + took_ms));
    proptest::collection::vec(statement, 1..8)
}

proptest! {
    #![proptest_config(properties::config())]

    // Guards against a limit in force that is weaker than what the newest answers say.
    #[test]
    fn no_limit_is_weaker_than_all_answers_that_may_be_the_newest(answers in statements()) {
        let limits = after(&answers);
        let newest_sent_ms = answers.iter().map(|answer| answer.sent_ms).max().unwrap();
        let may_be_newest: Vec<_> = answers
            .iter()
            .filter(|answer| answer.received_ms >= newest_sent_ms)
            .collect();
        let has_named = answers.iter().any(|answer| answer.per_s.is_some());
        let weakest = may_be_newest
            .iter()
            .map(|answer| answer.per_s.unwrap_or(f64::INFINITY))
            .fold(0.0, f64::max);
        if has_named {
            prop_assert!(per_s(&limits).unwrap_or(f64::INFINITY) <= weakest);
        }
    }
}

#[gtest]
fn upstream_names_are_shared() {
    let limits = after(&[answer(Some(1.0), 0, 100)]);
    let names: Vec<Arc<str>> = limits.limited_upstreams().cloned().collect();

    expect_that!(names, elements_are![eq(&Arc::from(UP))]);
}

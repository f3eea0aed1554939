//! Whether an instance may start new work, by what it asked and when.

use chicorywing::process::fence::Fence;
use googletest::prelude::*;

/// A fence whose process asked for everything at `now_ms` and ran until then.
fn fresh_fence(now_ms: u64) -> Fence {
    let fence = Fence::default();
    for tick_ms in (0..=now_ms).step_by(100) {
        fence.on_tick(tick_ms);
    }
    fence.on_contact(now_ms);
    fence.on_list(now_ms, 0);
    fence.on_version(now_ms);
    fence
}

#[gtest]
fn a_process_that_knows_list_and_version_may_send() {
    let fence = fresh_fence(10_000);

    expect_that!(fence.may_send(10_050), eq(true));
}

#[gtest]
fn nothing_is_sent_after_a_standstill_even_before_the_next_tick() {
    let fence = fresh_fence(10_000);

    expect_that!(fence.may_send(11_500), eq(false));
}

#[gtest]
fn an_answer_that_waited_during_a_standstill_does_not_count() {
    let fence = fresh_fence(10_000);

    fence.on_tick(12_000);
    // Asked before the standstill, read after it.
    fence.on_list(9_990, 0);
    fence.on_version(9_990);

    expect_that!(fence.may_send(12_050), eq(false));
}

#[gtest]
fn the_list_alone_does_not_do_after_a_standstill() {
    let fence = fresh_fence(10_000);

    fence.on_tick(12_000);
    fence.on_contact(12_010);
    fence.on_list(12_010, 0);

    expect_that!(fence.may_send(12_050), eq(false));
    fence.on_version(12_020);
    expect_that!(fence.may_send(12_050), eq(true));
}

#[gtest]
fn a_list_that_was_asked_in_vain_after_a_standstill_does() {
    let fence = fresh_fence(10_000);

    fence.on_tick(12_000);
    fence.on_contact(12_010);
    fence.on_list_failure(12_010);
    fence.on_version(12_020);

    expect_that!(fence.may_send(12_050), eq(true));
}

#[gtest]
fn an_instance_that_nothing_answers_is_isolated() {
    let fence = fresh_fence(10_000);
    for tick_ms in (10_000..=14_000).step_by(100) {
        fence.on_tick(tick_ms);
        fence.on_list_failure(tick_ms);
    }

    expect_that!(fence.may_send(14_000), eq(false));
    expect_that!(fence.is_isolated(14_000), eq(true));
}

//! Tests when an instance may start new work.
//!
//! After a stall the process must not act on what it knew before, nor on
//! responses that were pending during the stall.

use chicorywing::process::fence::Fence;
use googletest::prelude::*;

/// Returns a fence whose process ticked until `now_ms` and made all requests at
/// that time.
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
fn a_fresh_list_and_version_allow_sending() {
    let fence = fresh_fence(10_000);

    expect_that!(fence.may_send(10_050), eq(true));
}

#[gtest]
fn a_stall_forbids_sending_even_before_the_next_tick() {
    let fence = fresh_fence(10_000);

    expect_that!(fence.may_send(11_500), eq(false));
}

#[gtest]
fn a_response_that_was_pending_during_a_stall_does_not_count() {
    let fence = fresh_fence(10_000);

    fence.on_tick(12_000);
    // Requested before the stall, received after it.
    fence.on_list(9_990, 0);
    fence.on_version(9_990);

    expect_that!(fence.may_send(12_050), eq(false));
}

#[gtest]
fn the_list_alone_is_not_enough_after_a_stall() {
    let fence = fresh_fence(10_000);

    fence.on_tick(12_000);
    fence.on_contact(12_010);
    fence.on_list(12_010, 0);

    expect_that!(fence.may_send(12_050), eq(false));
    fence.on_version(12_020);
    expect_that!(fence.may_send(12_050), eq(true));
}

#[gtest]
fn a_failed_list_request_after_a_stall_is_enough() {
    let fence = fresh_fence(10_000);

    fence.on_tick(12_000);
    fence.on_contact(12_010);
    fence.on_list_failure(12_010);
    fence.on_version(12_020);

    expect_that!(fence.may_send(12_050), eq(true));
}

#[gtest]
fn an_instance_without_any_response_is_isolated() {
    let fence = fresh_fence(10_000);
    for tick_ms in (10_000..=14_000).step_by(100) {
        fence.on_tick(tick_ms);
        fence.on_list_failure(tick_ms);
    }

    expect_that!(fence.may_send(14_000), eq(false));
    expect_that!(fence.is_isolated(14_000), eq(true));
}

//! Tests of the permits for limited upstreams, the return times of refused callers, and
//! who counts as responding.

#[path = "support/properties.rs"]
mod properties;

use std::net::SocketAddr;

use chicorywing::decision::peer_contacts::PeerContacts;
use chicorywing::decision::return_schedule::{Refusal, ReturnSchedule};
use chicorywing::decision::send_permits::{
    IssuingRate, PermitDecision, PermitRequest, SendPermits,
};
use googletest::prelude::*;
use proptest::prelude::*;

fn request(token: u64) -> PermitRequest {
    PermitRequest {
        upstream: "up-1".into(),
        started_at_ms: 1,
        token,
        lifetime_ms: 1_000,
        slots: 2,
        priority: 0,
        is_last_resort: false,
    }
}

fn urgent_and_not(token: u64, priority: u8) -> PermitRequest {
    PermitRequest {
        priority,
        ..request(token)
    }
}

fn principal(per_s: f64) -> IssuingRate {
    IssuingRate {
        per_s,
        is_deputy: false,
    }
}

fn deputy(per_s: f64) -> IssuingRate {
    IssuingRate {
        per_s,
        is_deputy: true,
    }
}

/// Asks every millisecond and gives each permit back at once; returns when one was given.
fn grants(rate: IssuingRate, from_ms: u64, until_ms: u64) -> Vec<u64> {
    let mut permits = SendPermits::default();
    let mut granted = Vec::new();
    for now_ms in from_ms..until_ms {
        if permits.acquire(&request(now_ms), rate, now_ms) == PermitDecision::Granted {
            permits.release("up-1", now_ms, true, now_ms);
            granted.push(now_ms);
        }
    }
    granted
}

// Guards against a new issuer, such as one that has just started, giving out a burst on top
// of what the one before it gave out.
#[gtest]
fn the_first_bucket_is_empty() {
    let mut permits = SendPermits::default();

    let decision = permits.acquire(&request(1), principal(1.0), 5_000);

    expect_that!(decision, eq(PermitDecision::UsedUp { retry_ms: 1_000 }));
}

#[gtest]
fn what_a_rate_allows_is_given_out() {
    for per_s in [0.1, 0.5, 1.0, 7.0, 40.0] {
        let granted = grants(principal(per_s), 0, 40_000).len();
        let allowed = 40.0 * per_s;
        let granted = f64::from(u32::try_from(granted).unwrap());
        expect_that!(granted, ge(0.95 * allowed - 1.0), "{per_s}/s");
        expect_that!(granted, le(allowed), "{per_s}/s");
    }
}

#[gtest]
fn a_limit_of_zero_lets_a_trial_through_now_and_then() {
    let granted = grants(principal(0.0), 0, 60_000);

    expect_that!(granted.len(), eq(2));
}

#[gtest]
fn a_permit_that_was_not_used_is_given_out_again() {
    let mut permits = SendPermits::default();
    let rate = principal(1.0);
    permits.acquire(&request(0), rate, 0);
    expect_that!(
        permits.acquire(&request(1), rate, 1_000),
        eq(PermitDecision::Granted)
    );

    permits.release("up-1", 1, false, 1_001);

    expect_that!(
        permits.acquire(&request(2), rate, 1_002),
        eq(PermitDecision::Granted)
    );
}

// Guards against a second token for an ask that was repeated as its answer was late.
#[gtest]
fn asking_again_for_the_same_permit_takes_nothing_more() {
    let mut permits = SendPermits::default();
    let rate = principal(1.0);
    permits.acquire(&request(0), rate, 0);

    for now_ms in [1_000, 1_001, 1_002] {
        let decision = permits.acquire(&request(1), rate, now_ms);
        expect_that!(decision, eq(PermitDecision::Granted));
    }
    permits.release("up-1", 1, true, 1_003);

    let decision = permits.acquire(&request(2), rate, 1_004);
    expect_that!(decision, matches_pattern!(PermitDecision::UsedUp { .. }));
}

#[gtest]
fn no_more_permits_are_out_than_the_upstream_has_slots() {
    let mut permits = SendPermits::default();
    let rate = principal(100.0);
    permits.acquire(&request(0), rate, 0);
    for token in [1, 2] {
        expect_that!(
            permits.acquire(&request(token), rate, 100),
            eq(PermitDecision::Granted)
        );
    }

    let third = permits.acquire(&request(3), rate, 100);
    expect_that!(third, matches_pattern!(PermitDecision::Busy { .. }));

    // Permits that are never given back expire.
    expect_that!(
        permits.acquire(&request(4), rate, 1_100),
        eq(PermitDecision::Granted)
    );
}

#[gtest]
fn urgent_requests_are_served_first() {
    let mut permits = SendPermits::default();
    let rate = principal(1.0);
    permits.acquire(&request(0), rate, 0);

    let late = permits.acquire(&urgent_and_not(1, 2), rate, 1_100);
    expect_that!(late, eq(PermitDecision::UsedUp { retry_ms: 300 }));
    let urgent = permits.acquire(&urgent_and_not(2, 0), rate, 1_100);
    expect_that!(urgent, eq(PermitDecision::Granted));
}

#[gtest]
fn a_new_process_of_the_upstream_has_a_bucket_of_its_own() {
    let mut permits = SendPermits::default();
    let rate = principal(1.0);
    permits.acquire(&request(0), rate, 0);
    let restarted = PermitRequest {
        started_at_ms: 2,
        ..request(1)
    };

    let decision = permits.acquire(&restarted, rate, 10_000);

    expect_that!(decision, matches_pattern!(PermitDecision::UsedUp { .. }));
}

proptest! {
    #![proptest_config(properties::config())]

    // Guards against more requests in 4 s than the users allow, whatever the demand, also
    // while a deputy gives out permits at half the rate beside the principal.
    #[test]
    fn two_issuers_keep_what_the_users_allow(
        per_s in 0.05_f64..16.0,
        gaps_ms in proptest::collection::vec(1_u64..900, 50..400),
    ) {
        let mut first = SendPermits::default();
        let mut second = SendPermits::default();
        let mut granted: Vec<u64> = Vec::new();
        let mut now_ms = 0;
        for (token, gap_ms) in (0..).zip(gaps_ms) {
            now_ms += gap_ms;
            for (permits, rate) in [
                (&mut first, principal(per_s)),
                (&mut second, deputy(per_s / 2.0)),
            ] {
                for copy in 0..5 {
                    let token = token * 5 + copy;
                    if permits.acquire(&request(token), rate, now_ms) == PermitDecision::Granted {
                        permits.release("up-1", token, true, now_ms);
                        granted.push(now_ms);
                    }
                }
            }
        }
        for from_ms in &granted {
            let in_window = granted
                .iter()
                .filter(|at_ms| *at_ms >= from_ms && **at_ms < from_ms + 4_000);
            let count = f64::from(u32::try_from(in_window.count()).unwrap());
            prop_assert!(count <= 1.5 * 4.0 * per_s + 5.0, "{count} at {per_s}/s");
        }
    }
}

fn refusal(max_wait_ms: u64) -> Refusal {
    Refusal {
        first_permit_ms: 100,
        equal_share_per_s: 10.0,
        max_wait_ms,
        random: 0.5,
    }
}

#[gtest]
fn refused_callers_return_one_after_the_other() {
    let mut schedule = ReturnSchedule::default();

    let waits = [0; 4].map(|_| schedule.wait_ms(refusal(1_000), 0));

    expect_that!(waits, eq([100, 200, 300, 400]));
}

#[gtest]
fn callers_return_as_fast_as_their_instance_gets_permits() {
    let mut schedule = ReturnSchedule::default();
    for number in 0..200 {
        schedule.on_permit(number * 50);
    }

    let first = schedule.wait_ms(refusal(1_000), 10_000);
    let second = schedule.wait_ms(refusal(1_000), 10_000);

    expect_that!(second - first, le(60));
}

// Guards against return times of no use to the caller, and against a schedule that runs
// ahead of the callers for good.
#[gtest]
fn no_caller_is_asked_back_later_than_it_can_come() {
    let mut schedule = ReturnSchedule::default();
    for _ in 0..1_000 {
        expect_that!(schedule.wait_ms(refusal(500), 0), le(500));
    }

    expect_that!(schedule.wait_ms(refusal(500), 1_000), eq(100));
}

// Guards against a limit of 0 that ends all return times for good.
#[gtest]
fn callers_are_asked_back_soon_again_once_a_limit_of_zero_is_lifted() {
    let mut schedule = ReturnSchedule::default();
    let nothing = Refusal {
        equal_share_per_s: 0.0,
        ..refusal(500)
    };
    schedule.wait_ms(nothing, 0);

    expect_that!(schedule.wait_ms(refusal(500), 20_000), eq(100));
}

fn addresses(count: u16) -> Vec<SocketAddr> {
    (1..=count)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect()
}

#[gtest]
fn an_instance_that_reaches_most_others_is_in_the_majority() {
    let others = addresses(12);
    let mut contacts = PeerContacts::default();
    for address in &others[..6] {
        contacts.on_failure(*address, 0);
    }
    expect_that!(contacts.is_in_majority(&others, 1_000), eq(true));

    contacts.on_failure(others[6], 0);
    expect_that!(contacts.is_in_majority(&others, 1_000), eq(false));

    // Instances that are silent for long have ended.
    expect_that!(contacts.is_in_majority(&others, 31_000), eq(true));
}

#[gtest]
fn an_instance_that_did_not_respond_is_asked_again_after_a_pause() {
    let address = addresses(1)[0];
    let mut contacts = PeerContacts::default();

    contacts.on_failure(address, 100);
    contacts.on_failure(address, 1_000);

    expect_that!(contacts.is_paused(&address, 2_999), eq(true));
    expect_that!(contacts.is_paused(&address, 3_000), eq(false));
    expect_that!(contacts.lost_for_ms(&address, 3_100), eq(3_000));
    contacts.on_response(address);
    expect_that!(contacts.lost_for_ms(&address, 3_100), eq(0));
}

//! Configuration versions, idempotency keys and membership views, without I/O.

#[path = "support/properties.rs"]
mod properties;

use std::net::SocketAddr;
use std::sync::Arc;

use chicorywing::process::keys::{ClaimResponse, KeyName, KeyRecord, KeyState, KeyTable};
use chicorywing::process::members::{GossipEntry, Member, Members, View};
use chicorywing::request::body::Body;
use chicorywing::request::outcome::{Answer, NotRunReason, Outcome};
use chicorywing::version::fold::{Fold, RecordStatus};
use chicorywing::version::record::{RECORD_FORMAT, Record};
use googletest::prelude::*;
use proptest::prelude::proptest;

const SET: &str = r#"{"data_centres":[{"name":"a","region":"r","state":"in"}]}"#;

fn record(id: &str, based_on: u64) -> Record {
    Record {
        format: RECORD_FORMAT,
        id: id.into(),
        based_on,
        snapshot_of: None,
        author: "test".into(),
        text: SET.into(),
    }
}

#[gtest]
fn first_of_two_concurrent_records_wins() {
    let mut fold = Fold::default();

    expect_that!(fold.apply(0, &record("a", 0)), eq(RecordStatus::Accepted));
    expect_that!(fold.apply(1, &record("b", 0)), eq(RecordStatus::Conflict));
    expect_that!(fold.apply(2, &record("a", 0)), eq(RecordStatus::Duplicate));
    expect_that!(fold.apply(3, &record("c", 1)), eq(RecordStatus::Accepted));

    expect_that!(fold.accepted().version, eq(2));
}

#[gtest]
fn invalid_and_newer_format_records_are_ignored() {
    let mut fold = Fold::default();
    fold.apply(0, &record("a", 0));
    let invalid = Record {
        text: "{}".into(),
        ..record("b", 1)
    };
    let newer = Record {
        format: RECORD_FORMAT + 1,
        ..record("c", 1)
    };

    expect_that!(fold.apply(1, &invalid), eq(RecordStatus::Invalid));
    expect_that!(fold.apply(2, &newer), eq(RecordStatus::NewerFormat));

    expect_that!(fold.accepted().version, eq(1));
}

#[gtest]
fn snapshot_replaces_expired_records() {
    let mut fold = Fold::default();
    let snapshot = Record {
        snapshot_of: Some(7),
        ..record("snapshot", 7)
    };

    expect_that!(fold.apply(40, &snapshot), eq(RecordStatus::Accepted));
    expect_that!(
        fold.apply(41, &record("next", 7)),
        eq(RecordStatus::Accepted)
    );
    let old = Record {
        id: "old".into(),
        ..snapshot
    };
    expect_that!(fold.apply(42, &old), eq(RecordStatus::StaleSnapshot));

    expect_that!(fold.accepted().version, eq(8));
}

proptest! {
    #![proptest_config(properties::config())]

    /// Two readers of the same records hold the same version, even if one
    /// applies records twice, and the version never decreases.
    #[test]
    fn readers_of_the_same_prefix_agree(
        records in proptest::collection::vec((0..6_u64, 0..12_u8), 1..60),
        replay_at in 0..60_usize,
    ) {
        let mut first = Fold::default();
        let mut second = Fold::default();
        let mut last_version = 0;
        for (offset, (based_on, id)) in records.iter().enumerate() {
            let record = record(&format!("id-{id}"), *based_on);
            first.apply(offset as u64, &record);
            assert!(first.accepted().version >= last_version);
            last_version = first.accepted().version;
            second.apply(offset as u64, &record);
            if offset == replay_at {
                for (offset, (based_on, id)) in records[..=offset].iter().enumerate() {
                    let record = crate::record(&format!("id-{id}"), *based_on);
                    second.apply(offset as u64, &record);
                }
            }
        }
        assert_eq!(first.accepted().version, second.accepted().version);
        assert_eq!(first.accepted().id, second.accepted().id);
    }
}

fn key() -> KeyName {
    KeyName {
        service: "s".into(),
        organisation: "o".into(),
        key: "k".into(),
    }
}

fn result() -> Arc<Outcome> {
    Arc::new(Outcome::Result(Answer {
        status: 200,
        headers: Vec::new(),
        body: Body::from("done"),
        upstream: "up".into(),
    }))
}

#[gtest]
fn claimed_key_is_granted_only_to_its_claimant() {
    let mut key_table = KeyTable::default();

    expect_that!(
        key_table.claim(0, &key(), 1, 10),
        eq(&ClaimResponse::Granted)
    );
    expect_that!(
        key_table.claim(0, &key(), 1, 10),
        eq(&ClaimResponse::Granted)
    );
    let other = key_table.claim(0, &key(), 1, 11);
    expect_that!(other, eq(&ClaimResponse::Known(KeyState::Claimed(10))));
    expect_that!(
        key_table.claim(0, &key(), 2, 10),
        eq(&ClaimResponse::KeyReused)
    );
}

#[gtest]
fn key_is_released_after_not_run_and_kept_after_a_result() {
    let mut key_table = KeyTable::default();
    key_table.claim(0, &key(), 1, 10);
    let not_run = Arc::new(Outcome::not_run(NotRunReason::Overloaded, 1));

    key_table.record_outcome(1, &key(), 1, &not_run);
    expect_that!(
        key_table.claim(2, &key(), 1, 11),
        eq(&ClaimResponse::Granted)
    );
    key_table.record_outcome(3, &key(), 1, &result());
    key_table.release(&key(), 11);

    let known = ClaimResponse::Known(KeyState::Ended(result()));
    expect_that!(key_table.claim(4, &key(), 1, 12), eq(&known));
    expect_that!(key_table.claim(599_000, &key(), 1, 12), eq(&known));
    expect_that!(
        key_table.claim(700_000, &key(), 1, 12),
        eq(&ClaimResponse::Granted)
    );
}

#[gtest]
fn replicated_claim_does_not_replace_a_result() {
    let mut key_table = KeyTable::default();
    key_table.record_outcome(0, &key(), 1, &result());
    let replicated = KeyRecord {
        name: key(),
        fingerprint: 1,
        state: KeyState::Claimed(5),
        age_ms: 0,
    };

    key_table.merge(1, &replicated);

    expect_that!(
        key_table.state(&key()),
        some(eq(&KeyState::Ended(result())))
    );
}

fn member(number: u16, incarnation: u64) -> Arc<Member> {
    Arc::new(Member {
        name: format!("entry-{number}").into(),
        incarnation,
        data_centre: ["a", "b", "c"][usize::from(number % 3)].into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + number)),
    })
}

fn gossip_about(member: &Arc<Member>, age_ms: u64) -> Vec<GossipEntry> {
    vec![GossipEntry {
        member: Arc::clone(member),
        age_ms,
        is_leaving: false,
    }]
}

#[gtest]
fn unresponsive_member_returns_only_on_a_newer_heartbeat() {
    let mut members = Members::new(member(0, 1));
    let other = member(1, 2);
    members.on_gossip(10_000, &gossip_about(&other, 0));
    members.mark_unresponsive(11_000, &other);

    members.on_gossip(11_500, &gossip_about(&other, 1_000));
    expect_that!(members.view().contains(&other), eq(false));

    members.on_gossip(11_600, &gossip_about(&other, 100));
    expect_that!(members.view().contains(&other), eq(true));
}

#[gtest]
fn ended_process_stays_out_and_its_successor_joins() {
    let mut members = Members::new(member(0, 1));
    let old = member(1, 2);
    let new = member(1, 3);
    members.on_gossip(0, &gossip_about(&old, 0));
    members.mark_dead(10, &old);

    members.on_gossip(20, &gossip_about(&old, 0));
    expect_that!(members.view().contains(&old), eq(false));

    members.on_gossip(30, &gossip_about(&new, 0));
    expect_that!(members.view().contains(&new), eq(true));
}

#[gtest]
fn losing_a_whole_pair_affects_only_its_keys() {
    let mut members = Members::new(member(0, 1));
    for number in 1..6 {
        members.on_gossip(0, &gossip_about(&member(number, 10 + u64::from(number)), 0));
    }
    // Keeps the members alive until the views of the joining phase have expired.
    for second in 1..=20 {
        for number in 1..6 {
            let other = member(number, 10 + u64::from(number));
            members.on_gossip(second * 1_000, &gossip_about(&other, 0));
        }
    }
    let before = View::clone(members.view());

    members.mark_dead(21_000, &member(1, 11));
    members.mark_dead(22_000, &member(2, 12));

    for key in 0..500 {
        let key = key * 7_919;
        let names: Vec<&str> = ["entry-1", "entry-2"].to_vec();
        let pair = before.pair(key);
        let is_lost = pair.iter().all(|member| names.contains(&&*member.name));
        expect_that!(members.pair_loss_age_ms(23_000, key).is_some(), eq(is_lost));
    }
}

#[gtest]
fn isolated_instance_does_not_mark_the_others_as_lost() {
    let mut members = Members::new(member(0, 1));
    for number in 1..6 {
        members.on_gossip(0, &gossip_about(&member(number, 10 + u64::from(number)), 0));
    }

    members.update_view(30_000);
    for number in 1..6 {
        members.on_gossip(
            30_100,
            &gossip_about(&member(number, 10 + u64::from(number)), 0),
        );
    }

    expect_that!(members.view().members(), len(eq(6)));
    expect_that!(
        (0..500).all(|key| members.pair_loss_age_ms(30_200, key * 7_919).is_none()),
        eq(true)
    );
}

#[gtest]
fn half_of_the_fleet_is_not_a_majority() {
    let mut members = Members::new(member(0, 1));
    for number in 1..4 {
        members.on_gossip(0, &gossip_about(&member(number, 10 + u64::from(number)), 0));
    }
    expect_that!(members.has_majority(0), eq(true));

    members.mark_unresponsive(10, &member(1, 11));
    expect_that!(members.has_majority(10), eq(true));
    members.mark_unresponsive(10, &member(2, 12));

    expect_that!(members.has_majority(10), eq(false));
}

#[gtest]
fn removing_one_member_keeps_one_of_each_pair() {
    let all: Vec<_> = (0..14).map(|number| member(number, 1)).collect();
    let before = View::new(all.clone());
    for gone in 0..14 {
        let mut left = all.clone();
        left.remove(gone);
        let after = View::new(left);
        for key in 0..200 {
            let key = key * 104_729;
            let kept = before
                .pair(key)
                .iter()
                .filter(|old| after.pair(key).contains(old))
                .count();
            expect_that!(kept, ge(1));
        }
    }
}

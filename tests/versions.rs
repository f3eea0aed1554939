//! Acceptance of versions, keys and views, driven without I/O.

use std::net::SocketAddr;
use std::sync::Arc;

use chicorywing::process::keys::{ClaimResponse, KeyName, KeyRecord, KeyState, KeyTable};
use chicorywing::process::members::{GossipEntry, Member, Members, View};
use chicorywing::request::body::Body;
use chicorywing::request::outcome::{Answer, NotRunReason, Outcome};
use chicorywing::version::fold::{Fold, Verdict};
use chicorywing::version::record::{FORMAT, Record};
use googletest::prelude::*;
use proptest::prelude::proptest;

const SET: &str = r#"{"data_centres":[{"name":"a","region":"r","state":"in"}]}"#;

fn record(id: &str, based_on: u64) -> Record {
    Record {
        format: FORMAT,
        id: id.into(),
        based_on,
        snapshot_of: None,
        author: "test".into(),
        text: SET.into(),
    }
}

#[gtest]
fn one_of_two_racing_records_wins() {
    let mut fold = Fold::default();

    expect_that!(fold.apply(0, &record("a", 0)), eq(Verdict::Accepted));
    expect_that!(fold.apply(1, &record("b", 0)), eq(Verdict::LostRace));
    expect_that!(fold.apply(2, &record("a", 0)), eq(Verdict::Repeated));
    expect_that!(fold.apply(3, &record("c", 1)), eq(Verdict::Accepted));

    expect_that!(fold.accepted().version, eq(2));
}

#[gtest]
fn faulty_and_newer_records_change_nothing() {
    let mut fold = Fold::default();
    fold.apply(0, &record("a", 0));
    let faulty = Record {
        text: "{}".into(),
        ..record("b", 1)
    };
    let newer = Record {
        format: FORMAT + 1,
        ..record("c", 1)
    };

    expect_that!(fold.apply(1, &faulty), eq(Verdict::Invalid));
    expect_that!(fold.apply(2, &newer), eq(Verdict::NewerFormat));

    expect_that!(fold.accepted().version, eq(1));
}

#[gtest]
fn a_snapshot_carries_a_reader_over_expired_records() {
    let mut fold = Fold::default();
    let snapshot = Record {
        snapshot_of: Some(7),
        ..record("snapshot", 7)
    };

    expect_that!(fold.apply(40, &snapshot), eq(Verdict::Accepted));
    expect_that!(fold.apply(41, &record("next", 7)), eq(Verdict::Accepted));
    let old = Record {
        id: "old".into(),
        ..snapshot
    };
    expect_that!(fold.apply(42, &old), eq(Verdict::KnownSnapshot));

    expect_that!(fold.accepted().version, eq(8));
}

proptest! {
    /// Two readers of the same records agree, also if one reads pages again,
    /// and no version goes back.
    #[test]
    fn readers_of_one_prefix_agree(
        records in proptest::collection::vec((0..6_u64, 0..12_u8), 1..60),
        again in 0..60_usize,
    ) {
        let mut first = Fold::default();
        let mut second = Fold::default();
        let mut last = 0;
        for (offset, (based_on, id)) in records.iter().enumerate() {
            let record = record(&format!("id-{id}"), *based_on);
            first.apply(offset as u64, &record);
            assert!(first.accepted().version >= last);
            last = first.accepted().version;
            second.apply(offset as u64, &record);
            if offset == again {
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
fn a_claimed_key_is_granted_to_its_claimant_only() {
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
fn a_key_that_did_not_run_is_free_again_and_a_result_stays() {
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
fn a_taught_claim_does_not_replace_a_result() {
    let mut key_table = KeyTable::default();
    key_table.record_outcome(0, &key(), 1, &result());
    let taught = KeyRecord {
        name: key(),
        fingerprint: 1,
        state: KeyState::Claimed(5),
        age_ms: 0,
    };

    key_table.merge(1, &taught);

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

fn hearsay(member: &Arc<Member>, age_ms: u64) -> Vec<GossipEntry> {
    vec![GossipEntry {
        member: Arc::clone(member),
        age_ms,
        is_leaving: false,
    }]
}

#[gtest]
fn a_silent_member_comes_back_only_by_a_younger_sign_of_life() {
    let mut members = Members::new(member(0, 1));
    let other = member(1, 2);
    members.on_gossip(10_000, &hearsay(&other, 0));
    members.on_unresponsive(11_000, &other);

    members.on_gossip(11_500, &hearsay(&other, 1_000));
    expect_that!(members.view().contains(&other), eq(false));

    members.on_gossip(11_600, &hearsay(&other, 100));
    expect_that!(members.view().contains(&other), eq(true));
}

#[gtest]
fn a_process_that_ended_does_not_come_back_but_its_successor_does() {
    let mut members = Members::new(member(0, 1));
    let old = member(1, 2);
    let new = member(1, 3);
    members.on_gossip(0, &hearsay(&old, 0));
    members.on_connection_refused(10, &old);

    members.on_gossip(20, &hearsay(&old, 0));
    expect_that!(members.view().contains(&old), eq(false));

    members.on_gossip(30, &hearsay(&new, 0));
    expect_that!(members.view().contains(&new), eq(true));
}

#[gtest]
fn losing_both_of_a_pair_casts_doubt_on_their_keys_only() {
    let mut members = Members::new(member(0, 1));
    for number in 1..6 {
        members.on_gossip(0, &hearsay(&member(number, 10 + u64::from(number)), 0));
    }
    // The views of the joining are older than any claim that counts.
    for second in 1..=20 {
        for number in 1..6 {
            let other = member(number, 10 + u64::from(number));
            members.on_gossip(second * 1_000, &hearsay(&other, 0));
        }
    }
    let before = View::clone(members.view());

    members.on_connection_refused(21_000, &member(1, 11));
    members.on_connection_refused(22_000, &member(2, 12));

    for key in 0..500 {
        let key = key * 7_919;
        let names: Vec<&str> = ["entry-1", "entry-2"].to_vec();
        let pair = before.pair(key);
        let is_lost = pair.iter().all(|member| names.contains(&&*member.name));
        expect_that!(members.pair_loss_age_ms(23_000, key).is_some(), eq(is_lost));
    }
}

#[gtest]
fn an_instance_that_was_out_of_touch_does_not_take_the_others_for_lost() {
    let mut members = Members::new(member(0, 1));
    for number in 1..6 {
        members.on_gossip(0, &hearsay(&member(number, 10 + u64::from(number)), 0));
    }

    members.update_view(30_000);
    for number in 1..6 {
        members.on_gossip(30_100, &hearsay(&member(number, 10 + u64::from(number)), 0));
    }

    expect_that!(members.view().members(), len(eq(6)));
    expect_that!(
        (0..500).all(|key| members.pair_loss_age_ms(30_200, key * 7_919).is_none()),
        eq(true)
    );
}

#[gtest]
fn half_of_the_fleet_is_no_majority() {
    let mut members = Members::new(member(0, 1));
    for number in 1..4 {
        members.on_gossip(0, &hearsay(&member(number, 10 + u64::from(number)), 0));
    }
    expect_that!(members.has_majority(0), eq(true));

    members.on_unresponsive(10, &member(1, 11));
    expect_that!(members.has_majority(10), eq(true));
    members.on_unresponsive(10, &member(2, 12));

    expect_that!(members.has_majority(10), eq(false));
}

#[gtest]
fn one_change_of_the_view_changes_one_of_a_pair() {
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

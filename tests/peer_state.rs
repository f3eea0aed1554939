//! What an instance takes over from the whole state that another one tells it.

use std::net::SocketAddr;

use chicorywing::gateway::store::{KeyedRecord, Records, Stream};
use chicorywing::gateway::view::View;
use chicorywing::platform::PlatformStore;
use googletest::prelude::*;

const LIMITS: &str = r#"{"max-header-bytes": 16384, "max-body-bytes": 65536,
  "header-timeout": "3000ms", "idle-timeout": "15s"}"#;

fn platform() -> PlatformStore {
    PlatformStore::new(SocketAddr::from(([127, 0, 0, 1], 1)))
}

/// The operator stream with one version, whose record was written in `era`.
fn version(number: u64, era: u64, offset: u64) -> Records {
    let text =
        format!(r#"{{"version": {number}, "routes": {{}}, "services": {{}}, "limits": {LIMITS}}}"#);
    Records {
        era: 1,
        records: vec![KeyedRecord {
            era,
            offset,
            key: "config".into(),
            value: Some(text.into_bytes()),
        }],
        next_offset: offset + 1,
    }
}

fn version_in_force(view: &View) -> Option<u64> {
    view.manifest.as_ref().map(|manifest| manifest.version)
}

// Guards against an instance that has started passing on an older version than its own,
// with the position behind the newer one, which its followers then never read.
#[gtest]
fn a_version_of_a_snapshot_is_passed_on_after_a_peer_has_told_an_older_one() {
    let platform = platform();
    let mut started = View::default();
    started.apply_snapshot(&platform, Stream::Operator, version(10, 0, 2), false, 0);
    started.apply_peer_state(&platform, Stream::Operator, version(7, 1, 1), false, 1);

    let told = started.copy(Stream::Operator).all_records();
    let mut follower = View::default();
    follower.apply_peer_state(&platform, Stream::Operator, told, false, 2);

    expect_that!(version_in_force(&started), some(eq(10)));
    expect_that!(follower.next_offset(Stream::Operator), eq(3));
    expect_that!(version_in_force(&follower), some(eq(10)));
}

// Guards against a newer version of a peer that has it from a snapshot being left out,
// while the position moves behind it.
#[gtest]
fn a_version_that_a_peer_has_from_a_snapshot_replaces_one_that_was_read() {
    let platform = platform();
    let mut view = View::default();
    view.apply(&platform, Stream::Operator, version(7, 1, 1), false, 0);

    view.apply_peer_state(&platform, Stream::Operator, version(10, 0, 2), false, 1);

    expect_that!(view.next_offset(Stream::Operator), eq(3));
    expect_that!(version_in_force(&view), some(eq(10)));
}

// Guards against an older record, which stands in the store again after its return from a
// copy, replacing the lost one that stays in force.
#[gtest]
fn a_lost_record_stays_known_after_a_peer_has_told_an_older_one_from_a_snapshot() {
    let platform = platform();
    let mut view = View::default();
    view.apply(&platform, Stream::Operator, version(10, 1, 9), false, 0);
    let nothing = Records {
        era: 2,
        records: Vec::new(),
        next_offset: 9,
    };
    view.apply_snapshot(&platform, Stream::Operator, nothing, false, 1);
    let snapshot = Records {
        era: 2,
        ..version(7, 0, 1)
    };

    view.apply_peer_state(&platform, Stream::Operator, snapshot, false, 2);

    let told = view.copy(Stream::Operator).all_records();
    let mut follower = View::default();
    follower.apply_peer_state(&platform, Stream::Operator, told, false, 3);
    expect_that!(version_in_force(&follower), some(eq(10)));
}

//! The formats in which instances of different builds call each other.

#[path = "peer_format/samples.rs"]
mod samples;

use std::fmt::Write as _;
use std::pin::Pin;

use bytes::BytesMut;
use chicorywing::decision::rendezvous::weight;
use chicorywing::gateway::outcome::Reason;
use chicorywing::gateway::peer_format::{
    BUILD, CALLS, Format, Greeting, Opening, PeerBuild, decode, encode, read_opening,
    write_greeting,
};
use chicorywing::gateway::relay::{RelayRequest, RelayResponse};
use chicorywing::gateway::suspect_records::StoredSuspect;
use googletest::prelude::*;
use proptest::prelude::{any, prop};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tarpc::tokio_serde::formats::SymmetricalBincode;
use tarpc::tokio_serde::{Deserializer, Serializer};
use tarpc::{ClientMessage, RequestName, Response};

use samples::{answers, calls};

#[path = "support/properties.rs"]
mod properties;

/// Bytes of each call, answer and record as the builds that serve have sent them.
const GOLDEN: &str = include_str!("peer_format/golden.txt");

fn to_bincode<T: Serialize + DeserializeOwned + Unpin>(value: &T) -> Vec<u8> {
    let mut codec = SymmetricalBincode::<T>::default();
    Pin::new(&mut codec).serialize(value).unwrap().to_vec()
}

fn from_bincode<T: Serialize + DeserializeOwned + Unpin>(encoded: &[u8]) -> std::io::Result<T> {
    let mut codec = SymmetricalBincode::<T>::default();
    Pin::new(&mut codec).deserialize(&BytesMut::from(encoded))
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        write!(text, "{byte:02x}").unwrap();
    }
    text
}

/// A line for each call, answer and record: what it is, its format and its bytes.
fn encoded() -> Vec<String> {
    let mut lines = Vec::new();
    for call in calls() {
        let name = call.name().to_owned();
        lines.push(format!("call {name} bincode {}", hex(&to_bincode(&call))));
        lines.push(format!(
            "call {name} named {}",
            hex(&encode(&call).unwrap())
        ));
    }
    let cancel = || ClientMessage::<RelayRequest>::Cancel {
        trace_context: tarpc::trace::Context::default(),
        request_id: 300,
    };
    lines.push(format!("cancel bincode {}", hex(&to_bincode(&cancel()))));
    lines.push(format!("cancel named {}", hex(&encode(&cancel()).unwrap())));
    for (name, answer) in answers() {
        let answer = Response {
            request_id: 300,
            message: Ok(answer),
        };
        lines.push(format!(
            "answer {name} bincode {}",
            hex(&to_bincode(&answer))
        ));
        lines.push(format!(
            "answer {name} named {}",
            hex(&encode(&answer).unwrap())
        ));
    }
    let instance = samples::instance().to_record();
    lines.push(format!("record instance text {}", hex(instance.as_bytes())));
    let stopped = serde_json::to_vec(&samples::stored_suspect()).unwrap();
    lines.push(format!("record stopped-request json {}", hex(&stopped)));
    lines
}

// Guards against a change of the bytes that instances of another build, or the records that
// they have left in the store, do not share.
#[gtest]
fn calls_answers_and_records_keep_their_bytes() {
    let golden: Vec<&str> = GOLDEN.lines().collect();

    let encoded = encoded();

    for line in &encoded {
        expect_that!(golden, contains(eq(line)), "not among the golden bytes");
    }
    for line in &golden {
        expect_that!(encoded, contains(eq(line)), "no longer sent");
    }
}

// Guards against builds that choose other instances as readers and issuers, since the hasher
// of the standard library has changed.
#[gtest]
fn weights_of_rendezvous_hashing_are_those_of_other_builds() {
    for (subject, instance, expected) in [
        ("akl-a", "front-akl-a-1", 0x993f_e403_1715_133a),
        ("up-1", "gate-7", 0x1818_2950_5778_d4e5),
        ("00000000000000ff", "", 0x1a71_352c_140e_4cb6),
    ] {
        expect_that!(weight(subject, instance), eq(expected));
    }
}

// Guards against a call that a build does not announce, so that others never make it.
#[gtest]
fn the_greeting_names_all_calls() {
    let names: Vec<String> = calls().iter().map(|call| call.name().to_owned()).collect();

    let announced: Vec<String> = CALLS.iter().map(|call| format!("Relay.{call}")).collect();

    expect_that!(announced, eq(&names));
    expect_that!(
        Greeting::own().calls,
        eq(&CALLS.map(str::to_owned).to_vec())
    );
    expect_that!(Greeting::own().build, eq(BUILD));
}

#[gtest]
fn all_calls_and_answers_are_read_in_both_formats() {
    for call in calls() {
        let named: RelayRequest = decode(&encode(&call).unwrap()).unwrap();
        let bincode: RelayRequest = from_bincode(&to_bincode(&call)).unwrap();

        expect_that!(to_bincode(&named), eq(&to_bincode(&call)));
        expect_that!(to_bincode(&bincode), eq(&to_bincode(&call)));
    }
    for (_, answer) in answers() {
        let named: RelayResponse = decode(&encode(&answer).unwrap()).unwrap();
        let bincode: RelayResponse = from_bincode(&to_bincode(&answer)).unwrap();

        expect_that!(to_bincode(&named), eq(&to_bincode(&answer)));
        expect_that!(to_bincode(&bincode), eq(&to_bincode(&answer)));
    }
}

/// The calls of a newer build: one is new and stands first, and one has a new field.
#[derive(Debug, Serialize, Deserialize)]
enum NewerCalls {
    Forget {
        upstream: String,
    },
    AnnounceReader {
        address: std::net::SocketAddr,
        #[serde(default)]
        priority: u32,
    },
}

// Guards against a call of a newer build that is read as another one.
#[gtest]
fn an_unknown_call_is_refused_by_name() {
    let call = NewerCalls::Forget {
        upstream: "up-1".to_owned(),
    };

    let read: std::io::Result<RelayRequest> = decode(&encode(&call).unwrap());

    let error = read.unwrap_err().to_string();
    expect_that!(error, contains_substring("Forget"));
}

#[gtest]
fn an_older_build_ignores_a_new_field() {
    let call = NewerCalls::AnnounceReader {
        address: "10.1.0.18:7200".parse().unwrap(),
        priority: 7,
    };

    let read: RelayRequest = decode(&encode(&call).unwrap()).unwrap();

    expect_that!(read.name(), eq("Relay.announce_reader"));
}

#[gtest]
fn a_newer_build_takes_the_default_of_a_missing_field() {
    let call = RelayRequest::AnnounceReader {
        address: "10.1.0.18:7200".parse().unwrap(),
    };

    let read: NewerCalls = decode(&encode(&call).unwrap()).unwrap();

    expect_that!(
        read,
        matches_pattern!(NewerCalls::AnnounceReader {
            priority: eq(&0),
            ..
        })
    );
}

// Guards against a stop that an older build forgets, as a newer one has added to its record.
#[gtest]
fn a_record_with_a_new_field_still_stops_its_request() {
    let newer = samples::STOPPED.replace("\"ends\"", "\"since_build\":\"9.9\",\"ends\"");

    let read = StoredSuspect::parse(newer.as_bytes()).unwrap();

    expect_that!(read, eq(&samples::stored_suspect()));
}

// Guards against a request that is taken for one that has not run, since the other build has
// a new reason for its end.
#[gtest]
fn an_unknown_reason_promises_nothing() {
    let reason: Reason = decode(&encode(&"upstream-on-fire").unwrap()).unwrap();

    expect_that!(reason, eq(Reason::UpstreamFailed));
}

#[gtest]
fn builds_use_the_newest_format_that_both_speak() {
    let newer = Greeting {
        formats: vec![1, 2, 3],
        ..Greeting::own()
    };
    let other = Greeting {
        formats: vec![2, 3],
        ..Greeting::own()
    };

    expect_that!(newer.common_format(), some(eq(Format::Named(1))));
    expect_that!(PeerBuild::of(other), none());
}

#[gtest]
#[tokio::test]
async fn a_greeting_is_read_as_it_is_written() {
    let mut written = Vec::new();
    write_greeting(&mut written).await.unwrap();

    let opening = read_opening(&mut &written[..]).await.unwrap();

    let is_own = matches!(&opening, Opening::Greeting(greeting) if *greeting == Greeting::own());
    expect_that!(is_own, eq(true), "{opening:?}");
}

// Guards against memory that a length alone reserves, and against a greeting that is taken
// for one although it is cut off or of another program.
#[gtest]
#[tokio::test]
async fn other_openings_are_refused() {
    let long = [&b"CWRP"[..], &u32::MAX.to_be_bytes(), &[0; 64]].concat();
    let cut = [&b"CWRP"[..], &200_u32.to_be_bytes(), &[0; 20]].concat();
    let invalid = [&b"CWRP"[..], &2_u32.to_be_bytes(), &[0xc1, 0xc1]].concat();
    for opening in [&b"GET / HTTP/1.1\r\n\r\n"[..], &long, &cut, &invalid, b""] {
        let read = read_opening(&mut &*opening).await;

        expect_that!(read, err(anything()), "{opening:?}");
    }
}

#[gtest]
fn a_list_of_a_million_items_in_a_short_frame_is_refused() {
    let call = [
        &[0x81, 0xae][..],
        b"ReportSuspects",
        &[0x81, 0xa7],
        b"reports",
        &[0xdd],
        &1_000_000_u32.to_be_bytes(),
    ]
    .concat();

    let read: std::io::Result<RelayRequest> = decode(&call);

    expect_that!(read, err(anything()));
}

/// Reads bytes as everything that comes from another instance or the store.
fn read_all(bytes: &[u8]) {
    let _ = decode::<ClientMessage<RelayRequest>>(bytes);
    let _ = decode::<Response<RelayResponse>>(bytes);
    let _ = decode::<RelayRequest>(bytes);
    let _ = decode::<Greeting>(bytes);
    let _ = from_bincode::<RelayRequest>(bytes);
    let _ = from_bincode::<RelayResponse>(bytes);
    let _ = StoredSuspect::parse(bytes);
}

proptest::proptest! {
    #![proptest_config(properties::config())]

    #[test]
    fn random_bytes_are_read_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        read_all(&bytes);
    }

    #[test]
    fn spoiled_messages_are_read_without_a_panic(
        index in any::<prop::sample::Index>(),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        cut in any::<bool>(),
    ) {
        let mut messages = Vec::new();
        for call in calls() {
            messages.push(encode(&call).unwrap().to_vec());
            messages.push(to_bincode(&call));
        }
        for (_, answer) in answers() {
            messages.push(encode(&answer).unwrap().to_vec());
            messages.push(to_bincode(&answer));
        }
        let mut message = index.get(&messages).clone();
        let at = at.index(message.len());
        message[at] = byte;
        if cut {
            message.truncate(at);
        }
        read_all(&message);
    }
}

//! Properties of all parsers and decoders of bytes from outside the process.

#[path = "support/properties.rs"]
mod properties;

use chicorywing::connection::list::InstanceList;
use chicorywing::connection::wire::{GossipMessage, RunRequest};
use chicorywing::process::config::Config;
use chicorywing::request::body::Body;
use chicorywing::request::context::{Context, ContextError};
use chicorywing::request::headers;
use chicorywing::version::objects::{Objects, TierKind};
use chicorywing::version::record::Record;
use proptest::prelude::{any, prop, proptest};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};

fn decode<T: for<'de> serde::Deserialize<'de> + Unpin>(bytes: &[u8]) -> Option<T> {
    let mut codec = Bincode::<T, Body>::default();
    let bytes = bytes::BytesMut::from(bytes);
    std::pin::Pin::new(&mut codec).deserialize(&bytes).ok()
}

fn encode(body: &Body) -> bytes::Bytes {
    let mut codec = Bincode::<Body, Body>::default();
    std::pin::Pin::new(&mut codec)
        .serialize(body)
        .unwrap_or_default()
}

proptest! {
    #![proptest_config(properties::config())]

    #[test]
    fn parsing_objects_and_settings_never_panics(text in "\\PC{0,200}|[\\[\\]{}:,\"a-z0-9 \n/*]{0,200}") {
        let _ = Objects::parse(&text, "set");
        let _ = Config::parse(&text, "settings");
        let _ = InstanceList::parse(&text);
        let _ = serde_json::from_str::<Record>(&text);
    }

    #[test]
    fn parsing_headers_never_panics_and_enforces_limits(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(timeout_ms) = headers::parse_timeout_ms(Some(&bytes)) {
            assert!((1..=headers::MAX_TIMEOUT_MS).contains(&timeout_ms));
        }
        if let Ok(key) = headers::parse_idempotency_key(&bytes) {
            assert!((1..=headers::MAX_KEY_BYTES).contains(&key.len()));
        }
        let _ = headers::is_overloaded(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn tampered_context_is_rejected(index in 0..100_usize, change in 1..255_u8) {
        let context = Context {
            organisation: "trier".into(),
            tier: TierKind::Trial,
            depth: 2,
        };
        let signed = context.sign("a-secret-of-the-tests");
        assert_eq!(Context::verify(&signed, "a-secret-of-the-tests"), Ok(context));
        let mut bytes = signed.into_bytes();
        let index = index % bytes.len();
        bytes[index] ^= change;
        if let Ok(text) = String::from_utf8(bytes) {
            let verified = Context::verify(&text, "a-secret-of-the-tests");
            // An upper-case digit of the signature has the same value.
            let is_same = verified.as_ref().is_ok_and(|found| found.tier == TierKind::Trial);
            assert!(verified.is_err() || is_same);
        }
    }

    #[test]
    fn decoding_frames_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode::<RunRequest>(&bytes);
        let _ = decode::<GossipMessage>(&bytes);
    }

    #[test]
    fn bodies_round_trip(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let body = Body::from(bytes);
        assert_eq!(decode::<Body>(&encode(&body)), Some(body));
    }
}

#[test]
fn context_signed_with_another_secret_is_rejected() {
    let context = Context {
        organisation: "payer".into(),
        tier: TierKind::Paying,
        depth: 0,
    };
    let signed = context.sign("one-secret-of-theirs");

    let verified = Context::verify(&signed, "a-secret-of-the-tests");

    assert_eq!(verified, Err(ContextError::InvalidSignature));
}

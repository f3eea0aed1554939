//! Computes the fingerprint of a request, which is equal for each repetition.
//!
//! An upstream sees only what the gateway forwards. Requests that are forwarded with
//! the same bytes, apart from headers that change with each attempt, have the same
//! effect there, whoever sent them.

use http::header::{AGE, DATE, HOST, VIA};
use http::{HeaderMap, HeaderName};
use sha2::{Digest, Sha256};

use super::calls::Call;
use super::store::HeaderNames;
use crate::decision::crash_suspects::Fingerprint;

/// Headers that clients and intermediaries set anew for each attempt.
const PER_ATTEMPT_HEADERS: [&str; 15] = [
    "baggage",
    "b3",
    "idempotency-key",
    "traceparent",
    "tracestate",
    "x-amzn-trace-id",
    "x-attempt",
    "x-cloud-trace-context",
    "x-correlation-id",
    "x-forwarded-port",
    "x-request-id",
    "x-request-start",
    "x-retry-count",
    "x-span-id",
    "x-trace-id",
];
/// Prefix of further tracing headers.
const TRACING_PREFIX: &str = "x-b3-";

/// Computes the fingerprint of a request.
#[must_use]
pub fn fingerprint(call: &Call, names: &HeaderNames) -> Fingerprint {
    let host = call.headers.get(HOST);
    let mut content = Sha256::new();
    add_part(&mut content, call.method.as_str().as_bytes());
    add_part(&mut content, host.map_or(b"", |host| host.as_bytes()));
    add_part(&mut content, call.target.as_bytes());
    add_part(&mut content, &call.body);
    let mut variant = Sha256::new();
    for name in sorted_names(&call.headers) {
        if is_per_attempt(name, names) {
            continue;
        }
        add_part(&mut variant, name.as_str().as_bytes());
        for value in call.headers.get_all(name) {
            add_part(&mut variant, value.as_bytes());
        }
    }
    Fingerprint {
        content: first_bytes(content),
        variant: first_bytes(variant),
    }
}

fn sorted_names(headers: &HeaderMap) -> Vec<&HeaderName> {
    let mut names: Vec<&HeaderName> = headers.keys().collect();
    names.sort_unstable_by_key(|name| name.as_str());
    names
}

fn is_per_attempt(name: &HeaderName, names: &HeaderNames) -> bool {
    let text = name.as_str();
    [
        &names.request_id,
        &names.deadline_ms,
        &HOST,
        &DATE,
        &AGE,
        &VIA,
    ]
    .contains(&name)
        || PER_ATTEMPT_HEADERS.contains(&text)
        || text.starts_with(TRACING_PREFIX)
}

/// Adds a part with its length, so that parts cannot run into each other.
fn add_part(hash: &mut Sha256, part: &[u8]) {
    hash.update(part.len().to_le_bytes());
    hash.update(part);
}

fn first_bytes(hash: Sha256) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.finalize()[..8]);
    u64::from_le_bytes(bytes)
}

//! Names and forms of the headers on the product's interfaces.
//!
//! `docs/INTERFACE.md` is the reference for callers and upstreams.

use thiserror::Error;

/// Key of a call that may not be repeated.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Time left until the answer is of no use, in milliseconds.
pub const TIMEOUT_MS: &str = "chicorywing-timeout-ms";
/// Signed context of a chain of calls.
pub const CONTEXT: &str = "chicorywing-context";
/// How the call ended: `result`, `not-run` or `unknown`.
pub const OUTCOME: &str = "chicorywing-outcome";
/// Why it ended so.
pub const REASON: &str = "chicorywing-reason";
/// Identifies the call in logs.
pub const CALL_ID: &str = "chicorywing-call-id";
/// Upstream that answered.
pub const UPSTREAM: &str = "chicorywing-upstream";
/// When to come back, in milliseconds.
pub const RETRY_AFTER_MS: &str = "chicorywing-retry-after-ms";
/// Set by an upstream that refuses before starting.
pub const NOT_STARTED: &str = "chicorywing-not-started";
/// Load report of an upstream, in the text form of Open Request Cost Aggregation.
pub const LOAD_METRICS: &str = "endpoint-load-metrics";

/// Timeout of a call that names none, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u64 = 2_000;
/// Longest timeout of a call, in milliseconds; half of the time for which a
/// key is remembered, so that no run outlives its key.
pub const MAX_TIMEOUT_MS: u64 = 300_000;
/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 200;
/// Utilisation from which an upstream counts as overloaded.
const MIN_OVERLOADED_UTILISATION: f64 = 0.95;

/// Why a header is not taken.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum HeaderError {
    /// The timeout is no number in range.
    #[error(
        "\"{TIMEOUT_MS}\" must be a whole number from 1 to {MAX_TIMEOUT_MS}; correct or omit it"
    )]
    InvalidTimeout,
    /// A header that may stand once stands several times.
    #[error("\"{0}\" stands more than once; send it once")]
    Duplicate(&'static str),
    /// The key is too long or has characters that are not printable ASCII.
    #[error(
        "\"{IDEMPOTENCY_KEY}\" must be 1 to {MAX_KEY_BYTES} printable ASCII characters; \
         send a shorter one"
    )]
    InvalidKey,
}

/// Reads the timeout header.
///
/// # Errors
/// Where the value is no whole number in range.
pub fn parse_timeout_ms(value: Option<&[u8]>) -> Result<u64, HeaderError> {
    let Some(value) = value else {
        return Ok(DEFAULT_TIMEOUT_MS);
    };
    std::str::from_utf8(value)
        .ok()
        .and_then(|text| text.trim().parse().ok())
        .filter(|timeout_ms| (1..=MAX_TIMEOUT_MS).contains(timeout_ms))
        .ok_or(HeaderError::InvalidTimeout)
}

/// Reads the idempotency key.
///
/// # Errors
/// Where the value is empty, too long or not printable.
pub fn parse_idempotency_key(value: &[u8]) -> Result<&str, HeaderError> {
    let has_valid_length = (1..=MAX_KEY_BYTES).contains(&value.len());
    let is_printable = value.iter().all(|byte| (0x20..0x7f).contains(byte));
    if !has_valid_length || !is_printable {
        return Err(HeaderError::InvalidKey);
    }
    std::str::from_utf8(value).map_err(|_| HeaderError::InvalidKey)
}

/// Whether a load report says that the upstream is overloaded.
#[must_use]
pub fn is_overloaded(report: &str) -> bool {
    let Some(text) = report.trim().strip_prefix("TEXT ") else {
        return false;
    };
    for metric in text.split(',') {
        let Some((name, value)) = metric.split_once('=') else {
            continue;
        };
        if name.trim() != "application_utilization" {
            continue;
        }
        let utilisation: Option<f64> = value.trim().parse().ok();
        return utilisation.is_some_and(|found| found >= MIN_OVERLOADED_UTILISATION);
    }
    false
}

/// Whether a header belongs to one connection (RFC 9110, section 7.6.1) or
/// is set anew, and so is not passed on.
#[must_use]
pub fn is_not_forwarded(name: &str) -> bool {
    const NOT_FORWARDED: [&str; 15] = [
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "accept-encoding",
        LOAD_METRICS,
    ];
    NOT_FORWARDED.contains(&name) || name.starts_with("chicorywing-")
}

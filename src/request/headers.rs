//! Names, limits and parsers of the headers that callers and upstreams exchange
//! with this product.
//!
//! `docs/INTERFACE.md` is the reference for callers and upstreams.

use thiserror::Error;

/// Idempotency key, required for a call that is not idempotent.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Time left until the caller's deadline, in milliseconds.
pub const TIMEOUT_MS: &str = "chicorywing-timeout-ms";
/// Signed context of a chain of calls.
pub const CONTEXT: &str = "chicorywing-context";
/// How the call ended: `result`, `not-run` or `unknown`.
pub const OUTCOME: &str = "chicorywing-outcome";
/// Reason of an outcome that is not a result.
pub const REASON: &str = "chicorywing-reason";
/// Id of the call in logs.
pub const CALL_ID: &str = "chicorywing-call-id";
/// Name of the upstream that sent the response.
pub const UPSTREAM: &str = "chicorywing-upstream";
/// Time after which to retry, in milliseconds.
pub const RETRY_AFTER_MS: &str = "chicorywing-retry-after-ms";
/// Set by an upstream that refuses a call before starting it.
pub const NOT_STARTED: &str = "chicorywing-not-started";
/// Load report of an upstream, in the text format of Open Request Cost
/// Aggregation (ORCA).
pub const LOAD_METRICS: &str = "endpoint-load-metrics";

/// Timeout of a call without the timeout header.
pub const DEFAULT_TIMEOUT_MS: u64 = 2_000;
/// Longest timeout of a call: half of the time for which a key is remembered, so
/// that no run outlives its key.
pub const MAX_TIMEOUT_MS: u64 = 300_000;
/// Length of the longest idempotency key.
pub const MAX_KEY_BYTES: usize = 200;
/// Reported utilisation from which an upstream counts as overloaded.
const MIN_OVERLOADED_UTILISATION: f64 = 0.95;

/// Why a header is rejected.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum HeaderError {
    /// The timeout is not a whole number in range.
    #[error(
        "\"{TIMEOUT_MS}\" must be a whole number from 1 to {MAX_TIMEOUT_MS}; correct or omit it"
    )]
    InvalidTimeout,
    /// A header that is allowed once is present several times.
    #[error("\"{0}\" stands more than once; send it once")]
    Duplicate(&'static str),
    /// The key is empty, too long or not printable ASCII.
    #[error(
        "\"{IDEMPOTENCY_KEY}\" must be 1 to {MAX_KEY_BYTES} printable ASCII characters; \
         send a shorter one"
    )]
    InvalidKey,
}

/// Parses the timeout header; without it the default applies.
///
/// # Errors
/// Returns [`HeaderError::InvalidTimeout`] if the value is not a whole number
/// from 1 to [`MAX_TIMEOUT_MS`].
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

/// Parses the idempotency key.
///
/// # Errors
/// Returns [`HeaderError::InvalidKey`] if the value is empty, too long or not
/// printable ASCII.
pub fn parse_idempotency_key(value: &[u8]) -> Result<&str, HeaderError> {
    let has_valid_length = (1..=MAX_KEY_BYTES).contains(&value.len());
    let is_printable = value.iter().all(|byte| (0x20..0x7f).contains(byte));
    if !has_valid_length || !is_printable {
        return Err(HeaderError::InvalidKey);
    }
    std::str::from_utf8(value).map_err(|_| HeaderError::InvalidKey)
}

/// Whether a load report shows an overloaded upstream.
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

/// Whether a header is not forwarded: it belongs to one connection (RFC 9110,
/// section 7.6.1), or this product sets or removes it.
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

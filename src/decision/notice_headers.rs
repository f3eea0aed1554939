//! Parses what upstreams say in the headers of their answers about whether they take
//! requests.

use std::time::Duration;

/// Longest time for which an upstream is believed to want nothing, in milliseconds: a wrong
/// unit or a slip must not put it away, and one that still wants nothing says so again.
pub const MAX_SILENCE_MS: u64 = 30_000;
/// Why the value of a header is unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidNotice {
    /// The values that an upstream leaves.
    #[error("whether an upstream leaves must be 1 or 0, in all values the same")]
    Leaving,
    /// The values of the time for which an upstream wants nothing.
    #[error("the time for which an upstream wants nothing must be a decimal number of seconds")]
    Silence,
}

/// Parses the values of all headers of one response that say whether the upstream leaves;
/// an upstream that says nothing does not leave.
///
/// # Errors
/// Returns an error if a value is neither 0 nor 1, or if they differ.
pub fn parse_leaving<'v>(values: impl Iterator<Item = &'v [u8]>) -> Result<bool, InvalidNotice> {
    let mut known = None;
    for value in values {
        let is_leaving = match value.trim_ascii() {
            b"1" => true,
            b"0" => false,
            _ => return Err(InvalidNotice::Leaving),
        };
        if known.is_some_and(|known| known != is_leaving) {
            return Err(InvalidNotice::Leaving);
        }
        known = Some(is_leaving);
    }
    Ok(known.unwrap_or(false))
}

/// Parses the values of all headers of one response that say for how long its upstream
/// wants nothing, and returns the longest valid time in milliseconds; `None` if there is no
/// header.
///
/// # Errors
/// Returns an error if there are values but none is valid.
pub fn parse_silence_ms<'v>(
    values: impl Iterator<Item = &'v [u8]>,
) -> Result<Option<u64>, InvalidNotice> {
    let mut longest_ms = None;
    let mut has_values = false;
    for value in values {
        has_values = true;
        let text = std::str::from_utf8(value).unwrap_or_default();
        for part in text.split(',') {
            longest_ms = longest_ms.max(parse_time_ms(part.trim()));
        }
    }
    if has_values && longest_ms.is_none() {
        return Err(InvalidNotice::Silence);
    }
    Ok(longest_ms)
}

fn parse_time_ms(text: &str) -> Option<u64> {
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let time_s: f64 = text.parse().ok().filter(|_| is_decimal)?;
    // More digits than a number holds are a huge time, which is cut as well.
    let max_s = Duration::from_millis(MAX_SILENCE_MS).as_secs_f64();
    let time = Duration::try_from_secs_f64(time_s.min(max_s)).ok()?;
    u64::try_from(time.as_millis()).ok()
}

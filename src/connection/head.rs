//! Checks of a response's head.

/// Begin of a status line, up to the minor version.
const VERSION: &[u8] = b"HTTP/1.";
/// Length of a status line up to the status: version, space and three digits.
const STATUS_LINE_BYTES: usize = VERSION.len() + 5;

/// Whether a head contains more than one status line.
///
/// It then consists of parts of two responses: the first one broke off, and the status line
/// of the second became the end of its reason or of a header's value.
#[must_use]
pub fn is_of_two_responses(head: &[u8]) -> bool {
    let mut found = 0;
    for (start, window) in head.windows(STATUS_LINE_BYTES).enumerate() {
        let end = head.get(start + STATUS_LINE_BYTES);
        found += usize::from(is_status_line(window, end));
    }
    found > 1
}

/// Whether these bytes, followed by `end`, begin a status line.
fn is_status_line(bytes: &[u8], end: Option<&u8>) -> bool {
    let Some([minor, space, status @ ..]) = bytes.strip_prefix(VERSION) else {
        return false;
    };
    minor.is_ascii_digit()
        && *space == b' '
        && status.iter().all(u8::is_ascii_digit)
        && end.is_some_and(|byte| b" \r\n".contains(byte))
}

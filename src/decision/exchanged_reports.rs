//! Common parts of the tables whose entries instances report to each other.
//!
//! Times are signed: what another instance reports may have happened before this process
//! started, whose clock begins at 0.

use std::sync::Arc;

/// Keys of the entries that changed after a position, oldest change first and at most
/// `max_count` of them, and the position after them.
///
/// `entries` yields the position of each entry's last change with its key.
pub fn changed_after<K: Ord>(
    entries: impl Iterator<Item = (u64, K)>,
    position: u64,
    max_count: usize,
) -> (Vec<K>, u64) {
    let mut changed: Vec<(u64, K)> = entries.filter(|(at, _)| *at > position).collect();
    changed.sort_unstable();
    changed.truncate(max_count);
    let next = changed.last().map_or(position, |(at, _)| *at);
    let keys = changed.into_iter().map(|(_, key)| key);
    (keys.collect(), next)
}

/// The key of the entry with the lowest rank, if the table of `len` entries is full.
pub fn entry_to_replace<'k, R: Ord>(
    len: usize,
    max_entries: usize,
    ranks: impl Iterator<Item = (&'k Arc<str>, R)>,
) -> Option<Arc<str>> {
    if len < max_entries {
        return None;
    }
    let lowest = ranks.min_by(|(_, one), (_, other)| one.cmp(other));
    lowest.map(|(key, _)| Arc::clone(key))
}

/// Whether two starts, in Unix milliseconds and 0 if unknown, are of two processes.
#[must_use]
pub fn is_other_process(known_ms: u64, other_ms: u64) -> bool {
    known_ms != 0 && other_ms != 0 && known_ms != other_ms
}

/// Converts a time on the clock of this process, in milliseconds.
#[must_use]
pub fn to_i64(time_ms: u64) -> i64 {
    i64::try_from(time_ms).unwrap_or(i64::MAX)
}

/// Converts a time on the clock of this process, in milliseconds; 0 if it was before the
/// start.
#[must_use]
pub fn to_u64(time_ms: i64) -> u64 {
    u64::try_from(time_ms).unwrap_or(0)
}

//! An instance's copy of one stream of the store, through eras of the store.
//!
//! When the store returns from a copy, its newest records are lost and their offsets are
//! given out again. What the store has then is compared with what was read: from the first
//! difference on all records are new, and before it offsets, or what records say of
//! themselves, tell which one is newer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use super::long_values::LONG_VALUE_BYTES;
use super::store::{KeyedRecord, Records, ValueOrder};

/// Most tombstones of deleted keys that a stream keeps, so that other instances
/// learn of the deletions.
const MAX_TOMBSTONES: usize = 512;
/// Age up to which read records are compared; a copy is some seconds old, and the store
/// keeps its log for 20 s.
const HISTORY_MS: u64 = 10_000;
/// Newest records that are remembered at any age, as a copy may end before what was read
/// lately; as many as of a snapshot.
const MIN_HISTORY: usize = 1_024;
/// Most remembered records, about twice those of 10 s at the target's size.
const MAX_HISTORY: usize = 8_192;
/// Distance from the end up to which the records of a snapshot are remembered.
const SNAPSHOT_HISTORY: u64 = 1_024;

/// The newest record of a key; without a value, it is a tombstone.
#[derive(Clone, Debug)]
pub struct KnownRecord {
    /// Era in which it was written; 0 if unknown, but it stands in that of the copy.
    pub era: u64,
    /// Position in the stream, in that era.
    pub offset: u64,
    /// Encoded object.
    pub value: Option<Vec<u8>>,
    /// Of a tombstone, what the deleted record said, if that is known.
    deleted_order: Option<ValueOrder>,
}

#[derive(Clone, Copy, Debug)]
struct HistoryEntry {
    offset: u64,
    hash: u64,
    read_ms: u64,
}

/// The records of one stream.
#[derive(Clone, Debug, Default)]
pub struct StreamCopy {
    records: BTreeMap<Arc<str>, KnownRecord>,
    /// Records with long values that those in `records` have replaced.
    replaced: BTreeMap<Arc<str>, KnownRecord>,
    /// Era of the store that [`StreamCopy::next_offset`] refers to; 0 before the first
    /// read.
    pub era: u64,
    /// Offset at which the next read starts.
    pub next_offset: u64,
    /// Era in which another instance has told the whole state; 0 if none has.
    pub told_era: u64,
    /// Offset from which on all deletions in this era are known: the end of the newest
    /// snapshot, or of the state that another instance has told.
    pub snapshot_end: u64,
    history: VecDeque<HistoryEntry>,
    lost: BTreeSet<Arc<str>>,
}

impl StreamCopy {
    /// The newest record of each key.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &KnownRecord)> {
        self.records.iter()
    }

    /// The newest record of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&KnownRecord> {
        self.records.get(key)
    }

    /// Whether a record that stands in the stream in `era` is newer than the known one of
    /// its key.
    ///
    /// Offsets decide between records that stand in the same era, as one of an unknown era
    /// does. Across eras offsets are given out again, so what the records say decides, as
    /// `order` reads it, then the eras. One of an unknown era may have been in the copy from
    /// which the store has returned, so it is newer for certain only at a higher offset.
    #[must_use]
    pub fn is_newer(
        &self,
        record: &KeyedRecord,
        era: u64,
        order: impl Fn(&[u8]) -> Option<ValueOrder>,
    ) -> bool {
        let Some(known) = self.records.get(&record.key) else {
            return true;
        };
        let stands_here = |of: u64| of == 0 || of == self.era;
        if era == self.era && stands_here(known.era) && stands_here(record.era) {
            return known.offset < record.offset;
        }
        let known_position = (known.era, known.offset);
        let position = (record.era, record.offset);
        if known_position == position {
            return false;
        }
        let known_order = match &known.value {
            Some(value) => order(value),
            None => known.deleted_order,
        };
        let said = record.value.as_deref().and_then(order);
        match (known_order, said) {
            (Some(known), Some(said)) if known != said => known < said,
            _ if known.era == 0 || record.era == 0 => known.offset < record.offset,
            _ => known_position < position,
        }
    }

    /// Whether a record that another instance tells may be news: it is of a known key, or of
    /// one that this copy lacks because it never stood in what was read.
    ///
    /// What the store held at the end of the snapshot is known, so an older record of a key
    /// that it lacked belongs to one that has been deleted. `era` is that of the teller.
    #[must_use]
    pub fn may_be_news(&self, record: &KeyedRecord, era: u64) -> bool {
        let is_of_this_era = record.era == 0 || record.era == self.era;
        let is_deleted = is_of_this_era && record.offset < self.snapshot_end;
        let Some(known) = self.records.get(&record.key) else {
            return !is_deleted;
        };
        let is_of_ended_era = known.era != 0 && known.era < self.era;
        !(is_of_ended_era && era == self.era && is_deleted)
    }

    /// Notes the present era at records of an unknown one, before a new era begins.
    fn note_present_era(&mut self) {
        self.replaced.clear();
        for known in self.records.values_mut() {
            if known.era == 0 {
                known.era = self.era;
            }
        }
    }

    /// Makes a record the newest of its key. One of an ended era is lost: the store lacks it.
    pub fn insert(&mut self, record: KeyedRecord, order: impl Fn(&[u8]) -> Option<ValueOrder>) {
        let is_lost = record.era != 0 && record.era < self.era && record.value.is_some();
        if is_lost {
            self.lost.insert(Arc::clone(&record.key));
        } else {
            self.lost.remove(&record.key);
        }
        let mut deleted_order = None;
        if record.value.is_none()
            && let Some(deleted) = self.records.get(&record.key)
        {
            let deleted_value = deleted.value.as_deref();
            deleted_order = deleted_value.and_then(order).or(deleted.deleted_order);
        }
        let known = KnownRecord {
            era: record.era,
            offset: record.offset,
            value: record.value,
            deleted_order,
        };
        let key = Arc::clone(&record.key);
        let replaced = self.records.insert(record.key, known);
        let is_long = |known: &KnownRecord| {
            let value = known.value.as_ref();
            value.is_some_and(|value| value.len() >= LONG_VALUE_BYTES)
        };
        match replaced.filter(is_long) {
            Some(replaced) => self.replaced.insert(key, replaced),
            None => self.replaced.remove(&key),
        };
    }

    /// The record of this era that the newest one of a key has replaced, if its value is long.
    #[must_use]
    pub fn replaced(&self, key: &str) -> Option<&KnownRecord> {
        let replaced = self.replaced.get(key)?;
        (replaced.era == 0 || replaced.era == self.era).then_some(replaced)
    }

    /// What another instance lacks that was told the era `told_era` and has read up to
    /// `next_offset`, and whether that is the whole state.
    ///
    /// It gets the whole state, too, if it may have missed deletions that are not known here:
    /// it drops the keys that the state lacks.
    #[must_use]
    pub fn missing_records(&self, told_era: u64, next_offset: u64) -> Option<(Records, bool)> {
        if self.era > told_era {
            return Some((self.all_records(), true));
        }
        if self.era < told_era || self.next_offset <= next_offset {
            return None;
        }
        if next_offset < self.snapshot_end {
            return Some((self.all_records(), true));
        }
        Some((self.records_from(next_offset), false))
    }

    /// Keys in use here that stand in the present era before `end`, and are not among
    /// `records`.
    #[must_use]
    pub fn missing_keys(&self, records: &[KeyedRecord], end: u64) -> Vec<Arc<str>> {
        let told: BTreeSet<&str> = records.iter().map(|record| &*record.key).collect();
        let mut missing = Vec::new();
        for (key, known) in &self.records {
            let stands_here = known.era == 0 || known.era == self.era;
            let is_in_use = known.value.is_some() && !self.is_lost(key);
            if is_in_use && stands_here && known.offset < end && !told.contains(&**key) {
                missing.push(Arc::clone(key));
            }
        }
        missing
    }

    /// The newest record of each key that was written in this era from an offset on,
    /// tombstones included, for another instance that follows the same era.
    #[must_use]
    pub fn records_from(&self, from: u64) -> Records {
        self.collect(|known| known.offset >= from && (known.era == 0 || known.era == self.era))
    }

    /// The newest record of each key, tombstones included, for another instance.
    #[must_use]
    pub fn all_records(&self) -> Records {
        self.collect(|_| true)
    }

    fn collect(&self, is_wanted: impl Fn(&KnownRecord) -> bool) -> Records {
        let mut records = Vec::new();
        for (key, known) in &self.records {
            if !is_wanted(known) {
                continue;
            }
            records.push(KeyedRecord {
                era: known.era,
                offset: known.offset,
                key: Arc::clone(key),
                value: known.value.clone(),
            });
        }
        records.sort_by_key(|record| (record.era, record.offset));
        Records {
            era: self.era,
            records,
            next_offset: self.next_offset,
        }
    }

    /// Remembers a record that was read, to compare it with what stands there in a new era.
    pub fn remember(&mut self, record: &KeyedRecord, now_ms: u64) {
        let is_old = record.era == 0 && record.offset + SNAPSHOT_HISTORY < self.next_offset;
        if !is_old {
            self.history.push_back(HistoryEntry {
                offset: record.offset,
                hash: hash(&record.key, record.value.as_deref()),
                read_ms: now_ms,
            });
        }
    }

    /// Offset from which a new era of the store is compared with what was read.
    #[must_use]
    pub fn history_start(&self, now_ms: u64) -> u64 {
        let mut entries = self.history.iter();
        let first = entries.find(|entry| now_ms <= entry.read_ms + HISTORY_MS);
        // A quiet stream is compared from its newest record on.
        let first = first.or(self.history.back());
        first.map_or(self.next_offset, |entry| entry.offset)
    }

    /// Begins a new era of the store, from the newest record of each key, as the store or
    /// another instance has them, and others of the log; returns the offset of the first
    /// difference. Records of an unknown era from there on get the new one.
    ///
    /// Known records that do not stand in the new era are lost. The history need not
    /// reach back to the end of the copy, so what lies before the first difference may be of
    /// either era.
    pub fn begin_era(&mut self, state: &mut Records) -> u64 {
        self.note_present_era();
        let fork = self.first_difference(state);
        let ended_era = self.era;
        self.era = state.era;
        self.history.retain(|entry| entry.offset < fork);
        for record in &mut state.records {
            if record.era == 0 && record.offset >= fork {
                record.era = state.era;
            }
        }
        let mut standing = newest_by_key(state);
        standing.retain(|_, record| record.era == 0);
        for (key, known) in &mut self.records {
            let record = standing.get(&**key);
            let is_followed = record.is_some_and(|record| {
                let is_same = record.offset == known.offset && record.value == known.value;
                is_same || record.offset > known.offset
            });
            if is_followed && known.era == ended_era {
                known.era = 0;
                self.lost.remove(key);
            } else if record.is_some() || known.value.is_some() {
                self.lost.insert(Arc::clone(key));
            }
        }
        fork
    }

    /// Lowest offset from which on nothing that stands in a new era is known here.
    ///
    /// The copy ended there at the latest: a record differs from the one that was read at
    /// its offset, or the newest one of its key stands before the known one.
    fn first_difference(&self, state: &Records) -> u64 {
        let mut read: BTreeMap<u64, u64> = self
            .history
            .iter()
            .map(|entry| (entry.offset, entry.hash))
            .collect();
        for (key, known) in &self.records {
            // A tombstone may stand for a deletion whose offset is not known.
            if known.era == self.era && known.value.is_some() {
                read.insert(known.offset, hash(key, known.value.as_deref()));
            }
        }
        let mut fork = self.next_offset.min(state.next_offset);
        for record in &state.records {
            let hash = hash(&record.key, record.value.as_deref());
            let is_here = record.era == 0 || record.era == state.era;
            if is_here && read.get(&record.offset).is_some_and(|read| *read != hash) {
                fork = fork.min(record.offset);
            }
        }
        for (key, record) in newest_by_key(state) {
            let Some(known) = self.records.get(key) else {
                continue;
            };
            let is_other = known.offset == record.offset && known.value != record.value;
            if known.era == self.era && (is_other || known.offset > record.offset) {
                fork = fork.min(known.offset);
            }
        }
        fork
    }

    /// Whether the newest record of a key is lost, and not written again so far.
    #[must_use]
    pub fn is_lost(&self, key: &str) -> bool {
        self.lost.contains(key)
    }

    /// Keys whose newest record is lost, and not written again so far.
    #[must_use]
    pub fn lost_keys(&self) -> Vec<Arc<str>> {
        self.lost.iter().cloned().collect()
    }

    /// Drops what is too old or too much to keep.
    pub fn prune(&mut self, now_ms: u64) {
        while self.history.len() > MIN_HISTORY {
            let oldest = self.history.front();
            let is_old = oldest.is_some_and(|entry| entry.read_ms + HISTORY_MS < now_ms);
            if !is_old && self.history.len() <= MAX_HISTORY {
                break;
            }
            self.history.pop_front();
        }
        let mut tombstones: Vec<(u64, u64, Arc<str>)> = Vec::new();
        for (key, known) in &self.records {
            if known.value.is_none() {
                tombstones.push((known.era, known.offset, Arc::clone(key)));
            }
        }
        if tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        tombstones.sort_unstable();
        for (era, offset, key) in tombstones.drain(..MAX_TOMBSTONES / 2) {
            self.records.remove(&key);
            if era == 0 || era == self.era {
                self.snapshot_end = self.snapshot_end.max(offset + 1);
            }
        }
    }
}

/// The newest record of each key that stands in the era of these.
fn newest_by_key(state: &Records) -> BTreeMap<&str, &KeyedRecord> {
    let mut newest: BTreeMap<&str, &KeyedRecord> = BTreeMap::new();
    for record in &state.records {
        if record.era != 0 && record.era != state.era {
            continue;
        }
        let known = newest.entry(&record.key).or_insert(record);
        if known.offset < record.offset {
            *known = record;
        }
    }
    newest
}

fn hash(key: &str, value: Option<&[u8]>) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    value.hash(&mut hasher);
    hasher.finish()
}

//! An instance's copy of one stream of the store, through eras of the store.
//!
//! When the store returns from a copy, its newest records are lost and their offsets are
//! given out again. The instance finds the end of the part that both have by comparing
//! what the store has now with what it read lately.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use super::long_values::LONG_VALUE_BYTES;
use super::store::{KeyedRecord, Records};

/// Most tombstones of deleted keys that a stream keeps, so that other instances
/// learn of the deletions.
const MAX_TOMBSTONES: usize = 512;
/// Age up to which read records are compared; a copy is some seconds old, and the store
/// keeps its log for 20 s.
const HISTORY_MS: u64 = 10_000;
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
    /// End of the stream at the newest snapshot of the store.
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

    /// Whether a record is newer than the known one of its key: eras first, then offsets.
    #[must_use]
    pub fn is_newer(&self, record: &KeyedRecord) -> bool {
        self.is_newer_in(record, self.era)
    }

    /// The same for a record that stands in the stream in `era`.
    ///
    /// One of an unknown era stands there at its offset, so within an era offsets decide. It
    /// is older than a lost one of an earlier era: it may have been in the copy from which
    /// the store has returned.
    fn is_newer_in(&self, record: &KeyedRecord, era: u64) -> bool {
        let Some(known) = self.records.get(&record.key) else {
            return true;
        };
        let stands_here = |of: u64| of == 0 || of == self.era;
        if era == self.era && stands_here(known.era) && stands_here(record.era) {
            return known.offset < record.offset;
        }
        (known.era, known.offset) < (record.era, record.offset)
    }

    /// Whether a record of another instance's state in `era` is news: newer than the known
    /// one, or of a key that this copy lacks because it never stood in what was read.
    ///
    /// What the store held at the end of the first read is known, so an older record of a
    /// missing key belongs to one that has been deleted.
    #[must_use]
    pub fn is_news(&self, record: &KeyedRecord, era: u64) -> bool {
        if self.records.contains_key(&record.key) {
            return self.is_newer_in(record, era);
        }
        let is_of_this_era = record.era == 0 || record.era == self.era;
        !(is_of_this_era && record.offset < self.snapshot_end)
    }

    /// Notes the present era at records of an unknown one, before a new era begins.
    pub fn note_present_era(&mut self) {
        self.replaced.clear();
        for known in self.records.values_mut() {
            if known.era == 0 {
                known.era = self.era;
            }
        }
    }

    /// Takes over the era that another instance knows of the same record.
    pub fn correct_era(&mut self, record: &KeyedRecord) {
        if let Some(known) = self.records.get_mut(&record.key)
            && known.offset == record.offset
            && known.value == record.value
        {
            known.era = record.era;
        }
    }

    /// Makes a record the newest of its key.
    pub fn insert(&mut self, record: KeyedRecord) {
        self.lost.remove(&record.key);
        let known = KnownRecord {
            era: record.era,
            offset: record.offset,
            value: record.value,
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

    /// Remembers a record that was read, for [`StreamCopy::common_end`].
    pub fn remember(&mut self, record: &KeyedRecord, now_ms: u64) {
        let is_old = record.era == 0 && record.offset + SNAPSHOT_HISTORY < self.next_offset;
        if !is_old {
            self.history.push_back(HistoryEntry {
                offset: record.offset,
                hash: hash(record),
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

    /// End of the part that these records, read from `from` on, have in common with what
    /// was read before.
    #[must_use]
    pub fn common_end(&self, from: u64, records: &[KeyedRecord]) -> u64 {
        let known: BTreeMap<u64, u64> = self
            .history
            .iter()
            .map(|entry| (entry.offset, entry.hash))
            .collect();
        let mut end = from;
        for record in records {
            match known.get(&record.offset) {
                Some(known) if *known == hash(record) => end = record.offset + 1,
                Some(_) => break,
                None => {}
            }
        }
        end.min(self.next_offset)
    }

    /// Begins a new era of the store, in which reads go on from `next_offset`; the records
    /// of the keys in `lost` are not in the store any more.
    pub fn begin_era(&mut self, era: u64, next_offset: u64, lost: Vec<Arc<str>>) {
        self.note_present_era();
        self.era = era;
        self.next_offset = next_offset;
        self.snapshot_end = next_offset;
        self.lost.extend(lost);
        for (key, known) in &mut self.records {
            if !self.lost.contains(key) {
                // It stands at the same offset in this era, too.
                known.era = 0;
            }
        }
        self.history.retain(|entry| entry.offset < next_offset);
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
        while self.history.len() > 1 {
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
        for (_, _, key) in tombstones.drain(..MAX_TOMBSTONES / 2) {
            self.records.remove(&key);
        }
    }
}

fn hash(record: &KeyedRecord) -> u64 {
    let mut hasher = DefaultHasher::new();
    record.key.hash(&mut hasher);
    record.value.hash(&mut hasher);
    hasher.finish()
}

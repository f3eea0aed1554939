//! Folds the records of the configuration stream into the version in force.
//!
//! The result depends only on the records and their order, so all readers of the
//! same prefix hold the same version.

use std::collections::VecDeque;
use std::sync::Arc;

use strum::Display;

use super::objects::Objects;
use super::record::{RECORD_FORMAT, Record};

/// Ids of the last accepted appends that are kept to recognise a repeated one.
const MAX_REMEMBERED_IDS: usize = 1024;

/// An accepted version of the configuration.
#[derive(Clone, Debug)]
pub struct AcceptedVersion {
    /// Number of accepted sets so far; 0 before the first.
    pub version: u64,
    /// Id of the append that published it.
    pub id: Arc<str>,
    /// Who published it.
    pub author: Arc<str>,
    /// Objects as published, JSON with comments.
    pub text: Arc<str>,
    /// Objects that were parsed from the text.
    pub objects: Arc<Objects>,
}

impl AcceptedVersion {
    /// The version before the first publish, which has no objects.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            version: 0,
            id: "".into(),
            author: "".into(),
            text: "".into(),
            objects: Arc::default(),
        }
    }
}

/// Result of applying one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RecordStatus {
    /// The record is the new version.
    Accepted,
    /// The record is not based on the version in force: another one came first.
    #[strum(serialize = "lost-race")]
    Conflict,
    /// The record, or another of the same append, was applied before.
    #[strum(serialize = "repeated")]
    Duplicate,
    /// The record's format is newer than this reader knows.
    NewerFormat,
    /// The record's objects are invalid.
    Invalid,
    /// The record is a snapshot of the version in force or an older one.
    #[strum(serialize = "known-snapshot")]
    StaleSnapshot,
}

/// State of a reader: the version in force after the records applied so far.
#[derive(Clone, Debug)]
pub struct Fold {
    accepted: Arc<AcceptedVersion>,
    next_offset: u64,
    ids: VecDeque<Arc<str>>,
}

impl Default for Fold {
    fn default() -> Self {
        Self {
            accepted: Arc::new(AcceptedVersion::empty()),
            next_offset: 0,
            ids: VecDeque::new(),
        }
    }
}

impl Fold {
    /// The version in force after the records applied so far.
    #[must_use]
    pub fn accepted(&self) -> &Arc<AcceptedVersion> {
        &self.accepted
    }

    /// Offset of the next record to read.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Applies the record at `offset`; a record that was applied before has no
    /// effect.
    pub fn apply(&mut self, offset: u64, record: &Record) -> RecordStatus {
        if offset < self.next_offset || self.ids.contains(&record.id) {
            self.next_offset = self.next_offset.max(offset + 1);
            return RecordStatus::Duplicate;
        }
        self.next_offset = offset + 1;
        let status = self.evaluate(record);
        if status == RecordStatus::Accepted {
            self.remember(&record.id);
        }
        status
    }

    /// Skips the offset of a record that cannot be parsed.
    pub fn skip(&mut self, offset: u64) {
        self.next_offset = self.next_offset.max(offset + 1);
    }

    /// Takes over the version of a peer if it is newer; returns whether it was.
    pub fn adopt(&mut self, accepted: &Arc<AcceptedVersion>) -> bool {
        if accepted.version <= self.accepted.version {
            return false;
        }
        self.accepted = Arc::clone(accepted);
        self.remember(&accepted.id);
        true
    }

    fn evaluate(&mut self, record: &Record) -> RecordStatus {
        if record.format > RECORD_FORMAT {
            return RecordStatus::NewerFormat;
        }
        let version = match record.snapshot_of {
            Some(version) if version <= self.accepted.version => {
                return RecordStatus::StaleSnapshot;
            }
            Some(version) => version,
            None if record.based_on != self.accepted.version => return RecordStatus::Conflict,
            None => record.based_on + 1,
        };
        let Ok(objects) = Objects::parse(&record.text, "the log") else {
            return RecordStatus::Invalid;
        };
        self.accepted = Arc::new(AcceptedVersion {
            version,
            id: Arc::clone(&record.id),
            author: Arc::clone(&record.author),
            text: Arc::clone(&record.text),
            objects: Arc::new(objects),
        });
        RecordStatus::Accepted
    }

    fn remember(&mut self, id: &Arc<str>) {
        if self.ids.len() == MAX_REMEMBERED_IDS {
            self.ids.pop_front();
        }
        self.ids.push_back(Arc::clone(id));
    }
}

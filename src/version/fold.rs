//! Folds the configuration stream: which records win, which are turned down.
//!
//! The outcome depends only on the records and their order. Every reader of
//! the same prefix therefore holds the same version.

use std::collections::VecDeque;
use std::sync::Arc;

use strum::Display;

use super::objects::Objects;
use super::record::{RECORD_FORMAT, Record};

/// Ids of the last appends that are remembered to tell a repeated one.
const MAX_REMEMBERED_IDS: usize = 1024;

/// A set in force.
#[derive(Clone, Debug)]
pub struct AcceptedVersion {
    /// Counts accepted sets, from 1; 0 before the first.
    pub version: u64,
    /// Id of the append that carried it.
    pub id: Arc<str>,
    /// Who published it.
    pub author: Arc<str>,
    /// The text as published.
    pub text: Arc<str>,
    /// The checked set.
    pub objects: Arc<Objects>,
}

impl AcceptedVersion {
    /// The empty set before the first publish.
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

/// What the fold made of one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RecordStatus {
    /// It is the new version.
    Accepted,
    /// Another record with the same base came first.
    #[strum(serialize = "lost-race")]
    Conflict,
    /// The same append stands earlier in the stream.
    #[strum(serialize = "repeated")]
    Duplicate,
    /// Its format is newer than this reader.
    NewerFormat,
    /// Its set does not pass the check.
    Invalid,
    /// A snapshot of a version that is known already.
    #[strum(serialize = "known-snapshot")]
    StaleSnapshot,
}

/// The state of a reader of the stream.
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
    /// The set in force after the prefix read so far.
    #[must_use]
    pub fn accepted(&self) -> &Arc<AcceptedVersion> {
        &self.accepted
    }

    /// Offset of the next record to read.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Applies the record at `offset`; records already read change nothing.
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

    /// Moves past an offset whose record cannot be read.
    pub fn skip(&mut self, offset: u64) {
        self.next_offset = self.next_offset.max(offset + 1);
    }

    /// Takes a newer accepted set from a peer; an older one changes nothing.
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

//! Records of the log stream that carries the configuration.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Stream of the log that carries sets of objects.
pub const OBJECTS_STREAM: &str = "objects";
/// Newest record format that this version reads.
pub const RECORD_FORMAT: u32 = 1;

/// One record: a proposed set, or a snapshot of the set in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Format of the record; a reader skips newer ones.
    pub format: u32,
    /// Unique id of the append, so that one sent twice counts once.
    pub id: Arc<str>,
    /// Version that the operator saw when the set was made.
    pub based_on: u64,
    /// Version of a snapshot; `None` for a proposal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshot_of: Option<u64>,
    /// Who published it.
    pub author: Arc<str>,
    /// The whole set, JSON with comments.
    pub text: Arc<str>,
}

//! Records of the log stream that holds the configuration.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Log stream that holds the published sets of objects.
pub const OBJECTS_STREAM: &str = "objects";
/// Newest record format that this build can read.
pub const RECORD_FORMAT: u32 = 1;

/// One record: a proposed set of objects, or a snapshot of the set in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Format of the record; readers skip newer formats than they know.
    pub format: u32,
    /// Unique id of the append, so that an append sent twice counts once.
    pub id: Arc<str>,
    /// Version in force when the operator made the set; the set is accepted only
    /// if that version is still in force.
    pub based_on: u64,
    /// Version that a snapshot repeats; `None` for a proposal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshot_of: Option<u64>,
    /// Who published it.
    pub author: Arc<str>,
    /// The complete set of objects, JSON with comments.
    pub text: Arc<str>,
}

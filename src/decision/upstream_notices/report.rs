//! What instances tell each other of the notices of one upstream.

use serde::{Deserialize, Serialize};

use crate::decision::crash_suspects::UpstreamLifetime;

/// What an instance knows of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeReport {
    /// The upstream process.
    pub lifetime: UpstreamLifetime,
    /// Whether it leaves; `None` if it never said so.
    pub leaving: Option<LeavingReport>,
    /// For how long it wants nothing; `None` if it takes requests.
    pub silence: Option<SilenceReport>,
}

/// What an instance knows of the time in which one upstream wants nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilenceReport {
    /// Names the answer that said so.
    pub id: u64,
    /// Time since that answer arrived, in milliseconds.
    pub age_ms: u64,
    /// What is left of the time, in milliseconds.
    pub left_ms: u64,
}

/// What an instance knows of the leaving of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// Whether it leaves; false if it did and does not any more.
    pub is_leaving: bool,
    /// Time since the request was sent whose answer says so, in milliseconds.
    pub sent_age_ms: u64,
    /// Time since that answer arrived, in milliseconds.
    pub received_age_ms: u64,
}

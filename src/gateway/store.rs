//! The interface to a platform: a store of durable keyed records, and the names
//! of headers.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderName;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::connection::arrivals::Arrivals;
use crate::decision::directory::UpstreamReport;
use crate::decision::manifest::Manifest;
use crate::decision::rollout::{Order, Status};

/// A stream of keyed records in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Stream {
    /// Manifests and evacuations, written by operators.
    #[strum(serialize = "orders")]
    Operator,
    /// Reports that upstreams write about themselves.
    Upstreams,
    /// Addresses under which the gateway's instances reach each other.
    Instances,
}

/// One record; a later record of the same key replaces it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRecord {
    /// Era of the store in which it was written; 0 if that is not known, as in a
    /// snapshot.
    pub era: u64,
    /// Position in the stream.
    pub offset: u64,
    /// Name of the object that the record describes.
    pub key: Arc<str>,
    /// Encoded object; `None` deletes the key.
    #[serde(with = "serde_bytes")]
    pub value: Option<Vec<u8>>,
}

/// The records that one read of a stream returns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Era of the store, from 1 on. Each time that the store returns from an older copy
    /// it rises by one: records at the end are lost, and their offsets are given out
    /// again.
    pub era: u64,
    /// Records in ascending order of offset.
    pub records: Vec<KeyedRecord>,
    /// Offset at which the next read starts.
    pub next_offset: u64,
}

/// Encoded size of a record beyond that of its key and value.
const RECORD_OVERHEAD_BYTES: usize = 64;
/// Size from which on instances tell each other the records of a stream in several responses:
/// those of all streams together stay well within a frame of 8 MiB.
pub const MAX_PAGE_BYTES: usize = 1024 * 1024;

impl KeyedRecord {
    /// About its encoded size.
    fn encoded_bytes(&self) -> usize {
        RECORD_OVERHEAD_BYTES + self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

impl Records {
    /// Leaves out the last records if all of them take more than about `max_bytes`; the next
    /// read starts at the first one that is left out.
    ///
    /// Those of earlier eras always stay, since no later read would return them.
    #[must_use]
    pub fn into_page(mut self, max_bytes: usize) -> Self {
        let era = self.era;
        let stands_here = |record: &KeyedRecord| record.era == 0 || record.era == era;
        let position = |record: &KeyedRecord| (stands_here(record), record.offset);
        self.records.sort_by_key(position);
        let mut bytes = 0;
        let mut previous = None;
        for (index, record) in self.records.iter().enumerate() {
            let is_full = bytes >= max_bytes && stands_here(record);
            // Records of one offset come together, as the next read starts at an offset.
            if is_full && previous != Some(position(record)) {
                self.next_offset = record.offset;
                self.records.truncate(index);
                break;
            }
            bytes += record.encoded_bytes();
            previous = Some(position(record));
        }
        self
    }

    /// Whether [`Records::into_page`] may have left out records of these.
    #[must_use]
    pub fn may_be_page(&self, max_bytes: usize) -> bool {
        let bytes: usize = self.records.iter().map(KeyedRecord::encoded_bytes).sum();
        bytes >= max_bytes
    }
}

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Compaction removed records after the offset; the reader must load a new
    /// snapshot.
    #[error("the store has compacted the requested records")]
    Compacted,
    /// The connection failed, or the response did not arrive in time.
    #[error("the store is unreachable: {0}")]
    Unreachable(String),
    /// The store responded with an error status.
    #[error("the store rejected the call with status {0}")]
    Refused(u16),
    /// The response cannot be decoded.
    #[error("the store sent an invalid response: {0}")]
    InvalidResponse(String),
}

/// What a record says of its place among those of its key: it only rises, also when the
/// store returns from a copy.
pub type ValueOrder = (u64, u64);

/// Why a record is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0}")]
pub struct RecordError(pub String);

/// A decoded record of [`Stream::Operator`].
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// A version of all routes and services.
    Manifest(Box<Manifest>),
    /// Takes the data centre out of service until the record is deleted.
    Evacuate(Arc<str>),
    /// Moves the traffic of the service to another version; an error says why that is not
    /// possible.
    Rollout(Arc<str>, Result<Order, RecordError>),
}

/// The statuses of roll-outs in the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredRollouts {
    /// Statuses by service.
    pub statuses: BTreeMap<Arc<str>, Status>,
    /// Offset that the next record gets.
    pub end: u64,
}

/// Names of the headers that callers, the gateway and upstreams exchange.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of a request; upstreams echo it in their responses.
    pub request_id: HeaderName,
    /// Time for which the caller waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Name of the only upstream that may run the request.
    pub expected_upstream: HeaderName,
    /// Set by an upstream that did not run the request.
    pub not_run: HeaderName,
    /// Load of an upstream: running and waiting requests, slots, speed in
    /// percent.
    pub load: HeaderName,
    /// Name of the upstream that sent the response.
    pub upstream: HeaderName,
    /// Time until an upstream has warmed up, in milliseconds.
    pub cold_left_ms: HeaderName,
    /// Requests per second that an upstream takes from all instances together.
    pub rate_limit: HeaderName,
    /// Says whether the upstream leaves: 1 if so.
    pub leaving: HeaderName,
    /// Key of a caller.
    pub authorization: HeaderName,
    /// Name of the organisation that a request belongs to.
    pub organisation: HeaderName,
    /// Proves that an upstream, not an intermediary, made the response.
    pub stamp: HeaderName,
}

/// A platform: its store, its record formats and its header names.
pub trait Platform: Send + Sync + 'static {
    /// Names of the platform's headers.
    fn headers(&self) -> &HeaderNames;

    /// Path at which the platform's balancer checks readiness.
    fn ready_path(&self) -> &str;

    /// Reads the newest record of each key.
    fn newest(&self, stream: Stream) -> impl Future<Output = Result<Records, StoreError>> + Send;

    /// Reads the records from an offset on; a long poll that waits up to `wait`
    /// for the first one.
    fn read(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Records, StoreError>> + Send;

    /// Like [`Platform::read`]; counts in `arrivals` what it receives, if the platform can
    /// tell.
    fn read_observed(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
        _arrivals: &Arrivals,
    ) -> impl Future<Output = Result<Records, StoreError>> + Send {
        self.read(stream, from, wait)
    }

    /// Appends a record to [`Stream::Instances`].
    fn put_instance(
        &self,
        key: &str,
        value: Option<&[u8]>,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// The data centre that a key of [`Stream::Operator`] evacuates, if any.
    fn evacuated_data_centre(&self, key: &str) -> Option<Arc<str>>;

    /// The service that a key of [`Stream::Operator`] orders a roll-out of, if any.
    fn rollout_service(&self, _key: &str) -> Option<Arc<str>> {
        None
    }

    /// Reads the statuses of all roll-outs.
    fn rollout_statuses(&self) -> impl Future<Output = Result<StoredRollouts, StoreError>> + Send {
        async { Ok(StoredRollouts::default()) }
    }

    /// Writes the status of a roll-out if its record gets the offset `at`; returns whether it
    /// does, or another instance has written one before.
    fn append_rollout_status(
        &self,
        _service: &str,
        _status: &Status,
        _at: u64,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send {
        async { Ok(false) }
    }

    /// Decodes a record of [`Stream::Operator`]; `None` for an unknown key.
    ///
    /// # Errors
    /// Returns an error if the key is known and the value is invalid.
    fn parse_operator_record(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<Option<OperatorRecord>, RecordError>;

    /// Decodes a record of [`Stream::Upstreams`].
    ///
    /// # Errors
    /// Returns an error if the record does not describe a usable upstream.
    fn parse_upstream_report(&self, key: &str, value: &[u8])
    -> Result<UpstreamReport, RecordError>;

    /// The version of a manifest; `None` for other and invalid records.
    fn manifest_version(&self, key: &str, value: &[u8]) -> Option<u64> {
        match self.parse_operator_record(key, value) {
            Ok(Some(OperatorRecord::Manifest(manifest))) => Some(manifest.version),
            _ => None,
        }
    }

    /// What a record says of its order: the version of a manifest, or the start of an
    /// upstream's process and the number of its report.
    fn value_order(&self, stream: Stream, key: &str, value: &[u8]) -> Option<ValueOrder> {
        match stream {
            Stream::Operator => Some((self.manifest_version(key, value)?, 0)),
            Stream::Upstreams => {
                let report = self.parse_upstream_report(key, value).ok()?;
                // Without a start, the number may be that of a process before.
                (report.started_at_ms != 0).then_some((report.started_at_ms, report.sequence))
            }
            Stream::Instances => None,
        }
    }
}

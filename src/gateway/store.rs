//! What the gateway needs of a platform: keyed records that last, and the
//! names of headers.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderName;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::decision::directory::UpstreamReport;
use crate::decision::manifest::Manifest;

/// A stream of keyed records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Stream {
    /// What operators write.
    #[strum(serialize = "orders")]
    Operator,
    /// What upstreams report.
    Upstreams,
    /// What the instances tell each other.
    Instances,
}

/// A record; the newest one of each key counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRecord {
    /// Place in the stream.
    pub offset: u64,
    /// Key.
    pub key: Arc<str>,
    /// Value; `None` takes the key out.
    pub value: Option<Vec<u8>>,
}

/// A part of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Records by offset.
    pub records: Vec<KeyedRecord>,
    /// Offset to read on from.
    pub next_offset: u64,
}

/// Why the store gave nothing.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The records after the offset are gone; read the newest ones anew.
    #[error("the store no longer holds the records asked for")]
    Compacted,
    /// It did not answer in time, or cut the connection.
    #[error("the store cannot be reached: {0}")]
    Unreachable(String),
    /// It turned the call down.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// Its answer cannot be read.
    #[error("the store's answer cannot be read: {0}")]
    InvalidResponse(String),
}

/// A record that cannot be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0}")]
pub struct RecordError(pub String);

/// What an operator's record says.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// The newest version of routes and services.
    Manifest(Box<Manifest>),
    /// A data centre is taken out; the record's end brings it back.
    Evacuate(Arc<str>),
}

/// Names of the headers between callers, the gateway and upstreams.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of a request; upstreams repeat it in their answers.
    pub request_id: HeaderName,
    /// Time that the caller waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Name of the only upstream that may run the request.
    pub expected_upstream: HeaderName,
    /// States that an upstream did not run the request.
    pub not_run: HeaderName,
    /// Load of an upstream: running, waiting, slots, speed in percent.
    pub load: HeaderName,
    /// Name of the upstream that answers.
    pub upstream: HeaderName,
    /// Time for which an upstream is still cold, in milliseconds.
    pub cold_left_ms: HeaderName,
    /// Proves that an upstream made the answer.
    pub stamp: HeaderName,
}

/// A platform that holds the records and names the headers.
pub trait Platform: Send + Sync + 'static {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Path at which the platform's balancer asks for readiness.
    fn ready_path(&self) -> &str;

    /// The newest record of each key.
    fn newest(&self, stream: Stream) -> impl Future<Output = Result<Records, StoreError>> + Send;

    /// Records from an offset on; waits up to `wait` for the first one.
    fn read(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Records, StoreError>> + Send;

    /// Appends a record to the stream of instances.
    fn put_instance(
        &self,
        key: &str,
        value: Option<&[u8]>,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Whether a key of [`Stream::Operator`] takes out a data centre, and which.
    fn evacuated_data_centre(&self, key: &str) -> Option<Arc<str>>;

    /// Reads an operator's record; `None` for keys that are not known.
    ///
    /// # Errors
    /// Where the record cannot be used.
    fn parse_operator_record(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<Option<OperatorRecord>, RecordError>;

    /// Reads an upstream's report.
    ///
    /// # Errors
    /// Where the record names no upstream to use.
    fn parse_upstream_report(&self, key: &str, value: &[u8])
    -> Result<UpstreamReport, RecordError>;
}

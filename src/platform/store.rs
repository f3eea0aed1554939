//! HTTP client of the platform's store.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, Bytes};
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use serde::Deserialize;
use tokio::time::timeout;

use super::{records, rollout_record};
use crate::connection::arrivals::{Arrivals, ResponseLimits};
use crate::connection::exchange::{Connection, HttpRequest, HttpResponse};
use crate::decision::directory::UpstreamReport;
use crate::decision::rollout::Status;
use crate::gateway::store::{
    HeaderNames, KeyedRecord, OperatorRecord, Platform, RecordError, Records, StoreError,
    StoredRollouts, Stream,
};

/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which a response of the store must begin, in addition to the wait of a long
/// poll, and longest pause in it. A response usually takes 4 ms, and 60 times as long while
/// the store is slow.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for the rest of a response that has begun: the largest one, 1 MiB, over a quarter
/// of the narrowest link, 10 Mbit/s, whose other traffic takes the rest.
const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(3_400);
/// Time in all in which the pages of a snapshot, of 500 records each, must begin. A page
/// usually takes 4 ms, and 60 times as long while the store is slow; this leaves a quarter
/// of the platform's bound of 2 s on a new manifest for another source.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Size from which the log names a response: a version of some 400 routes.
const LONG_RESPONSE_BYTES: usize = 64 * 1024;
/// Header with the number of times that the store has returned from an older copy.
const ERA_HEADER: &str = "store-era";
/// Size of the header of a read's response: the end offset and the first offset
/// that the store still holds.
const READ_HEADER_BYTES: usize = 16;
/// Topic of the store that holds what the system says of itself.
const STATUS_TOPIC: &str = "keyed.status";
/// Size of the length prefix of a record.
const RECORD_LENGTH_BYTES: usize = 4;

/// One page of the newest record of each key.
#[derive(Debug, Deserialize)]
struct NewestPage {
    items: Vec<NewestItem>,
    more: bool,
    end: u64,
}

#[derive(Debug, Deserialize)]
struct NewestItem {
    /// Another writer may have used any bytes.
    #[serde(with = "serde_bytes")]
    key: Vec<u8>,
    value: String,
    offset: u64,
}

/// Client of the platform's store; it keeps idle connections for reuse.
#[derive(Debug)]
pub struct PlatformStore {
    address: SocketAddr,
    names: HeaderNames,
    idle_connections: Mutex<Vec<Connection>>,
}

impl PlatformStore {
    /// Creates a client of the store at `address`; connects on the first call.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            names: HeaderNames {
                request_id: HeaderName::from_static("x-request-id"),
                deadline_ms: HeaderName::from_static("x-deadline-ms"),
                expected_upstream: HeaderName::from_static("x-expect-instance"),
                not_run: HeaderName::from_static("x-not-executed"),
                load: HeaderName::from_static("x-server-load"),
                upstream: HeaderName::from_static("x-instance-id"),
                cold_left_ms: HeaderName::from_static("x-warmup-ms"),
                rate_limit: HeaderName::from_static("server-limit"),
                leaving: HeaderName::from_static("server-leaving"),
                authorization: HeaderName::from_static("authorization"),
                organisation: HeaderName::from_static("x-tenant"),
                stamp: HeaderName::from_static("x-server-stamp"),
            },
            idle_connections: Mutex::default(),
        }
    }

    /// Sends one request to the store, whose response must begin within `begin`; a
    /// connection that fails is not reused.
    async fn call(
        &self,
        stream: Stream,
        request: &HttpRequest,
        begin: Duration,
        arrivals: &Arrivals,
    ) -> Result<HttpResponse, StoreError> {
        let mut connection = self.connect().await?;
        let limits = ResponseLimits {
            begin,
            pause: RESPONSE_TIMEOUT,
            arrival: ARRIVAL_TIMEOUT,
        };
        let response = limits
            .apply(arrivals, connection.exchange_observed(request, arrivals))
            .await
            .map_err(|overdue| StoreError::Unreachable(overdue.to_string()))?
            .map_err(|error| StoreError::Unreachable(error.to_string()))?;
        self.lock_idle().push(connection);
        let bytes = response.body.len();
        if bytes >= LONG_RESPONSE_BYTES {
            let elapsed_ms = arrivals.elapsed_ms();
            tracing::info!(%stream, bytes, elapsed_ms, "long response of the store");
        }
        match response.status {
            status if status.is_success() => Ok(response),
            StatusCode::GONE => Err(StoreError::Compacted),
            status => Err(StoreError::Refused(status.as_u16())),
        }
    }

    /// Returns an idle connection, or opens a new one.
    async fn connect(&self) -> Result<Connection, StoreError> {
        let reused = {
            let mut idle = self.lock_idle();
            idle.retain(Connection::is_usable);
            idle.pop()
        };
        match reused {
            Some(connection) => Ok(connection),
            None => Connection::open(self.address, CONNECT_TIMEOUT)
                .await
                .map_err(|error| StoreError::Unreachable(error.to_string())),
        }
    }

    /// Reads the newest record of each key, page by page.
    async fn read_snapshot(&self, stream: Stream, topic: &str) -> Result<Records, StoreError> {
        let mut newest = Records::default();
        let mut after: Option<Vec<u8>> = None;
        let mut begin_left = SNAPSHOT_TIMEOUT;
        loop {
            let mut target = format!("/api/log-newest?topic={topic}&part=0");
            if let Some(key) = &after {
                target.push_str("&after=");
                target.push_str(&percent_encoded(key));
            }
            let request = self.request(Method::GET, target, Bytes::new());
            let arrivals = Arrivals::new();
            let begin = RESPONSE_TIMEOUT.min(begin_left);
            let response = self.call(stream, &request, begin, &arrivals).await?;
            begin_left = begin_left.saturating_sub(arrivals.time_to_begin());
            let page: NewestPage = serde_json::from_slice(&response.body)
                .map_err(|error| StoreError::InvalidResponse(error.to_string()))?;
            // The pages are not a consistent snapshot, so records after the end
            // of the first page are read again.
            let era = era_of(&response)?;
            if after.is_none() {
                newest.next_offset = page.end;
                newest.era = era;
            } else if newest.era != era {
                return Err(StoreError::InvalidResponse(
                    "the store returned from a copy between two pages".to_owned(),
                ));
            }
            after = page.items.last().map(|item| item.key.clone());
            for item in page.items {
                newest.records.extend(decode_item(item)?);
            }
            if !page.more || after.is_none() {
                newest.records.sort_by_key(|record| record.offset);
                return Ok(newest);
            }
        }
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn request(&self, method: Method, target: String, body: Bytes) -> HttpRequest {
        let mut headers = HeaderMap::with_capacity(2);
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            headers.insert(HOST, host);
        }
        if !body.is_empty() {
            let raw = HeaderValue::from_static("application/octet-stream");
            headers.insert(CONTENT_TYPE, raw);
        }
        HttpRequest {
            method,
            target,
            headers,
            body,
        }
    }
}

impl Platform for PlatformStore {
    fn headers(&self) -> &HeaderNames {
        &self.names
    }

    fn ready_path(&self) -> &'static str {
        "/api/readyz"
    }

    async fn newest(&self, stream: Stream) -> Result<Records, StoreError> {
        let limit = SNAPSHOT_TIMEOUT + ARRIVAL_TIMEOUT;
        timeout(limit, self.read_snapshot(stream, topic(stream)))
            .await
            .map_err(|_| StoreError::Unreachable("no snapshot within the timeout".to_owned()))?
    }

    async fn read(&self, stream: Stream, from: u64, wait: Duration) -> Result<Records, StoreError> {
        self.read_observed(stream, from, wait, &Arrivals::new())
            .await
    }

    async fn read_observed(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
        arrivals: &Arrivals,
    ) -> Result<Records, StoreError> {
        let target = format!(
            "/api/log-read?topic={}&part=0&from={from}&wait-ms={}",
            topic(stream),
            wait.as_millis()
        );
        let request = self.request(Method::GET, target, Bytes::new());
        let begin = wait + RESPONSE_TIMEOUT;
        let response = self.call(stream, &request, begin, arrivals).await?;
        let era = era_of(&response)?;
        decode_read(response.body, from, era)
    }

    async fn put_instance(&self, key: &str, value: Option<&[u8]>) -> Result<(), StoreError> {
        let stream = Stream::Instances;
        let target = format!("/api/log-append?topic={}&part=0", topic(stream));
        let body = encode_record(key, value.unwrap_or_default());
        let request = self.request(Method::POST, target, body);
        self.call(stream, &request, RESPONSE_TIMEOUT, &Arrivals::new())
            .await?;
        Ok(())
    }

    fn rollout_service(&self, key: &str) -> Option<Arc<str>> {
        rollout_record::service(key)
    }

    async fn rollout_statuses(&self) -> Result<StoredRollouts, StoreError> {
        let limit = SNAPSHOT_TIMEOUT + ARRIVAL_TIMEOUT;
        let newest = timeout(limit, self.read_snapshot(Stream::Operator, STATUS_TOPIC))
            .await
            .map_err(|_| StoreError::Unreachable("no snapshot within the timeout".to_owned()))??;
        Ok(rollout_record::decode_statuses(newest))
    }

    async fn append_rollout_status(
        &self,
        service: &str,
        status: &Status,
        at: u64,
    ) -> Result<bool, StoreError> {
        let target = format!("/api/log-append?topic={STATUS_TOPIC}&part=0&at={at}");
        let value = rollout_record::encode_status(status);
        let body = encode_record(&rollout_record::key(service), value.as_bytes());
        let request = self.request(Method::POST, target, body);
        let arrivals = Arrivals::new();
        let written = self.call(Stream::Operator, &request, RESPONSE_TIMEOUT, &arrivals);
        match written.await {
            Ok(_) => Ok(true),
            Err(StoreError::Refused(status)) if is_conflict(status) => Ok(false),
            Err(error) => Err(error),
        }
    }

    fn evacuated_data_centre(&self, key: &str) -> Option<Arc<str>> {
        records::evacuated_zone(key)
    }

    fn parse_operator_record(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<Option<OperatorRecord>, RecordError> {
        records::decode_operator_record(key, value)
    }

    fn manifest_version(&self, key: &str, value: &[u8]) -> Option<u64> {
        records::manifest_version(key, value)
    }

    fn parse_upstream_report(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<UpstreamReport, RecordError> {
        records::decode_upstream_report(key, value)
    }
}

/// Topic of the store that holds a stream.
fn topic(stream: Stream) -> &'static str {
    match stream {
        Stream::Operator => "keyed.op",
        Stream::Upstreams => "keyed.servers",
        Stream::Instances => "keyed.instances",
    }
}

/// Whether the store refuses an append since its end is not at the given offset.
fn is_conflict(status: u16) -> bool {
    let conflicts = [StatusCode::CONFLICT, StatusCode::PRECONDITION_FAILED];
    conflicts.iter().any(|conflict| conflict.as_u16() == status)
}

/// Decodes an item of a snapshot; `None` if its key is unreadable, as in
/// [`decode_record`].
fn decode_item(item: NewestItem) -> Result<Option<KeyedRecord>, StoreError> {
    let Ok(key) = String::from_utf8(item.key) else {
        let offset = item.offset;
        tracing::warn!(offset, "record skipped: its key is not UTF-8");
        return Ok(None);
    };
    let value = STANDARD
        .decode(&item.value)
        .map_err(|error| StoreError::InvalidResponse(error.to_string()))?;
    Ok(Some(KeyedRecord {
        era: 0,
        offset: item.offset,
        key: key.into(),
        value: Some(value),
    }))
}

/// The era that a response names, counted from 1; a store without eras is in its first.
fn era_of(response: &HttpResponse) -> Result<u64, StoreError> {
    let Some(value) = response.headers.get(ERA_HEADER) else {
        return Ok(1);
    };
    let era: Option<u64> = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    era.and_then(|era| era.checked_add(1))
        .ok_or_else(|| StoreError::InvalidResponse("its era is not a number".to_owned()))
}

/// Decodes the response to a read: two offsets, then length-prefixed records.
///
/// The next read starts at the end of the stream if that lies before `from`: the store
/// then reads behind, and the answer says nothing of what follows the known records.
fn decode_read(mut body: Bytes, from: u64, era: u64) -> Result<Records, StoreError> {
    if body.len() < READ_HEADER_BYTES {
        return Err(StoreError::InvalidResponse(
            "it is shorter than its header".to_owned(),
        ));
    }
    let end = body.get_u64();
    let _first = body.get_u64();
    let mut next = from;
    let mut records = Vec::new();
    while body.len() >= RECORD_LENGTH_BYTES {
        let length = usize::try_from(body.get_u32()).unwrap_or(usize::MAX);
        if length > body.len() {
            return Err(StoreError::InvalidResponse(
                "its last record is truncated".to_owned(),
            ));
        }
        let record = decode_record(era, next, &body.split_to(length));
        records.extend(record);
        next += 1;
    }
    let is_behind = next == from && end < from;
    Ok(Records {
        era,
        records,
        next_offset: if is_behind { end } else { next },
    })
}

/// Decodes a keyed record: key length, key, value.
///
/// An unreadable record is skipped, as it names no key that it could change.
fn decode_record(era: u64, offset: u64, bytes: &[u8]) -> Option<KeyedRecord> {
    let (length, rest) = bytes.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*length))?;
    let Ok(key) = std::str::from_utf8(key) else {
        tracing::warn!(offset, "record skipped: its key is not UTF-8");
        return None;
    };
    Some(KeyedRecord {
        era,
        offset,
        key: key.into(),
        value: (!value.is_empty()).then(|| value.to_vec()),
    })
}

/// Encodes a keyed record with its length prefix.
fn encode_record(key: &str, value: &[u8]) -> Bytes {
    let key_length = u8::try_from(key.len()).unwrap_or(u8::MAX);
    let key = &key.as_bytes()[..usize::from(key_length)];
    let length = u32::try_from(1 + key.len() + value.len()).unwrap_or(u32::MAX);
    let mut bytes = Vec::with_capacity(RECORD_LENGTH_BYTES + 1 + key.len() + value.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.push(key_length);
    bytes.extend_from_slice(key);
    bytes.extend_from_slice(value);
    bytes.into()
}

fn percent_encoded(key: &[u8]) -> String {
    let mut encoded = String::with_capacity(key.len());
    for byte in key.iter().copied() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a string does not fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

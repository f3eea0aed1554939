//! Long values of records, compressed for other instances.
//!
//! A version of thousands of routes has hundreds of kilobytes, and one instance tells it to
//! all others of its data centre at once. So it goes over the link compressed, against the
//! value that it replaces if the other instance has that one. Each value is compressed once,
//! not for each instance, and only a few get it from the same instance: the others fetch it
//! from those.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout, timeout_at};

use super::packed_values::{PackedStream, PackedValue, ValueId, decompress, pack};
use super::peer_client::{PeerClient, RelayError};
use super::relay::{RecordsResponse, StreamPosition};
use super::state::Gateway;
use super::store::Platform;
use super::stream_copy::KnownRecord;
use super::view::View;

/// Length from which a value is compressed, in bytes; below it, the frame of an answer is
/// mostly other fields.
pub const LONG_VALUE_BYTES: usize = 4 * 1024;
/// Number of records from which those of a stream are compressed together: entries of upstreams
/// have some 200 bytes each, so these have the length of a long value.
const MANY_RECORDS: usize = 20;
/// Time in which an instance that was told a value before must send it; a third of the
/// platform's bound of 2 s on a new manifest, so that there is time for another source.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(700);

/// Records that the requester lacks, their long values compressed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PackedRecordsResponse {
    /// The records; those of [`PackedRecordsResponse::values`] have an empty value.
    pub response: RecordsResponse,
    /// The long values.
    pub values: Vec<PackedValue>,
    /// Streams of many records, which the response lacks.
    pub streams: Vec<PackedStream>,
}

/// The value that a long one replaces.
#[derive(Clone, Debug)]
struct Base {
    offset: u64,
    value: Vec<u8>,
}

/// Compresses the long values of an answer for the instance at `asker`, which has read the
/// streams up to `positions`; `takes_bases` says that it has the values that they replace.
#[must_use]
pub fn pack_response<P: Platform>(
    gateway: &Gateway<P>,
    mut response: RecordsResponse,
    positions: &[StreamPosition],
    takes_bases: bool,
    asker: SocketAddr,
) -> PackedRecordsResponse {
    let mut values = Vec::new();
    for told in &mut response.streams {
        let position = positions
            .iter()
            .find(|position| position.stream == told.stream);
        let position = position.filter(|_| takes_bases && !told.is_whole_state);
        for record in &mut told.records.records {
            let Some(value) = record
                .value
                .take_if(|value| value.len() >= LONG_VALUE_BYTES)
            else {
                continue;
            };
            let base =
                position.and_then(|position| known_base(&gateway.view(), position, &record.key));
            let id = ValueId {
                stream: told.stream,
                era: era_of(record.era, told.records.era),
                offset: record.offset,
                key: Arc::clone(&record.key),
                base_offset: base.as_ref().map(|base| base.offset),
            };
            let base = base.map(|base| base.value).unwrap_or_default();
            match gateway.packed_values.tell(id, &value, &base, asker) {
                Ok(packed) => {
                    record.value = Some(Vec::new());
                    values.push(packed);
                }
                Err(error) => {
                    tracing::warn!(stream = %told.stream, key = %record.key, %error, "cannot compress a value; sending it as it is");
                    record.value = Some(value);
                }
            }
        }
    }
    let streams = take_long_streams(gateway, &mut response);
    PackedRecordsResponse {
        response,
        values,
        streams,
    }
}

/// Compresses the streams of a response that have many records.
fn take_long_streams<P: Platform>(
    gateway: &Gateway<P>,
    response: &mut RecordsResponse,
) -> Vec<PackedStream> {
    let mut packed = Vec::new();
    let mut short = Vec::new();
    for told in response.streams.drain(..) {
        if told.records.records.len() < MANY_RECORDS {
            short.push(told);
            continue;
        }
        match gateway.packed_values.pack_stream(&told) {
            Ok(stream) => packed.push(stream),
            Err(error) => {
                tracing::warn!(stream = %told.stream, %error, "cannot compress records; sending them as they are");
                short.push(told);
            }
        }
    }
    response.streams = short;
    packed
}

/// The compressed value that another instance has been told to fetch from here; waits up to
/// `wait` until it has arrived.
pub async fn kept_value<P: Platform>(
    gateway: &Gateway<P>,
    id: &ValueId,
    wait: Duration,
) -> Option<PackedValue> {
    let until = Instant::now() + wait.min(SOURCE_TIMEOUT);
    let mut changes = gateway.watch_changes();
    loop {
        if let Some(packed) = gateway.packed_values.get(id) {
            return Some(packed);
        }
        if let Some((value, base)) = own_value(&gateway.view(), id) {
            return match pack(id.clone(), &value, &base) {
                Ok(packed) => {
                    gateway.packed_values.keep(packed.clone());
                    Some(packed)
                }
                Err(error) => {
                    tracing::warn!(stream = %id.stream, key = %id.key, %error, "cannot compress a value for another instance");
                    None
                }
            };
        }
        match timeout_at(until, changes.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return None,
        }
    }
}

/// The value and the one against which it is to be compressed, if this instance has them
/// from elsewhere than the one that told the other of it.
fn own_value(view: &View, id: &ValueId) -> Option<(Vec<u8>, Vec<u8>)> {
    let copy = view.copy(id.stream);
    let known = copy
        .get(&id.key)
        .filter(|known| (era_of(known.era, copy.era), known.offset) == (id.era, id.offset))?;
    let value = known.value.clone()?;
    let Some(base_offset) = id.base_offset else {
        return Some((value, Vec::new()));
    };
    let replaced = copy.replaced(&id.key)?;
    let base = replaced.value.clone()?;
    (replaced.offset == base_offset).then_some((value, base))
}

/// The era of a record's offset; one of an unknown era stands in that of the copy.
fn era_of(record_era: u64, copy_era: u64) -> u64 {
    if record_era == 0 {
        copy_era
    } else {
        record_era
    }
}

/// The value before the newest one of a key, if an instance at `position` has read it last.
fn known_base(view: &View, position: &StreamPosition, key: &str) -> Option<Base> {
    let replaced = view.copy(position.stream).replaced(key)?;
    let is_read = replaced.offset < position.next_offset;
    is_read.then(|| Base {
        offset: replaced.offset,
        value: replaced.value.clone().unwrap_or_default(),
    })
}

impl PackedRecordsResponse {
    /// The response with its long values as they were; those that other instances have are
    /// fetched from them.
    ///
    /// # Errors
    /// Returns an error if a value cannot be fetched or decompressed, for example because this
    /// instance lacks the value against which it was compressed.
    pub async fn unpack<P: Platform>(
        self,
        gateway: &Gateway<P>,
    ) -> Result<RecordsResponse, RelayError> {
        let mut response = self.response;
        for packed in &self.streams {
            let told = packed.unpack().map_err(RelayError::InvalidValue)?;
            response.streams.push(told);
        }
        for packed in self.values {
            let id = packed.id.clone();
            let known = known_meanwhile(&gateway.view(), &id);
            let value = match known {
                Some(known) => known.value,
                None => Some(receive(gateway, packed).await?),
            };
            let mut records = response
                .streams
                .iter_mut()
                .filter(|told| told.stream == id.stream)
                .flat_map(|told| &mut told.records.records);
            let record = records
                .find(|record| record.key == id.key)
                .ok_or_else(|| invalid("it has the value of a record that it lacks"))
                .map_err(RelayError::InvalidValue)?;
            record.value = value;
        }
        Ok(response)
    }
}

/// The record with this id or a newer one of its key, if this instance has read it meanwhile,
/// for example from the store.
fn known_meanwhile(view: &View, id: &ValueId) -> Option<KnownRecord> {
    let copy = view.copy(id.stream);
    let known = copy.get(&id.key)?;
    let is_of_era = era_of(known.era, copy.era) == id.era;
    (is_of_era && known.offset >= id.offset).then(|| known.clone())
}

/// A long value that another instance has told of, kept for those that fetch it from here.
async fn receive<P: Platform>(
    gateway: &Gateway<P>,
    packed: PackedValue,
) -> Result<Vec<u8>, RelayError> {
    let packed = if let Some(source) = packed.source {
        fetch(gateway, source, &packed.id).await?
    } else {
        gateway.metrics.on_long_value("told");
        packed
    };
    gateway.packed_values.keep(packed.clone());
    gateway.notify_changed();
    let base = base_of(&gateway.view(), &packed.id);
    let value = base.and_then(|base| decompress(packed.length, &packed.bytes, &base));
    value.map_err(RelayError::InvalidValue)
}

/// Fetches a value from an instance that was told it before.
async fn fetch<P: Platform>(
    gateway: &Gateway<P>,
    source: SocketAddr,
    id: &ValueId,
) -> Result<PackedValue, RelayError> {
    let fetched = async {
        let client = PeerClient::connect(&gateway.peers.builds, source).await?;
        client.long_value(id.clone(), SOURCE_TIMEOUT).await
    };
    let why = match timeout(SOURCE_TIMEOUT, fetched).await {
        Ok(Ok(Some(packed))) if packed.id == *id => {
            gateway.metrics.on_long_value("fetched");
            return Ok(packed);
        }
        Ok(Ok(_)) => "it does not have the value".to_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "timed out".to_owned(),
    };
    gateway.metrics.on_long_value("not-fetched");
    tracing::info!(%source, stream = %id.stream, key = %id.key, offset = id.offset, why, "cannot fetch a long value from another instance; asking the one that told of it");
    Err(RelayError::ValueNotFetched(source))
}

/// The value against which one is compressed; empty if it is compressed against none.
fn base_of(view: &View, id: &ValueId) -> io::Result<Vec<u8>> {
    let Some(offset) = id.base_offset else {
        return Ok(Vec::new());
    };
    let known = view.copy(id.stream).get(&id.key);
    known
        .filter(|known| known.offset == offset)
        .and_then(|known| known.value.clone())
        .ok_or_else(|| invalid("a value is compressed against one that is not known here"))
}

fn invalid(error: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

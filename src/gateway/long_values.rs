//! Long values of records, compressed for other instances.
//!
//! A version of thousands of routes has hundreds of kilobytes, and one instance tells it to
//! all others of its data centre at once. So it goes over the link compressed, against the
//! value that it replaces if the other instance has that one. Each value is compressed once,
//! not for each instance, and only a few get it from the same instance: the others fetch it
//! from those.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout, timeout_at};

use super::peer_client::{PeerClient, RelayError};
use super::relay::{RecordsResponse, StreamPosition};
use super::state::Gateway;
use super::store::{Platform, Stream};
use super::view::View;

/// Length from which a value is compressed, in bytes; below it, the frame of an answer is
/// mostly other fields.
pub const LONG_VALUE_BYTES: usize = 4 * 1024;
/// Longest value that is decompressed, in bytes; a frame between instances has at most that.
const MAX_VALUE_BYTES: usize = 8 * 1024 * 1024;
/// Compressed values that are kept: those of the operators' record, whole and against the one
/// before, for instances that have read different versions.
const MAX_KEPT: usize = 4;
/// Instances that get a value from the same instance; at 10 Mbit/s, the slowest link of the
/// users' sheets, four times the 69 KB of 4,200 routes take a quarter of a second.
const FAN_OUT: usize = 4;
/// Time in which an instance that was told a value before must send it; a third of the
/// platform's bound of 2 s on a new manifest, so that there is time for another source.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(700);
/// Level of compression, the default of zstd: 240 KB of routes become a tenth in some 2 ms of
/// a core.
const LEVEL: i32 = 3;

/// A long value, by its place in a stream and the value against which it is compressed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueId {
    /// Stream of the record.
    pub stream: Stream,
    /// Era of the store to which the offsets belong.
    pub era: u64,
    /// Offset of the record.
    pub offset: u64,
    /// Key of the record.
    pub key: Arc<str>,
    /// Offset of the record against whose value it is compressed; `None` if against none.
    pub base_offset: Option<u64>,
}

/// The compressed value of a record; the record itself is sent with an empty one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedValue {
    /// Which value it is.
    pub id: ValueId,
    /// Length of the value, in bytes.
    pub length: u64,
    /// The value, compressed by zstd with a checksum; empty if `source` has it.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// Instance that was told the value before, and from which it is to be fetched.
    #[serde(default)]
    pub source: Option<SocketAddr>,
}

/// Records that the requester lacks, their long values compressed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PackedRecordsResponse {
    /// The records; those of [`PackedRecordsResponse::values`] have an empty value.
    pub response: RecordsResponse,
    /// The long values.
    pub values: Vec<PackedValue>,
}

/// Compressed values that are kept for the next instance that asks.
#[derive(Debug, Default)]
pub struct PackedValues {
    kept: Mutex<VecDeque<KeptValue>>,
}

#[derive(Debug)]
struct KeptValue {
    packed: PackedValue,
    /// Instances that were told of it, in order.
    told: Vec<SocketAddr>,
}

impl KeptValue {
    /// The instance from which `asker` is to fetch the value; `None` if it gets it from here,
    /// as the first ones do, and one that asks again.
    fn source_for(&mut self, asker: SocketAddr) -> Option<SocketAddr> {
        if self.told.contains(&asker) {
            return None;
        }
        self.told.push(asker);
        let parent = (self.told.len() - 1) / FAN_OUT;
        parent.checked_sub(1).map(|parent| self.told[parent])
    }
}

impl PackedValues {
    /// The compressed value for an instance that asks: itself, or the instance to fetch it
    /// from if enough others get it from here.
    ///
    /// # Errors
    /// Returns an error if the value cannot be compressed.
    fn tell(
        &self,
        id: ValueId,
        value: &[u8],
        base: &[u8],
        asker: SocketAddr,
    ) -> io::Result<PackedValue> {
        let mut kept = self.lock();
        let position = kept.iter().position(|kept| kept.packed.id == id);
        if position.is_none() {
            keep(&mut kept, pack(id, value, base)?);
        }
        let found = &mut kept[position.unwrap_or(0)];
        if let Some(source) = found.source_for(asker) {
            return Ok(PackedValue {
                id: found.packed.id.clone(),
                length: found.packed.length,
                bytes: Vec::new(),
                source: Some(source),
            });
        }
        Ok(found.packed.clone())
    }

    /// Keeps a value that another instance has told, for those that fetch it from here.
    fn keep(&self, packed: PackedValue) {
        let mut kept = self.lock();
        if kept.iter().all(|known| known.packed.id != packed.id) {
            keep(&mut kept, packed);
        }
    }

    fn get(&self, id: &ValueId) -> Option<PackedValue> {
        let kept = self.lock();
        let found = kept.iter().find(|kept| kept.packed.id == *id);
        found.map(|kept| kept.packed.clone())
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<KeptValue>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn keep(kept: &mut VecDeque<KeptValue>, packed: PackedValue) {
    kept.truncate(MAX_KEPT - 1);
    kept.push_front(KeptValue {
        packed,
        told: Vec::new(),
    });
}

fn pack(id: ValueId, value: &[u8], base: &[u8]) -> io::Result<PackedValue> {
    let bytes = compress(value, base)?;
    tracing::info!(
        stream = %id.stream,
        key = %id.key,
        offset = id.offset,
        base_offset = id.base_offset,
        bytes = value.len(),
        packed_bytes = bytes.len(),
        "long value compressed for other instances"
    );
    Ok(PackedValue {
        id,
        length: u64::try_from(value.len()).unwrap_or(u64::MAX),
        bytes,
        source: None,
    })
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
                era: told.records.era,
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
    PackedRecordsResponse { response, values }
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
        match timeout_at(until, changes.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return None,
        }
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
        for packed in self.values {
            let packed = match packed.source {
                Some(source) => fetch(gateway, source, &packed.id).await?,
                None => {
                    gateway.metrics.on_long_value("told");
                    packed
                }
            };
            let base = base_of(&gateway.view(), &packed.id);
            let value = base.and_then(|base| decompress(&packed, &base));
            let value = value.map_err(RelayError::InvalidValue)?;
            let mut records = response
                .streams
                .iter_mut()
                .filter(|told| told.stream == packed.id.stream)
                .flat_map(|told| &mut told.records.records);
            let record = records
                .find(|record| record.key == packed.id.key)
                .ok_or_else(|| invalid("it has the value of a record that it lacks"))
                .map_err(RelayError::InvalidValue)?;
            record.value = Some(value);
            gateway.packed_values.keep(packed);
            gateway.notify_changed();
        }
        Ok(response)
    }
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

fn compress(value: &[u8], prefix: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = zstd::stream::Encoder::with_ref_prefix(Vec::new(), LEVEL, prefix)?;
    encoder.include_checksum(true)?;
    encoder.write_all(value)?;
    encoder.finish()
}

fn decompress(packed: &PackedValue, prefix: &[u8]) -> io::Result<Vec<u8>> {
    let length = usize::try_from(packed.length).unwrap_or(usize::MAX);
    if length > MAX_VALUE_BYTES {
        return Err(invalid("a compressed value is too long"));
    }
    let decoder = zstd::stream::Decoder::with_ref_prefix(&packed.bytes[..], prefix)?;
    let mut value = Vec::with_capacity(length);
    decoder.take(packed.length + 1).read_to_end(&mut value)?;
    if value.len() != length {
        return Err(invalid("a compressed value has another length"));
    }
    Ok(value)
}

fn invalid(error: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

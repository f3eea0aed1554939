//! Compressed values that are kept for other instances, and who was told of them.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::peer_format::{decode, encode};
use super::relay::StreamRecords;
use super::store::Stream;

/// Longest value that is decompressed, in bytes; a frame between instances has at most that.
const MAX_VALUE_BYTES: usize = 8 * 1024 * 1024;
/// Binary logarithm of the longest window of zstd, as long as the longest value; another
/// instance would otherwise decide how much memory it takes.
const MAX_WINDOW_LOG: u32 = 23;
/// Compressed values that are kept: those of the operators' record, whole and against the one
/// before, for instances that have read different versions.
const MAX_KEPT: usize = 4;
/// Instances that get a value from the same instance; at 10 Mbit/s, the slowest link of the
/// users' sheets, four times the 69 KB of 4,200 routes take a quarter of a second.
const FAN_OUT: usize = 4;
/// Pause after which instances that ask count anew; polls, by which all ask for a new value,
/// wait up to 1 s.
const WAVE_PAUSE: Duration = Duration::from_secs(2);
/// Level of compression, the default of zstd, by which 240 KB of routes become 19 KB.
const LEVEL: i32 = 3;

/// A long value, by its place in a stream and the value against which it is compressed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueId {
    /// Stream of the record.
    pub stream: Stream,
    /// Era of the store in which the record was written, or which has it at this offset. A
    /// later era may give the offset out again while the record is still told as lost.
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

/// The records of a stream that another instance lacks, compressed as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedStream {
    /// Length of the encoded records, in bytes.
    pub length: u64,
    /// The records, encoded with names and compressed by zstd with a checksum.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// Compressed values and streams that are kept for the next instance that asks.
#[derive(Debug, Default)]
pub struct PackedValues {
    kept: Mutex<VecDeque<KeptValue>>,
    /// With the encoded records of each.
    streams: Mutex<VecDeque<(Bytes, PackedStream)>>,
}

#[derive(Debug)]
struct KeptValue {
    packed: PackedValue,
    /// Instances that were told of it lately, in order: those that asked, and those of them
    /// that asked again, as the instance from which to fetch it did not send it.
    told: [Vec<SocketAddr>; 2],
    /// When the last one asked.
    asked_at: Instant,
}

impl KeptValue {
    /// The instance from which `asker` is to fetch the value; `None` if it gets it from here,
    /// as the first ones do, and one that asks for the third time.
    fn source_for(&mut self, asker: SocketAddr) -> Option<SocketAddr> {
        // Those that ask later do not share the link with these.
        if self.asked_at.elapsed() > WAVE_PAUSE {
            self.told = Default::default();
        }
        self.asked_at = Instant::now();
        let mut rounds = self.told.iter_mut();
        let told = rounds.find(|told| !told.contains(&asker))?;
        told.push(asker);
        let parent = (told.len() - 1) / FAN_OUT;
        parent.checked_sub(1).map(|parent| told[parent])
    }
}

impl PackedStream {
    /// The records as they were.
    ///
    /// # Errors
    /// Returns an error if they are too long, or are no records.
    pub fn unpack(&self) -> io::Result<StreamRecords> {
        decode(&decompress(self.length, &self.bytes, &[])?)
    }
}

impl PackedValues {
    /// The compressed value for an instance that asks: itself, or the instance to fetch it
    /// from if enough others get it from here.
    ///
    /// # Errors
    /// Returns an error if the value cannot be compressed.
    pub fn tell(
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

    /// The records of a stream, compressed once for all instances that lack the same.
    ///
    /// # Errors
    /// Returns an error if the records cannot be encoded or compressed.
    pub fn pack_stream(&self, told: &StreamRecords) -> io::Result<PackedStream> {
        let encoded = encode(told)?;
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = streams.iter().find(|(known, _)| *known == encoded);
        if let Some((_, packed)) = kept {
            return Ok(packed.clone());
        }
        let packed = PackedStream {
            length: u64::try_from(encoded.len()).unwrap_or(u64::MAX),
            bytes: compress(&encoded, &[])?,
        };
        streams.truncate(MAX_KEPT - 1);
        streams.push_front((encoded, packed.clone()));
        Ok(packed)
    }

    /// Keeps a value that another instance has told, for those that fetch it from here.
    pub fn keep(&self, packed: PackedValue) {
        let mut kept = self.lock();
        if kept.iter().all(|known| known.packed.id != packed.id) {
            keep(&mut kept, packed);
        }
    }

    /// The value, if it is kept.
    #[must_use]
    pub fn get(&self, id: &ValueId) -> Option<PackedValue> {
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
        told: Default::default(),
        asked_at: Instant::now(),
    });
}

/// Compresses a value against `base`, which may be empty.
///
/// # Errors
/// Returns an error if the value cannot be compressed.
pub fn pack(id: ValueId, value: &[u8], base: &[u8]) -> io::Result<PackedValue> {
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

fn compress(value: &[u8], prefix: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = zstd::stream::Encoder::with_ref_prefix(Vec::new(), LEVEL, prefix)?;
    encoder.include_checksum(true)?;
    encoder.write_all(value)?;
    encoder.finish()
}

/// The value as it was; `prefix` is the one against which it was compressed.
///
/// # Errors
/// Returns an error if the value is too long, or was compressed against another one.
pub fn decompress(length: u64, bytes: &[u8], prefix: &[u8]) -> io::Result<Vec<u8>> {
    let limit = length.saturating_add(1);
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if length > MAX_VALUE_BYTES {
        return Err(invalid("a compressed value is too long"));
    }
    let mut decoder = zstd::stream::Decoder::with_ref_prefix(bytes, prefix)?;
    decoder.window_log_max(MAX_WINDOW_LOG)?;
    let mut value = Vec::with_capacity(length);
    decoder.take(limit).read_to_end(&mut value)?;
    if value.len() != length {
        return Err(invalid("a compressed value has another length"));
    }
    Ok(value)
}

fn invalid(error: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

//! The formats in which instances call each other, also those of different builds.
//!
//! A client greets the listener and says which formats its build speaks; the listener
//! answers the same, with the calls that it knows. Both then use the newest format that
//! both speak. Builds before format 1 use bincode and know no greeting: they take it for a
//! frame beyond their limit and close the connection. `docs/design/builds.md` says how the
//! calls may change.

use std::fmt::Display;
use std::io;
use std::marker::PhantomData;
use std::pin::Pin;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tarpc::tokio_serde::{Deserializer, Serializer};
use tarpc::tokio_util::codec::length_delimited::LengthDelimitedCodec;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// First bytes of a greeting. As the length of a frame it is beyond the limit of frames.
const MAGIC: [u8; 4] = *b"CWRP";
/// First byte of a connection of a build that speaks bincode: that of the length of a frame,
/// which is below 16 MiB.
const BINCODE_FIRST_BYTE: u8 = 0;
/// Longest greeting, in bytes; one of this build has about 200.
const MAX_GREETING_BYTES: u32 = 16 * 1024;
/// Formats that this build speaks, beside bincode.
const FORMATS: [u32; 1] = [1];
/// Version of this build.
pub const BUILD: &str = env!("CARGO_PKG_VERSION");
/// Calls that this build answers, and those that builds without a greeting answer.
pub const CALLS: [&str; 16] = [
    "records",
    "announce_reader",
    "report_suspects",
    "acquire_run",
    "exchange_limits",
    "exchange_notices",
    "acquire_send",
    "return_send_permit",
    "release_run",
    "offer",
    "run_handed",
    "packed_records",
    "long_value",
    "upstreams_of",
    "use_allowances",
    "report_rollout",
];
/// The first [`CALLS`], which builds without a greeting know.
const BINCODE_CALLS: usize = 11;

/// The encoding of calls and answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Format {
    /// bincode, in which methods, variants and fields are positions.
    Bincode,
    /// `MessagePack` with the names of methods, variants and fields, of this number.
    Named(u32),
}

impl Format {
    /// Name of the format for metrics and log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Bincode => "bincode",
            Self::Named(_) => "messagepack-1",
        }
    }
}

/// What a build says of itself at the begin of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// Formats that it speaks.
    pub formats: Vec<u32>,
    /// Its version, for log lines.
    #[serde(default)]
    pub build: String,
    /// Calls that it answers.
    #[serde(default)]
    pub calls: Vec<String>,
}

impl Greeting {
    /// The greeting of this build.
    #[must_use]
    pub fn own() -> Self {
        let mut calls = Vec::with_capacity(CALLS.len());
        for call in CALLS {
            calls.push(call.to_owned());
        }
        Self {
            formats: FORMATS.to_vec(),
            build: BUILD.to_owned(),
            calls,
        }
    }

    /// The newest format that this build speaks, too.
    #[must_use]
    pub fn common_format(&self) -> Option<Format> {
        let mut known = FORMATS.into_iter().rev();
        known
            .find(|format| self.formats.contains(format))
            .map(Format::Named)
    }
}

/// The other side of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerBuild {
    /// Format of the calls.
    pub format: Format,
    /// Version of its build; empty if it does not say.
    pub build: Arc<str>,
    calls: Arc<[String]>,
}

impl PeerBuild {
    /// A build that speaks bincode only.
    #[must_use]
    pub fn bincode() -> Self {
        let mut calls = Vec::with_capacity(BINCODE_CALLS);
        for call in &CALLS[..BINCODE_CALLS] {
            calls.push((*call).to_owned());
        }
        Self {
            format: Format::Bincode,
            build: "".into(),
            calls: calls.into(),
        }
    }

    /// The build that has sent a greeting; `None` if it speaks none of the formats that
    /// this one speaks.
    #[must_use]
    pub fn of(greeting: Greeting) -> Option<Self> {
        Some(Self {
            format: greeting.common_format()?,
            build: greeting.build.into(),
            calls: greeting.calls.into(),
        })
    }

    /// Whether it answers a call.
    #[must_use]
    pub fn knows(&self, call: &str) -> bool {
        self.calls.iter().any(|known| known == call)
    }
}

/// How a connection to this instance begins.
#[derive(Debug)]
pub enum Opening {
    /// With a greeting.
    Greeting(Greeting),
    /// With a frame in bincode, of which this byte has been read.
    Bincode(u8),
}

/// Reads the begin of a connection.
///
/// # Errors
/// Returns an error if the connection fails, or begins with neither.
pub async fn read_opening(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Opening> {
    let first = stream.read_u8().await?;
    if first == BINCODE_FIRST_BYTE {
        return Ok(Opening::Bincode(first));
    }
    let mut magic = MAGIC;
    magic[0] = first;
    stream.read_exact(&mut magic[1..]).await?;
    read_greeting_after(stream, magic)
        .await
        .map(Opening::Greeting)
}

/// Reads a greeting.
///
/// # Errors
/// Returns an error if the connection fails, or what is read is no greeting.
pub async fn read_greeting(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Greeting> {
    let mut magic = [0; MAGIC.len()];
    stream.read_exact(&mut magic).await?;
    read_greeting_after(stream, magic).await
}

async fn read_greeting_after(
    stream: &mut (impl AsyncRead + Unpin),
    magic: [u8; 4],
) -> io::Result<Greeting> {
    if magic != MAGIC {
        return Err(invalid(format!("it begins with {magic:?}, not a greeting")));
    }
    let length = stream.read_u32().await?;
    if length > MAX_GREETING_BYTES {
        return Err(invalid(format!(
            "the greeting has {length} bytes, but at most {MAX_GREETING_BYTES} are read"
        )));
    }
    let mut encoded = vec![0; usize::try_from(length).unwrap_or_default()];
    stream.read_exact(&mut encoded).await?;
    decode(&encoded)
}

/// Sends the greeting of this build.
///
/// # Errors
/// Returns an error if the connection fails.
pub async fn write_greeting(stream: &mut (impl AsyncWrite + Unpin)) -> io::Result<()> {
    let encoded = encode(&Greeting::own())?;
    let length = u32::try_from(encoded.len()).map_err(invalid)?;
    let mut message = BytesMut::from(&MAGIC[..]);
    message.extend_from_slice(&length.to_be_bytes());
    message.extend_from_slice(&encoded);
    stream.write_all(&message).await?;
    stream.flush().await
}

/// Frames of calls and answers, as all builds send them.
#[must_use]
pub fn frames() -> LengthDelimitedCodec {
    LengthDelimitedCodec::new()
}

/// Encodes a value with the names of its variants and fields.
///
/// # Errors
/// Returns an error if the value cannot be encoded.
pub fn encode(value: &impl Serialize) -> io::Result<Bytes> {
    let encoded = rmp_serde::to_vec_named(value).map_err(invalid)?;
    Ok(encoded.into())
}

/// Decodes a value; ignores fields that this build does not know.
///
/// # Errors
/// Returns an error that names a variant that this build does not know, or a field that it
/// needs and that is missing.
pub fn decode<T: DeserializeOwned>(encoded: &[u8]) -> io::Result<T> {
    rmp_serde::from_slice(encoded).map_err(invalid)
}

fn invalid(error: impl Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}

/// The codec of [`Format::Named`].
#[derive(Debug)]
pub struct Named<Item, SinkItem> {
    types: PhantomData<fn(SinkItem) -> Item>,
}

impl<Item, SinkItem> Default for Named<Item, SinkItem> {
    fn default() -> Self {
        Self { types: PhantomData }
    }
}

impl<Item: DeserializeOwned, SinkItem> Deserializer<Item> for Named<Item, SinkItem> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, source: &BytesMut) -> io::Result<Item> {
        decode(source)
    }
}

impl<Item, SinkItem: Serialize> Serializer<SinkItem> for Named<Item, SinkItem> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &SinkItem) -> io::Result<Bytes> {
        encode(item)
    }
}

//! Records passed on between instances.
//!
//! Records carry their offsets in the store's streams, so it does not matter
//! who tells them. [`super::reader_role`] decides who asks whom.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use thiserror::Error;
use tokio::time::{Instant, timeout, timeout_at};

use super::state::Gateway;
use super::store::{Platform, Records, Stream};

/// Time in which another instance must have answered.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait of one question.
const LONG_POLL_MAX: Duration = Duration::from_secs(5);
/// Streams that are passed on.
const STREAMS: [Stream; 3] = [Stream::Operator, Stream::Upstreams, Stream::Instances];

/// What an instance has of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamPosition {
    /// The stream.
    pub stream: Stream,
    /// Offset of the first record that it lacks.
    pub next_offset: u64,
}

/// Records of a stream that another instance lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecords {
    /// The stream.
    pub stream: Stream,
    /// Its records.
    pub records: Records,
}

/// What an instance tells another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsResponse {
    /// What the other one lacks.
    pub streams: Vec<StreamRecords>,
    /// Whether the client follows the store itself, and the store answers it.
    pub is_reader: bool,
    /// Time for which entries that go may only have lapsed, since the store has
    /// just come back.
    pub lapses_left_ms: u64,
}

/// What instances ask each other.
#[tarpc::service]
pub trait Relay {
    /// Records that the asking instance lacks; waits for the first one.
    async fn records(positions: Vec<StreamPosition>, wait_ms: u64) -> RecordsResponse;
}

/// Why another instance told nothing.
#[derive(Debug, Error)]
pub enum RelayError {
    /// No connection could be opened.
    #[error("no connection: {0}")]
    Unreachable(std::io::Error),
    /// The connection was cut.
    #[error("the call failed: {0}")]
    Call(client::RpcError),
    /// It did not answer in time.
    #[error("no answer in time")]
    Timeout,
}

struct Server<P> {
    gateway: Arc<Gateway<P>>,
}

impl<P> Clone for Server<P> {
    fn clone(&self) -> Self {
        Self {
            gateway: Arc::clone(&self.gateway),
        }
    }
}

impl<P: Platform> Relay for Server<P> {
    async fn records(
        self,
        _: context::Context,
        positions: Vec<StreamPosition>,
        wait_ms: u64,
    ) -> RecordsResponse {
        let gateway = &self.gateway;
        let mut news = gateway.news();
        let mut response = missing_records(gateway, &positions);
        let wait = Duration::from_millis(wait_ms).min(LONG_POLL_MAX);
        let until = Instant::now() + wait;
        while response.streams.is_empty() && response.is_reader {
            match timeout_at(until, news.changed()).await {
                Ok(Ok(())) => response = missing_records(gateway, &positions),
                Ok(Err(_)) | Err(_) => break,
            }
        }
        response
    }
}

fn missing_records<P: Platform>(
    gateway: &Gateway<P>,
    positions: &[StreamPosition],
) -> RecordsResponse {
    let view = gateway.view();
    let mut streams = Vec::new();
    for StreamPosition {
        stream,
        next_offset,
    } in positions
    {
        if view.next_offset(*stream) > *next_offset {
            let records = view.records_from(*stream, *next_offset);
            streams.push(StreamRecords {
                stream: *stream,
                records,
            });
        }
    }
    drop(view);
    RecordsResponse {
        streams,
        is_reader: gateway.is_reader(),
        lapses_left_ms: gateway.lapses_left_ms(),
    }
}

/// Listens for other instances.
///
/// # Errors
/// Where the address cannot be bound.
pub async fn listen<P: Platform>(gateway: Arc<Gateway<P>>) -> std::io::Result<()> {
    let address = gateway.settings().peer_address;
    let mut incoming = tcp::listen(address, Bincode::default).await?;
    tokio::spawn(async move {
        while let Some(accepted) = incoming.next().await {
            let transport = match accepted {
                Ok(transport) => transport,
                Err(error) => {
                    tracing::debug!(%error, "an instance's connection ended early");
                    continue;
                }
            };
            let server = Server {
                gateway: Arc::clone(&gateway),
            };
            let answers = BaseChannel::with_defaults(transport)
                .execute(server.serve())
                .for_each(|answer| answer);
            tokio::spawn(answers);
        }
    });
    Ok(())
}

/// A connection to another instance.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: RelayClient,
    address: SocketAddr,
}

impl PeerClient {
    /// Opens a connection.
    ///
    /// # Errors
    /// Where the other instance cannot be reached in time.
    pub async fn connect(address: SocketAddr) -> Result<Self, RelayError> {
        let connect = tcp::connect(address, Bincode::default);
        let transport = timeout(RESPONSE_TIMEOUT, connect)
            .await
            .map_err(|_| RelayError::Timeout)?
            .map_err(RelayError::Unreachable)?;
        let client = RelayClient::new(client::Config::default(), transport).spawn();
        Ok(Self { client, address })
    }

    /// Where the other instance listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks for what this instance lacks, and takes it in; tells whether the
    /// other one is a reader.
    ///
    /// # Errors
    /// Where there is no answer in time.
    pub async fn fetch<P: Platform>(
        &self,
        gateway: &Gateway<P>,
        wait: Duration,
    ) -> Result<bool, RelayError> {
        let positions = stream_positions(gateway);
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let request = self.client.records(context::current(), positions, wait_ms);
        let response = timeout(wait + RESPONSE_TIMEOUT, request)
            .await
            .map_err(|_| RelayError::Timeout)?
            .map_err(RelayError::Call)?;
        // One that the store answers does not take another's loss for its own.
        let is_concerned = response.is_reader || !gateway.is_reader();
        if response.lapses_left_ms > 0 && is_concerned {
            gateway.expect_lapses(response.lapses_left_ms);
        }
        let source = self.address.to_string();
        for StreamRecords { stream, records } in response.streams {
            gateway.take_in(stream, records, true, &source);
        }
        Ok(response.is_reader)
    }
}

/// Asks any other instance for what this one lacks, while the store does not
/// answer.
pub async fn fetch_from_any_peer<P: Platform>(gateway: &Gateway<P>) {
    let Some(address) = pick_peer(gateway) else {
        return;
    };
    let fetched = async {
        let client = PeerClient::connect(address).await?;
        client.fetch(gateway, Duration::ZERO).await
    };
    if let Err(error) = fetched.await {
        tracing::debug!(%address, %error, "an instance told no records");
    }
}

fn stream_positions<P: Platform>(gateway: &Gateway<P>) -> Vec<StreamPosition> {
    let view = gateway.view();
    let mut positions = Vec::with_capacity(STREAMS.len());
    for stream in STREAMS {
        positions.push(StreamPosition {
            stream,
            next_offset: view.next_offset(stream),
        });
    }
    positions
}

/// Any other instance that is known, or a seed.
fn pick_peer<P: Platform>(gateway: &Gateway<P>) -> Option<SocketAddr> {
    let settings = gateway.settings();
    let mut addresses: Vec<SocketAddr> = Vec::new();
    for instance in gateway.view().instances.values() {
        addresses.push(instance.address);
    }
    if addresses.len() < 2 {
        addresses.extend(&settings.seeds);
    }
    addresses.retain(|address| *address != settings.peer_address);
    addresses.choose(&mut rand::rng()).copied()
}

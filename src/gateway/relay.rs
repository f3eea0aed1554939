//! RPC by which instances fetch store records from each other.
//!
//! Records keep their offsets in the store's streams, so any instance can serve
//! them. [`super::reader_role`] decides which peer an instance fetches from.

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

/// Time in which a peer must accept a connection or, beyond the wait of a long
/// poll, respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for which a peer may let a request wait for records.
const MAX_LONG_POLL_WAIT: Duration = Duration::from_secs(5);
/// Streams that instances fetch from each other.
const STREAMS: [Stream; 3] = [Stream::Operator, Stream::Upstreams, Stream::Instances];

/// How far an instance has read a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamPosition {
    /// The stream.
    pub stream: Stream,
    /// Offset of the first record that the instance lacks.
    pub next_offset: u64,
}

/// Records of one stream that the requesting instance lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecords {
    /// The stream.
    pub stream: Stream,
    /// Its missing records.
    pub records: Records,
}

/// Response to [`Relay::records`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsResponse {
    /// Streams with missing records; empty if the requester is up to date.
    pub streams: Vec<StreamRecords>,
    /// Whether the responding instance has the reader role and reaches the store.
    pub is_reader: bool,
    /// Time for which removed entries may only have lapsed while the store was
    /// unreachable, in milliseconds.
    pub lapses_left_ms: u64,
}

/// Calls between instances of the gateway.
#[tarpc::service]
pub trait Relay {
    /// Returns the records that the requester lacks; a long poll that waits up
    /// to `wait_ms` for the first one if this instance reads the store.
    async fn records(positions: Vec<StreamPosition>, wait_ms: u64) -> RecordsResponse;
}

/// Why records could not be fetched from a peer.
#[derive(Debug, Error)]
pub enum RelayError {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Unreachable(std::io::Error),
    /// The call failed, for example because the connection was closed.
    #[error("call failed: {0}")]
    Call(client::RpcError),
    /// The connection or the response took too long.
    #[error("timed out")]
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
        let mut changes = gateway.watch_changes();
        let mut response = missing_records(gateway, &positions);
        let wait = Duration::from_millis(wait_ms).min(MAX_LONG_POLL_WAIT);
        let until = Instant::now() + wait;
        while response.streams.is_empty() && response.is_reader {
            match timeout_at(until, changes.changed()).await {
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
        is_reader: gateway.is_active_reader(),
        lapses_left_ms: gateway.lapse_window_left_ms(),
    }
}

/// Serves [`Relay`] to other instances at the peer address, in the background.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub async fn listen<P: Platform>(gateway: Arc<Gateway<P>>) -> std::io::Result<()> {
    let address = gateway.settings().peer_address;
    let mut incoming = tcp::listen(address, Bincode::default).await?;
    tokio::spawn(async move {
        while let Some(accepted) = incoming.next().await {
            let transport = match accepted {
                Ok(transport) => transport,
                Err(error) => {
                    tracing::debug!(%error, "failed to accept a connection from another instance");
                    continue;
                }
            };
            let server = Server {
                gateway: Arc::clone(&gateway),
            };
            let responses = BaseChannel::with_defaults(transport)
                .execute(server.serve())
                .for_each(|response| response);
            tokio::spawn(responses);
        }
    });
    Ok(())
}

/// A connection to another instance for [`Relay`] calls.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: RelayClient,
    address: SocketAddr,
}

impl PeerClient {
    /// Opens a connection.
    ///
    /// # Errors
    /// Returns an error if the peer refuses the connection or does not accept it
    /// in time.
    pub async fn connect(address: SocketAddr) -> Result<Self, RelayError> {
        let connect = tcp::connect(address, Bincode::default);
        let transport = timeout(RESPONSE_TIMEOUT, connect)
            .await
            .map_err(|_| RelayError::Timeout)?
            .map_err(RelayError::Unreachable)?;
        let client = RelayClient::new(client::Config::default(), transport).spawn();
        Ok(Self { client, address })
    }

    /// Address of the peer.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Fetches the records that this instance lacks and applies them; returns
    /// whether the peer reads the store.
    ///
    /// # Errors
    /// Returns an error if the call fails or the response does not arrive in
    /// time.
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
        // An instance that reaches the store ignores the lapse window of one that
        // does not.
        let applies_here = response.is_reader || !gateway.is_active_reader();
        if response.lapses_left_ms > 0 && applies_here {
            gateway.extend_lapse_window(response.lapses_left_ms);
        }
        let source = self.address.to_string();
        for StreamRecords { stream, records } in response.streams {
            gateway.apply_records(stream, records, true, &source);
        }
        Ok(response.is_reader)
    }
}

/// Fetches missing records from a random peer while the store is unreachable.
pub async fn fetch_from_any_peer<P: Platform>(gateway: &Gateway<P>) {
    let Some(address) = pick_peer(gateway) else {
        return;
    };
    let fetched = async {
        let client = PeerClient::connect(address).await?;
        client.fetch(gateway, Duration::ZERO).await
    };
    if let Err(error) = fetched.await {
        tracing::debug!(%address, %error, "failed to fetch records from another instance");
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

/// Picks a random known instance; the seeds count while fewer than two are known.
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

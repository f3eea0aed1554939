//! Connections to peers, the other instances of this load balancer.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tarpc::client::RpcError;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, serde_transport};
use thiserror::Error;
use tokio::time::{Instant, timeout};

use super::wire::{GossipMessage, MAX_FRAME_BYTES, PeerClient};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time without a response after which a call's connection is checked.
const LIVENESS_CHECK_DELAY: Duration = Duration::from_millis(40);
/// Time within which a checked connection must respond: long enough for a busy
/// instance, and short enough that a lost one affects callers for less than a
/// second.
const LIVENESS_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a call to a peer failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The address refused the connection; the call was not sent.
    #[error("{0} refused the connection")]
    Refused(SocketAddr),
    /// No connection was established in time; the call was not sent.
    #[error("could not connect to {0} within {limit} ms", limit = CONNECT_TIMEOUT.as_millis())]
    Unreachable(SocketAddr),
    /// The connection was closed or reset; the call may have run.
    #[error("the connection to {0} was lost: {1}")]
    Disconnected(SocketAddr, RpcError),
    /// The connection failed its liveness check; the call may have run.
    #[error("the connection to {0} stopped responding")]
    Unresponsive(SocketAddr),
    /// The deadline passed; the call may have run.
    #[error("{0} did not respond before the deadline")]
    DeadlineExceeded(SocketAddr),
}

impl PeerError {
    /// Whether the call was certainly not sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Refused(_) | Self::Unreachable(_))
    }

    /// Whether the peer's address refused the connection: its process has ended.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Refused(_))
    }

    /// Whether the peer may be stalled or behind a network partition.
    #[must_use]
    pub fn is_unresponsive(&self) -> bool {
        matches!(self, Self::Unresponsive(_) | Self::Unreachable(_))
    }
}

#[derive(Clone, Debug)]
struct Connection {
    client: PeerClient,
    id: u64,
}

/// Connections of this process to its peers, one per address.
#[derive(Debug, Default)]
pub struct PeerConnections {
    connections: Mutex<Connections>,
}

#[derive(Debug, Default)]
struct Connections {
    by_address: HashMap<SocketAddr, Connection>,
    next_id: u64,
}

impl PeerConnections {
    /// Sends `request` to the peer at `address` and waits for the response until
    /// `deadline`.
    ///
    /// While the response is outstanding, an empty gossip message checks the same
    /// connection, which tells an unresponsive connection from a slow call.
    ///
    /// # Errors
    /// Returns a [`PeerError`] if no complete response arrives. The call may have
    /// run unless [`PeerError::is_unsent`] is true.
    pub async fn call<T, F, Fut>(
        &self,
        address: SocketAddr,
        deadline: Instant,
        request: F,
    ) -> Result<T, PeerError>
    where
        F: FnOnce(PeerClient, context::Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let connection = self.connection(address).await?;
        let response = request(connection.client.clone(), context_until(deadline));
        tokio::pin!(response);
        loop {
            let check_at = (Instant::now() + LIVENESS_CHECK_DELAY).min(deadline);
            tokio::select! {
                response = &mut response => {
                    return response.map_err(|error| self.on_rpc_error(address, &connection, error));
                }
                () = tokio::time::sleep_until(check_at) => {}
            }
            if Instant::now() >= deadline {
                return Err(PeerError::DeadlineExceeded(address));
            }
            tokio::select! {
                response = &mut response => {
                    return response.map_err(|error| self.on_rpc_error(address, &connection, error));
                }
                is_alive = is_alive(&connection) => {
                    if !is_alive {
                        self.remove(address, connection.id);
                        return Err(PeerError::Unresponsive(address));
                    }
                }
            }
        }
    }

    /// Drops the connection to a peer, so that the next call opens a new one.
    pub fn disconnect(&self, address: SocketAddr) {
        self.lock().by_address.remove(&address);
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, PeerError> {
        if let Some(connection) = self.lock().by_address.get(&address) {
            return Ok(connection.clone());
        }
        let client = connect(address).await?;
        let mut connections = self.lock();
        if let Some(connection) = connections.by_address.get(&address) {
            return Ok(connection.clone());
        }
        connections.next_id += 1;
        let connection = Connection {
            client,
            id: connections.next_id,
        };
        connections.by_address.insert(address, connection.clone());
        Ok(connection)
    }

    fn on_rpc_error(
        &self,
        address: SocketAddr,
        connection: &Connection,
        error: RpcError,
    ) -> PeerError {
        if matches!(error, RpcError::DeadlineExceeded) {
            return PeerError::DeadlineExceeded(address);
        }
        self.remove(address, connection.id);
        PeerError::Disconnected(address, error)
    }

    fn remove(&self, address: SocketAddr, id: u64) {
        let mut connections = self.lock();
        let is_same = connections
            .by_address
            .get(&address)
            .is_some_and(|connection| connection.id == id);
        if is_same {
            connections.by_address.remove(&address);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn is_alive(connection: &Connection) -> bool {
    let message = GossipMessage {
        members: Vec::new(),
        version: 0,
        list_age_ms: None,
        reset_counts: Vec::new(),
    };
    let context = context_until(Instant::now() + LIVENESS_CHECK_TIMEOUT);
    let response = connection.client.gossip(context, message);
    matches!(timeout(LIVENESS_CHECK_TIMEOUT, response).await, Ok(Ok(_)))
}

async fn connect(address: SocketAddr) -> Result<PeerClient, PeerError> {
    let mut connecting = serde_transport::tcp::connect(address, Bincode::default);
    connecting.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let transport = match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(transport)) => transport,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(PeerError::Refused(address));
        }
        _ => return Err(PeerError::Unreachable(address)),
    };
    // Nagle's algorithm would delay small frames until earlier ones are
    // acknowledged.
    if transport.get_ref().set_nodelay(true).is_err() {
        return Err(PeerError::Unreachable(address));
    }
    Ok(PeerClient::new(client::Config::default(), transport).spawn())
}

fn context_until(deadline: Instant) -> context::Context {
    let mut context = context::current();
    context.deadline = deadline.into_std();
    context
}

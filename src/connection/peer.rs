//! Connections to other instances.

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

/// Time in which a connection must stand.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Wait after which an unanswered call's connection is checked.
const LIVENESS_CHECK_DELAY: Duration = Duration::from_millis(40);
/// Time in which a checked connection must answer; a lost instance shows to
/// callers for less than a second, and a busy one answers within it.
const LIVENESS_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a peer gave no answer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// Nothing listens at its address; the call was not sent.
    #[error("nothing listens at {0}")]
    Refused(SocketAddr),
    /// No connection stood in time; the call was not sent.
    #[error("no connection to {0} within {limit} ms", limit = CONNECT_TIMEOUT.as_millis())]
    Unreachable(SocketAddr),
    /// The connection was cut; the call may have run.
    #[error("the connection to {0} was cut: {1}")]
    Disconnected(SocketAddr, RpcError),
    /// The connection went silent; the call may have run.
    #[error("the connection to {0} went silent")]
    Unresponsive(SocketAddr),
    /// The deadline passed; the call may have run.
    #[error("{0} did not answer in time")]
    DeadlineExceeded(SocketAddr),
}

impl PeerError {
    /// Whether it is certain that the call was not sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Refused(_) | Self::Unreachable(_))
    }

    /// Whether nothing listens where the peer was.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Refused(_))
    }

    /// Whether the peer may be frozen or cut off.
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

/// The connections of this process to its peers.
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
    /// Calls the peer at `address` by `request` and waits until `deadline`.
    ///
    /// While there is no answer, the same connection is checked with a
    /// greeting, so that a silent connection is told from slow work.
    ///
    /// # Errors
    /// Where no whole answer came; see [`PeerError::is_unsent`].
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
        let answer = request(connection.client.clone(), context_until(deadline));
        tokio::pin!(answer);
        loop {
            let check_at = (Instant::now() + LIVENESS_CHECK_DELAY).min(deadline);
            tokio::select! {
                answer = &mut answer => {
                    return answer.map_err(|error| self.on_rpc_error(address, &connection, error));
                }
                () = tokio::time::sleep_until(check_at) => {}
            }
            if Instant::now() >= deadline {
                return Err(PeerError::DeadlineExceeded(address));
            }
            tokio::select! {
                answer = &mut answer => {
                    return answer.map_err(|error| self.on_rpc_error(address, &connection, error));
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

    /// Forgets the connection to a peer, so that the next call makes a new one.
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
    let answer = connection.client.gossip(context, message);
    matches!(timeout(LIVENESS_CHECK_TIMEOUT, answer).await, Ok(Ok(_)))
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
    // Without it small frames wait for acknowledgements of earlier ones.
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

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

use super::wire::{FRAME_LIMIT_BYTES, Greeting, PeerClient};

/// Time in which a connection must stand.
const CONNECT_LIMIT: Duration = Duration::from_millis(200);
/// Wait after which an unanswered call's connection is checked.
const CHECK_AFTER: Duration = Duration::from_millis(40);
/// Time in which a checked connection must answer; a lost instance shows to
/// callers for less than a second, and a busy one answers within it.
const CHECK_LIMIT: Duration = Duration::from_millis(400);

/// Why a peer gave no answer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// Nothing listens at its address; the call was not sent.
    #[error("nothing listens at {0}")]
    Refused(SocketAddr),
    /// No connection stood in time; the call was not sent.
    #[error("no connection to {0} within {limit} ms", limit = CONNECT_LIMIT.as_millis())]
    Unreachable(SocketAddr),
    /// The connection was cut; the call may have run.
    #[error("the connection to {0} was cut: {1}")]
    Cut(SocketAddr, RpcError),
    /// The connection went silent; the call may have run.
    #[error("the connection to {0} went silent")]
    Silent(SocketAddr),
    /// The deadline passed; the call may have run.
    #[error("{0} did not answer in time")]
    Late(SocketAddr),
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
    pub fn is_silence(&self) -> bool {
        matches!(self, Self::Silent(_) | Self::Unreachable(_))
    }
}

#[derive(Clone, Debug)]
struct Link {
    client: PeerClient,
    number: u64,
}

/// The connections of this process to its peers.
#[derive(Debug, Default)]
pub struct Peers {
    links: Mutex<Links>,
}

#[derive(Debug, Default)]
struct Links {
    by_address: HashMap<SocketAddr, Link>,
    next_number: u64,
}

impl Peers {
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
        let link = self.link(address).await?;
        let answer = request(link.client.clone(), context_until(deadline));
        tokio::pin!(answer);
        loop {
            let check_at = (Instant::now() + CHECK_AFTER).min(deadline);
            tokio::select! {
                answer = &mut answer => {
                    return answer.map_err(|error| self.cut(address, &link, error));
                }
                () = tokio::time::sleep_until(check_at) => {}
            }
            if Instant::now() >= deadline {
                return Err(PeerError::Late(address));
            }
            tokio::select! {
                answer = &mut answer => {
                    return answer.map_err(|error| self.cut(address, &link, error));
                }
                is_alive = is_alive(&link) => {
                    if !is_alive {
                        self.drop_link(address, link.number);
                        return Err(PeerError::Silent(address));
                    }
                }
            }
        }
    }

    /// Forgets the connection to a peer, so that the next call makes a new one.
    pub fn forget(&self, address: SocketAddr) {
        self.lock().by_address.remove(&address);
    }

    async fn link(&self, address: SocketAddr) -> Result<Link, PeerError> {
        if let Some(link) = self.lock().by_address.get(&address) {
            return Ok(link.clone());
        }
        let client = connect(address).await?;
        let mut links = self.lock();
        if let Some(link) = links.by_address.get(&address) {
            return Ok(link.clone());
        }
        links.next_number += 1;
        let link = Link {
            client,
            number: links.next_number,
        };
        links.by_address.insert(address, link.clone());
        Ok(link)
    }

    fn cut(&self, address: SocketAddr, link: &Link, error: RpcError) -> PeerError {
        if matches!(error, RpcError::DeadlineExceeded) {
            return PeerError::Late(address);
        }
        self.drop_link(address, link.number);
        PeerError::Cut(address, error)
    }

    fn drop_link(&self, address: SocketAddr, number: u64) {
        let mut links = self.lock();
        let is_same = links
            .by_address
            .get(&address)
            .is_some_and(|link| link.number == number);
        if is_same {
            links.by_address.remove(&address);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn is_alive(link: &Link) -> bool {
    let greeting = Greeting {
        hearsay: Vec::new(),
        version: 0,
        list_age_ms: None,
        strikes: Vec::new(),
    };
    let context = context_until(Instant::now() + CHECK_LIMIT);
    let answer = link.client.greet(context, greeting);
    matches!(timeout(CHECK_LIMIT, answer).await, Ok(Ok(_)))
}

async fn connect(address: SocketAddr) -> Result<PeerClient, PeerError> {
    let mut connecting = serde_transport::tcp::connect(address, Bincode::default);
    connecting.config_mut().max_frame_length(FRAME_LIMIT_BYTES);
    let transport = match timeout(CONNECT_LIMIT, connecting).await {
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

//! Opens connections to other instances, in the format that their builds speak.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use tarpc::client;
use tarpc::serde_transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::Framed;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::peer_client::RelayError;
use super::peer_format::{
    CALLS, Format, Greeting, Named, PeerBuild, frames, read_greeting, write_greeting,
};
use super::relay::RelayClient;

/// Time in which a peer must accept a connection and answer a greeting.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a peer that did not answer a greeting is called in bincode without one;
/// one that has been replaced by a newer build speaks both.
const BINCODE_LIFETIME: Duration = Duration::from_secs(30);

/// Builds of other instances, as found out at their connections.
#[derive(Debug, Default)]
pub struct PeerBuilds {
    known: Mutex<HashMap<SocketAddr, (PeerBuild, Instant)>>,
    /// Calls that were not made, since the build of the other instance does not know them.
    pub unknown_calls: Counter,
}

impl PeerBuilds {
    /// Creates builds of no instance yet.
    #[must_use]
    pub fn new(unknown_calls: Counter) -> Self {
        Self {
            known: Mutex::default(),
            unknown_calls,
        }
    }

    /// Opens a connection in the newest format that both builds speak.
    ///
    /// # Errors
    /// Returns an error if the peer refuses the connection, does not accept it in time, or
    /// speaks no format that this build speaks.
    pub async fn open(&self, address: SocketAddr) -> Result<(RelayClient, PeerBuild), RelayError> {
        timeout(OPEN_TIMEOUT, self.open_in_any_format(address))
            .await
            .unwrap_or(Err(RelayError::Timeout))
    }

    async fn open_in_any_format(
        &self,
        address: SocketAddr,
    ) -> Result<(RelayClient, PeerBuild), RelayError> {
        if !self.speaks_bincode(&address) {
            let mut stream = connect(address).await?;
            match greet(&mut stream).await {
                Ok(greeting) => return self.with_format(address, stream, greeting),
                Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                    return Err(RelayError::InvalidGreeting(error));
                }
                // A build that speaks bincode closes the connection.
                Err(_) => {}
            }
        }
        let stream = connect(address).await?;
        let build = PeerBuild::bincode();
        self.set_build(address, &build);
        let transport = serde_transport::new(Framed::new(stream, frames()), Bincode::default());
        let client = RelayClient::new(client::Config::default(), transport).spawn();
        Ok((client, build))
    }

    fn with_format(
        &self,
        address: SocketAddr,
        stream: TcpStream,
        greeting: Greeting,
    ) -> Result<(RelayClient, PeerBuild), RelayError> {
        let formats = greeting.formats.clone();
        let Some(build) = PeerBuild::of(greeting) else {
            return Err(RelayError::NoCommonFormat(formats));
        };
        self.set_build(address, &build);
        let transport = serde_transport::new(Framed::new(stream, frames()), Named::default());
        let client = RelayClient::new(client::Config::default(), transport).spawn();
        Ok((client, build))
    }

    /// Forgets instances that are not registered any more.
    pub fn retain(&self, is_registered: impl Fn(&SocketAddr) -> bool) {
        self.known().retain(|address, _| is_registered(address));
    }

    /// Number of instances that are called in a format.
    #[must_use]
    pub fn count(&self, format: Format) -> usize {
        let known = self.known();
        known
            .values()
            .filter(|(build, _)| build.format == format)
            .count()
    }

    fn speaks_bincode(&self, address: &SocketAddr) -> bool {
        let known = self.known();
        known.get(address).is_some_and(|(build, since)| {
            build.format == Format::Bincode && since.elapsed() < BINCODE_LIFETIME
        })
    }

    /// Records the build of an instance, and logs it if it has changed.
    fn set_build(&self, address: SocketAddr, build: &PeerBuild) {
        let mut known = self.known();
        let before = known.get(&address);
        let is_same = before.is_some_and(|(before, _)| before == build);
        let is_recent = before.is_some_and(|(_, since)| since.elapsed() < BINCODE_LIFETIME);
        if is_same && is_recent {
            return;
        }
        known.insert(address, (build.clone(), Instant::now()));
        drop(known);
        if !is_same {
            log_build(address, build);
        }
    }

    fn known(&self) -> MutexGuard<'_, HashMap<SocketAddr, (PeerBuild, Instant)>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_build(address: SocketAddr, build: &PeerBuild) {
    let mut unknown = Vec::new();
    for call in CALLS {
        if !build.knows(call) {
            unknown.push(call);
        }
    }
    tracing::info!(
        %address,
        format = build.format.name(),
        build = &*build.build,
        unknown_calls = unknown.join(" "),
        "build of another instance found out"
    );
}

async fn connect(address: SocketAddr) -> Result<TcpStream, RelayError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(RelayError::Unreachable)?;
    // Otherwise a call may wait 40 ms for the acknowledgement of the last one.
    stream.set_nodelay(true).map_err(RelayError::Unreachable)?;
    Ok(stream)
}

async fn greet(stream: &mut TcpStream) -> io::Result<Greeting> {
    write_greeting(stream).await?;
    read_greeting(stream).await
}

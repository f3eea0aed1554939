//! Accepts connections of other instances and answers their calls, in the format that each
//! connection begins with.

use std::io::{self, Cursor};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::ready;
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::Framed;
use tarpc::{ChannelError, ClientMessage, Response, Transport};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use super::peer_format::{Greeting, Named, Opening, frames, read_opening, write_greeting};
use super::peer_stream::PeerStream;
use super::relay::{Relay, RelayRequest, RelayResponse, Server};
use super::state::Gateway;
use super::store::Platform;

/// Time in which a connection must begin; other instances send at once.
const OPENING_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed accept, for example without free descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves [`Relay`] to other instances at the peer address, in the background.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub async fn listen<P: Platform>(gateway: Arc<Gateway<P>>) -> io::Result<()> {
    let listener = TcpListener::bind(gateway.settings().peer_address).await?;
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    tokio::spawn(serve(Arc::clone(&gateway), stream, from));
                }
                Err(error) => {
                    tracing::debug!(%error, "failed to accept a connection from another instance");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve<P: Platform>(gateway: Arc<Gateway<P>>, stream: TcpStream, from: SocketAddr) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "connection of another instance dropped");
        return;
    }
    let mut stream = PeerStream::new(stream, gateway.taken.unwritten());
    let opening = timeout(OPENING_TIMEOUT, read_opening(&mut stream)).await;
    let served = match opening.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
        Ok(Opening::Bincode(first)) => {
            serve_bincode(&gateway, first, stream, from).await;
            Ok(())
        }
        Ok(Opening::Greeting(greeting)) => serve_named(&gateway, greeting, stream, from).await,
        Err(error) => Err(error),
    };
    if let Err(error) = served {
        log_end(&gateway, from, &error);
    }
}

/// Serves a build that sends no greeting; `first` is the byte that has been read.
async fn serve_bincode<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    first: u8,
    stream: PeerStream,
    from: SocketAddr,
) {
    let (rest, write_half) = tokio::io::split(stream);
    let whole = tokio::io::join(Cursor::new([first]).chain(rest), write_half);
    let transport = serde_transport::new(Framed::new(whole, frames()), Bincode::default());
    answer_calls(gateway, transport, from).await;
}

/// Answers a greeting, and then the calls in the format that both builds speak.
///
/// # Errors
/// Returns an error if the connection fails before the first call, or there is no such
/// format.
async fn serve_named<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    greeting: Greeting,
    mut stream: PeerStream,
    from: SocketAddr,
) -> io::Result<()> {
    write_greeting(&mut stream).await?;
    if greeting.common_format().is_none() {
        let error = format!("its build speaks the formats {:?} only", greeting.formats);
        return Err(io::Error::new(io::ErrorKind::InvalidData, error));
    }
    let transport = serde_transport::new(Framed::new(stream, frames()), Named::default());
    answer_calls(gateway, transport, from).await;
    Ok(())
}

/// Answers the calls of one connection until it ends or sends what cannot be read.
async fn answer_calls<P, T>(gateway: &Arc<Gateway<P>>, transport: T, from: SocketAddr)
where
    P: Platform,
    T: Transport<Response<RelayResponse>, ClientMessage<RelayRequest>, TransportError = io::Error>,
{
    let server = Server {
        gateway: Arc::clone(gateway),
    };
    BaseChannel::with_defaults(transport)
        .requests()
        .take_while(|request| {
            if let Err(error) = request {
                log_end(gateway, from, cause(error));
            }
            ready(request.is_ok())
        })
        .filter_map(|request| ready(request.ok()))
        .map(|request| request.execute(server.clone().serve()))
        .for_each_concurrent(None, |answered| answered)
        .await;
}

/// The error of the connection or of its codec, which tarpc wraps twice.
fn cause(error: &ChannelError<io::Error>) -> &io::Error {
    let wrapped = match error {
        ChannelError::Read(wrapped)
        | ChannelError::Ready(wrapped)
        | ChannelError::Write(wrapped)
        | ChannelError::Flush(wrapped)
        | ChannelError::Close(wrapped) => wrapped,
    };
    let inner = wrapped.get_ref().and_then(|inner| inner.downcast_ref());
    inner.unwrap_or(wrapped)
}

fn log_end<P: Platform>(gateway: &Gateway<P>, from: SocketAddr, error: &io::Error) {
    if error.kind() != io::ErrorKind::InvalidData {
        tracing::debug!(%from, %error, "connection of another instance failed");
    } else if gateway.log_budget.take() {
        tracing::warn!(%from, %error, "connection closed: it sent what this build cannot read");
    }
}

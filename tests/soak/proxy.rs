//! A TCP proxy on loopback addresses that can delay, hold, reset and blackhole
//! connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::owners::Owners;

/// What the proxy does with the bytes that it relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    Pass,
    /// Delays the bytes by this time, in both directions.
    Delay(Duration),
    /// Holds the bytes to the target until the mode changes.
    HoldToTarget,
    /// Holds the bytes from the target until the mode changes.
    HoldFromTarget,
    /// Holds the bytes in both directions and accepts new connections without
    /// connecting them to the target.
    HoldAll,
    /// Resets new connections; open ones go on.
    ResetNew,
}

impl ProxyMode {
    fn holds(self, is_to_target: bool) -> bool {
        match self {
            Self::Pass | Self::Delay(_) | Self::ResetNew => false,
            Self::HoldToTarget => is_to_target,
            Self::HoldFromTarget => !is_to_target,
            Self::HoldAll => true,
        }
    }
}

/// Numbers of resets and blackholes. A change applies to the connections that are
/// open at that time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Interruptions {
    resets: u64,
    blackholes: u64,
}

/// A proxy, or the links of one gateway, whose state then replaces that of the proxies that
/// it connects to.
#[derive(Clone, Debug)]
pub struct Proxy {
    mode: Arc<watch::Sender<ProxyMode>>,
    interruptions: Arc<watch::Sender<Interruptions>>,
}

impl Proxy {
    pub fn new() -> Self {
        Self {
            mode: Arc::new(watch::Sender::new(ProxyMode::Pass)),
            interruptions: Arc::new(watch::Sender::new(Interruptions::default())),
        }
    }

    pub async fn start(from: SocketAddr, to: SocketAddr, owners: Option<Arc<Owners>>) -> Self {
        let proxy = Self::new();
        let listener = TcpListener::bind(from).await.unwrap();
        let server = proxy.clone();
        tokio::spawn(async move {
            while let Ok((client, source)) = listener.accept().await {
                let (server, owners) = (server.clone(), owners.clone());
                tokio::spawn(async move {
                    let Some(owners) = owners else {
                        return relay(client, to, server, |_| ()).await;
                    };
                    if let Some((number, link)) = owners.of_connection(source, from).await {
                        let add_source = |source| owners.add_source(source, number);
                        relay(client, to, link, add_source).await;
                    }
                });
            }
        });
        proxy
    }

    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }

    /// Resets every connection that is open now.
    pub fn reset(&self) {
        self.interruptions
            .send_modify(|interruptions| interruptions.resets += 1);
    }

    /// Blackholes every connection that is open now: it stays open and delivers
    /// nothing more.
    pub fn blackhole(&self) {
        self.interruptions
            .send_modify(|interruptions| interruptions.blackholes += 1);
    }
}

async fn relay(
    client: TcpStream,
    to: SocketAddr,
    link: Proxy,
    connected_from: impl FnOnce(SocketAddr),
) {
    let mut mode = link.mode.subscribe();
    let mut interruptions = link.interruptions.subscribe();
    if *mode.borrow() == ProxyMode::ResetNew {
        reset(&client);
        return;
    }
    let at_start = *interruptions.borrow_and_update();
    let is_held = |mode: &ProxyMode| *mode == ProxyMode::HoldAll;
    if mode.wait_for(|mode| !is_held(mode)).await.is_err() {
        return;
    }
    let Ok(target) = TcpStream::connect(to).await else {
        reset(&client);
        return;
    };
    if let Ok(source) = target.local_addr() {
        connected_from(source);
    }
    for stream in [&client, &target] {
        if stream.set_nodelay(true).is_err() {
            return;
        }
    }
    let sockets = [&client, &target].map(|stream| socket2::SockRef::from(stream).try_clone());
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    let copy_interruptions = interruptions.clone();
    let to_target = copy(
        client_read,
        target_write,
        mode.clone(),
        copy_interruptions.clone(),
        true,
    );
    let from_target = copy(target_read, client_write, mode, copy_interruptions, false);
    tokio::select! {
        // One closed side closes both, as on a direct connection.
        () = to_target => {}
        () = from_target => {}
        _ = interruptions.wait_for(|interruptions| interruptions.resets != at_start.resets) => {
            for socket in sockets.into_iter().flatten() {
                // This fails only on a socket that is already closed.
                let _ = socket.set_linger(Some(Duration::ZERO));
            }
        }
    }
}

fn reset(stream: &TcpStream) {
    // This fails only on a socket that is already closed.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<ProxyMode>,
    interruptions: watch::Receiver<Interruptions>,
    is_to_target: bool,
) {
    let blackholes = interruptions.borrow().blackholes;
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let count = from.read(&mut bytes).await.unwrap_or(0);
        if interruptions.borrow().blackholes != blackholes {
            std::future::pending::<()>().await;
        }
        // The end of the stream is held and delayed like bytes.
        if mode
            .wait_for(|mode| !mode.holds(is_to_target))
            .await
            .is_err()
        {
            return;
        }
        let delay = match *mode.borrow() {
            ProxyMode::Delay(delay) => delay,
            _ => Duration::ZERO,
        };
        sleep(delay).await;
        if count == 0 || to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}

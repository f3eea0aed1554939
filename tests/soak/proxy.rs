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
}

impl ProxyMode {
    fn holds(self, is_to_target: bool) -> bool {
        match self {
            Self::Pass | Self::Delay(_) => false,
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

#[derive(Clone, Debug)]
pub struct Proxy {
    mode: Arc<watch::Sender<ProxyMode>>,
    interruptions: Arc<watch::Sender<Interruptions>>,
}

impl Proxy {
    pub async fn start(from: SocketAddr, to: SocketAddr) -> Self {
        let proxy = Self {
            mode: Arc::new(watch::Sender::new(ProxyMode::Pass)),
            interruptions: Arc::new(watch::Sender::new(Interruptions::default())),
        };
        let listener = TcpListener::bind(from).await.unwrap();
        let server = proxy.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let mode = server.mode.subscribe();
                let interruptions = server.interruptions.subscribe();
                tokio::spawn(relay(client, to, mode, interruptions));
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
    mut mode: watch::Receiver<ProxyMode>,
    mut interruptions: watch::Receiver<Interruptions>,
) {
    let at_start = *interruptions.borrow_and_update();
    let is_held = |mode: &ProxyMode| *mode == ProxyMode::HoldAll;
    if mode.wait_for(|mode| !is_held(mode)).await.is_err() {
        return;
    }
    let Ok(target) = TcpStream::connect(to).await else {
        reset(&client);
        return;
    };
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

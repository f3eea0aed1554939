//! A proxy on the loopback that delays, resets, holds and silences.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// What happens to what passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Pass,
    /// Everything comes so much later, in both directions.
    Delay(Duration),
    /// Nothing passes towards the target until the mode changes.
    HoldForth,
    /// Nothing passes back until the mode changes.
    HoldBack,
    /// Nothing passes, and new connections are taken and held.
    HoldAll,
}

impl Mode {
    fn holds(self, is_forth: bool) -> bool {
        match self {
            Self::Pass | Self::Delay(_) => false,
            Self::HoldForth => is_forth,
            Self::HoldBack => !is_forth,
            Self::HoldAll => true,
        }
    }
}

/// Connections of earlier cuts end or go silent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Cuts {
    resets: u64,
    silences: u64,
}

#[derive(Clone, Debug)]
pub struct Proxy {
    mode: Arc<watch::Sender<Mode>>,
    cuts: Arc<watch::Sender<Cuts>>,
}

impl Proxy {
    pub async fn start(from: SocketAddr, to: SocketAddr) -> Self {
        let proxy = Self {
            mode: Arc::new(watch::Sender::new(Mode::Pass)),
            cuts: Arc::new(watch::Sender::new(Cuts::default())),
        };
        let listener = TcpListener::bind(from).await.unwrap();
        let server = proxy.clone();
        tokio::spawn(async move {
            while let Ok((inside, _)) = listener.accept().await {
                let mode = server.mode.subscribe();
                let cuts = server.cuts.subscribe();
                tokio::spawn(pass(inside, to, mode, cuts));
            }
        });
        proxy
    }

    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Resets every connection that is open now.
    pub fn reset(&self) {
        self.cuts.send_modify(|cuts| cuts.resets += 1);
    }

    /// Silences every connection that is open now, for good.
    pub fn silence(&self) {
        self.cuts.send_modify(|cuts| cuts.silences += 1);
    }
}

async fn pass(
    inside: TcpStream,
    to: SocketAddr,
    mut mode: watch::Receiver<Mode>,
    mut cuts: watch::Receiver<Cuts>,
) {
    let at_start = *cuts.borrow_and_update();
    let is_held = |mode: &Mode| *mode == Mode::HoldAll;
    if mode.wait_for(|mode| !is_held(mode)).await.is_err() {
        return;
    }
    let Ok(outside) = TcpStream::connect(to).await else {
        reset(&inside);
        return;
    };
    for stream in [&inside, &outside] {
        if stream.set_nodelay(true).is_err() {
            return;
        }
    }
    let ends = [&inside, &outside].map(|stream| socket2::SockRef::from(stream).try_clone());
    let (inside_read, inside_write) = inside.into_split();
    let (outside_read, outside_write) = outside.into_split();
    let silenced = cuts.clone();
    let forth = copy(
        inside_read,
        outside_write,
        mode.clone(),
        silenced.clone(),
        true,
    );
    let back = copy(outside_read, inside_write, mode, silenced, false);
    tokio::select! {
        // Either end closes both, as with a connection without a proxy.
        () = forth => {}
        () = back => {}
        _ = cuts.wait_for(|cuts| cuts.resets != at_start.resets) => {
            for end in ends.into_iter().flatten() {
                // An end that is gone already is closed all the same.
                let _ = end.set_linger(Some(Duration::ZERO));
            }
        }
    }
}

fn reset(stream: &TcpStream) {
    // A stream that is gone already is closed all the same.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    cuts: watch::Receiver<Cuts>,
    is_forth: bool,
) {
    let silences = cuts.borrow().silences;
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let count = from.read(&mut bytes).await.unwrap_or(0);
        if cuts.borrow().silences != silences {
            std::future::pending::<()>().await;
        }
        // An end reaches the other side as late as bytes do.
        if mode.wait_for(|mode| !mode.holds(is_forth)).await.is_err() {
            return;
        }
        let delay = match *mode.borrow() {
            Mode::Delay(delay) => delay,
            _ => Duration::ZERO,
        };
        sleep(delay).await;
        if count == 0 || to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}

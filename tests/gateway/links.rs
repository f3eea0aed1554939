//! The links of one instance to all upstreams, which tests cut.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// What happens to an instance's connections to upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// They work.
    Up,
    /// Bytes are held back for as long as this lasts; new connections get no answer.
    Hanging,
    /// They are reset, new ones at once.
    Resetting,
    /// Open connections work; what is sent on new ones arrives after [`SLOW_TO_OPEN`].
    SlowToOpen,
}

impl LinkState {
    fn is_cut(self) -> bool {
        matches!(self, Self::Hanging | Self::Resetting)
    }
}

/// Delay of new connections, longer than any wait of a request for a probe.
pub const SLOW_TO_OPEN: Duration = Duration::from_millis(600);

/// A proxy before each upstream, for one instance.
#[derive(Debug)]
pub struct Links {
    state: watch::Sender<LinkState>,
    proxies: Mutex<HashMap<SocketAddr, SocketAddr>>,
}

impl Links {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: watch::Sender::new(LinkState::Up),
            proxies: Mutex::default(),
        })
    }

    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    /// Starts the proxy of an upstream.
    pub async fn add(&self, upstream: SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        self.proxies.lock().unwrap().insert(upstream, address);
        let state = self.state.subscribe();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(carry(stream, upstream, state.clone()));
            }
        });
    }

    /// The address under which this instance reaches an upstream.
    pub fn address_of(&self, upstream: SocketAddr) -> SocketAddr {
        let proxies = self.proxies.lock().unwrap();
        proxies.get(&upstream).copied().unwrap_or(upstream)
    }
}

async fn carry(mut near: TcpStream, upstream: SocketAddr, mut state: watch::Receiver<LinkState>) {
    let mut far = None;
    loop {
        let now = *state.borrow_and_update();
        match now {
            LinkState::Resetting => {
                let option = socket2::SockRef::from(&near);
                option.set_linger(Some(Duration::ZERO)).unwrap();
                return;
            }
            LinkState::Hanging => {
                if state.changed().await.is_err() {
                    return;
                }
            }
            LinkState::Up | LinkState::SlowToOpen => {
                if far.is_none() {
                    if now == LinkState::SlowToOpen {
                        sleep(SLOW_TO_OPEN).await;
                    }
                    far = TcpStream::connect(upstream).await.ok();
                }
                let Some(far) = far.as_mut() else { return };
                tokio::select! {
                    _ = copy_bidirectional(&mut near, far) => return,
                    changed = state.wait_for(|state| state.is_cut()) => if changed.is_err() { return },
                }
            }
        }
    }
}

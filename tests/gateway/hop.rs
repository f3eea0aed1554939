//! A proxy before an instance, which holds or resets what other instances send it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Part of each request that is handed over.
const REQUEST: &[u8] = b"/path";
/// Body of the upstreams' answers, in which [`HopFault::ResetInAnswer`] ends them.
const ANSWER: &[u8] = b"good";

/// What happens to connections to the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopFault {
    None,
    /// Bytes to the instance are held, from the next request that is handed to it.
    HoldRequests,
    /// Bytes from the instance are held, from the next answer of an upstream.
    HoldAnswers,
    /// All bytes are held.
    HoldAll,
    Reset,
    /// They are reset in the middle of the next answer of an upstream.
    ResetInAnswer,
    /// They end after this many bytes of the next answer of an upstream.
    CutInAnswer {
        bytes: usize,
        is_reset: bool,
    },
}

/// A fault, and the number of the first connection that does not have it.
#[derive(Clone, Copy, Debug)]
struct HopState {
    fault: HopFault,
    until: u64,
}

#[derive(Debug)]
pub struct Hop {
    pub address: SocketAddr,
    state: watch::Sender<HopState>,
    accepted: AtomicU64,
}

impl Hop {
    /// Starts a proxy before the instance that listens at `to`.
    pub async fn start(to: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let hop = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            state: watch::Sender::new(HopState {
                fault: HopFault::None,
                until: 0,
            }),
            accepted: AtomicU64::new(0),
        });
        let server = Arc::clone(&hop);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let number = server.accepted.fetch_add(1, Ordering::Relaxed);
                let link = Link {
                    number,
                    state: server.state.subscribe(),
                };
                tokio::spawn(link.carry(near, to));
            }
        });
        hop
    }

    /// Sets the fault of all connections.
    pub fn set(&self, fault: HopFault) {
        let until = u64::MAX;
        self.state.send_replace(HopState { fault, until });
    }

    /// Sets the fault of the connections that are open now; new ones have none.
    pub fn set_open(&self, fault: HopFault) {
        let until = self.accepted.load(Ordering::Relaxed);
        self.state.send_replace(HopState { fault, until });
    }
}

/// One connection.
#[derive(Clone, Debug)]
struct Link {
    number: u64,
    state: watch::Receiver<HopState>,
}

impl Link {
    async fn carry(self, mut near: TcpStream, to: SocketAddr) {
        let Ok(mut far) = TcpStream::connect(to).await else {
            return;
        };
        for stream in [&near, &far] {
            stream.set_nodelay(true).unwrap();
        }
        // Owned halves would end the stream in order before the reset.
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let mut reset = self.clone();
        let is_reset = tokio::select! {
            is_reset = self.clone().copy(near_read, far_write, HopFault::HoldRequests) => is_reset,
            is_reset = self.copy(far_read, near_write, HopFault::HoldAnswers) => is_reset,
            () = reset.wait_for(|fault| fault == HopFault::Reset) => true,
        };
        if !is_reset {
            return;
        }
        for stream in [&near, &far] {
            let socket = SockRef::from(stream);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
    }

    fn fault(&self) -> HopFault {
        let state = *self.state.borrow();
        if self.number < state.until {
            state.fault
        } else {
            HopFault::None
        }
    }

    async fn wait_for(&mut self, holds: impl Fn(HopFault) -> bool) {
        while !holds(self.fault()) {
            if self.state.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Copies until one side closes; true if the connection is to be reset.
    async fn copy(mut self, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, hold: HopFault) -> bool {
        let marker = if hold == HopFault::HoldRequests {
            REQUEST
        } else {
            ANSWER
        };
        let mut bytes = vec![0; 64 * 1024];
        let mut is_held = false;
        loop {
            let count = from.read(&mut bytes).await.unwrap_or(0);
            let position = find(&bytes[..count], marker);
            is_held = self.fault() == hold && (is_held || position.is_some());
            let holds = |fault| match fault {
                HopFault::HoldAll | HopFault::Reset => true,
                _ => is_held && fault == hold,
            };
            self.wait_for(|fault| !holds(fault)).await;
            if let Some(position) = position
                && marker == ANSWER
                && self.fault() == HopFault::ResetInAnswer
            {
                // The rest is never sent, so this write may fail as well.
                let _ = to.write_all(&bytes[..position + ANSWER.len() / 2]).await;
                return true;
            }
            if position.is_some()
                && marker == ANSWER
                && let HopFault::CutInAnswer {
                    bytes: end,
                    is_reset,
                } = self.fault()
            {
                // The other side may be gone, too.
                let _ = to.write_all(&bytes[..end.min(count)]).await;
                return is_reset;
            }
            if count == 0 || to.write_all(&bytes[..count]).await.is_err() {
                return false;
            }
        }
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

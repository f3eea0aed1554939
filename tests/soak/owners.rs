//! Finds the gateway that a connection comes from. All gateways read the same addresses
//! of upstreams, so that the address alone does not tell.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::task::block_in_place;
use tokio::time::Instant;

use crate::gateway::Gateway;
use crate::proxy::Proxy;
use crate::sock_diag::SockDiag;

/// Sockets of the gateways' processes at one time.
#[derive(Debug, Default)]
struct Scan {
    began_at: Option<Instant>,
    /// Gateways by the inodes of their sockets, which are not given out again.
    by_inode: HashMap<u32, usize>,
}

/// Number of look-ups and their times.
#[derive(Clone, Copy, Debug, Default)]
pub struct LookupTimes {
    pub count: u32,
    pub total: Duration,
    pub longest: Duration,
}

#[derive(Debug)]
pub struct Owners {
    gateways: Vec<(Arc<AtomicU32>, Proxy)>,
    sock_diag: Mutex<SockDiag>,
    scan: tokio::sync::Mutex<Scan>,
    /// Gateways by the address from which the proxy connects to the upstream.
    sources: Mutex<HashMap<SocketAddr, usize>>,
    times: Mutex<LookupTimes>,
}

impl Owners {
    pub fn of(gateways: &[Gateway]) -> Arc<Self> {
        let link = |gateway: &Gateway| (Arc::clone(&gateway.pid), gateway.upstream_link.clone());
        Arc::new(Self {
            gateways: gateways.iter().map(link).collect(),
            sock_diag: Mutex::new(SockDiag::open().unwrap()),
            scan: tokio::sync::Mutex::default(),
            sources: Mutex::default(),
            times: Mutex::default(),
        })
    }

    /// Returns the number and the link of the gateway that has just connected from an
    /// address to a proxy, or `None` if its socket is closed already.
    pub async fn of_connection(&self, from: SocketAddr, to: SocketAddr) -> Option<(usize, Proxy)> {
        let accepted_at = Instant::now();
        let number = self.find(from, to, accepted_at).await;
        let took = accepted_at.elapsed();
        {
            let mut times = self.times.lock().unwrap();
            times.count += 1;
            times.total += took;
            times.longest = times.longest.max(took);
        }
        let number = number?;
        Some((number, self.gateways[number].1.clone()))
    }

    async fn find(&self, from: SocketAddr, to: SocketAddr, accepted_at: Instant) -> Option<usize> {
        let inode = self.sock_diag.lock().unwrap().inode(from, to).unwrap()?;
        let mut scan = self.scan.lock().await;
        let is_known = scan.by_inode.contains_key(&inode);
        if !is_known && scan.began_at.is_none_or(|began_at| began_at < accepted_at) {
            *scan = block_in_place(|| self.scan_processes());
        }
        scan.by_inode.get(&inode).copied()
    }

    pub fn lookup_times(&self) -> LookupTimes {
        *self.times.lock().unwrap()
    }

    pub fn add_source(&self, source: SocketAddr, gateway: usize) {
        self.sources.lock().unwrap().insert(source, gateway);
    }

    /// The gateway whose connection a proxy relays from this address.
    pub fn of_source(&self, source: SocketAddr) -> Option<usize> {
        self.sources.lock().unwrap().get(&source).copied()
    }

    fn scan_processes(&self) -> Scan {
        let began_at = Some(Instant::now());
        let mut by_inode = HashMap::new();
        for (number, (pid, _)) in self.gateways.iter().enumerate() {
            let folder = format!("/proc/{}/fd", pid.load(Ordering::Relaxed));
            // A process that has ended has no sockets.
            let descriptors = std::fs::read_dir(folder).into_iter().flatten().flatten();
            let sockets = descriptors.filter_map(|descriptor| inode(&descriptor.path()));
            by_inode.extend(sockets.map(|inode| (inode, number)));
        }
        Scan { began_at, by_inode }
    }
}

/// The inode of a descriptor that is a socket.
fn inode(descriptor: &Path) -> Option<u32> {
    let target = std::fs::read_link(descriptor).ok()?;
    let inode = target.to_str()?.strip_prefix("socket:[")?;
    inode.trim_end_matches(']').parse().ok()
}

//! Upstreams that end when they begin to run certain requests, and start again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use chicorywing::gateway::store::Stream;
use futures::FutureExt;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::fake::FakeStore;
use super::upstream::{id_line, read_request};

/// Text whose presence in a request ends the upstream that runs it.
pub const POISON: &str = "poison";
/// Time after which an ended upstream is back.
pub const DOWN_TIME: Duration = Duration::from_millis(1_500);
/// Time that other requests run.
const WORK_TIME: Duration = Duration::from_millis(20);

/// An upstream that ends under requests that contain [`POISON`].
#[derive(Debug)]
pub struct FragileUpstream {
    pub id: String,
    pub address: SocketAddr,
    store: Arc<FakeStore>,
    is_behind_proxy: bool,
    /// Time after a start until it is reported, as by a heartbeat.
    report_delay: Duration,
    started_at_ms: AtomicUsize,
    running: AtomicUsize,
    ends: AtomicUsize,
    crash: Notify,
}

impl FragileUpstream {
    pub async fn start(store: &Arc<FakeStore>, id: &str) -> Arc<Self> {
        Self::start_with(store, id, false, Duration::ZERO).await
    }

    /// Starts one whose new processes serve for a while before their reports come.
    pub async fn start_reporting_late(
        store: &Arc<FakeStore>,
        id: &str,
        report_delay: Duration,
    ) -> Arc<Self> {
        Self::start_with(store, id, false, report_delay).await
    }

    /// Starts one whose address accepts connections while it is down, and closes them.
    pub async fn start_behind_proxy(store: &Arc<FakeStore>, id: &str) -> Arc<Self> {
        Self::start_with(store, id, true, Duration::ZERO).await
    }

    async fn start_with(
        store: &Arc<FakeStore>,
        id: &str,
        is_behind_proxy: bool,
        report_delay: Duration,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            store: Arc::clone(store),
            is_behind_proxy,
            report_delay,
            started_at_ms: AtomicUsize::new(unix_ms()),
            running: AtomicUsize::new(0),
            ends: AtomicUsize::new(0),
            crash: Notify::new(),
        });
        upstream.publish();
        tokio::spawn(Arc::clone(&upstream).run(listener));
        upstream
    }

    /// Number of times that it ended.
    pub fn ends(&self) -> usize {
        self.ends.load(Ordering::Relaxed)
    }

    /// Ends it now, for a reason that no request is to blame for.
    pub fn end(&self) {
        self.crash.notify_one();
    }

    fn publish(&self) {
        let started_at_ms = self.started_at_ms.load(Ordering::Relaxed);
        let report = format!("ready {} {started_at_ms}", self.address);
        self.store.write(Stream::Upstreams, &self.id, Some(&report));
    }

    async fn run(self: Arc<Self>, first: TcpListener) {
        let mut listener = first;
        loop {
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    Ok((stream, _)) = listener.accept() => {
                        connections.spawn(Arc::clone(&self).serve(stream));
                    }
                    Some(_) = connections.join_next() => {}
                    () = self.crash.notified() => break,
                }
            }
            self.ends.fetch_add(1, Ordering::Relaxed);
            if self.is_behind_proxy {
                connections.shutdown().await;
                // Accepted connections are dropped.
                let _ = timeout(DOWN_TIME, async {
                    while listener.accept().await.is_ok() {}
                })
                .await;
            } else {
                drop(listener);
                connections.shutdown().await;
                sleep(DOWN_TIME).await;
                listener = rebind(self.address).await;
            }
            // Of several requests in flight that end it, each has asked for its end.
            let _ = self.crash.notified().now_or_never();
            self.running.store(0, Ordering::Relaxed);
            self.started_at_ms.store(unix_ms(), Ordering::Relaxed);
            let reporting = Arc::clone(&self);
            tokio::spawn(async move {
                sleep(reporting.report_delay).await;
                reporting.publish();
            });
        }
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        while let Some(text) = read_request(&mut stream).await {
            let id = id_line(&text);
            if text.starts_with("GET /health ") {
                let running = self.running.load(Ordering::Relaxed);
                let answer = format!(
                    "HTTP/1.1 200 OK\r\n{id}t-upstream: {}\r\nt-load: {running},0,2,100\r\n\
                     content-length: 0\r\n\r\n",
                    self.id
                );
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            if text.contains(POISON) {
                self.crash.notify_one();
                std::future::pending::<()>().await;
            }
            self.running.fetch_add(1, Ordering::Relaxed);
            sleep(WORK_TIME).await;
            self.running.fetch_sub(1, Ordering::Relaxed);
            let answer = format!(
                "HTTP/1.1 200 OK\r\n{id}t-stamp: {}\r\ncontent-length: 4\r\n\r\ngood",
                self.id
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

fn unix_ms() -> usize {
    usize::try_from(std::time::UNIX_EPOCH.elapsed().unwrap().as_millis()).unwrap()
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    }
}

//! An upstream with slots, a queue, a cold start and faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::ledger::Run;
use crate::wire::{self, Message};
use crate::world::World;

/// Requests that run at once; as many may wait.
pub const SLOTS: usize = 2;
/// Time that one request takes.
const WORK: Duration = Duration::from_millis(40);
/// Time for which an upstream is cold.
const COLD_MS: u64 = 3_000;

/// What an upstream does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Work takes so many times as long.
    Slow(u32),
    /// Every request is answered with 500.
    Errors,
    /// Requests are taken and never answered.
    Hangs,
    /// Requests are turned down although there is room.
    Sheds,
    /// Requests run, and their answer is lost with the connection.
    LosesAnswers,
    /// Answers end in the middle.
    Truncates,
    /// An answer to another request comes before each answer.
    Strays,
    /// It calls itself unhealthy and serves.
    LooksIll,
}

/// Where an upstream is and what it is called.
#[derive(Clone, Debug)]
pub struct Place {
    pub id: String,
    pub service: &'static str,
    pub data_centre: &'static str,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where callers find it: the proxy before it.
    pub listed: SocketAddr,
}

#[derive(Debug)]
pub struct Upstream {
    pub place: Place,
    world: std::sync::Weak<World>,
    fault: watch::Sender<Fault>,
    slots: Semaphore,
    waiting: AtomicUsize,
    cold_until_ms: AtomicU64,
    leaving_ms: AtomicU64,
    sequence: AtomicU64,
    is_gone: AtomicBool,
}

/// An upstream with the task that serves it.
#[derive(Debug)]
pub struct Running {
    pub upstream: Arc<Upstream>,
    task: JoinHandle<()>,
}

impl Running {
    pub async fn start(world: &Arc<World>, place: Place, is_cold: bool) -> Self {
        let cold_until_ms = if is_cold { world.now_ms() + COLD_MS } else { 0 };
        let upstream = Arc::new(Upstream {
            place,
            world: Arc::downgrade(world),
            fault: watch::Sender::new(Fault::None),
            slots: Semaphore::new(SLOTS),
            waiting: AtomicUsize::new(0),
            cold_until_ms: AtomicU64::new(cold_until_ms),
            leaving_ms: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            is_gone: AtomicBool::new(false),
        });
        let listener = bind(upstream.place.address).await;
        let server = Arc::clone(&upstream);
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(Arc::clone(&server).serve(stream));
            }
        });
        upstream.report(world);
        Self { upstream, task }
    }

    /// Ends at once: all of its connections close, and its entry stays.
    pub async fn crash(self) {
        self.upstream.is_gone.store(true, Ordering::Relaxed);
        self.task.abort();
        // The port is free once the task has ended; that it was aborted is known.
        let _ = self.task.await;
    }
}

/// Binds the address of an upstream that has just ended.
async fn bind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    }
}

impl Upstream {
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Turns cold again.
    pub fn chill(&self, world: &World) {
        self.cold_until_ms
            .store(world.now_ms() + COLD_MS, Ordering::Relaxed);
    }

    /// Reports that it leaves.
    pub fn drain(&self, world: &World) {
        self.leaving_ms.store(world.now_ms(), Ordering::Relaxed);
        self.report(world);
    }

    /// Writes its entry.
    pub fn report(&self, world: &World) {
        let is_leaving = self.leaving_ms.load(Ordering::Relaxed) > 0;
        let entry = serde_json::json!({
            "service": self.place.service,
            "addr": self.place.listed.to_string(),
            "zone": self.place.data_centre,
            "version": "v1",
            "slots": SLOTS,
            "state": if is_leaving { "draining" } else { "ready" },
            "warmup-left": format!("{}ms", self.cold_left_ms(world)),
            "seq": self.sequence.fetch_add(1, Ordering::Relaxed),
            "born": 1_700_000_000_000_u64,
        });
        world.store.put(
            "keyed.servers",
            &self.place.id,
            entry.to_string().as_bytes(),
        );
    }

    fn cold_left_ms(&self, world: &World) -> u64 {
        let until_ms = self.cold_until_ms.load(Ordering::Relaxed);
        until_ms.saturating_sub(world.now_ms())
    }

    fn load(&self) -> String {
        let running = SLOTS - self.slots.available_permits();
        format!(
            "{running},{},{SLOTS},100",
            self.waiting.load(Ordering::Relaxed)
        )
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(request) = wire::read(&mut stream).await {
            let Some(world) = self.world.upgrade() else {
                return;
            };
            let is_kept = self.answer(&world, &request, &mut stream).await;
            if !is_kept {
                return;
            }
        }
    }

    /// Answers a request; false where the connection ends.
    async fn answer(
        &self,
        world: &World,
        request: &Message,
        stream: &mut BufReader<TcpStream>,
    ) -> bool {
        let id = request.header("x-request-id");
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.place.id {
            let headers = [("x-request-id", id), ("x-instance-id", &self.place.id)];
            let first = "HTTP/1.1 421 Misdirected";
            return wire::write(stream, first, &headers, b"").await.is_ok();
        }
        let load = self.load();
        let fault = *self.fault.borrow();
        if request.words().1 == "/healthz" {
            let is_ill = fault == Fault::LooksIll || self.leaving_ms.load(Ordering::Relaxed) > 0;
            let first = if is_ill {
                "HTTP/1.1 503 Ill"
            } else {
                "HTTP/1.1 200 Well"
            };
            let cold_ms = self.cold_left_ms(world).to_string();
            let headers = [
                ("x-request-id", id),
                ("x-instance-id", self.place.id.as_str()),
                ("x-server-load", &load),
                ("x-warmup-ms", &cold_ms),
            ];
            return wire::write(stream, first, &headers, b"").await.is_ok();
        }
        let is_full = self.waiting.load(Ordering::Relaxed) >= SLOTS;
        if fault == Fault::Sheds || is_full {
            let headers = [("x-request-id", id), ("x-not-executed", "1")];
            let first = "HTTP/1.1 503 Full";
            return wire::write(stream, first, &headers, b"").await.is_ok();
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let slot = self.slots.acquire().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let number = world.ledger.on_run(self.run(world, request));
        let is_whole = self.work(fault, stream).await;
        world.ledger.on_run_ended(number, world.now_ms());
        drop(slot);
        is_whole && self.reply(fault, request, stream).await
    }

    fn run(&self, world: &World, request: &Message) -> Run {
        let (method, target) = request.words();
        let leaving_ms = self.leaving_ms.load(Ordering::Relaxed);
        Run {
            id: request.header("x-request-id").to_owned(),
            upstream: self.place.id.clone(),
            service: self.place.service,
            data_centre: self.place.data_centre,
            request: format!(
                "{method} {target} {}",
                String::from_utf8_lossy(&request.body)
            ),
            at_ms: world.now_ms(),
            ended_ms: None,
            was_cold: self.cold_left_ms(world) > 0,
            leaving_ms: (leaving_ms > 0).then_some(leaving_ms),
        }
    }

    /// Works on a request; false where its connection closes meanwhile.
    async fn work(&self, fault: Fault, stream: &mut BufReader<TcpStream>) -> bool {
        let time = match fault {
            Fault::Slow(factor) => WORK * factor,
            Fault::Hangs => Duration::from_mins(1),
            _ => WORK,
        };
        let mut byte = [0];
        tokio::select! {
            peeked = stream.get_ref().peek(&mut byte) => peeked.is_ok_and(|count| count > 0),
            () = sleep(time) => true,
        }
    }

    async fn reply(
        &self,
        fault: Fault,
        request: &Message,
        stream: &mut BufReader<TcpStream>,
    ) -> bool {
        use tokio::io::AsyncWriteExt;
        let id = request.header("x-request-id");
        let (method, target) = request.words();
        let body = format!(
            "{id} {method} {target} {}",
            String::from_utf8_lossy(&request.body)
        );
        let stamp = [
            ("x-request-id", id),
            ("x-server-stamp", self.place.id.as_str()),
        ];
        let good = "HTTP/1.1 200 OK";
        match fault {
            Fault::Errors => {
                let first = "HTTP/1.1 500 Failed";
                wire::write(stream, first, &stamp, b"failed").await.is_ok()
            }
            Fault::LosesAnswers => false,
            Fault::Truncates => {
                let text = format!(
                    "{good}\r\nx-request-id: {id}\r\nx-server-stamp: s\r\ncontent-length: 9999\r\n\r\n{id}"
                );
                // The connection ends here in any case.
                let _ = stream.get_mut().write_all(text.as_bytes()).await;
                false
            }
            Fault::Strays => {
                let stray = [("x-request-id", "stray"), ("x-server-stamp", "s")];
                let strayed = wire::write(stream, good, &stray, b"stray").await;
                strayed.is_ok()
                    && wire::write(stream, good, &stamp, body.as_bytes())
                        .await
                        .is_ok()
            }
            _ => wire::write(stream, good, &stamp, body.as_bytes())
                .await
                .is_ok(),
        }
    }
}

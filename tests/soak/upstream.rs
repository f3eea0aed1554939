//! Stand-in for an upstream with slots, a queue, a warm-up and faults.

mod reply;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::env::TestEnv;
use crate::ledger::{Arrival, NamedLimit, Run};
use crate::wire::{self, Message};
use crate::{crashing, faults, slow_stops};

/// Maximum number of requests that run at once, and of those that wait.
pub const SLOTS: usize = 2;
/// Time that a request runs.
const WORK_TIME: Duration = Duration::from_millis(40);
/// Time that an upstream stays cold after a cold start.
const WARM_UP_MS: u64 = 3_000;

/// How an upstream misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Requests run this many times as long.
    Slow(u32),
    /// Requests run this long.
    Works(Duration),
    /// Every request is answered with 500.
    Errors,
    /// Requests are accepted and not answered for a minute.
    Hangs,
    /// Requests are rejected as not run although there is room.
    ShedsLoad,
    /// Requests run, but the connection closes without an answer.
    LosesAnswers,
    /// The connection closes in the middle of an answer.
    Truncates,
    /// An answer with the id of another request precedes each answer.
    SendsStrayAnswers,
    /// Answers are sent without end.
    SendsEndlessAnswers,
    /// Health checks report it as unhealthy although it serves requests.
    ReportsUnhealthy,
    /// Nothing is answered until the fault ends, as by a stopped process.
    Frozen,
}

/// Values of headers that an upstream sends, each in a header of its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct Said {
    /// `Server-Leaving`, in all answers.
    pub leaving: &'static [&'static str],
    /// `Retry-After`, in the 503 by which every second request is then turned away.
    pub retry_after: &'static [&'static str],
}

/// Identity and addresses of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamConfig {
    pub id: String,
    pub service: &'static str,
    pub data_centre: &'static str,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Address in its entry in the store, which is that of the proxy before it.
    pub advertised_address: SocketAddr,
}

#[derive(Debug)]
pub struct Upstream {
    pub config: UpstreamConfig,
    env: std::sync::Weak<TestEnv>,
    fault: watch::Sender<Fault>,
    slot_count: usize,
    slots: Semaphore,
    waiting: AtomicUsize,
    cold_until_ms: AtomicU64,
    draining_since_ms: AtomicU64,
    sequence: AtomicU64,
    started_at_unix_ms: u64,
    is_gone: AtomicBool,
    limit: Mutex<Option<String>>,
    said: Mutex<Said>,
    /// Number of requests that it turned away or could have.
    turns: AtomicUsize,
}

/// An upstream with the task that serves it.
#[derive(Debug)]
pub struct RunningUpstream {
    pub upstream: Arc<Upstream>,
    task: JoinHandle<()>,
}

impl RunningUpstream {
    pub async fn start(env: &Arc<TestEnv>, config: UpstreamConfig, is_cold: bool) -> Self {
        let cold_until_ms = if is_cold {
            env.now_ms() + WARM_UP_MS
        } else {
            0
        };
        let slot_count = slow_stops::slots(env.seed).unwrap_or(SLOTS);
        let upstream = Arc::new(Upstream {
            config,
            env: Arc::downgrade(env),
            fault: watch::Sender::new(Fault::None),
            slot_count,
            slots: Semaphore::new(slot_count),
            waiting: AtomicUsize::new(0),
            cold_until_ms: AtomicU64::new(cold_until_ms),
            draining_since_ms: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            started_at_unix_ms: unix_ms(),
            is_gone: AtomicBool::new(false),
            limit: Mutex::default(),
            said: Mutex::default(),
            turns: AtomicUsize::new(0),
        });
        let listener = bind(upstream.config.address).await;
        let server = Arc::clone(&upstream);
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(Arc::clone(&server).serve(stream));
            }
        });
        upstream.publish_entry(env);
        Self { upstream, task }
    }

    /// Stops at once: all connections close, and the entry in the store stays.
    pub async fn crash(self) {
        self.upstream.is_gone.store(true, Ordering::Relaxed);
        if let Some(env) = self.upstream.env.upgrade() {
            self.upstream.name_limit(&env, None);
        }
        self.task.abort();
        // The port is free once the task has ended. The result only says that it was
        // aborted.
        let _ = self.task.await;
    }
}

fn unix_ms() -> u64 {
    let since = std::time::UNIX_EPOCH.elapsed().unwrap();
    u64::try_from(since.as_millis()).unwrap()
}

/// Binds an address, with retries while the previous upstream still holds it.
async fn bind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    }
}

impl Upstream {
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Names a limit in each answer from now on, or none any more.
    pub fn name_limit(&self, env: &TestEnv, limit: Option<&str>) {
        let known = std::mem::replace(&mut *self.limit.lock().unwrap(), limit.map(str::to_owned));
        if known.is_none() && limit.is_none() {
            return;
        }
        env.ledger.named_limits().push(NamedLimit {
            upstream: self.config.id.clone(),
            limit: limit.map(str::to_owned),
            named_ms: env.now_ms(),
            first_told_ms: None,
        });
    }

    /// The limit to name in an answer that is sent now.
    fn told_limit(&self, env: &TestEnv) -> Option<String> {
        let limit = self.limit.lock().unwrap().clone()?;
        let mut named = env.ledger.named_limits();
        let newest = named
            .iter_mut()
            .rfind(|named| named.upstream == self.config.id)?;
        newest.first_told_ms.get_or_insert(env.now_ms());
        Some(limit)
    }

    /// Says this in its answers from now on.
    pub fn say(&self, said: Said) {
        *self.said.lock().unwrap() = said;
    }

    /// Makes the upstream cold again.
    pub fn restart_warm_up(&self, env: &TestEnv) {
        self.cold_until_ms
            .store(env.now_ms() + WARM_UP_MS, Ordering::Relaxed);
    }

    /// Reports to the store that the upstream is draining.
    pub fn drain(&self, env: &TestEnv) {
        self.draining_since_ms
            .store(env.now_ms(), Ordering::Relaxed);
        self.publish_entry(env);
    }

    /// Writes the upstream's entry to the store.
    pub fn publish_entry(&self, env: &TestEnv) {
        let is_draining = self.draining_since_ms.load(Ordering::Relaxed) > 0;
        let entry = serde_json::json!({
            "service": self.config.service,
            "addr": self.config.advertised_address.to_string(),
            "zone": self.config.data_centre,
            "version": "v1",
            "slots": self.slot_count,
            "state": if is_draining { "draining" } else { "ready" },
            "warmup-left": format!("{}ms", self.cold_left_ms(env)),
            "seq": self.sequence.fetch_add(1, Ordering::Relaxed),
            "born": self.started_at_unix_ms,
        });
        env.store.put(
            "keyed.servers",
            &self.config.id,
            entry.to_string().as_bytes(),
        );
    }

    fn cold_left_ms(&self, env: &TestEnv) -> u64 {
        let until_ms = self.cold_until_ms.load(Ordering::Relaxed);
        until_ms.saturating_sub(env.now_ms())
    }

    /// Value of the load header.
    fn load_header(&self) -> String {
        let slots = self.slot_count;
        let running = slots - self.slots.available_permits();
        format!(
            "{running},{},{slots},100",
            self.waiting.load(Ordering::Relaxed)
        )
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(request) = wire::read(&mut stream).await {
            let Some(env) = self.env.upgrade() else {
                return;
            };
            let keeps_alive = self.answer(&env, &request, &mut stream).await;
            if !keeps_alive {
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection stays open.
    async fn answer(
        &self,
        env: &TestEnv,
        request: &Message,
        stream: &mut BufReader<TcpStream>,
    ) -> bool {
        self.thaw().await;
        let id = request.header("x-request-id");
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.config.id {
            let headers = [("x-request-id", id), ("x-instance-id", &self.config.id)];
            let start_line = "HTTP/1.1 421 Misdirected";
            return self.write(stream, start_line, &headers, b"").await.is_ok();
        }
        let is_probe = request.start_fields().1 == "/healthz";
        let said = *self.said.lock().unwrap();
        let is_turned_away = !is_probe
            && !said.retry_after.is_empty()
            && self.turns.fetch_add(1, Ordering::Relaxed).is_multiple_of(2);
        if self.limit.lock().unwrap().is_some() || env.owners.is_some() {
            let source = stream.get_ref().peer_addr().ok();
            let owners = env.owners.as_ref();
            env.ledger.arrivals().push(Arrival {
                upstream: self.config.id.clone(),
                at_ms: env.now_ms(),
                is_probe,
                request: id.to_owned(),
                gateway: owners
                    .zip(source)
                    .and_then(|(owners, source)| owners.of_source(source)),
                is_leaving: said.leaving == ["1"],
                is_turned_away,
            });
        }
        if is_turned_away {
            let mut headers = vec![("x-request-id", id), ("x-not-executed", "1")];
            headers.extend(said.retry_after.iter().map(|value| ("retry-after", *value)));
            return self
                .write(stream, "HTTP/1.1 503 Not now", &headers, b"")
                .await
                .is_ok();
        }
        let load = self.load_header();
        let fault = *self.fault.borrow();
        if is_probe {
            let is_unhealthy = fault == Fault::ReportsUnhealthy
                || self.draining_since_ms.load(Ordering::Relaxed) > 0;
            let start_line = if is_unhealthy {
                "HTTP/1.1 503 Ill"
            } else {
                "HTTP/1.1 200 Well"
            };
            let cold_ms = self.cold_left_ms(env).to_string();
            let limit = self.told_limit(env);
            let mut headers = vec![
                ("x-request-id", id),
                ("x-instance-id", self.config.id.as_str()),
                ("x-server-load", &load),
                ("x-warmup-ms", &cold_ms),
            ];
            headers.extend(limit.as_deref().map(|limit| ("server-limit", limit)));
            return self.write(stream, start_line, &headers, b"").await.is_ok();
        }
        let is_full = self.waiting.load(Ordering::Relaxed) >= self.slot_count;
        if fault == Fault::ShedsLoad || is_full {
            let headers = [("x-request-id", id), ("x-not-executed", "1")];
            let start_line = "HTTP/1.1 503 Full";
            return self.write(stream, start_line, &headers, b"").await.is_ok();
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let slot = self.slots.acquire().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let is_crashing = request.start_line.contains(crashing::MARK)
            || request.body.starts_with(crashing::MARK.as_bytes());
        if is_crashing {
            env.ledger.crashes_ms().push(env.now_ms());
            faults::crash_and_replace(&self.env, self.config.id.clone());
            std::future::pending::<()>().await;
        }
        let index = env.ledger.start_run(self.new_run(env, request));
        let is_connected = self.work(fault, stream).await;
        self.thaw().await;
        env.ledger.end_run(index, env.now_ms(), !is_connected);
        drop(slot);
        is_connected && self.reply(env, fault, request, stream).await
    }

    /// Writes an answer, with what the upstream says in all of them.
    async fn write(
        &self,
        stream: &mut BufReader<TcpStream>,
        start_line: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> std::io::Result<()> {
        let mut headers = headers.to_vec();
        let leaving = self.said.lock().unwrap().leaving;
        headers.extend(leaving.iter().map(|value| ("server-leaving", *value)));
        wire::write(stream, start_line, &headers, body).await
    }

    /// Waits while the upstream is frozen.
    async fn thaw(&self) {
        let mut fault = self.fault.subscribe();
        // The sender is a field of this upstream and exists as long as it.
        let _ = fault.wait_for(|fault| *fault != Fault::Frozen).await;
    }

    fn new_run(&self, env: &TestEnv, request: &Message) -> Run {
        let (method, target) = request.start_fields();
        let draining_since_ms = self.draining_since_ms.load(Ordering::Relaxed);
        Run {
            id: request.header("x-request-id").to_owned(),
            upstream: self.config.id.clone(),
            service: self.config.service,
            data_centre: self.config.data_centre,
            request: format!(
                "{method} {target} {}",
                String::from_utf8_lossy(&request.body)
            ),
            started_ms: env.now_ms(),
            ended_ms: None,
            is_broken_off: false,
            was_cold: self.cold_left_ms(env) > 0,
            draining_since_ms: (draining_since_ms > 0).then_some(draining_since_ms),
        }
    }

    /// Runs a request. Returns false if its connection closed meanwhile.
    async fn work(&self, fault: Fault, stream: &mut BufReader<TcpStream>) -> bool {
        let time = match fault {
            Fault::Slow(factor) => WORK_TIME * factor,
            Fault::Works(time) => time,
            Fault::Hangs => Duration::from_mins(1),
            _ => WORK_TIME,
        };
        let mut byte = [0];
        tokio::select! {
            peeked = stream.get_ref().peek(&mut byte) => peeked.is_ok_and(|count| count > 0),
            () = sleep(time) => true,
        }
    }
}

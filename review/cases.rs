//! Stand-ins for the review's scripts: the platform's store, backends, consumers and a
//! narrow link, all on loopback; it starts the gateways as processes.
//!
//! `cases CASE RECORD` plays a case, writes what was sent, answered and run to RECORD, and
//! exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["perth-a", "perth-b", "perth-c"];
const SERVICE: &str = "dispatch-desk";
const HOST: &str = "robots.example";
/// End of the path of a request that crashes each backend that begins to run it.
const POISON: &str = "/poison";
/// Time for which a crashed backend is down.
const DOWN_TIME: Duration = Duration::from_secs(2);
const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
/// Time after which a case that hangs is given up.
const CASE_LIMIT: Duration = Duration::from_secs(110);

/// Processes that the case has started and not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case and its processes after [`CASE_LIMIT`].
fn watch() {
    thread::spawn(|| {
        sleep(CASE_LIMIT);
        for process in STARTED.lock().unwrap().iter() {
            // SAFETY: each one is a child that has not been waited for.
            unsafe { kill(*process as i32, SIGKILL) };
        }
        eprintln!("the case did not end in time");
        std::process::exit(2);
    });
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
}

/// What was sent, answered and run, with the time since the start of the case.
struct Record {
    began: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    fn add(&self, line: impl Into<String>) {
        let entry = (self.began.elapsed(), line.into());
        self.lines.lock().unwrap().push(entry);
    }

    fn text(&self) -> String {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:8.3} {line}", at.as_secs_f64());
        }
        text
    }
}

struct Message {
    start: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(known, _)| *known == name);
        found.map_or(String::new(), |(_, value)| value.to_owned())
    }
}

/// Reads a message with a length; the error tells how much of it had come.
fn read_message(stream: &mut TcpStream) -> Result<Message, String> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 * 1024];
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            break end + 4;
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Err(format!("closed after {} bytes", bytes.len())),
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
            Err(error) => return Err(format!("{error} after {} bytes", bytes.len())),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.lines();
    let start = lines.next().unwrap_or_default().to_owned();
    let mut headers = Vec::new();
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let mut message = Message {
        start,
        headers,
        body: bytes.split_off(head_end),
    };
    let length: usize = message
        .header("content-length")
        .map_or(0, |value| value.parse().unwrap_or(0));
    while message.body.len() < length {
        let have = message.body.len();
        let status = message.start.clone();
        let broken = |why: String| format!("{status}, then {why} at {have} of {length} bytes");
        match stream.read(&mut chunk) {
            Ok(0) => return Err(broken("closed".to_owned())),
            Ok(count) => message.body.extend_from_slice(&chunk[..count]),
            Err(error) => return Err(broken(error.to_string())),
        }
    }
    message.body.truncate(length);
    Ok(message)
}

fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// A port that nobody listens at, below those that the system gives to outgoing connections.
fn free_port() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    loop {
        let number = std::process::id() as usize * 64 + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 12_000 + (number % 20_000) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("its address");
        }
    }
}

// ---- the platform's store

type Topic = Vec<(String, Vec<u8>)>;

#[derive(Default)]
struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    written: Condvar,
    era: AtomicUsize,
    is_away: AtomicBool,
}

impl Store {
    fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let (listener, address) = listen();
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&server);
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.written.notify_all();
    }

    /// Number of records of each topic, as a copy of the store has them.
    fn lengths(&self) -> BTreeMap<String, usize> {
        let topics = self.topics.lock().unwrap();
        let lengths = topics.iter();
        lengths
            .map(|(name, records)| (name.clone(), records.len()))
            .collect()
    }

    /// Goes away and comes back from a copy.
    fn return_from(&self, copy: &BTreeMap<String, usize>, away: Duration) {
        self.is_away.store(true, Ordering::SeqCst);
        self.written.notify_all();
        sleep(away);
        let mut topics = self.topics.lock().unwrap();
        for (name, records) in topics.iter_mut() {
            records.truncate(copy.get(name).copied().unwrap_or(0));
        }
        self.era.fetch_add(1, Ordering::SeqCst);
        self.is_away.store(false, Ordering::SeqCst);
    }

    fn is_away(&self) -> bool {
        self.is_away.load(Ordering::SeqCst)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok(request) = read_message(&mut stream) {
            if self.is_away() {
                return;
            }
            let topic = request.query("topic");
            let target = request.target().to_owned();
            let body = if target.starts_with("/api/log-append") {
                self.append(&topic, &request.body)
            } else if target.starts_with("/api/log-newest") {
                self.newest(&topic)
            } else {
                let from = request.query("from").parse().unwrap_or(0);
                let wait_ms = request.query("wait-ms").parse().unwrap_or(0);
                self.read(&topic, from, Duration::from_millis(wait_ms))
            };
            if self.is_away() {
                return;
            }
            let era = self.era.load(Ordering::SeqCst).to_string();
            let status = if body.is_empty() {
                "410 Gone"
            } else {
                "200 OK"
            };
            if write_answer(&mut stream, status, &[("Store-Era", era)], &body).is_err() {
                return;
            }
        }
    }

    fn append(&self, topic: &str, body: &[u8]) -> Vec<u8> {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        let mut rest = body;
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + length];
            let key_end = 1 + usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            records.push((key, record[key_end..].to_vec()));
            rest = &rest[4 + length..];
        }
        self.written.notify_all();
        format!("{{\"offset\":{offset},\"end\":{}}}", records.len()).into_bytes()
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let mut items = Vec::new();
        for (key, (offset, value)) in newest {
            if !value.is_empty() {
                let value = base64(value);
                items.push(format!(
                    "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
                ));
            }
        }
        let (items, end) = (items.join(","), records.len());
        format!("{{\"items\":[{items}],\"more\":false,\"end\":{end}}}").into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.entry(topic.to_owned()).or_default().len();
            if end < from {
                return Vec::new();
            }
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() || self.is_away() {
                break;
            }
            topics = self.written.wait_timeout(topics, left).unwrap().0;
        }
        let records = &topics[topic];
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            let length = (1 + key.len() + value.len()) as u32;
            body.extend_from_slice(&length.to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        body
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(*part.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= part.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

// ---- backends

/// How a backend answers the requests that it runs.
#[derive(Clone, Copy, PartialEq)]
enum Answer {
    /// 200 with the stamp and a body of this many bytes.
    Bytes(usize),
    /// The same, but every second request fails with 503 or 429, without `X-Not-Executed`.
    FailsBySecond,
}

struct Backend {
    id: String,
    address: SocketAddr,
    is_up: AtomicBool,
    born_ms: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    work: Duration,
    answer: Mutex<Answer>,
    running: AtomicUsize,
    runs_here: AtomicUsize,
    slots: usize,
    tells_load: bool,
    record: Arc<Record>,
    runs: Arc<Mutex<Vec<String>>>,
}

impl Backend {
    /// Accepts connections; after a crash it is back after [`DOWN_TIME`], at its address and
    /// under its id.
    fn listen(self: &Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let taken = listener
                .take()
                .or_else(|| TcpListener::bind(self.address).ok());
            let Some(open) = taken else {
                sleep(Duration::from_millis(10));
                continue;
            };
            let _ = open.set_nonblocking(true);
            self.born_ms.store(unix_ms(), Ordering::SeqCst);
            self.is_up.store(true, Ordering::SeqCst);
            while self.is_up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = open.accept() else {
                    sleep(Duration::from_micros(500));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let copy = stream.try_clone().expect("a descriptor");
                self.connections.lock().unwrap().push(copy);
                let backend = Arc::clone(self);
                thread::spawn(move || backend.serve(stream));
            }
            drop(open);
            for stream in self.connections.lock().unwrap().drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            sleep(DOWN_TIME);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok(request) = read_message(&mut stream) {
            let id = request.header("x-request-id").unwrap_or("none").to_owned();
            let mut headers = vec![("X-Request-Id", id.clone())];
            let expected = request.header("x-expect-instance");
            let done = if expected.is_some_and(|expected| expected != self.id) {
                headers.push(("X-Instance-Id", self.id.clone()));
                write_answer(&mut stream, "421 Misdirected Request", &headers, b"")
            } else if request.target() == "/healthz" {
                headers.push(("X-Instance-Id", self.id.clone()));
                if self.tells_load {
                    headers.push(("X-Server-Load", self.load()));
                } else {
                    self.take_slot();
                    self.running.fetch_sub(1, Ordering::SeqCst);
                }
                write_answer(&mut stream, "200 OK", &headers, b"")
            } else {
                self.run(&mut stream, &request, &id, headers)
            };
            if done.is_err() {
                return;
            }
        }
    }

    fn load(&self) -> String {
        let running = self.running.load(Ordering::SeqCst);
        format!("{running},0,{},100", self.slots)
    }

    /// Waits for a slot; only a backend that doesn't tell its load is ever full here.
    fn take_slot(&self) {
        loop {
            let running = self.running.load(Ordering::SeqCst);
            let is_free = running < self.slots || self.tells_load;
            let (order, next) = (Ordering::SeqCst, running + 1);
            if is_free
                && self
                    .running
                    .compare_exchange(running, next, order, order)
                    .is_ok()
            {
                return;
            }
            sleep(Duration::from_millis(1));
        }
    }

    /// Works; false if the connection was closed meanwhile, which drops the request.
    fn work_while_wanted(&self, stream: &TcpStream) -> bool {
        let until = Instant::now() + self.work;
        while Instant::now() < until {
            sleep(Duration::from_millis(2));
            if is_closed(stream) {
                return false;
            }
        }
        true
    }

    fn run(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        id: &str,
        mut headers: Vec<(&str, String)>,
    ) -> io::Result<()> {
        let start = &request.start;
        self.take_slot();
        if is_closed(stream) {
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.record
                .add(format!("left      {id} the queue of {}, not run", self.id));
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.runs.lock().unwrap().push(id.to_owned());
        self.record
            .add(format!("run       {id} at {}: {start}", self.id));
        if request.target().ends_with(POISON) {
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.record.add(format!("crash     {} under {id}", self.id));
            self.is_up.store(false, Ordering::SeqCst);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let is_wanted = self.work_while_wanted(stream);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if !is_wanted {
            self.record.add(format!(
                "dropped   {id} at {}: its connection was closed",
                self.id
            ));
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if self.tells_load {
            headers.push(("X-Server-Load", self.load()));
        }
        headers.push(("X-Server-Stamp", format!("{}.{id}", self.id)));
        let answer = *self.answer.lock().unwrap();
        let (status, body) = match answer {
            Answer::Bytes(_) if id.starts_with("small") => ("200 OK", vec![b'r'; 400]),
            Answer::Bytes(count) => ("200 OK", vec![b'r'; count]),
            Answer::FailsBySecond => match self.runs_here.fetch_add(1, Ordering::SeqCst) % 4 {
                0 => ("503 Service Unavailable", b"failed while it ran".to_vec()),
                2 => ("429 Too Many Requests", b"failed while it ran".to_vec()),
                _ => ("200 OK", vec![b'r'; 400]),
            },
        };
        self.record.add(format!(
            "backend   {} answers {id}: {status}, {} bytes",
            self.id,
            body.len()
        ));
        write_answer(stream, status, &headers, &body)
    }
}

/// Whether the other side has closed a connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let is_closed = matches!(stream.peek(&mut [0]), Ok(0));
    let _ = stream.set_nonblocking(false);
    is_closed
}

// ---- a small deployment

struct Gateway {
    child: Child,
    file: PathBuf,
    caller: SocketAddr,
    ready: SocketAddr,
    has_exited: bool,
}

impl Gateway {
    fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    fn is_ready(&self) -> bool {
        let request = format!("GET /api/readyz HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = stream.write_all(request.as_bytes()).is_ok();
        sent && read_message(&mut stream).is_ok_and(|answer| answer.start.contains(" 200"))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        STARTED
            .lock()
            .unwrap()
            .retain(|process| *process != self.child.id());
        if !self.has_exited {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

struct Deployment {
    record: Arc<Record>,
    gateways: Vec<Gateway>,
    backends: Vec<Arc<Backend>>,
    runs: Arc<Mutex<Vec<String>>>,
    store: Arc<Store>,
    folder: PathBuf,
}

struct Shape {
    gateways: usize,
    backends: usize,
    slots: usize,
    /// Whether backends tell their load; otherwise probes wait for a slot like any request.
    tells_load: bool,
    attempts: usize,
    kind: &'static str,
    timeout_ms: u64,
    work: Duration,
    memory_mb: u64,
    answer: Answer,
}

impl Deployment {
    /// Starts gateways and backends of one service in three zones.
    fn start(shape: &Shape) -> Result<Self, String> {
        let record = Arc::new(Record {
            began: Instant::now(),
            lines: Mutex::default(),
        });
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let (store, store_address) = Store::start();
        let mut deployment = Self {
            record: Arc::clone(&record),
            gateways: Vec::new(),
            backends: Vec::new(),
            runs: Arc::default(),
            store: Arc::default(),
            folder,
        };
        let Shape {
            kind,
            timeout_ms,
            attempts,
            ..
        } = shape;
        store.put("keyed.op", "config", &format!(
            "{{\"version\":7,\"routes\":{{\"r-1\":{{\"host\":\"{HOST}\",\"path-prefix\":\"/dispatch/\",\"kind\":\"{kind}\",\"timeout\":\"{timeout_ms}ms\",\"target-latency\":\"1000ms\",\"priority\":1,\"service\":\"{SERVICE}\",\"attempts\":{attempts}}}}},\"services\":{{\"{SERVICE}\":{{\"health-path\":\"/healthz\",\"max-conns\":220,\"protocol\":\"h1\",\"tls\":false,\"warmup\":\"3s\",\"warmup-per-s\":21.0}}}},\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"}}}}"
        ));
        for number in 0..shape.backends {
            deployment.start_backend(number, shape, &store);
        }
        deployment.start_gateways(store_address, shape)?;
        deployment.store = store;
        Ok(deployment)
    }

    fn start_backend(&mut self, number: usize, shape: &Shape, store: &Arc<Store>) {
        let (listener, address) = listen();
        let backend = Arc::new(Backend {
            id: format!("i-{number}"),
            address,
            is_up: AtomicBool::new(true),
            born_ms: AtomicU64::new(unix_ms()),
            connections: Mutex::default(),
            work: shape.work,
            answer: Mutex::new(shape.answer),
            running: AtomicUsize::new(0),
            runs_here: AtomicUsize::new(0),
            slots: shape.slots,
            tells_load: shape.tells_load,
            record: Arc::clone(&self.record),
            runs: Arc::clone(&self.runs),
        });
        self.backends.push(Arc::clone(&backend));
        let zone = ZONES[number % 3];
        let serving = Arc::clone(&backend);
        thread::spawn(move || serving.listen(listener));
        let store = Arc::clone(store);
        thread::spawn(move || {
            for seq in 1.. {
                if backend.is_up.load(Ordering::SeqCst) {
                    let slots = backend.slots;
                    let (id, born) = (&backend.id, backend.born_ms.load(Ordering::SeqCst));
                    store.put("keyed.servers", id, &format!(
                        "{{\"service\":\"{SERVICE}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"warmup-left\":\"0ms\",\"seq\":{seq},\"born\":{born}}}"
                    ));
                }
                sleep(Duration::from_millis(1_500));
            }
        });
    }

    fn start_gateways(&mut self, store: SocketAddr, shape: &Shape) -> Result<(), String> {
        let mut ports: Vec<[SocketAddr; 4]> = Vec::new();
        let memory_mb = shape.memory_mb;
        for _ in 0..shape.gateways {
            ports.push([free_port(), free_port(), free_port(), free_port()]);
        }
        let seeds: Vec<String> = ports
            .iter()
            .map(|[.., peer]| format!("\"{peer}\""))
            .collect();
        let seeds = seeds[..seeds.len().min(3)].join(",");
        for (number, [caller, ready, metrics, peer]) in ports.into_iter().enumerate() {
            let file = self.folder.join(format!("gate-{number}.jsonc"));
            let zone = ZONES[number % 3];
            let text = format!(
                "{{\"name\":\"gate-{number}\",\"data_centre\":\"{zone}\",\"caller_address\":\"{caller}\",\"ready_address\":\"{ready}\",\"metrics_address\":\"{metrics}\",\"peer_address\":\"{peer}\",\"seeds\":[{seeds}],\"is_first_start\":\"true\",\"store_address\":\"{store}\",\"memory_limit_mb\":{memory_mb},\"stop_limit\":\"6s\",\"repeat_ratio\":\"0.2\",\"repeat_slack\":\"58\",\"repeat_window\":\"10s\",\"cold_factor\":\"1.5\",\"cold_slack\":\"5\",\"probes_per_s\":\"60\"}}"
            );
            std::fs::write(&file, text).map_err(|error| error.to_string())?;
            let child = spawn(&file)?;
            self.gateways.push(Gateway {
                child,
                file,
                caller,
                ready,
                has_exited: false,
            });
        }
        self.await_readiness()
    }

    /// Kills all gateways and starts them again after `down`.
    fn restart_gateways(&mut self, down: Duration) -> Result<(), String> {
        for gateway in &mut self.gateways {
            STARTED
                .lock()
                .unwrap()
                .retain(|process| *process != gateway.child.id());
            gateway.child.kill().map_err(|error| error.to_string())?;
            gateway.child.wait().map_err(|error| error.to_string())?;
            gateway.has_exited = true;
        }
        sleep(down);
        for gateway in &mut self.gateways {
            let text = std::fs::read_to_string(&gateway.file).map_err(|error| error.to_string())?;
            let text = text.replace(
                "\"is_first_start\":\"true\"",
                "\"is_first_start\":\"false\"",
            );
            std::fs::write(&gateway.file, text).map_err(|error| error.to_string())?;
            gateway.child = spawn(&gateway.file)?;
            gateway.has_exited = false;
        }
        self.await_readiness()
    }

    /// Waits until all are ready, then for a calm second more than `stable-window`.
    fn await_readiness(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.gateways.iter().all(Gateway::is_ready) {
            if Instant::now() > until {
                return Err("the gateways did not become ready".to_owned());
            }
            sleep(Duration::from_millis(100));
        }
        sleep(Duration::from_secs(4));
        Ok(())
    }

    fn has_run(&self, id: &str) -> bool {
        self.runs.lock().unwrap().iter().any(|run| run == id)
    }
}

fn spawn(settings: &PathBuf) -> Result<Child, String> {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))
        .map_err(|error| error.to_string())?;
    let errors = log.try_clone().map_err(|error| error.to_string())?;
    let child = Command::new("target/release/chicorywing-gateway")
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::from(log))
        .stderr(Stdio::from(errors))
        .spawn()
        .map_err(|error| format!("target/release/chicorywing-gateway: {error}"))?;
    STARTED.lock().unwrap().push(child.id());
    Ok(child)
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.gateways.clear();
        if std::env::var_os("KEEP_LOGS").is_some() {
            println!("logs: {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Sends one request on a connection and returns its answer, or how the connection ended.
fn request(
    record: &Record,
    stream: &mut TcpStream,
    id: &str,
    method: &str,
    deadline_ms: u64,
) -> Result<Message, String> {
    let path = if id.starts_with("poison") {
        POISON.to_owned()
    } else {
        format!("/{id}")
    };
    let body = if method == "GET" { "" } else { "room=412" };
    let text = format!(
        "{method} /dispatch{path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let _ = stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 1_000)));
    record.add(format!(
        "sent      {id}: {method}, deadline {deadline_ms} ms"
    ));
    if let Err(error) = stream.write_all(text.as_bytes()) {
        record.add(format!("not sent  {id}: {error}"));
        return Err(error.to_string());
    }
    let answer = read_message(stream);
    match &answer {
        Ok(answer) => record.add(format!(
            "answered  {id}: {}, {} bytes, whole",
            answer.start,
            answer.body.len()
        )),
        Err(error) => record.add(format!("cut       {id}: {error}")),
    }
    answer
}

/// Opens a connection with the segments of Ethernet and a small receive window, as between
/// machines; loopback alone would take megabytes at once.
fn connect_over_ethernet(address: SocketAddr) -> io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    // SAFETY: plain calls of the C library; the descriptor is owned by the stream.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &16_384, 4);
        setsockopt(stream.as_raw_fd(), IPPROTO_TCP, TCP_MAXSEG, &1_460, 4);
        let mut bytes = [0_u8; 16];
        bytes[0] = AF_INET as u8;
        bytes[2..4].copy_from_slice(&address.port().to_be_bytes());
        bytes[4..8].copy_from_slice(&[127, 0, 0, 1]);
        if connect(stream.as_raw_fd(), bytes.as_ptr(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// A proxy in place of a machine's own link: all its connections share its bandwidth.
struct Link {
    address: SocketAddr,
}

impl Link {
    fn start(target: SocketAddr, bytes_per_s: f64) -> Self {
        let (listener, address) = listen();
        let free_at = Arc::new(Mutex::new(Instant::now()));
        thread::spawn(move || {
            for consumer in listener.incoming().flatten() {
                let Ok(machine) = connect_over_ethernet(target) else {
                    continue;
                };
                let _ = consumer.set_nodelay(true);
                let _ = machine.set_nodelay(true);
                let up = (consumer.try_clone().unwrap(), machine.try_clone().unwrap());
                thread::spawn(move || copy(up.0, up.1, None));
                let free_at = Arc::clone(&free_at);
                thread::spawn(move || copy(machine, consumer, Some((free_at, bytes_per_s))));
            }
        });
        Self { address }
    }
}

/// Copies until the end; with a rate, each piece waits for its time on the link.
fn copy(mut from: TcpStream, mut to: TcpStream, rate: Option<(Arc<Mutex<Instant>>, f64)>) {
    let mut piece = [0; 8 * 1024];
    while let Ok(count) = from.read(&mut piece) {
        if count == 0 {
            break;
        }
        if let Some((free_at, bytes_per_s)) = &rate {
            let until = {
                let mut free_at = free_at.lock().unwrap();
                let takes = Duration::from_secs_f64(count as f64 / bytes_per_s);
                *free_at = (*free_at).max(Instant::now()) + takes;
                *free_at
            };
            sleep(until.saturating_duration_since(Instant::now()));
        }
        if to.write_all(&piece[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}

// ---- the cases

/// Broken promises, each with the request that shows it.
type Broken = Vec<String>;

/// A planned stop while answers are on their way over a machine's own link of 10 Mbit/s.
fn stop_on_a_narrow_link(trouble: bool) -> Result<(Arc<Record>, Broken), String> {
    const REQUESTS: usize = 2;
    let mut deployment = Deployment::start(&Shape {
        gateways: 3,
        backends: 6,
        slots: 4,
        tells_load: true,
        attempts: 2,
        kind: "unsafe",
        timeout_ms: 4_000,
        work: Duration::from_millis(100),
        memory_mb: 160,
        answer: Answer::Bytes(1_500_000),
    })?;
    let record = Arc::clone(&deployment.record);
    let link = Link::start(deployment.gateways[0].caller, 10e6 / 8.0);
    let mut kept = Vec::new();
    for number in 0..REQUESTS {
        let mut stream = TcpStream::connect(link.address).map_err(|error| error.to_string())?;
        request(
            &record,
            &mut stream,
            &format!("small-{number}"),
            "POST",
            3_000,
        )?;
        kept.push(stream);
    }
    let stopped_at = Instant::now();
    if trouble {
        record.add("SIGTERM   gate-0");
        deployment.gateways[0].signal(SIGTERM);
    }
    // On connections that stay open with the machine, still in the first half of the grace.
    sleep(Duration::from_millis(2_400));
    let mut consumers = Vec::new();
    for (number, mut stream) in kept.into_iter().enumerate() {
        let record = Arc::clone(&record);
        consumers.push(thread::spawn(move || {
            request(
                &record,
                &mut stream,
                &format!("book-{number}"),
                "POST",
                3_000,
            )
        }));
    }
    if trouble {
        let gateway = &mut deployment.gateways[0];
        let until = stopped_at + Duration::from_secs(6);
        while Instant::now() < until && !gateway.has_exited {
            if let Ok(Some(status)) = gateway.child.try_wait() {
                record.add(format!("exited    gate-0: {status}"));
                gateway.has_exited = true;
            }
            sleep(Duration::from_millis(5));
        }
    }
    let mut broken = Vec::new();
    for (number, consumer) in consumers.into_iter().enumerate() {
        let id = format!("book-{number}");
        let answer = consumer
            .join()
            .map_err(|_| "a consumer failed".to_owned())?;
        if let Err(error) = answer
            && deployment.has_run(&id)
        {
            broken.push(format!(
                "{id} was passed on and ran, and its answer was cut: {error}"
            ));
        }
    }
    Ok((record, broken))
}

/// One backend of six fails every second request that it runs, with 503 or 429 and without
/// `X-Not-Executed`; its health probe is good. Consumers send again after a promise only.
fn failure_passed_on_as_promise(trouble: bool) -> Result<(Arc<Record>, Broken), String> {
    const CHARGES: usize = 60;
    let deployment = Deployment::start(&Shape {
        gateways: 3,
        backends: 6,
        slots: 4,
        tells_load: true,
        attempts: 2,
        kind: "unsafe",
        timeout_ms: 2_000,
        work: Duration::from_millis(50),
        memory_mb: 260,
        answer: Answer::Bytes(400),
    })?;
    let record = Arc::clone(&deployment.record);
    if trouble {
        *deployment.backends[0].answer.lock().unwrap() = Answer::FailsBySecond;
    }
    let mut broken = Vec::new();
    for number in 0..CHARGES {
        let mut id = format!("charge-{number}");
        for attempt in 0..2 {
            let caller = deployment.gateways[(number + attempt) % 3].caller;
            let mut stream = TcpStream::connect(caller).map_err(|error| error.to_string())?;
            let answer = request(&record, &mut stream, &id, "POST", 2_000);
            let is_promise = answer.is_ok_and(|answer| {
                let status = answer
                    .start
                    .split(' ')
                    .nth(1)
                    .unwrap_or_default()
                    .to_owned();
                ["408", "421", "429", "503"].contains(&status.as_str())
            });
            if !is_promise {
                break;
            }
            if deployment.has_run(&id) {
                broken.push(format!("{id} was answered as not run, and has run"));
            }
            id.push_str("-again");
        }
    }
    Ok((record, broken))
}

/// A planned stop while the slots of all backends are in use. They are sound, but don't tell
/// their load, so that probes wait for a slot.
fn stop_with_full_backends(trouble: bool) -> Result<(Arc<Record>, Broken), String> {
    const BACKENDS: usize = 3;
    const SLOTS: usize = 2;
    const DEADLINE_MS: u64 = 2_900;
    let deployment = Deployment::start(&Shape {
        gateways: 3,
        backends: BACKENDS,
        slots: SLOTS,
        tells_load: false,
        attempts: 1,
        kind: "safe",
        timeout_ms: 3_000,
        work: Duration::from_millis(900),
        memory_mb: 260,
        answer: Answer::Bytes(400),
    })?;
    let record = Arc::clone(&deployment.record);
    let caller = deployment.gateways[0].caller;
    for number in 0..3 {
        let mut stream = TcpStream::connect(caller).map_err(|error| error.to_string())?;
        request(
            &record,
            &mut stream,
            &format!("before-{number}"),
            "GET",
            DEADLINE_MS,
        )?;
    }
    let mut callers = Vec::new();
    let mut send = |id: String| {
        let record = Arc::clone(&record);
        let name = id.clone();
        let sent = thread::spawn(move || {
            let mut stream = TcpStream::connect(caller).map_err(|error| error.to_string())?;
            request(&record, &mut stream, &name, "GET", DEADLINE_MS)
        });
        callers.push((id, sent));
    };
    for number in 0..BACKENDS * SLOTS {
        send(format!("first-{number}"));
        sleep(Duration::from_millis(15));
    }
    sleep(Duration::from_millis(60));
    if trouble {
        record.add("SIGTERM   gate-0");
        deployment.gateways[0].signal(SIGTERM);
    }
    sleep(Duration::from_millis(50));
    for number in 0..BACKENDS * SLOTS {
        send(format!("second-{number}"));
        sleep(Duration::from_millis(10));
    }
    let mut broken = Vec::new();
    for (id, caller) in callers {
        let answer = caller.join().map_err(|_| "a caller failed".to_owned())?;
        // The rule is one of planned stops: it says nothing of the same without SIGTERM.
        if let Ok(answer) = answer
            && trouble
            && deployment.has_run(&id)
            && answer.header("x-server-stamp").is_none()
        {
            let status = answer.start;
            broken.push(format!(
                "{id}: its backend was at work, and it got {status} in place of the answer"
            ));
        }
    }
    Ok((record, broken))
}

/// A request crashes each backend that begins to run it, and its caller sends it again 0.7 s
/// after each answer, at any machine. The deployment has one service with two backends.
fn poison_of_a_small_service(trouble: bool) -> Result<(Arc<Record>, Broken), String> {
    const REPEATED_FOR: Duration = Duration::from_secs(30);
    const PAUSE: Duration = Duration::from_millis(700);
    const STABLE_WINDOW: Duration = Duration::from_secs(3);
    const CRASHES: usize = 3;
    const ALLOWED: usize = 3;
    let deployment = Deployment::start(&Shape {
        gateways: 3,
        backends: 2,
        slots: 4,
        tells_load: true,
        attempts: 2,
        kind: "unsafe",
        timeout_ms: 1_000,
        work: Duration::from_millis(50),
        memory_mb: 260,
        answer: Answer::Bytes(400),
    })?;
    let record = Arc::clone(&deployment.record);
    let name = if trouble { "poison" } else { "harmless" };
    let until = Instant::now() + REPEATED_FOR;
    let mut ran_at = Vec::new();
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("{name}-{number}");
        let caller = deployment.gateways[number % 3].caller;
        let sent_at = record.began.elapsed();
        let mut stream = TcpStream::connect(caller).map_err(|error| error.to_string())?;
        let _ = request(&record, &mut stream, &id, "POST", 1_000);
        if deployment.has_run(&id) {
            ran_at.push(sent_at);
        }
        sleep(PAUSE);
    }
    let mut broken = Vec::new();
    if trouble {
        let third = *ran_at
            .get(CRASHES - 1)
            .ok_or("it crashed fewer than three backends")?;
        let later = ran_at
            .iter()
            .filter(|at| **at > third + STABLE_WINDOW)
            .count();
        record.add(format!(
            "{} runs, {later} of them later than allowed",
            ran_at.len()
        ));
        if later > ALLOWED {
            broken.push(format!(
                "it reached backends {later} times later than {STABLE_WINDOW:?} after the third crash, at most {ALLOWED} are allowed"
            ));
        }
    }
    Ok((record, broken))
}

/// A request that crashes backends is stopped; the store returns from a copy without that, and
/// all gateways lose power meanwhile. Later copies of it come at once.
fn stop_forgotten(trouble: bool) -> Result<(Arc<Record>, Broken), String> {
    const COPIES: usize = 8;
    const ALLOWED: usize = 3;
    let mut deployment = Deployment::start(&Shape {
        gateways: 8,
        backends: 14,
        slots: 4,
        tells_load: true,
        attempts: 2,
        kind: "unsafe",
        timeout_ms: 2_000,
        work: Duration::from_millis(50),
        memory_mb: 260,
        answer: Answer::Bytes(400),
    })?;
    let record = Arc::clone(&deployment.record);
    let copy = deployment.store.lengths();
    let send = |caller: SocketAddr, id: String| {
        let mut stream = TcpStream::connect(caller).map_err(|error| error.to_string())?;
        request(&record, &mut stream, &id, "POST", 2_000)
    };
    for number in 0..5 {
        let caller = deployment.gateways[number].caller;
        let _ = send(caller, format!("poison-{number}"));
        sleep(Duration::from_millis(100));
    }
    let before = deployment.runs.lock().unwrap().len();
    // The copy is some two seconds old when the store returns from it.
    sleep(Duration::from_millis(900));
    if trouble {
        record.add("drill     the store goes away, and all gateways lose power");
        let store = Arc::clone(&deployment.store);
        let drill = thread::spawn(move || store.return_from(&copy, Duration::from_millis(500)));
        deployment.restart_gateways(Duration::from_millis(900))?;
        drill.join().map_err(|_| "the drill failed".to_owned())?;
        record.add("drill     over for more than stable-window");
    } else {
        sleep(Duration::from_secs(6));
    }
    let mut callers = Vec::new();
    for number in 0..COPIES {
        let caller = deployment.gateways[number].caller;
        let record = Arc::clone(&record);
        callers.push(thread::spawn(move || {
            let mut stream = TcpStream::connect(caller).map_err(|error| error.to_string())?;
            request(
                &record,
                &mut stream,
                &format!("poison-later-{number}"),
                "POST",
                2_000,
            )
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    let later = deployment.runs.lock().unwrap().len() - before;
    let mut broken = Vec::new();
    if before < ALLOWED {
        return Err(format!("it crashed only {before} backends at first"));
    }
    if later > ALLOWED {
        broken.push(format!(
            "it reached backends {later} times more, at most {ALLOWED} are allowed"
        ));
    }
    Ok((record, broken))
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("cases CASE RECORD");
        std::process::exit(2);
    };
    watch();
    let trouble = !std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let played = match case.as_str() {
        "stop-on-a-narrow-link" => stop_on_a_narrow_link(trouble),
        "failure-passed-on-as-promise" => failure_passed_on_as_promise(trouble),
        "poison-of-a-small-service" => poison_of_a_small_service(trouble),
        "stop-forgotten" => stop_forgotten(trouble),
        "stop-with-full-backends" => stop_with_full_backends(trouble),
        _ => Err(format!("no case is called {case}")),
    };
    let (record, broken) = match played {
        Ok(played) => played,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            std::process::exit(2);
        }
    };
    let mut text = record.text();
    for line in &broken {
        let _ = writeln!(text, "broken: {line}");
    }
    let _ = writeln!(
        text,
        "trouble: {trouble}; broken promises: {}",
        broken.len()
    );
    if let Err(error) = std::fs::write(path, &text) {
        eprintln!("{path}: {error}");
        std::process::exit(2);
    }
    print!("{text}");
    std::process::exit(i32::from(!broken.is_empty()));
}

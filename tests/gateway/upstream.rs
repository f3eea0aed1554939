//! A fake upstream whose responses, faults and probe results the tests choose.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;

/// Pause between the bytes of [`Behaviour::EndlessTrickle`].
const TRICKLE_PAUSE: Duration = Duration::from_millis(20);

/// How the upstream treats requests other than probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers 200 after this delay.
    Serve(Duration),
    /// Answers 200 with a body of this many bytes.
    ServeBytes(usize),
    /// Answers 500.
    Fail,
    /// Runs the request and fails it with this status, without saying that it has not run.
    FailWith(u16),
    /// Answers that it did not run the request.
    Shed,
    /// Answers 421: another upstream was expected.
    Misdirect,
    /// Reads the request, then resets the connection.
    Reset,
    /// Never answers.
    Hang,
    /// Declares a longer body than it sends.
    Truncate,
    /// Answers 200 without the stamp of an upstream.
    Unstamped,
    /// Sends the response to another request before its own.
    Stray,
    /// Sends a head, and then chunks of a body without end.
    EndlessBody,
    /// Sends a body without length or end.
    EndlessUnframedBody,
    /// Sends headers without end.
    EndlessHead,
    /// Sends interim responses without end.
    EndlessInterimResponses,
    /// Sends a body and then trailers without end.
    EndlessTrailers,
    /// Sends a head and then a byte of a body each 20 ms without end.
    EndlessTrickle,
}

#[derive(Debug)]
struct State {
    behaviour: Behaviour,
    load: String,
    cold_ms: String,
    probe_delay: Duration,
    closes_after_probe: bool,
    ends_at_probe: bool,
    is_unhealthy: bool,
    runs: Vec<String>,
    probes: usize,
    disconnects: usize,
    bytes_held: usize,
    peak_bytes_held: usize,
}

/// A running fake upstream.
#[derive(Clone, Debug)]
pub struct FakeUpstream {
    pub id: Arc<str>,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    ended: Arc<Notify>,
    listener_closed: Arc<Notify>,
}

impl FakeUpstream {
    pub async fn start(id: &str, behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Self {
            id: id.into(),
            address: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(State {
                behaviour,
                load: "0,0,2,100".to_owned(),
                cold_ms: "0".to_owned(),
                probe_delay: Duration::ZERO,
                closes_after_probe: false,
                ends_at_probe: false,
                is_unhealthy: false,
                runs: Vec::new(),
                probes: 0,
                disconnects: 0,
                bytes_held: 0,
                peak_bytes_held: 0,
            })),
            ended: Arc::default(),
            listener_closed: Arc::default(),
        };
        let server = upstream.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    () = server.ended.notified() => break,
                    Ok((stream, _)) = listener.accept() => {
                        let server = server.clone();
                        tokio::spawn(async move { server.serve(stream).await });
                    }
                }
            }
            drop(listener);
            server.listener_closed.notify_one();
        });
        upstream
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.lock().unwrap().behaviour = behaviour;
    }

    pub fn set_load(&self, load: &str) {
        load.clone_into(&mut self.state.lock().unwrap().load);
    }

    pub fn set_cold_left(&self, cold_ms: &str) {
        cold_ms.clone_into(&mut self.state.lock().unwrap().cold_ms);
    }

    pub fn set_probe_delay(&self, time: Duration) {
        self.state.lock().unwrap().probe_delay = time;
    }

    /// Makes it answer probes with 503, as an unhealthy or leaving upstream does.
    pub fn report_unhealthy(&self) {
        self.state.lock().unwrap().is_unhealthy = true;
    }

    /// Makes it close each connection after a probe, announced by `connection: close`.
    pub fn close_after_probes(&self) {
        self.state.lock().unwrap().closes_after_probe = true;
    }

    /// Makes it close its listener, and the connection, at the next probe.
    pub fn end_at_probe(&self) {
        let mut state = self.state.lock().unwrap();
        state.ends_at_probe = true;
        state.closes_after_probe = true;
    }

    /// Head and body of each request that it received, without probes.
    pub fn runs(&self) -> Vec<String> {
        self.state.lock().unwrap().runs.clone()
    }

    pub fn probes(&self) -> usize {
        self.state.lock().unwrap().probes
    }

    /// Number of requests whose connection ended before the response.
    pub fn disconnects(&self) -> usize {
        self.state.lock().unwrap().disconnects
    }

    /// Largest number of bytes that open connections had taken of responses without
    /// end at one time.
    pub fn peak_bytes_held(&self) -> usize {
        self.state.lock().unwrap().peak_bytes_held
    }

    /// Repeats `part` after `start`, each time after `pause`, until the other side closes the
    /// connection.
    async fn send_without_end(
        &self,
        stream: &mut TcpStream,
        start: &str,
        part: &[u8],
        pause: Duration,
    ) {
        let mut held = 0;
        let mut is_open = stream.write_all(start.as_bytes()).await.is_ok();
        while is_open {
            sleep(pause).await;
            is_open = stream.write_all(part).await.is_ok();
            held += part.len();
            let mut state = self.state.lock().unwrap();
            state.bytes_held += part.len();
            state.peak_bytes_held = state.peak_bytes_held.max(state.bytes_held);
        }
        self.state.lock().unwrap().bytes_held -= held;
    }

    async fn serve(&self, mut stream: TcpStream) {
        while let Some(head) = read_request(&mut stream).await {
            if head.starts_with("GET /health ") {
                let (text, time, closes) = {
                    let mut state = self.state.lock().unwrap();
                    state.probes += 1;
                    let (load, cold_ms) = (state.load.clone(), state.cold_ms.clone());
                    let id = id_line(&head);
                    let closes = state.closes_after_probe;
                    let close = if closes { "connection: close\r\n" } else { "" };
                    let status = if state.is_unhealthy {
                        "503 Ill"
                    } else {
                        "200 OK"
                    };
                    let text = format!(
                        "HTTP/1.1 {status}\r\n{id}{close}t-upstream: {}\r\nt-load: {load}\r\n\
                         t-cold-ms: {cold_ms}\r\ncontent-length: 0\r\n\r\n",
                        self.id
                    );
                    (text, state.probe_delay, closes)
                };
                sleep(time).await;
                let ends = self.state.lock().unwrap().ends_at_probe;
                if ends {
                    self.ended.notify_one();
                    self.listener_closed.notified().await;
                }
                let is_written = stream.write_all(text.as_bytes()).await.is_ok();
                if !is_written || closes {
                    return;
                }
                continue;
            }
            let behaviour = {
                let mut state = self.state.lock().unwrap();
                state.runs.push(head.clone());
                state.behaviour
            };
            if !self.respond(behaviour, &head, &mut stream).await {
                return;
            }
        }
    }

    /// Responds to a request; false if the connection must be closed.
    async fn respond(&self, behaviour: Behaviour, head: &str, stream: &mut TcpStream) -> bool {
        let id = id_line(head);
        let good = format!(
            "HTTP/1.1 200 OK\r\n{id}t-stamp: {}\r\ncontent-length: 4\r\n\r\ngood",
            self.id
        );
        let ok = format!("HTTP/1.1 200 OK\r\n{id}t-stamp: {}\r\n", self.id);
        let endless = match behaviour {
            Behaviour::EndlessBody => {
                let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
                Some((format!("{ok}transfer-encoding: chunked\r\n\r\n"), chunk))
            }
            Behaviour::EndlessUnframedBody => Some((format!("{ok}\r\n"), "x".repeat(0x4000))),
            Behaviour::EndlessHead => Some((ok, "x".repeat(0x4000))),
            Behaviour::EndlessInterimResponses => {
                let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(100);
                Some((String::new(), interim))
            }
            Behaviour::EndlessTrailers => {
                let start = format!("{ok}transfer-encoding: chunked\r\n\r\n0\r\n");
                Some((start, "a: b\r\n".repeat(1_000)))
            }
            Behaviour::EndlessTrickle => Some((format!("{ok}\r\n"), "x".to_owned())),
            _ => None,
        };
        if let Some((start, part)) = endless {
            let pause = if behaviour == Behaviour::EndlessTrickle {
                TRICKLE_PAUSE
            } else {
                Duration::ZERO
            };
            let part = part.as_bytes();
            self.send_without_end(stream, &start, part, pause).await;
            return false;
        }
        let text = match behaviour {
            Behaviour::EndlessBody
            | Behaviour::EndlessUnframedBody
            | Behaviour::EndlessHead
            | Behaviour::EndlessInterimResponses
            | Behaviour::EndlessTrailers
            | Behaviour::EndlessTrickle => return false,
            Behaviour::Serve(time) => {
                if self.is_disconnected_within(stream, time).await {
                    return false;
                }
                good
            }
            Behaviour::ServeBytes(count) => good
                .replace("length: 4", &format!("length: {count}"))
                .replace("good", &format!("good{}", "x".repeat(count - "good".len()))),
            Behaviour::Fail => format!(
                "HTTP/1.1 500 Broken\r\n{id}t-stamp: {}\r\ncontent-length: 3\r\n\r\nbad",
                self.id
            ),
            Behaviour::FailWith(status) => format!(
                "HTTP/1.1 {status} Failed\r\n{id}t-stamp: {}\r\nretry-after: 1\r\n\
                 content-length: 3\r\n\r\nbad",
                self.id
            ),
            Behaviour::Shed => {
                format!("HTTP/1.1 503 Full\r\n{id}t-not-run: 1\r\ncontent-length: 0\r\n\r\n")
            }
            Behaviour::Misdirect => {
                format!("HTTP/1.1 421 Other\r\n{id}t-upstream: x\r\ncontent-length: 0\r\n\r\n")
            }
            Behaviour::Reset => {
                let option = socket2::SockRef::from(&*stream);
                option.set_linger(Some(Duration::ZERO)).unwrap();
                return false;
            }
            Behaviour::Hang => {
                self.is_disconnected_within(stream, Duration::from_mins(1))
                    .await;
                return false;
            }
            Behaviour::Truncate => good.replace("length: 4", "length: 40"),
            Behaviour::Unstamped => good.replace("t-stamp", "t-other"),
            Behaviour::Stray => {
                let stray = "HTTP/1.1 200 OK\r\nt-id: stray\r\nt-stamp: s\r\ncontent-length: 5\r\n\
                             \r\nwrong";
                format!("{stray}{good}")
            }
        };
        let is_written = stream.write_all(text.as_bytes()).await.is_ok();
        is_written && behaviour != Behaviour::Truncate
    }

    /// Waits for `time`; true if the other side closes the connection before that.
    async fn is_disconnected_within(&self, stream: &mut TcpStream, time: Duration) -> bool {
        let mut byte = [0];
        tokio::select! {
            _ = stream.read(&mut byte) => {
                self.state.lock().unwrap().disconnects += 1;
                true
            }
            () = sleep(time) => false,
        }
    }
}

pub fn id_line(head: &str) -> String {
    let line = head.lines().find(|line| line.starts_with("t-id: "));
    line.map_or_else(String::new, |line| format!("{line}\r\n"))
}

/// Reads one request with its body; `None` at the end of the connection.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        text.push(byte[0]);
    }
    let head = String::from_utf8(text).ok()?;
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |length| length.parse().unwrap_or(0));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(head + &String::from_utf8_lossy(&body))
}

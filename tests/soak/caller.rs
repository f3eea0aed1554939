//! Callers that send requests over keep-alive connections.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::cuts;
use crate::env::TestEnv;
use crate::ledger::{End, SentRequest};
use crate::limits;
use crate::slow_stops;
use crate::wire;

/// Deadline that a caller sends to the gateway, from the start of the request.
pub const DEADLINE_MS: u64 = 1_500;
/// Time after which a caller gives up on an answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Exclusive upper bound of the random number of requests per connection.
const MAX_REQUESTS_PER_CONNECTION: usize = 60;
/// Share of requests whose caller closes the connection before the answer.
const CANCELLED_SHARE: f64 = 0.02;
/// Time after which such a caller closes the connection.
const CANCEL_DELAY: Duration = Duration::from_millis(20);

/// Starts all callers; each runs until the environment stops them.
pub fn start(env: &Arc<TestEnv>) -> Vec<JoinHandle<()>> {
    let mut callers = Vec::new();
    for number in 0..env.size.callers {
        let caller = Caller {
            env: Arc::clone(env),
            number,
            request_count: 0,
            random: StdRng::seed_from_u64(number as u64),
        };
        callers.push(tokio::spawn(caller.run()));
    }
    callers
}

struct Caller {
    env: Arc<TestEnv>,
    number: usize,
    request_count: usize,
    random: StdRng,
}

impl Caller {
    async fn run(mut self) {
        while !self.env.is_stopping() {
            let gateway = self.choose_gateway();
            let address = self.env.gateways[gateway].caller_address;
            let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
            let Ok(Ok(stream)) = connecting.await else {
                if cuts::is_played(self.env.seed) {
                    self.record_failed_connection(gateway);
                }
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            let mut stream = BufReader::new(stream);
            for _ in 0..self.random.random_range(1..MAX_REQUESTS_PER_CONNECTION) {
                let keeps_alive = self.send_request(gateway, &mut stream).await;
                let focus = slow_stops::focus(&self.env, self.number);
                let is_elsewhere = !focus.is_empty() && !focus.contains(&gateway);
                if !keeps_alive || is_elsewhere || self.env.is_stopping() {
                    break;
                }
                let pause_ms = self.random.random_range(cuts::pauses_ms(self.env.seed));
                sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }

    /// Chooses a random gateway in rotation, or any gateway if none is.
    fn choose_gateway(&mut self) -> usize {
        let mut candidates: Vec<usize> = (0..self.env.gateways.len()).collect();
        let gateways = &self.env.gateways;
        if gateways
            .iter()
            .any(|gateway| gateway.is_in_rotation.load(Ordering::Relaxed))
        {
            candidates.retain(|number| gateways[*number].is_in_rotation.load(Ordering::Relaxed));
        }
        let focus = slow_stops::focus(&self.env, self.number);
        if !focus.is_empty() {
            candidates = focus;
        }
        if let Some(entries) = limits::entries(self.env.seed) {
            candidates = entries.to_vec();
        }
        *candidates.choose(&mut self.random).unwrap()
    }

    /// Records a refused connection as a request that failed.
    fn record_failed_connection(&mut self, gateway: usize) {
        self.request_count += 1;
        let now_ms = self.env.now_ms();
        self.env.ledger.add_request(SentRequest {
            id: format!("c{}-{}", self.number, self.request_count),
            gateway,
            method: "GET",
            target: String::new(),
            deadline_ms: slow_stops::deadline_ms(self.env.seed),
            sent_ms: now_ms,
            ended_ms: now_ms,
            end: End::WriteFailed,
        });
    }

    /// Sends one request and records how it ended. Returns whether the connection
    /// can be reused.
    async fn send_request(&mut self, gateway: usize, stream: &mut BufReader<TcpStream>) -> bool {
        self.request_count += 1;
        let id = format!("c{}-{}", self.number, self.request_count);
        let newest_version = self
            .env
            .versions()
            .last()
            .map_or(0, |version| version.number);
        let newest_path = format!("/new-{newest_version}/x");
        let (method, path) = *[
            ("GET", "/look/x"),
            ("POST", "/book/x"),
            ("GET", "/move/x"),
            (
                "GET",
                if newest_version > 2 {
                    &newest_path
                } else {
                    "/look/y"
                },
            ),
        ]
        .choose(&mut self.random)
        .unwrap();
        let (method, path) = match slow_stops::Play::of(self.env.seed) {
            Some(_) if method == "GET" => (method, slow_stops::PATH),
            _ => (method, path),
        };
        let is_cancelled = self.random.random::<f64>() < CANCELLED_SHARE;
        let target = format!("{path}?{id}");
        let body = if method == "POST" {
            format!("body {id}")
        } else {
            String::new()
        };
        let deadline_ms = slow_stops::deadline_ms(self.env.seed);
        let sent_ms = self.env.now_ms();
        let headers = [
            ("host", "soak.test"),
            ("x-request-id", id.as_str()),
            ("x-deadline-ms", &deadline_ms.to_string()),
        ];
        let start_line = format!("{method} {target} HTTP/1.1");
        let written = wire::write(stream, &start_line, &headers, body.as_bytes()).await;
        let (end, keeps_alive) = match written {
            Err(_) => (End::WriteFailed, false),
            Ok(()) if is_cancelled => {
                sleep(CANCEL_DELAY).await;
                (End::Cancelled, false)
            }
            Ok(()) => read_answer(stream).await,
        };
        self.env.ledger.add_request(SentRequest {
            id,
            gateway,
            method,
            target,
            deadline_ms,
            sent_ms,
            ended_ms: self.env.now_ms(),
            end,
        });
        keeps_alive
    }
}

/// Returns how the request ended and whether the connection can be reused.
async fn read_answer(stream: &mut BufReader<TcpStream>) -> (End, bool) {
    let answer = match timeout(ANSWER_TIMEOUT, wire::read(stream)).await {
        Ok(Some(answer)) => answer,
        Ok(None) => return (End::ConnectionClosed, false),
        Err(_) => return (End::TimedOut, false),
    };
    let keeps_alive = !answer.header("connection").eq_ignore_ascii_case("close");
    let end = End::Answered {
        status: answer.start_fields().1.parse().unwrap_or(0),
        body: String::from_utf8_lossy(&answer.body).into_owned(),
        server_stamp: answer.header("x-server-stamp").to_owned(),
        retry_after: answer.header("retry-after").to_owned(),
    };
    (end, keeps_alive)
}

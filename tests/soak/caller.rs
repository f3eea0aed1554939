//! Callers that keep their connections until these end.

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

use crate::ledger::{End, Sent};
use crate::wire;
use crate::world::World;

/// Time that a caller waits, as it tells the gateway.
pub const DEADLINE_MS: u64 = 1_500;
/// Time after which a caller takes its request for lost.
pub const PATIENCE: Duration = Duration::from_secs(5);
/// Time in which a connection must stand.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Requests on one connection.
const REQUESTS_MAX: usize = 60;
/// Share of requests whose caller leaves before the answer.
const LEAVING_SHARE: f64 = 0.02;
/// Time after which such a caller leaves.
const LEAVE_AFTER: Duration = Duration::from_millis(20);

/// Starts all callers.
pub fn start(world: &Arc<World>) -> Vec<JoinHandle<()>> {
    let mut callers = Vec::new();
    for number in 0..world.size.callers {
        let caller = Caller {
            world: Arc::clone(world),
            number,
            count: 0,
            random: StdRng::seed_from_u64(number as u64),
        };
        callers.push(tokio::spawn(caller.run()));
    }
    callers
}

struct Caller {
    world: Arc<World>,
    number: usize,
    count: usize,
    random: StdRng,
}

impl Caller {
    async fn run(mut self) {
        while !self.world.is_stopping() {
            let gateway = self.choose();
            let address = self.world.gateways[gateway].caller;
            let connecting = timeout(CONNECT_LIMIT, TcpStream::connect(address));
            let Ok(Ok(stream)) = connecting.await else {
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            let mut stream = BufReader::new(stream);
            for _ in 0..self.random.random_range(1..REQUESTS_MAX) {
                let is_kept = self.call(gateway, &mut stream).await;
                if !is_kept || self.world.is_stopping() {
                    break;
                }
                let pause_ms = self.random.random_range(10..120);
                sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }

    /// A gateway in rotation, or any where there is none.
    fn choose(&mut self) -> usize {
        let mut open: Vec<usize> = (0..self.world.gateways.len()).collect();
        let gateways = &self.world.gateways;
        if gateways
            .iter()
            .any(|one| one.is_in_rotation.load(Ordering::Relaxed))
        {
            open.retain(|number| gateways[*number].is_in_rotation.load(Ordering::Relaxed));
        }
        *open.choose(&mut self.random).unwrap()
    }

    /// Makes one call; false where the connection is not used again.
    async fn call(&mut self, gateway: usize, stream: &mut BufReader<TcpStream>) -> bool {
        self.count += 1;
        let id = format!("c{}-{}", self.number, self.count);
        let newest = self
            .world
            .versions()
            .last()
            .map_or(0, |version| version.number);
        let new = format!("/new-{newest}/x");
        let (method, path) = *[
            ("GET", "/look/x"),
            ("POST", "/book/x"),
            ("GET", "/move/x"),
            ("GET", if newest > 2 { &new } else { "/look/y" }),
        ]
        .choose(&mut self.random)
        .unwrap();
        let is_leaving = self.random.random::<f64>() < LEAVING_SHARE;
        let target = format!("{path}?{id}");
        let body = if method == "POST" {
            format!("body {id}")
        } else {
            String::new()
        };
        let sent_ms = self.world.now_ms();
        let headers = [
            ("host", "soak.test"),
            ("x-request-id", id.as_str()),
            ("x-deadline-ms", &DEADLINE_MS.to_string()),
        ];
        let first = format!("{method} {target} HTTP/1.1");
        let written = wire::write(stream, &first, &headers, body.as_bytes()).await;
        let (end, is_kept) = match written {
            Err(_) => (End::Unsent, false),
            Ok(()) if is_leaving => {
                sleep(LEAVE_AFTER).await;
                (End::Left, false)
            }
            Ok(()) => read_end(stream).await,
        };
        self.world.ledger.on_sent(Sent {
            id,
            gateway,
            method,
            target,
            sent_ms,
            ended_ms: self.world.now_ms(),
            end,
        });
        is_kept
    }
}

async fn read_end(stream: &mut BufReader<TcpStream>) -> (End, bool) {
    let answer = match timeout(PATIENCE, wire::read(stream)).await {
        Ok(Some(answer)) => answer,
        Ok(None) => return (End::Closed, false),
        Err(_) => return (End::Silent, false),
    };
    let is_kept = !answer.header("connection").eq_ignore_ascii_case("close");
    let end = End::Answered {
        status: answer.words().1.parse().unwrap_or(0),
        body: String::from_utf8_lossy(&answer.body).into_owned(),
        stamp: answer.header("x-server-stamp").to_owned(),
        return_after: answer.header("retry-after").to_owned(),
    };
    (end, is_kept)
}

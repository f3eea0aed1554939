//! A request that ends each upstream that runs it, and whose caller sends it again.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::caller::{ANSWER_TIMEOUT, DEADLINE_MS};
use crate::env::TestEnv;
use crate::wire;

/// Text in a request that ends the upstream.
pub const MARK: &str = "ends-upstreams";
/// Pause after which the caller sends the request again.
const RESEND_PAUSE: Duration = Duration::from_millis(300);
/// Ends after which the request must be stopped.
const ENDS_TO_KNOW: usize = 3;
/// Time after the last of them from which on further runs count.
const STABLE_WINDOW_MS: u64 = 3_000;
/// Most runs that may still count.
const MAX_LATE_RUNS: usize = 3;

/// Whether the seed plays such a request. Upstreams then have no proxy before them,
/// since one would accept connections for an upstream that has ended.
pub fn is_played(seed: u64) -> bool {
    seed > 100 && seed.is_multiple_of(2)
}

/// Sends the request through random gateways until the callers stop.
pub fn start(env: &Arc<TestEnv>) {
    let env = Arc::clone(env);
    tokio::spawn(async move {
        let mut attempt = 0;
        while !env.is_stopping() {
            attempt += 1;
            send(&env, attempt).await;
            sleep(RESEND_PAUSE).await;
        }
    });
}

async fn send(env: &TestEnv, attempt: usize) {
    let gateway = env.gateways.choose(&mut rand::rng()).unwrap();
    let Ok(stream) = TcpStream::connect(gateway.caller_address).await else {
        return;
    };
    let mut stream = BufReader::new(stream);
    let (start_line, body) = if env.seed.is_multiple_of(4) {
        ("POST /book/x HTTP/1.1", MARK)
    } else {
        ("GET /look/ends-upstreams HTTP/1.1", "")
    };
    let headers = [
        ("host", "soak.test"),
        ("x-request-id", &format!("crash-{attempt}")),
        ("x-deadline-ms", &DEADLINE_MS.to_string()),
    ];
    let written = wire::write(&mut stream, start_line, &headers, body.as_bytes()).await;
    if written.is_ok() {
        // Only the runs at upstreams matter.
        let _ = timeout(ANSWER_TIMEOUT, wire::read(&mut stream)).await;
    }
}

/// Returns a violation if the request ran too often after it was known.
pub fn check(env: &TestEnv) -> Option<String> {
    let ends_ms = env.ledger.crashes_ms().clone();
    if !is_played(env.seed) {
        return None;
    }
    println!("seed {}: upstreams ended at {ends_ms:?} ms", env.seed);
    let known_ms = ends_ms.get(ENDS_TO_KNOW - 1)? + STABLE_WINDOW_MS;
    let late = ends_ms.iter().filter(|at_ms| **at_ms > known_ms).count();
    (late > MAX_LATE_RUNS).then(|| {
        format!("a request that ended {ENDS_TO_KNOW} upstreams ran {late} times later: {ends_ms:?}")
    })
}

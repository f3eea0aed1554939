//! Stand-in for the platform's balancer, which checks the gateways' readiness and
//! decides which of them get new connections.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::env::TestEnv;
use crate::wire;

/// Pause between readiness checks, and the timeout of one check.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which all gateways must become ready at the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Checks each gateway until the callers stop. Two failed checks in a row take a
/// gateway out of rotation; one success puts it back.
pub fn start(env: &Arc<TestEnv>) {
    for number in 0..env.gateways.len() {
        let env = Arc::clone(env);
        tokio::spawn(async move {
            let mut failures = 0;
            while !env.is_stopping() {
                let gateway = &env.gateways[number];
                let is_ready = timeout(CHECK_INTERVAL, is_ready(gateway.ready_address)).await;
                failures = if is_ready == Ok(true) {
                    0
                } else {
                    failures + 1
                };
                if failures == 0 || failures == 2 {
                    gateway.set_in_rotation(failures == 0);
                }
                sleep(CHECK_INTERVAL).await;
            }
        });
    }
}

/// Waits until every gateway is in rotation.
pub async fn wait_ready(env: &TestEnv) {
    let deadline = Instant::now() + START_TIMEOUT;
    let is_in_rotation =
        |number: usize| env.gateways[number].is_in_rotation.load(Ordering::Relaxed);
    while !(0..env.gateways.len()).all(is_in_rotation) {
        assert!(
            Instant::now() < deadline,
            "not all gateways became ready within {START_TIMEOUT:?}"
        );
        sleep(Duration::from_millis(50)).await;
    }
}

pub async fn is_ready(address: std::net::SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(address).await else {
        return false;
    };
    let mut stream = BufReader::new(stream);
    let start_line = "GET /api/readyz HTTP/1.1";
    if wire::write(&mut stream, start_line, &[("host", "ready")], b"")
        .await
        .is_err()
    {
        return false;
    }
    let answer = wire::read(&mut stream).await;
    answer.is_some_and(|answer| answer.start_fields().1 == "200")
}

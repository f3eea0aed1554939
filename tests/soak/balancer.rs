//! The platform's balancer: which gateways get new connections.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::wire;
use crate::world::World;

/// Interval between questions, and the time for an answer.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time in which all gateways must be ready at the start.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Asks each gateway until the callers stop.
pub fn start(world: &Arc<World>) {
    for number in 0..world.gateways.len() {
        let world = Arc::clone(world);
        tokio::spawn(async move {
            let mut misses = 0;
            while !world.is_stopping() {
                let gateway = &world.gateways[number];
                let is_ready = timeout(INTERVAL, is_ready(gateway.ready)).await;
                misses = if is_ready == Ok(true) { 0 } else { misses + 1 };
                if misses == 0 || misses == 2 {
                    gateway.set_in_rotation(misses == 0);
                }
                sleep(INTERVAL).await;
            }
        });
    }
}

/// Waits until every gateway is in rotation.
pub async fn wait_ready(world: &World) {
    let until = Instant::now() + START_LIMIT;
    let is_in = |number: usize| {
        world.gateways[number]
            .is_in_rotation
            .load(Ordering::Relaxed)
    };
    while !(0..world.gateways.len()).all(is_in) {
        assert!(Instant::now() < until, "not all gateways were ready");
        sleep(Duration::from_millis(50)).await;
    }
}

async fn is_ready(address: std::net::SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(address).await else {
        return false;
    };
    let mut stream = BufReader::new(stream);
    let first = "GET /api/readyz HTTP/1.1";
    if wire::write(&mut stream, first, &[("host", "ready")], b"")
        .await
        .is_err()
    {
        return false;
    }
    let answer = wire::read(&mut stream).await;
    answer.is_some_and(|answer| answer.words().1 == "200")
}

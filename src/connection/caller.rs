//! HTTP server with a graceful shutdown that lets running requests finish.

use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Time within which the head of a request must arrive.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest accepted head of a request.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Delay before the next `accept` after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves connections until `stop` turns true, then waits until the open ones
/// have finished their requests.
pub async fn serve(listener: TcpListener, router: Router, mut stop: watch::Receiver<bool>) {
    let connections = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|is_stopping| *is_stopping) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Nagle's algorithm would delay small responses until an acknowledgement.
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let service = TowerToHyperService::new(router.clone());
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_READ_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let connection = connections.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection from a caller ended with an error");
            }
        });
    }
    drop(listener);
    connections.shutdown().await;
}

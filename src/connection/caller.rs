//! Listens for HTTP connections and ends them without cutting a call.

use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Time in which the head of a request must have come.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves until `stop` turns true, then until every connection is done.
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
        // Without it small answers wait for acknowledgements.
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
                tracing::debug!(%error, "a caller's connection ended early");
            }
        });
    }
    drop(listener);
    connections.shutdown().await;
}

//! HTTP listeners for callers, readiness checks and metrics.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::caller_stream::{CallerStream, ConnectionActivity};
use super::calls::{self, id_text, to_ms};
use super::forward::forward;
use super::metrics::end_label;
use super::outcome::{Outcome, Reason};
use super::state::Gateway;
use super::store::{Platform, Stream};

/// Delay before the next `accept` after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Wait for one more connection when the listener closes.
const BACKLOG_WAIT: Duration = Duration::from_millis(5);
/// Time after which the listener closes even if connections keep coming; the balancer has
/// stopped sending new ones by then.
pub const MAX_BACKLOG_TIME: Duration = Duration::from_millis(100);
/// Limit on the head of a request before a version sets one, in bytes.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
/// Smallest read buffer that hyper accepts, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;
/// Idle timeout of a connection before a version sets one.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;
/// Added to the idle timeout, so that a request sent just before its end is
/// still served.
const IDLE_GRACE_MS: u64 = 500;
/// Timeout for reading a request's head; the idle timeout closes connections
/// sooner.
const HEAD_READ_TIMEOUT: Duration = Duration::from_mins(5);
/// Requests served at the same time; further ones are refused.
const MAX_CONCURRENT_REQUESTS: usize = 4_096;
/// Retry delay for callers refused because of [`MAX_CONCURRENT_REQUESTS`].
const OVERLOAD_RETRY_AFTER_MS: u64 = 250;

type FullResponse = Response<Full<Bytes>>;

/// Counts the open connections and running requests of all callers.
#[derive(Debug, Default)]
pub struct CallerCounts {
    requests: AtomicUsize,
    connections: AtomicUsize,
    unwritten: Arc<AtomicUsize>,
}

impl CallerCounts {
    /// Requests in flight, including those about to be refused.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        // Pairs with the release at a request's end, so that its unwritten response is seen after.
        self.requests.load(Ordering::Acquire)
    }

    /// Connections with a response that is still to be written.
    #[must_use]
    pub fn unwritten(&self) -> usize {
        self.unwritten.load(Ordering::Relaxed)
    }

    /// Open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard(Arc<CallerCounts>);

impl ConnectionGuard {
    fn new(callers: Arc<CallerCounts>) -> Self {
        callers.connections.fetch_add(1, Ordering::Relaxed);
        Self(callers)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request in flight until it is dropped.
struct RequestGuard<'c, P> {
    callers: &'c CallerCounts,
    gateway: &'c Gateway<P>,
    activity: &'c ConnectionActivity,
}

impl<'c, P> RequestGuard<'c, P> {
    fn begin(
        callers: &'c CallerCounts,
        gateway: &'c Gateway<P>,
        activity: &'c ConnectionActivity,
    ) -> Self {
        callers.requests.fetch_add(1, Ordering::Relaxed);
        activity.begin_request();
        gateway.metrics.in_flight.inc();
        Self {
            callers,
            gateway,
            activity,
        }
    }
}

impl<P> Drop for RequestGuard<'_, P> {
    fn drop(&mut self) {
        // First, so that a stop sees the request or its unwritten response at any moment.
        self.activity.end_request();
        self.callers.requests.fetch_sub(1, Ordering::Release);
        self.gateway.metrics.in_flight.dec();
    }
}

/// Serves callers until `close` turns true.
///
/// The connections that wait to be accepted are still served. The listener then closes,
/// and each open connection ends after its current request.
pub async fn serve_callers<P: Platform>(
    listener: TcpListener,
    gateway: Arc<Gateway<P>>,
    callers: Arc<CallerCounts>,
    mut close: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener) => accepted,
            _ = close.wait_for(|is_closed| *is_closed) => break,
        };
        let Some(stream) = accepted else {
            continue;
        };
        spawn_caller(stream, &gateway, &callers, &close);
    }
    // The kernel has accepted these connections already, and would reset them.
    let until = Instant::now() + MAX_BACKLOG_TIME;
    while Instant::now() < until {
        let Ok(accepted) = timeout(BACKLOG_WAIT, accept(&listener)).await else {
            return;
        };
        if let Some(stream) = accepted {
            spawn_caller(stream, &gateway, &callers, &close);
        }
    }
}

fn spawn_caller<P: Platform>(
    stream: TcpStream,
    gateway: &Arc<Gateway<P>>,
    callers: &Arc<CallerCounts>,
    close: &watch::Receiver<bool>,
) {
    let connection = serve_caller(
        stream,
        Arc::clone(gateway),
        Arc::clone(callers),
        close.clone(),
    );
    tokio::spawn(connection);
}

async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => match stream.set_nodelay(true) {
            Ok(()) => Some(stream),
            Err(error) => {
                tracing::debug!(%error, "connection dropped: cannot set TCP_NODELAY");
                None
            }
        },
        Err(error) => {
            tracing::warn!(%error, "cannot accept a connection; retrying after a pause");
            sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

async fn serve_caller<P: Platform>(
    stream: TcpStream,
    gateway: Arc<Gateway<P>>,
    callers: Arc<CallerCounts>,
    mut close: watch::Receiver<bool>,
) {
    let _guard = ConnectionGuard::new(Arc::clone(&callers));
    let activity = Arc::new(ConnectionActivity::new(&callers.unwritten));
    let stream = CallerStream::new(stream, Arc::clone(&activity));
    let max_head_bytes = gateway
        .manifest()
        .map_or(DEFAULT_MAX_HEAD_BYTES, |manifest| {
            manifest.limits.max_head_bytes
        });
    let service = service_fn(|request| handle_request(&gateway, &callers, &activity, request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_READ_TIMEOUT)
        .max_buf_size(max_head_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut is_closing = false;
    loop {
        let wake_at = idle_deadline(&gateway, &activity);
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    tracing::debug!(%error, "caller connection failed");
                }
                return;
            }
            () = sleep_until(wake_at) => {
                if idle_deadline(&gateway, &activity) > Instant::now() {
                    continue;
                }
                if is_closing {
                    tracing::debug!("caller connection dropped: the caller reads nothing");
                    return;
                }
                is_closing = true;
                connection.as_mut().graceful_shutdown();
                // A response that the caller does not read has this time once more.
                activity.touch();
            }
            () = closed_and_used(&mut close, &activity), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Waits until connections are to close, and this one has had the time for a request.
async fn closed_and_used(close: &mut watch::Receiver<bool>, activity: &ConnectionActivity) {
    // Without a sender, the process is ending.
    let _ = close.wait_for(|is_closed| *is_closed).await;
    activity.first_request().await;
}

/// Returns when to close a connection unless it serves a request before then.
fn idle_deadline<P: Platform>(gateway: &Gateway<P>, activity: &ConnectionActivity) -> Instant {
    let idle_ms = gateway
        .manifest()
        .map_or(DEFAULT_IDLE_TIMEOUT_MS, |manifest| {
            manifest.limits.idle_timeout_ms
        });
    let idle_since = activity.idle_since().unwrap_or_else(Instant::now);
    idle_since + Duration::from_millis(idle_ms + IDLE_GRACE_MS)
}

async fn handle_request<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    callers: &CallerCounts,
    activity: &ConnectionActivity,
    request: Request<Incoming>,
) -> Result<FullResponse, Infallible> {
    let _guard = RequestGuard::begin(callers, gateway, activity);
    let arrived = Instant::now();
    let names = gateway.platform.headers();
    let id = request.headers().get(&names.request_id).cloned();
    let is_head = request.method() == Method::HEAD;
    let mut disconnect_guard = DisconnectGuard {
        gateway,
        id: id.as_ref(),
        arrived,
        is_finished: false,
    };
    let outcome = dispatch(gateway, callers, request).await;
    disconnect_guard.is_finished = true;
    record_outcome(gateway, id.as_ref(), arrived, &outcome);
    let id = id.as_ref().map(|value| (&names.request_id, value));
    let mut response = outcome.into_response(id, is_head);
    if gateway.is_stopping() {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn dispatch<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    callers: &CallerCounts,
    request: Request<Incoming>,
) -> Outcome {
    if callers.in_flight() > MAX_CONCURRENT_REQUESTS {
        return Outcome::refused(Reason::Overloaded, OVERLOAD_RETRY_AFTER_MS);
    }
    let manifest = gateway.manifest().filter(|_| gateway.knows_fleet_state());
    match calls::read_call(gateway, request, manifest.as_ref()).await {
        Ok(call) => forward(gateway, &call).await,
        Err(outcome) => outcome,
    }
}

/// Counts and logs a request that is dropped because its caller disconnected.
struct DisconnectGuard<'c, P: Platform> {
    gateway: &'c Gateway<P>,
    id: Option<&'c HeaderValue>,
    arrived: Instant,
    is_finished: bool,
}

impl<P: Platform> Drop for DisconnectGuard<'_, P> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.gateway.metrics.on_request("caller-left");
        if self.gateway.log_budget.take() {
            tracing::info!(
                request = id_text(self.id),
                held_ms = to_ms(self.arrived.elapsed()),
                "caller disconnected before the response"
            );
        }
    }
}

fn record_outcome<P: Platform>(
    gateway: &Gateway<P>,
    id: Option<&HeaderValue>,
    arrived: Instant,
    outcome: &Outcome,
) {
    let status = outcome.status();
    let reason = match outcome {
        Outcome::GatewayError { reason, .. } => Some(*reason),
        Outcome::Answered(_) => None,
    };
    let end = end_label(status, reason);
    gateway.metrics.on_request(end);
    gateway
        .metrics
        .request_s
        .observe(arrived.elapsed().as_secs_f64());
    if gateway.log_budget.take() {
        tracing::info!(
            request = id_text(id),
            status = status.as_u16(),
            end,
            held_ms = to_ms(arrived.elapsed()),
            stopping_for_ms = gateway.stopping_for_ms(),
            "request ended"
        );
    }
}

/// Serves the readiness checks of the platform's balancer.
pub async fn serve_ready<P: Platform>(listener: TcpListener, gateway: Arc<Gateway<P>>) {
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let gateway = Arc::clone(&gateway);
        tokio::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let status = readiness(&gateway, request.uri().path());
                async move { Ok::<_, Infallible>(text_response(status, String::new())) }
            });
            serve_http(stream, service).await;
        });
    }
}

fn readiness<P: Platform>(gateway: &Gateway<P>, path: &str) -> StatusCode {
    if path != gateway.platform.ready_path() {
        StatusCode::NOT_FOUND
    } else if gateway.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Serves the metrics in Prometheus' text format, at any path.
pub async fn serve_metrics<P: Platform>(listener: TcpListener, gateway: Arc<Gateway<P>>) {
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let gateway = Arc::clone(&gateway);
        tokio::spawn(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let now_ms = gateway.now_ms();
                let age_ms = gateway.stream_ages.age_ms(Stream::Operator, now_ms);
                gateway.metrics.operator_records_age_ms.set(age_ms);
                let text = gateway.metrics.text();
                async move { Ok::<_, Infallible>(text_response(StatusCode::OK, text)) }
            });
            serve_http(stream, service).await;
        });
    }
}

async fn serve_http<S>(stream: TcpStream, service: S)
where
    S: hyper::service::Service<Request<Incoming>, Response = FullResponse, Error = Infallible>,
{
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(%error, "readiness or metrics connection failed");
    }
}

fn text_response(status: StatusCode, text: String) -> FullResponse {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

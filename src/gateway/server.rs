//! Listens for callers, for the balancer's questions and for metrics.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
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
use tokio::time::{Instant, sleep, sleep_until};

use super::calls::{self, id_text, to_ms};
use super::forward::forward;
use super::meters::end_of;
use super::outcome::{Outcome, Reason};
use super::state::Gateway;
use super::store::Platform;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Longest head that is read before a version tells the limit, in bytes.
const HEAD_DEFAULT_BYTES: usize = 16 * 1024;
/// Smallest read buffer that the HTTP library takes, in bytes.
const HEAD_MIN_BYTES: usize = 8 * 1024;
/// Time that a connection may be idle before a version tells the limit.
const IDLE_DEFAULT_MS: u64 = 15_000;
/// Time beyond the idle limit, so that a caller that uses all of it is served.
const IDLE_MORE_MS: u64 = 500;
/// Longest time for the head of a request; idle connections are ended sooner.
const HEAD_LIMIT: Duration = Duration::from_mins(5);
/// Requests that are served at once; more are refused.
const REQUESTS_MAX: usize = 4_096;
/// When a caller may return that came while too many were served.
const OVERLOAD_RETURN_MS: u64 = 250;

type Reply = Response<Full<Bytes>>;

/// What the connections of callers share.
#[derive(Debug, Default)]
pub struct Callers {
    requests: AtomicUsize,
    connections: AtomicUsize,
}

impl Callers {
    /// Requests that are served now.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Connections that are open.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Counts a connection while it is open.
struct Open(Arc<Callers>);

impl Open {
    fn new(callers: Arc<Callers>) -> Self {
        callers.connections.fetch_add(1, Ordering::Relaxed);
        Self(callers)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request while it is served.
struct InFlight<'c, P> {
    callers: &'c Callers,
    gateway: &'c Gateway<P>,
    activity: &'c Activity,
}

impl<'c, P> InFlight<'c, P> {
    fn begin(callers: &'c Callers, gateway: &'c Gateway<P>, activity: &'c Activity) -> Self {
        callers.requests.fetch_add(1, Ordering::Relaxed);
        activity.requests.fetch_add(1, Ordering::Relaxed);
        gateway.meters.in_flight.inc();
        Self {
            callers,
            gateway,
            activity,
        }
    }
}

impl<P> Drop for InFlight<'_, P> {
    fn drop(&mut self) {
        self.callers.requests.fetch_sub(1, Ordering::Relaxed);
        self.activity.requests.fetch_sub(1, Ordering::Relaxed);
        self.activity.touch();
        self.gateway.meters.in_flight.dec();
    }
}

/// When a connection was used last.
#[derive(Debug)]
struct Activity {
    opened: Instant,
    used_ms: AtomicU64,
    requests: AtomicUsize,
}

impl Activity {
    fn new() -> Self {
        Self {
            opened: Instant::now(),
            used_ms: AtomicU64::new(0),
            requests: AtomicUsize::new(0),
        }
    }

    fn touch(&self) {
        let used_ms = to_ms(self.opened.elapsed());
        self.used_ms.store(used_ms, Ordering::Relaxed);
    }

    fn idle_since(&self) -> Option<Instant> {
        if self.requests.load(Ordering::Relaxed) > 0 {
            return None;
        }
        let used_ms = self.used_ms.load(Ordering::Relaxed);
        Some(self.opened + Duration::from_millis(used_ms))
    }
}

/// Serves callers until `close` turns true; then no connection is taken any
/// more, and idle ones are closed.
pub async fn serve_callers<P: Platform>(
    listener: TcpListener,
    gateway: Arc<Gateway<P>>,
    callers: Arc<Callers>,
    mut close: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener) => accepted,
            _ = close.wait_for(|is_closed| *is_closed) => return,
        };
        let Some(stream) = accepted else {
            continue;
        };
        let connection = serve_caller(
            stream,
            Arc::clone(&gateway),
            Arc::clone(&callers),
            close.clone(),
        );
        tokio::spawn(connection);
    }
}

async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => match stream.set_nodelay(true) {
            Ok(()) => Some(stream),
            Err(error) => {
                tracing::debug!(%error, "a connection ended before it was served");
                None
            }
        },
        Err(error) => {
            tracing::warn!(%error, "cannot accept a connection");
            sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

async fn serve_caller<P: Platform>(
    stream: TcpStream,
    gateway: Arc<Gateway<P>>,
    callers: Arc<Callers>,
    mut close: watch::Receiver<bool>,
) {
    let _open = Open::new(Arc::clone(&callers));
    let activity = Activity::new();
    let head_bytes = gateway.manifest().map_or(HEAD_DEFAULT_BYTES, |manifest| {
        manifest.limits.head_max_bytes
    });
    let service = service_fn(|request| answer(&gateway, &callers, &activity, request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .max_buf_size(head_bytes.max(HEAD_MIN_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut is_closing = false;
    loop {
        let wake_at = idle_end(&gateway, &activity);
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    tracing::debug!(%error, "a caller's connection ended early");
                }
                return;
            }
            () = sleep_until(wake_at), if !is_closing => {
                if idle_end(&gateway, &activity) <= Instant::now() {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
            _ = close.wait_for(|is_closed| *is_closed), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// When a connection has been idle for too long if it is not used until then.
fn idle_end<P: Platform>(gateway: &Gateway<P>, activity: &Activity) -> Instant {
    let idle_ms = gateway
        .manifest()
        .map_or(IDLE_DEFAULT_MS, |manifest| manifest.limits.idle_timeout_ms);
    let since = activity.idle_since().unwrap_or_else(Instant::now);
    since + Duration::from_millis(idle_ms + IDLE_MORE_MS)
}

async fn answer<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    callers: &Callers,
    activity: &Activity,
    request: Request<Incoming>,
) -> Result<Reply, Infallible> {
    let _in_flight = InFlight::begin(callers, gateway, activity);
    let arrived = Instant::now();
    let names = gateway.platform.headers();
    let id = request.headers().get(&names.request_id).cloned();
    let is_head = request.method() == Method::HEAD;
    let mut departure = Departure {
        gateway,
        id: id.as_ref(),
        arrived,
        is_answered: false,
    };
    let outcome = serve(gateway, callers, request).await;
    departure.is_answered = true;
    log_end(gateway, id.as_ref(), arrived, &outcome);
    let id = id.as_ref().map(|value| (&names.request_id, value));
    let mut reply = outcome.into_response(id, is_head);
    if gateway.is_stopping() {
        let headers = reply.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(reply)
}

async fn serve<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    callers: &Callers,
    request: Request<Incoming>,
) -> Outcome {
    if callers.in_flight() > REQUESTS_MAX {
        return Outcome::refused(Reason::Overloaded, OVERLOAD_RETURN_MS);
    }
    let manifest = gateway.manifest();
    let names = gateway.platform.headers();
    match calls::read(request, manifest.as_ref(), names, &gateway.bodies).await {
        Ok(call) => forward(gateway, &call).await,
        Err(outcome) => outcome,
    }
}

/// Logs a request whose caller left before its answer.
struct Departure<'c, P: Platform> {
    gateway: &'c Gateway<P>,
    id: Option<&'c HeaderValue>,
    arrived: Instant,
    is_answered: bool,
}

impl<P: Platform> Drop for Departure<'_, P> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        self.gateway.meters.on_request("caller-left");
        if self.gateway.lines.take() {
            tracing::info!(
                request = id_text(self.id),
                held_ms = to_ms(self.arrived.elapsed()),
                "the caller left before its answer"
            );
        }
    }
}

fn log_end<P: Platform>(
    gateway: &Gateway<P>,
    id: Option<&HeaderValue>,
    arrived: Instant,
    outcome: &Outcome,
) {
    let status = outcome.status();
    let reason = match outcome {
        Outcome::Own { reason, .. } => Some(*reason),
        Outcome::Answered(_) => None,
    };
    let end = end_of(status, reason);
    gateway.meters.on_request(end);
    gateway
        .meters
        .request_s
        .observe(arrived.elapsed().as_secs_f64());
    if gateway.lines.take() {
        tracing::info!(
            request = id_text(id),
            status = status.as_u16(),
            end,
            held_ms = to_ms(arrived.elapsed()),
            "request ended"
        );
    }
}

/// Answers the balancer's questions for readiness.
pub async fn serve_ready<P: Platform>(listener: TcpListener, gateway: Arc<Gateway<P>>) {
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let gateway = Arc::clone(&gateway);
        tokio::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let status = readiness(&gateway, request.uri().path());
                async move { Ok::<_, Infallible>(plain(status, String::new())) }
            });
            serve_plain(stream, service).await;
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

/// Gives the metrics out.
pub async fn serve_metrics<P: Platform>(listener: TcpListener, gateway: Arc<Gateway<P>>) {
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let gateway = Arc::clone(&gateway);
        tokio::spawn(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let text = gateway.meters.text();
                async move { Ok::<_, Infallible>(plain(StatusCode::OK, text)) }
            });
            serve_plain(stream, service).await;
        });
    }
}

async fn serve_plain<S>(stream: TcpStream, service: S)
where
    S: hyper::service::Service<Request<Incoming>, Response = Reply, Error = Infallible>,
{
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(%error, "a connection for questions ended early");
    }
}

fn plain(status: StatusCode, text: String) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    *reply.status_mut() = status;
    reply
}

//! Reads a caller's request, finds its route and buffers its body.

use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, EXPECT, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use super::access::{authenticate, replace_key};
use super::fingerprint::fingerprint;
use super::outcome::{Outcome, Reason, remove_hop_by_hop_headers};
use super::state::Gateway;
use super::store::{HeaderNames, Platform, Stream};
use crate::decision::crash_suspects::Fingerprint;
use crate::decision::manifest::{Manifest, Route};
use crate::decision::organisations::Organisation;

/// Retry delay for callers refused because no version is known yet.
const NO_MANIFEST_RETRY_AFTER_MS: u64 = 300;

/// Retry delay for callers refused because [`BodyMemory`] is full.
const MEMORY_FULL_RETRY_AFTER_MS: u64 = 300;

/// Time for the rest of the body of a request that is refused for want of a key. The body usually
/// arrives with the head or right after it, and the connection closes if it is not read.
const UNWANTED_BODY_TIME: Duration = Duration::from_millis(20);

/// Characters of a path in a log line, enough to show the prefix that selects a route.
const MAX_LOGGED_PATH_CHARS: usize = 128;

/// Limit on the memory used by the bodies of all requests together.
#[derive(Debug)]
pub struct BodyMemory {
    limit_bytes: usize,
    reserved_bytes: AtomicUsize,
}

impl BodyMemory {
    /// Creates a limit of `limit_bytes`, with nothing reserved.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            limit_bytes,
            reserved_bytes: AtomicUsize::new(0),
        })
    }
}

/// Memory reserved by one request; released when dropped.
#[derive(Debug)]
pub struct BodyReservation {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl BodyReservation {
    /// Creates an empty reservation.
    #[must_use]
    pub fn new(memory: &Arc<BodyMemory>) -> Self {
        Self {
            memory: Arc::clone(memory),
            bytes: 0,
        }
    }

    /// Reserves more memory; false if that exceeds the limit.
    ///
    /// The bytes stay reserved either way; the caller drops the reservation.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let reserved_before = self
            .memory
            .reserved_bytes
            .fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        reserved_before + bytes <= self.memory.limit_bytes
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory
            .reserved_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A caller's request, ready to be sent to an upstream.
#[derive(Debug)]
pub struct Call {
    /// The caller's request id, if it sent one.
    pub id: Option<HeaderValue>,
    /// The caller's method, sent unchanged.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers to forward; without hop-by-hop headers and the length.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Memory reserved for the body.
    pub reservation: BodyReservation,
    /// The route that the host and path match.
    pub route: Arc<Route>,
    /// The organisation that the request belongs to, if it is known.
    pub organisation: Option<Arc<Organisation>>,
    /// Version of the routes that `route` belongs to, for the log.
    pub version: u64,
    /// When the gateway received the request's head.
    pub arrived: Instant,
    /// The earlier of the caller's deadline and the route's timeout.
    pub deadline: Instant,
    /// Cache of [`Call::fingerprint`].
    pub fingerprint: OnceLock<Fingerprint>,
}

impl Call {
    /// Milliseconds until the deadline; 0 once it has passed.
    #[must_use]
    pub fn left_ms(&self) -> u64 {
        to_ms(self.deadline.saturating_duration_since(Instant::now()))
    }

    /// Milliseconds since the request arrived.
    #[must_use]
    pub fn held_ms(&self) -> u64 {
        to_ms(self.arrived.elapsed())
    }

    /// Priority of the organisation, or else of the route; 0 is the highest.
    #[must_use]
    pub fn priority(&self) -> u8 {
        let organisation = self.organisation.as_ref();
        organisation
            .and_then(|organisation| organisation.priority)
            .unwrap_or(self.route.priority)
    }

    /// The host that the caller named in its headers.
    #[must_use]
    pub fn host(&self) -> Option<&str> {
        self.headers.get(HOST)?.to_str().ok()
    }

    /// Identifies the request across its repetitions.
    #[must_use]
    pub fn fingerprint(&self, names: &HeaderNames) -> Fingerprint {
        *self.fingerprint.get_or_init(|| fingerprint(self, names))
    }

    /// The request id for log lines; see [`id_text`].
    #[must_use]
    pub fn id_text(&self) -> &str {
        id_text(self.id.as_ref())
    }
}

/// Formats a request id for log lines; `none` if it is missing or not text.
#[must_use]
pub fn id_text(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("none")
}

/// Converts a duration to whole milliseconds, rounded down.
#[must_use]
pub fn to_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Finds the route of a request and reads its body.
///
/// # Errors
/// Returns the final response to the caller if no version is known, no route
/// matches, the request needs a key and has no known one, the body is too long or cannot be
/// read, or [`BodyMemory`] is full.
pub async fn read_call<P: Platform>(
    gateway: &Gateway<P>,
    request: Request<Incoming>,
    manifest: Option<&Arc<Manifest>>,
) -> Result<Call, Outcome> {
    let names = gateway.platform.headers();
    let arrived = Instant::now();
    let Some(manifest) = manifest else {
        return Err(Outcome::refused(
            Reason::NoManifest,
            NO_MANIFEST_RETRY_AFTER_MS,
        ));
    };
    let (head, body) = request.into_parts();
    let host = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let path = head.uri.path();
    let Some(route) = manifest.route(host, path) else {
        log_no_route(gateway, head.headers.get(&names.request_id), host, path);
        return Err(Outcome::gateway_error(Reason::NoRoute));
    };
    let limit_bytes = manifest.limits.max_body_bytes;
    let organisation = match authenticate(gateway, manifest, route, &head.headers) {
        Ok(organisation) => organisation,
        Err(refusal) => {
            if !head.headers.contains_key(EXPECT) {
                discard_body(body, limit_bytes).await;
            }
            return Err(refusal.into());
        }
    };
    let (body, reservation) = read_body(body, limit_bytes, &gateway.body_memory).await?;
    // Keys may have been removed while the body arrived.
    let newer = gateway
        .manifest()
        .filter(|newest| !Arc::ptr_eq(newest, manifest));
    let organisation = match &newer {
        Some(newer) => authenticate(gateway, newer, route, &head.headers)?,
        None => organisation,
    };
    let key_version = newer.as_ref().unwrap_or(manifest);
    let timeout_ms = parse_number(&head.headers, &names.deadline_ms).unwrap_or(route.timeout_ms);
    let deadline = arrived + Duration::from_millis(timeout_ms.min(route.timeout_ms));
    let target = head
        .uri
        .path_and_query()
        .map_or_else(|| path.to_owned(), ToString::to_string);
    let id = head.headers.get(&names.request_id).cloned();
    let mut headers = head.headers;
    remove_hop_by_hop_headers(&mut headers);
    // The length is written anew from the buffered body.
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    headers.remove(&names.expected_upstream);
    replace_key(&mut headers, names, key_version, organisation.as_deref())?;
    Ok(Call {
        id,
        method: head.method,
        target,
        headers,
        body,
        reservation,
        route: Arc::clone(route),
        organisation,
        version: manifest.version,
        arrived,
        deadline,
        fingerprint: OnceLock::new(),
    })
}

/// Logs the target of a request without a route, and how old the routes may be.
fn log_no_route<P: Platform>(
    gateway: &Gateway<P>,
    id: Option<&HeaderValue>,
    host: &str,
    path: &str,
) {
    if !gateway.log_budget.take() {
        return;
    }
    let version = gateway.manifest().map(|manifest| manifest.version);
    let confirmed_age_ms = gateway
        .stream_ages
        .age_ms(Stream::Operator, gateway.now_ms());
    let path: String = path.chars().take(MAX_LOGGED_PATH_CHARS).collect();
    tracing::info!(
        request = id_text(id),
        host,
        path,
        version,
        confirmed_age_ms,
        "request refused: no route matches"
    );
}

async fn read_body(
    body: Incoming,
    limit_bytes: usize,
    memory: &Arc<BodyMemory>,
) -> Result<(Bytes, BodyReservation), Outcome> {
    let mut reservation = BodyReservation::new(memory);
    let mut body = pin!(Limited::new(body, limit_bytes));
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let data = match frame {
            Ok(frame) => frame.into_data().unwrap_or_default(),
            Err(error) if error.is::<LengthLimitError>() => {
                return Err(Outcome::gateway_error(Reason::BodyTooLong));
            }
            Err(_) => return Err(Outcome::gateway_error(Reason::BadRequest)),
        };
        if !reservation.grow(data.len()) {
            return Err(Outcome::refused(
                Reason::Overloaded,
                MEMORY_FULL_RETRY_AFTER_MS,
            ));
        }
        buffer.extend_from_slice(&data);
    }
    Ok((buffer.freeze(), reservation))
}

/// Reads what arrives of an unwanted body, so that the caller's connection stays open.
async fn discard_body(body: Incoming, limit_bytes: usize) {
    let mut body = pin!(Limited::new(body, limit_bytes));
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    // Without the end of the body, the connection closes after the response.
    let _ = timeout(UNWANTED_BODY_TIME, read).await;
}

fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

//! A caller's request, checked and read whole.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::HOST;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::outcome::{Outcome, Reason, remove_hop_headers};
use super::store::HeaderNames;
use crate::decision::manifest::{Manifest, Route};

/// Time after which a caller without a configured route may return.
const NO_MANIFEST_RETURN_MS: u64 = 300;

/// Time after which a caller may return that came while bodies filled the
/// memory.
const MEMORY_RETURN_MS: u64 = 300;

/// Memory that the bodies of all requests may take.
#[derive(Debug)]
pub struct BodyMemory {
    most_bytes: usize,
    held_bytes: AtomicUsize,
}

impl BodyMemory {
    /// Memory for so many bytes.
    #[must_use]
    pub fn new(most_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            most_bytes,
            held_bytes: AtomicUsize::new(0),
        })
    }
}

/// The part of that memory that one request holds.
#[derive(Debug)]
pub struct BodyShare {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl BodyShare {
    /// An empty part.
    #[must_use]
    pub fn new(memory: &Arc<BodyMemory>) -> Self {
        Self {
            memory: Arc::clone(memory),
            bytes: 0,
        }
    }

    /// Takes more; false if there is not enough.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let held = self.memory.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        held + bytes <= self.memory.most_bytes
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.memory
            .held_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A request on its way to an upstream.
#[derive(Debug)]
pub struct Call {
    /// Id that the caller gave it, if any.
    pub id: Option<HeaderValue>,
    /// Method.
    pub method: Method,
    /// Path with query.
    pub target: String,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Memory that the body takes.
    pub share: BodyShare,
    /// How it is served.
    pub route: Arc<Route>,
    /// Version that the route is from.
    pub version: u64,
    /// When it came.
    pub arrived: Instant,
    /// When the caller or the route gives up.
    pub deadline: Instant,
}

impl Call {
    /// Time left, in milliseconds.
    #[must_use]
    pub fn left_ms(&self) -> u64 {
        to_ms(self.deadline.saturating_duration_since(Instant::now()))
    }

    /// Time since it came, in milliseconds.
    #[must_use]
    pub fn held_ms(&self) -> u64 {
        to_ms(self.arrived.elapsed())
    }

    /// The id as text, for log lines.
    #[must_use]
    pub fn id_text(&self) -> &str {
        id_text(self.id.as_ref())
    }
}

/// An id as text, for log lines.
#[must_use]
pub fn id_text(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("none")
}

/// Whole milliseconds of a time.
#[must_use]
pub fn to_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Finds the route and reads the body.
///
/// # Errors
/// The final answer where the request is not served.
pub async fn read(
    request: Request<Incoming>,
    manifest: Option<&Arc<Manifest>>,
    names: &HeaderNames,
    memory: &Arc<BodyMemory>,
) -> Result<Call, Outcome> {
    let arrived = Instant::now();
    let Some(manifest) = manifest else {
        return Err(Outcome::refused(Reason::NoManifest, NO_MANIFEST_RETURN_MS));
    };
    let (head, body) = request.into_parts();
    let host = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let path = head.uri.path();
    let Some(route) = manifest.route(host, path) else {
        return Err(Outcome::own(Reason::NoRoute));
    };
    let (body, share) = read_body(body, manifest.limits.body_max_bytes, memory).await?;
    let caller_ms = number(&head.headers, &names.deadline_ms).unwrap_or(route.timeout_ms);
    let deadline = arrived + Duration::from_millis(caller_ms.min(route.timeout_ms));
    let target = head
        .uri
        .path_and_query()
        .map_or_else(|| path.to_owned(), ToString::to_string);
    let id = head.headers.get(&names.request_id).cloned();
    let mut headers = head.headers;
    remove_hop_headers(&mut headers);
    // The length is written anew from the body.
    headers.remove(http::header::CONTENT_LENGTH);
    headers.remove(http::header::EXPECT);
    headers.remove(&names.expected_upstream);
    Ok(Call {
        id,
        method: head.method,
        target,
        headers,
        body,
        share,
        route: Arc::clone(route),
        version: manifest.version,
        arrived,
        deadline,
    })
}

async fn read_body(
    body: Incoming,
    limit_bytes: usize,
    memory: &Arc<BodyMemory>,
) -> Result<(Bytes, BodyShare), Outcome> {
    let mut share = BodyShare::new(memory);
    let mut body = pin!(Limited::new(body, limit_bytes));
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let data = match frame {
            Ok(frame) => frame.into_data().unwrap_or_default(),
            Err(error) if error.is::<LengthLimitError>() => {
                return Err(Outcome::own(Reason::BodyTooLong));
            }
            Err(_) => return Err(Outcome::own(Reason::BadRequest)),
        };
        if !share.grow(data.len()) {
            return Err(Outcome::refused(Reason::Overloaded, MEMORY_RETURN_MS));
        }
        whole.extend_from_slice(&data);
    }
    Ok((whole.freeze(), share))
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

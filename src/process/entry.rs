//! Serves callers over HTTP. `docs/INTERFACE.md` describes the interface.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::{Body as HttpBody, to_bytes};
use axum::extract::{Request, State};
use axum::http::header::{
    AUTHORIZATION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER, TRANSFER_ENCODING,
};
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::response::Response;
use axum::routing::get;
use thiserror::Error;
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout};

use super::keyed;
use super::metrics::{Counter, Timer};
use super::node::Node;
use super::routing::route_call;
use crate::connection::upstream::{headers_from_map, headers_to_map};
use crate::request::call::Call;
use crate::request::context::{Context, ContextError};
use crate::request::headers::{self, HeaderError};
use crate::request::outcome::{Answer, NotRunReason, Outcome, UnknownReason};
use crate::version::objects::{Objects, Service};

/// Path prefix of calls; the name of the service follows.
const CALL_PREFIX: &str = "/call/";
/// Calls that one instance serves concurrently.
const MAX_CALLS: usize = 4096;
/// Total size of the request bodies that one instance holds at a time.
const MAX_BODIES_KIB: usize = 128 * 1024;
/// Time in which the whole body of a call must arrive.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for the process to catch up after a stall. Applies before the
/// call's deadline is parsed.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after which a caller may retry at an instance that is full or
/// isolated.
const RETRY_AFTER_MS: u64 = 1_000;

/// Why a call was rejected before it was routed; it has not run.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The path is not `/call/SERVICE/PATH`.
    #[error("the path must be {CALL_PREFIX}SERVICE/PATH; correct it")]
    InvalidPath,
    /// No service has the name given in the path.
    #[error("no service is named \"{0}\"; correct the path")]
    UnknownService(String),
    /// The call has neither an API key nor a context.
    #[error("the call names no organisation; send \"Authorization: Bearer API-KEY\"")]
    MissingApiKey,
    /// No organisation has the API key.
    #[error("the API key belongs to no organisation; use a key that is in force")]
    UnknownApiKey,
    /// The context header is malformed, has a wrong signature or is too deep.
    #[error(transparent)]
    Context(#[from] ContextError),
    /// One of the headers for chicorywing is invalid.
    #[error(transparent)]
    Header(#[from] HeaderError),
    /// The method is not idempotent and the call has no idempotency key.
    #[error(
        "{0} calls of this service may not be repeated and need an \"Idempotency-Key\"; send one"
    )]
    MissingIdempotencyKey(String),
    /// The body exceeds the limit of the service, in bytes.
    #[error("the body is larger than {0} bytes; send a smaller one")]
    BodyTooLarge(usize),
    /// The body broke off or did not arrive in time.
    #[error("the body did not come whole within {limit} s; send it again", limit = BODY_READ_TIMEOUT.as_secs())]
    IncompleteBody,
}

impl EntryError {
    fn status(&self) -> StatusCode {
        match self {
            Self::InvalidPath | Self::UnknownService(_) => StatusCode::NOT_FOUND,
            Self::MissingApiKey | Self::UnknownApiKey => StatusCode::UNAUTHORIZED,
            Self::Context(_) => StatusCode::FORBIDDEN,
            Self::Header(_) | Self::MissingIdempotencyKey(_) => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::IncompleteBody => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

#[derive(Clone)]
struct EntryState {
    node: Arc<Node>,
    call_permits: Arc<Semaphore>,
    body_kib_permits: Arc<Semaphore>,
}

/// Returns the routes for callers: calls and health checks.
pub fn router(node: Arc<Node>) -> Router {
    let entry = EntryState {
        node,
        call_permits: Arc::new(Semaphore::new(MAX_CALLS)),
        body_kib_permits: Arc::new(Semaphore::new(MAX_BODIES_KIB)),
    };
    Router::new()
        .route("/health/live", get(|| async { "live\n" }))
        .route("/health/ready", get(ready))
        .fallback(serve)
        .with_state(entry)
}

async fn ready(State(entry): State<EntryState>) -> (StatusCode, &'static str) {
    if entry.node.is_ready() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn serve(State(entry): State<EntryState>, request: Request) -> Response {
    let started = Instant::now();
    let node = &entry.node;
    let has_key = request.headers().contains_key(headers::IDEMPOTENCY_KEY);
    let outcome = match entry.call_permits.try_acquire() {
        Ok(_permit) => run(&entry, request, started).await,
        Err(_) => Ok(reject_early(NotRunReason::Overloaded, has_key)),
    };
    let elapsed_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    node.metrics.record_time(Timer::CallUs, elapsed_us);
    match outcome {
        Ok((outcome, id)) => {
            node.metrics.count(match outcome {
                Outcome::Result(_) => Counter::CallsResult,
                Outcome::NotRun { .. } => Counter::CallsNotRun,
                Outcome::Unknown { .. } => Counter::CallsUnknown,
            });
            respond(outcome, &id)
        }
        Err(error) => {
            node.metrics.count(Counter::CallsNotRun);
            respond_error(&error, has_key)
        }
    }
}

async fn run(
    entry: &EntryState,
    request: Request,
    started: Instant,
) -> Result<(Outcome, Arc<str>), EntryError> {
    let node = &entry.node;
    let has_key = request.headers().contains_key(headers::IDEMPOTENCY_KEY);
    let is_serving = node.accepted.load().version > 0 && node.is_joined();
    if !is_serving || !node.wait_may_send(started + CATCH_UP_TIMEOUT).await {
        return Ok(reject_early(NotRunReason::Isolated, has_key));
    }
    let objects = node.objects();
    let (parts, body) = request.into_parts();
    let path_and_query = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let (service, path) = split_path(&objects, path_and_query)?;
    let context = authenticate(node, &objects, &parts.headers)?;
    let timeout_header = find_unique_header(&parts.headers, headers::TIMEOUT_MS)?;
    let timeout_ms = headers::parse_timeout_ms(timeout_header.map(HeaderValue::as_bytes))?;
    let is_idempotent = service.is_idempotent(parts.method.as_str());
    let key = find_idempotency_key(&parts.headers)?;
    if !is_idempotent && key.is_none() {
        return Err(EntryError::MissingIdempotencyKey(parts.method.to_string()));
    }
    let reserved_kib = reservation_kib(&parts.headers, service.body_limit_bytes);
    let Ok(_reservation) = entry.body_kib_permits.try_acquire_many(reserved_kib) else {
        return Ok(reject_early(NotRunReason::Overloaded, has_key));
    };
    let body = read_body(body, service.body_limit_bytes).await?;
    let deadline = started + Duration::from_millis(timeout_ms);
    let call = Arc::new(Call {
        id: new_id(node),
        service: Arc::clone(&service.name),
        organisation: context.organisation,
        tier: context.tier,
        method: parts.method.as_str().into(),
        path,
        headers: headers_from_map(&without_connection_headers(parts.headers)),
        body: crate::request::body::Body(body),
        key,
        is_idempotent,
        depth: context.depth,
        remaining_us: super::clock::remaining_us(deadline),
        avoid: None,
    });
    let id = Arc::clone(&call.id);
    let outcome = if is_idempotent {
        route_call(node, call, deadline).await
    } else {
        keyed::serve(node, call, deadline).await
    };
    Ok((outcome, id))
}

/// Returns the outcome of a call that is rejected before its key is looked up.
///
/// The call has not run, but an earlier one with the same key may have; hence
/// the outcome is unknown if there is a key.
fn reject_early(reason: NotRunReason, has_key: bool) -> (Outcome, Arc<str>) {
    let outcome = if has_key {
        Outcome::unknown(UnknownReason::RecordsLost, RETRY_AFTER_MS)
    } else {
        Outcome::not_run(reason, RETRY_AFTER_MS)
    };
    (outcome, "".into())
}

fn new_id(node: &Node) -> Arc<str> {
    format!(
        "{}-{:x}-{}",
        node.me.name,
        node.me.incarnation,
        node.next_ticket()
    )
    .into()
}

fn split_path(
    objects: &Objects,
    path_and_query: &str,
) -> Result<(Arc<Service>, Arc<str>), EntryError> {
    let rest = path_and_query
        .strip_prefix(CALL_PREFIX)
        .ok_or(EntryError::InvalidPath)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let service = objects
        .services
        .get(name)
        .ok_or_else(|| EntryError::UnknownService(name.to_owned()))?;
    let path: Arc<str> = if path.starts_with('/') {
        path.into()
    } else {
        format!("/{path}").into()
    };
    Ok((Arc::clone(service), path))
}

/// Identifies the organisation of a call. A signed context takes precedence
/// over an API key.
fn authenticate(node: &Node, objects: &Objects, map: &HeaderMap) -> Result<Context, EntryError> {
    if let Some(value) = map.get(headers::CONTEXT) {
        let value = value.to_str().map_err(|_| ContextError::Malformed)?;
        let mut context = Context::verify(value, &node.config.context_secret)?;
        context.depth += 1;
        if context.depth > crate::request::context::MAX_DEPTH {
            return Err(ContextError::TooDeep.into());
        }
        return Ok(context);
    }
    let value = map.get(AUTHORIZATION).ok_or(EntryError::MissingApiKey)?;
    let value = value.to_str().map_err(|_| EntryError::UnknownApiKey)?;
    let api_key = value
        .strip_prefix("Bearer ")
        .ok_or(EntryError::MissingApiKey)?;
    let organisation = objects
        .organisation_of(api_key)
        .ok_or(EntryError::UnknownApiKey)?;
    Ok(Context {
        organisation: Arc::clone(&organisation.name),
        tier: organisation.tier,
        depth: 0,
    })
}

fn find_idempotency_key(map: &HeaderMap) -> Result<Option<Arc<str>>, EntryError> {
    let Some(value) = find_unique_header(map, headers::IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    Ok(Some(
        headers::parse_idempotency_key(value.as_bytes())?.into(),
    ))
}

/// Returns the value of a header that may appear only once.
fn find_unique_header<'m>(
    map: &'m HeaderMap,
    name: &'static str,
) -> Result<Option<&'m HeaderValue>, HeaderError> {
    let mut values = map.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(HeaderError::Duplicate(name));
    }
    Ok(first)
}

/// Removes the headers that `Connection` lists (RFC 9110, section 7.6.1), and
/// the idempotency key, which `Call` carries in its own field.
fn without_connection_headers(mut map: HeaderMap) -> HeaderMap {
    let listed: Vec<String> = map
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed {
        map.remove(name.as_str());
    }
    map.remove(headers::IDEMPOTENCY_KEY);
    map
}

/// Size to reserve for a body: its declared length, otherwise the service's
/// limit.
fn reservation_kib(map: &HeaderMap, limit_bytes: usize) -> u32 {
    let content_length = map
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    // A request with neither a length nor chunked encoding has no body.
    let is_chunked = map.contains_key(TRANSFER_ENCODING);
    let bytes = content_length.unwrap_or(if is_chunked { limit_bytes } else { 0 });
    u32::try_from(bytes.min(limit_bytes).div_ceil(1024)).unwrap_or(u32::MAX)
}

async fn read_body(body: HttpBody, limit_bytes: usize) -> Result<bytes::Bytes, EntryError> {
    match timeout(BODY_READ_TIMEOUT, to_bytes(body, limit_bytes)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error)) if is_length_limit(&error) => Err(EntryError::BodyTooLarge(limit_bytes)),
        Ok(Err(_)) | Err(_) => Err(EntryError::IncompleteBody),
    }
}

fn is_length_limit(error: &axum::Error) -> bool {
    let source = std::error::Error::source(error);
    source.is_some_and(<dyn std::error::Error + 'static>::is::<http_body_util::LengthLimitError>)
}

fn respond(outcome: Outcome, id: &str) -> Response {
    let mut response = match outcome {
        Outcome::Result(answer) => respond_result(answer),
        Outcome::NotRun {
            reason,
            retry_after_ms,
        } => {
            let status = match reason {
                NotRunReason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            };
            respond_without_result(status, "not-run", &reason.to_string(), retry_after_ms)
        }
        Outcome::Unknown {
            reason,
            retry_after_ms,
        } => {
            let status = StatusCode::GATEWAY_TIMEOUT;
            respond_without_result(status, "unknown", &reason.to_string(), retry_after_ms)
        }
    };
    set_header(&mut response, headers::CALL_ID, id);
    response
}

fn respond_result(answer: Answer) -> Response {
    let mut response = Response::new(HttpBody::from(answer.body.0));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    *response.headers_mut() = headers_to_map(&answer.headers);
    set_header(&mut response, headers::OUTCOME, "result");
    set_header(&mut response, headers::UPSTREAM, &answer.upstream);
    response
}

fn respond_without_result(
    status: StatusCode,
    outcome: &str,
    reason: &str,
    retry_after_ms: u64,
) -> Response {
    let body = format!("{{\"outcome\":\"{outcome}\",\"reason\":\"{reason}\"}}\n");
    let mut response = Response::new(HttpBody::from(body));
    *response.status_mut() = status;
    set_header(&mut response, CONTENT_TYPE.as_str(), "application/json");
    set_header(&mut response, headers::OUTCOME, outcome);
    set_header(&mut response, headers::REASON, reason);
    set_header(
        &mut response,
        headers::RETRY_AFTER_MS,
        &retry_after_ms.to_string(),
    );
    let seconds = retry_after_ms.div_ceil(1000).max(1);
    set_header(&mut response, RETRY_AFTER.as_str(), &seconds.to_string());
    response
}

fn respond_error(error: &EntryError, has_key: bool) -> Response {
    let mut response = Response::new(HttpBody::from(format!("{error}\n")));
    *response.status_mut() = error.status();
    let outcome = if has_key { "unknown" } else { "not-run" };
    set_header(&mut response, headers::OUTCOME, outcome);
    set_header(&mut response, headers::REASON, "bad-request");
    response
}

fn set_header(response: &mut Response, name: &str, value: &str) {
    let name = axum::http::HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        response.headers_mut().insert(name, value);
    }
}

//! How a request ends, as the caller and the log see it.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, RETRY_AFTER, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::Full;

use crate::connection::exchange::HttpResponse;

/// Why the gateway answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// No version of routes is known yet.
    NoManifest,
    /// No route fits.
    NoRoute,
    /// The request cannot be read.
    BadRequest,
    /// The body is longer than allowed.
    BodyTooLong,
    /// The process holds as many requests as it may.
    Overloaded,
    /// The route's service has no upstream that takes work.
    NoUpstream,
    /// No upstream has room in time.
    NoRoom,
    /// Every upstream that was tried refused before it began.
    Refused,
    /// The caller's deadline or the route's timeout passed before it was sent.
    LateUnsent,
    /// The caller's deadline or the route's timeout passed after it was sent.
    Late,
    /// The upstream cut the connection, or its answer was broken.
    UpstreamFailed,
}

impl Reason {
    /// The status that tells the caller whether the request may have run.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoManifest
            | Self::Overloaded
            | Self::NoUpstream
            | Self::NoRoom
            | Self::Refused
            | Self::LateUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
        }
    }
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Outcome {
    /// The upstream's answer, unchanged.
    Answered(HttpResponse),
    /// An answer of the gateway itself.
    Own {
        /// Why.
        reason: Reason,
        /// When the caller may return.
        return_after: Option<Duration>,
    },
}

impl Outcome {
    /// An answer without an invitation to return.
    #[must_use]
    pub fn own(reason: Reason) -> Self {
        Self::Own {
            reason,
            return_after: None,
        }
    }

    /// A refusal that tells when to return.
    #[must_use]
    pub fn refused(reason: Reason, return_ms: u64) -> Self {
        Self::Own {
            reason,
            return_after: Some(Duration::from_millis(return_ms)),
        }
    }

    /// Status that the caller gets.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Answered(answer) => answer.status,
            Self::Own { reason, .. } => reason.status(),
        }
    }

    /// The answer as it is written, with the request's id where it had one.
    #[must_use]
    pub fn into_response(
        self,
        id: Option<(&HeaderName, &HeaderValue)>,
        is_head: bool,
    ) -> Response<Full<Bytes>> {
        match self {
            Self::Answered(answer) => pass_on(answer, is_head),
            Self::Own {
                reason,
                return_after,
            } => own(reason, return_after, id),
        }
    }
}

fn pass_on(answer: HttpResponse, is_head: bool) -> Response<Full<Bytes>> {
    let mut headers = answer.headers;
    remove_hop_headers(&mut headers);
    if !is_head {
        headers.remove(CONTENT_LENGTH);
    }
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = headers;
    response
}

fn own(
    reason: Reason,
    return_after: Option<Duration>,
    id: Option<(&HeaderName, &HeaderValue)>,
) -> Response<Full<Bytes>> {
    let name: &'static str = reason.into();
    let mut response = Response::new(Full::new(Bytes::from_static(name.as_bytes())));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    if let Some((name, value)) = id {
        headers.insert(name.clone(), value.clone());
    }
    if let Some(after) = return_after {
        let text = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Takes out what concerns one connection only (RFC 9110, section 7.6.1).
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let mut named = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let Ok(text) = value.to_str() else {
            continue;
        };
        for part in text.split(',') {
            named.extend(HeaderName::from_bytes(part.trim().as_bytes()));
        }
    }
    for name in named {
        headers.remove(name);
    }
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
    for name in ["keep-alive", "proxy-connection", "te", "trailer", "upgrade"] {
        headers.remove(name);
    }
}

//! What instances tell each other to hand a request over.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};

use super::calls::to_ms;
use super::outcome::{Outcome, Reason, RunResponse, says_not_run};
use crate::connection::exchange::HttpResponse;
use crate::connection::response_memory::{ResponseMemory, ResponseReservation};

/// Largest request or response that is handed over, in bytes: tarpc's limit on frames is
/// 8 MiB, and headers and names come on top.
pub const MAX_HANDED_BYTES: usize = 7 * 1024 * 1024;

/// Whether an instance takes requests that another one cannot serve.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Offer {
    /// Whether it takes requests now.
    pub is_willing: bool,
    /// Time since an upstream answered it, in milliseconds; `None` without an answer.
    pub no_answer_ms: Option<u64>,
    /// Requests of other instances that it runs.
    pub taken: u32,
    /// Its clock when it answered, in milliseconds since its start.
    pub now_ms: u64,
    /// Other instances that it knows to be willing.
    pub willing: Vec<SocketAddr>,
}

/// A request that another instance is to run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HandedRequest {
    /// The caller's request id, if it sent one.
    #[serde(with = "serde_bytes")]
    pub id: Option<Vec<u8>>,
    /// The caller's method.
    pub method: String,
    /// Host that the route matches.
    pub host: String,
    /// Path and query.
    pub target: String,
    /// Headers to forward.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Service that the caller's instance picked by the route's weights.
    pub service: Arc<str>,
    /// Time since the request arrived at the caller's instance, in milliseconds.
    pub held_ms: u64,
    /// Time until its deadline, in milliseconds.
    pub left_ms: u64,
    /// Estimate of the receiver's clock at the moment of sending, from its offer.
    pub sent_ms: u64,
    /// Attempts so far.
    pub history: AttemptHistory,
}

/// How a request ended that was handed over.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HandedAnswer {
    /// The receiver did not take it, and nothing was sent.
    NotTaken {
        /// Why, for the log.
        why: String,
        /// Time after which it may take it, in milliseconds.
        retry_after_ms: u64,
    },
    /// It has ended.
    Ended {
        /// The response, or the receiver's reason.
        end: HandedEnd,
        /// All attempts, the earlier ones included.
        history: AttemptHistory,
    },
}

/// The end of a handed request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HandedEnd {
    /// An upstream answered.
    Response {
        /// Its status.
        status: u16,
        /// Its headers.
        headers: Vec<(String, Vec<u8>)>,
        /// The whole body. It holds its memory until it is encoded.
        #[serde(with = "body_bytes")]
        body: Bytes,
    },
    /// The receiver's own reason.
    Error {
        /// Determines the status and the body.
        reason: Reason,
        /// Retry delay, in milliseconds.
        retry_after_ms: Option<u64>,
    },
}

/// Earlier attempts to send a request, at all instances that it came by.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptHistory {
    /// Upstreams that were tried.
    pub tried: Vec<Arc<str>>,
    /// Requests that were sent to upstreams.
    pub sends: usize,
    /// Whether one of them may have run.
    pub may_have_run: bool,
}

impl AttemptHistory {
    /// Adds what another instance did with a request that it got with the history `before`.
    pub fn add(&mut self, before: &Self, after: Self) {
        self.add_tried(after.tried);
        self.sends += after.sends.saturating_sub(before.sends);
        self.may_have_run |= after.may_have_run;
    }

    /// Adds upstreams that were tried.
    pub fn add_tried(&mut self, upstreams: Vec<Arc<str>>) {
        for id in upstreams {
            if !self.tried.contains(&id) {
                self.tried.push(id);
            }
        }
    }

    /// Replaces an outcome that tells the caller that the request did not run, once an attempt
    /// may have run it.
    #[must_use]
    pub fn correct(&self, outcome: Outcome) -> Outcome {
        if says_not_run(outcome.status()) {
            return self.correct_refusal(outcome);
        }
        outcome
    }

    /// Replaces a refusal, which tells the caller that the request did not run,
    /// once an earlier attempt may have run it.
    #[must_use]
    pub fn correct_refusal(&self, refusal: Outcome) -> Outcome {
        if !self.may_have_run {
            return refusal;
        }
        match refusal {
            Outcome::GatewayError {
                reason: Reason::LateUnsent,
                ..
            } => Outcome::gateway_error(Reason::Late),
            Outcome::GatewayError {
                reason: Reason::CrashesUpstreams,
                retry_after,
            } => Outcome::GatewayError {
                reason: Reason::UpstreamFailed,
                retry_after,
            },
            _ => Outcome::gateway_error(Reason::UpstreamFailed),
        }
    }
}

impl HandedEnd {
    /// Encodes an outcome; a response that is too large for a frame becomes an error.
    #[must_use]
    pub fn from_outcome(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answered(response) if response.body.len() > MAX_HANDED_BYTES => Self::Error {
                reason: Reason::UpstreamFailed,
                retry_after_ms: None,
            },
            Outcome::Answered(response) => Self::Response {
                status: response.status.as_u16(),
                headers: encode_headers(&response.headers),
                body: response.body.clone(),
            },
            Outcome::GatewayError {
                reason,
                retry_after,
            } => Self::Error {
                reason,
                retry_after_ms: retry_after.map(to_ms),
            },
        }
    }

    /// Decodes the outcome; an invalid one may have run, and so may one whose status says that
    /// it has not: earlier builds pass such responses on.
    ///
    /// The body counts in `memory`; `None` if it finds no room there.
    #[must_use]
    pub fn into_outcome(self, memory: &Arc<ResponseMemory>) -> Option<Outcome> {
        match self {
            Self::Response {
                status,
                headers,
                body,
            } => {
                let Ok(status) = StatusCode::from_u16(status) else {
                    return Some(Outcome::gateway_error(Reason::UpstreamFailed));
                };
                let mut reservation = ResponseReservation::new(memory);
                if !reservation.grow_to(body.len()) {
                    return None;
                }
                let response = RunResponse::new(HttpResponse {
                    status,
                    headers: decode_headers(&headers),
                    body: reservation.attach_to(body),
                });
                Some(response.map_or_else(
                    |_| Outcome::gateway_error(Reason::UpstreamFailed),
                    Outcome::Answered,
                ))
            }
            Self::Error {
                reason,
                retry_after_ms,
            } => Some(Outcome::GatewayError {
                reason,
                retry_after: retry_after_ms.map(Duration::from_millis),
            }),
        }
    }
}

/// Encodes a body as `serde_bytes` does a `Vec<u8>`, without a copy.
mod body_bytes {
    use bytes::Bytes;
    use serde::{Deserializer, Serializer};
    use serde_bytes::ByteBuf;

    pub fn serialize<S: Serializer>(body: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        serde_bytes::serialize(body.as_ref(), serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
        let body: ByteBuf = serde_bytes::deserialize(deserializer)?;
        Ok(Bytes::from(body.into_vec()))
    }
}

/// Encodes headers in their order.
#[must_use]
pub fn encode_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let mut encoded = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        encoded.push((name.as_str().to_owned(), value.as_bytes().to_vec()));
    }
    encoded
}

/// Decodes headers; instances send only valid ones.
#[must_use]
pub fn decode_headers(encoded: &[(String, Vec<u8>)]) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(encoded.len());
    for (name, value) in encoded {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    headers
}

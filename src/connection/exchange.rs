//! HTTP/1.1 client for upstreams and the store, with one request at a time on each
//! connection.
//!
//! A connection matches responses to requests by the request's id and skips
//! responses to earlier requests. It never resends a request and never follows
//! redirects; after a failed exchange it cannot be used again.

use std::collections::HashSet;
use std::fmt::Write as _;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::arrivals::Arrivals;
use super::head::is_of_two_responses;
use super::response_memory::{ResponseMemory, ResponseReservation};

/// Most headers in one response.
const MAX_HEADERS: usize = 64;
/// Longest head (status line and headers) of a response.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Memory for the body of a response that shares no memory; the platform's largest
/// page is 1 MB.
const UNSHARED_MEMORY_BYTES: usize = 16 * 1024 * 1024;
/// Interim responses before the final one after which the exchange fails.
const MAX_INTERIM_RESPONSES: usize = 16;
/// Buffer space reserved before each read.
const READ_RESERVE_BYTES: usize = 4 * 1024;
/// Responses to other requests that are skipped before the exchange fails.
const MAX_STRAY_RESPONSES: usize = 4;
/// Refusals after which a connection is not reused, so that their ids take little memory.
const MAX_REFUSED_IDS: usize = 4_096;
/// Idle time before the first TCP keep-alive probe, and interval between probes.
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(1);
/// Unanswered TCP keep-alive probes after which the kernel closes the connection.
const MAX_KEEP_ALIVE_PROBES: u32 = 2;
/// Time after which an idle connection is not reused if the server sends no
/// `keep-alive: timeout`.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time for which an idle connection is reused, whatever the server announces.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_hours(1);
/// Margin by which reuse ends before the server's announced idle timeout.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// A request to send.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// Method; decides whether an empty body gets a `content-length`.
    pub method: Method,
    /// Request target: path and query.
    pub target: String,
    /// All headers except `content-length`, which the connection adds.
    pub headers: HeaderMap,
    /// Body; empty for none.
    pub body: Bytes,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Final status, never an informational (1xx) one.
    pub status: StatusCode,
    /// All headers, unchanged.
    pub headers: HeaderMap,
    /// The body without transfer coding.
    pub body: Bytes,
}

/// Why an exchange failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection was closed or reset before the response was complete.
    #[error("the connection was closed: {0}")]
    Disconnected(std::io::Error),
    /// The received bytes are not a valid response to the request.
    #[error("invalid response: {0}")]
    InvalidResponse(&'static str),
    /// Other responses hold the memory that the body needs; the server did nothing wrong.
    #[error("other responses hold the memory that the body needs")]
    NoMemory,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// A client connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    is_reusable: bool,
    usable_until: Instant,
    /// Whether a response has carried its request's id, so that one without an id belongs
    /// to none.
    server_sends_ids: bool,
    /// Hashes of the ids of requests that the server has refused.
    refused_ids: HashSet<u64>,
}

/// The id by which a response is known to belong to its request.
struct ExpectedId<'r> {
    name: &'r HeaderName,
    value: &'r HeaderValue,
    /// Whether a response without an id cannot be the right one.
    is_required: bool,
}

/// Reads one response: its connection's reading half, the bytes that were received and
/// not used yet, and the memory that its body may take.
struct ResponseReader<'c, R> {
    reader: R,
    buffer: &'c mut BytesMut,
    reservation: ResponseReservation,
    arrivals: Option<&'c Arrivals>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Returns an error if the server refuses the connection or does not accept it
    /// within `connect_timeout`.
    pub async fn open(address: SocketAddr, connect_timeout: Duration) -> std::io::Result<Self> {
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(connect_timeout, connect)
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let keep_alive = socket2::TcpKeepalive::new()
            .with_time(KEEP_ALIVE_IDLE)
            .with_interval(KEEP_ALIVE_IDLE)
            .with_retries(MAX_KEEP_ALIVE_PROBES);
        socket2::SockRef::from(&stream).set_tcp_keepalive(&keep_alive)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            is_reusable: true,
            usable_until: Instant::now() + DEFAULT_IDLE_TIMEOUT,
            server_sends_ids: false,
            refused_ids: HashSet::new(),
        })
    }

    /// Whether another request may be sent.
    ///
    /// A connection with unread bytes is not usable, since they belong to no request.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        if !self.is_reusable || !self.buffer.is_empty() || Instant::now() >= self.usable_until {
            return false;
        }
        let mut byte = [0];
        let found = self.stream.try_read(&mut byte);
        matches!(found, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the complete response, whose body may take a few
    /// megabytes.
    ///
    /// # Errors
    /// As [`Connection::exchange_within`].
    pub async fn exchange(
        &mut self,
        request: &HttpRequest,
        id_header: Option<&HeaderName>,
    ) -> Result<HttpResponse, ExchangeError> {
        let memory = ResponseMemory::new(UNSHARED_MEMORY_BYTES);
        self.exchange_within(request, id_header, &memory).await
    }

    /// Like [`Connection::exchange`], without ids; counts the bytes received in `arrivals`.
    ///
    /// # Errors
    /// As [`Connection::exchange_within`].
    pub async fn exchange_observed(
        &mut self,
        request: &HttpRequest,
        arrivals: &Arrivals,
    ) -> Result<HttpResponse, ExchangeError> {
        let memory = ResponseMemory::new(UNSHARED_MEMORY_BYTES);
        self.exchange_matching(request, None, false, &memory, Some(arrivals))
            .await
    }

    /// Sends a request and reads the complete response into `memory`.
    ///
    /// `id_header` matches responses to requests. Dropping the future leaves the
    /// connection unusable; the caller must drop it, too.
    ///
    /// # Errors
    /// Returns an error if the connection is closed early, or the response is invalid or
    /// too long.
    pub async fn exchange_within(
        &mut self,
        request: &HttpRequest,
        id_header: Option<&HeaderName>,
        memory: &Arc<ResponseMemory>,
    ) -> Result<HttpResponse, ExchangeError> {
        let must_have_id = self.server_sends_ids;
        let response = self
            .exchange_matching(request, id_header, must_have_id, memory, None)
            .await?;
        self.server_sends_ids |= id_header.is_some_and(|name| response.headers.contains_key(name));
        Ok(response)
    }

    /// Records that the server has refused a request with this id.
    pub fn note_refusal(&mut self, id: &HeaderValue) {
        self.refused_ids.insert(hash(id));
        self.is_reusable &= self.refused_ids.len() < MAX_REFUSED_IDS;
    }

    /// Whether the server has refused a request with this id, so that a second copy of the
    /// refusal could not be told from the response to another request with the id.
    #[must_use]
    pub fn has_refused(&self, id: &HeaderValue) -> bool {
        self.refused_ids.contains(&hash(id))
    }

    /// Like [`Connection::exchange_within`], for probes: servers may send ids in their
    /// other responses only.
    ///
    /// # Errors
    /// As [`Connection::exchange_within`].
    pub async fn probe_within(
        &mut self,
        request: &HttpRequest,
        id_header: Option<&HeaderName>,
        memory: &Arc<ResponseMemory>,
    ) -> Result<HttpResponse, ExchangeError> {
        self.exchange_matching(request, id_header, false, memory, None)
            .await
    }

    async fn exchange_matching(
        &mut self,
        request: &HttpRequest,
        id_header: Option<&HeaderName>,
        must_have_id: bool,
        memory: &Arc<ResponseMemory>,
        arrivals: Option<&Arrivals>,
    ) -> Result<HttpResponse, ExchangeError> {
        self.is_reusable = false;
        let bytes = encode(request);
        let expected_id = id_header.and_then(|name| Some((name, request.headers.get(name)?)));
        let (reader, mut writer) = self.stream.split();
        let write = async {
            writer.write_all(&bytes).await?;
            if !request.body.is_empty() {
                writer.write_all(&request.body).await?;
            }
            Ok::<(), std::io::Error>(())
        };
        let response_reader = ResponseReader {
            reader,
            buffer: &mut self.buffer,
            reservation: ResponseReservation::new(memory),
            arrivals,
        };
        let expected = expected_id.map(|(name, value)| ExpectedId {
            name,
            value,
            is_required: must_have_id,
        });
        let read = response_reader.read_matching(&request.method, expected);
        tokio::pin!(write);
        tokio::pin!(read);
        let mut is_written = false;
        let (response, is_keep_alive) = loop {
            tokio::select! {
                written = &mut write, if !is_written => {
                    written.map_err(ExchangeError::Disconnected)?;
                    is_written = true;
                }
                response = &mut read => break response?,
            }
        };
        // The server would read the next request as the rest of a body that is partly sent.
        self.is_reusable = is_keep_alive && is_written;
        self.usable_until = Instant::now() + idle_timeout(&response.headers);
        Ok(response)
    }
}

fn hash(id: &HeaderValue) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Time for which an idle connection may be reused.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let announced = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse().ok())
        .map(Duration::from_secs);
    announced.map_or(DEFAULT_IDLE_TIMEOUT, |time| {
        time.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIMEOUT)
    })
}

fn encode(request: &HttpRequest) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512);
    bytes.extend_from_slice(request.method.as_str().as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(request.target.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in &request.headers {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    let has_body = !request.body.is_empty();
    let may_have_body = !matches!(
        request.method,
        Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS | Method::TRACE
    );
    if has_body || may_have_body {
        let mut length = String::new();
        // Writing to a string cannot fail.
        let _ = write!(length, "content-length: {}\r\n", request.body.len());
        bytes.extend_from_slice(length.as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

fn has_token(headers: &HeaderMap, token: &str) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(token))
}

/// Removes a complete head from the buffer; `None` while it is incomplete.
fn parse_head(buffer: &mut BytesMut) -> Result<Option<(StatusCode, HeaderMap)>, ExchangeError> {
    let mut found = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut found);
    let parsed = head
        .parse(buffer)
        .map_err(|_| ExchangeError::InvalidResponse("the head is malformed"))?;
    let httparse::Status::Complete(length) = parsed else {
        return Ok(None);
    };
    if is_of_two_responses(&buffer[..length]) {
        return Err(ExchangeError::InvalidResponse(
            "the head consists of parts of two responses",
        ));
    }
    let status = head
        .code
        .and_then(|code| StatusCode::from_u16(code).ok())
        .ok_or(ExchangeError::InvalidResponse(
            "the status code is malformed",
        ))?;
    let mut headers = HeaderMap::with_capacity(head.headers.len());
    for header in head.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes())
            .map_err(|_| ExchangeError::InvalidResponse("a header name is malformed"))?;
        let value = HeaderValue::from_bytes(header.value)
            .map_err(|_| ExchangeError::InvalidResponse("a header value is malformed"))?;
        headers.append(name, value);
    }
    buffer.advance(length);
    Ok(Some((status, headers)))
}

fn framing(
    method: &Method,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<Framing, ExchangeError> {
    let is_bodiless = method == Method::HEAD
        || status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    if is_bodiless {
        return Ok(Framing::Length(0));
    }
    let lengths: Vec<&HeaderValue> = headers.get_all(CONTENT_LENGTH).iter().collect();
    if let Some(coding) = headers.get(TRANSFER_ENCODING) {
        if !lengths.is_empty() {
            return Err(ExchangeError::InvalidResponse(
                "both content-length and transfer-encoding are set",
            ));
        }
        if coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
            return Ok(Framing::Chunked);
        }
        return Err(ExchangeError::InvalidResponse(
            "the transfer coding is not supported",
        ));
    }
    match lengths[..] {
        [] => Ok(Framing::UntilClose),
        [length] => parse_length(length).map(Framing::Length),
        _ => Err(ExchangeError::InvalidResponse(
            "content-length is set more than once",
        )),
    }
}

fn parse_length(value: &HeaderValue) -> Result<usize, ExchangeError> {
    value
        .to_str()
        .ok()
        .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))
        .and_then(|text| text.parse().ok())
        .ok_or(ExchangeError::InvalidResponse(
            "content-length is malformed",
        ))
}

impl<R: AsyncRead + Unpin> ResponseReader<'_, R> {
    /// Reads responses until one does not carry a different id; the flag says whether
    /// the connection may be reused.
    async fn read_matching(
        mut self,
        method: &Method,
        expected: Option<ExpectedId<'_>>,
    ) -> Result<(HttpResponse, bool), ExchangeError> {
        let mut stray_responses = 0;
        let mut interim_responses = 0;
        loop {
            let (mut response, framing) = self.read_response(method).await?;
            if response.status.is_informational() {
                interim_responses += 1;
                if interim_responses > MAX_INTERIM_RESPONSES {
                    return Err(ExchangeError::InvalidResponse("too many interim responses"));
                }
                continue;
            }
            let mut is_stray = false;
            if let Some(expected) = &expected {
                match response.headers.get(expected.name) {
                    Some(found) => is_stray = found != expected.value,
                    None if expected.is_required => {
                        return Err(ExchangeError::InvalidResponse("it carries no request id"));
                    }
                    None => {}
                }
            }
            if !is_stray {
                let is_keep_alive = framing != Framing::UntilClose
                    && stray_responses == 0
                    && !has_token(&response.headers, "close");
                response.body = self.reservation.attach_to(response.body);
                return Ok((response, is_keep_alive));
            }
            stray_responses += 1;
            if framing == Framing::UntilClose || stray_responses > MAX_STRAY_RESPONSES {
                return Err(ExchangeError::InvalidResponse(
                    "it belongs to another request",
                ));
            }
        }
    }

    async fn read_response(
        &mut self,
        method: &Method,
    ) -> Result<(HttpResponse, Framing), ExchangeError> {
        let (status, headers) = self.read_head().await?;
        let framing = framing(method, status, &headers)?;
        let body = match framing {
            Framing::Length(length) => self.read_length(length).await?,
            Framing::Chunked => self.read_chunks().await?,
            Framing::UntilClose => self.read_until_close().await?,
        };
        let response = HttpResponse {
            status,
            headers,
            body,
        };
        Ok((response, framing))
    }

    async fn read_head(&mut self) -> Result<(StatusCode, HeaderMap), ExchangeError> {
        loop {
            if let Some(head) = parse_head(self.buffer)? {
                return Ok(head);
            }
            // A head that arrives byte by byte is parsed again only with a new line.
            loop {
                let known = self.buffer.len();
                if known > MAX_HEAD_BYTES {
                    return Err(ExchangeError::InvalidResponse("the head is too long"));
                }
                self.fill().await?;
                if known == 0 || self.buffer[known..].contains(&b'\n') {
                    break;
                }
            }
        }
    }

    /// Reserves memory for a body of `length` bytes.
    fn reserve(&mut self, length: usize) -> Result<(), ExchangeError> {
        if self.reservation.grow_to(length) {
            return Ok(());
        }
        if self.reservation.fits_alone(length) {
            return Err(ExchangeError::NoMemory);
        }
        Err(ExchangeError::InvalidResponse("the body is too long"))
    }

    async fn read_length(&mut self, length: usize) -> Result<Bytes, ExchangeError> {
        self.reserve(length)?;
        while self.buffer.len() < length {
            self.fill().await?;
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn read_until_close(&mut self) -> Result<Bytes, ExchangeError> {
        loop {
            self.reserve(self.buffer.len())?;
            if self.read_more().await? == 0 {
                return Ok(self.buffer.split().freeze());
            }
        }
    }

    async fn read_chunks(&mut self) -> Result<Bytes, ExchangeError> {
        let mut body = BytesMut::new();
        loop {
            let length = self.read_chunk_length().await?;
            if length == 0 {
                break;
            }
            self.reserve(body.len().saturating_add(length))?;
            let mut missing = length;
            while missing > 0 {
                if self.buffer.is_empty() {
                    self.fill().await?;
                }
                let count = missing.min(self.buffer.len());
                body.extend_from_slice(&self.buffer[..count]);
                self.buffer.advance(count);
                missing -= count;
            }
            while self.buffer.len() < 2 {
                self.fill().await?;
            }
            if &self.buffer[..2] != b"\r\n" {
                return Err(ExchangeError::InvalidResponse(
                    "a chunk does not end with CRLF",
                ));
            }
            self.buffer.advance(2);
        }
        self.skip_trailers().await?;
        Ok(body.freeze())
    }

    /// Reads the trailers, which end with an empty line.
    async fn skip_trailers(&mut self) -> Result<(), ExchangeError> {
        let mut length = 0;
        loop {
            let line = self.read_line().await?;
            if line.is_empty() {
                return Ok(());
            }
            length += line.len();
            if length > MAX_HEAD_BYTES {
                return Err(ExchangeError::InvalidResponse("the trailers are too long"));
            }
        }
    }

    async fn read_chunk_length(&mut self) -> Result<usize, ExchangeError> {
        let line = self.read_line().await?;
        let digits = line.split(|byte| *byte == b';').next().unwrap_or(&[]);
        let is_hexadecimal = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
        std::str::from_utf8(digits)
            .ok()
            .filter(|_| is_hexadecimal)
            .and_then(|text| usize::from_str_radix(text, 16).ok())
            .ok_or(ExchangeError::InvalidResponse(
                "a chunk length is malformed",
            ))
    }

    async fn read_line(&mut self) -> Result<Bytes, ExchangeError> {
        let mut searched = 0;
        loop {
            let found = self.buffer[searched..]
                .windows(2)
                .position(|pair| pair == b"\r\n");
            if let Some(end) = found {
                let line = self.buffer.split_to(searched + end).freeze();
                self.buffer.advance(2);
                return Ok(line);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ExchangeError::InvalidResponse(
                    "a chunk header or trailer is too long",
                ));
            }
            searched = self.buffer.len().saturating_sub(1);
            self.fill().await?;
        }
    }

    async fn fill(&mut self) -> Result<(), ExchangeError> {
        if self.read_more().await? > 0 {
            return Ok(());
        }
        let end = std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
        Err(ExchangeError::Disconnected(end))
    }

    /// Reads what has arrived; 0 bytes at the end of the connection.
    async fn read_more(&mut self) -> Result<usize, ExchangeError> {
        self.buffer.reserve(READ_RESERVE_BYTES);
        let count = self
            .reader
            .read_buf(self.buffer)
            .await
            .map_err(ExchangeError::Disconnected)?;
        if let Some(arrivals) = self.arrivals {
            arrivals.add(count);
        }
        Ok(count)
    }
}

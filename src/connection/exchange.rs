//! HTTP/1.1 towards upstreams and the store, one request at a time.
//!
//! A connection pairs each answer with its request by the request's id and
//! skips answers that belong to none. It never sends a request twice and never
//! follows redirects; a broken exchange ends the connection.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Most headers of one response.
const HEADERS_MAX: usize = 64;
/// Longest head of a response, in bytes.
const HEAD_MAX_BYTES: usize = 64 * 1024;
/// Longest body of a response, in bytes; the platform's largest page is 1 MB.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Bytes that are read at once.
const READ_RESERVE_BYTES: usize = 4 * 1024;
/// Answers to other requests that are skipped before the connection is ended.
const STRAY_RESPONSES_MAX: usize = 4;
/// Silence after which the kernel asks whether the other side lives.
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(1);
/// Unanswered questions of the kernel after which a connection is ended.
const KEEP_ALIVE_PROBES_MAX: u32 = 2;
/// Time after which an idle connection is no longer used if the other side
/// names none.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);
/// Time by which a connection is given up before the other side closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// One request as it is written.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub target: String,
    /// All headers but the length.
    pub headers: HeaderMap,
    /// Body; a length is written unless there is none and the method needs none.
    pub body: Bytes,
}

/// A whole response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers as they came.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Why there is no response.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection was closed or reset before the answer was whole.
    #[error("the connection was cut: {0}")]
    Disconnected(std::io::Error),
    /// The bytes are no answer to the request.
    #[error("the answer is broken: {0}")]
    InvalidResponse(&'static str),
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// A connection that serves one request at a time.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    is_reusable: bool,
    usable_until: Instant,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Where the other side refuses it or does not answer within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> std::io::Result<Self> {
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(limit, connect)
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let keep_alive = socket2::TcpKeepalive::new()
            .with_time(KEEP_ALIVE_IDLE)
            .with_interval(KEEP_ALIVE_IDLE)
            .with_retries(KEEP_ALIVE_PROBES_MAX);
        socket2::SockRef::from(&stream).set_tcp_keepalive(&keep_alive)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            is_reusable: true,
            usable_until: Instant::now() + IDLE_TIMEOUT_DEFAULT,
        })
    }

    /// Whether another request may be sent.
    ///
    /// Bytes that wait here belong to no request.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        if !self.is_reusable || !self.buffer.is_empty() || Instant::now() >= self.usable_until {
            return false;
        }
        let mut byte = [0];
        let found = self.stream.try_read(&mut byte);
        matches!(found, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads its whole response.
    ///
    /// `id` is the header that pairs answers with requests. Dropping the
    /// future leaves the connection unusable; the caller must drop it, too.
    ///
    /// # Errors
    /// Where the connection is cut or the bytes are no response.
    pub async fn exchange(
        &mut self,
        request: &HttpRequest,
        id: Option<&HeaderName>,
    ) -> Result<HttpResponse, ExchangeError> {
        self.is_reusable = false;
        let bytes = encode(request);
        let wanted = id.and_then(|name| Some((name, request.headers.get(name)?)));
        let (mut reader, mut writer) = self.stream.split();
        let write = async {
            writer.write_all(&bytes).await?;
            if !request.body.is_empty() {
                writer.write_all(&request.body).await?;
            }
            Ok::<(), std::io::Error>(())
        };
        let read = read_matching(&mut reader, &mut self.buffer, &request.method, wanted);
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
        // A body that is not written out would end up as the next request.
        self.is_reusable = is_keep_alive && is_written;
        self.usable_until = Instant::now() + idle_timeout(&response.headers);
        Ok(response)
    }
}

/// Time for which the other side keeps an idle connection.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let told = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse().ok())
        .map(Duration::from_secs);
    told.map_or(IDLE_TIMEOUT_DEFAULT, |time| {
        time.saturating_sub(IDLE_MARGIN)
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
        // Writing to a string does not fail.
        let _ = write!(length, "content-length: {}\r\n", request.body.len());
        bytes.extend_from_slice(length.as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Reads answers until one carries the wanted id; true if the connection may
/// be used again.
async fn read_matching(
    reader: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    method: &Method,
    wanted: Option<(&HeaderName, &HeaderValue)>,
) -> Result<(HttpResponse, bool), ExchangeError> {
    let mut stray_responses = 0;
    loop {
        let (response, framing) = read_response(reader, buffer, method).await?;
        if response.status.is_informational() {
            continue;
        }
        let is_stray = wanted.is_some_and(|(name, value)| {
            let found = response.headers.get(name);
            found.is_some_and(|found| found != value)
        });
        if !is_stray {
            let is_keep_alive = framing != Framing::UntilClose
                && stray_responses == 0
                && !has_token(&response.headers, "close");
            return Ok((response, is_keep_alive));
        }
        stray_responses += 1;
        if framing == Framing::UntilClose || stray_responses > STRAY_RESPONSES_MAX {
            return Err(ExchangeError::InvalidResponse(
                "it belongs to another request",
            ));
        }
    }
}

fn has_token(headers: &HeaderMap, token: &str) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(token))
}

async fn read_response(
    reader: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    method: &Method,
) -> Result<(HttpResponse, Framing), ExchangeError> {
    let (status, headers) = loop {
        if let Some(head) = parse_head(buffer)? {
            break head;
        }
        if buffer.len() > HEAD_MAX_BYTES {
            return Err(ExchangeError::InvalidResponse("its head is too long"));
        }
        fill(reader, buffer).await?;
    };
    let framing = framing(method, status, &headers)?;
    let body = match framing {
        Framing::Length(length) => read_length(reader, buffer, length).await?,
        Framing::Chunked => read_chunks(reader, buffer).await?,
        Framing::UntilClose => read_until_close(reader, buffer).await?,
    };
    let response = HttpResponse {
        status,
        headers,
        body,
    };
    Ok((response, framing))
}

/// Takes a whole head off the buffer; `None` while it is not whole.
fn parse_head(buffer: &mut BytesMut) -> Result<Option<(StatusCode, HeaderMap)>, ExchangeError> {
    let mut found = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Response::new(&mut found);
    let parsed = head
        .parse(buffer)
        .map_err(|_| ExchangeError::InvalidResponse("its head cannot be read"))?;
    let httparse::Status::Complete(length) = parsed else {
        return Ok(None);
    };
    let status = head
        .code
        .and_then(|code| StatusCode::from_u16(code).ok())
        .ok_or(ExchangeError::InvalidResponse("its status cannot be read"))?;
    let mut headers = HeaderMap::with_capacity(head.headers.len());
    for header in head.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes())
            .map_err(|_| ExchangeError::InvalidResponse("the name of a header cannot be read"))?;
        let value = HeaderValue::from_bytes(header.value)
            .map_err(|_| ExchangeError::InvalidResponse("the value of a header cannot be read"))?;
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
                "it has both a length and a coding",
            ));
        }
        if coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
            return Ok(Framing::Chunked);
        }
        return Err(ExchangeError::InvalidResponse(
            "its transfer coding is unknown",
        ));
    }
    match lengths[..] {
        [] => Ok(Framing::UntilClose),
        [length] => parse_length(length).map(Framing::Length),
        _ => Err(ExchangeError::InvalidResponse("it has several lengths")),
    }
}

fn parse_length(value: &HeaderValue) -> Result<usize, ExchangeError> {
    let length = value
        .to_str()
        .ok()
        .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))
        .and_then(|text| text.parse().ok())
        .ok_or(ExchangeError::InvalidResponse("its length cannot be read"))?;
    check_size(length)?;
    Ok(length)
}

fn check_size(length: usize) -> Result<(), ExchangeError> {
    if length > BODY_MAX_BYTES {
        return Err(ExchangeError::InvalidResponse("its body is too long"));
    }
    Ok(())
}

async fn read_length(
    reader: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    length: usize,
) -> Result<Bytes, ExchangeError> {
    while buffer.len() < length {
        fill(reader, buffer).await?;
    }
    Ok(buffer.split_to(length).freeze())
}

async fn read_until_close(
    reader: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
) -> Result<Bytes, ExchangeError> {
    loop {
        check_size(buffer.len())?;
        buffer.reserve(READ_RESERVE_BYTES);
        let count = reader
            .read_buf(buffer)
            .await
            .map_err(ExchangeError::Disconnected)?;
        if count == 0 {
            return Ok(buffer.split().freeze());
        }
    }
}

async fn read_chunks(
    reader: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
) -> Result<Bytes, ExchangeError> {
    let mut body = BytesMut::new();
    loop {
        let length = read_chunk_length(reader, buffer).await?;
        if length == 0 {
            break;
        }
        check_size(body.len() + length)?;
        let chunk = read_length(reader, buffer, length).await?;
        body.extend_from_slice(&chunk);
        let end = read_length(reader, buffer, 2).await?;
        if &end[..] != b"\r\n" {
            return Err(ExchangeError::InvalidResponse("a chunk does not end"));
        }
    }
    // Trailers end with an empty line.
    while !read_line(reader, buffer).await?.is_empty() {}
    Ok(body.freeze())
}

async fn read_chunk_length(
    reader: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
) -> Result<usize, ExchangeError> {
    let line = read_line(reader, buffer).await?;
    let digits = line.split(|byte| *byte == b';').next().unwrap_or(&[]);
    let is_hexadecimal = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(digits)
        .ok()
        .filter(|_| is_hexadecimal)
        .and_then(|text| usize::from_str_radix(text, 16).ok())
        .ok_or(ExchangeError::InvalidResponse(
            "the length of a chunk cannot be read",
        ))
}

async fn read_line(
    reader: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
) -> Result<Bytes, ExchangeError> {
    loop {
        if let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") {
            let line = buffer.split_to(end).freeze();
            buffer.advance(2);
            return Ok(line);
        }
        if buffer.len() > HEAD_MAX_BYTES {
            return Err(ExchangeError::InvalidResponse("a line is too long"));
        }
        fill(reader, buffer).await?;
    }
}

async fn fill(
    reader: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
) -> Result<(), ExchangeError> {
    buffer.reserve(READ_RESERVE_BYTES);
    let count = reader
        .read_buf(buffer)
        .await
        .map_err(ExchangeError::Disconnected)?;
    if count == 0 {
        let end = std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
        return Err(ExchangeError::Disconnected(end));
    }
    Ok(())
}

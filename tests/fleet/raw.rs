//! A caller that can stop in the middle of sending its request or reading the answer.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::env::{Reply, failed_reply};
use crate::objects::PAYING_KEY;

/// Time within which the whole answer must arrive.
const REPLY_TIMEOUT: Duration = Duration::from_secs(15);

/// A call to send over a plain TCP connection.
#[derive(Clone, Debug)]
pub struct RawRequest {
    pub method: &'static str,
    pub key: Option<String>,
    pub timeout_ms: u64,
    pub service_ms: u64,
    pub body: String,
}

impl RawRequest {
    fn head(&self) -> String {
        let key = self.key.as_ref();
        let key = key.map_or_else(String::new, |key| format!("idempotency-key: {key}\r\n"));
        format!(
            "{} /call/orders/cell HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\
             authorization: Bearer {PAYING_KEY}\r\nchicorywing-timeout-ms: {}\r\n\
             x-service-time-ms: {}\r\ncontent-length: {}\r\n{key}\r\n",
            self.method,
            self.timeout_ms,
            self.service_ms,
            self.body.len()
        )
    }
}

/// A call that has been sent at least in part.
pub struct RawCall {
    stream: TcpStream,
    request: RawRequest,
    written: usize,
}

impl RawCall {
    /// Connects and sends the head and half of the body.
    pub async fn begin(address: SocketAddr, request: RawRequest) -> std::io::Result<Self> {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request.head().as_bytes()).await?;
        let written = request.body.len() / 2;
        stream
            .write_all(&request.body.as_bytes()[..written])
            .await?;
        Ok(Self {
            stream,
            request,
            written,
        })
    }

    /// Sends the rest of the body.
    pub async fn finish(&mut self) -> std::io::Result<()> {
        let rest = &self.request.body.as_bytes()[self.written..];
        self.stream.write_all(rest).await?;
        self.written = self.request.body.len();
        Ok(())
    }

    /// Reads until the entry closes the connection.
    pub async fn read(mut self) -> Reply {
        let mut bytes = Vec::new();
        let read = timeout(REPLY_TIMEOUT, self.stream.read_to_end(&mut bytes)).await;
        let is_complete = matches!(read, Ok(Ok(_)));
        parse(&bytes)
            .filter(|_| is_complete)
            .unwrap_or_else(failed_reply)
    }
}

fn parse(bytes: &[u8]) -> Option<Reply> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let mut reply = failed_reply();
    let mut length = 0;
    for line in lines {
        let (name, value) = line.split_once(": ")?;
        match name {
            "chicorywing-outcome" => value.clone_into(&mut reply.outcome),
            "chicorywing-reason" => value.clone_into(&mut reply.reason),
            "chicorywing-upstream" => value.clone_into(&mut reply.upstream),
            "retry-after" => reply.retry_after = Some(value.to_owned()),
            "content-length" => length = value.parse().ok()?,
            _ => {}
        }
    }
    // A truncated answer counts as none.
    if body.len() < length {
        return None;
    }
    reply.status = status;
    body.clone_into(&mut reply.body);
    Some(reply)
}

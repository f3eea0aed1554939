//! The subset of HTTP/1.1 that the stand-ins and callers of this test need.

use std::collections::HashMap;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// A request or an answer, with its headers by lower-case name.
#[derive(Clone, Debug)]
pub struct Message {
    pub start_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the method and target of a request, or the version and status of an
    /// answer.
    pub fn start_fields(&self) -> (&str, &str) {
        let mut fields = self.start_line.split(' ');
        (fields.next().unwrap_or(""), fields.next().unwrap_or(""))
    }

    /// Returns a parameter of the target's query, or an empty string if it is missing.
    pub fn query_parameter(&self, name: &str) -> &str {
        let query = self
            .start_fields()
            .1
            .split_once('?')
            .map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map_or("", |(_, value)| value)
    }
}

/// Reads one message whose body has a `content-length`, or none. Returns `None` if
/// the connection ends before the message is complete.
pub async fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let start_line = read_line(stream).await?;
    let mut headers = HashMap::new();
    loop {
        let text = read_line(stream).await?;
        let Some((name, value)) = text.split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers
        .get("content-length")
        .map_or(Ok(0), |text| text.parse())
        .ok()?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(Message {
        start_line,
        headers,
        body,
    })
}

async fn read_line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut text = String::new();
    let count = stream.read_line(&mut text).await.ok()?;
    let is_whole = count > 0 && text.ends_with('\n');
    is_whole.then(|| text.trim_end().to_owned())
}

/// Writes a message, with a `content-length` header added.
pub async fn write(
    stream: &mut BufReader<TcpStream>,
    start_line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!("{start_line}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(name);
        text.push_str(": ");
        text.push_str(value);
        text.push_str("\r\n");
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.get_mut().write_all(&bytes).await
}

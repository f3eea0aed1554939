//! A caller's connection, and when it was last in use.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

use super::calls::to_ms;

/// Time in which the first request of a connection must begin when connections close.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(250);
/// Interval at which it is looked for.
const FIRST_REQUEST_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Tracks when a connection last served a request or took a part of a response, and whether a
/// response is still to be written.
#[derive(Debug)]
pub struct ConnectionActivity {
    opened: Instant,
    last_used_ms: AtomicU64,
    requests: AtomicUsize,
    has_begun: AtomicBool,
    is_unwritten: AtomicBool,
    /// Connections of the process with a response that is still to be written.
    unwritten: Arc<AtomicUsize>,
}

impl ConnectionActivity {
    /// The activity of a connection that is opened now; it counts in `unwritten` while a
    /// response is still to be written.
    #[must_use]
    pub fn new(unwritten: &Arc<AtomicUsize>) -> Self {
        Self {
            opened: Instant::now(),
            last_used_ms: AtomicU64::new(0),
            requests: AtomicUsize::new(0),
            has_begun: AtomicBool::new(false),
            is_unwritten: AtomicBool::new(false),
            unwritten: Arc::clone(unwritten),
        }
    }

    /// Records the begin of a request.
    pub fn begin_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.has_begun.store(true, Ordering::Relaxed);
    }

    /// Records the end of a request, whose response is still to be written.
    pub fn end_request(&self) {
        self.requests.fetch_sub(1, Ordering::Relaxed);
        if !self.is_unwritten.swap(true, Ordering::Relaxed) {
            self.unwritten.fetch_add(1, Ordering::Relaxed);
        }
        self.touch();
    }

    /// Records that the kernel has taken all responses so far.
    fn end_writing(&self) {
        if self.is_unwritten.swap(false, Ordering::Relaxed) {
            self.unwritten.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Records that something happened now.
    pub fn touch(&self) {
        let last_used_ms = to_ms(self.opened.elapsed());
        self.last_used_ms.store(last_used_ms, Ordering::Relaxed);
    }

    /// Waits for the first request of a new connection, whose caller sends it right away.
    pub async fn first_request(&self) {
        let until = Instant::now() + FIRST_REQUEST_WAIT;
        while !self.has_begun.load(Ordering::Relaxed) && Instant::now() < until {
            sleep(FIRST_REQUEST_POLL_INTERVAL).await;
        }
    }

    /// When something last happened; `None` while a request is running.
    #[must_use]
    pub fn idle_since(&self) -> Option<Instant> {
        if self.requests.load(Ordering::Relaxed) > 0 {
            return None;
        }
        let last_used_ms = self.last_used_ms.load(Ordering::Relaxed);
        Some(self.opened + Duration::from_millis(last_used_ms))
    }
}

impl Drop for ConnectionActivity {
    fn drop(&mut self) {
        self.end_writing();
    }
}

/// A connection that records each part of a response that the caller takes.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    activity: Arc<ConnectionActivity>,
}

impl CallerStream {
    /// Records what is written to `stream`.
    #[must_use]
    pub fn new(stream: TcpStream, activity: Arc<ConnectionActivity>) -> Self {
        Self { stream, activity }
    }

    fn note_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(_))) {
            self.activity.touch();
        }
        written
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.note_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the stream once its own buffer is empty.
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.activity.end_writing();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

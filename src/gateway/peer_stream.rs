//! A connection of another instance, and whether bytes for it are still to be written.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection that counts in `unwritten` from its first write until its writer has flushed it.
#[derive(Debug)]
pub struct PeerStream {
    stream: TcpStream,
    is_unwritten: bool,
    /// Connections of other instances that have bytes to be written.
    unwritten: Arc<AtomicUsize>,
}

impl PeerStream {
    /// Counts writes to `stream`.
    #[must_use]
    pub fn new(stream: TcpStream, unwritten: &Arc<AtomicUsize>) -> Self {
        Self {
            stream,
            is_unwritten: false,
            unwritten: Arc::clone(unwritten),
        }
    }

    fn begin_writing(&mut self) {
        if !self.is_unwritten {
            self.is_unwritten = true;
            self.unwritten.fetch_add(1, Ordering::AcqRel);
        }
    }

    fn end_writing(&mut self) {
        if self.is_unwritten {
            self.is_unwritten = false;
            self.unwritten.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

impl Drop for PeerStream {
    fn drop(&mut self) {
        self.end_writing();
    }
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_writing();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The codec flushes the stream once its own buffer is empty.
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.end_writing();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

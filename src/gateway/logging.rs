//! Structured log lines on standard output, bounded and never blocking.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::time::Instant;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that may wait to be written; more are dropped.
const BUFFERED_LINES_MAX: usize = 2_048;
/// Lines about requests in one second; more are counted only.
const REQUEST_LINES_PER_S: u64 = 400;

/// Writes log lines to standard output until the guard is dropped.
///
/// A filter that cannot be read falls back to `info`.
pub fn init(filter: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES_MAX)
        .lossy(true)
        .finish(std::io::stdout());
    // The spans of tarpc would add a line for each call between instances.
    let filter = EnvFilter::try_new(format!("{filter},tarpc=off"))
        .unwrap_or_else(|_| EnvFilter::new("info,tarpc=off"));
    let started = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init();
    if let Err(error) = started {
        tracing::warn!(%error, "log lines are set up already");
    }
    guard
}

/// Bounds the lines about requests.
#[derive(Debug)]
pub struct LogBudget {
    started: Instant,
    second: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

impl LogBudget {
    /// A full budget.
    #[must_use]
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            second: AtomicU64::new(0),
            written: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        }
    }

    /// Whether another line may be written now.
    ///
    /// The first line of a second tells how many were dropped before it.
    pub fn take(&self) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                tracing::warn!(dropped, "lines about requests were left out");
            }
        }
        if self.written.fetch_add(1, Ordering::Relaxed) < REQUEST_LINES_PER_S {
            return true;
        }
        self.dropped.fetch_add(1, Ordering::Relaxed);
        false
    }
}

impl Default for LogBudget {
    fn default() -> Self {
        Self::new()
    }
}

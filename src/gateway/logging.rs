//! JSON log lines on standard output; writing never blocks, and request lines are
//! rate-limited.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::time::Instant;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Most buffered lines; further ones are dropped.
const MAX_BUFFERED_LINES: usize = 2_048;
/// Most lines about requests in one second; further ones are only counted.
const MAX_REQUEST_LINES_PER_S: u64 = 400;

/// Installs the global subscriber; dropping the guard flushes the buffered lines.
///
/// An invalid filter is replaced by `info`.
pub fn init(filter: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    // The spans of tarpc would add a line for every call between instances.
    let filter = EnvFilter::try_new(format!("{filter},tarpc=off"))
        .unwrap_or_else(|_| EnvFilter::new("info,tarpc=off"));
    let started = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init();
    if let Err(error) = started {
        tracing::warn!(%error, "logging is already initialised");
    }
    guard
}

/// Limits the lines about requests per second.
#[derive(Debug)]
pub struct LogBudget {
    started: Instant,
    second: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

impl LogBudget {
    /// Starts with a full budget for the current second.
    #[must_use]
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            second: AtomicU64::new(0),
            written: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        }
    }

    /// Takes one line from the budget; returns false if it is used up.
    ///
    /// The first call in a second logs how many lines were dropped before it.
    pub fn take(&self) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                tracing::warn!(dropped, "dropped log lines about requests");
            }
        }
        if self.written.fetch_add(1, Ordering::Relaxed) < MAX_REQUEST_LINES_PER_S {
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

//! Time limits for a response whose length is not known before it arrives.

use std::future::{Future, pending};
use std::time::Duration;

use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Bytes from which a response counts as begun: fewer fit in one packet, and may be a head
/// that is sent before the body exists.
const BEGUN_BYTES: usize = 1_024;

/// The bytes received of one response while it is read.
#[derive(Debug)]
pub struct Arrivals {
    called_at: Instant,
    latest: watch::Sender<Latest>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Latest {
    bytes: usize,
    begun_at: Option<Instant>,
    /// When the newest bytes were received.
    at: Option<Instant>,
}

impl Arrivals {
    /// Begins a count for a call that begins now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            called_at: Instant::now(),
            latest: watch::Sender::default(),
        }
    }

    /// Counts `bytes` more.
    pub fn add(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.latest.send_modify(|latest| {
            let now = Instant::now();
            latest.bytes += bytes;
            latest.at = Some(now);
            if latest.begun_at.is_none() && latest.bytes >= BEGUN_BYTES {
                latest.begun_at = Some(now);
            }
        });
    }

    /// When the response began to arrive; `None` before, and for a short one.
    #[must_use]
    pub fn begun_at(&self) -> Option<Instant> {
        self.latest.borrow().begun_at
    }

    /// Waits until the response begins to arrive.
    pub async fn begun(&self) {
        let mut latest = self.latest.subscribe();
        // The sender lives as long as `self`, so it is not closed.
        let _ = latest.wait_for(|latest| latest.begun_at.is_some()).await;
    }

    /// Waits for an event that ends the call; for ever if the response has begun to arrive by
    /// then.
    pub async fn unless_begun<T>(&self, event: impl Future<Output = T>) -> T {
        let happened = event.await;
        if self.begun_at().is_some() {
            pending::<()>().await;
        }
        happened
    }

    /// Time from the call to the beginning of the response; to now before that, and for a
    /// short one.
    #[must_use]
    pub fn time_to_begin(&self) -> Duration {
        self.begun_at()
            .unwrap_or_else(Instant::now)
            .saturating_duration_since(self.called_at)
    }

    /// Time since the call began, in milliseconds.
    #[must_use]
    pub fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.called_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl Default for Arrivals {
    fn default() -> Self {
        Self::new()
    }
}

/// Limits of one response, which may take longer the more of it there is, as long as it
/// keeps arriving.
#[derive(Clone, Copy, Debug)]
pub struct ResponseLimits {
    /// Time from the request to the beginning of the response.
    pub begin: Duration,
    /// Longest time in which nothing arrives of a response that has begun.
    pub pause: Duration,
    /// Time from the beginning of the response to its end.
    pub arrival: Duration,
}

/// A response that did not arrive within its limits.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("no complete response within the timeout; {bytes} bytes came in {elapsed_ms} ms")]
pub struct Overdue {
    /// Bytes received, with the head.
    pub bytes: usize,
    /// Time since the call began, in milliseconds.
    pub elapsed_ms: u64,
}

impl ResponseLimits {
    /// Runs an exchange that counts in `arrivals` what it receives.
    ///
    /// # Errors
    /// Returns an error if the response is not complete within the limits.
    pub async fn apply<T>(
        &self,
        arrivals: &Arrivals,
        exchange: impl Future<Output = T>,
    ) -> Result<T, Overdue> {
        tokio::pin!(exchange);
        let asked_at = Instant::now();
        loop {
            let latest = *arrivals.latest.borrow();
            let limit_at = self.limit_at(asked_at, &latest);
            tokio::select! {
                // What arrived before a limit counts, even if this task runs late.
                biased;
                done = &mut exchange => return Ok(done),
                () = arrivals.begun(), if latest.begun_at.is_none() => {}
                () = sleep_until(limit_at) => {
                    let latest = *arrivals.latest.borrow();
                    if self.limit_at(asked_at, &latest) <= Instant::now() {
                        let elapsed_ms = arrivals.elapsed_ms();
                        return Err(Overdue { bytes: latest.bytes, elapsed_ms });
                    }
                }
            }
        }
    }

    /// When a response is given up if no more of it arrives.
    fn limit_at(&self, asked_at: Instant, latest: &Latest) -> Instant {
        let (Some(begun_at), Some(at)) = (latest.begun_at, latest.at) else {
            return asked_at + self.begin;
        };
        (at + self.pause).min(begun_at + self.arrival)
    }
}

//! The probes of one request that are in flight.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::probing::ProbedUpstream;

/// Probes in flight, and the upstreams that have answered.
pub(super) struct PendingProbes {
    sender: mpsc::Sender<Option<ProbedUpstream>>,
    receiver: mpsc::Receiver<Option<ProbedUpstream>>,
    outstanding: usize,
    pub(super) answered: Vec<ProbedUpstream>,
    further_readings_wait: Duration,
}

impl PendingProbes {
    pub(super) fn new(capacity: usize, further_readings_wait: Duration) -> Self {
        let (sender, receiver) = mpsc::channel(capacity.max(1));
        Self {
            sender,
            receiver,
            outstanding: 0,
            answered: Vec::with_capacity(capacity),
            further_readings_wait,
        }
    }

    /// Starts a probe; if it ends too late, its connection is still kept for reuse.
    pub(super) fn spawn(
        &mut self,
        probe: impl Future<Output = Option<ProbedUpstream>> + Send + 'static,
    ) {
        self.outstanding += 1;
        let sender = self.sender.clone();
        tokio::spawn(async move {
            if let Err(late) = sender.send(probe.await).await
                && let Some(probed) = late.0
            {
                probed.client.release(probed.connection);
            }
        });
    }

    /// Waits up to `wait` for a first reading, and briefly for further ones.
    pub(super) async fn collect(&mut self, wait: Duration) {
        let mut deadline = Instant::now() + wait;
        if !self.answered.is_empty() {
            deadline = deadline.min(Instant::now() + self.further_readings_wait);
        }
        while self.outstanding > 0 {
            let Ok(Some(result)) = timeout_at(deadline, self.receiver.recv()).await else {
                return;
            };
            self.outstanding -= 1;
            if let Some(probed) = result {
                self.answered.push(probed);
                deadline = deadline.min(Instant::now() + self.further_readings_wait);
            }
        }
    }

    /// Returns all upstreams that have answered so far.
    pub(super) fn finish(mut self) -> Vec<ProbedUpstream> {
        self.receiver.close();
        while let Ok(late) = self.receiver.try_recv() {
            self.answered.extend(late);
        }
        self.answered
    }
}

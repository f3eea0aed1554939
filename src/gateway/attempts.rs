//! The attempts of one request, which may run side by side.
//!
//! An attempt that takes longer than expected is overdue: another one may begin beside it, and
//! whichever is answered first counts. What was expected is a guess, so it ends no attempt.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::calls::Call;
use super::handed::AttemptHistory;
use crate::decision::admission::Sharing;

/// Multiple of the expected service time after which an attempt is overdue.
const OVERDUE_FACTOR: f64 = 3.0;
/// Added to that, since an upstream may slow down for 150 ms at a time.
const OVERDUE_MARGIN: Duration = Duration::from_millis(200);

/// Why an attempt is overdue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum OverdueCause {
    /// The response was expected before now.
    Estimate,
    /// This instance believes that it reaches no upstream.
    LostLinks,
}

#[derive(Debug, Default)]
struct State {
    history: AttemptHistory,
    sharing: Option<Sharing>,
    running: usize,
    overdue: usize,
    /// Instances that the request was handed to.
    receivers: Vec<SocketAddr>,
    /// Sends that began, without those that ended unsent or were turned away unrun.
    begun_sends: usize,
    /// Whether no instance took the request, so that all further attempts are at upstreams.
    stays_here: bool,
}

/// All attempts of one request.
#[derive(Debug, Default)]
pub struct Attempts {
    state: Mutex<State>,
    became_overdue: Notify,
}

impl Attempts {
    /// Attempts that follow earlier ones at another instance.
    #[must_use]
    pub fn after(history: AttemptHistory) -> Self {
        let state = State {
            history,
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
            became_overdue: Notify::new(),
        }
    }

    /// Counts an attempt as running until it is dropped.
    pub fn begin(&self) -> Attempt<'_> {
        self.lock().running += 1;
        Attempt {
            attempts: self,
            is_overdue: false,
        }
    }

    /// Sets how the request shares the capacity with others.
    pub fn set_sharing(&self, sharing: Sharing) {
        self.lock().sharing = Some(sharing);
    }

    /// How the request shares the capacity with others.
    #[must_use]
    pub fn sharing(&self) -> Sharing {
        self.lock().sharing.unwrap_or(Sharing::Alike)
    }

    /// What has been tried so far.
    #[must_use]
    pub fn history(&self) -> AttemptHistory {
        self.lock().history.clone()
    }

    /// Changes what has been tried so far.
    pub fn update_history<T>(&self, update: impl FnOnce(&mut AttemptHistory) -> T) -> T {
        update(&mut self.lock().history)
    }

    /// Requests that were sent to upstreams, or are about to be.
    #[must_use]
    pub fn sends(&self) -> usize {
        let state = self.lock();
        state.history.sends + state.running
    }

    /// Records that the request is about to be sent to an upstream or handed over.
    pub fn count_send(&self) {
        self.lock().begun_sends += 1;
    }

    /// Records that a send that began has not run the request.
    pub fn uncount_send(&self) {
        self.lock().begun_sends -= 1;
    }

    /// Whether the request was sent anywhere, and may have run.
    #[must_use]
    pub fn was_sent(&self) -> bool {
        self.lock().begun_sends > 0
    }

    /// Instances that the request was handed to.
    #[must_use]
    pub fn receivers(&self) -> Vec<SocketAddr> {
        self.lock().receivers.clone()
    }

    /// Whether the request may still be handed to another instance.
    #[must_use]
    pub fn may_hand_over(&self) -> bool {
        !self.lock().stays_here
    }

    /// Records that no other instance takes the request.
    pub fn keep_here(&self) {
        self.lock().stays_here = true;
    }

    /// Waits until attempts run and all of them are overdue.
    pub async fn all_overdue(&self) {
        loop {
            {
                let state = self.lock();
                if state.running > 0 && state.overdue == state.running {
                    return;
                }
            }
            self.became_overdue.notified().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One attempt that runs.
#[derive(Debug)]
pub struct Attempt<'a> {
    attempts: &'a Attempts,
    is_overdue: bool,
}

impl<'a> Attempt<'a> {
    /// All attempts of the request.
    #[must_use]
    pub fn attempts(&self) -> &'a Attempts {
        self.attempts
    }

    /// Records that the request is sent, perhaps once more: a response is expected anew.
    pub fn begin_send(&mut self) {
        if self.is_overdue {
            self.is_overdue = false;
            self.attempts.lock().overdue -= 1;
        }
    }

    /// Whether the attempt has taken longer than expected.
    #[must_use]
    pub fn is_overdue(&self) -> bool {
        self.is_overdue
    }

    /// Records that the attempt takes longer than expected.
    pub fn set_overdue(&mut self) {
        if !self.is_overdue {
            self.is_overdue = true;
            self.attempts.lock().overdue += 1;
            self.attempts.became_overdue.notify_one();
        }
    }

    /// Records that the request goes to another instance.
    pub fn note_receiver(&self, address: SocketAddr) {
        self.attempts.lock().receivers.push(address);
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        let mut state = self.attempts.lock();
        state.running -= 1;
        state.overdue -= usize::from(self.is_overdue);
        drop(state);
        // The others may all be overdue.
        self.attempts.became_overdue.notify_one();
    }
}

/// When an attempt that began at `sent_at` is overdue; `None` for one beside which no other may
/// begin.
#[must_use]
pub fn overdue_at(call: &Call, expected_ms: f64, sent_at: Instant) -> Option<Instant> {
    if !call.route.is_idempotent {
        return None;
    }
    let expected = Duration::from_secs_f64(OVERDUE_FACTOR * expected_ms / 1_000.0);
    Some(sent_at + expected + OVERDUE_MARGIN)
}

/// Waits until an attempt is overdue; for ever if it is never so.
pub async fn overdue(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

//! One attempt to run a call, with its life cycle as types.
//!
//! An attempt is [`Unsent`] until its first byte goes out and [`Sent`] from
//! then on. Only a held attempt can be said not to have run, and a sent one
//! comes back to held only if the upstream refused it before starting, or if
//! the call may be repeated.

use std::sync::Arc;

use super::call::Call;
use super::outcome::{Answer, NotRunReason, Outcome, UnknownReason};

/// Nothing of the attempt has gone out.
#[derive(Debug)]
pub struct Unsent;

/// Some of the attempt may have gone out.
#[derive(Debug)]
pub struct Sent;

/// One attempt to run a call.
#[derive(Debug)]
pub struct Attempt<State> {
    call: Arc<Call>,
    _state: State,
}

impl<State> Attempt<State> {
    /// The call that is attempted.
    #[must_use]
    pub fn call(&self) -> &Arc<Call> {
        &self.call
    }
}

impl Attempt<Unsent> {
    /// A first attempt.
    #[must_use]
    pub fn new(call: Arc<Call>) -> Self {
        Self {
            call,
            _state: Unsent,
        }
    }

    /// Ends the attempt without having run it.
    #[must_use]
    pub fn give_up(self, reason: NotRunReason, retry_after_ms: u64) -> Outcome {
        Outcome::not_run(reason, retry_after_ms)
    }

    /// From here on the call may run.
    #[must_use]
    pub fn mark_sent(self) -> Attempt<Sent> {
        Attempt {
            call: self.call,
            _state: Sent,
        }
    }
}

impl Attempt<Sent> {
    /// Ends with the whole answer.
    #[must_use]
    pub fn complete(self, answer: Answer) -> Outcome {
        Outcome::Result(answer)
    }

    /// The receiver has confirmed that it did not start.
    #[must_use]
    pub fn into_unsent(self) -> Attempt<Unsent> {
        Attempt::new(self.call)
    }

    /// No answer will come. A call that may be repeated is held again; any
    /// other one ends unknown.
    ///
    /// # Errors
    /// The outcome of a call that may not be repeated.
    pub fn fail(self, reason: UnknownReason) -> Result<Attempt<Unsent>, Outcome> {
        if self.call.is_idempotent {
            return Ok(Attempt::new(self.call));
        }
        Err(Outcome::unknown(reason, 0))
    }
}

//! One attempt to run a call, with its state as a type parameter.
//!
//! An attempt is [`Unsent`] until its first byte may go out, and [`Sent`] from
//! then on. Only an unsent attempt can end as not run. A sent one becomes unsent
//! again only if the receiver did not start the call, or if the call is
//! idempotent.

use std::sync::Arc;

use super::call::Call;
use super::outcome::{Answer, NotRunReason, Outcome, UnknownReason};

/// State of an attempt of which nothing has been sent.
#[derive(Debug)]
pub struct Unsent;

/// State of an attempt of which some bytes may have been sent.
#[derive(Debug)]
pub struct Sent;

/// One attempt to run a call.
#[derive(Debug)]
pub struct Attempt<State> {
    call: Arc<Call>,
    _state: State,
}

impl<State> Attempt<State> {
    /// The call that this attempt runs.
    #[must_use]
    pub fn call(&self) -> &Arc<Call> {
        &self.call
    }
}

impl Attempt<Unsent> {
    /// Creates an unsent attempt.
    #[must_use]
    pub fn new(call: Arc<Call>) -> Self {
        Self {
            call,
            _state: Unsent,
        }
    }

    /// Ends the attempt; the call has not run.
    #[must_use]
    pub fn give_up(self, reason: NotRunReason, retry_after_ms: u64) -> Outcome {
        Outcome::not_run(reason, retry_after_ms)
    }

    /// Marks the attempt as sent: from here on the call may run.
    #[must_use]
    pub fn mark_sent(self) -> Attempt<Sent> {
        Attempt {
            call: self.call,
            _state: Sent,
        }
    }
}

impl Attempt<Sent> {
    /// Ends the attempt with the upstream's complete response.
    #[must_use]
    pub fn complete(self, answer: Answer) -> Outcome {
        Outcome::Result(answer)
    }

    /// Makes the attempt unsent again, after proof that the receiver did not
    /// start the call.
    #[must_use]
    pub fn into_unsent(self) -> Attempt<Unsent> {
        Attempt::new(self.call)
    }

    /// Ends the attempt without a complete response. An idempotent call may be sent again;
    /// any other ends as unknown.
    ///
    /// # Errors
    /// Returns the unknown outcome of a call that is not idempotent.
    pub fn fail(self, reason: UnknownReason) -> Result<Attempt<Unsent>, Outcome> {
        if self.call.is_idempotent {
            return Ok(Attempt::new(self.call));
        }
        Err(Outcome::unknown(reason, 0))
    }
}

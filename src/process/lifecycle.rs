//! The lifecycle of an upstream: cold, warm, ejected, leaving.
//!
//! Each state is a type that holds only the data of that state, and each
//! transition consumes the previous state.

use strum::Display;

/// Answers, per slot of a cold upstream's limit, that raise the limit by one.
const ANSWERS_PER_LIMIT_RAISE: u32 = 8;
/// Consecutive failures after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Consecutive refusals after which a warm upstream becomes cold.
const REFUSALS_TO_COLD: u32 = 2;
/// Consecutive slow answers after which a warm upstream becomes cold.
const SLOW_ANSWERS_TO_COLD: u32 = 4;
/// Duration of the first ejection; it doubles with each further one.
const MIN_EJECTION_US: u64 = 100_000;
/// Longest duration of an ejection.
const MAX_EJECTION_US: u64 = 2_000_000;

/// Health signal that a call gives about its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Signal {
    /// The upstream answered in the usual time.
    Answered,
    /// The upstream answered far later than its pool's mean.
    AnsweredSlowly,
    /// The upstream answered and reported that it is overloaded.
    AnsweredOverloaded,
    /// The upstream answered with a server error, or the answer broke off.
    #[strum(serialize = "errored")]
    ServerError,
    /// The upstream refused the call before it started to run.
    Refused,
    /// No connection could be made.
    #[strum(serialize = "unconnected")]
    ConnectFailed,
    /// The connection was reset during the run.
    Reset,
    /// No answer came within the service's run limit.
    #[strum(serialize = "silent")]
    TimedOut,
    /// The caller disconnected or its deadline passed; the call may still run.
    Cancelled,
}

impl Signal {
    /// Whether the upstream answered, with whatever status.
    #[must_use]
    pub fn is_answer(self) -> bool {
        matches!(
            self,
            Self::Answered | Self::AnsweredSlowly | Self::AnsweredOverloaded | Self::ServerError
        )
    }

    /// Whether the call may still run after this pool has given it up.
    #[must_use]
    pub fn may_still_run(self) -> bool {
        matches!(self, Self::TimedOut | Self::Cancelled)
    }

    fn is_failure(self) -> bool {
        matches!(
            self,
            Self::ServerError | Self::ConnectFailed | Self::Reset | Self::TimedOut
        )
    }

    fn is_refusal(self) -> bool {
        self == Self::Refused
    }

    /// Whether no call can reach the upstream, so that one failure is enough to
    /// eject it.
    fn is_connect_failure(self) -> bool {
        self == Self::ConnectFailed
    }
}

/// An upstream whose concurrency limit rises with its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cold {
    limit: usize,
    answers: u32,
    failures: u32,
    ejections: u32,
}

/// An upstream that uses all of its slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warm {
    failures: u32,
    refusals: u32,
    slow_answers: u32,
}

/// An upstream that gets no calls until its ejection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ejected {
    until_us: u64,
    ejections: u32,
}

/// An upstream that gets no more calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving;

/// Limits of an upstream: the service's settings and the pool's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Concurrent calls to a cold upstream at first.
    pub cold_slots: usize,
    /// Concurrent calls to a warm upstream.
    pub slots: usize,
    /// Whether the pool may eject one more upstream for its failures.
    pub may_eject: bool,
}

/// Lifecycle state of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum LifecycleState {
    /// The concurrency limit rises as answers arrive.
    Cold(Cold),
    /// All slots may be used.
    Warm(Warm),
    /// No calls are sent until the ejection ends.
    Ejected(Ejected),
    /// No more calls are sent.
    Leaving(Leaving),
}

impl Cold {
    fn new(limits: Limits, ejections: u32) -> Self {
        Self {
            limit: limits.cold_slots,
            answers: 0,
            failures: 0,
            ejections,
        }
    }

    fn on_signal(mut self, signal: Signal, now_us: u64, limits: Limits) -> LifecycleState {
        if signal.is_failure() || signal.is_refusal() {
            return self.on_failure(signal, now_us, limits);
        }
        self.failures = 0;
        self.ejections = 0;
        if signal != Signal::Answered {
            return LifecycleState::Cold(self);
        }
        self.answers += 1;
        let needed = ANSWERS_PER_LIMIT_RAISE * u32::try_from(self.limit).unwrap_or(u32::MAX);
        if self.answers < needed {
            return LifecycleState::Cold(self);
        }
        self.answers = 0;
        self.limit += 1;
        if self.limit >= limits.slots {
            return LifecycleState::Warm(Warm::new());
        }
        LifecycleState::Cold(self)
    }

    fn on_failure(mut self, signal: Signal, now_us: u64, limits: Limits) -> LifecycleState {
        self.limit = limits.cold_slots;
        self.answers = 0;
        self.failures += u32::from(signal.is_failure());
        let has_failed = self.failures >= FAILURES_TO_EJECT && limits.may_eject;
        if signal.is_connect_failure() || has_failed {
            return LifecycleState::Ejected(Ejected::new(now_us, self.ejections + 1));
        }
        LifecycleState::Cold(self)
    }
}

impl Warm {
    fn new() -> Self {
        Self {
            failures: 0,
            refusals: 0,
            slow_answers: 0,
        }
    }

    fn on_signal(mut self, signal: Signal, now_us: u64, limits: Limits) -> LifecycleState {
        let is_slow = signal == Signal::AnsweredSlowly;
        self.failures = next_streak(self.failures, signal.is_failure());
        self.refusals = next_streak(self.refusals, signal.is_refusal());
        self.slow_answers = next_streak(self.slow_answers, is_slow);
        let has_failed = self.failures >= FAILURES_TO_EJECT && limits.may_eject;
        if signal.is_connect_failure() || has_failed {
            return LifecycleState::Ejected(Ejected::new(now_us, 1));
        }
        let was_reset = signal == Signal::Reset;
        let must_cool_down =
            self.refusals >= REFUSALS_TO_COLD || self.slow_answers >= SLOW_ANSWERS_TO_COLD;
        if was_reset || must_cool_down || self.failures >= FAILURES_TO_EJECT {
            let mut cold = Cold::new(limits, 0);
            cold.failures = self.failures;
            return LifecycleState::Cold(cold);
        }
        LifecycleState::Warm(self)
    }
}

impl Ejected {
    fn new(now_us: u64, ejections: u32) -> Self {
        let doublings = ejections.saturating_sub(1).min(16);
        let duration_us = (MIN_EJECTION_US << doublings).min(MAX_EJECTION_US);
        Self {
            until_us: now_us + duration_us,
            ejections,
        }
    }

    fn on_tick(self, now_us: u64, limits: Limits) -> LifecycleState {
        if now_us < self.until_us {
            return LifecycleState::Ejected(self);
        }
        LifecycleState::Cold(Cold::new(limits, self.ejections))
    }
}

impl LifecycleState {
    /// Returns the state of a new upstream: cold.
    #[must_use]
    pub fn initial(limits: Limits) -> Self {
        Self::Cold(Cold::new(limits, 0))
    }

    /// Returns the warm state, for an upstream that a previous holder of the
    /// pool had warmed up.
    #[must_use]
    pub fn warm() -> Self {
        Self::Warm(Warm::new())
    }

    /// Returns how many calls the upstream may run at once.
    #[must_use]
    pub fn limit(&self, limits: Limits) -> usize {
        match self {
            Self::Cold(cold) => cold.limit.min(limits.slots),
            Self::Warm(_) => limits.slots,
            Self::Ejected(_) | Self::Leaving(_) => 0,
        }
    }

    /// Whether the upstream gets no calls until its ejection ends.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        matches!(self, Self::Ejected(_))
    }

    /// Whether the upstream gets no more calls.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        matches!(self, Self::Leaving(_))
    }

    /// Whether the upstream may use all of its slots.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        matches!(self, Self::Warm(_))
    }

    /// Returns the state after a call gave `signal`.
    #[must_use]
    pub fn on_signal(self, signal: Signal, now_us: u64, limits: Limits) -> Self {
        match self {
            Self::Cold(cold) => cold.on_signal(signal, now_us, limits),
            Self::Warm(warm) => warm.on_signal(signal, now_us, limits),
            Self::Ejected(_) | Self::Leaving(_) => self,
        }
    }

    /// Returns the state at `now_us`; an ejection may have ended.
    #[must_use]
    pub fn on_tick(self, now_us: u64, limits: Limits) -> Self {
        match self {
            Self::Ejected(ejected) => ejected.on_tick(now_us, limits),
            other => other,
        }
    }

    /// Returns the state after the list marked the upstream as leaving or no
    /// longer names it.
    #[must_use]
    pub fn on_leave(self) -> Self {
        Self::Leaving(Leaving)
    }
}

/// Counts consecutive events; any other event resets the count.
fn next_streak(count: u32, continues: bool) -> u32 {
    if continues { count + 1 } else { 0 }
}

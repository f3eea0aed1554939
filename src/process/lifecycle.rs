//! The life cycle of one upstream as its pool sees it.
//!
//! Each state is a type of its own that holds only what the state needs, and
//! each transition consumes the state it leaves.

use strum::Display;

/// Answers per admitted call that raise a cold limit by one.
const ANSWERS_PER_LIMIT_RAISE: u32 = 8;
/// Failures in a row after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Refusals in a row after which a warm upstream counts as cold again.
const REFUSALS_TO_COLD: u32 = 2;
/// Slow answers in a row after which a warm upstream counts as cold again.
const SLOW_ANSWERS_TO_COLD: u32 = 4;
/// Length of the first ejection.
const MIN_EJECTION_US: u64 = 100_000;
/// Length of the longest ejection.
const MAX_EJECTION_US: u64 = 2_000_000;

/// What one call showed about its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Signal {
    /// It answered in the usual time.
    Answered,
    /// It answered far later than the other upstreams of its pool.
    AnsweredSlowly,
    /// It answered and reported itself as overloaded.
    AnsweredOverloaded,
    /// It answered with a server error.
    #[strum(serialize = "errored")]
    ServerError,
    /// It refused before starting.
    Refused,
    /// No connection stood.
    #[strum(serialize = "unconnected")]
    ConnectFailed,
    /// The connection was cut during a run.
    Reset,
    /// No answer came within the run limit.
    #[strum(serialize = "silent")]
    TimedOut,
    /// The caller went away or its deadline passed: the call may still run.
    Cancelled,
}

impl Signal {
    /// Whether the upstream gave a whole answer.
    #[must_use]
    pub fn is_answer(self) -> bool {
        matches!(
            self,
            Self::Answered | Self::AnsweredSlowly | Self::AnsweredOverloaded | Self::ServerError
        )
    }

    /// Whether the call may still run after its slot was given back.
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

    /// Whether no call can start there, so that one more would be in vain.
    fn is_connect_failure(self) -> bool {
        self == Self::ConnectFailed
    }
}

/// An upstream whose concurrency is still rising on evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cold {
    limit: usize,
    answers: u32,
    failures: u32,
    ejections: u32,
}

/// An upstream that gets all of its slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warm {
    failures: u32,
    refusals: u32,
    slow_answers: u32,
}

/// An upstream that gets nothing until a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ejected {
    until_us: u64,
    ejections: u32,
}

/// An upstream that gets nothing more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving;

/// Limits that the service sets for each of its upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Calls at once when cold.
    pub cold_slots: usize,
    /// Calls at once when warm.
    pub slots: usize,
    /// Whether the pool can spare this upstream now.
    pub may_eject: bool,
}

/// The state of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum LifecycleState {
    /// Concurrency rises on evidence.
    Cold(Cold),
    /// All slots in use.
    Warm(Warm),
    /// Nothing until a time.
    Ejected(Ejected),
    /// Nothing more.
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
    /// An upstream about which nothing is known.
    #[must_use]
    pub fn initial(limits: Limits) -> Self {
        Self::Cold(Cold::new(limits, 0))
    }

    /// An upstream that a predecessor saw warm.
    #[must_use]
    pub fn warm() -> Self {
        Self::Warm(Warm::new())
    }

    /// Calls that it may run at once.
    #[must_use]
    pub fn limit(&self, limits: Limits) -> usize {
        match self {
            Self::Cold(cold) => cold.limit.min(limits.slots),
            Self::Warm(_) => limits.slots,
            Self::Ejected(_) | Self::Leaving(_) => 0,
        }
    }

    /// Whether it gets nothing for now.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        matches!(self, Self::Ejected(_))
    }

    /// Whether it gets nothing any more.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        matches!(self, Self::Leaving(_))
    }

    /// Whether it has all of its slots.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        matches!(self, Self::Warm(_))
    }

    /// The state after a call showed `signal`.
    #[must_use]
    pub fn on_signal(self, signal: Signal, now_us: u64, limits: Limits) -> Self {
        match self {
            Self::Cold(cold) => cold.on_signal(signal, now_us, limits),
            Self::Warm(warm) => warm.on_signal(signal, now_us, limits),
            Self::Ejected(_) | Self::Leaving(_) => self,
        }
    }

    /// The state after time has passed.
    #[must_use]
    pub fn on_tick(self, now_us: u64, limits: Limits) -> Self {
        match self {
            Self::Ejected(ejected) => ejected.on_tick(now_us, limits),
            other => other,
        }
    }

    /// The state after the list says that it leaves.
    #[must_use]
    pub fn on_leave(self) -> Self {
        Self::Leaving(Leaving)
    }
}

fn next_streak(count: u32, continues: bool) -> u32 {
    if continues { count + 1 } else { 0 }
}

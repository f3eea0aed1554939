//! What an instance that starts asks another one before it serves callers.
//!
//! The pattern: all instances return at the same moment, as after a loss of power. Each asks
//! another one what only instances know, the limits of upstreams. Whole states of hundreds of
//! upstreams fill the links and processors of those that are asked, and time out; the limits
//! alone do not.

/// Age up to which an instance waits for its own reads of the store, in milliseconds; usually
/// they take a few calls of 4 ms each.
const OWN_READ_TIME_MS: u64 = 300;

/// What to ask another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartQuestion {
    /// Nothing for now.
    Nothing,
    /// The limits of upstreams alone.
    Limits,
    /// All that it knows.
    WholeState,
}

impl StartQuestion {
    /// The question of an instance of this age, which may have read the instances from the
    /// store.
    #[must_use]
    pub fn choose(knows_limits: bool, are_instances_loaded: bool, age_ms: u64) -> Self {
        if knows_limits {
            Self::Nothing
        } else if are_instances_loaded {
            Self::Limits
        } else if age_ms >= OWN_READ_TIME_MS {
            Self::WholeState
        } else {
            Self::Nothing
        }
    }
}

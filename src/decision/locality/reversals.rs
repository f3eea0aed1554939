//! Limit on how often a share changes its direction.

use std::collections::VecDeque;

/// Time over which reversals are counted.
const WINDOW_MS: u64 = 60_000;
/// Reversals in that time after which a share no longer rises again.
const MAX_REVERSALS: usize = 2;

/// Changes below this come from rounding.
const MIN_CHANGE: f64 = 1e-9;

/// Direction of a change of the share that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    /// More leaves.
    Raise,
    /// Less leaves.
    Lower,
}

/// Recent reversals of one share.
#[derive(Clone, Debug, Default)]
pub struct Reversals {
    last: Option<Direction>,
    at_ms: VecDeque<u64>,
}

impl Reversals {
    /// Whether the share may rise now.
    pub fn may_raise(&mut self, now_ms: u64) -> bool {
        self.last != Some(Direction::Lower) || self.recent(now_ms) < MAX_REVERSALS
    }

    /// Whether the share may fall of its own accord now.
    ///
    /// The first fall in the window leaves one reversal for a rise, since a share that is too
    /// high costs less than one that is too low.
    pub fn may_lower(&mut self, now_ms: u64) -> bool {
        self.last != Some(Direction::Raise) || self.recent(now_ms) == 0
    }

    /// Records by how much the share changed.
    pub fn on_change(&mut self, change: f64, now_ms: u64) {
        if change.abs() < MIN_CHANGE {
            return;
        }
        let direction = if change > 0.0 {
            Direction::Raise
        } else {
            Direction::Lower
        };
        if self.last.is_some_and(|last| last != direction) {
            self.at_ms.push_back(now_ms);
        }
        self.last = Some(direction);
    }

    fn recent(&mut self, now_ms: u64) -> usize {
        while self
            .at_ms
            .front()
            .is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) >= WINDOW_MS)
        {
            self.at_ms.pop_front();
        }
        self.at_ms.len()
    }
}

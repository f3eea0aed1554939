//! Whether instances know the same instances.

/// What the other instances have answered when asked which instances they know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Agreement {
    others: usize,
    same: usize,
    has_difference: bool,
}

impl Agreement {
    /// Starts with no answers of this many other instances.
    #[must_use]
    pub fn new(others: usize) -> Self {
        Self {
            others,
            same: 0,
            has_difference: false,
        }
    }

    /// Records that an instance has answered; `is_same` says whether it knows the same ones.
    pub fn on_answer(&mut self, is_same: bool) {
        self.same += usize::from(is_same);
        self.has_difference |= !is_same;
    }

    /// Whether an instance knows other ones.
    #[must_use]
    pub fn has_difference(&self) -> bool {
        self.has_difference
    }

    /// Whether this instance and those that know the same are more than half of all, and
    /// none that has answered knows other ones.
    ///
    /// Instances only learn of further ones meanwhile. So one that has agreed with two others
    /// knows what both of them knew, and their majorities have one in common.
    #[must_use]
    pub fn is_reached(&self) -> bool {
        !self.has_difference && 2 * (self.same + 1) > self.others + 1
    }
}

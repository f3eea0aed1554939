//! A binary min-heap that updates and removes entries by index.

/// Position of an index that is not in the heap.
const ABSENT: usize = usize::MAX;

/// Min-heap over indices `0..n`, each with a rank.
///
/// It does not allocate once it has grown to the highest index.
#[derive(Clone, Debug, Default)]
pub struct IndexedHeap {
    heap: Vec<usize>,
    /// Position in `heap` by index.
    positions: Vec<usize>,
    /// Rank by index.
    ranks: Vec<u64>,
}

impl IndexedHeap {
    /// Returns the index with the lowest rank.
    #[must_use]
    pub fn first(&self) -> Option<usize> {
        self.heap.first().copied()
    }

    /// Returns the index with the lowest rank other than `excluded`.
    #[must_use]
    pub fn first_except(&self, excluded: Option<usize>) -> Option<usize> {
        let first = self.first()?;
        if Some(first) != excluded {
            return Some(first);
        }
        let left = self.heap.get(1).copied();
        let right = self.heap.get(2).copied();
        match (left, right) {
            (Some(left), Some(right)) if self.ranks[right] < self.ranks[left] => Some(right),
            (left, _) => left,
        }
    }

    /// Inserts `index`, or changes its rank.
    pub fn set(&mut self, index: usize, rank: u64) {
        if index >= self.positions.len() {
            self.positions.resize(index + 1, ABSENT);
            self.ranks.resize(index + 1, 0);
        }
        self.ranks[index] = rank;
        if self.positions[index] == ABSENT {
            self.positions[index] = self.heap.len();
            self.heap.push(index);
        }
        self.sift_up(self.positions[index]);
        self.sift_down(self.positions[index]);
    }

    /// Removes `index` if it is in the heap.
    pub fn remove(&mut self, index: usize) {
        let position = self.positions.get(index).copied().unwrap_or(ABSENT);
        if position == ABSENT {
            return;
        }
        self.heap.swap_remove(position);
        self.positions[index] = ABSENT;
        let Some(moved) = self.heap.get(position).copied() else {
            return;
        };
        self.positions[moved] = position;
        self.sift_up(position);
        self.sift_down(self.positions[moved]);
    }

    fn rank_at(&self, position: usize) -> u64 {
        self.ranks[self.heap[position]]
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.heap.swap(a, b);
        self.positions[self.heap[a]] = a;
        self.positions[self.heap[b]] = b;
    }

    fn sift_up(&mut self, mut position: usize) {
        while position > 0 {
            let parent = (position - 1) / 2;
            if self.rank_at(parent) <= self.rank_at(position) {
                return;
            }
            self.swap(parent, position);
            position = parent;
        }
    }

    fn sift_down(&mut self, mut position: usize) {
        loop {
            let left = 2 * position + 1;
            if left >= self.heap.len() {
                return;
            }
            let right = left + 1;
            let has_right = right < self.heap.len();
            let child = if has_right && self.rank_at(right) < self.rank_at(left) {
                right
            } else {
                left
            };
            if self.rank_at(position) <= self.rank_at(child) {
                return;
            }
            self.swap(position, child);
            position = child;
        }
    }
}

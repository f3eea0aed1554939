//! A binary min-heap whose entries can be changed by their index.

/// Marks an index that is not in the heap.
const ABSENT: usize = usize::MAX;

/// Min-heap over indices `0..n`, each with a rank; no allocation once grown.
#[derive(Clone, Debug, Default)]
pub struct IndexedHeap {
    order: Vec<usize>,
    places: Vec<usize>,
    ranks: Vec<u64>,
}

impl IndexedHeap {
    /// The index with the lowest rank.
    #[must_use]
    pub fn first(&self) -> Option<usize> {
        self.order.first().copied()
    }

    /// The index with the lowest rank other than `avoided`.
    #[must_use]
    pub fn first_except(&self, avoided: Option<usize>) -> Option<usize> {
        let first = self.first()?;
        if Some(first) != avoided {
            return Some(first);
        }
        let left = self.order.get(1).copied();
        let right = self.order.get(2).copied();
        match (left, right) {
            (Some(left), Some(right)) if self.ranks[right] < self.ranks[left] => Some(right),
            (left, _) => left,
        }
    }

    /// Puts `index` in, or moves it to a new rank.
    pub fn set(&mut self, index: usize, rank: u64) {
        if index >= self.places.len() {
            self.places.resize(index + 1, ABSENT);
            self.ranks.resize(index + 1, 0);
        }
        self.ranks[index] = rank;
        if self.places[index] == ABSENT {
            self.places[index] = self.order.len();
            self.order.push(index);
        }
        self.sift_up(self.places[index]);
        self.sift_down(self.places[index]);
    }

    /// Takes `index` out; an absent one changes nothing.
    pub fn remove(&mut self, index: usize) {
        let place = self.places.get(index).copied().unwrap_or(ABSENT);
        if place == ABSENT {
            return;
        }
        self.order.swap_remove(place);
        self.places[index] = ABSENT;
        let Some(moved) = self.order.get(place).copied() else {
            return;
        };
        self.places[moved] = place;
        self.sift_up(place);
        self.sift_down(self.places[moved]);
    }

    fn rank_at(&self, place: usize) -> u64 {
        self.ranks[self.order[place]]
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.order.swap(a, b);
        self.places[self.order[a]] = a;
        self.places[self.order[b]] = b;
    }

    fn sift_up(&mut self, mut place: usize) {
        while place > 0 {
            let parent = (place - 1) / 2;
            if self.rank_at(parent) <= self.rank_at(place) {
                return;
            }
            self.swap(parent, place);
            place = parent;
        }
    }

    fn sift_down(&mut self, mut place: usize) {
        loop {
            let left = 2 * place + 1;
            if left >= self.order.len() {
                return;
            }
            let right = left + 1;
            let has_right = right < self.order.len();
            let child = if has_right && self.rank_at(right) < self.rank_at(left) {
                right
            } else {
                left
            };
            if self.rank_at(place) <= self.rank_at(child) {
                return;
            }
            self.swap(place, child);
            place = child;
        }
    }
}

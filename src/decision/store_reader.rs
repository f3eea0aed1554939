//! Choice of the instances of a data centre that read the store for the others.
//!
//! Rendezvous hashing ranks the instances of a data centre, and the first one
//! reads the store. If it cannot reach the store, the next ones try, but only a
//! few, so that an unavailable store does not get requests from the whole fleet. The store
//! may turn all of these away and serve another one, so the rest try it in turn, by one
//! short read at a time.

/// Largest number of instances of a data centre that try a store which does not
/// respond; a store that refuses a third of all instances refuses all three of
/// them with a probability of 1 in 27.
const MAX_READERS: usize = 3;

/// Time between the first tries of two instances that are not readers, in milliseconds;
/// ten calls a second in each data centre.
const TRIAL_SPACING_MS: u64 = 100;
/// Shortest time between two tries of the same instance, in milliseconds.
const MIN_TRIAL_ROUND_MS: u64 = 3_000;
/// Age of the newest answer of the store above which no reader of another data centre
/// reaches it, in milliseconds: the interval of its checks, the wait of a long poll and
/// the delay between polls of a reader without the store.
pub const STALE_AGE_MS: u64 = 3_000;

/// State of an instance with a better rank, as this instance knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// No failure of the instance is known.
    Usable,
    /// The instance responds, but cannot reach the store.
    StoreUnreachable,
    /// The instance does not respond.
    Unresponsive,
}

/// Whether this instance reads the store or gets its records from another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// This instance reads the store itself.
    Reader,
    /// This instance follows the one with this rank.
    Follower(usize),
    /// This instance follows the one with this rank although that one cannot
    /// reach the store: that one gets records from other data centres, and enough
    /// instances try the store already.
    FollowerWithoutStore(usize),
}

/// Chooses the role of this instance by the states of the instances with a
/// better rank, in the order of their ranks.
///
/// Those behind enough instances that cannot reach the store do not count, whatever their
/// state: they do not try it either.
#[must_use]
pub fn choose_role(peers: &[PeerState]) -> StoreRole {
    let mut first_without_store = None;
    let mut without_store = 0;
    for (rank, state) in peers.iter().enumerate() {
        match state {
            PeerState::Usable => return StoreRole::Follower(rank),
            PeerState::StoreUnreachable => {
                let first = *first_without_store.get_or_insert(rank);
                without_store += 1;
                if without_store >= MAX_READERS {
                    return StoreRole::FollowerWithoutStore(first);
                }
            }
            PeerState::Unresponsive => {}
        }
    }
    StoreRole::Reader
}

/// Time from the loss of the store to the first try of the instance with this rank in
/// its data centre, in milliseconds.
#[must_use]
pub fn first_trial_delay_ms(rank: usize) -> u64 {
    TRIAL_SPACING_MS.saturating_mul(u64::try_from(rank).unwrap_or(u64::MAX))
}

/// Time between two tries of the same instance, in milliseconds; it grows with the number
/// of instances of the data centre, so that they make no more than ten calls a second.
#[must_use]
pub fn trial_round_ms(instances: usize) -> u64 {
    first_trial_delay_ms(instances).max(MIN_TRIAL_ROUND_MS)
}

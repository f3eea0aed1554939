//! Choice of the instances of a data centre that read the store for the others.
//!
//! Rendezvous hashing ranks the instances of a data centre, and the first one
//! reads the store. If it cannot reach the store, the next ones try, but only a
//! few, so that an unavailable store does not get requests from the whole fleet.

/// Largest number of instances of a data centre that try a store which does not
/// respond; a store that refuses a third of all instances refuses all three of
/// them with a probability of 1 in 27.
const MAX_READERS: usize = 3;

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
#[must_use]
pub fn choose_role(peers: &[PeerState]) -> StoreRole {
    let find = |wanted: PeerState| peers.iter().position(|state| *state == wanted);
    if let Some(rank) = find(PeerState::Usable) {
        return StoreRole::Follower(rank);
    }
    let without_store = peers
        .iter()
        .filter(|state| **state == PeerState::StoreUnreachable);
    match find(PeerState::StoreUnreachable) {
        Some(rank) if without_store.count() >= MAX_READERS => StoreRole::FollowerWithoutStore(rank),
        _ => StoreRole::Reader,
    }
}

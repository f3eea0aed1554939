//! Who of a data centre reads the store for the others.
//!
//! Rendezvous hashing ranks the instances of a data centre, and the first one
//! reads. Where the store does not answer it, the next ones try, but only a
//! few: a store that answers nobody is not to be asked by the whole fleet.

/// Most instances of a data centre that try a store which does not answer; a
/// store that refuses a third of the instances refuses three with one in 27.
const READERS_MAX: usize = 3;

/// What is known of an instance that comes before this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// Nothing speaks against it.
    Usable,
    /// It answers, and the store does not answer it.
    StoreUnreachable,
    /// It does not answer.
    Unresponsive,
}

/// Where this instance gets the store's records from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// From the store itself.
    Reader,
    /// From the instance with this rank.
    Follower(usize),
    /// The same, though the store does not answer that one: it learns from
    /// other data centres, and enough others try the store.
    FollowerWithoutStore(usize),
}

/// Chooses by the instances that come before this one, the first one first.
#[must_use]
pub fn choose_role(before: &[PeerState]) -> StoreRole {
    let find = |wanted: PeerState| before.iter().position(|standing| *standing == wanted);
    if let Some(rank) = find(PeerState::Usable) {
        return StoreRole::Follower(rank);
    }
    let tried = before
        .iter()
        .filter(|standing| **standing == PeerState::StoreUnreachable);
    match find(PeerState::StoreUnreachable) {
        Some(rank) if tried.count() >= READERS_MAX => StoreRole::FollowerWithoutStore(rank),
        _ => StoreRole::Reader,
    }
}

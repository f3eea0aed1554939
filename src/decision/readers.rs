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
pub enum Standing {
    /// Nothing speaks against it.
    Usable,
    /// It answers, and the store does not answer it.
    WithoutStore,
    /// It does not answer.
    Silent,
}

/// Where this instance gets the store's records from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// From the store itself.
    Read,
    /// From the instance with this rank.
    Follow(usize),
    /// The same, though the store does not answer that one: it learns from
    /// other data centres, and enough others try the store.
    FollowWithoutStore(usize),
}

/// Chooses by the instances that come before this one, the first one first.
#[must_use]
pub fn choose(before: &[Standing]) -> Choice {
    let find = |wanted: Standing| before.iter().position(|standing| *standing == wanted);
    if let Some(rank) = find(Standing::Usable) {
        return Choice::Follow(rank);
    }
    let tried = before
        .iter()
        .filter(|standing| **standing == Standing::WithoutStore);
    match find(Standing::WithoutStore) {
        Some(rank) if tried.count() >= READERS_MAX => Choice::FollowWithoutStore(rank),
        _ => Choice::Read,
    }
}

//! A view of the fleet, and the assignment of pools and keys to its members.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One process of an instance; each restart has a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Random number that identifies the process.
    pub incarnation: u64,
    /// Data centre of the instance.
    pub data_centre: Arc<str>,
    /// Address that serves other instances.
    pub address: SocketAddr,
}

/// The live members of the fleet, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    members: Vec<Arc<Member>>,
}

impl View {
    /// Creates a view of these members.
    #[must_use]
    pub fn new(mut members: Vec<Arc<Member>>) -> Self {
        members.sort_by(|a, b| (&a.name, a.incarnation).cmp(&(&b.name, b.incarnation)));
        Self { members }
    }

    /// Returns the members, sorted by name.
    #[must_use]
    pub fn members(&self) -> &[Arc<Member>] {
        &self.members
    }

    /// Returns the view without one process.
    #[must_use]
    pub fn without(&self, member: &Member) -> Self {
        let mut members = self.members.clone();
        members.retain(|other| **other != *member);
        Self { members }
    }

    /// Whether this process is in the view.
    #[must_use]
    pub fn contains(&self, member: &Member) -> bool {
        self.members.iter().any(|other| **other == *member)
    }

    /// Returns the instance that holds the pool of a service in a data centre.
    ///
    /// This is an instance of that data centre, or of any other if it has none.
    #[must_use]
    pub fn holder(&self, service: &str, data_centre: &str) -> Option<&Arc<Member>> {
        let seed = hash_words(&[service, data_centre]);
        let is_near = |member: &&Arc<Member>| &*member.data_centre == data_centre;
        let near = self.members.iter().filter(is_near);
        near.max_by_key(|member| score(seed, &member.name))
            .or_else(|| {
                self.members
                    .iter()
                    .max_by_key(|member| score(seed, &member.name))
            })
    }

    /// Returns the two instances that must record a key before its call may run;
    /// fewer if the view has fewer members.
    #[must_use]
    pub fn pair(&self, key: u64) -> Vec<Arc<Member>> {
        let mut first: Option<(u64, &Arc<Member>)> = None;
        let mut second: Option<(u64, &Arc<Member>)> = None;
        for member in &self.members {
            let rank = (score(key, &member.name), member);
            if first.is_none_or(|best| rank.0 > best.0) {
                second = first;
                first = Some(rank);
            } else if second.is_none_or(|best| rank.0 > best.0) {
                second = Some(rank);
            }
        }
        let ranks = [first, second];
        ranks
            .into_iter()
            .flatten()
            .map(|(_, member)| Arc::clone(member))
            .collect()
    }
}

/// Hashes words by FNV-1a, with the same result in every process and version.
#[must_use]
pub fn hash_words(words: &[&str]) -> u64 {
    let mut hash = FNV_OFFSET;
    for word in words {
        hash = hash_bytes(hash, word.as_bytes());
        hash = hash_bytes(hash, &[0xff]);
    }
    mix(hash)
}

/// Continues an FNV-1a hash from `seed` over bytes.
#[must_use]
pub fn hash_bytes(seed: u64, bytes: &[u8]) -> u64 {
    let mut hash = seed;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    hash
}

/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Rendezvous-hashing score of an instance for a seed.
fn score(seed: u64, name: &str) -> u64 {
    mix(hash_bytes(seed, name.as_bytes()))
}

/// Finaliser of `SplitMix64`, which spreads the bits of an FNV-1a hash.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

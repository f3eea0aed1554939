//! Rendezvous hashing: which of the known instances is responsible for a subject,
//! such as an upstream or a data centre.
//!
//! Instances with the same membership view agree without communication, and when
//! an instance joins or leaves, only its own subjects move.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Weight of an instance for a subject; the instance with the greatest weight is
/// responsible for it.
#[must_use]
pub fn weight(subject: &str, instance: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    instance.hash(&mut hasher);
    hasher.finish()
}

/// Rank of `me` for a subject: the number of other instances with a greater
/// weight.
pub fn rank<'i>(subject: &str, instances: impl IntoIterator<Item = &'i str>, me: &str) -> usize {
    let own_weight = weight(subject, me);
    let mut higher = 0;
    for instance in instances {
        if instance != me && weight(subject, instance) > own_weight {
            higher += 1;
        }
    }
    higher
}

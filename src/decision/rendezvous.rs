//! Rendezvous hashing: who of the known instances looks after a subject.
//!
//! Instances with the same view agree without a word, and a change of the view
//! moves only what the instance in question looked after.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Weight of an instance for a subject; the greatest one looks after it.
#[must_use]
pub fn weight(subject: &str, instance: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    instance.hash(&mut hasher);
    hasher.finish()
}

/// How many instances other than `me` come before it for a subject.
pub fn rank<'i>(subject: &str, instances: impl IntoIterator<Item = &'i str>, me: &str) -> usize {
    let mine = weight(subject, me);
    let mut before = 0;
    for instance in instances {
        if instance != me && weight(subject, instance) > mine {
            before += 1;
        }
    }
    before
}

//! The organisations that may call, found by their keys.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use sha2::{Digest, Sha256};

/// Requests that an organisation may run, over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Requests per second.
    pub per_s: f64,
    /// Requests beyond that rate in any time.
    pub burst: f64,
}

/// An owner of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Unique name, as upstreams receive it.
    pub name: Arc<str>,
    /// Priority of its requests in place of the route's; 0 is the highest.
    pub priority: Option<u8>,
    /// Limit on its requests, if any.
    pub allowance: Option<Allowance>,
}

/// SHA-256 of a key: comparing two hashes takes a time that says nothing of the keys.
///
/// The debug format leaves out the hash, from which a short key can be guessed.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyHash(..)")
    }
}

/// The organisations of one version, by key and by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Organisations {
    by_key: HashMap<KeyHash, Arc<Organisation>>,
    by_name: HashMap<Arc<str>, Arc<Organisation>>,
    shared_keys: BTreeMap<Arc<str>, usize>,
}

impl Organisations {
    /// Indexes organisations and their keys. A key of two organisations belongs to neither.
    #[must_use]
    pub fn new(entries: Vec<(Organisation, Vec<KeyHash>)>) -> Self {
        let mut organisations = Self::default();
        let mut owners: HashMap<KeyHash, Vec<Arc<Organisation>>> = HashMap::new();
        for (organisation, keys) in entries {
            let organisation = Arc::new(organisation);
            for key in keys {
                let owners = owners.entry(key).or_default();
                if owners.iter().all(|owner| owner.name != organisation.name) {
                    owners.push(Arc::clone(&organisation));
                }
            }
            let name = Arc::clone(&organisation.name);
            organisations.by_name.insert(name, organisation);
        }
        for (key, owners) in owners {
            if let [owner] = &owners[..] {
                organisations.by_key.insert(key, Arc::clone(owner));
                continue;
            }
            for owner in owners {
                let name = Arc::clone(&owner.name);
                *organisations.shared_keys.entry(name).or_default() += 1;
            }
        }
        organisations
    }

    /// The organisation that a key belongs to.
    #[must_use]
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Organisation>> {
        self.by_key.get(&KeyHash::of(key))
    }

    /// The organisation of that name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// All organisations, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_name.values()
    }

    /// Organisations some of whose keys another one has too, with the number of these keys.
    #[must_use]
    pub fn shared_keys(&self) -> &BTreeMap<Arc<str>, usize> {
        &self.shared_keys
    }
}

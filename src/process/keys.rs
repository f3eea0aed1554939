//! Records of idempotency keys, for calls that may run at most once.
//!
//! Two instances record a key before its call may run; see
//! `docs/design/at-most-once.md`. A key table holds the records of one instance
//! and does no I/O.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::request::outcome::Outcome;

/// Time after its last change at which a key's record expires.
pub const KEY_RETENTION_MS: u64 = 600_000;
/// Number of keys in a table at which claims of new keys are rejected.
const MAX_KEYS: usize = 200_000;

/// A caller's idempotency key, scoped to a service and an organisation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyName {
    /// Service of the call.
    pub service: Arc<str>,
    /// Organisation that makes the call.
    pub organisation: Arc<str>,
    /// Value of the `Idempotency-Key` header.
    pub key: Arc<str>,
}

impl KeyName {
    /// Hash that selects the pair of instances responsible for the key.
    #[must_use]
    pub fn hash(&self) -> u64 {
        super::members::hash_words(&[&self.service, &self.organisation, &self.key])
    }
}

/// State of a key's call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeyState {
    /// The process with this incarnation may run the call.
    Claimed(u64),
    /// The call ended with this outcome, a result or unknown.
    Ended(Arc<Outcome>),
}

/// A key with its state, as sent between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The key.
    pub name: KeyName,
    /// Fingerprint of the request, equal for each repetition.
    pub fingerprint: u64,
    /// State of the key's call.
    pub state: KeyState,
    /// Time since the last change of the state.
    pub age_ms: u64,
}

/// Response to a claim of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimResponse {
    /// The claimant has the claim.
    Granted,
    /// The key already has this state.
    Known(KeyState),
    /// The key was used for a request with another fingerprint.
    KeyReused,
    /// The key table is full.
    TableFull,
    /// The claim reached another process than the one it was sent to, for
    /// example its successor after a restart, which may lack the records.
    WrongIncarnation,
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    state: KeyState,
    changed_ms: u64,
}

/// The key records of one instance.
#[derive(Debug, Default)]
pub struct KeyTable {
    entries: HashMap<KeyName, Entry>,
    /// Times of the keys' changes, in the order of insertion.
    expiry_queue: VecDeque<(u64, KeyName)>,
}

impl KeyTable {
    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the state of a key's call, if the key has a record.
    #[must_use]
    pub fn state(&self, name: &KeyName) -> Option<&KeyState> {
        self.entries.get(name).map(|entry| &entry.state)
    }

    /// Claims a key for the process with incarnation `claimant`.
    pub fn claim(
        &mut self,
        now_ms: u64,
        name: &KeyName,
        fingerprint: u64,
        claimant: u64,
    ) -> ClaimResponse {
        self.remove_expired(now_ms);
        if let Some(entry) = self.entries.get(name) {
            if entry.fingerprint != fingerprint {
                return ClaimResponse::KeyReused;
            }
            return match &entry.state {
                KeyState::Claimed(owner) if *owner == claimant => ClaimResponse::Granted,
                state => ClaimResponse::Known(state.clone()),
            };
        }
        if self.entries.len() >= MAX_KEYS {
            return ClaimResponse::TableFull;
        }
        self.insert(now_ms, name, fingerprint, KeyState::Claimed(claimant));
        ClaimResponse::Granted
    }

    /// Records how the call ended; `NotRun` removes the key's record.
    pub fn record_outcome(
        &mut self,
        now_ms: u64,
        name: &KeyName,
        fingerprint: u64,
        outcome: &Arc<Outcome>,
    ) {
        if outcome.is_not_run() {
            self.entries.remove(name);
            return;
        }
        self.insert(
            now_ms,
            name,
            fingerprint,
            KeyState::Ended(Arc::clone(outcome)),
        );
    }

    /// Removes a claim of `claimant`; any other state stays.
    pub fn release(&mut self, name: &KeyName, claimant: u64) {
        let is_own = self.state(name) == Some(&KeyState::Claimed(claimant));
        if is_own {
            self.entries.remove(name);
        }
    }

    /// Merges a record from another instance: an outcome replaces a claim, and
    /// a result replaces an unknown outcome.
    pub fn merge(&mut self, now_ms: u64, record: &KeyRecord) {
        let should_replace = match (self.state(&record.name), &record.state) {
            (None, _) | (Some(KeyState::Claimed(_)), KeyState::Ended(_)) => true,
            (Some(KeyState::Ended(known)), KeyState::Ended(received)) => {
                known.is_unknown() && !received.is_unknown()
            }
            (Some(_), KeyState::Claimed(_)) => false,
        };
        if should_replace {
            let changed_ms = now_ms.saturating_sub(record.age_ms);
            let state = record.state.clone();
            self.insert(changed_ms, &record.name, record.fingerprint, state);
        }
    }

    /// Returns all records, to send to other instances.
    #[must_use]
    pub fn records(&self, now_ms: u64) -> Vec<KeyRecord> {
        let mut records = Vec::with_capacity(self.entries.len());
        for (name, entry) in &self.entries {
            records.push(KeyRecord {
                name: name.clone(),
                fingerprint: entry.fingerprint,
                state: entry.state.clone(),
                age_ms: now_ms.saturating_sub(entry.changed_ms),
            });
        }
        records
    }

    /// Removes the keys whose retention time has passed.
    pub fn remove_expired(&mut self, now_ms: u64) {
        while let Some((changed_ms, _)) = self.expiry_queue.front() {
            if now_ms.saturating_sub(*changed_ms) < KEY_RETENTION_MS {
                return;
            }
            let Some((changed_ms, name)) = self.expiry_queue.pop_front() else {
                return;
            };
            let is_last = self
                .entries
                .get(&name)
                .is_some_and(|entry| entry.changed_ms == changed_ms);
            if is_last {
                self.entries.remove(&name);
            }
        }
    }

    fn insert(&mut self, changed_ms: u64, name: &KeyName, fingerprint: u64, state: KeyState) {
        self.expiry_queue.push_back((changed_ms, name.clone()));
        let entry = Entry {
            fingerprint,
            state,
            changed_ms,
        };
        self.entries.insert(name.clone(), entry);
    }
}

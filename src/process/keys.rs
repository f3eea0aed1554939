//! Attempts at calls that may not be repeated, by idempotency key.
//!
//! Two instances know a key before its call may run; see
//! `docs/design/at-most-once.md`. A register is pure and holds the part of
//! one instance.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::request::outcome::Outcome;

/// Time for which a key is remembered after its last change.
pub const RETENTION_MS: u64 = 600_000;
/// Keys that one register holds; beyond it new ones are turned down.
const MAX_KEYS: usize = 200_000;

/// A key as the caller gave it, within its service and organisation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyName {
    /// Service of the call.
    pub service: Arc<str>,
    /// Owner of the call.
    pub organisation: Arc<str>,
    /// Value of the `Idempotency-Key` header.
    pub key: Arc<str>,
}

impl KeyName {
    /// Hash by which the instances for a key are found.
    #[must_use]
    pub fn hash(&self) -> u64 {
        super::members::hash_words(&[&self.service, &self.organisation, &self.key])
    }
}

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeyState {
    /// The process with this incarnation may run it.
    Claimed(u64),
    /// It ended with this outcome, which is a result or unknown.
    Ended(Arc<Outcome>),
}

/// A key with its state, as instances pass it on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The key.
    pub name: KeyName,
    /// Identifies the work, alike in each repetition.
    pub fingerprint: u64,
    /// What is known of it.
    pub state: KeyState,
    /// Time since the last change.
    pub age_ms: u64,
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimResponse {
    /// The claimant may go on.
    Granted,
    /// This is known already.
    Known(KeyState),
    /// The key was used for other work.
    KeyReused,
    /// The register is full.
    TableFull,
    /// Another process than the one that is asked, which may know nothing.
    WrongIncarnation,
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    state: KeyState,
    changed_ms: u64,
}

/// The keys that one instance knows.
#[derive(Debug, Default)]
pub struct KeyTable {
    entries: HashMap<KeyName, Entry>,
    expiry_queue: VecDeque<(u64, KeyName)>,
}

impl KeyTable {
    /// Number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What is known of a key.
    #[must_use]
    pub fn state(&self, name: &KeyName) -> Option<&KeyState> {
        self.entries.get(name).map(|entry| &entry.state)
    }

    /// Asks that the process `claimant` may run the key's call.
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

    /// Records how the call ended; `NotRun` gives the key free again.
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

    /// Gives a claim of `claimant` free; other states stay.
    pub fn release(&mut self, name: &KeyName, claimant: u64) {
        let is_own = self.state(name) == Some(&KeyState::Claimed(claimant));
        if is_own {
            self.entries.remove(name);
        }
    }

    /// Takes a record from another instance; a result wins over a claim.
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

    /// All records, for passing them on.
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

    /// Drops the keys whose retention has passed.
    pub fn remove_expired(&mut self, now_ms: u64) {
        while let Some((changed_ms, _)) = self.expiry_queue.front() {
            if now_ms.saturating_sub(*changed_ms) < RETENTION_MS {
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

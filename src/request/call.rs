//! A call as instances pass it on.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::body::Body;
use super::outcome::Header;
use crate::process::keys::KeyName;
use crate::process::members::{hash_bytes, hash_words};
use crate::version::objects::TierKind;

/// One call of an organisation to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Identifies the call in logs; given by the entry instance.
    pub id: Arc<str>,
    /// Service that it names.
    pub service: Arc<str>,
    /// Owner of the call.
    pub organisation: Arc<str>,
    /// How it is served when slots are short.
    pub tier: TierKind,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query at the upstream.
    pub path: Arc<str>,
    /// Headers that reach the upstream.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Body,
    /// Value of the `Idempotency-Key` header.
    pub key: Option<Arc<str>>,
    /// Whether it may be repeated.
    pub is_idempotent: bool,
    /// Calls between the first caller and this one.
    pub depth: u8,
    /// Time left until the answer is of no use.
    pub remaining_us: u64,
    /// Upstream that an earlier attempt used.
    pub avoid: Option<Arc<str>>,
}

impl Call {
    /// Identifies the work: alike for repetitions, whatever their key.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let words = [&*self.service, &self.organisation, &self.method, &self.path];
        hash_bytes(hash_words(&words), &self.body.0)
    }

    /// The key within its service and organisation.
    #[must_use]
    pub fn key_name(&self) -> Option<KeyName> {
        let key = self.key.as_ref()?;
        Some(KeyName {
            service: Arc::clone(&self.service),
            organisation: Arc::clone(&self.organisation),
            key: Arc::clone(key),
        })
    }
}

//! A call in the form in which instances pass it on.

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
    /// Id of the call in logs, assigned by the entry instance.
    pub id: Arc<str>,
    /// Name of the called service.
    pub service: Arc<str>,
    /// Name of the organisation that makes the call.
    pub organisation: Arc<str>,
    /// Priority when slots are scarce.
    pub tier: TierKind,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query of the request to the upstream.
    pub path: Arc<str>,
    /// Headers that are forwarded to the upstream.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Body,
    /// Value of the `Idempotency-Key` header.
    pub key: Option<Arc<str>>,
    /// Whether the call may be sent again after it may have run.
    pub is_idempotent: bool,
    /// Number of calls between the first caller and this call.
    pub depth: u8,
    /// Time left until the caller's deadline.
    pub remaining_us: u64,
    /// Upstream of an earlier attempt, which this one avoids if it can.
    pub avoid: Option<Arc<str>>,
}

impl Call {
    /// Hash of service, organisation, method, path and body: equal for repeated
    /// calls, even if their keys differ.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let words = [&*self.service, &self.organisation, &self.method, &self.path];
        hash_bytes(hash_words(&words), &self.body.0)
    }

    /// The idempotency key, qualified by service and organisation.
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

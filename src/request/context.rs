//! The signed context that links a call to the calls that it makes.
//!
//! An upstream that makes further calls sends the context that it received in
//! place of an API key. The signature prevents it from changing the organisation
//! or the tier.

use std::sync::Arc;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use thiserror::Error;

use crate::version::objects::TierKind;

/// Largest depth of a call in a chain.
pub const MAX_DEPTH: u8 = 7;

/// Owner of a chain of calls, and the depth of one call in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Context {
    /// Name of the organisation that made the first call.
    pub organisation: Arc<str>,
    /// Tier of that organisation.
    pub tier: TierKind,
    /// Number of calls between the first caller and this call.
    pub depth: u8,
}

/// Why a context is rejected.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ContextError {
    /// The value does not have the four parts of a context.
    #[error("the context is malformed; send the header as it was received")]
    Malformed,
    /// The signature was not made with this deployment's secret.
    #[error("the context has a wrong signature; send the header as it was received")]
    InvalidSignature,
    /// The depth exceeds [`MAX_DEPTH`].
    #[error("the chain of calls is deeper than {MAX_DEPTH}; call fewer services in turn")]
    TooDeep,
}

impl Context {
    /// Returns the header value, signed with the deployment's secret.
    #[must_use]
    pub fn sign(&self, secret: &str) -> String {
        let text = format!("{}.{}.{}", self.depth, self.tier, self.organisation);
        let signature = to_hex(&new_mac(secret, &text).finalize().into_bytes());
        format!("{signature}.{text}")
    }

    /// Parses a header value and verifies its signature.
    ///
    /// # Errors
    /// Returns a [`ContextError`] if the value is malformed, the signature is
    /// invalid or the depth exceeds [`MAX_DEPTH`].
    pub fn verify(value: &str, secret: &str) -> Result<Self, ContextError> {
        let (signature, text) = value.split_once('.').ok_or(ContextError::Malformed)?;
        let signature = from_hex(signature).ok_or(ContextError::Malformed)?;
        new_mac(secret, text)
            .verify_slice(&signature)
            .map_err(|_| ContextError::InvalidSignature)?;
        let mut parts = text.splitn(3, '.');
        let depth: Option<u8> = parts.next().and_then(|depth| depth.parse().ok());
        let tier = parts.next().and_then(|tier| tier.parse().ok());
        let organisation = parts.next().filter(|name| !name.is_empty());
        let (Some(depth), Some(tier), Some(organisation)) = (depth, tier, organisation) else {
            return Err(ContextError::Malformed);
        };
        if depth > MAX_DEPTH {
            return Err(ContextError::TooDeep);
        }
        Ok(Self {
            organisation: organisation.into(),
            tier,
            depth,
        })
    }
}

fn new_mac(secret: &str, text: &str) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(secret.as_bytes())
        .unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length"));
    mac.update(text.as_bytes());
    mac
}

/// Encodes bytes as lower-case hexadecimal digits.
#[must_use]
pub fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from(DIGITS[usize::from(byte >> 4)]));
        text.push(char::from(DIGITS[usize::from(byte & 15)]));
    }
    text
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    let mut bytes = Vec::with_capacity(text.len() / 2);
    for start in (0..text.len()).step_by(2) {
        bytes.push(u8::from_str_radix(&text[start..start + 2], 16).ok()?);
    }
    Some(bytes)
}

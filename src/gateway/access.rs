//! Finds out which organisation a request belongs to, and replaces its key by the
//! organisation's name.
//!
//! Only requests under a version with organisations are looked at. Their key is removed before
//! the request goes anywhere, and no error, log line or metric contains it.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};

use super::calls::id_text;
use super::outcome::{Outcome, Reason};
use super::state::Gateway;
use super::store::{HeaderNames, Platform, Stream};
use crate::decision::manifest::{Manifest, Route};
use crate::decision::organisations::{Organisation, Organisations};

/// Age of the operator's records, in milliseconds, from which on an unknown key may belong to a
/// newer version: twice the bound on the time until a version is in force.
const MAX_UNCONFIRMED_MS: u64 = 5_000;
/// Retry delay for callers whose key is unknown then; a reader asks the store again after 400 ms
/// at most.
const UNCONFIRMED_RETRY_AFTER_MS: u64 = 500;
/// Scheme of the header with the key.
const SCHEME: &[u8] = b"bearer";

/// Why a request has no known key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum Denial {
    /// No header, or no key in it.
    Missing,
    /// Several headers.
    Repeated,
    /// Another scheme.
    OtherScheme,
    /// No organisation has the key.
    Unknown,
}

/// The response to a request that is refused for want of a known key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccessRefusal {
    reason: Reason,
    retry_after_ms: Option<u64>,
}

impl From<AccessRefusal> for Outcome {
    fn from(refusal: AccessRefusal) -> Self {
        Self::GatewayError {
            reason: refusal.reason,
            retry_after: refusal.retry_after_ms.map(Duration::from_millis),
        }
    }
}

const UNAUTHORIZED: AccessRefusal = AccessRefusal {
    reason: Reason::Unauthorized,
    retry_after_ms: None,
};

/// Returns the organisation of a caller's request; `None` if the request needs none.
///
/// # Errors
/// Returns the final response to the caller if the request needs a key and has no known one.
pub fn authenticate<P: Platform>(
    gateway: &Gateway<P>,
    manifest: &Manifest,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Organisation>>, AccessRefusal> {
    let Some(organisations) = manifest.organisations() else {
        return Ok(None);
    };
    let names = gateway.platform.headers();
    match find(organisations, headers, &names.authorization) {
        Ok(organisation) => Ok(Some(Arc::clone(organisation))),
        Err(_) if route.is_public => Ok(None),
        Err(denial) => Err(refuse(gateway, manifest, route, headers, denial)),
    }
}

fn find<'o>(
    organisations: &'o Organisations,
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<&'o Arc<Organisation>, Denial> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().ok_or(Denial::Missing)?.as_bytes();
    if values.next().is_some() {
        return Err(Denial::Repeated);
    }
    let scheme_length = value.iter().position(|byte| *byte == b' ');
    let (scheme, rest) = value.split_at(scheme_length.unwrap_or(value.len()));
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        return Err(Denial::OtherScheme);
    }
    let key = rest.trim_ascii();
    if key.is_empty() {
        return Err(Denial::Missing);
    }
    organisations.find(key).ok_or(Denial::Unknown)
}

fn refuse<P: Platform>(
    gateway: &Gateway<P>,
    manifest: &Manifest,
    route: &Route,
    headers: &HeaderMap,
    denial: Denial,
) -> AccessRefusal {
    let why: &'static str = denial.into();
    gateway.metrics.on_denied_key(why);
    let now_ms = gateway.now_ms();
    let confirmed_age_ms = gateway.stream_ages.age_ms(Stream::Operator, now_ms);
    let may_be_new = denial == Denial::Unknown && confirmed_age_ms >= MAX_UNCONFIRMED_MS;
    if gateway.log_budget.take() {
        let id = headers.get(&gateway.platform.headers().request_id);
        tracing::info!(
            request = id_text(id),
            route = %route.name,
            version = manifest.version,
            why,
            confirmed_age_ms,
            "request refused: it has no known key"
        );
    }
    if may_be_new {
        return AccessRefusal {
            reason: Reason::KeyUnconfirmed,
            retry_after_ms: Some(UNCONFIRMED_RETRY_AFTER_MS),
        };
    }
    UNAUTHORIZED
}

/// Removes the key and any name that the caller sent, and sets that of the organisation.
///
/// Does nothing under a version without organisations.
///
/// # Errors
/// Returns the final response to the caller if the name cannot be sent; the platform leaves
/// such organisations out.
pub fn replace_key(
    headers: &mut HeaderMap,
    names: &HeaderNames,
    manifest: &Manifest,
    organisation: Option<&Organisation>,
) -> Result<(), AccessRefusal> {
    if manifest.organisations().is_none() {
        return Ok(());
    }
    headers.remove(&names.authorization);
    headers.remove(&names.organisation);
    if let Some(organisation) = organisation {
        let value = HeaderValue::from_bytes(organisation.name.as_bytes());
        let value = value.map_err(|_| UNAUTHORIZED)?;
        headers.insert(&names.organisation, value);
    }
    Ok(())
}

/// Returns the organisation of a request that another instance hands over, which has replaced
/// the key by the organisation's name; `None` if the request needs none.
///
/// # Errors
/// Says why the request is not taken: its organisation is not known here, or the other instance
/// knows a version without organisations and has not replaced the key.
pub fn find_handed(
    manifest: &Manifest,
    route: &Route,
    headers: &HeaderMap,
    names: &HeaderNames,
) -> Result<Option<Arc<Organisation>>, &'static str> {
    let Some(organisations) = manifest.organisations() else {
        return Ok(None);
    };
    if headers.contains_key(&names.authorization) {
        return Err("the key was not replaced by the name of its organisation");
    }
    let mut values = headers.get_all(&names.organisation).iter();
    let Some(value) = values.next() else {
        let why = "its version asks for an organisation";
        return if route.is_public { Ok(None) } else { Err(why) };
    };
    let name = str::from_utf8(value.as_bytes()).ok();
    let organisation = name.and_then(|name| organisations.get(name));
    match organisation.filter(|_| values.next().is_none()) {
        Some(organisation) => Ok(Some(Arc::clone(organisation))),
        None => Err("its version has no such organisation"),
    }
}

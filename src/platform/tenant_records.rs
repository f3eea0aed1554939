//! Decodes the organisations of a manifest, its table `tenants`.
//!
//! What cannot be read concerns its own organisation only. Keys never stand in
//! [`UnreadField`]s, since these are logged.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use serde_json::Value;
use serde_json::value::RawValue;

use super::manifest_record::{Fields, Reading, UNREAD_PRIORITY};
use crate::decision::manifest::UnreadField;
use crate::decision::organisations::{Allowance, KeyHash, Organisation, Organisations};

const API_KEYS: &str = "api-keys";
const KEYS: &str = "a list of strings without spaces around them";

/// Decodes the table; requests need a key even if nothing of it can be read.
pub fn decode_organisations(
    table: &RawValue,
    manifest: &[u8],
    unread: &RefCell<Vec<UnreadField>>,
) -> Organisations {
    let read = serde_json::from_str(table.get());
    let tenants: HashMap<Arc<str>, &RawValue> = read.unwrap_or_else(|_| {
        let fields = Fields::read("tenants".to_owned(), Some(table), manifest, unread);
        let reading = ("organisations by name", "no key is known");
        fields.note_as("tenants", "no table".to_owned(), reading);
        HashMap::new()
    });
    let mut entries = Vec::with_capacity(tenants.len());
    for (name, raw) in &tenants {
        let fields = Fields::read(format!("tenant {name}"), Some(raw), manifest, unread);
        if !is_header_text(name) {
            let reading = ("text for a header", "none of its keys is known");
            fields.note_as("name", "unusable".to_owned(), reading);
            continue;
        }
        entries.push(decode_organisation(name, &fields));
    }
    let organisations = Organisations::new(entries);
    for (name, keys) in organisations.shared_keys() {
        let raw = tenants.get(name).copied();
        let fields = Fields::read(format!("tenant {name}"), raw, manifest, unread);
        let value = format!("{keys} shared with another organisation");
        let reading = ("keys of its own", "these keys belong to none");
        fields.note_as(API_KEYS, value, reading);
    }
    organisations
}

fn decode_organisation(name: &Arc<str>, fields: &Fields<'_>) -> (Organisation, Vec<KeyHash>) {
    let priority = fields.get("priority").map(|_| {
        let instead = "its requests come after those of others";
        let priority = fields.number("priority", instead);
        priority.unwrap_or(UNREAD_PRIORITY)
    });
    let organisation = Organisation {
        name: Arc::clone(name),
        priority,
        allowance: decode_allowance(fields),
    };
    (organisation, decode_keys(fields))
}

fn decode_keys(fields: &Fields<'_>) -> Vec<KeyHash> {
    const NO_CALLERS: &str = "it has no callers";
    let values = match fields.get(API_KEYS) {
        Some(Value::Array(values)) if !values.is_empty() => values,
        Some(Value::Array(_)) => {
            fields.note_as(API_KEYS, "empty".to_owned(), (KEYS, NO_CALLERS));
            return Vec::new();
        }
        Some(_) => {
            fields.note_as(API_KEYS, "no list".to_owned(), (KEYS, NO_CALLERS));
            return Vec::new();
        }
        None => {
            fields.note_as(API_KEYS, "missing".to_owned(), (KEYS, NO_CALLERS));
            return Vec::new();
        }
    };
    let mut keys = Vec::with_capacity(values.len());
    for value in values {
        let key = value.as_str().filter(|key| is_header_text(key));
        keys.extend(key.map(|key| KeyHash::of(key.as_bytes())));
    }
    let unusable = values.len() - keys.len();
    if unusable > 0 {
        let reading: Reading = (KEYS, "its other keys hold");
        fields.note_as(API_KEYS, format!("{unusable} unusable"), reading);
    }
    keys
}

/// `None` without a limit.
fn decode_allowance(fields: &Fields<'_>) -> Option<Allowance> {
    let per_s = decode_amount(fields, "rate-per-s", "it has no limit");
    let burst = decode_amount(fields, "burst", "it has no burst");
    (per_s > 0.0).then_some(Allowance { per_s, burst })
}

/// 0 if the field is missing or cannot be read.
fn decode_amount(fields: &Fields<'_>, field: &'static str, instead: &'static str) -> f64 {
    let Some(value) = fields.get(field) else {
        return 0.0;
    };
    let amount = value.as_f64().filter(|amount| *amount >= 0.0);
    amount.unwrap_or_else(|| {
        fields.note(field, ("a number of 0 or more", instead));
        0.0
    })
}

/// Whether a text arrives unchanged as a header's value.
fn is_header_text(text: &str) -> bool {
    !text.is_empty() && text.trim() == text && !text.chars().any(char::is_control)
}

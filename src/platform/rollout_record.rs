//! Records of roll-outs: the operator's orders and the statuses.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::decision::rollout::{Order, State, Status, Step};
use crate::gateway::settings::parse_duration_ms;
use crate::gateway::store::{RecordError, Records, StoredRollouts};

/// Prefix of the keys of orders and of statuses.
const KEY_PREFIX: &str = "rollout/";

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct OrderRecord {
    service: Option<Arc<str>>,
    target_version: Value,
    over: Value,
}

/// `state` and `target-version` are what the platform reads; by the others, another instance
/// resumes the roll-out.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct StatusRecord {
    state: State,
    target_version: Arc<str>,
    #[serde(default)]
    order: u64,
    step: Option<Step>,
    #[serde(default)]
    share: f64,
    #[serde(default)]
    began_ms: u64,
    #[serde(default)]
    step_ms: u64,
    #[serde(default)]
    until_ms: u64,
    #[serde(default)]
    reason: Arc<str>,
    #[serde(default)]
    barred: Vec<Arc<str>>,
}

/// Returns the service that a key orders a roll-out of, if any.
pub fn service(key: &str) -> Option<Arc<str>> {
    key.strip_prefix(KEY_PREFIX).map(Arc::from)
}

/// The key of a service's status.
pub fn key(service: &str) -> String {
    format!("{KEY_PREFIX}{service}")
}

/// Reads a version, which may be a text or a number.
pub fn version(value: &Value) -> Option<Arc<str>> {
    match value {
        Value::String(text) if !text.is_empty() => Some(text.as_str().into()),
        Value::Number(number) => Some(number.to_string().into()),
        _ => None,
    }
}

/// Decodes the order to roll out a version of `service`.
pub fn decode_order(service: &str, value: &[u8]) -> Result<Order, RecordError> {
    let record: OrderRecord =
        serde_json::from_slice(value).map_err(|error| RecordError(error.to_string()))?;
    if let Some(named) = record.service.filter(|named| **named != *service) {
        let problem = format!("it names the service {named}, and its key another one");
        return Err(RecordError(problem));
    }
    let target_version = version(&record.target_version)
        .ok_or_else(|| RecordError("its target-version is no text".to_owned()))?;
    // The status of an order without a usable time names the version, so that it is no error.
    let over_ms = record
        .over
        .as_str()
        .and_then(parse_duration_ms)
        .unwrap_or(0);
    Ok(Order {
        target_version,
        over_ms,
    })
}

/// Encodes a status.
pub fn encode_status(status: &Status) -> String {
    let record = StatusRecord {
        state: status.state,
        target_version: Arc::clone(&status.target_version),
        order: status.order,
        step: Some(status.step),
        share: status.share,
        began_ms: status.began_ms,
        step_ms: status.step_ms,
        until_ms: status.until_ms,
        reason: Arc::clone(&status.reason),
        barred: status.barred.clone(),
    };
    // Such a record can always be encoded.
    serde_json::to_string(&record).unwrap_or_default()
}

/// Decodes the statuses among records; one that cannot be read is left out, with a line.
pub fn decode_statuses(records: Records) -> StoredRollouts {
    let mut statuses = BTreeMap::new();
    for record in records.records {
        let (Some(service), Some(value)) = (service(&record.key), record.value) else {
            continue;
        };
        match serde_json::from_slice::<StatusRecord>(&value) {
            Ok(record) => {
                statuses.insert(service, status(record));
            }
            Err(error) => tracing::warn!(%service, %error, "status of a roll-out is invalid"),
        }
    }
    StoredRollouts {
        statuses,
        end: records.next_offset,
    }
}

fn status(record: StatusRecord) -> Status {
    Status {
        state: record.state,
        target_version: record.target_version,
        order: record.order,
        step: record.step.unwrap_or(Step::First),
        share: record.share,
        began_ms: record.began_ms,
        step_ms: record.step_ms,
        until_ms: record.until_ms,
        reason: record.reason,
        barred: record.barred,
    }
}

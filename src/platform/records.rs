//! Decodes the platform's records into the gateway's types.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;

use super::{manifest_record, rollout_record};
use crate::decision::directory::{UpstreamReport, UpstreamState};
use crate::gateway::settings::parse_duration_ms;
use crate::gateway::store::{OperatorRecord, RecordError};

/// Key of the newest manifest.
const MANIFEST_KEY: &str = "config";
/// Prefix of the keys that take a zone out of service.
const EVACUATE_KEY_PREFIX: &str = "evacuate/";

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ServerRecord {
    service: Arc<str>,
    addr: String,
    zone: Arc<str>,
    slots: u32,
    state: Arc<str>,
    /// Remaining warm-up time of the server.
    warmup_left: Option<String>,
    seq: u64,
    /// Start of the server's process, in Unix milliseconds.
    #[serde(default)]
    born: u64,
    /// Version of the server's program; another writer may give a number.
    version: Option<serde_json::Value>,
}

/// Returns the zone that a key takes out of service, if any.
pub fn evacuated_zone(key: &str) -> Option<Arc<str>> {
    key.strip_prefix(EVACUATE_KEY_PREFIX).map(Arc::from)
}

/// Decodes a record of the operator; `None` if its key is not known.
pub fn decode_operator_record(
    key: &str,
    value: &[u8],
) -> Result<Option<OperatorRecord>, RecordError> {
    if let Some(zone) = evacuated_zone(key) {
        return Ok(Some(OperatorRecord::Evacuate(zone)));
    }
    if let Some(service) = rollout_record::service(key) {
        let order = rollout_record::decode_order(&service, value);
        return Ok(Some(OperatorRecord::Rollout(service, order)));
    }
    if key != MANIFEST_KEY {
        return Ok(None);
    }
    let manifest = manifest_record::decode(value)?;
    Ok(Some(OperatorRecord::Manifest(Box::new(manifest))))
}

/// The version that a record of the operator gives itself, if it is a manifest.
pub fn manifest_version(key: &str, value: &[u8]) -> Option<u64> {
    if key != MANIFEST_KEY {
        return None;
    }
    manifest_record::decode_version(value).ok()
}

/// Decodes the entry of a server.
pub fn decode_upstream_report(key: &str, value: &[u8]) -> Result<UpstreamReport, RecordError> {
    let record: ServerRecord = decode(value)?;
    let state = match &*record.state {
        "ready" => UpstreamState::Ready,
        "draining" => UpstreamState::Draining,
        other => {
            return Err(RecordError(format!(
                "its state is {other}, neither ready nor draining"
            )));
        }
    };
    let address: SocketAddr = record.addr.parse().map_err(|_| {
        RecordError(format!(
            "its addr is {}, not an IP address and port",
            record.addr
        ))
    })?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err(RecordError(format!(
            "its addr is {address}, where no process can be reached"
        )));
    }
    let cold_left_ms = match record.warmup_left {
        Some(text) => parse_time_ms(&text)?,
        None => 0,
    };
    Ok(UpstreamReport {
        id: key.into(),
        started_at_ms: record.born,
        sequence: record.seq,
        service: record.service,
        address,
        data_centre: record.zone,
        slots: record.slots,
        state,
        cold_left_ms,
        version: record.version.as_ref().and_then(rollout_record::version),
    })
}

fn decode<'v, T: Deserialize<'v>>(value: &'v [u8]) -> Result<T, RecordError> {
    serde_json::from_slice(value).map_err(|error| RecordError(error.to_string()))
}

fn parse_time_ms(text: &str) -> Result<u64, RecordError> {
    parse_duration_ms(text).ok_or_else(|| {
        RecordError(format!(
            "{text} is not a time; write a number with its unit, such as 1500ms or 2.5s"
        ))
    })
}

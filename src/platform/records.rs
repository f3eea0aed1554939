//! Decodes the platform's records into the gateway's types.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;

use crate::decision::directory::{UpstreamReport, UpstreamState};
use crate::decision::manifest::{CallerLimits, Manifest, Route, ServiceSpec, Target};
use crate::gateway::settings::parse_duration_ms;
use crate::gateway::store::{OperatorRecord, RecordError};

/// Key of the newest manifest.
const MANIFEST_KEY: &str = "config";
/// Prefix of the keys that take a zone out of service.
const EVACUATE_KEY_PREFIX: &str = "evacuate/";
/// Attempts of a route without an `attempts` field.
const DEFAULT_ATTEMPTS: u32 = 1;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ManifestRecord {
    version: u64,
    routes: HashMap<Arc<str>, RouteRecord>,
    services: HashMap<Arc<str>, ServiceRecord>,
    limits: LimitsRecord,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RouteRecord {
    host: String,
    path_prefix: Arc<str>,
    /// `safe` and `download` requests may run more than once, `unsafe` ones may not; the
    /// responses to `download` requests are large.
    kind: Arc<str>,
    timeout: String,
    /// Latency objective: a response within this time is of full use to the caller.
    target_latency: String,
    #[serde(default)]
    priority: u8,
    service: Option<Arc<str>>,
    #[serde(default)]
    split: Vec<SplitRecord>,
    attempts: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct SplitRecord {
    service: Arc<str>,
    weight: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ServiceRecord {
    health_path: Arc<str>,
    /// Connections that a server accepts from all callers together.
    max_conns: Option<u32>,
    /// Requests per second that a cold server can serve.
    #[serde(default)]
    warmup_per_s: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct LimitsRecord {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout: String,
    idle_timeout: String,
}

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
    if key != MANIFEST_KEY {
        return Ok(None);
    }
    let record: ManifestRecord = decode(value)?;
    let mut services = HashMap::with_capacity(record.services.len());
    for (name, service) in record.services {
        let spec = ServiceSpec {
            max_connections: service.max_conns,
            health_path: service.health_path,
            cold_per_s: service.warmup_per_s,
        };
        services.insert(name, spec);
    }
    let mut routes = Vec::with_capacity(record.routes.len());
    for (name, route) in record.routes {
        routes.push(decode_route(name, route)?);
    }
    let limits = CallerLimits {
        max_head_bytes: record.limits.max_header_bytes,
        max_body_bytes: record.limits.max_body_bytes,
        head_timeout_ms: parse_time_ms(&record.limits.header_timeout)?,
        idle_timeout_ms: parse_time_ms(&record.limits.idle_timeout)?,
    };
    let manifest = Manifest::new(record.version, routes, services, limits);
    Ok(Some(OperatorRecord::Manifest(Box::new(manifest))))
}

fn decode_route(name: Arc<str>, record: RouteRecord) -> Result<Route, RecordError> {
    let mut targets = Vec::new();
    if let Some(service) = record.service {
        targets.push(Target {
            service,
            weight: 1.0,
        });
    }
    for part in record.split {
        let is_valid = part.weight.is_finite() && part.weight >= 0.0;
        if !is_valid {
            return Err(RecordError(format!(
                "route {name} has the weight {}, but weights must be 0 or more",
                part.weight
            )));
        }
        targets.push(Target {
            service: part.service,
            weight: part.weight,
        });
    }
    if targets.is_empty() {
        return Err(RecordError(format!(
            "route {name} has no service; set service or split"
        )));
    }
    let is_idempotent = match &*record.kind {
        "safe" | "download" => true,
        "unsafe" => false,
        other => {
            return Err(RecordError(format!(
                "route {name} has the kind {other}; use safe, download or unsafe"
            )));
        }
    };
    Ok(Route {
        name,
        host: record.host.to_ascii_lowercase().into(),
        prefix: record.path_prefix,
        targets,
        is_idempotent,
        timeout_ms: parse_time_ms(&record.timeout)?,
        objective_ms: parse_time_ms(&record.target_latency)?,
        priority: record.priority,
        attempts: record.attempts.unwrap_or(DEFAULT_ATTEMPTS),
    })
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

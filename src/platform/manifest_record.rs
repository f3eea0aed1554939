//! Decodes the platform's manifests.
//!
//! A manifest may say something that this build cannot read, as one of a newer platform may.
//! Then the rest of it holds: what cannot be read gets a cautious reading, closes its own
//! route or service, and is listed in [`Manifest::unread`].

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Map, Value};

use super::tenant_records::decode_organisations;
use crate::decision::manifest::{
    CallerLimits, DEFAULT_CALLER_LIMITS, Manifest, Route, ServiceSpec, Target, UnreadField,
};
use crate::gateway::settings::parse_duration_ms;
use crate::gateway::store::RecordError;

/// Attempts of a route without an `attempts` field.
const DEFAULT_ATTEMPTS: u32 = 1;
/// Time limit of a route whose own cannot be read, in milliseconds; callers wait for less.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;
/// Priority of a route or organisation whose own cannot be read: below those that are in use.
pub const UNREAD_PRIORITY: u8 = 4;
/// Longest part of a value that is shown in the log.
const MAX_SHOWN_CHARS: usize = 60;

/// The parts that must be readable for any of it to be used.
#[derive(Deserialize)]
struct ManifestRecord<'v> {
    version: u64,
    #[serde(borrow)]
    routes: HashMap<Arc<str>, &'v RawValue>,
    #[serde(borrow)]
    services: HashMap<Arc<str>, &'v RawValue>,
    #[serde(borrow)]
    limits: Option<&'v RawValue>,
    #[serde(borrow)]
    tenants: Option<&'v RawValue>,
}

/// Decodes a manifest.
///
/// # Errors
/// Returns an error if it has no version, or no tables of routes and services.
pub fn decode(value: &[u8]) -> Result<Manifest, RecordError> {
    let record = parse(value)?;
    let unread = RefCell::default();
    let mut services = HashMap::with_capacity(record.services.len());
    for (name, raw) in record.services {
        let fields = Fields::read(format!("service {name}"), Some(raw), value, &unread);
        if let Some(spec) = decode_service(&fields) {
            services.insert(name, spec);
        }
    }
    let mut routes = Vec::with_capacity(record.routes.len());
    for (name, raw) in record.routes {
        let fields = Fields::read(format!("route {name}"), Some(raw), value, &unread);
        routes.extend(decode_route(&name, &fields));
    }
    let fields = Fields::read("limits".to_owned(), record.limits, value, &unread);
    let limits = decode_limits(&fields);
    let tenants = record.tenants.filter(|table| table.get() != "null");
    let organisations = tenants.map(|table| decode_organisations(table, value, &unread));
    let mut unread = unread.into_inner();
    unread.sort_by(|a, b| (&a.object, &a.field).cmp(&(&b.object, &b.field)));
    let manifest = Manifest::new(record.version, routes, services, limits);
    let manifest = manifest.with_organisations(organisations);
    Ok(manifest.with_unread(unread))
}

/// The version of a manifest.
///
/// # Errors
/// As of [`decode`].
pub fn decode_version(value: &[u8]) -> Result<u64, RecordError> {
    parse(value).map(|record| record.version)
}

fn parse(value: &[u8]) -> Result<ManifestRecord<'_>, RecordError> {
    serde_json::from_slice(value).map_err(|error| RecordError(error.to_string()))
}

/// `None` if the service is closed.
fn decode_service(fields: &Fields<'_>) -> Option<ServiceSpec> {
    const COLD: Reading = (
        "a number of 0 or more",
        "cold upstreams get the fewest requests",
    );
    let health_path = fields.needed_text("health-path", ("a path", "the service gets no requests"));
    let cold_per_s = fields.get("warmup-per-s").map_or(0.0, |value| {
        let rate = value.as_f64().filter(|rate| *rate >= 0.0);
        rate.unwrap_or_else(|| {
            fields.note("warmup-per-s", COLD);
            0.0
        })
    });
    Some(ServiceSpec {
        max_connections: fields.number("max-conns", "connections are not counted"),
        health_path: health_path?.into(),
        cold_per_s,
    })
}

/// `None` if not even the requests of the route are known; a route whose service cannot be
/// read is closed: it has no targets.
fn decode_route(name: &Arc<str>, fields: &Fields<'_>) -> Option<Route> {
    const KIND: Reading = ("safe, unsafe or download", "its requests run at most once");
    let host = fields.needed_text("host", ("a host name", "the route is left out"));
    let prefix = fields.needed_text("path-prefix", ("a path", "the route is left out"));
    let (host, prefix) = (host?, prefix?);
    // Responses to `download` requests are large, and may be repeated like `safe` ones.
    let is_idempotent = match fields.text("kind") {
        Some("safe" | "download") => true,
        Some("unsafe") => false,
        Some(_) | None => {
            fields.note("kind", KIND);
            false
        }
    };
    let caller_deadline = "the deadline of the caller holds, 10s at most";
    let timeout_ms = fields.time_ms("timeout", DEFAULT_TIMEOUT_MS, caller_deadline);
    let own_timeout = "its time limit counts as its objective";
    let priority = fields.get("priority").map_or(0, |_| {
        let instead = "its requests come after those of other routes";
        let priority = fields.number("priority", instead);
        priority.unwrap_or(UNREAD_PRIORITY)
    });
    let attempts = fields.number("attempts", "its requests get one attempt");
    Some(Route {
        name: Arc::clone(name),
        host: host.to_ascii_lowercase().into(),
        prefix: prefix.into(),
        targets: decode_targets(fields),
        is_idempotent,
        timeout_ms,
        objective_ms: fields.time_ms("target-latency", timeout_ms, own_timeout),
        priority,
        attempts: attempts.unwrap_or(DEFAULT_ATTEMPTS),
        is_public: fields.flag("public", "its requests need a key"),
    })
}

/// The services of a route; empty if one of them cannot be read.
fn decode_targets(fields: &Fields<'_>) -> Vec<Target> {
    const CLOSED: &str = "the route is closed: its requests get 503";
    let mut targets = Vec::new();
    if let Some(value) = fields.get("service") {
        let Some(service) = value.as_str() else {
            fields.note("service", ("the name of a service", CLOSED));
            return Vec::new();
        };
        targets.push(Target {
            service: service.into(),
            weight: 1.0,
        });
    }
    let parts = match fields.get("split") {
        None => Some(Vec::new()),
        Some(Value::Array(parts)) => parts.iter().map(decode_part).collect(),
        Some(_) => None,
    };
    let Some(parts) = parts else {
        let expected = "services with weights of 0 or more";
        fields.note("split", (expected, CLOSED));
        return Vec::new();
    };
    targets.extend(parts);
    if targets.is_empty() {
        fields.note("service", ("the name of a service", CLOSED));
    }
    targets
}

fn decode_part(part: &Value) -> Option<Target> {
    let weight = part.get("weight")?.as_f64()?;
    let service = part.get("service")?.as_str()?;
    (weight >= 0.0).then(|| Target {
        service: service.into(),
        weight,
    })
}

fn decode_limits(fields: &Fields<'_>) -> CallerLimits {
    const INSTEAD: &str = "the limit of this build holds";
    let default = DEFAULT_CALLER_LIMITS;
    CallerLimits {
        max_head_bytes: fields.bytes("max-header-bytes", default.max_head_bytes, INSTEAD),
        max_body_bytes: fields.bytes("max-body-bytes", default.max_body_bytes, INSTEAD),
        head_timeout_ms: fields.time_ms("header-timeout", default.head_timeout_ms, INSTEAD),
        idle_timeout_ms: fields.time_ms("idle-timeout", default.idle_timeout_ms, INSTEAD),
    }
}

/// What this build can read in a field that it could not read, and what holds instead.
pub type Reading = (&'static str, &'static str);

const TIME: &str = "a number with its unit, such as 1500ms or 2.5s";
const WHOLE_NUMBER: &str = "a whole number of 0 or more";

/// The fields of a route, a service or the limits, and where to note those that cannot be
/// read.
pub struct Fields<'u> {
    object: String,
    map: Map<String, Value>,
    /// Text of the object, and that of the manifest in which it stands.
    text: &'u str,
    manifest: &'u [u8],
    unread: &'u RefCell<Vec<UnreadField>>,
}

impl<'u> Fields<'u> {
    pub fn read(
        object: String,
        raw: Option<&'u RawValue>,
        manifest: &'u [u8],
        unread: &'u RefCell<Vec<UnreadField>>,
    ) -> Self {
        let text = raw.map_or("{}", RawValue::get);
        Self {
            object,
            // The fields of what is no object count as missing.
            map: serde_json::from_str(text).unwrap_or_default(),
            text,
            manifest,
            unread,
        }
    }

    /// The value of a field, unless it is missing or null.
    pub fn get(&self, field: &str) -> Option<&Value> {
        self.map.get(field).filter(|value| !value.is_null())
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.get(field)?.as_str()
    }

    /// The text of a field; noted if there is none.
    fn needed_text(&self, field: &'static str, reading: Reading) -> Option<&str> {
        let text = self.text(field);
        if text.is_none() {
            self.note(field, reading);
        }
        text
    }

    fn time_ms(&self, field: &'static str, default_ms: u64, instead: &'static str) -> u64 {
        let time_ms = self.text(field).and_then(parse_duration_ms);
        time_ms.unwrap_or_else(|| {
            self.note(field, (TIME, instead));
            default_ms
        })
    }

    /// A number in a field that may be missing; noted if it is none of this type.
    pub fn number<T: TryFrom<u64>>(&self, field: &'static str, instead: &'static str) -> Option<T> {
        let value = self.get(field)?;
        let number = value.as_u64().and_then(|value| T::try_from(value).ok());
        if number.is_none() {
            self.note(field, (WHOLE_NUMBER, instead));
        }
        number
    }

    /// False if the field is missing; noted if it is neither true nor false.
    fn flag(&self, field: &'static str, instead: &'static str) -> bool {
        let Some(value) = self.get(field) else {
            return false;
        };
        if !value.is_boolean() {
            self.note(field, ("true or false", instead));
        }
        value.as_bool().unwrap_or(false)
    }

    fn bytes(&self, field: &'static str, default: usize, instead: &'static str) -> usize {
        if self.get(field).is_none() {
            self.note(field, (WHOLE_NUMBER, instead));
        }
        self.number(field, instead).unwrap_or(default)
    }

    pub fn note(&self, field: &'static str, reading: Reading) {
        let value = self.map.get(field).map_or_else(
            || "missing".to_owned(),
            |value| value.to_string().chars().take(MAX_SHOWN_CHARS).collect(),
        );
        self.note_as(field, value, reading);
    }

    /// Notes a field with a text in place of its value.
    pub fn note_as(&self, field: &'static str, value: String, (expected, instead): Reading) {
        self.unread.borrow_mut().push(UnreadField {
            object: self.object.clone(),
            field,
            value,
            expected,
            instead,
            line: self.line_of(field),
        });
    }

    /// Line of a field, or that of the object if the field is missing.
    fn line_of(&self, field: &str) -> usize {
        let in_object = self.text.find(&format!("\"{field}\"")).unwrap_or(0);
        let object = (self.text.as_ptr() as usize).checked_sub(self.manifest.as_ptr() as usize);
        let position = object.map_or(0, |object| object + in_object);
        let before = self.manifest.get(..position).unwrap_or_default();
        before.split(|byte| *byte == b'\n').count()
    }
}

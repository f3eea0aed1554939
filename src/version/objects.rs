//! The objects that operators publish, and the validation of a complete set.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use strum::{Display, EnumString};

use super::reader::{Fields, Located, Problem, Reader};
use crate::request::context::to_hex;

/// Upper bound of `run_limit_ms` of a service.
const MAX_RUN_LIMIT_MS: u64 = 600_000;
/// Upper bound of `slots` and `cold_slots` of a service.
const MAX_SLOTS: u64 = 64;
/// Upper bound of `body_limit_bytes` of a service.
const MAX_BODY_LIMIT_BYTES: u64 = 8 * 1024 * 1024;

/// Priority of a tier when slots are scarce.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum TierKind {
    /// Served before every trial call.
    Paying,
    /// Served with the capacity that paying calls leave free.
    Trial,
}

impl TierKind {
    /// Position in the order of service; 0 is served first.
    #[must_use]
    pub fn rank(self) -> usize {
        match self {
            Self::Paying => 0,
            Self::Trial => 1,
        }
    }

    /// Whether paying calls go before calls of this tier.
    #[must_use]
    pub fn is_trial(self) -> bool {
        self == Self::Trial
    }
}

/// State of a data centre, set by the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum DataCentreState {
    /// It accepts work.
    In,
    /// It gets no new work.
    Out,
}

impl DataCentreState {
    /// Whether new work may go to the data centre.
    #[must_use]
    pub fn accepts_work(self) -> bool {
        self == Self::In
    }
}

/// A data centre and its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// Unique name.
    pub name: Arc<str>,
    /// Region in which it is.
    pub region: Arc<str>,
    /// Whether it accepts work.
    pub state: DataCentreState,
}

/// A group of organisations with the same priority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tier {
    /// Unique name.
    pub name: Arc<str>,
    /// Priority when slots are scarce.
    pub kind: TierKind,
}

/// A customer, identified by its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Unique name.
    pub name: Arc<str>,
    /// Kind of the tier that it belongs to.
    pub tier: TierKind,
    /// SHA-256 of each API key, in lower-case hexadecimal.
    pub key_hashes: Vec<Arc<str>>,
}

/// One service and the limits of its upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Unique name, which is also the first segment of a call's path.
    pub name: Arc<str>,
    /// Calls that one warm upstream runs concurrently.
    pub slots: usize,
    /// Calls that one cold upstream runs concurrently at first.
    pub cold_slots: usize,
    /// Time limit of one call at an upstream.
    pub run_limit_ms: u64,
    /// Methods, in upper case, whose calls may be sent again after they may have
    /// run.
    pub idempotent_methods: Vec<Arc<str>>,
    /// Largest accepted body of a call or a response.
    pub body_limit_bytes: usize,
    /// Share of an upstream's slot time that probes may take, in thousandths.
    pub measuring_permille: u64,
    /// Slot time that one probe takes at an upstream.
    pub probe_cost_ms: u64,
    /// Path of the upstreams' health endpoint.
    pub health_path: Arc<str>,
    /// Names of the data centres in which its upstreams run.
    pub data_centres: Vec<Arc<str>>,
}

impl Service {
    /// Whether calls with `method` may be sent again after they may have run.
    #[must_use]
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent_methods.iter().any(|name| &**name == method)
    }
}

/// A valid set of objects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Objects {
    /// Data centres by name.
    pub data_centres: BTreeMap<Arc<str>, DataCentre>,
    /// Tiers by name.
    pub tiers: BTreeMap<Arc<str>, Tier>,
    /// Organisations by name.
    pub organisations: BTreeMap<Arc<str>, Arc<Organisation>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Arc<Service>>,
    owner_by_key_hash: BTreeMap<Arc<str>, Arc<str>>,
}

impl Objects {
    /// Parses and validates a complete set; `source` names it in problems.
    ///
    /// # Errors
    /// Returns all problems of the set, in order of lines.
    pub fn parse(text: &str, source: &str) -> Result<Self, Vec<Problem>> {
        let mut reader = Reader::new(text, source);
        let mut objects = Self::default();
        if let Some(mut root) = reader.root() {
            objects.read_data_centres(&mut reader, &mut root);
            objects.read_tiers(&mut reader, &mut root);
            objects.read_organisations(&mut reader, &mut root);
            objects.read_services(&mut reader, &mut root);
            root.finish(&mut reader);
        }
        let problems = reader.into_problems();
        if problems.is_empty() {
            Ok(objects)
        } else {
            Err(problems)
        }
    }

    /// The organisation that owns an API key.
    #[must_use]
    pub fn organisation_of(&self, api_key: &str) -> Option<&Arc<Organisation>> {
        let name = self.owner_by_key_hash.get(hash_api_key(api_key).as_str())?;
        self.organisations.get(name)
    }

    /// Whether the data centre is known and accepts new work.
    #[must_use]
    pub fn accepts_work(&self, data_centre: &str) -> bool {
        self.data_centres
            .get(data_centre)
            .is_some_and(|found| found.state.accepts_work())
    }

    fn read_data_centres(&mut self, reader: &mut Reader<'_>, root: &mut Fields<'_>) {
        let label = "a data centre";
        for mut fields in root.objects(reader, "data_centres", label) {
            let name = fields.text(reader, "name");
            let region = fields.text(reader, "region");
            let state =
                read_variant::<DataCentreState>(reader, &mut fields, "state", "\"in\" or \"out\"");
            fields.finish(reader);
            let (Some(name), Some(region)) = (name, region) else {
                continue;
            };
            let data_centre = DataCentre {
                name: Arc::clone(&name.value),
                region: region.value,
                state: state.unwrap_or(DataCentreState::In),
            };
            insert_unique(reader, &mut self.data_centres, &name, data_centre, label);
        }
        if self.data_centres.is_empty() {
            reader.report(
                root.offset(),
                "the set has no data centre; add one to \"data_centres\"".into(),
            );
        }
    }

    fn read_tiers(&mut self, reader: &mut Reader<'_>, root: &mut Fields<'_>) {
        let label = "a tier";
        for mut fields in root.objects(reader, "tiers", label) {
            let name = fields.text(reader, "name");
            let expected = "\"paying\" or \"trial\"";
            let kind = read_variant::<TierKind>(reader, &mut fields, "kind", expected);
            fields.finish(reader);
            let (Some(name), Some(kind)) = (name, kind) else {
                continue;
            };
            let tier = Tier {
                name: Arc::clone(&name.value),
                kind,
            };
            insert_unique(reader, &mut self.tiers, &name, tier, label);
        }
    }

    fn read_organisations(&mut self, reader: &mut Reader<'_>, root: &mut Fields<'_>) {
        let label = "an organisation";
        for mut fields in root.objects(reader, "organisations", label) {
            let name = fields.text(reader, "name");
            let tier = fields.text(reader, "tier");
            let hashes = fields.texts(reader, "key_hashes");
            fields.finish(reader);
            let (Some(name), Some(tier)) = (name, tier) else {
                continue;
            };
            let Some(kind) = self.tiers.get(&tier.value).map(|tier| tier.kind) else {
                report_unknown_name(reader, &tier, "tier");
                continue;
            };
            let mut key_hashes = Vec::new();
            for hash in hashes {
                key_hashes.extend(self.read_key_hash(reader, &name.value, hash));
            }
            let organisation = Arc::new(Organisation {
                name: Arc::clone(&name.value),
                tier: kind,
                key_hashes,
            });
            insert_unique(reader, &mut self.organisations, &name, organisation, label);
        }
    }

    fn read_key_hash(
        &mut self,
        reader: &mut Reader<'_>,
        organisation: &Arc<str>,
        hash: Located<Arc<str>>,
    ) -> Option<Arc<str>> {
        let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if hash.value.len() != 64 || !hash.value.bytes().all(is_hex) {
            let message = "a key hash must be the SHA-256 of an API key as 64 lower-case \
                           hexadecimal digits; create one with \"chicorywing hash-key\"";
            reader.report(hash.offset, message.into());
            return None;
        }
        let owner = self
            .owner_by_key_hash
            .insert(hash.value.clone(), organisation.clone());
        if let Some(owner) = owner {
            let message = format!("this key hash already belongs to \"{owner}\"; remove one");
            reader.report(hash.offset, message);
        }
        Some(hash.value)
    }

    fn read_services(&mut self, reader: &mut Reader<'_>, root: &mut Fields<'_>) {
        let label = "a service";
        for mut fields in root.objects(reader, "services", label) {
            let name = fields.text(reader, "name");
            let service = self.read_service(reader, &mut fields, name.as_ref());
            fields.finish(reader);
            if let (Some(name), Some(service)) = (name, service) {
                insert_unique(reader, &mut self.services, &name, Arc::new(service), label);
            }
        }
    }

    fn read_service(
        &self,
        reader: &mut Reader<'_>,
        fields: &mut Fields<'_>,
        name: Option<&Located<Arc<str>>>,
    ) -> Option<Service> {
        let slots = fields.number(reader, "slots", 1, MAX_SLOTS);
        let cold_slots = fields.number_or(reader, "cold_slots", 1, MAX_SLOTS, 1);
        let run_limit = fields.number(reader, "run_limit_ms", 1, MAX_RUN_LIMIT_MS);
        let body_limit = fields.number_or(
            reader,
            "body_limit_bytes",
            0,
            MAX_BODY_LIMIT_BYTES,
            64 * 1024,
        );
        let permille = fields.number_or(reader, "measuring_permille", 0, 1000, 10);
        let probe_cost = fields.number_or(reader, "probe_cost_ms", 1, 1000, 6);
        let health_path = fields.optional_text(reader, "health_path");
        let methods = fields.texts(reader, "idempotent_methods");
        let data_centres = fields.texts(reader, "data_centres");
        let (name, slots, run_limit) = (name?, slots?, run_limit?);
        if cold_slots.value > slots.value {
            let message = format!(
                "\"cold_slots\" is {} but \"slots\" is {}; lower it to \"slots\" or less",
                cold_slots.value, slots.value
            );
            reader.report(cold_slots.offset, message);
        }
        if data_centres.is_empty() {
            let message = format!(
                "service \"{}\" has no data centre; add one to its \"data_centres\"",
                name.value
            );
            reader.report(name.offset, message);
        }
        for data_centre in &data_centres {
            if !self.data_centres.contains_key(&data_centre.value) {
                report_unknown_name(reader, data_centre, "data centre");
            }
        }
        Some(Service {
            name: Arc::clone(&name.value),
            slots: to_usize(slots.value),
            cold_slots: to_usize(cold_slots.value),
            run_limit_ms: run_limit.value,
            idempotent_methods: read_methods(reader, methods),
            body_limit_bytes: to_usize(body_limit.value),
            measuring_permille: permille.value,
            probe_cost_ms: probe_cost.value,
            health_path: health_path.map_or_else(|| "/health".into(), |path| path.value),
            data_centres: data_centres.into_iter().map(|found| found.value).collect(),
        })
    }
}

/// SHA-256 of an API key in lower-case hexadecimal.
#[must_use]
pub fn hash_api_key(api_key: &str) -> String {
    to_hex(&Sha256::digest(api_key.as_bytes()))
}

/// Methods that RFC 9110 (section 9.2.2) defines as safe. `PUT` and `DELETE` are
/// idempotent too, but count only if the service lists them.
const DEFAULT_IDEMPOTENT_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

fn read_methods(reader: &mut Reader<'_>, methods: Vec<Located<Arc<str>>>) -> Vec<Arc<str>> {
    if methods.is_empty() {
        return DEFAULT_IDEMPOTENT_METHODS
            .into_iter()
            .map(Arc::from)
            .collect();
    }
    let mut names = Vec::new();
    for method in methods {
        if !method.value.bytes().all(|byte| byte.is_ascii_uppercase()) {
            let message = format!("the method \"{}\" must be in upper case", method.value);
            reader.report(method.offset, message);
            continue;
        }
        names.push(method.value);
    }
    names
}

fn read_variant<T: FromStr>(
    reader: &mut Reader<'_>,
    fields: &mut Fields<'_>,
    field: &str,
    expected: &str,
) -> Option<T> {
    let text = fields.text(reader, field)?;
    let parsed = text.value.parse().ok();
    if parsed.is_none() {
        let message = format!("\"{field}\" is \"{}\"; write {expected}", text.value);
        reader.report(text.offset, message);
    }
    parsed
}

fn insert_unique<T>(
    reader: &mut Reader<'_>,
    map: &mut BTreeMap<Arc<str>, T>,
    name: &Located<Arc<str>>,
    value: T,
    label: &str,
) {
    if map.insert(Arc::clone(&name.value), value).is_some() {
        let message = format!(
            "{label} named \"{}\" is defined twice; rename one",
            name.value
        );
        reader.report(name.offset, message);
    }
}

fn report_unknown_name(reader: &mut Reader<'_>, name: &Located<Arc<str>>, kind: &str) {
    let message = format!(
        "no {kind} is named \"{}\"; add it or correct the name",
        name.value
    );
    reader.report(name.offset, message);
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

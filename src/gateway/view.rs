//! The state that results from applying the records of the store's streams.
//!
//! The same records give the same state on every instance, whether they come
//! from the store or from another instance.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::store::{KeyedRecord, OperatorRecord, Platform, RecordError, Records, Stream};
use super::suspect_records::{StoredSuspect, content_of_key};
use crate::decision::directory::{Change, Directory};
use crate::decision::manifest::Manifest;

/// Most tombstones of deleted keys that a stream keeps, so that other instances
/// learn of the deletions.
const MAX_TOMBSTONES: usize = 512;
/// Prefix of the keys under which instances register their addresses.
const INSTANCE_KEY_PREFIX: &str = "instance/";

/// A change to the view, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The manifest of this version is now in use.
    Version(u64),
    /// A data centre was evacuated (`true`) or restored (`false`).
    DataCentre(Arc<str>, bool),
    /// The entry of an upstream changed.
    Upstream(Arc<str>, Change),
    /// An instance registered, moved or left.
    Instance(Arc<str>),
    /// The record of a content with a stopped request was written or removed.
    StoppedRequest(u64),
    /// A record was skipped because it is invalid.
    InvalidRecord(Stream, Arc<str>, RecordError),
}

/// Where an instance of the gateway runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Address to which other instances connect.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: Arc<str>,
}

impl Instance {
    /// The value of its record: `ADDRESS DATA_CENTRE`.
    #[must_use]
    pub fn to_record(&self) -> String {
        format!("{} {}", self.address, self.data_centre)
    }

    fn from_record(value: &[u8]) -> Option<Self> {
        let (address, data_centre) = std::str::from_utf8(value).ok()?.split_once(' ')?;
        Some(Self {
            address: address.parse().ok()?,
            data_centre: data_centre.into(),
        })
    }
}

/// The records of one stream; a record without a value is a tombstone.
#[derive(Clone, Debug, Default)]
struct StreamCopy {
    records: BTreeMap<Arc<str>, (u64, Option<Vec<u8>>)>,
    next_offset: u64,
}

/// All streams as far as this instance has received them.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The manifest with the highest version so far.
    pub manifest: Option<Arc<Manifest>>,
    /// Upstreams by name and service.
    pub directory: Directory,
    /// Data centres that get no requests.
    pub evacuated: BTreeSet<Arc<str>>,
    /// Instances by name.
    pub instances: BTreeMap<Arc<str>, Instance>,
    /// Records of stopped requests, by content.
    pub stored_suspects: BTreeMap<u64, StoredSuspect>,
    operator_records: StreamCopy,
    upstream_records: StreamCopy,
    instance_records: StreamCopy,
}

impl View {
    /// Offset at which the next read of a stream starts.
    #[must_use]
    pub fn next_offset(&self, stream: Stream) -> u64 {
        self.copy(stream).next_offset
    }

    /// The newest record of each key from an offset on, tombstones included, for
    /// another instance.
    #[must_use]
    pub fn records_from(&self, stream: Stream, from: u64) -> Records {
        let copy = self.copy(stream);
        let mut records = Vec::new();
        for (key, (offset, value)) in &copy.records {
            if *offset < from {
                continue;
            }
            records.push(KeyedRecord {
                offset: *offset,
                key: Arc::clone(key),
                value: value.clone(),
            });
        }
        records.sort_by_key(|record| record.offset);
        Records {
            records,
            next_offset: copy.next_offset,
        }
    }

    /// Applies records that follow the known ones; older ones are skipped.
    ///
    /// `may_lapse` says that a deleted upstream may only have lapsed because the
    /// store was unreachable.
    pub fn apply(
        &mut self,
        platform: &impl Platform,
        stream: Stream,
        records: Records,
        may_lapse: bool,
        now_ms: u64,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        let from = self.next_offset(stream);
        for record in records.records {
            if record.offset < from {
                continue;
            }
            self.apply_record(platform, stream, record, may_lapse, now_ms, &mut events);
        }
        let copy = self.copy_mut(stream);
        copy.next_offset = copy.next_offset.max(records.next_offset);
        copy.prune_tombstones();
        events
    }

    /// Applies the newest record of every key; a known key that is missing counts
    /// as deleted.
    pub fn apply_snapshot(
        &mut self,
        platform: &impl Platform,
        stream: Stream,
        newest: Records,
        may_lapse: bool,
        now_ms: u64,
    ) -> Vec<Event> {
        let present: BTreeSet<Arc<str>> = newest
            .records
            .iter()
            .map(|record| Arc::clone(&record.key))
            .collect();
        let mut deleted_keys = Vec::new();
        for (key, (offset, value)) in &self.copy(stream).records {
            let may_be_newer = *offset >= newest.next_offset;
            if value.is_some() && !present.contains(key) && !may_be_newer {
                deleted_keys.push(Arc::clone(key));
            }
        }
        let mut events = Vec::new();
        for key in deleted_keys {
            let record = KeyedRecord {
                offset: newest.next_offset.saturating_sub(1),
                key,
                value: None,
            };
            self.apply_record(platform, stream, record, may_lapse, now_ms, &mut events);
        }
        events.extend(self.apply(platform, stream, newest, may_lapse, now_ms));
        events
    }

    fn apply_record(
        &mut self,
        platform: &impl Platform,
        stream: Stream,
        record: KeyedRecord,
        may_lapse: bool,
        now_ms: u64,
        events: &mut Vec<Event>,
    ) {
        let value = record.value.as_deref();
        let applied = match stream {
            Stream::Operator => self.apply_operator_record(platform, &record.key, value),
            Stream::Upstreams => {
                self.apply_upstream_report(platform, &record.key, value, may_lapse, now_ms)
            }
            Stream::Instances => self.apply_instance_record(&record.key, value),
        };
        match applied {
            Ok(Some(event)) => events.push(event),
            Ok(None) => {}
            Err(error) => events.push(Event::InvalidRecord(stream, Arc::clone(&record.key), error)),
        }
        let copy = self.copy_mut(stream);
        copy.records
            .insert(record.key, (record.offset, record.value));
    }

    fn apply_operator_record(
        &mut self,
        platform: &impl Platform,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<Option<Event>, RecordError> {
        let Some(value) = value else {
            let evacuated = platform.evacuated_data_centre(key);
            let known = evacuated.filter(|name| self.evacuated.remove(name));
            return Ok(known.map(|name| Event::DataCentre(name, false)));
        };
        match platform.parse_operator_record(key, value)? {
            Some(OperatorRecord::Evacuate(name)) => {
                let is_new = self.evacuated.insert(Arc::clone(&name));
                Ok(is_new.then_some(Event::DataCentre(name, true)))
            }
            Some(OperatorRecord::Manifest(manifest)) => {
                let known = self.manifest.as_ref().map_or(0, |known| known.version);
                if self.manifest.is_some() && manifest.version <= known {
                    return Ok(None);
                }
                let version = manifest.version;
                self.manifest = Some(Arc::new(*manifest));
                Ok(Some(Event::Version(version)))
            }
            None => Ok(None),
        }
    }

    fn apply_upstream_report(
        &mut self,
        platform: &impl Platform,
        key: &Arc<str>,
        value: Option<&[u8]>,
        may_lapse: bool,
        now_ms: u64,
    ) -> Result<Option<Event>, RecordError> {
        let change = match value {
            None => self.directory.remove(key, may_lapse, now_ms),
            Some(value) => self
                .directory
                .put(platform.parse_upstream_report(key, value)?, now_ms),
        };
        let has_changed = change != Change::None;
        Ok(has_changed.then(|| Event::Upstream(Arc::clone(key), change)))
    }

    fn apply_instance_record(
        &mut self,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<Option<Event>, RecordError> {
        if let Some(content) = content_of_key(key) {
            let record = value.map(StoredSuspect::parse).transpose()?;
            self.note_stored_suspect(content, record);
            return Ok(Some(Event::StoppedRequest(content)));
        }
        let Some(name) = key.strip_prefix(INSTANCE_KEY_PREFIX) else {
            return Ok(None);
        };
        let name: Arc<str> = name.into();
        let Some(value) = value else {
            let known = self.instances.remove(&name);
            return Ok(known.map(|_| Event::Instance(name)));
        };
        let instance = Instance::from_record(value).ok_or_else(|| {
            RecordError("the value is not an address and a data centre".to_owned())
        })?;
        let known = self.instances.insert(Arc::clone(&name), instance.clone());
        let has_changed = known != Some(instance);
        Ok(has_changed.then_some(Event::Instance(name)))
    }

    /// Sets the record of a stopped request; `None` removes it.
    pub fn note_stored_suspect(&mut self, content: u64, record: Option<StoredSuspect>) {
        match record {
            Some(record) => self.stored_suspects.insert(content, record),
            None => self.stored_suspects.remove(&content),
        };
    }

    fn copy(&self, stream: Stream) -> &StreamCopy {
        match stream {
            Stream::Operator => &self.operator_records,
            Stream::Upstreams => &self.upstream_records,
            Stream::Instances => &self.instance_records,
        }
    }

    fn copy_mut(&mut self, stream: Stream) -> &mut StreamCopy {
        match stream {
            Stream::Operator => &mut self.operator_records,
            Stream::Upstreams => &mut self.upstream_records,
            Stream::Instances => &mut self.instance_records,
        }
    }
}

impl StreamCopy {
    fn prune_tombstones(&mut self) {
        let mut tombstones: Vec<(u64, Arc<str>)> = Vec::new();
        for (key, (offset, value)) in &self.records {
            if value.is_none() {
                tombstones.push((*offset, Arc::clone(key)));
            }
        }
        if tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        tombstones.sort_unstable();
        for (_, key) in tombstones.drain(..MAX_TOMBSTONES / 2) {
            self.records.remove(&key);
        }
    }
}

/// Key under which an instance registers its address.
#[must_use]
pub fn instance_key(name: &str) -> String {
    format!("{INSTANCE_KEY_PREFIX}{name}")
}

//! The state that results from applying the records of the store's streams.
//!
//! The same records give the same state on every instance, whether they come
//! from the store or from another instance.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::store::{
    KeyedRecord, MAX_PAGE_BYTES, OperatorRecord, Platform, RecordError, Records, Stream,
};
use super::stream_copy::StreamCopy;
use super::suspect_records::{StoredSuspect, content_of_key};
use crate::decision::directory::{Change, Directory};
use crate::decision::manifest::Manifest;
use crate::decision::rendezvous::weight;
use crate::decision::rollout::Order;

/// Prefix of the keys under which instances register their addresses.
const INSTANCE_KEY_PREFIX: &str = "instance/";

/// Time for which an upstream is kept whose entry the store has lost: several of its
/// heartbeats.
const LOST_GRACE_MS: u64 = 6_000;

/// What a batch of records holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// Records that follow the known ones.
    Following,
    /// The newest record of every key in the store.
    Newest,
    /// The whole state of another instance.
    PeerState,
}

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
    /// An order to roll out a version of a service was given, changed or withdrawn.
    Rollout(Arc<str>),
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

/// An order to roll out a version of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Hash of the record, by which a repeated order is told from a new one.
    pub hash: u64,
    /// The order, or why it cannot be followed.
    pub order: Result<Order, RecordError>,
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
    /// Orders to roll out a version, by service.
    pub rollouts: BTreeMap<Arc<str>, RolloutOrder>,
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

    /// The copy of a stream's records.
    #[must_use]
    pub fn copy(&self, stream: Stream) -> &StreamCopy {
        match stream {
            Stream::Operator => &self.operator_records,
            Stream::Upstreams => &self.upstream_records,
            Stream::Instances => &self.instance_records,
        }
    }

    /// Records that another instance has told the whole state of a stream in this era.
    pub fn set_told_era(&mut self, stream: Stream, era: u64) {
        self.copy_mut(stream).told_era = era;
    }

    /// Applies records that follow the known ones; older ones, and those of an era that
    /// has ended, are skipped.
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
        let copy = self.copy(stream);
        let from = copy.next_offset;
        if copy.era > records.era {
            return events;
        }
        for record in records.records {
            if record.offset < from {
                continue;
            }
            let record = KeyedRecord {
                era: records.era,
                ..record
            };
            self.copy_mut(stream).remember(&record, now_ms);
            self.apply_record(platform, stream, record, may_lapse, now_ms, &mut events);
        }
        let copy = self.copy_mut(stream);
        copy.era = records.era;
        copy.next_offset = copy.next_offset.max(records.next_offset);
        copy.prune(now_ms);
        events
    }

    /// Applies the newest record of every key; a known key that is missing counts
    /// as deleted.
    ///
    /// In a new era of the store, it counts as lost, as does one whose record is older
    /// than the known one: they stay in force until they are written again. Records of the
    /// log may stand among the newest ones there.
    pub fn apply_snapshot(
        &mut self,
        platform: &impl Platform,
        stream: Stream,
        newest: Records,
        may_lapse: bool,
        now_ms: u64,
    ) -> Vec<Event> {
        let mut newest = newest;
        let mut events = Vec::new();
        let is_first = self.copy(stream).era == 0;
        if !is_first && newest.era > self.copy(stream).era {
            let end = newest.next_offset;
            let fork = self.copy_mut(stream).begin_era(&mut newest);
            for record in newest.records {
                self.apply_record(platform, stream, record, may_lapse, now_ms, &mut events);
            }
            self.lapse_lost(stream, &BTreeSet::new(), now_ms, &mut events);
            let copy = self.copy_mut(stream);
            // Deletions in the new era follow from there.
            copy.next_offset = fork;
            copy.snapshot_end = end;
            return events;
        }
        let present: BTreeSet<Arc<str>> = newest
            .records
            .iter()
            .map(|record| Arc::clone(&record.key))
            .collect();
        let mut missing = Vec::new();
        for (key, known) in self.copy(stream).iter() {
            let may_be_newer = known.offset >= newest.next_offset;
            if known.value.is_some() && !present.contains(key) && !may_be_newer {
                missing.push(Arc::clone(key));
            }
        }
        for key in missing {
            if self.copy(stream).is_lost(&key) {
                continue;
            }
            let record = KeyedRecord {
                era: newest.era,
                offset: newest.next_offset.saturating_sub(1),
                key,
                value: None,
            };
            self.apply_record(platform, stream, record, may_lapse, now_ms, &mut events);
        }
        if is_first {
            let copy = self.copy_mut(stream);
            copy.era = newest.era;
            copy.next_offset = newest.next_offset;
            copy.snapshot_end = newest.next_offset;
            for record in newest.records {
                self.copy_mut(stream).remember(&record, now_ms);
                self.apply_record(platform, stream, record, may_lapse, now_ms, &mut events);
            }
            return events;
        }
        self.copy_mut(stream).snapshot_end = newest.next_offset;
        events.extend(self.apply(platform, stream, newest, may_lapse, now_ms));
        events
    }

    /// Applies the whole state of a stream as another instance knows it.
    ///
    /// Records that are newer here stay. Keys that the other one lacks stay unless it has
    /// read further in this era: they have been deleted.
    pub fn apply_peer_state(
        &mut self,
        platform: &impl Platform,
        stream: Stream,
        state: Records,
        may_lapse: bool,
        now_ms: u64,
    ) -> Vec<Event> {
        let mut state = state;
        let mut events = Vec::new();
        let mut lapsed: BTreeSet<Arc<str>> = self.copy(stream).lost_keys().into_iter().collect();
        if state.era > self.copy(stream).era {
            let copy = self.copy_mut(stream);
            copy.begin_era(&mut state);
            copy.next_offset = state.next_offset;
            copy.snapshot_end = 0;
        }
        let copy = self.copy(stream);
        let is_ahead = state.era == copy.era && state.next_offset >= copy.next_offset;
        let is_complete = is_ahead && !state.may_be_page(MAX_PAGE_BYTES);
        if is_complete {
            for key in copy.missing_keys(&state.records, state.next_offset) {
                let deletion = KeyedRecord {
                    era: state.era,
                    offset: state.next_offset - 1,
                    key,
                    value: None,
                };
                self.put_record(platform, stream, deletion, may_lapse, now_ms, &mut events);
            }
        }
        for mut record in state.records {
            let copy = self.copy(stream);
            if !copy.may_be_news(&record, state.era) {
                continue;
            }
            if record.era == 0 && state.era < copy.era {
                // It stands in an era that has ended, and maybe not in the present one.
                record.era = state.era;
            }
            let order = |value: &[u8]| platform.value_order(stream, &record.key, value);
            if copy.is_newer(&record, state.era, order) {
                lapsed.remove(&record.key);
                self.put_record(platform, stream, record, may_lapse, now_ms, &mut events);
            }
        }
        self.lapse_lost(stream, &lapsed, now_ms, &mut events);
        let copy = self.copy_mut(stream);
        copy.told_era = state.era;
        if state.era == copy.era {
            copy.next_offset = copy.next_offset.max(state.next_offset);
        }
        if is_complete {
            copy.snapshot_end = state.next_offset;
        }
        copy.prune(now_ms);
        events
    }

    /// Keeps upstreams whose entries are lost, other than those that have lapsed so, until
    /// they have had the time to write them again.
    fn lapse_lost(
        &mut self,
        stream: Stream,
        lapsed: &BTreeSet<Arc<str>>,
        now_ms: u64,
        events: &mut Vec<Event>,
    ) {
        if stream != Stream::Upstreams {
            return;
        }
        for key in self.upstream_records.lost_keys() {
            if lapsed.contains(&key) {
                continue;
            }
            let change = self.directory.lapse(&key, LOST_GRACE_MS, now_ms);
            if change != Change::None {
                events.push(Event::Upstream(key, change));
            }
        }
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
        let order = |value: &[u8]| platform.value_order(stream, &record.key, value);
        let copy = self.copy(stream);
        if copy.is_newer(&record, copy.era, order) {
            self.put_record(platform, stream, record, may_lapse, now_ms, events);
        }
    }

    fn put_record(
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
        let key = Arc::clone(&record.key);
        let order = |value: &[u8]| platform.value_order(stream, &key, value);
        self.copy_mut(stream).insert(record, order);
    }

    fn apply_operator_record(
        &mut self,
        platform: &impl Platform,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<Option<Event>, RecordError> {
        let Some(value) = value else {
            if let Some(service) = platform.rollout_service(key) {
                let known = self.rollouts.remove(&service);
                return Ok(known.map(|_| Event::Rollout(service)));
            }
            let evacuated = platform.evacuated_data_centre(key);
            let known = evacuated.filter(|name| self.evacuated.remove(name));
            return Ok(known.map(|name| Event::DataCentre(name, false)));
        };
        match platform.parse_operator_record(key, value)? {
            Some(OperatorRecord::Evacuate(name)) => {
                let is_new = self.evacuated.insert(Arc::clone(&name));
                Ok(is_new.then_some(Event::DataCentre(name, true)))
            }
            Some(OperatorRecord::Rollout(service, order)) => {
                let hash = weight(key, &String::from_utf8_lossy(value));
                let order = RolloutOrder { hash, order };
                let known = self.rollouts.insert(Arc::clone(&service), order.clone());
                Ok((known != Some(order)).then_some(Event::Rollout(service)))
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

    fn copy_mut(&mut self, stream: Stream) -> &mut StreamCopy {
        match stream {
            Stream::Operator => &mut self.operator_records,
            Stream::Upstreams => &mut self.upstream_records,
            Stream::Instances => &mut self.instance_records,
        }
    }
}

/// Key under which an instance registers its address.
#[must_use]
pub fn instance_key(name: &str) -> String {
    format!("{INSTANCE_KEY_PREFIX}{name}")
}

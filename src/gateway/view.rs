//! What the store's streams say, folded record by record.
//!
//! Every instance folds the same records the same way, wherever it got them
//! from: the store or another instance.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::store::{KeyedRecord, Order, Platform, RecordError, Records, Stream};
use crate::decision::directory::{Change, Directory};
use crate::decision::manifest::Manifest;

/// Keys that were taken out and are remembered, so that other instances learn
/// of it.
const TAKEN_OUT_MAX: usize = 512;
/// Prefix of the keys under which instances tell their addresses.
const INSTANCE_KEY: &str = "instance/";

/// Something that changed, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Another version is in force.
    Version(u64),
    /// A data centre was taken out (`true`) or back.
    DataCentre(Arc<str>, bool),
    /// An upstream joined, changed or left.
    Upstream(Arc<str>, Change),
    /// Another instance was heard of, or left.
    Instance(Arc<str>),
    /// A record cannot be used.
    Unusable(Stream, Arc<str>, RecordError),
}

/// Where an instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Where other instances connect.
    pub address: SocketAddr,
    /// Data centre that holds it.
    pub data_centre: Arc<str>,
}

impl Instance {
    /// The record under which others find it.
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

/// One stream as this instance knows it.
#[derive(Clone, Debug, Default)]
struct StreamCopy {
    records: BTreeMap<Arc<str>, (u64, Option<Vec<u8>>)>,
    next: u64,
}

/// The streams as this instance knows them.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The version in force.
    pub manifest: Option<Arc<Manifest>>,
    /// Upstreams.
    pub directory: Directory,
    /// Data centres that are taken out.
    pub out: BTreeSet<Arc<str>>,
    /// Instances by name.
    pub instances: BTreeMap<Arc<str>, Instance>,
    orders: StreamCopy,
    upstreams: StreamCopy,
    instance_records: StreamCopy,
}

impl View {
    /// Offset from which a stream is to be read on.
    #[must_use]
    pub fn next(&self, stream: Stream) -> u64 {
        self.copy(stream).next
    }

    /// Records from an offset on, for another instance.
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
            next: copy.next,
        }
    }

    /// Folds records that follow those known so far; older ones are skipped.
    pub fn apply(
        &mut self,
        platform: &impl Platform,
        stream: Stream,
        records: Records,
        may_lapse: bool,
        now_ms: u64,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        let from = self.next(stream);
        for record in records.records {
            if record.offset < from {
                continue;
            }
            self.fold(platform, stream, record, may_lapse, now_ms, &mut events);
        }
        let copy = self.copy_mut(stream);
        copy.next = copy.next.max(records.next);
        copy.forget_taken_out();
        events
    }

    /// Folds the newest record of every key; keys that are missing are gone.
    pub fn apply_newest(
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
        let mut gone = Vec::new();
        for (key, (offset, value)) in &self.copy(stream).records {
            let may_be_newer = *offset >= newest.next;
            if value.is_some() && !present.contains(key) && !may_be_newer {
                gone.push(Arc::clone(key));
            }
        }
        let mut events = Vec::new();
        for key in gone {
            let record = KeyedRecord {
                offset: newest.next.saturating_sub(1),
                key,
                value: None,
            };
            self.fold(platform, stream, record, may_lapse, now_ms, &mut events);
        }
        events.extend(self.apply(platform, stream, newest, may_lapse, now_ms));
        events
    }

    fn fold(
        &mut self,
        platform: &impl Platform,
        stream: Stream,
        record: KeyedRecord,
        may_lapse: bool,
        now_ms: u64,
        events: &mut Vec<Event>,
    ) {
        let value = record.value.as_deref();
        let folded = match stream {
            Stream::Orders => self.fold_order(platform, &record.key, value),
            Stream::Upstreams => self.fold_report(platform, &record.key, value, may_lapse, now_ms),
            Stream::Instances => self.fold_instance(&record.key, value),
        };
        match folded {
            Ok(Some(event)) => events.push(event),
            Ok(None) => {}
            Err(error) => events.push(Event::Unusable(stream, Arc::clone(&record.key), error)),
        }
        let copy = self.copy_mut(stream);
        copy.records
            .insert(record.key, (record.offset, record.value));
    }

    fn fold_order(
        &mut self,
        platform: &impl Platform,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<Option<Event>, RecordError> {
        let Some(value) = value else {
            let back = platform.taken_out(key);
            let known = back.filter(|name| self.out.remove(name));
            return Ok(known.map(|name| Event::DataCentre(name, false)));
        };
        match platform.order(key, value)? {
            Some(Order::TakeOut(name)) => {
                let is_new = self.out.insert(Arc::clone(&name));
                Ok(is_new.then_some(Event::DataCentre(name, true)))
            }
            Some(Order::Manifest(manifest)) => {
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

    fn fold_report(
        &mut self,
        platform: &impl Platform,
        key: &Arc<str>,
        value: Option<&[u8]>,
        may_lapse: bool,
        now_ms: u64,
    ) -> Result<Option<Event>, RecordError> {
        let change = match value {
            None => self.directory.remove(key, may_lapse, now_ms),
            Some(value) => self.directory.put(platform.report(key, value)?, now_ms),
        };
        let is_news = change != Change::None;
        Ok(is_news.then(|| Event::Upstream(Arc::clone(key), change)))
    }

    fn fold_instance(
        &mut self,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<Option<Event>, RecordError> {
        let Some(name) = key.strip_prefix(INSTANCE_KEY) else {
            return Ok(None);
        };
        let name: Arc<str> = name.into();
        let Some(value) = value else {
            let known = self.instances.remove(&name);
            return Ok(known.map(|_| Event::Instance(name)));
        };
        let instance = Instance::from_record(value)
            .ok_or_else(|| RecordError("it names no address and data centre".to_owned()))?;
        let known = self.instances.insert(Arc::clone(&name), instance.clone());
        let is_news = known != Some(instance);
        Ok(is_news.then_some(Event::Instance(name)))
    }

    fn copy(&self, stream: Stream) -> &StreamCopy {
        match stream {
            Stream::Orders => &self.orders,
            Stream::Upstreams => &self.upstreams,
            Stream::Instances => &self.instance_records,
        }
    }

    fn copy_mut(&mut self, stream: Stream) -> &mut StreamCopy {
        match stream {
            Stream::Orders => &mut self.orders,
            Stream::Upstreams => &mut self.upstreams,
            Stream::Instances => &mut self.instance_records,
        }
    }
}

impl StreamCopy {
    fn forget_taken_out(&mut self) {
        let mut taken_out: Vec<(u64, Arc<str>)> = Vec::new();
        for (key, (offset, value)) in &self.records {
            if value.is_none() {
                taken_out.push((*offset, Arc::clone(key)));
            }
        }
        if taken_out.len() <= TAKEN_OUT_MAX {
            return;
        }
        taken_out.sort_unstable();
        for (_, key) in taken_out.drain(..TAKEN_OUT_MAX / 2) {
            self.records.remove(&key);
        }
    }
}

/// Key under which an instance tells its address.
#[must_use]
pub fn instance_key(name: &str) -> String {
    format!("{INSTANCE_KEY}{name}")
}

//! A model of the store through its eras, and instances that follow it as the gateway does.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chicorywing::gateway::store::{KeyedRecord, Records, Stream};
use chicorywing::gateway::view::View;
use chicorywing::platform::PlatformStore;

const LIMITS: &str = r#"{"max-header-bytes": 16384, "max-body-bytes": 65536,
  "header-timeout": "3000ms", "idle-timeout": "15s"}"#;
/// Start of an upstream's process, in Unix milliseconds.
const BORN_MS: u64 = 1_700_000_000_000;

pub fn version(number: u64) -> String {
    format!(r#"{{"version": {number}, "routes": {{}}, "services": {{}}, "limits": {LIMITS}}}"#)
}

pub fn entry(sequence: u64) -> String {
    format!(
        r#"{{"service": "s", "addr": "10.1.2.3:80", "zone": "a", "version": "v1", "slots": 2,
  "state": "ready", "seq": {sequence}, "born": {BORN_MS}}}"#
    )
}

/// One stream of the store.
pub struct Store {
    pub stream: Stream,
    era: u64,
    log: Vec<(String, Option<String>)>,
    first: usize,
}

impl Store {
    pub fn new(stream: Stream) -> Self {
        Self {
            stream,
            era: 1,
            log: Vec::new(),
            first: 0,
        }
    }

    pub fn write(&mut self, key: &str, value: String) {
        self.log.push((key.to_owned(), Some(value)));
    }

    pub fn delete(&mut self, key: &str) {
        self.log.push((key.to_owned(), None));
    }

    /// Whether a key has an entry.
    pub fn has(&self, key: &str) -> bool {
        let newest = self.log.iter().rfind(|(written, _)| written == key);
        newest.is_some_and(|(_, value)| value.is_some())
    }

    /// Returns from a copy that lacks the newest records; without its history, what the
    /// copy holds can be read as the newest records only.
    pub fn return_from_copy(&mut self, lost: usize, has_history: bool) {
        self.era += 1;
        self.log.truncate(self.log.len().saturating_sub(lost));
        self.first = if has_history {
            self.first.min(self.log.len())
        } else {
            self.log.len()
        };
    }

    pub fn newest(&self) -> Records {
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in self.log.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let mut records = Vec::new();
        for (key, (offset, value)) in newest {
            if value.is_some() {
                records.push(record(0, offset, key, value.as_ref()));
            }
        }
        records.sort_by_key(|record| record.offset);
        Records {
            era: self.era,
            records,
            next_offset: self.log.len().try_into().unwrap(),
        }
    }

    /// The records from an offset on; `None` if they were compacted or never written.
    pub fn read(&self, from: u64) -> Option<Records> {
        let from = usize::try_from(from).unwrap();
        if from < self.first || from > self.log.len() {
            return None;
        }
        let mut records = Vec::new();
        for (offset, (key, value)) in self.log.iter().enumerate().skip(from) {
            records.push(record(self.era, offset, key, value.as_ref()));
        }
        Some(Records {
            era: self.era,
            records,
            next_offset: self.log.len().try_into().unwrap(),
        })
    }
}

fn record(era: u64, offset: usize, key: &str, value: Option<&String>) -> KeyedRecord {
    KeyedRecord {
        era,
        offset: offset.try_into().unwrap(),
        key: key.into(),
        value: value.map(|text| text.clone().into_bytes()),
    }
}

/// What an instance knows of the stream.
pub struct Instance {
    pub view: View,
    platform: PlatformStore,
    is_loaded: bool,
}

impl Instance {
    pub fn new() -> Self {
        Self {
            view: View::default(),
            platform: PlatformStore::new(SocketAddr::from(([127, 0, 0, 1], 1))),
            is_loaded: false,
        }
    }

    /// Reads the stream to its end, as [`chicorywing::gateway::follower`] does.
    pub fn follow(&mut self, store: &Store, now_ms: u64) {
        let stream = store.stream;
        // A read that fails as compacted is followed by one of the newest records, and
        // that by one of those that follow.
        for _ in 0..4 {
            let answer = if self.is_loaded {
                store.read(self.view.next_offset(stream))
            } else {
                Some(store.newest())
            };
            let Some(answer) = answer else {
                self.is_loaded = false;
                continue;
            };
            let era = self.view.copy(stream).era;
            let platform = &self.platform;
            if era == 0 || answer.era <= era {
                if self.is_loaded {
                    self.view.apply(platform, stream, answer, false, now_ms);
                } else {
                    self.view
                        .apply_snapshot(platform, stream, answer, false, now_ms);
                }
                self.is_loaded = true;
                continue;
            }
            if self.is_loaded {
                self.is_loaded = false;
                continue;
            }
            let mut newest = answer;
            let from = self.view.copy(stream).history_start(now_ms);
            if let Some(log) = store.read(from) {
                for record in log.records {
                    newest.records.push(KeyedRecord { era: 0, ..record });
                }
                newest.records.sort_by_key(|record| record.offset);
            }
            self.view
                .apply_snapshot(platform, stream, newest, false, now_ms);
            self.is_loaded = true;
        }
    }

    /// Applies an answer of the store that arrives late.
    pub fn apply_late(&mut self, stream: Stream, answer: Records, now_ms: u64) {
        self.view
            .apply(&self.platform, stream, answer, false, now_ms);
    }

    /// Takes over what another instance tells it, as [`chicorywing::gateway::relay`] does.
    pub fn ask(&mut self, other: &Self, stream: Stream, now_ms: u64) {
        let known = self.view.copy(stream);
        let (told_era, next_offset) = (known.told_era, known.next_offset);
        let has_ended = told_era < known.era;
        let next_offset = if has_ended { u64::MAX } else { next_offset };
        let copy = other.view.copy(stream);
        let Some((records, is_whole_state)) = copy.missing_records(told_era, next_offset) else {
            return;
        };
        if is_whole_state {
            self.view
                .apply_peer_state(&self.platform, stream, records, false, now_ms);
        } else {
            self.view
                .apply(&self.platform, stream, records, false, now_ms);
        }
    }

    pub fn version(&self) -> u64 {
        self.view.manifest.as_ref().map_or(0, |known| known.version)
    }

    /// Number of the newest report of each upstream in use.
    pub fn upstreams(&self) -> BTreeMap<String, u64> {
        let mut known = BTreeMap::new();
        for upstream in self.view.directory.ready_upstreams("s") {
            known.insert(upstream.report.id.to_string(), upstream.report.sequence);
        }
        known
    }
}

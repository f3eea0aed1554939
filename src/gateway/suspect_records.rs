//! Keeps stopped requests in the store, so that they stay stopped when all instances
//! end at once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout};

use super::crash_evidence::unix_ms;
use super::state::Gateway;
use super::store::{Platform, RecordError};
use super::suspects::hex;
use crate::decision::crash_suspects::{End, SuspectReport};
use crate::decision::rendezvous::rank;

/// Prefix of the keys of stopped requests.
const KEY_PREFIX: &str = "crash/";
/// Stopped requests kept in the store; further ones are known to the instances only.
const MAX_STORED: usize = 256;
/// Interval at which the store is compared with what this instance knows.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which another reader of the store writes a record and this one reads it.
const TAKEOVER_TIME: Duration = Duration::from_secs(3);

/// The record of a content with a stopped request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSuspect {
    ends: Vec<End>,
    is_content_refuted: bool,
    last_end_unix_ms: u64,
}

impl StoredSuspect {
    fn new(report: SuspectReport) -> Self {
        Self {
            ends: report.ends,
            is_content_refuted: report.is_content_refuted,
            last_end_unix_ms: unix_ms().saturating_sub(report.age_ms),
        }
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// Returns an error if the value is not a valid record.
    pub fn parse(value: &[u8]) -> Result<Self, RecordError> {
        serde_json::from_slice(value).map_err(|error| RecordError(error.to_string()))
    }

    /// The report that the record of a content amounts to now.
    #[must_use]
    pub fn to_report(&self, content: u64) -> SuspectReport {
        SuspectReport {
            content,
            ends: self.ends.clone(),
            is_content_refuted: self.is_content_refuted,
            age_ms: unix_ms().saturating_sub(self.last_end_unix_ms),
        }
    }

    /// Whether the record stops the requests for as long as the report does.
    fn is_sufficient(&self, report: &SuspectReport) -> bool {
        live_ends(&self.ends) >= live_ends(&report.ends)
            && (self.is_content_refuted || !report.is_content_refuted)
    }
}

fn live_ends(ends: &[End]) -> usize {
    ends.iter().filter(|end| !end.is_refuted).count()
}

/// The content that a key names, if it is the key of a stopped request.
#[must_use]
pub fn content_of_key(key: &str) -> Option<u64> {
    u64::from_str_radix(key.strip_prefix(KEY_PREFIX)?, 16).ok()
}

fn key(content: u64) -> String {
    format!("{KEY_PREFIX}{}", hex(content))
}

/// A change of the store that this instance is to make.
struct PendingChange {
    content: u64,
    /// The new record; `None` removes it.
    record: Option<StoredSuspect>,
}

/// Writes stopped requests to the store, and removes those that are refuted or
/// forgotten, for the life of the process.
///
/// The readers of the store do this, one data centre after the other.
pub async fn keep_stored<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut changes = gateway.watch_changes();
    let mut pending_since: HashMap<u64, Instant> = HashMap::new();
    loop {
        let _ = timeout(CHECK_INTERVAL, changes.changed()).await;
        changes.mark_unchanged();
        let pending = pending_changes(&gateway);
        let is_pending = |content: &u64| pending.iter().any(|change| change.content == *content);
        pending_since.retain(|content, _| is_pending(content));
        if !gateway.is_active_reader() {
            continue;
        }
        for change in pending {
            let now = Instant::now();
            let since = *pending_since.entry(change.content).or_insert(now);
            if now.duration_since(since) >= own_delay(&gateway, &hex(change.content)) {
                write(&gateway, change).await;
            }
        }
    }
}

fn pending_changes<P: Platform>(gateway: &Gateway<P>) -> Vec<PendingChange> {
    let stopped = gateway.suspects.table().stopped_contents();
    let stored = gateway.view().stored_suspects.clone();
    let mut pending = Vec::new();
    for content in &stopped {
        let Some(report) = gateway.suspect_report(*content) else {
            continue;
        };
        let known = stored.get(content);
        let is_stored = known.is_some_and(|known| known.is_sufficient(&report));
        let has_room = known.is_some() || stored.len() + pending.len() < MAX_STORED;
        if !is_stored && has_room {
            pending.push(PendingChange {
                content: *content,
                record: Some(StoredSuspect::new(report)),
            });
        }
    }
    for content in stored.keys() {
        // Instances may differ in whether the ends suffice, but not in refuted ones.
        let report = gateway.suspect_report(*content);
        let is_suspect = report.is_some_and(|report| live_ends(&report.ends) > 0);
        if !is_suspect {
            pending.push(PendingChange {
                content: *content,
                record: None,
            });
        }
    }
    pending
}

/// Time for which this instance leaves a change to the readers of other data centres;
/// `subject` ranks the data centres.
pub fn own_delay<P: Platform>(gateway: &Gateway<P>, subject: &str) -> Duration {
    let home = &gateway.settings().data_centre;
    let mut data_centres = Vec::new();
    for instance in gateway.view().instances.values() {
        if !data_centres.contains(&instance.data_centre) {
            data_centres.push(Arc::clone(&instance.data_centre));
        }
    }
    let names = data_centres.iter().map(|name| &**name);
    let rank = rank(subject, names, home);
    TAKEOVER_TIME * u32::try_from(rank).unwrap_or(u32::MAX)
}

async fn write<P: Platform>(gateway: &Gateway<P>, change: PendingChange) {
    let value = match &change.record {
        Some(record) => match serde_json::to_vec(record) {
            Ok(value) => Some(value),
            Err(error) => {
                tracing::warn!(%error, "cannot encode the record of a stopped request");
                return;
            }
        },
        None => None,
    };
    let content = hex(change.content);
    let key = key(change.content);
    let written = gateway.platform.put_instance(&key, value.as_deref()).await;
    gateway.metrics.on_store_call(written.is_ok());
    match written {
        Ok(()) => {
            let is_stopped = change.record.is_some();
            tracing::info!(content, is_stopped, "record of a stopped request written");
            // The reads return the record a little later.
            gateway
                .view()
                .note_stored_suspect(change.content, change.record);
        }
        Err(error) => {
            tracing::warn!(content, %error, "cannot write the record of a stopped request");
            sleep(CHECK_INTERVAL).await;
        }
    }
}

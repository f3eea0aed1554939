//! The actor that holds the version in force, and the reader of its stream.

use std::sync::Arc;
use std::time::Duration;

use kameo::prelude::*;
use rand::RngExt;
use tokio::time::{Instant, sleep};

use super::metrics::{Counter, Gauge};
use super::node::Node;
use crate::connection::log::{LogClient, Page};
use crate::connection::wire::Snapshot;
use crate::version::fold::{AcceptedVersion, Fold, RecordStatus};
use crate::version::objects::Objects;
use crate::version::record::{OBJECTS_STREAM, RECORD_FORMAT, Record};

/// Time that a read waits for new records.
const READ_WAIT: Duration = Duration::from_secs(3);
/// Pause after the log gave no answer.
const MAX_RETRY_DELAY_MS: u64 = 500;
/// Age from which the version in force is written again.
const SNAPSHOT_INTERVAL: Duration = Duration::from_hours(1);

/// Holds the version in force.
#[derive(Debug)]
pub struct VersionActor {
    node: Arc<Node>,
    fold: Fold,
    written_at: Instant,
}

impl Actor for VersionActor {
    type Args = Arc<Node>;
    type Error = std::convert::Infallible;

    async fn on_start(node: Arc<Node>, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(Self {
            node,
            fold: Fold::default(),
            written_at: Instant::now(),
        })
    }
}

impl VersionActor {
    fn activate_accepted(&mut self) {
        let accepted = self.fold.accepted();
        if accepted.version == self.node.accepted.load().version {
            return;
        }
        tracing::info!(
            target: "configuration",
            version = accepted.version,
            author = %accepted.author,
            id = %accepted.id,
            "in force"
        );
        self.node.metrics.set(Gauge::Version, accepted.version);
        self.node.accepted.store(Arc::clone(accepted));
        self.node.update_pools();
    }

    fn apply(&mut self, offset: u64, text: &str) {
        let record: Record = match serde_json::from_str(text) {
            Ok(record) => record,
            Err(error) => {
                self.node.metrics.count(Counter::RecordsRejected);
                tracing::warn!(target: "configuration", offset, %error, "unreadable record");
                self.fold.skip(offset);
                return;
            }
        };
        let status = self.fold.apply(offset, &record);
        if matches!(status, RecordStatus::Accepted | RecordStatus::StaleSnapshot) {
            self.written_at = Instant::now();
            return;
        }
        self.node.metrics.count(Counter::RecordsRejected);
        tracing::info!(target: "configuration", offset, id = %record.id, %status, "turned down");
    }
}

/// A page of the stream.
#[derive(Debug)]
pub struct ApplyPage(pub Page);

impl Message<ApplyPage> for VersionActor {
    /// Offset to read from next.
    type Reply = u64;

    async fn handle(&mut self, ApplyPage(page): ApplyPage, _: &mut Context<Self, u64>) -> u64 {
        if page.next_offset < self.fold.next_offset() {
            // A replica that is behind: what it lacks stays in force.
            tracing::warn!(
                target: "configuration",
                head = page.next_offset,
                known = self.fold.next_offset(),
                "the log answered from behind"
            );
            return self.fold.next_offset();
        }
        for record in &page.records {
            if record.offset >= self.fold.next_offset() {
                self.apply(record.offset, record.data.get());
            }
        }
        self.activate_accepted();
        self.fold.next_offset()
    }
}

/// The version that a peer has in force.
#[derive(Debug)]
pub struct Adopt(pub Snapshot);

impl Message<Adopt> for VersionActor {
    type Reply = ();

    async fn handle(&mut self, Adopt(snapshot): Adopt, _: &mut Context<Self, ()>) {
        let objects = match Objects::parse(&snapshot.text, "a peer") {
            Ok(objects) => objects,
            Err(problems) => {
                tracing::warn!(target: "configuration", ?problems, "a peer's set is not taken");
                return;
            }
        };
        let accepted = AcceptedVersion {
            version: snapshot.version,
            id: snapshot.id,
            author: snapshot.author,
            text: snapshot.text,
            objects: Arc::new(objects),
        };
        self.fold.adopt(&Arc::new(accepted));
        self.activate_accepted();
    }
}

/// Asks whether the version in force is due to be written again.
#[derive(Debug)]
pub struct GetDueSnapshot;

impl Message<GetDueSnapshot> for VersionActor {
    type Reply = Option<Record>;

    async fn handle(
        &mut self,
        _: GetDueSnapshot,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let accepted = self.fold.accepted();
        if accepted.version == 0 || self.written_at.elapsed() < SNAPSHOT_INTERVAL {
            return None;
        }
        Some(snapshot_record(accepted))
    }
}

/// The record that writes a version again.
#[must_use]
pub fn snapshot_record(accepted: &AcceptedVersion) -> Record {
    let nonce: u64 = rand::random();
    Record {
        format: RECORD_FORMAT,
        id: format!("snapshot-{}-{nonce:x}", accepted.version).into(),
        based_on: accepted.version,
        snapshot_of: Some(accepted.version),
        author: Arc::clone(&accepted.author),
        text: Arc::clone(&accepted.text),
    }
}

/// Follows the stream until the process ends.
pub async fn follow(node: Arc<Node>, versions: ActorRef<VersionActor>) {
    let log = LogClient::new(&node.config.log_url, OBJECTS_STREAM);
    let mut from = 0;
    let mut wait = READ_WAIT;
    loop {
        let asked_ms = node.clock.now_ms();
        let answer = tokio::select! {
            answer = log.read(from, wait) => answer,
            () = node.resumed.notified() => {
                // What was asked before the standstill may be answered late.
                wait = Duration::ZERO;
                continue;
            }
        };
        match answer {
            Ok(page) => {
                node.fence.on_contact(asked_ms);
                let Ok(next) = versions.ask(ApplyPage(page)).await else {
                    return;
                };
                node.fence.on_version(asked_ms);
                wait = READ_WAIT;
                from = next;
                write_snapshot(&node, &versions, &log).await;
            }
            Err(error) => {
                tracing::debug!(target: "configuration", %error, "no answer");
                let delay_ms = rand::rng().random_range(MAX_RETRY_DELAY_MS / 2..MAX_RETRY_DELAY_MS);
                sleep(Duration::from_millis(delay_ms)).await;
            }
        }
    }
}

/// Writes the version in force again before the log drops its record.
///
/// The instance that rendezvous hashing names does so; where views differ
/// two may, and the second record changes nothing.
async fn write_snapshot(node: &Node, versions: &ActorRef<VersionActor>, log: &LogClient) {
    let is_writer = node
        .view()
        .holder("snapshot", "")
        .is_some_and(|holder| **holder == *node.me);
    if !is_writer {
        return;
    }
    if let Ok(Some(record)) = versions.ask(GetDueSnapshot).await
        && let Err(error) = log.append(&record).await
    {
        tracing::warn!(target: "configuration", %error, "the snapshot was not written");
    }
}

//! The actor that keeps the configuration version in force, and the task that
//! reads its stream from the platform's log.

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

/// Time for which a read waits for new records.
const READ_WAIT: Duration = Duration::from_secs(3);
/// Longest delay before a failed read is retried; the shortest is half of it.
const MAX_RETRY_DELAY_MS: u64 = 500;
/// Time since the last accepted record or snapshot after which the version in
/// force is written as a snapshot.
const SNAPSHOT_INTERVAL: Duration = Duration::from_hours(1);

/// Actor that keeps the configuration version in force.
#[derive(Debug)]
pub struct VersionActor {
    node: Arc<Node>,
    fold: Fold,
    /// When the last record was accepted or the last snapshot was read.
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
    /// Puts the newest accepted version in force and updates the pools.
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
            "version is in force"
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
                tracing::warn!(
                    target: "configuration",
                    offset,
                    %error,
                    "skipped a record that cannot be parsed"
                );
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
        tracing::info!(
            target: "configuration",
            offset,
            id = %record.id,
            %status,
            "rejected a record"
        );
    }
}

/// Applies a page of the stream.
#[derive(Debug)]
pub struct ApplyPage(pub Page);

impl Message<ApplyPage> for VersionActor {
    /// Offset of the next read.
    type Reply = u64;

    async fn handle(&mut self, ApplyPage(page): ApplyPage, _: &mut Context<Self, u64>) -> u64 {
        if page.next_offset < self.fold.next_offset() {
            // The answer came from a replica that lags behind; the records that
            // it lacks stay applied.
            tracing::warn!(
                target: "configuration",
                head = page.next_offset,
                known = self.fold.next_offset(),
                "the log answered from a lagging replica; keeping the newer version"
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

/// Adopts the version that a peer has in force, if it is newer.
#[derive(Debug)]
pub struct Adopt(pub Snapshot);

impl Message<Adopt> for VersionActor {
    type Reply = ();

    async fn handle(&mut self, Adopt(snapshot): Adopt, _: &mut Context<Self, ()>) {
        let objects = match Objects::parse(&snapshot.text, "a peer") {
            Ok(objects) => objects,
            Err(problems) => {
                tracing::warn!(target: "configuration", ?problems, "ignored a peer's version whose objects are invalid");
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

/// Requests the snapshot to write, if one is due.
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

/// Creates the record that repeats a version as a snapshot.
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

/// Reads the stream until the process ends.
pub async fn follow(node: Arc<Node>, versions: ActorRef<VersionActor>) {
    let log = LogClient::new(&node.config.log_url, OBJECTS_STREAM);
    let mut from = 0;
    let mut wait = READ_WAIT;
    loop {
        let asked_ms = node.clock.now_ms();
        let response = tokio::select! {
            response = log.read(from, wait) => response,
            () = node.resumed.notified() => {
                // The response to a read from before the stall may come late, so
                // this reads again without waiting for new records.
                wait = Duration::ZERO;
                continue;
            }
        };
        match response {
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
                tracing::debug!(target: "configuration", %error, "cannot read the log; retrying");
                let delay_ms = rand::rng().random_range(MAX_RETRY_DELAY_MS / 2..MAX_RETRY_DELAY_MS);
                sleep(Duration::from_millis(delay_ms)).await;
            }
        }
    }
}

/// Writes a snapshot of the version in force before the log drops its record.
///
/// Rendezvous hashing selects the instance that does so. While views differ two
/// instances may, and the second record changes nothing.
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
        tracing::warn!(target: "configuration", %error, "cannot write the snapshot; retrying after the next read");
    }
}

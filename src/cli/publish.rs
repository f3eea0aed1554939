//! Publishes objects to the log and finds out whether they were accepted.

use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;
use tokio::time::{Instant, sleep};

use crate::connection::log::{LogClient, LogError};
use crate::version::fold::{AcceptedVersion, Fold, RecordStatus};
use crate::version::record::{OBJECTS_STREAM, RECORD_FORMAT, Record};

/// Time in which a published record must show in the log.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause before the log is read or appended to again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Why a publish was not accepted, or why its result is unknown.
#[derive(Debug, Error)]
pub enum PublishError {
    /// Another publish came first.
    #[error(
        "version {based_on} is not the newest: {author} published version {version}; \
         review it with \"current\" and publish again"
    )]
    Conflict {
        /// Version that the objects were derived from.
        based_on: u64,
        /// Version in force.
        version: u64,
        /// Author of the version in force.
        author: Arc<str>,
    },
    /// Readers of the log reject the record.
    #[error("readers of the log reject the objects ({0}); run \"check\" of this release on them")]
    Rejected(RecordStatus),
    /// The log cannot be read.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The record was not found in the log in time; it may still be there.
    #[error(
        "cannot tell whether {0} was appended to the log; check with \"current\" before a retry"
    )]
    Unknown(Arc<str>),
}

/// Reader and writer of the log's stream of objects.
#[derive(Debug)]
pub struct ConfigurationStream {
    log: LogClient,
    fold: Fold,
}

impl ConfigurationStream {
    /// Reads the stream of the log at `url` up to its head.
    ///
    /// # Errors
    /// [`LogError`] if the log cannot be read.
    pub async fn open(url: &str) -> Result<Self, LogError> {
        let mut stream = Self {
            log: LogClient::new(url, OBJECTS_STREAM),
            fold: Fold::default(),
        };
        stream.read_to_head(None).await?;
        Ok(stream)
    }

    /// The version in force, as of the last read.
    #[must_use]
    pub fn accepted(&self) -> &Arc<AcceptedVersion> {
        self.fold.accepted()
    }

    /// Reads to the head; returns the status of the record with `id`, if it was
    /// among the new records.
    async fn read_to_head(&mut self, id: Option<&str>) -> Result<Option<RecordStatus>, LogError> {
        let mut found = None;
        loop {
            let from = self.fold.next_offset();
            let page = self.log.read(from, Duration::ZERO).await?;
            let mut has_new_records = false;
            for entry in &page.records {
                if entry.offset < self.fold.next_offset() {
                    continue;
                }
                has_new_records = true;
                let Ok(record) = serde_json::from_str::<Record>(entry.data.get()) else {
                    self.fold.skip(entry.offset);
                    continue;
                };
                let status = self.fold.apply(entry.offset, &record);
                if found.is_none() && id == Some(&*record.id) {
                    found = Some(status);
                }
            }
            if !has_new_records {
                return Ok(found);
            }
        }
    }

    /// Publishes objects that passed the check; returns their version.
    ///
    /// Searches the log for the record's id after each append. While it is not
    /// found, appends it again under the same id, so that it is applied once.
    ///
    /// # Errors
    /// [`PublishError::Conflict`] if another version came first,
    /// [`PublishError::Rejected`] if readers don't accept the record,
    /// [`PublishError::Unknown`] if it doesn't show in the log in time, and
    /// [`PublishError::Log`] if the log failed every append and cannot be read.
    pub async fn publish(
        &mut self,
        text: &str,
        based_on: u64,
        author: &str,
    ) -> Result<u64, PublishError> {
        let nonce: u128 = rand::random();
        let record = Record {
            format: RECORD_FORMAT,
            id: format!("publish-{nonce:032x}").into(),
            based_on,
            snapshot_of: None,
            author: author.into(),
            text: text.into(),
        };
        let deadline = Instant::now() + CONFIRM_TIMEOUT;
        let mut may_be_appended = false;
        while Instant::now() < deadline {
            let appended = self.log.append(&record).await;
            may_be_appended |=
                appended.is_ok() || matches!(appended, Err(LogError::NoResponse { .. }));
            match self.read_to_head(Some(&record.id)).await {
                Ok(Some(status)) => return self.publish_result(status, based_on),
                Ok(None) | Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
        if may_be_appended {
            return Err(PublishError::Unknown(record.id));
        }
        self.read_to_head(None).await?;
        Err(PublishError::Unknown(record.id))
    }

    fn publish_result(&self, status: RecordStatus, based_on: u64) -> Result<u64, PublishError> {
        match status {
            RecordStatus::Accepted => Ok(based_on + 1),
            RecordStatus::Conflict => Err(PublishError::Conflict {
                based_on,
                version: self.accepted().version,
                author: Arc::clone(&self.accepted().author),
            }),
            other => Err(PublishError::Rejected(other)),
        }
    }
}

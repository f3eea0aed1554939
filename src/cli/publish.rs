//! Publishes a set and finds out whether it won.

use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;
use tokio::time::{Instant, sleep};

use crate::connection::log::{LogClient, LogError};
use crate::version::fold::{AcceptedVersion, Fold, RecordStatus};
use crate::version::record::{OBJECTS_STREAM, RECORD_FORMAT, Record};

/// Time in which a publish must be found in the log.
const FIND_LIMIT: Duration = Duration::from_secs(20);
/// Pause between tries.
const PAUSE: Duration = Duration::from_millis(300);

/// Why a publish did not win, or why nobody can say.
#[derive(Debug, Error)]
pub enum PublishError {
    /// Another publish came first.
    #[error(
        "version {based_on} is no longer the newest: {author} published version {version}; \
         look at it with \"current\" and publish again"
    )]
    LostRace {
        /// Version that the set was made from.
        based_on: u64,
        /// Version in force.
        version: u64,
        /// Who published it.
        author: Arc<str>,
    },
    /// The readers of the log do not take the set.
    #[error("the log's readers turned the set down ({0}); check it with this version's \"check\"")]
    TurnedDown(RecordStatus),
    /// The log cannot be read.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The publish was sent, but the log does not say what became of it.
    #[error("the publish {0} may or may not be in the log; look with \"current\" before repeating")]
    Unknown(Arc<str>),
}

/// A reader of the whole stream.
#[derive(Debug)]
pub struct Stream {
    log: LogClient,
    fold: Fold,
}

impl Stream {
    /// Reads the stream of the log at `url` up to its head.
    ///
    /// # Errors
    /// Where the log gives no answer.
    pub async fn open(url: &str) -> Result<Self, LogError> {
        let mut stream = Self {
            log: LogClient::new(url, OBJECTS_STREAM),
            fold: Fold::default(),
        };
        stream.read_on(None).await?;
        Ok(stream)
    }

    /// The set in force.
    #[must_use]
    pub fn accepted(&self) -> &Arc<AcceptedVersion> {
        self.fold.accepted()
    }

    /// Reads to the head; returns the verdict on the record with `id`.
    async fn read_on(&mut self, id: Option<&str>) -> Result<Option<RecordStatus>, LogError> {
        let mut found = None;
        loop {
            let from = self.fold.next_offset();
            let page = self.log.read(from, Duration::ZERO).await?;
            let mut has_news = false;
            for entry in &page.records {
                if entry.offset < self.fold.next_offset() {
                    continue;
                }
                has_news = true;
                let Ok(record) = serde_json::from_str::<Record>(entry.data.get()) else {
                    self.fold.skip(entry.offset);
                    continue;
                };
                let verdict = self.fold.apply(entry.offset, &record);
                if found.is_none() && id == Some(&*record.id) {
                    found = Some(verdict);
                }
            }
            if !has_news {
                return Ok(found);
            }
        }
    }

    /// Publishes a checked set; returns its version.
    ///
    /// Without an answer the record is looked for by its id and, where it is
    /// not found, appended again under the same id, so it counts once.
    ///
    /// # Errors
    /// Where it did not win, or where nobody can say.
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
        let until = Instant::now() + FIND_LIMIT;
        let mut is_sent = false;
        while Instant::now() < until {
            let appended = self.log.append(&record).await;
            is_sent |= appended.is_ok() || matches!(appended, Err(LogError::NoResponse { .. }));
            match self.read_on(Some(&record.id)).await {
                Ok(Some(verdict)) => return self.conclude(verdict, based_on),
                Ok(None) | Err(_) => sleep(PAUSE).await,
            }
        }
        if is_sent {
            return Err(PublishError::Unknown(record.id));
        }
        self.read_on(None).await?;
        Err(PublishError::Unknown(record.id))
    }

    fn conclude(&self, verdict: RecordStatus, based_on: u64) -> Result<u64, PublishError> {
        match verdict {
            RecordStatus::Accepted => Ok(based_on + 1),
            RecordStatus::Conflict => Err(PublishError::LostRace {
                based_on,
                version: self.accepted().version,
                author: Arc::clone(&self.accepted().author),
            }),
            other => Err(PublishError::TurnedDown(other)),
        }
    }
}

//! Client of the platform's append-only log.
//!
//! `docs/PLATFORM.md` gives the protocol.

use std::time::Duration;

use reqwest::{Client, redirect, retry};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;

/// Time in which an append must be answered.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a read may take beyond what it waits for new records.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Why the log gave no answer.
#[derive(Debug, Error)]
pub enum LogError {
    /// It was not reached or did not answer in time.
    #[error("the log at {url} gave no answer: {error}; see whether it is up")]
    NoAnswer {
        /// Address of the log.
        url: String,
        /// What the HTTP library says.
        error: reqwest::Error,
    },
    /// It answered with an error.
    #[error("the log at {url} answered with status {status}; see its own records")]
    Status {
        /// Address of the log.
        url: String,
        /// HTTP status.
        status: u16,
    },
}

/// One record as the log returns it.
#[derive(Debug, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its place in the stream.
    pub offset: u64,
    /// What was appended, any JSON value.
    pub data: Box<RawValue>,
}

/// One page of a stream.
#[derive(Debug, Serialize, Deserialize)]
pub struct Page {
    /// Offset of the oldest record that the log still has.
    pub first_offset: u64,
    /// Offset that the next append will get.
    pub next_offset: u64,
    /// Records from the offset asked for, in order.
    pub records: Vec<LogRecord>,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Place of the record.
    pub offset: u64,
}

/// Client of one stream.
#[derive(Clone, Debug)]
pub struct LogClient {
    client: Client,
    url: String,
}

impl LogClient {
    /// A client of the stream `stream` of the log at `base`.
    #[must_use]
    pub fn new(base: &str, stream: &str) -> Self {
        Self {
            client: platform_client(),
            url: format!("{}/streams/{stream}/records", base.trim_end_matches('/')),
        }
    }

    /// Appends one record. Without an answer it may still have been appended.
    ///
    /// # Errors
    /// Where no good answer came.
    pub async fn append<T: Serialize + Sync>(
        &self,
        record: &T,
    ) -> Result<AppendResponse, LogError> {
        let request = self.client.post(&self.url).json(record);
        let response = request
            .timeout(APPEND_TIMEOUT)
            .send()
            .await
            .map_err(|error| self.no_answer(error))?;
        self.read_body(response).await
    }

    /// Reads from an offset, waiting up to `wait` for a first record.
    ///
    /// # Errors
    /// Where no good answer came.
    pub async fn read(&self, from: u64, wait: Duration) -> Result<Page, LogError> {
        let query = [
            ("from", from.to_string()),
            ("wait_ms", wait.as_millis().to_string()),
        ];
        let mut url = self.url.clone();
        let mut separator = '?';
        for (name, value) in query {
            url.push(separator);
            url.push_str(name);
            url.push('=');
            url.push_str(&value);
            separator = '&';
        }
        let response = self
            .client
            .get(url)
            .timeout(wait + READ_TIMEOUT_MARGIN)
            .send()
            .await
            .map_err(|error| self.no_answer(error))?;
        self.read_body(response).await
    }

    async fn read_body<T: for<'de> Deserialize<'de>>(
        &self,
        response: reqwest::Response,
    ) -> Result<T, LogError> {
        let status = response.status();
        if !status.is_success() {
            return Err(LogError::Status {
                url: self.url.clone(),
                status: status.as_u16(),
            });
        }
        response.json().await.map_err(|error| self.no_answer(error))
    }

    fn no_answer(&self, error: reqwest::Error) -> LogError {
        LogError::NoAnswer {
            url: self.url.clone(),
            error,
        }
    }
}

/// A client for the platform's services. Each request gets a connection of
/// its own, so that a silent connection is met by one request only.
#[must_use]
pub fn platform_client() -> Client {
    Client::builder()
        .retry(retry::never())
        .redirect(redirect::Policy::none())
        .no_proxy()
        .http1_only()
        .pool_max_idle_per_host(0)
        .connect_timeout(Duration::from_millis(500))
        .build()
        .unwrap_or_else(|_| Client::new())
}

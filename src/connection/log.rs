//! Client of the platform's append-only log.
//!
//! `docs/PLATFORM.md` describes the protocol.

use std::time::Duration;

use reqwest::{Client, redirect, retry};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;

const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a read may take in addition to its wait for new records.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Why a request to the log failed.
#[derive(Debug, Error)]
pub enum LogError {
    /// The log was not reached, did not respond in time or sent a malformed
    /// response.
    #[error("the request to the log at {url} failed: {error}; check that the log is up")]
    NoResponse {
        /// URL of the stream's records.
        url: String,
        /// Error of the HTTP client.
        error: reqwest::Error,
    },
    /// The log responded with an error status.
    #[error("the log at {url} responded with status {status}; check the log service's own logs")]
    Status {
        /// URL of the stream's records.
        url: String,
        /// HTTP status.
        status: u16,
    },
}

/// One record as the log returns it.
#[derive(Debug, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: u64,
    /// Appended value, any JSON.
    pub data: Box<RawValue>,
}

/// One page of a stream.
#[derive(Debug, Serialize, Deserialize)]
pub struct Page {
    /// Offset of the oldest record that the log retains.
    pub first_offset: u64,
    /// Offset that the next append gets.
    pub next_offset: u64,
    /// Records from the requested offset on, in ascending order.
    pub records: Vec<LogRecord>,
}

/// Response to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Position of the appended record in the stream.
    pub offset: u64,
}

/// Client of one stream of the log.
#[derive(Clone, Debug)]
pub struct LogClient {
    client: Client,
    url: String,
}

impl LogClient {
    /// Creates a client of `stream` of the log at the base URL `base`.
    #[must_use]
    pub fn new(base: &str, stream: &str) -> Self {
        Self {
            client: platform_client(),
            url: format!("{}/streams/{stream}/records", base.trim_end_matches('/')),
        }
    }

    /// Appends one record. After [`LogError::NoResponse`] the record may have been
    /// appended nevertheless.
    ///
    /// # Errors
    /// Returns a [`LogError`] if the request fails or the log responds with an
    /// error status.
    pub async fn append<T: Serialize + Sync>(
        &self,
        record: &T,
    ) -> Result<AppendResponse, LogError> {
        let request = self.client.post(&self.url).json(record);
        let response = request
            .timeout(APPEND_TIMEOUT)
            .send()
            .await
            .map_err(|error| self.no_response(error))?;
        self.read_body(response).await
    }

    /// Reads records from offset `from` on and waits up to `wait` for the first
    /// one.
    ///
    /// # Errors
    /// Returns a [`LogError`] if the request fails or the log responds with an
    /// error status.
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
            .map_err(|error| self.no_response(error))?;
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
        response
            .json()
            .await
            .map_err(|error| self.no_response(error))
    }

    fn no_response(&self, error: reqwest::Error) -> LogError {
        LogError::NoResponse {
            url: self.url.clone(),
            error,
        }
    }
}

/// Creates an HTTP client for the platform's services.
///
/// Each request opens its own connection, so that an unresponsive connection
/// affects one request only.
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

//! Client of the platform's list of instances.
//!
//! `docs/PLATFORM.md` gives the protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use reqwest::Client;
use reqwest::header::{ETAG, IF_NONE_MATCH};
use serde::{Deserialize, Serialize};
use strum::Display;
use thiserror::Error;

use super::log::platform_client;

/// Time in which the list must answer.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the list gave no answer.
#[derive(Debug, Error)]
pub enum ListError {
    /// It was not reached or did not answer in time.
    #[error("the list gave no answer: {0}; see whether it is up")]
    NoAnswer(#[from] reqwest::Error),
    /// Its answer cannot be read.
    #[error("the list's answer cannot be read: {0}; see its version")]
    Malformed(#[from] serde_json::Error),
}

/// What an instance of the list does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// It runs this product.
    Entry,
    /// It serves calls of one service.
    Upstream,
}

/// Whether an instance takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ListedState {
    /// It runs.
    Live,
    /// It gets nothing new.
    Leaving,
}

impl ListedState {
    /// Whether it gets nothing new.
    #[must_use]
    pub fn is_leaving(self) -> bool {
        self == Self::Leaving
    }
}

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Unique name.
    pub name: Arc<str>,
    /// What it does.
    pub role: Role,
    /// Service of an upstream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Arc<str>>,
    /// Data centre that holds it.
    pub data_centre: Arc<str>,
    /// Where it listens: for calls, or for other instances.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub state: ListedState,
}

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// All instances.
    pub instances: Vec<ListedInstance>,
}

impl InstanceList {
    /// Reads the list's answer.
    ///
    /// # Errors
    /// Where it is not in the list's form.
    pub fn parse(text: &str) -> Result<Self, ListError> {
        Ok(serde_json::from_str(text)?)
    }
}

/// Client of the list.
#[derive(Debug)]
pub struct ListClient {
    client: Client,
    url: String,
    etag: Option<reqwest::header::HeaderValue>,
}

impl ListClient {
    /// A client of the list at `base`.
    #[must_use]
    pub fn new(base: &str) -> Self {
        Self {
            client: platform_client(),
            url: format!("{}/instances", base.trim_end_matches('/')),
            etag: None,
        }
    }

    /// Asks for the list; `None` if it is as last time.
    ///
    /// # Errors
    /// Where no good answer came.
    pub async fn read(&mut self) -> Result<Option<Arc<str>>, ListError> {
        let mut request = self.client.get(&self.url).timeout(READ_TIMEOUT);
        if let Some(etag) = &self.etag {
            request = request.header(IF_NONE_MATCH, etag);
        }
        let response = request.send().await?.error_for_status()?;
        if response.status() == reqwest::StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let etag = response.headers().get(ETAG).cloned();
        let text = response.text().await?;
        // A list that cannot be read must not be confirmed by its tag later.
        InstanceList::parse(&text)?;
        self.etag = etag;
        Ok(Some(text.into()))
    }
}

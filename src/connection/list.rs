//! Client of the platform's list of instances.
//!
//! `docs/PLATFORM.md` describes the protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use reqwest::Client;
use reqwest::header::{ETAG, IF_NONE_MATCH};
use serde::{Deserialize, Serialize};
use strum::Display;
use thiserror::Error;

use super::log::platform_client;

const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a request to the list failed.
#[derive(Debug, Error)]
pub enum ListError {
    /// The list was not reached, did not respond in time or responded with an
    /// error status.
    #[error("the request to the list failed: {0}; check that the list is up")]
    NoResponse(#[from] reqwest::Error),
    /// The response is not in the list's format.
    #[error("the list's response is malformed: {0}; check the list's version")]
    Malformed(#[from] serde_json::Error),
}

/// Role of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// An instance of this load balancer.
    Entry,
    /// A server of one service.
    Upstream,
}

/// State of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ListedState {
    /// It accepts new work.
    Live,
    /// It is shutting down and gets no new work.
    Leaving,
}

impl ListedState {
    /// Whether the instance must get no new work.
    #[must_use]
    pub fn is_leaving(self) -> bool {
        self == Self::Leaving
    }
}

/// One instance as the list describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name, unique in the list.
    pub name: Arc<str>,
    /// Whether it is an instance of this load balancer or an upstream.
    pub role: Role,
    /// Service that an upstream serves; `None` for other roles.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Arc<str>>,
    /// Data centre in which it runs.
    pub data_centre: Arc<str>,
    /// Address on which an upstream accepts calls, or an instance of this load
    /// balancer its peers.
    pub address: SocketAddr,
    /// Whether it accepts new work.
    pub state: ListedState,
}

/// The complete list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// All instances of all roles.
    pub instances: Vec<ListedInstance>,
}

impl InstanceList {
    /// Parses a response of the list.
    ///
    /// # Errors
    /// Returns [`ListError::Malformed`] if `text` is not in the list's format.
    pub fn parse(text: &str) -> Result<Self, ListError> {
        Ok(serde_json::from_str(text)?)
    }
}

/// Client that reads the list only if it has changed, by its `ETag`.
#[derive(Debug)]
pub struct ListClient {
    client: Client,
    url: String,
    etag: Option<reqwest::header::HeaderValue>,
}

impl ListClient {
    /// Creates a client of the list at the base URL `base`.
    #[must_use]
    pub fn new(base: &str) -> Self {
        Self {
            client: platform_client(),
            url: format!("{}/instances", base.trim_end_matches('/')),
            etag: None,
        }
    }

    /// Reads the list; `None` if it has not changed since the last read.
    ///
    /// # Errors
    /// Returns a [`ListError`] if the request fails or the response is malformed.
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
        // Only the tag of a valid list is kept; otherwise a later 304 would
        // confirm a malformed one.
        InstanceList::parse(&text)?;
        self.etag = etag;
        Ok(Some(text.into()))
    }
}

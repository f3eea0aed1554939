//! Connections to other instances that are kept for reuse, and which of them respond.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use tokio::time::timeout;

use super::peer_builds::PeerBuilds;
use super::peer_client::{PeerClient, RelayError};
use crate::decision::peer_contacts::PeerContacts;

/// Part of the time that a call may take which a kept connection gets.
const KEPT_DIVISOR: u32 = 3;

/// Clients of other instances by address.
#[derive(Debug, Default)]
pub struct Peers {
    clients: Mutex<HashMap<SocketAddr, PeerClient>>,
    contacts: Mutex<PeerContacts>,
    /// Builds of other instances, by which connections to them are opened.
    pub builds: PeerBuilds,
}

impl Peers {
    /// Creates clients of no instance yet; `unknown_calls` counts the calls that another
    /// build lacks.
    #[must_use]
    pub fn new(unknown_calls: Counter) -> Self {
        Self {
            builds: PeerBuilds::new(unknown_calls),
            ..Self::default()
        }
    }

    /// Locks what is known of who responds.
    pub fn contacts(&self) -> MutexGuard<'_, PeerContacts> {
        self.contacts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls another instance on a kept connection, and on a new one if that does not
    /// respond in a third of the time, since a connection may have gone silent while its
    /// peer responds. The call must have the same effect if it is made twice.
    ///
    /// # Errors
    /// Returns an error if no call succeeds within `limit`.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: impl Fn(PeerClient) -> F,
    ) -> Result<T, RelayError>
    where
        F: Future<Output = Result<T, RelayError>>,
    {
        let kept = self.clients().get(&address).cloned();
        if let Some(client) = kept {
            let response = timeout(limit / KEPT_DIVISOR, call(client)).await;
            if let Ok(Ok(response)) = response {
                return Ok(response);
            }
            self.clients().remove(&address);
        }
        let limit = limit.saturating_sub(limit / KEPT_DIVISOR);
        let fresh = async {
            let client = PeerClient::connect(&self.builds, address).await?;
            let response = call(client.clone()).await?;
            Ok((client, response))
        };
        let (client, response) = timeout(limit, fresh)
            .await
            .unwrap_or(Err(RelayError::Timeout))?;
        self.clients().insert(address, client);
        Ok(response)
    }

    /// A connection on which another instance has just responded.
    ///
    /// # Errors
    /// Returns an error if it does not respond within `limit`.
    pub async fn checked(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<PeerClient, RelayError> {
        let check = |client: PeerClient| async move {
            client.check().await?;
            Ok(client)
        };
        self.call(address, limit, check).await
    }

    /// Closes kept connections to instances that are not registered any more.
    pub fn retain(&self, is_registered: impl Fn(&SocketAddr) -> bool) {
        self.clients().retain(|address, _| is_registered(address));
        self.builds.retain(&is_registered);
        self.contacts().retain(is_registered);
    }

    fn clients(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

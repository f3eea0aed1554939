//! Records passed on between instances while the store answers only some.
//!
//! An instance that the store does not answer asks one other instance at a
//! time. Records carry their offsets in the store's streams, so it does not
//! matter who tells them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use thiserror::Error;
use tokio::time::timeout;

use super::state::Gateway;
use super::store::{Platform, Records, Stream};

/// Time in which another instance must have answered.
const ASK_LIMIT: Duration = Duration::from_millis(400);
/// Streams that are passed on.
const STREAMS: [Stream; 3] = [Stream::Orders, Stream::Upstreams, Stream::Instances];

/// What an instance has of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Have {
    /// The stream.
    pub stream: Stream,
    /// Offset of the first record that it lacks.
    pub next: u64,
}

/// Records of a stream that another instance lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The stream.
    pub stream: Stream,
    /// Its records.
    pub records: Records,
}

/// What instances ask each other.
#[tarpc::service]
pub trait Relay {
    /// Records that the asking instance lacks.
    async fn records(have: Vec<Have>) -> Vec<Part>;
}

/// Why another instance told nothing.
#[derive(Debug, Error)]
enum AskError {
    #[error("no connection: {0}")]
    Unreachable(std::io::Error),
    #[error("the call failed: {0}")]
    Call(client::RpcError),
    #[error("no answer in time")]
    Silent,
}

struct Server<P> {
    gateway: Arc<Gateway<P>>,
}

impl<P> Clone for Server<P> {
    fn clone(&self) -> Self {
        Self {
            gateway: Arc::clone(&self.gateway),
        }
    }
}

impl<P: Platform> Relay for Server<P> {
    async fn records(self, _: context::Context, have: Vec<Have>) -> Vec<Part> {
        let view = self.gateway.view();
        let mut parts = Vec::new();
        for Have { stream, next } in have {
            if view.next(stream) > next {
                let records = view.records_from(stream, next);
                parts.push(Part { stream, records });
            }
        }
        parts
    }
}

/// Listens for other instances.
///
/// # Errors
/// Where the address cannot be bound.
pub async fn listen<P: Platform>(gateway: Arc<Gateway<P>>) -> std::io::Result<()> {
    let address = gateway.settings().peer_address;
    let mut incoming = tcp::listen(address, Bincode::default).await?;
    tokio::spawn(async move {
        while let Some(accepted) = incoming.next().await {
            let transport = match accepted {
                Ok(transport) => transport,
                Err(error) => {
                    tracing::debug!(%error, "an instance's connection ended early");
                    continue;
                }
            };
            let server = Server {
                gateway: Arc::clone(&gateway),
            };
            let answers = BaseChannel::with_defaults(transport)
                .execute(server.serve())
                .for_each(|answer| answer);
            tokio::spawn(answers);
        }
    });
    Ok(())
}

/// Asks one other instance for what this one lacks.
pub async fn ask_peer<P: Platform>(gateway: &Gateway<P>) {
    let Some(address) = pick(gateway) else {
        return;
    };
    let have = {
        let view = gateway.view();
        STREAMS.map(|stream| Have {
            stream,
            next: view.next(stream),
        })
    };
    let asked = timeout(ASK_LIMIT, ask(address, have.to_vec())).await;
    match asked.unwrap_or(Err(AskError::Silent)) {
        Ok(parts) => take_in(gateway, address, parts),
        Err(error) => tracing::debug!(%address, %error, "an instance told no records"),
    }
}

async fn ask(address: SocketAddr, have: Vec<Have>) -> Result<Vec<Part>, AskError> {
    let transport = tcp::connect(address, Bincode::default)
        .await
        .map_err(AskError::Unreachable)?;
    let client = RelayClient::new(client::Config::default(), transport).spawn();
    client
        .records(context::current(), have)
        .await
        .map_err(AskError::Call)
}

/// Any other instance that is known, or a seed.
fn pick<P: Platform>(gateway: &Gateway<P>) -> Option<SocketAddr> {
    let settings = gateway.settings();
    let mut addresses: Vec<SocketAddr> = gateway.view().instances.values().copied().collect();
    if addresses.len() < 2 {
        addresses.extend(&settings.seeds);
    }
    addresses.retain(|address| *address != settings.peer_address);
    addresses.choose(&mut rand::rng()).copied()
}

fn take_in<P: Platform>(gateway: &Gateway<P>, address: SocketAddr, parts: Vec<Part>) {
    let source = address.to_string();
    let now_ms = gateway.now_ms();
    for Part { stream, records } in parts {
        let offset = records.next;
        // The store is away for this instance, not for the other one: what it
        // saw leave has left.
        let platform = &gateway.platform;
        let events = gateway
            .view()
            .apply(platform, stream, records, false, now_ms);
        if stream == Stream::Upstreams {
            gateway.set_loaded();
        }
        gateway.on_events(&events, &source, offset);
    }
}

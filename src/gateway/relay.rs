//! Records passed on between instances.
//!
//! Records carry their offsets in the store's streams, so it does not matter
//! who tells them. [`super::sharing`] decides who asks whom.

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
use tokio::time::{Instant, timeout, timeout_at};

use super::state::Gateway;
use super::store::{Platform, Records, Stream};

/// Time in which another instance must have answered.
const ASK_LIMIT: Duration = Duration::from_millis(400);
/// Longest wait of one question.
const WAIT_MAX: Duration = Duration::from_secs(5);
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

/// What an instance tells another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// What the other one lacks.
    pub parts: Vec<Part>,
    /// Whether the teller follows the store itself, and the store answers it.
    pub is_reader: bool,
    /// Time for which entries that go may only have lapsed, since the store has
    /// just come back.
    pub lapses_left_ms: u64,
}

/// What instances ask each other.
#[tarpc::service]
pub trait Relay {
    /// Records that the asking instance lacks; waits for the first one.
    async fn records(have: Vec<Have>, wait_ms: u64) -> Told;
}

/// Why another instance told nothing.
#[derive(Debug, Error)]
pub enum AskError {
    /// No connection could be opened.
    #[error("no connection: {0}")]
    Unreachable(std::io::Error),
    /// The connection was cut.
    #[error("the call failed: {0}")]
    Call(client::RpcError),
    /// It did not answer in time.
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
    async fn records(self, _: context::Context, have: Vec<Have>, wait_ms: u64) -> Told {
        let gateway = &self.gateway;
        let mut news = gateway.watch_changes();
        let mut told = tell(gateway, &have);
        let wait = Duration::from_millis(wait_ms).min(WAIT_MAX);
        let until = Instant::now() + wait;
        while told.parts.is_empty() && told.is_reader {
            match timeout_at(until, news.changed()).await {
                Ok(Ok(())) => told = tell(gateway, &have),
                Ok(Err(_)) | Err(_) => break,
            }
        }
        told
    }
}

fn tell<P: Platform>(gateway: &Gateway<P>, have: &[Have]) -> Told {
    let view = gateway.view();
    let mut parts = Vec::new();
    for Have { stream, next } in have {
        if view.next(*stream) > *next {
            let records = view.records_from(*stream, *next);
            parts.push(Part {
                stream: *stream,
                records,
            });
        }
    }
    drop(view);
    Told {
        parts,
        is_reader: gateway.is_active_reader(),
        lapses_left_ms: gateway.lapse_window_left_ms(),
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

/// A connection to another instance.
#[derive(Clone, Debug)]
pub struct Teller {
    client: RelayClient,
    address: SocketAddr,
}

impl Teller {
    /// Opens a connection.
    ///
    /// # Errors
    /// Where the other instance cannot be reached in time.
    pub async fn open(address: SocketAddr) -> Result<Self, AskError> {
        let connect = tcp::connect(address, Bincode::default);
        let transport = timeout(ASK_LIMIT, connect)
            .await
            .map_err(|_| AskError::Silent)?
            .map_err(AskError::Unreachable)?;
        let client = RelayClient::new(client::Config::default(), transport).spawn();
        Ok(Self { client, address })
    }

    /// Where the other instance listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks for what this instance lacks, and takes it in; tells whether the
    /// other one is a reader.
    ///
    /// # Errors
    /// Where there is no answer in time.
    pub async fn ask<P: Platform>(
        &self,
        gateway: &Gateway<P>,
        wait: Duration,
    ) -> Result<bool, AskError> {
        let have = have(gateway);
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let asked = self.client.records(context::current(), have, wait_ms);
        let told = timeout(wait + ASK_LIMIT, asked)
            .await
            .map_err(|_| AskError::Silent)?
            .map_err(AskError::Call)?;
        // One that the store answers does not take another's loss for its own.
        let is_concerned = told.is_reader || !gateway.is_active_reader();
        if told.lapses_left_ms > 0 && is_concerned {
            gateway.extend_lapse_window(told.lapses_left_ms);
        }
        let source = self.address.to_string();
        for Part { stream, records } in told.parts {
            gateway.apply_records(stream, records, true, &source);
        }
        Ok(told.is_reader)
    }
}

/// Asks any other instance for what this one lacks, while the store does not
/// answer.
pub async fn ask_any<P: Platform>(gateway: &Gateway<P>) {
    let Some(address) = pick(gateway) else {
        return;
    };
    let asked = async {
        let teller = Teller::open(address).await?;
        teller.ask(gateway, Duration::ZERO).await
    };
    if let Err(error) = asked.await {
        tracing::debug!(%address, %error, "an instance told no records");
    }
}

fn have<P: Platform>(gateway: &Gateway<P>) -> Vec<Have> {
    let view = gateway.view();
    let mut have = Vec::with_capacity(STREAMS.len());
    for stream in STREAMS {
        have.push(Have {
            stream,
            next: view.next(stream),
        });
    }
    have
}

/// Any other instance that is known, or a seed.
fn pick<P: Platform>(gateway: &Gateway<P>) -> Option<SocketAddr> {
    let settings = gateway.settings();
    let mut addresses: Vec<SocketAddr> = Vec::new();
    for instance in gateway.view().instances.values() {
        addresses.push(instance.address);
    }
    if addresses.len() < 2 {
        addresses.extend(&settings.seeds);
    }
    addresses.retain(|address| *address != settings.peer_address);
    addresses.choose(&mut rand::rng()).copied()
}

//! RPC by which instances fetch store records from each other and share what they
//! know of requests that end upstreams and of the limits of upstreams.
//!
//! Records keep their offsets in the store's streams, so any instance can serve
//! them. [`super::reader_role`] decides which peer an instance fetches from.

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

use super::send_permit::{self, PermitAnswer, PermitAsk, PermitReturn};
use super::state::Gateway;
use super::store::{Platform, Records, Stream};
use super::view::Extent;
use crate::decision::crash_suspects::{Scope, SuspectReport};
use crate::decision::rate_limits::LimitReport;

/// Time in which a peer must accept a connection or, beyond the wait of a long
/// poll, respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for which a peer may let a request wait for records.
const MAX_LONG_POLL_WAIT: Duration = Duration::from_secs(5);
/// Streams that instances fetch from each other.
const STREAMS: [Stream; 3] = [Stream::Operator, Stream::Upstreams, Stream::Instances];

/// Most reports of suspects, and of limits, in one response.
pub const MAX_REPORTS: usize = 256;

/// How far an instance has read a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamPosition {
    /// The stream.
    pub stream: Stream,
    /// Era in which another instance has told it the whole state; 0 if none has.
    pub told_era: u64,
    /// Offset of the first record that the instance lacks, in that era.
    pub next_offset: u64,
}

/// Records of one stream that the requesting instance lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecords {
    /// The stream.
    pub stream: Stream,
    /// Its missing records.
    pub records: Records,
    /// Whether these are all records, as the requester lacks those of an era.
    pub is_whole_state: bool,
}

/// Response to [`Relay::records`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordsResponse {
    /// Streams with missing records; empty if the requester is up to date.
    pub streams: Vec<StreamRecords>,
    /// Whether the responding instance has the reader role and reaches the store.
    pub is_reader: bool,
    /// Time for which removed entries may only have lapsed while the store was
    /// unreachable, in milliseconds.
    pub lapses_left_ms: u64,
    /// Suspect requests that changed after the requester's position, at most 256.
    pub suspects: Vec<SuspectReport>,
    /// Position after them.
    pub suspects_position: u64,
    /// Limits of upstreams that changed after the requester's position, at most 256.
    pub limits: Vec<LimitReport>,
    /// Position after them.
    pub limits_position: u64,
}

/// Response to [`Relay::acquire_run`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitResponse {
    /// Whether the requester may run the request.
    pub is_granted: bool,
    /// What the responding instance knows of the request.
    pub reports: Vec<SuspectReport>,
}

/// Calls between instances of the gateway.
#[tarpc::service]
pub trait Relay {
    /// Returns the records, suspects and limits that the requester lacks; a long poll that
    /// waits up to `wait_ms` for the first one if this instance reads the store.
    async fn records(
        positions: Vec<StreamPosition>,
        suspects_position: u64,
        limits_position: u64,
        wait_ms: u64,
    ) -> RecordsResponse;

    /// Tells this instance of suspect requests.
    async fn report_suspects(reports: Vec<SuspectReport>);

    /// Asks for the only permit to run the requests of a scope, valid for
    /// `lifetime_ms`. `report` is what the requester knows of them.
    async fn acquire_run(
        scope: Scope,
        token: u64,
        lifetime_ms: u64,
        report: Option<SuspectReport>,
    ) -> PermitResponse;

    /// Tells this instance of limits of upstreams, and returns all that it knows unless
    /// the requester knows the same, as `digest` shows.
    async fn exchange_limits(reports: Vec<LimitReport>, digest: u64) -> Vec<LimitReport>;

    /// Asks for a permit to send one request to a limited upstream.
    async fn acquire_send(ask: PermitAsk) -> PermitAnswer;

    /// Gives a permit to send back.
    async fn return_send_permit(returned: PermitReturn);

    /// Gives a permit back, with what the run has shown.
    async fn release_run(scope: Scope, token: u64, report: Option<SuspectReport>);
}

/// Why records could not be fetched from a peer.
#[derive(Debug, Error)]
pub enum RelayError {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Unreachable(std::io::Error),
    /// The call failed, for example because the connection was closed.
    #[error("call failed: {0}")]
    Call(client::RpcError),
    /// The connection or the response took too long.
    #[error("timed out")]
    Timeout,
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
    async fn records(
        self,
        _: context::Context,
        positions: Vec<StreamPosition>,
        suspects_position: u64,
        limits_position: u64,
        wait_ms: u64,
    ) -> RecordsResponse {
        let gateway = &self.gateway;
        let missing = || missing_records(gateway, &positions, suspects_position, limits_position);
        let mut changes = gateway.watch_changes();
        let mut response = missing();
        let wait = Duration::from_millis(wait_ms).min(MAX_LONG_POLL_WAIT);
        let until = Instant::now() + wait;
        while response.is_empty() && response.is_reader {
            match timeout_at(until, changes.changed()).await {
                Ok(Ok(())) => {
                    response = missing();
                }
                Ok(Err(_)) | Err(_) => break,
            }
        }
        response
    }

    async fn report_suspects(self, _: context::Context, reports: Vec<SuspectReport>) {
        self.gateway.merge_suspects(&reports, "another instance");
    }

    async fn acquire_run(
        self,
        _: context::Context,
        scope: Scope,
        token: u64,
        lifetime_ms: u64,
        report: Option<SuspectReport>,
    ) -> PermitResponse {
        let gateway = &self.gateway;
        gateway.merge_suspects(report.as_slice(), "another instance");
        let is_granted = gateway.grant_run(scope, token, lifetime_ms);
        let reports = gateway.suspect_report(scope.content());
        PermitResponse {
            is_granted,
            reports: reports.into_iter().collect(),
        }
    }

    async fn exchange_limits(
        self,
        _: context::Context,
        reports: Vec<LimitReport>,
        digest: u64,
    ) -> Vec<LimitReport> {
        let gateway = &self.gateway;
        gateway.merge_limits(&reports, "another instance");
        let limits = gateway.limits.table();
        if limits.digest() == digest {
            return Vec::new();
        }
        limits.reports_after(0, MAX_REPORTS, gateway.now_ms()).0
    }

    async fn acquire_send(self, _: context::Context, ask: PermitAsk) -> PermitAnswer {
        send_permit::answer(&self.gateway, ask).await
    }

    async fn return_send_permit(self, _: context::Context, returned: PermitReturn) {
        self.gateway.return_permit(&returned);
    }

    async fn release_run(
        self,
        _: context::Context,
        scope: Scope,
        token: u64,
        report: Option<SuspectReport>,
    ) {
        let gateway = &self.gateway;
        gateway.merge_suspects(report.as_slice(), "another instance");
        gateway.suspects.permits().release(scope, token);
    }
}

impl RecordsResponse {
    fn is_empty(&self) -> bool {
        self.streams.is_empty() && self.suspects.is_empty() && self.limits.is_empty()
    }
}

fn missing_records<P: Platform>(
    gateway: &Gateway<P>,
    positions: &[StreamPosition],
    suspects_position: u64,
    limits_position: u64,
) -> RecordsResponse {
    let view = gateway.view();
    let mut streams = Vec::new();
    for position in positions {
        let copy = view.copy(position.stream);
        let is_whole_state = copy.era > position.told_era;
        let has_more = copy.era == position.told_era && copy.next_offset > position.next_offset;
        if !is_whole_state && !has_more {
            continue;
        }
        let records = if is_whole_state {
            copy.all_records()
        } else {
            copy.records_from(position.next_offset)
        };
        streams.push(StreamRecords {
            stream: position.stream,
            records,
            is_whole_state,
        });
    }
    drop(view);
    let now_ms = gateway.now_ms();
    let suspects = gateway.suspects.table();
    let (suspects, suspects_position) =
        suspects.reports_after(suspects_position, MAX_REPORTS, now_ms);
    let limits = gateway.limits.table();
    let (limits, limits_position) = limits.reports_after(limits_position, MAX_REPORTS, now_ms);
    RecordsResponse {
        streams,
        suspects,
        suspects_position,
        limits,
        limits_position,
        is_reader: gateway.is_active_reader(),
        lapses_left_ms: gateway.lapse_window_left_ms(),
    }
}

/// Serves [`Relay`] to other instances at the peer address, in the background.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub async fn listen<P: Platform>(gateway: Arc<Gateway<P>>) -> std::io::Result<()> {
    let address = gateway.settings().peer_address;
    let mut incoming = tcp::listen(address, Bincode::default).await?;
    tokio::spawn(async move {
        while let Some(accepted) = incoming.next().await {
            let transport = match accepted {
                Ok(transport) => transport,
                Err(error) => {
                    tracing::debug!(%error, "failed to accept a connection from another instance");
                    continue;
                }
            };
            let server = Server {
                gateway: Arc::clone(&gateway),
            };
            let responses = BaseChannel::with_defaults(transport)
                .execute(server.serve())
                .for_each(|response| response);
            tokio::spawn(responses);
        }
    });
    Ok(())
}

/// A connection to another instance for [`Relay`] calls.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: RelayClient,
    address: SocketAddr,
    /// Position up to which the peer has told its suspects on this connection.
    suspects_position: u64,
    /// The same for its limits.
    limits_position: u64,
}

impl PeerClient {
    /// Opens a connection.
    ///
    /// # Errors
    /// Returns an error if the peer refuses the connection or does not accept it
    /// in time.
    pub async fn connect(address: SocketAddr) -> Result<Self, RelayError> {
        let connect = tcp::connect(address, Bincode::default);
        let transport = timeout(RESPONSE_TIMEOUT, connect)
            .await
            .map_err(|_| RelayError::Timeout)?
            .map_err(RelayError::Unreachable)?;
        let client = RelayClient::new(client::Config::default(), transport).spawn();
        Ok(Self {
            client,
            address,
            suspects_position: 0,
            limits_position: 0,
        })
    }

    /// Address of the peer.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Fetches the records that this instance lacks and applies them; returns
    /// whether the peer reads the store.
    ///
    /// # Errors
    /// Returns an error if the call fails or the response does not arrive in
    /// time.
    pub async fn fetch<P: Platform>(
        &mut self,
        gateway: &Gateway<P>,
        wait: Duration,
    ) -> Result<bool, RelayError> {
        let positions = stream_positions(gateway);
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let request = self.client.records(
            context::current(),
            positions,
            self.suspects_position,
            self.limits_position,
            wait_ms,
        );
        let response = timeout(wait + RESPONSE_TIMEOUT, request)
            .await
            .map_err(|_| RelayError::Timeout)?
            .map_err(RelayError::Call)?;
        // An instance that reaches the store ignores the lapse window of one that
        // does not.
        let applies_here = response.is_reader || !gateway.is_active_reader();
        if response.lapses_left_ms > 0 && applies_here {
            gateway.extend_lapse_window(response.lapses_left_ms);
        }
        let source = self.address.to_string();
        // The records may make this instance ready, so the suspects and limits come first.
        gateway.merge_suspects(&response.suspects, &source);
        gateway.merge_limits(&response.limits, &source);
        for told in response.streams {
            let extent = if told.is_whole_state {
                Extent::PeerState
            } else {
                Extent::Following
            };
            gateway.apply_records(told.stream, told.records, extent, &source);
        }
        self.suspects_position = response.suspects_position;
        self.limits_position = response.limits_position;
        gateway.set_heard_from_peer();
        Ok(response.is_reader)
    }

    /// Tells the peer of suspect requests.
    ///
    /// # Errors
    /// Returns an error if the call fails or the response does not arrive in time.
    pub async fn report_suspects(&self, reports: Vec<SuspectReport>) -> Result<(), RelayError> {
        let request = self.client.report_suspects(context::current(), reports);
        response_within(RESPONSE_TIMEOUT, request).await
    }

    /// Asks the peer for the only permit to run the requests of a scope.
    ///
    /// # Errors
    /// Returns an error if the call fails or the response does not arrive in time.
    pub async fn acquire_run(
        &self,
        scope: Scope,
        token: u64,
        lifetime_ms: u64,
        report: Option<SuspectReport>,
    ) -> Result<PermitResponse, RelayError> {
        let request =
            self.client
                .acquire_run(context::current(), scope, token, lifetime_ms, report);
        response_within(RESPONSE_TIMEOUT, request).await
    }

    /// Tells the peer of limits of upstreams, and returns all that it knows unless
    /// `digest` shows that it is the same.
    ///
    /// # Errors
    /// Returns an error if the call fails.
    pub async fn exchange_limits(
        &self,
        reports: Vec<LimitReport>,
        digest: u64,
    ) -> Result<Vec<LimitReport>, RelayError> {
        let request = self
            .client
            .exchange_limits(context::current(), reports, digest);
        response_within(RESPONSE_TIMEOUT, request).await
    }

    /// Asks the peer for a permit to send one request to a limited upstream.
    ///
    /// # Errors
    /// Returns an error if the call fails.
    pub async fn acquire_send(&self, ask: PermitAsk) -> Result<PermitAnswer, RelayError> {
        let request = self.client.acquire_send(context::current(), ask);
        response_within(RESPONSE_TIMEOUT, request).await
    }

    /// Gives a permit to send back.
    ///
    /// # Errors
    /// Returns an error if the call fails; the permit then expires.
    pub async fn return_send_permit(&self, returned: PermitReturn) -> Result<(), RelayError> {
        let request = self.client.return_send_permit(context::current(), returned);
        response_within(RESPONSE_TIMEOUT, request).await
    }

    /// Gives a permit back.
    ///
    /// # Errors
    /// Returns an error if the call fails or the response does not arrive in time; the
    /// permit then expires.
    pub async fn release_run(
        &self,
        scope: Scope,
        token: u64,
        report: Option<SuspectReport>,
    ) -> Result<(), RelayError> {
        let request = self
            .client
            .release_run(context::current(), scope, token, report);
        response_within(RESPONSE_TIMEOUT, request).await
    }
}

async fn response_within<T>(
    limit: Duration,
    request: impl Future<Output = Result<T, client::RpcError>>,
) -> Result<T, RelayError> {
    timeout(limit, request)
        .await
        .map_err(|_| RelayError::Timeout)?
        .map_err(RelayError::Call)
}

/// Fetches missing records from a random peer while the store is unreachable.
pub async fn fetch_from_any_peer<P: Platform>(gateway: &Gateway<P>) {
    let Some(address) = pick_peer(gateway) else {
        return;
    };
    let fetched = async {
        let mut client = PeerClient::connect(address).await?;
        client.fetch(gateway, Duration::ZERO).await
    };
    if let Err(error) = fetched.await {
        tracing::debug!(%address, %error, "failed to fetch records from another instance");
    }
}

fn stream_positions<P: Platform>(gateway: &Gateway<P>) -> Vec<StreamPosition> {
    let view = gateway.view();
    let mut positions = Vec::with_capacity(STREAMS.len());
    for stream in STREAMS {
        positions.push(StreamPosition {
            stream,
            told_era: view.copy(stream).told_era,
            next_offset: view.next_offset(stream),
        });
    }
    positions
}

/// Picks a random known instance; the seeds count while fewer than two are known.
fn pick_peer<P: Platform>(gateway: &Gateway<P>) -> Option<SocketAddr> {
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

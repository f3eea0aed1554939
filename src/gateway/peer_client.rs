//! Client of the RPC between instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use tarpc::{client, context};
use thiserror::Error;
use tokio::time::{Instant, timeout, timeout_at};

use super::allowances::issuing::{AllowanceAnswer, AllowanceReport};
use super::handed::{HandedAnswer, HandedRequest, Offer};
use super::packed_values::{PackedValue, ValueId};
use super::peer_builds::PeerBuilds;
use super::peer_format::PeerBuild;
use super::relay::{
    PermitResponse, RecordsResponse, RelayClient, STREAMS, StreamPosition, ToldPositions,
};
use super::rollouts::exchange::{RolloutAnswer, RolloutReport};
use super::send_permit::{PermitAnswer, PermitAsk, PermitReturn};
use super::state::Gateway;
use super::store::{Platform, Records, Stream};
use super::view::Extent;
use crate::decision::crash_suspects::{Scope, SuspectReport};
use crate::decision::rate_limits::LimitReport;
use crate::decision::upstream_notices::NoticeReport;

/// Time in which a peer must respond, beyond the wait of a long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Times that records are asked for again if a long value cannot be fetched or decompressed:
/// once for each of these.
const MAX_VALUE_RETRIES: usize = 2;

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
    /// The peer answers a greeting with something else.
    #[error("its greeting is invalid: {0}")]
    InvalidGreeting(std::io::Error),
    /// The build of the peer speaks these formats only.
    #[error("it speaks the formats {0:?}, none of which this build speaks")]
    NoCommonFormat(Vec<u32>),
    /// A long value in the response cannot be decompressed.
    #[error("a value in its response is invalid: {0}")]
    InvalidValue(std::io::Error),
    /// The instance that should have a long value did not send it.
    #[error("a value in its response cannot be fetched from {0}")]
    ValueNotFetched(SocketAddr),
    /// The build of the peer does not know the call, which was not made.
    #[error("its build does not know the call {0}")]
    UnknownCall(&'static str),
}

impl RelayError {
    /// Whether the peer responds, but its build cannot be talked to.
    #[must_use]
    pub fn is_other_build(&self) -> bool {
        matches!(
            self,
            Self::InvalidGreeting(_) | Self::NoCommonFormat(_) | Self::UnknownCall(_)
        )
    }
}

/// Why a request that was handed to a peer has no answer.
#[derive(Debug, Error)]
pub enum HandError {
    /// It was not sent.
    #[error("not sent: {0}")]
    NotSent(RelayError),
    /// It was sent, and the connection failed; it may have run.
    #[error("no answer: {0}")]
    Lost(client::RpcError),
    /// It was sent, and no answer came in time; it may have run.
    #[error("timed out")]
    Timeout,
}

/// A connection to another instance for [`Relay`] calls.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: RelayClient,
    address: SocketAddr,
    build: PeerBuild,
    unknown_calls: Counter,
    /// Positions up to which the peer has told what it knows of upstreams on this connection.
    told: ToldPositions,
    /// Whether the peer may compress long values against those that this instance has.
    takes_bases: bool,
}

impl PeerClient {
    /// Opens a connection.
    ///
    /// # Errors
    /// Returns an error if the peer refuses the connection, does not accept it in time, or
    /// its build speaks no format of this one.
    pub async fn connect(builds: &PeerBuilds, address: SocketAddr) -> Result<Self, RelayError> {
        let (client, build) = builds.open(address).await?;
        Ok(Self {
            client,
            address,
            build,
            unknown_calls: builds.unknown_calls.clone(),
            told: ToldPositions::default(),
            takes_bases: true,
        })
    }

    /// Address of the peer.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses a call that the build of the peer does not know.
    fn require(&self, call: &'static str) -> Result<(), RelayError> {
        if self.build.knows(call) {
            return Ok(());
        }
        self.unknown_calls.inc();
        Err(RelayError::UnknownCall(call))
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
        let mut response = self.ask_for_records(gateway, wait).await;
        for _ in 0..MAX_VALUE_RETRIES {
            match &response {
                Err(RelayError::InvalidValue(error)) => {
                    tracing::info!(address = %self.address, %error, "long value not taken; asking for it whole");
                    self.takes_bases = false;
                }
                Err(RelayError::ValueNotFetched(_)) => {}
                Ok(_) | Err(_) => break,
            }
            response = self.ask_for_records(gateway, Duration::ZERO).await;
        }
        let response = response?;
        self.takes_bases = true;
        // An instance that reaches the store ignores the lapse window of one that
        // does not.
        let applies_here = response.is_reader || !gateway.is_active_reader();
        if response.lapses_left_ms > 0 && applies_here {
            gateway.extend_lapse_window(response.lapses_left_ms);
        }
        let source = self.address.to_string();
        // The records may make this instance ready, so what is known of upstreams comes first.
        gateway.merge_suspects(&response.suspects, &source);
        gateway.merge_limits(&response.limits, &source);
        gateway.merge_notices(&response.notices, &source);
        for told in response.streams {
            let extent = if told.is_whole_state {
                Extent::PeerState
            } else {
                Extent::Following
            };
            let known_era = gateway.view().copy(told.stream).era;
            let era = told.records.era;
            gateway.apply_records(told.stream, told.records, extent, &source);
            if known_era != 0 && era > known_era {
                tracing::info!(stream = %told.stream, era, source, "the store has returned from a copy; reading the streams anew");
                // A long poll in flight waits at an offset of the ended era.
                gateway.store_recheck.notify_waiters();
            }
        }
        let now_ms = gateway.now_ms();
        gateway
            .stream_ages
            .confirm_told(&response.stream_ages_ms, now_ms);
        self.told = ToldPositions {
            suspects: response.suspects_position,
            limits: response.limits_position,
            notices: response.notices_position,
        };
        gateway.set_heard_from_peer();
        Ok(response.is_reader)
    }

    /// Asks for the records that this instance lacks.
    async fn ask_for_records<P: Platform>(
        &self,
        gateway: &Gateway<P>,
        wait: Duration,
    ) -> Result<RecordsResponse, RelayError> {
        let positions = stream_positions(gateway);
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let limit = wait + RESPONSE_TIMEOUT;
        if !self.build.knows("packed_records") {
            self.require("records")?;
            let ToldPositions {
                suspects,
                limits,
                notices,
            } = self.told;
            let request = self.client.records(
                context::current(),
                positions,
                suspects,
                limits,
                notices,
                wait_ms,
            );
            return response_within(limit, request).await;
        }
        let request = self.client.packed_records(
            context::current(),
            positions,
            self.told,
            wait_ms,
            self.takes_bases,
            own_address(gateway),
        );
        let packed = response_within(limit, request).await?;
        packed.unpack(gateway).await
    }

    /// Fetches a long value that the peer was told before; waits up to `wait` for it.
    ///
    /// # Errors
    /// Returns an error if the call fails or the response does not arrive in time.
    pub async fn long_value(
        &self,
        id: ValueId,
        wait: Duration,
    ) -> Result<Option<PackedValue>, RelayError> {
        self.require("long_value")?;
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let request = self.client.long_value(context::current(), id, wait_ms);
        response_within(wait + RESPONSE_TIMEOUT, request).await
    }

    /// The records of instances that the peer has, whatever this instance has.
    ///
    /// # Errors
    /// Returns an error if the call fails or the response does not arrive in time.
    pub async fn instance_records(&self) -> Result<Records, RelayError> {
        self.require("records")?;
        let from_the_start = StreamPosition {
            stream: Stream::Instances,
            told_era: 0,
            next_offset: 0,
        };
        // Nothing else is asked for.
        let (suspects, limits, notices) = (u64::MAX, u64::MAX, u64::MAX);
        let request = self.client.records(
            context::current(),
            vec![from_the_start],
            suspects,
            limits,
            notices,
            0,
        );
        let response = response_within(RESPONSE_TIMEOUT, request).await?;
        let told = response.streams.into_iter().next();
        Ok(told.map_or_else(Records::default, |told| told.records))
    }

    /// Tells the peer of an instance that the store serves.
    ///
    /// # Errors
    /// Returns an error if the call fails.
    pub async fn announce_reader(&self, address: SocketAddr) -> Result<(), RelayError> {
        self.require("announce_reader")?;
        let announced = self.client.announce_reader(context::current(), address);
        announced.await.map_err(RelayError::Call)
    }

    /// Tells the peer of suspect requests.
    ///
    /// # Errors
    /// Returns an error if the call fails or the response does not arrive in time.
    pub async fn report_suspects(&self, reports: Vec<SuspectReport>) -> Result<(), RelayError> {
        self.require("report_suspects")?;
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
        self.require("acquire_run")?;
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
        self.require("exchange_limits")?;
        let request = self
            .client
            .exchange_limits(context::current(), reports, digest);
        response_within(RESPONSE_TIMEOUT, request).await
    }

    /// Tells the peer of notices of upstreams, and returns all that it knows; `None` if
    /// `digest` shows that it is the same.
    ///
    /// # Errors
    /// Returns an error if the call fails.
    pub async fn exchange_notices(
        &self,
        reports: Vec<NoticeReport>,
        digest: u64,
    ) -> Result<Option<Vec<NoticeReport>>, RelayError> {
        self.require("exchange_notices")?;
        let request = self
            .client
            .exchange_notices(context::current(), reports, digest);
        response_within(RESPONSE_TIMEOUT, request).await
    }

    /// Asks the peer for a permit to send one request to a limited upstream.
    ///
    /// # Errors
    /// Returns an error if the call fails.
    pub async fn acquire_send(&self, ask: PermitAsk) -> Result<PermitAnswer, RelayError> {
        self.require("acquire_send")?;
        let request = self.client.acquire_send(context::current(), ask);
        response_within(RESPONSE_TIMEOUT, request).await
    }

    /// Gives a permit to send back.
    ///
    /// # Errors
    /// Returns an error if the call fails; the permit then expires.
    pub async fn return_send_permit(&self, returned: PermitReturn) -> Result<(), RelayError> {
        self.require("return_send_permit")?;
        let request = self.client.return_send_permit(context::current(), returned);
        response_within(RESPONSE_TIMEOUT, request).await
    }

    /// Asks the peer whether it takes requests.
    ///
    /// # Errors
    /// Returns an error if the call fails or the response does not arrive in time.
    pub async fn offer(&self) -> Result<Offer, RelayError> {
        self.require("offer")?;
        let request = self.client.offer(context::current());
        response_within(RESPONSE_TIMEOUT, request).await
    }

    /// Checks that the peer responds on this connection, by a report of nothing.
    ///
    /// # Errors
    /// Returns an error if the call fails or the response does not arrive in time.
    pub async fn check(&self) -> Result<(), RelayError> {
        self.report_suspects(Vec::new()).await
    }

    /// Has the peer run a request; dropping the call cancels it there.
    ///
    /// # Errors
    /// Returns whether the request was sent if there is no answer before the deadline.
    pub async fn run_handed(
        &self,
        request: HandedRequest,
        deadline: Instant,
    ) -> Result<HandedAnswer, HandError> {
        self.require("run_handed").map_err(HandError::NotSent)?;
        let mut context = context::current();
        context.deadline = (deadline + RESPONSE_TIMEOUT).into_std();
        let call = self.client.run_handed(context, request);
        match timeout_at(deadline, call).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error @ client::RpcError::Send(_))) => {
                Err(HandError::NotSent(RelayError::Call(error)))
            }
            Ok(Err(error)) => Err(HandError::Lost(error)),
            Err(_) => Err(HandError::Timeout),
        }
    }

    /// Upstreams that a request with this id was sent to, if the peer runs it for this instance.
    ///
    /// # Errors
    /// Returns an error if the call fails or the response does not arrive in time.
    pub async fn upstreams_of(&self, id: Vec<u8>) -> Result<Vec<Arc<str>>, RelayError> {
        self.require("upstreams_of")?;
        let request = self.client.upstreams_of(context::current(), id);
        response_within(RESPONSE_TIMEOUT, request).await
    }

    /// Tells the peer what this instance uses of allowances, and asks for tokens.
    ///
    /// # Errors
    /// Returns an error if the call fails or the response does not arrive in time; tokens that
    /// it has given out are then lost.
    pub async fn use_allowances(
        &self,
        reports: Vec<AllowanceReport>,
        may_forward: bool,
    ) -> Result<Vec<AllowanceAnswer>, RelayError> {
        self.require("use_allowances")?;
        let request = self
            .client
            .use_allowances(context::current(), reports, may_forward);
        response_within(RESPONSE_TIMEOUT, request).await
    }

    /// Tells a peer the counts of roll-outs, and returns the statuses if it decides on them.
    ///
    /// # Errors
    /// Returns an error if the call fails or the response does not arrive in time.
    pub async fn report_rollout(&self, report: RolloutReport) -> Result<RolloutAnswer, RelayError> {
        self.require("report_rollout")?;
        let request = self.client.report_rollout(context::current(), report);
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
        self.require("release_run")?;
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

/// How far this instance has read each stream, in the era that other instances have told.
fn stream_positions<P: Platform>(gateway: &Gateway<P>) -> Vec<StreamPosition> {
    let view = gateway.view();
    let mut positions = Vec::with_capacity(STREAMS.len());
    for stream in STREAMS {
        let copy = view.copy(stream);
        // Offsets of the current era mean nothing in the told one, which has ended.
        let has_ended = copy.told_era < copy.era;
        positions.push(StreamPosition {
            stream,
            told_era: copy.told_era,
            next_offset: if has_ended {
                u64::MAX
            } else {
                copy.next_offset
            },
        });
    }
    positions
}

/// The address at which other instances reach this one.
fn own_address<P: Platform>(gateway: &Gateway<P>) -> SocketAddr {
    let settings = gateway.settings();
    let view = gateway.view();
    let registered = view.instances.get(&settings.name);
    registered.map_or(settings.peer_address, |instance| instance.address)
}

//! RPC by which instances fetch store records from each other and share what they
//! know of requests that end upstreams and of what upstreams say of themselves.
//!
//! Records keep their offsets in the store's streams, so any instance can serve
//! them. [`super::reader_role`] decides which peer an instance fetches from.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tarpc::context;
use tokio::time::{Instant, timeout_at};

use super::allowances::issuing::{self, AllowanceAnswer, AllowanceReport};
use super::handed::{HandedAnswer, HandedRequest, Offer};
use super::long_values::{PackedRecordsResponse, kept_value, pack_response};
use super::packed_values::{PackedValue, ValueId};
use super::peer_client::PeerClient;
use super::rollouts;
use super::rollouts::exchange::{RolloutAnswer, RolloutReport};
use super::send_permit::{self, PermitAnswer, PermitAsk, PermitReturn};
use super::state::Gateway;
use super::store::{MAX_PAGE_BYTES, Platform, Records, Stream};
use super::taken;
use crate::decision::crash_suspects::{Scope, SuspectReport};
use crate::decision::rate_limits::LimitReport;
use crate::decision::upstream_notices::NoticeReport;

/// Longest time for which a peer may let a request wait for records.
const MAX_LONG_POLL_WAIT: Duration = Duration::from_secs(5);
/// Streams that instances fetch from each other.
pub const STREAMS: [Stream; 3] = [Stream::Operator, Stream::Upstreams, Stream::Instances];
/// Most reports of suspects, of limits, and of notices in one response.
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
    /// Notices of upstreams that changed after the requester's position, at most 256.
    pub notices: Vec<NoticeReport>,
    /// Position after them.
    pub notices_position: u64,
    /// Time since the store last confirmed each stream, in the order of [`STREAMS`], in
    /// milliseconds.
    pub stream_ages_ms: Vec<u64>,
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
        notices_position: u64,
        wait_ms: u64,
    ) -> RecordsResponse;

    /// Tells this instance of one that the store serves.
    async fn announce_reader(address: SocketAddr);

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

    /// Tells this instance of notices of upstreams, and returns all that it knows; `None` if
    /// the requester knows the same, as `digest` shows.
    async fn exchange_notices(reports: Vec<NoticeReport>, digest: u64)
    -> Option<Vec<NoticeReport>>;

    /// Asks for a permit to send one request to a limited upstream.
    async fn acquire_send(ask: PermitAsk) -> PermitAnswer;

    /// Gives a permit to send back.
    async fn return_send_permit(returned: PermitReturn);

    /// Gives a permit back, with what the run has shown.
    async fn release_run(scope: Scope, token: u64, report: Option<SuspectReport>);

    /// Asks whether this instance takes requests that the requester cannot serve.
    async fn offer() -> Offer;

    /// Runs a request for the requester, whose links to upstreams are lost.
    async fn run_handed(request: HandedRequest) -> HandedAnswer;

    /// Like `records`, with long values compressed; if `takes_bases`, against those that the
    /// requester has by its positions. The instance at `asker` may be told to fetch them from
    /// another one.
    async fn packed_records(
        positions: Vec<StreamPosition>,
        told: ToldPositions,
        wait_ms: u64,
        takes_bases: bool,
        asker: SocketAddr,
    ) -> PackedRecordsResponse;

    /// Returns a long value that this instance was told before; waits up to `wait_ms` for it.
    async fn long_value(id: ValueId, wait_ms: u64) -> Option<PackedValue>;

    /// Returns the upstreams that a request with this id was sent to, if this instance runs it
    /// for another one.
    async fn upstreams_of(id: Vec<u8>) -> Vec<Arc<str>>;

    /// Tells this instance what the requester uses of allowances, and asks for tokens; the
    /// answers are in the order of the reports. What another instance issues is passed on if
    /// `may_forward`.
    async fn use_allowances(
        reports: Vec<AllowanceReport>,
        may_forward: bool,
    ) -> Vec<AllowanceAnswer>;

    /// Tells this instance the counts of roll-outs; it returns the statuses if it decides.
    async fn report_rollout(report: RolloutReport) -> RolloutAnswer;
}

/// Answers the calls of other instances.
pub struct Server<P> {
    /// The instance that answers.
    pub gateway: Arc<Gateway<P>>,
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
        notices_position: u64,
        wait_ms: u64,
    ) -> RecordsResponse {
        let told = ToldPositions {
            suspects: suspects_position,
            limits: limits_position,
            notices: notices_position,
        };
        wait_for_records(&self.gateway, &positions, told, wait_ms).await
    }

    async fn announce_reader(self, _: context::Context, address: SocketAddr) {
        self.gateway.on_reader_announced(address);
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

    async fn exchange_notices(
        self,
        _: context::Context,
        reports: Vec<NoticeReport>,
        digest: u64,
    ) -> Option<Vec<NoticeReport>> {
        let gateway = &self.gateway;
        gateway.merge_notices(&reports, "another instance");
        let now_ms = gateway.now_ms();
        let notices = gateway.notices.table();
        if notices.digest(now_ms) == digest {
            return None;
        }
        Some(notices.reports_after(0, MAX_REPORTS, now_ms).0)
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

    async fn offer(self, _: context::Context) -> Offer {
        taken::offer(&self.gateway).await
    }

    async fn run_handed(self, _: context::Context, request: HandedRequest) -> HandedAnswer {
        taken::run(&self.gateway, request).await
    }

    async fn packed_records(
        self,
        _: context::Context,
        positions: Vec<StreamPosition>,
        told: ToldPositions,
        wait_ms: u64,
        takes_bases: bool,
        asker: SocketAddr,
    ) -> PackedRecordsResponse {
        let response = wait_for_records(&self.gateway, &positions, told, wait_ms).await;
        pack_response(&self.gateway, response, &positions, takes_bases, asker)
    }

    async fn long_value(
        self,
        _: context::Context,
        id: ValueId,
        wait_ms: u64,
    ) -> Option<PackedValue> {
        kept_value(&self.gateway, &id, Duration::from_millis(wait_ms)).await
    }

    async fn upstreams_of(self, _: context::Context, id: Vec<u8>) -> Vec<Arc<str>> {
        self.gateway.taken.upstreams_of(&id)
    }

    async fn use_allowances(
        self,
        _: context::Context,
        reports: Vec<AllowanceReport>,
        may_forward: bool,
    ) -> Vec<AllowanceAnswer> {
        issuing::answer(&self.gateway, reports, may_forward).await
    }

    async fn report_rollout(self, _: context::Context, report: RolloutReport) -> RolloutAnswer {
        rollouts::deciding::on_report(&self.gateway, &report)
    }
}

impl RecordsResponse {
    fn is_empty(&self) -> bool {
        self.streams.is_empty()
            && self.suspects.is_empty()
            && self.limits.is_empty()
            && self.notices.is_empty()
    }
}

/// Positions up to which the requester knows what this instance knows of upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldPositions {
    /// Position after the last suspect request.
    pub suspects: u64,
    /// Position after the last limit of an upstream.
    pub limits: u64,
    /// Position after the last notice of an upstream.
    pub notices: u64,
}

/// The records that the requester lacks; if there are none and this instance reads the store,
/// waits up to `wait_ms` for the first one.
async fn wait_for_records<P: Platform>(
    gateway: &Gateway<P>,
    positions: &[StreamPosition],
    told: ToldPositions,
    wait_ms: u64,
) -> RecordsResponse {
    let missing = || missing_records(gateway, positions, told);
    let mut changes = gateway.watch_changes();
    let mut response = missing();
    let until = Instant::now() + Duration::from_millis(wait_ms).min(MAX_LONG_POLL_WAIT);
    while response.is_empty() && response.is_reader {
        match timeout_at(until, changes.changed()).await {
            Ok(Ok(())) => response = missing(),
            Ok(Err(_)) | Err(_) => break,
        }
    }
    response
}

fn missing_records<P: Platform>(
    gateway: &Gateway<P>,
    positions: &[StreamPosition],
    told: ToldPositions,
) -> RecordsResponse {
    let view = gateway.view();
    let mut streams = Vec::new();
    for position in positions {
        let copy = view.copy(position.stream);
        let missing = copy.missing_records(position.told_era, position.next_offset);
        let Some((records, is_whole_state)) = missing else {
            continue;
        };
        streams.push(StreamRecords {
            stream: position.stream,
            records: records.into_page(MAX_PAGE_BYTES),
            is_whole_state,
        });
    }
    drop(view);
    let now_ms = gateway.now_ms();
    let suspects = gateway.suspects.table();
    let (suspects, suspects_position) = suspects.reports_after(told.suspects, MAX_REPORTS, now_ms);
    let limits = gateway.limits.table();
    let (limits, limits_position) = limits.reports_after(told.limits, MAX_REPORTS, now_ms);
    let notices = gateway.notices.table();
    let (notices, notices_position) = notices.reports_after(told.notices, MAX_REPORTS, now_ms);
    RecordsResponse {
        streams,
        suspects,
        suspects_position,
        limits,
        limits_position,
        notices,
        notices_position,
        is_reader: gateway.is_active_reader(),
        lapses_left_ms: gateway.lapse_window_left_ms(),
        stream_ages_ms: gateway.stream_ages.ages_ms(now_ms),
    }
}

/// Fetches missing records from a random peer while the store is unreachable.
pub async fn fetch_from_any_peer<P: Platform>(gateway: &Gateway<P>) {
    let Some(address) = pick_peer(gateway) else {
        return;
    };
    let fetched = async {
        let mut client = PeerClient::connect(&gateway.peers.builds, address).await?;
        client.fetch(gateway, Duration::ZERO).await
    };
    if let Err(error) = fetched.await {
        tracing::debug!(%address, %error, "failed to fetch records from another instance");
    }
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

//! One client for each upstream: its idle connections, probes and ejection state.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use thiserror::Error;
use tokio::time::sleep;

use super::metrics::Metrics;
use super::probe_state::InFlight;
use super::rate_limits::{NamedLimit, read_limit};
use super::store::HeaderNames;
use super::upstream_notices::{ReadNotice, read_notice};
use crate::connection::exchange::{Connection, ExchangeError, HttpRequest, HttpResponse};
use crate::connection::response_memory::ResponseMemory;
use crate::decision::crash_suspects::UpstreamLifetime;
use crate::decision::directory::{Directory, UpstreamReport};
use crate::decision::ejection::{EjectionState, Evidence};
use crate::decision::known_loads::KnownLoad;
use crate::decision::manifest::Manifest;
use crate::decision::selection::{Load, Reading, USUAL_SPEED_PERCENT};

/// Timeout for opening a connection; within a region only the loss of two packets
/// takes longer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a probe, including a new connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of the connection that shows whether an upstream still listens; longer
/// waits would delay the retry of a request whose connection was closed.
const LISTEN_CHECK_TIMEOUT: Duration = Duration::from_millis(50);
/// Time in which a proxy whose target does not listen closes a new connection.
const CLOSE_WAIT: Duration = Duration::from_millis(10);
/// Memory for the response to a probe, which has no body of use.
const PROBE_MEMORY_BYTES: usize = 64 * 1024;
/// Idle connections kept per upstream, if its connections suffice for that.
const MAX_IDLE_CONNECTIONS: usize = 3;
/// Part of an upstream's connections that the idle ones of all instances may take: the
/// rest is for requests in flight.
const IDLE_DIVISOR: usize = 2;
/// Cold time assumed if an upstream reports an invalid one; any above 0 makes it
/// count as cold.
const INVALID_COLD_LEFT_MS: u64 = 1;
/// Required fields of a load header.
const MIN_LOAD_FIELDS: usize = 3;

/// Why a probe gave no reading.
#[derive(Debug, Error)]
pub enum ProbeError {
    /// No connection could be opened.
    #[error("cannot connect: {0}")]
    Unreachable(std::io::Error),
    /// The probe timed out.
    #[error("probe timed out")]
    Timeout,
    /// The connection failed, or the response was invalid.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// Another upstream listens at the address now.
    #[error("another upstream responded at its address")]
    WrongUpstream,
}

/// What a new connection shows about the process behind an upstream's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ListenState {
    /// The connection was refused: no process listens.
    Refused,
    /// The connection was accepted.
    Accepted,
    /// The connection was accepted and closed at once, as by a proxy whose target does
    /// not listen, or an upstream with too many connections.
    Closed,
    /// The attempt timed out or failed for another reason.
    Unknown,
}

/// The response to a probe.
#[derive(Debug)]
pub struct ProbeResponse {
    /// The connection of the probe, for the request.
    pub connection: Connection,
    /// Load and health of the upstream.
    pub reading: Reading,
    /// The limit that the response names.
    pub named_limit: NamedLimit,
    /// What it says about whether the upstream takes requests.
    pub notice: Option<ReadNotice>,
}

/// Client of one upstream process.
#[derive(Debug)]
pub struct UpstreamClient {
    /// Unique name of the upstream.
    pub id: Arc<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Start of its process, in Unix milliseconds; 0 if unknown.
    started_at_ms: u64,
    idle_connections: Mutex<Vec<Connection>>,
    max_idle: AtomicUsize,
    ejection: Mutex<EjectionState>,
    known_load: Mutex<KnownLoad>,
    /// The ejection state before the failures since an answer, and the number of answers
    /// until then.
    before_failures: Mutex<Option<(u64, EjectionState)>>,
}

impl UpstreamClient {
    fn new(report: &UpstreamReport) -> Self {
        Self {
            id: Arc::clone(&report.id),
            address: report.address,
            started_at_ms: report.started_at_ms,
            idle_connections: Mutex::default(),
            max_idle: AtomicUsize::new(MAX_IDLE_CONNECTIONS),
            ejection: Mutex::default(),
            known_load: Mutex::default(),
            before_failures: Mutex::default(),
        }
    }

    /// Whether this client belongs to the process that sent the report.
    fn matches_report(&self, report: &UpstreamReport) -> bool {
        self.address == report.address && self.started_at_ms == report.started_at_ms
    }

    /// Locks the upstream's ejection state, as seen from this instance.
    pub fn ejection(&self) -> MutexGuard<'_, EjectionState> {
        self.ejection.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is known of the upstream's load without a probe.
    pub fn known_load(&self) -> MutexGuard<'_, KnownLoad> {
        self.known_load
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request in flight at the upstream until the result is dropped.
    #[must_use]
    pub fn begin_request(&self) -> InFlight<'_> {
        InFlight::begin(&self.known_load)
    }

    /// Remembers the ejection state before the first failure since the last answer of any
    /// upstream, which is the `answers`th one.
    pub fn remember_ejection(&self, answers: u64) {
        let mut before = self.lock_before_failures();
        if before.as_ref().is_none_or(|(at, _)| *at != answers) {
            *before = Some((answers, self.ejection().clone()));
        }
    }

    /// Forgets the failures since the last answer of any upstream.
    fn restore_ejection(&self, answers: u64) {
        if let Some((at, mut state)) = self.lock_before_failures().take()
            && at == answers
        {
            state.on_abandoned();
            *self.ejection() = state;
        }
    }

    fn lock_before_failures(&self) -> MutexGuard<'_, Option<(u64, EjectionState)>> {
        self.before_failures
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether there is an idle connection.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        !self.lock_idle().is_empty()
    }

    /// Takes an idle connection that its upstream has not closed.
    pub fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.lock_idle();
        while let Some(connection) = idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// The upstream process that this client belongs to.
    #[must_use]
    pub fn lifetime(&self) -> UpstreamLifetime {
        UpstreamLifetime {
            upstream: Arc::clone(&self.id),
            started_at_ms: self.started_at_ms,
        }
    }

    /// Opens a connection to find out whether the upstream still listens, and keeps
    /// it for reuse.
    pub async fn check_listens(&self, metrics: &Metrics) -> ListenState {
        metrics.connections_opened.inc();
        match Connection::open(self.address, LISTEN_CHECK_TIMEOUT).await {
            Ok(connection) => {
                self.release(connection);
                ListenState::Accepted
            }
            Err(error) => listen_state(&error),
        }
    }

    /// Like [`UpstreamClient::check_listens`], but also waits whether the upstream keeps
    /// the connection open.
    pub async fn check_accepts(&self, metrics: &Metrics) -> ListenState {
        metrics.connections_opened.inc();
        match Connection::open(self.address, LISTEN_CHECK_TIMEOUT).await {
            Ok(connection) => {
                sleep(CLOSE_WAIT).await;
                if !connection.is_usable() {
                    return ListenState::Closed;
                }
                self.release(connection);
                ListenState::Accepted
            }
            Err(error) => listen_state(&error),
        }
    }

    /// Puts a connection back for reuse, unless it is unusable or enough are idle.
    pub fn release(&self, connection: Connection) {
        if !connection.is_usable() {
            return;
        }
        let mut idle = self.lock_idle();
        if idle.len() < self.max_idle.load(Ordering::Relaxed) {
            idle.push(connection);
        }
    }

    /// Closes idle connections that have expired or were closed by the upstream, and those
    /// beyond this instance's part of the connections that the upstream accepts.
    fn limit_idle(&self, max_connections: Option<u32>, instances: usize) {
        let accepted = max_connections.and_then(|max| usize::try_from(max).ok());
        let share = accepted.unwrap_or(usize::MAX) / IDLE_DIVISOR / instances.max(1);
        let max_idle = share.clamp(1, MAX_IDLE_CONNECTIONS);
        self.max_idle.store(max_idle, Ordering::Relaxed);
        let mut idle = self.lock_idle();
        idle.retain(Connection::is_usable);
        idle.truncate(max_idle);
    }

    /// Number of idle connections.
    #[must_use]
    pub fn idle_connections(&self) -> usize {
        self.lock_idle().len()
    }

    /// Returns the probe's connection, or a new one if the upstream closes it.
    ///
    /// # Errors
    /// [`ProbeError::Unreachable`] if no new connection can be opened; nothing has
    /// been sent in this case.
    pub async fn reuse_or_open(
        &self,
        connection: Connection,
        metrics: &Metrics,
    ) -> Result<Connection, ProbeError> {
        if connection.is_usable() {
            return Ok(connection);
        }
        self.open(metrics).await
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// [`ProbeError::Unreachable`] if that fails.
    pub async fn open(&self, metrics: &Metrics) -> Result<Connection, ProbeError> {
        self.open_within(metrics, CONNECT_TIMEOUT).await
    }

    async fn open_within(
        &self,
        metrics: &Metrics,
        limit: Duration,
    ) -> Result<Connection, ProbeError> {
        metrics.connections_opened.inc();
        Connection::open(self.address, limit)
            .await
            .map_err(ProbeError::Unreachable)
    }

    /// Probes the upstream on the connection that a request would use.
    ///
    /// # Errors
    /// Returns an error if there is no valid response from this upstream within
    /// 500 ms; the connection is closed in this case.
    pub async fn probe(
        &self,
        names: &HeaderNames,
        health_path: &str,
        metrics: &Metrics,
    ) -> Result<ProbeResponse, ProbeError> {
        let probe = self.probe_once(names, health_path, metrics);
        match tokio::time::timeout(PROBE_TIMEOUT, probe).await {
            Ok(probed) => probed,
            Err(_) => Err(ProbeError::Timeout),
        }
    }

    /// Like [`UpstreamClient::probe`], on a new connection and without a timeout of the
    /// response.
    ///
    /// # Errors
    /// As [`UpstreamClient::probe`].
    pub async fn probe_on_new(
        &self,
        names: &HeaderNames,
        health_path: &str,
        metrics: &Metrics,
        connect_timeout: Duration,
    ) -> Result<ProbeResponse, ProbeError> {
        metrics.probes.inc();
        let connection = self.open_within(metrics, connect_timeout).await?;
        self.probe_on(connection, names, health_path).await
    }

    /// Like [`UpstreamClient::probe`], on a connection of this client and without a timeout.
    ///
    /// # Errors
    /// As [`UpstreamClient::probe`].
    pub async fn probe_on_kept(
        &self,
        connection: Connection,
        names: &HeaderNames,
        health_path: &str,
        metrics: &Metrics,
    ) -> Result<ProbeResponse, ProbeError> {
        metrics.probes.inc();
        self.probe_on(connection, names, health_path).await
    }

    async fn probe_once(
        &self,
        names: &HeaderNames,
        health_path: &str,
        metrics: &Metrics,
    ) -> Result<ProbeResponse, ProbeError> {
        metrics.probes.inc();
        if let Some(connection) = self.take_idle() {
            // The upstream may have dropped an idle connection; then all idle ones
            // are closed, and the probe is sent on a new one.
            match self.probe_on(connection, names, health_path).await {
                Err(ProbeError::Exchange(ExchangeError::Disconnected(_))) => {
                    self.lock_idle().clear();
                }
                probed => return probed,
            }
        }
        let connection = self.open(metrics).await?;
        self.probe_on(connection, names, health_path).await
    }

    async fn probe_on(
        &self,
        mut connection: Connection,
        names: &HeaderNames,
        health_path: &str,
    ) -> Result<ProbeResponse, ProbeError> {
        let request = self.probe_request(names, health_path);
        let id_header = Some(&names.request_id);
        let memory = ResponseMemory::new(PROBE_MEMORY_BYTES);
        let response = connection
            .probe_within(&request, id_header, &memory)
            .await?;
        self.probe_response(names, connection, &response)
    }

    fn probe_response(
        &self,
        names: &HeaderNames,
        connection: Connection,
        response: &HttpResponse,
    ) -> Result<ProbeResponse, ProbeError> {
        Ok(ProbeResponse {
            connection,
            reading: self.parse_reading(names, response)?,
            named_limit: read_limit(&response.headers, &names.rate_limit),
            notice: read_notice(response, names, &self.id),
        })
    }

    fn probe_request(&self, names: &HeaderNames, health_path: &str) -> HttpRequest {
        static NEXT_PROBE_NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NEXT_PROBE_NUMBER.fetch_add(1, Ordering::Relaxed);
        let mut headers = HeaderMap::with_capacity(4);
        let host = self.address.to_string();
        for (name, value) in [
            (&HOST, host),
            (&names.request_id, format!("probe-{number}")),
            (&names.expected_upstream, self.id.to_string()),
        ] {
            if let Ok(value) = HeaderValue::from_str(&value) {
                headers.insert(name, value);
            }
        }
        HttpRequest {
            method: Method::GET,
            target: health_path.to_owned(),
            headers,
            body: Bytes::new(),
        }
    }

    fn parse_reading(
        &self,
        names: &HeaderNames,
        response: &HttpResponse,
    ) -> Result<Reading, ProbeError> {
        let is_wrong_upstream = response.status == StatusCode::MISDIRECTED_REQUEST
            || header_text(&response.headers, &names.upstream).is_some_and(|id| id != &*self.id);
        if is_wrong_upstream {
            return Err(ProbeError::WrongUpstream);
        }
        Ok(Reading {
            load: self.parse_load_header(names, &response.headers),
            cold_left_ms: self.parse_cold_left_ms(names, &response.headers),
            is_healthy: response.status.is_success(),
        })
    }

    /// The load that a response names, if it is valid.
    #[must_use]
    pub fn parse_load_header(&self, names: &HeaderNames, headers: &HeaderMap) -> Option<Load> {
        let value = headers.get(&names.load)?;
        let load = value.to_str().ok().and_then(parse_load);
        if load.is_none() {
            tracing::warn!(upstream = %self.id, ?value, "invalid load header; load unknown");
        }
        load
    }

    /// An upstream that reports an invalid cold time counts as cold.
    fn parse_cold_left_ms(&self, names: &HeaderNames, headers: &HeaderMap) -> u64 {
        let Some(value) = headers.get(&names.cold_left_ms) else {
            return 0;
        };
        let left_ms = value
            .to_str()
            .ok()
            .and_then(|text| text.trim().parse().ok());
        left_ms.unwrap_or_else(|| {
            tracing::warn!(upstream = %self.id, ?value, "invalid cold time; counting as cold");
            INVALID_COLD_LEFT_MS
        })
    }
}

fn listen_state(error: &std::io::Error) -> ListenState {
    match error.kind() {
        std::io::ErrorKind::ConnectionRefused => ListenState::Refused,
        std::io::ErrorKind::ConnectionReset => ListenState::Closed,
        _ => ListenState::Unknown,
    }
}

fn header_text<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

/// Parses a load header: running, waiting, slots and optionally the speed in
/// percent, separated by commas; `None` if it is invalid.
#[must_use]
pub fn parse_load(text: &str) -> Option<Load> {
    let fields: Vec<f64> = text
        .split(',')
        .map(|field| field.trim().parse().ok())
        .collect::<Option<_>>()?;
    if fields.len() < MIN_LOAD_FIELDS || fields.iter().any(|field| !(0.0..1e6).contains(field)) {
        return None;
    }
    Some(Load {
        running: to_u32(fields[0]),
        waiting: to_u32(fields[1]),
        slots: to_u32(fields[2]).max(1),
        speed_percent: fields.get(3).copied().unwrap_or(USUAL_SPEED_PERCENT),
    })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is between 0 and a million"
)]
fn to_u32(number: f64) -> u32 {
    number as u32
}

/// Clients of all upstreams, by the upstreams' names.
#[derive(Debug, Default)]
pub struct UpstreamClients {
    by_id: Mutex<HashMap<Arc<str>, Arc<UpstreamClient>>>,
}

impl UpstreamClients {
    /// Returns an upstream's client; a restarted upstream gets a new one, with a
    /// fresh ejection state.
    pub fn get(&self, report: &UpstreamReport) -> Arc<UpstreamClient> {
        let mut by_id = self.by_id();
        let known = by_id.get(&report.id);
        if let Some(client) = known.filter(|client| client.matches_report(report)) {
            return Arc::clone(client);
        }
        let client = Arc::new(UpstreamClient::new(report));
        by_id.insert(Arc::clone(&report.id), Arc::clone(&client));
        client
    }

    /// Drops the clients of upstreams that left, and idle connections that are no longer
    /// usable or more than this one of `instances` may keep.
    pub fn prune(&self, directory: &Directory, manifest: Option<&Manifest>, instances: usize) {
        self.by_id().retain(|id, client| {
            let Some(upstream) = directory.get(id) else {
                return false;
            };
            let service = &upstream.report.service;
            let spec = manifest.and_then(|manifest| manifest.services.get(service));
            client.limit_idle(spec.and_then(|spec| spec.max_connections), instances);
            true
        });
    }

    /// Forgets the failures of all upstreams since the last answer of any of them, which
    /// is the `answers`th one.
    pub fn restore_ejections(&self, answers: u64) {
        for client in self.by_id().values() {
            client.restore_ejection(answers);
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        for client in self.by_id().values() {
            client.lock_idle().clear();
        }
    }

    fn by_id(&self) -> MutexGuard<'_, HashMap<Arc<str>, Arc<UpstreamClient>>> {
        self.by_id.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Classifies a failed probe for the upstream's ejection state.
#[must_use]
pub fn evidence_of(error: &ProbeError) -> Evidence {
    match error {
        ProbeError::Unreachable(_) | ProbeError::WrongUpstream => Evidence::Unreachable,
        ProbeError::Timeout | ProbeError::Exchange(_) => Evidence::Failed,
    }
}

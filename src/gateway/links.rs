//! Connections to upstreams, and what this instance has seen of each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use thiserror::Error;

use super::meters::Meters;
use super::store::HeaderNames;
use crate::connection::exchange::{Answer, Connection, ExchangeError, Outgoing};
use crate::decision::directory::{Directory, UpstreamReport};
use crate::decision::ejection::{EjectionState, Evidence};
use crate::decision::selection::{Load, Reading, USUAL_SPEED_PERCENT};

/// Time in which a connection must stand: two lost packets within a region
/// would take longer.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Time after which the answer to a probe is no longer awaited.
const PROBE_LIMIT: Duration = Duration::from_millis(500);
/// Idle connections that are kept to one upstream.
const IDLE_MAX: usize = 3;
/// Cold time of an upstream that tells one that cannot be read; any above zero.
const COLD_UNREADABLE_MS: u64 = 1;
/// Figures of a load header that must be there.
const LOAD_FIGURES: usize = 3;

/// Why a probe gave no reading.
#[derive(Debug, Error)]
pub enum ProbeError {
    /// No connection could be opened.
    #[error("no connection: {0}")]
    Unreachable(std::io::Error),
    /// It did not answer in time.
    #[error("no answer in time")]
    Silent,
    /// The exchange failed.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// Another upstream has the address now.
    #[error("another upstream has its address")]
    OtherUpstream,
}

/// One upstream as this instance reaches it.
#[derive(Debug)]
pub struct Link {
    /// Name of the upstream.
    pub id: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Start of its process.
    started_at_ms: u64,
    idle: Mutex<Vec<Connection>>,
    condition: Mutex<EjectionState>,
}

impl Link {
    fn new(report: &UpstreamReport) -> Self {
        Self {
            id: Arc::clone(&report.id),
            address: report.address,
            started_at_ms: report.started_at_ms,
            idle: Mutex::default(),
            condition: Mutex::default(),
        }
    }

    /// Whether this is a link to the process that reports.
    fn is_to(&self, report: &UpstreamReport) -> bool {
        self.address == report.address && self.started_at_ms == report.started_at_ms
    }

    /// What the outcomes so far say of it.
    pub fn condition(&self) -> MutexGuard<'_, EjectionState> {
        self.condition
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a connection waits for a request.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        !self.idle().is_empty()
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle();
        while let Some(connection) = idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request, if it may serve one.
    pub fn give_back(&self, connection: Connection) {
        if !connection.is_usable() {
            return;
        }
        let mut idle = self.idle();
        if idle.len() < IDLE_MAX {
            idle.push(connection);
        }
    }

    /// Closes the connections that may not be used any more.
    fn close_expired(&self) {
        self.idle().retain(Connection::is_usable);
    }

    /// The connection of a probe, or a new one where the upstream closes that.
    ///
    /// # Errors
    /// Where no new connection can be opened; nothing has been sent then.
    pub async fn keep_or_open(
        &self,
        probed: Connection,
        meters: &Meters,
    ) -> Result<Connection, ProbeError> {
        if probed.is_usable() {
            return Ok(probed);
        }
        self.open(meters).await
    }

    async fn open(&self, meters: &Meters) -> Result<Connection, ProbeError> {
        meters.connections_opened.inc();
        Connection::open(self.address, CONNECT_LIMIT)
            .await
            .map_err(ProbeError::Unreachable)
    }

    /// Asks for the load on the connection that a request would take.
    ///
    /// # Errors
    /// Where there is no reading; the connection is closed then.
    pub async fn probe(
        &self,
        names: &HeaderNames,
        health_path: &str,
        meters: &Meters,
    ) -> Result<(Connection, Reading), ProbeError> {
        let probe = self.probe_once(names, health_path, meters);
        match tokio::time::timeout(PROBE_LIMIT, probe).await {
            Ok(probed) => probed,
            Err(_) => Err(ProbeError::Silent),
        }
    }

    async fn probe_once(
        &self,
        names: &HeaderNames,
        health_path: &str,
        meters: &Meters,
    ) -> Result<(Connection, Reading), ProbeError> {
        meters.probes.inc();
        let request = self.probe_request(names, health_path);
        if let Some(mut connection) = self.take_idle() {
            // An idle connection may have been forgotten by the other side.
            match connection.exchange(&request, Some(&names.request_id)).await {
                Ok(answer) => return Ok((connection, self.read(names, &answer)?)),
                Err(ExchangeError::Cut(_)) => self.idle().clear(),
                Err(error) => return Err(error.into()),
            }
        }
        let mut connection = self.open(meters).await?;
        let answer = connection
            .exchange(&request, Some(&names.request_id))
            .await?;
        Ok((connection, self.read(names, &answer)?))
    }

    fn probe_request(&self, names: &HeaderNames, health_path: &str) -> Outgoing {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
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
        Outgoing {
            method: Method::GET,
            target: health_path.to_owned(),
            headers,
            body: Bytes::new(),
        }
    }

    fn read(&self, names: &HeaderNames, answer: &Answer) -> Result<Reading, ProbeError> {
        let is_other = answer.status == StatusCode::MISDIRECTED_REQUEST
            || text(&answer.headers, &names.upstream).is_some_and(|id| id != &*self.id);
        if is_other {
            return Err(ProbeError::OtherUpstream);
        }
        Ok(Reading {
            load: self.read_load(names, &answer.headers),
            cold_left_ms: self.read_cold_left_ms(names, &answer.headers),
            is_healthy: answer.status.is_success(),
        })
    }

    fn read_load(&self, names: &HeaderNames, headers: &HeaderMap) -> Option<Load> {
        let told = headers.get(&names.load)?;
        let load = told.to_str().ok().and_then(parse_load);
        if load.is_none() {
            tracing::warn!(upstream = %self.id, ?told, "the load cannot be read; taken as untold");
        }
        load
    }

    /// An upstream whose cold time cannot be read counts as cold.
    fn read_cold_left_ms(&self, names: &HeaderNames, headers: &HeaderMap) -> u64 {
        let Some(told) = headers.get(&names.cold_left_ms) else {
            return 0;
        };
        let left_ms = told.to_str().ok().and_then(|text| text.trim().parse().ok());
        left_ms.unwrap_or_else(|| {
            tracing::warn!(upstream = %self.id, ?told, "the cold time cannot be read");
            COLD_UNREADABLE_MS
        })
    }
}

fn text<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

/// Reads a load header: running, waiting, slots and, optionally, the speed.
#[must_use]
pub fn parse_load(text: &str) -> Option<Load> {
    let figures: Vec<f64> = text
        .split(',')
        .map(|figure| figure.trim().parse().ok())
        .collect::<Option<_>>()?;
    if figures.len() < LOAD_FIGURES || figures.iter().any(|figure| !(0.0..1e6).contains(figure)) {
        return None;
    }
    Some(Load {
        running: to_u32(figures[0]),
        waiting: to_u32(figures[1]),
        slots: to_u32(figures[2]).max(1),
        speed_percent: figures.get(3).copied().unwrap_or(USUAL_SPEED_PERCENT),
    })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the figure is between 0 and a million"
)]
fn to_u32(figure: f64) -> u32 {
    figure as u32
}

/// All links by the upstreams' names.
#[derive(Debug, Default)]
pub struct Links {
    by_id: Mutex<HashMap<Arc<str>, Arc<Link>>>,
}

impl Links {
    /// The link to an upstream; a new process gets a new one.
    pub fn get(&self, report: &UpstreamReport) -> Arc<Link> {
        let mut by_id = self.by_id();
        let known = by_id.get(&report.id);
        if let Some(link) = known.filter(|link| link.is_to(report)) {
            return Arc::clone(link);
        }
        let link = Arc::new(Link::new(report));
        by_id.insert(Arc::clone(&report.id), Arc::clone(&link));
        link
    }

    /// Drops the links to upstreams that left, and idle connections that may
    /// not be used any more.
    pub fn clean(&self, directory: &Directory) {
        self.by_id().retain(|id, link| {
            link.close_expired();
            directory.get(id).is_some()
        });
    }

    fn by_id(&self) -> MutexGuard<'_, HashMap<Arc<str>, Arc<Link>>> {
        self.by_id.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a failed probe says of the upstream.
#[must_use]
pub fn evidence_of(error: &ProbeError) -> Evidence {
    match error {
        ProbeError::Unreachable(_) | ProbeError::OtherUpstream => Evidence::Unreachable,
        ProbeError::Silent | ProbeError::Exchange(_) => Evidence::Failed,
    }
}

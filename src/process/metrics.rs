//! Sends metrics by statsd; `docs/METRICS.md` lists them.

use std::net::{SocketAddr, UdpSocket};

use cadence::{
    CountedExt, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use strum::IntoStaticStr;

/// Prefix of all metric names.
const PREFIX: &str = "chicorywing";
/// Metrics that may be queued for sending; further ones are dropped.
const MAX_QUEUED_METRICS: usize = 16_384;

/// Counters; the variants give the metric names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Calls that ended with a result.
    CallsResult,
    /// Calls that did not run.
    CallsNotRun,
    /// Calls of which it is unknown whether they ran.
    CallsUnknown,
    /// Calls sent to an upstream.
    Sends,
    /// Calls that a pool refused.
    Refusals,
    /// Retries of idempotent calls.
    Retries,
    /// Probes sent to upstreams.
    Probes,
    /// Pools that this instance started or reopened as their holder.
    Takeovers,
    /// Changes of the view of the fleet.
    ViewChanges,
    /// Records of the log that were rejected.
    RecordsRejected,
}

/// Gauges; the variants give the metric names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Gauge {
    /// Configuration version in force.
    Version,
    /// Instances in the view.
    Members,
    /// Idempotency keys in the table.
    Keys,
    /// Age of the copy of the platform's list, in milliseconds.
    ListAgeMs,
}

/// Timers in microseconds; the variants give the metric names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Timer {
    /// From a call's arrival to its answer.
    CallUs,
    /// From a call's arrival at its pool until it is assigned a slot.
    QueueUs,
}

/// Sends metrics, or drops them if no address is set.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Creates metrics that are sent to `address`, if there is one.
    ///
    /// # Errors
    /// Returns the error of the system if no UDP socket can be opened.
    pub fn new(address: Option<SocketAddr>) -> std::io::Result<Self> {
        let Some(address) = address else {
            return Ok(Self::disabled());
        };
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
        Ok(Self {
            client: StatsdClient::from_sink(PREFIX, sink),
        })
    }

    /// Creates metrics that are dropped.
    #[must_use]
    pub fn disabled() -> Self {
        Self {
            client: StatsdClient::from_sink(PREFIX, NopMetricSink),
        }
    }

    /// Increments a counter.
    pub fn count(&self, counter: Counter) {
        let name: &'static str = counter.into();
        // A lost metric must not fail a call.
        let _ = self.client.incr(name);
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, value: u64) {
        let name: &'static str = gauge.into();
        let _ = self.client.gauge(name, value);
    }

    /// Records a time, in microseconds.
    pub fn record_time(&self, timer: Timer, time_us: u64) {
        let name: &'static str = timer.into();
        let _ = self.client.time(name, time_us);
    }
}

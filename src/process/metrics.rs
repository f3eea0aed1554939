//! Metrics by statsd; `docs/METRICS.md` lists them.

use std::net::{SocketAddr, UdpSocket};

use cadence::{
    CountedExt, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use strum::IntoStaticStr;

/// Prefix of all names.
const PREFIX: &str = "chicorywing";
/// Metrics that may wait to be sent before new ones are dropped.
const MAX_QUEUED_METRICS: usize = 16_384;

/// Counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Calls that ended with a result.
    CallsResult,
    /// Calls that did not run.
    CallsNotRun,
    /// Calls of which nobody can say whether they ran.
    CallsUnknown,
    /// Calls sent to an upstream.
    Sends,
    /// Calls that a pool turned down.
    Refusals,
    /// Repeated attempts of calls that may be repeated.
    Retries,
    /// Probes sent to upstreams.
    Probes,
    /// Pools taken over from another instance.
    Takeovers,
    /// Changes of the view of the fleet.
    ViewChanges,
    /// Records of the log that were turned down.
    RecordsRejected,
}

/// Gauges.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Gauge {
    /// Version in force.
    Version,
    /// Instances in the view.
    Members,
    /// Keys in the register.
    Keys,
    /// Age of the copy of the list, in milliseconds.
    ListAgeMs,
}

/// Timers, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Timer {
    /// From a call's arrival to its answer.
    CallUs,
    /// From a call's arrival at its pool to its sending.
    QueueUs,
}

/// Sends metrics, or drops them where no address is set.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Metrics that go to `address`.
    ///
    /// # Errors
    /// Where no UDP socket can be opened.
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

    /// Metrics that go nowhere.
    #[must_use]
    pub fn disabled() -> Self {
        Self {
            client: StatsdClient::from_sink(PREFIX, NopMetricSink),
        }
    }

    /// Adds one.
    pub fn count(&self, counter: Counter) {
        let name: &'static str = counter.into();
        // A metric that is lost is not worth a failed call.
        let _ = self.client.incr(name);
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, value: u64) {
        let name: &'static str = gauge.into();
        let _ = self.client.gauge(name, value);
    }

    /// Adds a time.
    pub fn record_time(&self, timer: Timer, time_us: u64) {
        let name: &'static str = timer.into();
        let _ = self.client.time(name, time_us);
    }
}

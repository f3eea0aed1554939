//! Prometheus metrics, served as text at the metrics address.

use std::fmt::Write as _;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::info::Info;
use prometheus_client::registry::Registry;

use super::outcome::Reason;
use super::peer_format::{BUILD, Format};
use crate::decision::manifest::Manifest;
use crate::decision::organisations::Organisations;
use crate::decision::rollout::State;

/// Upper bounds of the histogram buckets, in seconds.
const TIME_BUCKETS_S: [f64; 12] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0,
];

/// How a request, send or store call ended; for a request its status class, or the
/// reason of a response that the gateway made itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EndLabel(pub &'static str);

impl EncodeLabelValue for EndLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), std::fmt::Error> {
        encoder.write_str(self.0)
    }
}

/// Label set of the counters by outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    /// Value of the label `end`.
    pub end: EndLabel,
}

/// Label set of the gauges by format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FormatLabels {
    /// Value of the label `format`.
    pub format: EndLabel,
}

/// Label set of the gauges by service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// Value of the label `service`.
    pub service: String,
}

/// Label set of the gauges by service and receiving data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TrafficLabels {
    service: String,
    data_centre: String,
}

type EndCounters = Family<EndLabels, Counter>;

/// All metrics of the process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: EndCounters,
    sends: EndCounters,
    overdue: EndCounters,
    send_permits: EndCounters,
    allowances: EndCounters,
    handed: EndCounters,
    long_values: EndCounters,
    denied_keys: EndCounters,
    known_loads: EndCounters,
    shared_requests: EndCounters,
    preferred: Family<ServiceLabels, Gauge<u64, AtomicU64>>,
    peers: Family<FormatLabels, Gauge<u64, AtomicU64>>,
    leaving_share: Family<TrafficLabels, Gauge<f64, AtomicU64>>,
    /// Calls to other instances that were not made, since their builds do not know them.
    pub unknown_calls: Counter,
    /// 1 while no upstream answers this instance, otherwise 0.
    pub cut_off: Gauge<u64, AtomicU64>,
    /// Requests of other instances that run here.
    pub taken: Gauge<u64, AtomicU64>,
    /// Upstreams whose permits this instance gives out.
    pub issued_limits: Gauge<u64, AtomicU64>,
    /// Organisations whose tokens this instance gives out.
    pub issued_allowances: Gauge<u64, AtomicU64>,
    /// Sends beyond the first one of a request.
    pub retries: Counter,
    /// Probes of an upstream's load.
    pub probes: Counter,
    /// Probes without a valid result.
    pub probes_failed: Counter,
    /// Connections opened to upstreams.
    pub connections_opened: Counter,
    /// Times that an upstream was ejected.
    pub ejections: Counter,
    /// Upstreams with a limit on the rate of their requests.
    pub limited_upstreams: Gauge<u64, AtomicU64>,
    /// Upstreams that say that they leave.
    pub leaving_upstreams: Gauge<u64, AtomicU64>,
    /// Upstreams that want nothing for a time.
    pub quiet_upstreams: Gauge<u64, AtomicU64>,
    /// Upstreams that ended while a request of this instance was in flight there.
    pub upstream_ends: Counter,
    /// Contents of requests under which upstreams ended.
    pub suspects: Gauge<u64, AtomicU64>,
    /// Contents with a stopped request.
    pub stopped_requests: Gauge<u64, AtomicU64>,
    store_calls: EndCounters,
    /// Version of the manifest in use.
    version: Gauge<u64, AtomicU64>,
    /// Values of that version that this build cannot read.
    unread_values: Gauge<u64, AtomicU64>,
    /// Organisations of that version.
    organisations: Gauge<u64, AtomicU64>,
    /// Time since the store confirmed the operators' records, when last asked.
    pub operator_records_age_ms: Gauge<u64, AtomicU64>,
    /// Number of known upstreams.
    pub upstreams: Gauge<u64, AtomicU64>,
    /// Statuses of roll-outs that were taken over, by state.
    rollouts: EndCounters,
    /// Requests to upstreams of a new version.
    pub rollout_sends: Counter,
    /// Requests in flight.
    pub in_flight: Gauge<u64, AtomicU64>,
    /// Time from a request to its final response.
    pub request_s: Histogram,
    /// Time from a request to its first send.
    pub held_s: Histogram,
    /// Time from a send to the upstream's complete response.
    pub upstream_s: Histogram,
}

impl Metrics {
    /// Registers all metrics at zero.
    #[must_use]
    pub fn new() -> Self {
        let time = || Histogram::new(TIME_BUCKETS_S);
        let mut metrics = Self {
            registry: Registry::with_prefix("chicorywing"),
            requests: EndCounters::default(),
            sends: EndCounters::default(),
            overdue: EndCounters::default(),
            send_permits: EndCounters::default(),
            allowances: EndCounters::default(),
            handed: EndCounters::default(),
            long_values: EndCounters::default(),
            denied_keys: EndCounters::default(),
            known_loads: EndCounters::default(),
            shared_requests: EndCounters::default(),
            preferred: Family::default(),
            peers: Family::default(),
            leaving_share: Family::default(),
            unknown_calls: Counter::default(),
            cut_off: Gauge::default(),
            taken: Gauge::default(),
            issued_limits: Gauge::default(),
            issued_allowances: Gauge::default(),
            retries: Counter::default(),
            probes: Counter::default(),
            probes_failed: Counter::default(),
            connections_opened: Counter::default(),
            ejections: Counter::default(),
            limited_upstreams: Gauge::default(),
            leaving_upstreams: Gauge::default(),
            quiet_upstreams: Gauge::default(),
            upstream_ends: Counter::default(),
            suspects: Gauge::default(),
            stopped_requests: Gauge::default(),
            store_calls: EndCounters::default(),
            version: Gauge::default(),
            unread_values: Gauge::default(),
            organisations: Gauge::default(),
            operator_records_age_ms: Gauge::default(),
            upstreams: Gauge::default(),
            rollouts: EndCounters::default(),
            rollout_sends: Counter::default(),
            in_flight: Gauge::default(),
            request_s: time(),
            held_s: time(),
            upstream_s: time(),
        };
        metrics.register();
        metrics.register_access();
        metrics.register_allowances();
        metrics.register_load();
        metrics
    }

    fn register_allowances(&mut self) {
        self.registry.register(
            "allowances",
            "Requests of organisations with an allowance, by whether they were admitted",
            self.allowances.clone(),
        );
        self.registry.register(
            "issued_allowances",
            "Organisations whose tokens this instance gives out",
            self.issued_allowances.clone(),
        );
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests by how they ended",
            self.requests.clone(),
        );
        registry.register(
            "sends",
            "Sends to upstreams by how they ended",
            self.sends.clone(),
        );
        registry.register(
            "overdue_attempts",
            "Attempts beside which another may begin, by cause",
            self.overdue.clone(),
        );
        registry.register("repeats", "Sends beyond the first", self.retries.clone());
        registry.register("probes", "Questions for the load", self.probes.clone());
        let failed = self.probes_failed.clone();
        registry.register("probes_failed", "Questions without a reading", failed);
        let opened = self.connections_opened.clone();
        registry.register("connections_opened", "Connections to upstreams", opened);
        registry.register("ejections", "Upstreams ejected", self.ejections.clone());
        let permits = self.send_permits.clone();
        registry.register(
            "send_permits",
            "Permits asked for by how that ended",
            permits,
        );
        let handed = self.handed.clone();
        registry.register("handed", "Requests handed over by how that ended", handed);
        let values = self.long_values.clone();
        registry.register(
            "long_values",
            "Long values by how they were received",
            values,
        );
        let build = Info::new([("version", BUILD)]);
        registry.register("build", "Version of this build", build);
        let peers = self.peers.clone();
        registry.register("peers", "Instances by the format of calls to them", peers);
        let unknown = self.unknown_calls.clone();
        registry.register("unknown_calls", "Calls that another build lacks", unknown);
        let cut_off = self.cut_off.clone();
        registry.register("cut_off", "Whether no upstream answers", cut_off);
        let taken = self.taken.clone();
        registry.register("taken", "Requests of other instances that run here", taken);
        let issued = self.issued_limits.clone();
        registry.register(
            "issued_limits",
            "Upstreams whose permits it gives out",
            issued,
        );
        let limited = self.limited_upstreams.clone();
        registry.register("limited_upstreams", "Upstreams that name a limit", limited);
        let leaving = self.leaving_upstreams.clone();
        registry.register("leaving_upstreams", "Upstreams that leave", leaving);
        let quiet = self.quiet_upstreams.clone();
        registry.register("quiet_upstreams", "Upstreams that want nothing now", quiet);
        let ends = self.upstream_ends.clone();
        registry.register("upstream_ends", "Upstreams ended under a request", ends);
        let stopped = self.stopped_requests.clone();
        registry.register("stopped_requests", "Requests stopped", stopped);
        registry.register("suspects", "Suspect requests", self.suspects.clone());
        let calls = self.store_calls.clone();
        registry.register("store_calls", "Calls to the store by how they ended", calls);
        registry.register("version", "Version in force", self.version.clone());
        registry.register(
            "unread_values",
            "Values of the version in force that this build cannot read",
            self.unread_values.clone(),
        );
        let age = self.operator_records_age_ms.clone();
        registry.register(
            "operator_records_age_ms",
            "Time since the store confirmed the operators' records",
            age,
        );
        registry.register("upstreams", "Known upstreams", self.upstreams.clone());
        let rollouts = self.rollouts.clone();
        registry.register("rollouts", "Statuses of roll-outs taken over", rollouts);
        let sends = self.rollout_sends.clone();
        registry.register("rollout_sends", "Sends to new versions", sends);
        registry.register("in_flight", "Requests served now", self.in_flight.clone());
        registry.register(
            "request_seconds",
            "Request to answer",
            self.request_s.clone(),
        );
        registry.register("held_seconds", "Request to first send", self.held_s.clone());
        registry.register(
            "upstream_seconds",
            "Send to answer",
            self.upstream_s.clone(),
        );
    }

    fn register_access(&mut self) {
        let registry = &mut self.registry;
        let denied = self.denied_keys.clone();
        registry.register(
            "denied_keys",
            "Requests without a known key, by cause",
            denied,
        );
        let organisations = self.organisations.clone();
        registry.register(
            "organisations",
            "Organisations of the version in force",
            organisations,
        );
    }

    /// Registers what tells of probes and upstreams under load.
    fn register_load(&mut self) {
        let registry = &mut self.registry;
        let known = self.known_loads.clone();
        registry.register(
            "known_load_choices",
            "Choices without probe budget by how they ended",
            known,
        );
        let shared = self.shared_requests.clone();
        registry.register(
            "shared_requests",
            "Requests by their part of their organisation's usual demand",
            shared,
        );
        let preferred = self.preferred.clone();
        registry.register(
            "preferred_upstreams",
            "Upstreams that this instance prefers",
            preferred,
        );
        let leaving = self.leaving_share.clone();
        registry.register(
            "leaving_share",
            "Share of a service's requests for another data centre",
            leaving,
        );
    }

    /// Shows the version in force.
    pub fn on_version(&self, manifest: &Manifest) {
        self.version.set(manifest.version);
        let unread = u64::try_from(manifest.unread.len()).unwrap_or(u64::MAX);
        self.unread_values.set(unread);
        let organisations = manifest.organisations().map_or(0, Organisations::len);
        let organisations = u64::try_from(organisations).unwrap_or(u64::MAX);
        self.organisations.set(organisations);
    }

    /// Counts a finished request; see [`end_label`].
    pub fn on_request(&self, end: &'static str) {
        count(&self.requests, end);
    }

    /// Counts a send to an upstream by its outcome.
    pub fn on_send(&self, end: &'static str) {
        count(&self.sends, end);
    }

    /// Counts an attempt that takes longer than expected by its cause.
    pub fn on_overdue(&self, cause: &'static str) {
        count(&self.overdue, cause);
    }

    /// Counts a request for a permit to send to a limited upstream by its outcome.
    pub fn on_send_permit(&self, end: &'static str) {
        count(&self.send_permits, end);
    }

    /// Counts a long value that another instance told of by how it was received.
    pub fn on_long_value(&self, end: &'static str) {
        count(&self.long_values, end);
    }

    /// Counts a request that is refused for want of a known key by its cause.
    pub fn on_denied_key(&self, why: &'static str) {
        count(&self.denied_keys, why);
    }

    /// Counts a request by whether it is part of its organisation's usual demand.
    pub fn on_shared_request(&self, end: &'static str) {
        count(&self.shared_requests, end);
    }

    /// Counts a choice of an upstream by known loads by its outcome.
    pub fn on_known_load(&self, end: &'static str) {
        count(&self.known_loads, end);
    }

    /// Counts a request that was handed to another instance by its outcome.
    pub fn on_handed(&self, end: &'static str) {
        count(&self.handed, end);
    }

    /// Counts a request of an organisation with an allowance.
    pub fn on_allowance(&self, end: &'static str) {
        count(&self.allowances, end);
    }

    /// Sets the number of instances that are called in a format.
    pub fn set_peers(&self, format: Format, count: usize) {
        let labels = FormatLabels {
            format: EndLabel(format.name()),
        };
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.peers.get_or_create(&labels).set(count);
    }

    /// Sets the number of preferred upstreams of a service.
    pub fn set_preferred(&self, service: &str, count: usize) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.preferred.get_or_create(&labels).set(count);
    }

    /// Counts a status of a roll-out that was taken over.
    pub fn on_rollout(&self, state: State) {
        let end = match state {
            State::Running => "running",
            State::Completed => "completed",
            State::RolledBack => "rolled_back",
        };
        count(&self.rollouts, end);
    }

    /// Sets the share of a service's requests that goes to another data centre.
    pub fn set_leaving_share(&self, service: &str, data_centre: &str, share: f64) {
        let labels = TrafficLabels {
            service: service.to_owned(),
            data_centre: data_centre.to_owned(),
        };
        self.leaving_share.get_or_create(&labels).set(share);
    }

    /// Removes the shares of all services.
    pub fn clear_leaving_shares(&self) {
        self.leaving_share.clear();
    }

    /// Counts a call to the store as answered or failed.
    pub fn on_store_call(&self, is_answered: bool) {
        count(
            &self.store_calls,
            if is_answered { "answered" } else { "failed" },
        );
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            tracing::warn!(%error, "failed to encode the metrics");
        }
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn count(family: &EndCounters, end: &'static str) {
    let labels = EndLabels { end: EndLabel(end) };
    family.get_or_create(&labels).inc();
}

/// The label under which a request is counted: the reason if the gateway made the
/// response itself, otherwise the status class.
#[must_use]
pub fn end_label(status: http::StatusCode, reason: Option<Reason>) -> &'static str {
    if let Some(reason) = reason {
        return reason.into();
    }
    match status.as_u16() {
        200..=299 => "2xx",
        300..=399 => "3xx",
        400..=499 => "4xx",
        _ => "5xx",
    }
}

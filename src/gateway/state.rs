//! State shared by all requests of the process.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::allowances::AllowanceState;
use super::calls::{BodyMemory, to_ms};
use super::locality::LocalityState;
use super::logging::LogBudget;
use super::metrics::Metrics;
use super::offers::OfferState;
use super::packed_values::PackedValues;
use super::peers::Peers;
use super::probe_state::ProbeState;
use super::probing::ProbeWaits;
use super::rate_limits::LimitState;
use super::rollouts::Rollouts;
use super::settings::Settings;
use super::store::{Platform, Records, Stream};
use super::store_trials::ReaderSearch;
use super::stream_ages::StreamAges;
use super::suspects::SuspectState;
use super::taken::TakenState;
use super::upstream_client::UpstreamClients;
use super::upstream_contact::ContactState;
use super::upstream_notices::NoticeState;
use super::view::{Event, Extent, View};
use super::view_log;
use crate::connection::arrivals::Arrivals;
use crate::connection::response_memory::ResponseMemory;
use crate::decision::cold_limiter::{ColdLimit, ColdLimiter};
use crate::decision::directory::Upstream;
use crate::decision::manifest::{Manifest, Route};
use crate::decision::retry_budget::RetryBudget;
use crate::decision::route_times::{RouteMeans, RouteTimes};
use crate::decision::stop_time::StopTime;
use crate::decision::traffic_split::TrafficSplitter;

/// Time after the store recovers in which a removed entry may merely have lapsed,
/// since its upstream could not renew it during the outage.
const LAPSE_WINDOW_MS: u64 = 2_500;

/// Time after the start in which the instance is not ready without the stopped
/// requests, which it gets from the stream of instances or from another instance, and
/// without the limits of upstreams, which only other instances know.
const FLEET_STATE_TIMEOUT_MS: u64 = 3_000;

/// Request bodies, and response bodies, may each take the memory limit divided by
/// this; a request's body may be held a second time in its connection's buffer.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Shared state of one gateway process.
#[derive(Debug)]
pub struct Gateway<P> {
    /// Access to the store, and the platform's formats and header names.
    pub platform: P,
    settings: ArcSwap<Settings>,
    /// Counters and histograms for the metrics address.
    pub metrics: Metrics,
    /// Rate limit on log lines about requests.
    pub log_budget: LogBudget,
    /// Memory limit shared by all request bodies.
    pub body_memory: Arc<BodyMemory>,
    /// Memory limit shared by all response bodies.
    pub response_memory: Arc<ResponseMemory>,
    /// Connections and ejection state of each upstream.
    pub upstream_clients: UpstreamClients,
    /// Notified when a call to the store fails, is slow, or succeeds again after
    /// failures; every follower then checks its own connection with a short read.
    pub store_recheck: Notify,
    /// When the store last confirmed what is known of each stream.
    pub stream_ages: StreamAges,
    /// What is known of readers while the source of records lacks the store.
    pub reader_search: watch::Sender<ReaderSearch>,
    /// What arrives of the long poll of [`Stream::Operator`] in flight, if there is one.
    pub operator_long_poll: watch::Sender<Option<Arc<Arrivals>>>,
    /// Notified when a check finds records that the long poll in flight has not returned.
    pub operator_poll_missed_records: Notify,
    /// Notified when the store does not answer the check of a long poll in time.
    pub operator_check_unanswered: Notify,
    /// Requests that are suspected of ending upstreams.
    pub suspects: SuspectState,
    /// Connections to other instances, and which of them respond.
    pub peers: Peers,
    /// Long values, compressed for other instances.
    pub packed_values: PackedValues,
    /// Rates that upstreams take from the whole fleet.
    pub limits: LimitState,
    /// Allowances of organisations over all instances.
    pub allowances: AllowanceState,
    /// What upstreams say about whether they take requests.
    pub notices: NoticeState,
    /// Shares of the traffic that leaves this data centre.
    pub locality: LocalityState,
    /// Whether any upstream answers this instance.
    pub contact: ContactState,
    /// Budget for probes and loads of services.
    pub probe_state: ProbeState,
    /// Times for which requests wait for the readings of their probes.
    pub probe_waits: ProbeWaits,
    /// Offers of other instances to take requests.
    pub offers: OfferState,
    /// Requests that this instance runs for others.
    pub taken: TakenState,
    /// Moves of traffic to new versions.
    pub rollouts: Rollouts,
    started_at: Instant,
    /// Start of the round robin among a route's targets, from 0 to 1; random, so
    /// that instances do not all begin with the same target.
    split_phase: f64,
    view: Mutex<View>,
    traffic_splitter: Mutex<TrafficSplitter>,
    retry_budget: Mutex<RetryBudget>,
    cold_limiter: Mutex<ColdLimiter>,
    route_times: Mutex<RouteTimes>,
    stopping: watch::Sender<Option<StopTime>>,
    reader_role: watch::Sender<bool>,
    changes: watch::Sender<u64>,
    /// Number of streams whose reads from the store fail.
    unreachable_streams: AtomicUsize,
    lapse_window_end_ms: AtomicU64,
    are_upstreams_loaded: AtomicBool,
    are_instances_loaded: AtomicBool,
    has_heard_from_peer: AtomicBool,
    has_settled: AtomicBool,
}

impl<P: Platform> Gateway<P> {
    /// Creates the state of a process that has read nothing from the store yet.
    #[must_use]
    pub fn new(platform: P, settings: Settings) -> Arc<Self> {
        Self::with_probe_waits(platform, settings, ProbeWaits::default())
    }

    /// Like [`Gateway::new`], with other waits for the readings of probes than the
    /// product's.
    #[must_use]
    pub fn with_probe_waits(platform: P, settings: Settings, probe_waits: ProbeWaits) -> Arc<Self> {
        let memory_bytes = settings.memory_limit_mb.saturating_mul(1 << 20);
        let body_bytes = usize::try_from(memory_bytes).unwrap_or(usize::MAX) / BODY_MEMORY_DIVISOR;
        let metrics = Metrics::new();
        let peers = Peers::new(metrics.unknown_calls.clone());
        Arc::new(Self {
            platform,
            settings: ArcSwap::from_pointee(settings),
            metrics,
            log_budget: LogBudget::new(),
            body_memory: BodyMemory::new(body_bytes),
            response_memory: ResponseMemory::new(body_bytes),
            upstream_clients: UpstreamClients::default(),
            store_recheck: Notify::new(),
            stream_ages: StreamAges::default(),
            reader_search: watch::Sender::default(),
            operator_long_poll: watch::Sender::default(),
            operator_poll_missed_records: Notify::new(),
            operator_check_unanswered: Notify::new(),
            suspects: SuspectState::default(),
            peers,
            packed_values: PackedValues::default(),
            limits: LimitState::default(),
            allowances: AllowanceState::default(),
            notices: NoticeState::default(),
            locality: LocalityState::default(),
            contact: ContactState::default(),
            probe_state: ProbeState::default(),
            probe_waits,
            offers: OfferState::default(),
            taken: TakenState::default(),
            rollouts: Rollouts::default(),
            started_at: Instant::now(),
            split_phase: rand::random(),
            view: Mutex::default(),
            traffic_splitter: Mutex::default(),
            retry_budget: Mutex::default(),
            cold_limiter: Mutex::default(),
            route_times: Mutex::default(),
            stopping: watch::Sender::new(None),
            reader_role: watch::Sender::new(true),
            changes: watch::Sender::new(0),
            unreachable_streams: AtomicUsize::new(0),
            lapse_window_end_ms: AtomicU64::new(0),
            are_upstreams_loaded: AtomicBool::new(false),
            are_instances_loaded: AtomicBool::new(false),
            has_heard_from_peer: AtomicBool::new(false),
            has_settled: AtomicBool::new(false),
        })
    }

    /// The current settings.
    #[must_use]
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.load_full()
    }

    /// Applies new settings, except names, addresses and the log filter, which
    /// need a restart.
    pub fn replace_settings(&self, new: &Settings) {
        let current = self.settings();
        if *current == *new {
            return;
        }
        let applied = Settings {
            name: Arc::clone(&current.name),
            data_centre: Arc::clone(&current.data_centre),
            caller_address: current.caller_address,
            ready_address: current.ready_address,
            metrics_address: current.metrics_address,
            peer_address: current.peer_address,
            store_address: current.store_address,
            log_filter: Arc::clone(&current.log_filter),
            ..new.clone()
        };
        if applied != *new {
            tracing::warn!("changed names, addresses or log filter take effect after a restart");
        }
        if applied != *current {
            tracing::info!("settings reloaded");
            self.settings.store(Arc::new(applied));
        }
    }

    /// Whether the stream of instances has been read at least once.
    #[must_use]
    pub fn are_instances_loaded(&self) -> bool {
        self.are_instances_loaded.load(Ordering::Relaxed)
    }

    /// Records that the stream of instances has been read.
    pub fn set_instances_loaded(&self) {
        self.are_instances_loaded.store(true, Ordering::Relaxed);
    }

    /// Records that another instance has told what this one lacks.
    pub fn set_heard_from_peer(&self) {
        self.has_heard_from_peer.store(true, Ordering::Relaxed);
    }

    /// Whether this instance has followed the store after the settle time of a first
    /// start.
    #[must_use]
    pub fn has_settled(&self) -> bool {
        self.has_settled.load(Ordering::Relaxed)
    }

    /// Records that this instance follows the store after the settle time.
    pub fn set_settled(&self) {
        self.has_settled.store(true, Ordering::Relaxed);
    }

    /// Milliseconds since the process started; the clock of all decisions.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        to_ms(self.started_at.elapsed())
    }

    /// Locks the current view of the store's streams.
    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// The current version of routes and services; `None` until one is read.
    #[must_use]
    pub fn manifest(&self) -> Option<Arc<Manifest>> {
        self.view().manifest.clone()
    }

    /// Applies records of a stream to the view. `source` names their origin in the log.
    pub fn apply_records(&self, stream: Stream, records: Records, extent: Extent, source: &str) {
        let now_ms = self.now_ms();
        let may_lapse = self.lapse_window_left_ms() > 0;
        let offset = records.next_offset;
        let (events, has_advanced) = {
            let mut view = self.view();
            let position = |view: &View| (view.copy(stream).era, view.next_offset(stream));
            let before = position(&view);
            let platform = &self.platform;
            let events = match extent {
                Extent::Following => view.apply(platform, stream, records, may_lapse, now_ms),
                Extent::Newest => view.apply_snapshot(platform, stream, records, may_lapse, now_ms),
                Extent::PeerState => {
                    view.apply_peer_state(platform, stream, records, may_lapse, now_ms)
                }
            };
            (events, position(&view) != before)
        };
        self.merge_stored_suspects(&events);
        match stream {
            Stream::Operator => {}
            Stream::Upstreams => self.set_upstreams_loaded(),
            Stream::Instances => self.set_instances_loaded(),
        }
        self.on_events(&events, source, offset);
        if has_advanced {
            self.notify_changed();
        }
    }

    /// Notifies of new records, and of changes that affect
    /// [`Gateway::is_active_reader`].
    #[must_use]
    pub fn watch_changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Wakes those that wait on [`Gateway::watch_changes`].
    pub fn notify_changed(&self) {
        self.changes
            .send_modify(|count| *count = count.wrapping_add(1));
    }

    /// Watches whether this instance has the role of a reader, which follows the
    /// store itself.
    #[must_use]
    pub fn watch_reader_role(&self) -> watch::Receiver<bool> {
        self.reader_role.subscribe()
    }

    /// Gives this instance the reader role or takes it away; `why` goes into the
    /// log.
    pub fn set_reader_role(&self, is_reader: bool, why: &str) {
        let has_changed = self.reader_role.send_if_modified(|now| {
            let has_changed = *now != is_reader;
            *now = is_reader;
            has_changed
        });
        if has_changed {
            tracing::info!(is_reader, why, "reader role changed");
            self.notify_changed();
        }
    }

    /// Records that reads of one stream have begun to fail.
    pub fn on_store_unreachable(&self) {
        self.unreachable_streams.fetch_add(1, Ordering::Relaxed);
        self.notify_changed();
    }

    /// Records that reads of one stream succeed again; entries may have lapsed
    /// during the outage.
    pub fn on_store_recovered(&self) {
        self.extend_lapse_window(LAPSE_WINDOW_MS);
    }

    /// Extends the lapse window to at least `left_ms` from now.
    pub fn extend_lapse_window(&self, left_ms: u64) {
        let end_ms = self.now_ms() + left_ms;
        self.lapse_window_end_ms
            .fetch_max(end_ms, Ordering::Relaxed);
    }

    /// Stops counting one stream as failing, also when another instance takes
    /// over the reads.
    pub fn clear_store_unreachable(&self) {
        self.unreachable_streams.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether other instances may rely on this one: it has the reader role,
    /// reaches the store, has loaded the upstreams and is not stopping.
    #[must_use]
    pub fn is_active_reader(&self) -> bool {
        *self.reader_role.borrow()
            && self.unreachable_streams.load(Ordering::Relaxed) == 0
            && self.are_upstreams_loaded.load(Ordering::Relaxed)
            && !self.is_stopping()
    }

    /// Milliseconds until the end of the lapse window, in which a removed entry may
    /// merely have lapsed during an outage of the store; 0 outside it.
    #[must_use]
    pub fn lapse_window_left_ms(&self) -> u64 {
        if self.unreachable_streams.load(Ordering::Relaxed) > 0 {
            return LAPSE_WINDOW_MS;
        }
        let end_ms = self.lapse_window_end_ms.load(Ordering::Relaxed);
        end_ms.saturating_sub(self.now_ms())
    }

    /// Records that the stream of upstreams has been read.
    pub fn set_upstreams_loaded(&self) {
        self.are_upstreams_loaded.store(true, Ordering::Relaxed);
    }

    /// Whether the instance is ready for callers: it knows routes, upstreams and
    /// stopped requests, and is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.are_upstreams_loaded.load(Ordering::Relaxed)
            && self.knows_fleet_state()
            && !self.is_stopping()
            && self.view().manifest.is_some()
    }

    /// Whether this instance has been told which requests are stopped and which upstreams
    /// are limited, or has waited long enough for it.
    #[must_use]
    pub fn knows_fleet_state(&self) -> bool {
        let knows_stopped_requests =
            self.are_instances_loaded() || self.has_heard_from_peer.load(Ordering::Relaxed);
        (knows_stopped_requests && self.knows_limits()) || self.now_ms() >= FLEET_STATE_TIMEOUT_MS
    }

    /// Whether another instance has told this one which upstreams are limited, or there is
    /// none that could.
    #[must_use]
    pub fn knows_limits(&self) -> bool {
        if self.has_heard_from_peer.load(Ordering::Relaxed) || self.limits.is_told() {
            return true;
        }
        let me = self.settings().peer_address;
        let instances = &self.view().instances;
        self.are_instances_loaded() && instances.values().all(|instance| instance.address == me)
    }

    /// Starts the planned stop: the instance is no longer ready, and no longer counts
    /// as an active reader.
    pub fn begin_stop(&self) -> StopTime {
        let stop = StopTime::new(self.now_ms(), self.settings().stop_limit_ms);
        self.stopping.send_replace(Some(stop));
        self.notify_changed();
        stop
    }

    /// Lets no request begin any more, as the process is about to end.
    pub fn end_requests(&self) {
        let now_ms = self.now_ms();
        self.stopping.send_modify(|stop| {
            if let Some(stop) = stop {
                stop.end_ms = stop.end_ms.min(now_ms);
            }
        });
    }

    /// Whether the planned stop has started.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.borrow().is_some()
    }

    /// Time since the planned stop began, in milliseconds; `None` before it.
    #[must_use]
    pub fn stopping_for_ms(&self) -> Option<u64> {
        let stop = (*self.stopping.borrow())?;
        Some(self.now_ms().saturating_sub(stop.began_ms))
    }

    /// Whether a request of a route, with this time until its deadline, may be sent to an
    /// upstream; not if the process would end before its response.
    #[must_use]
    pub fn may_begin(&self, route: &Route, left_ms: u64) -> bool {
        let Some(stop) = *self.stopping.borrow() else {
            return true;
        };
        stop.may_send(self.now_ms(), left_ms, self.route_times().longest_ms(route))
    }

    /// Picks the service for the next request of a route, by the targets'
    /// weights; `None` if the route has no target.
    #[must_use]
    pub fn pick_service(&self, route: &Route) -> Option<Arc<str>> {
        lock(&self.traffic_splitter).next(route, self.split_phase)
    }

    /// Whether the version in force describes a service.
    #[must_use]
    pub fn knows_service(&self, service: &str) -> bool {
        let manifest = self.manifest();
        manifest.is_some_and(|manifest| manifest.services.contains_key(service))
    }

    /// Counts a request, which adds to the service's retry budget.
    pub fn on_request(&self, service: &Arc<str>) {
        let limit = self.settings().retry_limit;
        lock(&self.retry_budget).on_request(service, limit, self.now_ms());
    }

    /// Takes one retry from this instance's share of the service's retry budget;
    /// false if none is left.
    #[must_use]
    pub fn try_acquire_retry(&self, service: &Arc<str>) -> bool {
        let instances = self.view().instances.len();
        let limit = self.settings().retry_limit;
        lock(&self.retry_budget).try_acquire(service, limit, instances, self.now_ms())
    }

    /// Takes a permit to send one request to a cold upstream that can serve `per_s`
    /// requests per second; false if this instance may not send now.
    #[must_use]
    pub fn try_acquire_cold_send(&self, upstream: &Arc<str>, per_s: f64) -> bool {
        let instances: Vec<Arc<str>> = self.view().instances.keys().cloned().collect();
        let settings = self.settings();
        let limit = ColdLimit {
            per_s,
            factor: settings.cold_factor,
            slack: settings.cold_slack,
        };
        let me = &settings.name;
        lock(&self.cold_limiter).try_acquire(upstream, &instances, me, limit, self.now_ms())
    }

    /// Ready upstreams of a service, without those in evacuated data centres and those that
    /// say that they take no requests.
    #[must_use]
    pub fn eligible_upstreams(&self, service: &str) -> Vec<Arc<Upstream>> {
        let mut upstreams = self.ready_upstreams(service);
        upstreams.retain(|upstream| self.is_wanted_by(&upstream.report));
        upstreams
    }

    /// Ready upstreams of a service, without those in evacuated data centres and those whose
    /// version is not in force.
    #[must_use]
    pub fn ready_upstreams(&self, service: &str) -> Vec<Arc<Upstream>> {
        let view = self.view();
        let mut upstreams = Vec::new();
        for upstream in view.directory.ready_upstreams(service) {
            if !view.evacuated.contains(&upstream.report.data_centre) {
                upstreams.push(Arc::clone(upstream));
            }
        }
        drop(view);
        self.rollouts.retain_usable(service, &mut upstreams);
        upstreams
    }

    /// Whether an upstream may get a request now.
    ///
    /// Called just before sending, since the upstream may have left since the
    /// probe; `is_healthy` is what it reported then.
    #[must_use]
    pub fn may_send(&self, upstream: &Upstream, is_healthy: bool) -> bool {
        let now_ms = self.now_ms();
        let view = self.view();
        let report = &upstream.report;
        view.directory.may_send(report, is_healthy, now_ms)
            && !view.evacuated.contains(&report.data_centre)
            && self.is_wanted_by(report)
    }

    /// The moving averages of a route.
    #[must_use]
    pub fn route_means(&self, route: &Route) -> RouteMeans {
        self.route_times().means(route)
    }

    /// What the requests of each route take.
    pub fn route_times(&self) -> MutexGuard<'_, RouteTimes> {
        lock(&self.route_times)
    }

    /// Logs changes of the view and updates the metrics.
    pub fn on_events(&self, events: &[Event], source: &str, offset: u64) {
        if events.is_empty() {
            return;
        }
        view_log::log_events(events, source, offset);
        let (manifest, upstreams) = {
            let view = self.view();
            (view.manifest.clone(), view.directory.len())
        };
        if let Some(manifest) = manifest {
            self.metrics.on_version(&manifest);
            let is_new = |event: &Event| *event == Event::Version(manifest.version);
            if events.iter().any(is_new) {
                view_log::log_unread(&manifest);
            }
        }
        self.metrics
            .upstreams
            .set(u64::try_from(upstreams).unwrap_or(u64::MAX));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

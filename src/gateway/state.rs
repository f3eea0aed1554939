//! What all requests of the process share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::calls::{BodyMemory, to_ms};
use super::lines::LineBudget;
use super::links::Links;
use super::meters::Meters;
use super::settings::Settings;
use super::store::{Platform, Records, Stream};
use super::view::{Event, View};
use crate::decision::cold_limiter::{ColdLimit, ColdLimiter};
use crate::decision::directory::Upstream;
use crate::decision::manifest::{Manifest, Route};
use crate::decision::probe_budget::{ProbeBudget, ProbeLimit};
use crate::decision::retry_budget::RetryBudget;
use crate::decision::traffic_split::TrafficSplitter;

/// Part of the latency objective that work is taken to need before any answer
/// has shown it.
const FIRST_WORK_PART: f64 = 0.35;
/// Weight of the newest answer in the means of a route.
const MEAN_WEIGHT: f64 = 0.1;

/// Lines about the changes that one read brings; more are counted only.
const EVENT_LINES_MAX: usize = 40;

/// Time after the store's return in which entries may have lapsed.
const RETURN_WINDOW_MS: u64 = 2_500;

/// What requests of a route take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Means {
    /// Time on an idle upstream at its usual pace.
    pub work_ms: f64,
    /// Bytes of the bodies of request and answer.
    pub bytes: f64,
}

/// Part of the memory, as one in so many, that bodies of requests may take; each
/// may stand in a buffer of the connection, too.
const BODY_PART: usize = 4;

/// State of the process.
#[derive(Debug)]
pub struct Gateway<P> {
    /// The platform.
    pub platform: P,
    settings: ArcSwap<Settings>,
    /// Meters.
    pub meters: Meters,
    /// Bound on lines about requests.
    pub lines: LineBudget,
    /// Memory that the bodies of requests may take.
    pub bodies: Arc<BodyMemory>,
    /// Connections to upstreams.
    pub links: Links,
    /// Told when a call to the store has failed, so that all followers check
    /// their connections.
    pub store_doubt: Notify,
    /// Told when a long read of the orders begins.
    pub long_read_began: Notify,
    started: Instant,
    phase: f64,
    view: Mutex<View>,
    splits: Mutex<TrafficSplitter>,
    repeats: Mutex<RetryBudget>,
    cold_share: Mutex<ColdLimiter>,
    probe_budget: Mutex<ProbeBudget>,
    means: Mutex<HashMap<Arc<str>, Means>>,
    stopping: watch::Sender<bool>,
    role: watch::Sender<bool>,
    news: watch::Sender<u64>,
    lost_streams: AtomicUsize,
    lapses_until_ms: AtomicU64,
    is_loaded: AtomicBool,
    are_instances_read: AtomicBool,
}

impl<P: Platform> Gateway<P> {
    /// A process that knows nothing yet.
    #[must_use]
    pub fn new(platform: P, settings: Settings) -> Arc<Self> {
        let memory_bytes = settings.memory_limit_mb.saturating_mul(1 << 20);
        let body_bytes = usize::try_from(memory_bytes).unwrap_or(usize::MAX) / BODY_PART;
        Arc::new(Self {
            platform,
            settings: ArcSwap::from_pointee(settings),
            meters: Meters::new(),
            lines: LineBudget::new(),
            bodies: BodyMemory::new(body_bytes),
            links: Links::default(),
            store_doubt: Notify::new(),
            long_read_began: Notify::new(),
            started: Instant::now(),
            phase: rand::random(),
            view: Mutex::default(),
            splits: Mutex::default(),
            repeats: Mutex::default(),
            cold_share: Mutex::default(),
            probe_budget: Mutex::default(),
            means: Mutex::default(),
            stopping: watch::Sender::new(false),
            role: watch::Sender::new(true),
            news: watch::Sender::new(0),
            lost_streams: AtomicUsize::new(0),
            lapses_until_ms: AtomicU64::new(0),
            is_loaded: AtomicBool::new(false),
            are_instances_read: AtomicBool::new(false),
        })
    }

    /// The settings in force.
    #[must_use]
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.load_full()
    }

    /// Puts new settings in force; addresses and names stay until a restart.
    pub fn replace_settings(&self, new: &Settings) {
        let known = self.settings();
        if *known == *new {
            return;
        }
        let kept = Settings {
            name: Arc::clone(&known.name),
            data_centre: Arc::clone(&known.data_centre),
            caller_address: known.caller_address,
            ready_address: known.ready_address,
            metrics_address: known.metrics_address,
            peer_address: known.peer_address,
            store_address: known.store_address,
            log_filter: Arc::clone(&known.log_filter),
            ..new.clone()
        };
        if kept != *new {
            tracing::warn!("new names, addresses or log filters are used from the next start on");
        }
        if kept != *known {
            tracing::info!("new settings are in force");
            self.settings.store(Arc::new(kept));
        }
    }

    /// Whether the other instances have been read once.
    #[must_use]
    pub fn are_instances_read(&self) -> bool {
        self.are_instances_read.load(Ordering::Relaxed)
    }

    /// Notes that the other instances have been read once.
    pub fn set_instances_read(&self) {
        self.are_instances_read.store(true, Ordering::Relaxed);
    }

    /// Time since the start, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        to_ms(self.started.elapsed())
    }

    /// What the store's streams say.
    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// The version in force.
    #[must_use]
    pub fn manifest(&self) -> Option<Arc<Manifest>> {
        self.view().manifest.clone()
    }

    /// Takes records in: those that follow the known ones, or the newest of all.
    pub fn take_in(&self, stream: Stream, records: Records, are_next: bool, source: &str) {
        let now_ms = self.now_ms();
        let may_lapse = self.lapses_left_ms() > 0;
        let offset = records.next;
        let (events, is_news) = {
            let mut view = self.view();
            let before = view.next(stream);
            let events = if are_next {
                view.apply(&self.platform, stream, records, may_lapse, now_ms)
            } else {
                view.apply_newest(&self.platform, stream, records, may_lapse, now_ms)
            };
            (events, view.next(stream) != before)
        };
        match stream {
            Stream::Orders => {}
            Stream::Upstreams => self.set_loaded(),
            Stream::Instances => self.set_instances_read(),
        }
        self.on_events(&events, source, offset);
        if is_news {
            self.tell_news();
        }
    }

    /// Changes whenever records have come, or the store was lost or came back.
    #[must_use]
    pub fn news(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    fn tell_news(&self) {
        self.news
            .send_modify(|count| *count = count.wrapping_add(1));
    }

    /// Whether this instance reads the store itself.
    #[must_use]
    pub fn role(&self) -> watch::Receiver<bool> {
        self.role.subscribe()
    }

    /// Makes this instance read the store itself, or no longer.
    pub fn set_role(&self, is_reader: bool, why: &str) {
        let has_changed = self.role.send_if_modified(|now| {
            let has_changed = *now != is_reader;
            *now = is_reader;
            has_changed
        });
        if has_changed {
            tracing::info!(is_reader, why, "who reads the store has changed");
            self.tell_news();
        }
    }

    /// Notes that the store answers no reads of one stream.
    pub fn on_store_lost(&self) {
        self.lost_streams.fetch_add(1, Ordering::Relaxed);
        self.tell_news();
    }

    /// Notes that the store answers these reads again.
    pub fn on_store_returned(&self) {
        self.on_store_left();
        self.expect_lapses(RETURN_WINDOW_MS);
    }

    /// Notes that entries may have lapsed, for so long from now.
    pub fn expect_lapses(&self, left_ms: u64) {
        let until_ms = self.now_ms() + left_ms;
        self.lapses_until_ms.fetch_max(until_ms, Ordering::Relaxed);
    }

    /// Notes that another instance reads the store now.
    pub fn on_store_left(&self) {
        self.lost_streams.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether this instance reads the store, and the store answers it.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        *self.role.borrow()
            && self.lost_streams.load(Ordering::Relaxed) == 0
            && self.is_loaded.load(Ordering::Relaxed)
            && !self.is_stopping()
    }

    /// Time for which entries that go may have lapsed while the store was away.
    #[must_use]
    pub fn lapses_left_ms(&self) -> u64 {
        if self.lost_streams.load(Ordering::Relaxed) > 0 {
            return RETURN_WINDOW_MS;
        }
        let until_ms = self.lapses_until_ms.load(Ordering::Relaxed);
        until_ms.saturating_sub(self.now_ms())
    }

    /// Notes that the upstreams have been read once.
    pub fn set_loaded(&self) {
        self.is_loaded.store(true, Ordering::Relaxed);
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_loaded.load(Ordering::Relaxed)
            && !self.is_stopping()
            && self.view().manifest.is_some()
    }

    /// Begins the planned stop.
    pub fn begin_stop(&self) {
        self.stopping.send_replace(true);
        self.tell_news();
    }

    /// Whether the planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// The service that the next request of a route goes to.
    #[must_use]
    pub fn split(&self, route: &Route) -> Option<Arc<str>> {
        lock(&self.splits).next(route, self.phase)
    }

    /// Counts a request for a service.
    pub fn on_request(&self, service: &Arc<str>) {
        let bound = self.settings().repeats;
        lock(&self.repeats).on_request(service, bound, self.now_ms());
    }

    /// Takes a repeat out of this instance's share.
    #[must_use]
    pub fn take_repeat(&self, service: &Arc<str>) -> bool {
        let instances = self.view().instances.len();
        let bound = self.settings().repeats;
        lock(&self.repeats).try_acquire(service, bound, instances, self.now_ms())
    }

    /// Takes the right to send one request to a cold upstream.
    #[must_use]
    pub fn take_cold(&self, upstream: &Arc<str>, per_s: f64) -> bool {
        let instances: Vec<Arc<str>> = self.view().instances.keys().cloned().collect();
        let settings = self.settings();
        let bound = ColdLimit {
            per_s,
            factor: settings.cold_factor,
            slack: settings.cold_slack,
        };
        let me = &settings.name;
        lock(&self.cold_share).try_acquire(upstream, &instances, me, bound, self.now_ms())
    }

    /// Takes up to `wanted` probes of a service with so many upstreams.
    #[must_use]
    pub fn take_probes(&self, service: &Arc<str>, upstreams: usize, wanted: usize) -> usize {
        let bound = ProbeLimit {
            per_upstream_s: self.settings().probes_per_s,
            upstreams,
            instances: self.view().instances.len(),
        };
        lock(&self.probe_budget).acquire_up_to(service, bound, wanted, self.now_ms())
    }

    /// Upstreams of a service that may get work.
    #[must_use]
    pub fn upstreams(&self, service: &str) -> Vec<Arc<Upstream>> {
        let view = self.view();
        let mut upstreams = Vec::new();
        for upstream in view.directory.ready_upstreams(service) {
            if !view.out.contains(&upstream.report.data_centre) {
                upstreams.push(Arc::clone(upstream));
            }
        }
        upstreams
    }

    /// Whether an upstream may get a request now; asked just before sending.
    #[must_use]
    pub fn may_send(&self, upstream: &Upstream, is_healthy: bool) -> bool {
        let now_ms = self.now_ms();
        let view = self.view();
        let report = &upstream.report;
        view.directory.may_send(report, is_healthy, now_ms)
            && !view.out.contains(&report.data_centre)
    }

    /// What requests of a route take in the mean.
    #[must_use]
    pub fn means(&self, route: &Route) -> Means {
        let known = lock(&self.means).get(&route.name).copied();
        let objective_ms = u32::try_from(route.objective_ms).unwrap_or(u32::MAX);
        known.unwrap_or(Means {
            work_ms: FIRST_WORK_PART * f64::from(objective_ms),
            bytes: 0.0,
        })
    }

    /// Learns from an answer.
    pub fn learn(&self, route: &Route, newest: Means) {
        let known = self.means(route);
        let learnt = Means {
            work_ms: known.work_ms + MEAN_WEIGHT * (newest.work_ms - known.work_ms),
            bytes: known.bytes + MEAN_WEIGHT * (newest.bytes - known.bytes),
        };
        lock(&self.means).insert(Arc::clone(&route.name), learnt);
    }

    /// Logs what changed in the view, and follows it.
    pub fn on_events(&self, events: &[Event], source: &str, offset: u64) {
        if events.is_empty() {
            return;
        }
        for event in events.iter().take(EVENT_LINES_MAX) {
            log_event(event, source, offset);
        }
        let left_out = events.len().saturating_sub(EVENT_LINES_MAX);
        if left_out > 0 {
            tracing::info!(left_out, source, offset, "further changes were taken in");
        }
        let (version, upstreams) = {
            let view = self.view();
            let version = view.manifest.as_ref().map_or(0, |known| known.version);
            (version, view.directory.len())
        };
        self.meters.version.set(version);
        self.meters
            .upstreams
            .set(u64::try_from(upstreams).unwrap_or(u64::MAX));
    }
}

fn log_event(event: &Event, source: &str, offset: u64) {
    match event {
        Event::Version(version) => {
            tracing::info!(version, source, offset, "a new version is in force");
        }
        Event::DataCentre(name, true) => {
            tracing::info!(data_centre = %name, source, offset, "data centre taken out");
        }
        Event::DataCentre(name, false) => {
            tracing::info!(data_centre = %name, source, offset, "data centre brought back");
        }
        Event::Upstream(id, change) => {
            tracing::info!(upstream = %id, %change, source, offset, "upstream changed");
        }
        Event::Instance(name) => {
            tracing::info!(instance = %name, source, offset, "instance changed");
        }
        Event::Unusable(stream, key, error) => {
            tracing::warn!(%stream, key = %key, %error, source, offset, "record skipped");
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! Runs the gateway from start to graceful shutdown.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::peer_format::{BUILD, Format};
use super::server::{CallerCounts, MAX_BACKLOG_TIME, serve_callers, serve_metrics, serve_ready};
use super::settings::Settings;
use super::state::Gateway;
use super::store::{Platform, Stream};
use super::supervisor::keep_running;
use super::{
    allowances, follower, limit_exchange, locality, long_poll_checks, lost_records,
    notice_exchange, peer_listener, reader_role, rollouts, suspect_records, upstream_contact,
};
use crate::process::run::RunError;

/// Interval at which a stopping instance checks for open connections.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time without requests after which connections that never sent one are closed.
const DRAIN_IDLE_TIME: Duration = Duration::from_millis(300);
/// Time for writing out the last responses.
const FLUSH_TIME: Duration = Duration::from_millis(60);
/// Interval at which expired entries and connections are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the settings file is read again.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Handlers of the signals that stop the gateway or reload its settings.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the handlers; must be called within a runtime.
    ///
    /// # Errors
    /// Returns an error if a handler cannot be installed.
    pub fn install() -> Result<Self, RunError> {
        let install = |kind| signal(kind).map_err(RunError::Signals);
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hang_up: install(SignalKind::hangup())?,
        })
    }
}

/// Runs the gateway until SIGTERM or SIGINT, then shuts down gracefully.
///
/// # Errors
/// Returns an error if an address cannot be bound.
pub async fn run<P: Platform>(
    platform: P,
    settings: Settings,
    path: PathBuf,
    signals: Signals,
) -> Result<(), RunError> {
    let gateway = Gateway::new(platform, settings);
    let settings = gateway.settings();
    let Signals {
        terminate,
        interrupt,
        hang_up,
    } = signals;
    let callers = Arc::new(CallerCounts::default());
    let (close, closing) = watch::channel(false);

    let caller_listener = bind(settings.caller_address).await?;
    let ready_listener = bind(settings.ready_address).await?;
    let metrics_listener = bind(settings.metrics_address).await?;
    listen_for_instances(&gateway).await?;
    tokio::spawn(serve_callers(
        caller_listener,
        Arc::clone(&gateway),
        Arc::clone(&callers),
        closing,
    ));
    tokio::spawn(serve_ready(ready_listener, Arc::clone(&gateway)));
    tokio::spawn(serve_metrics(metrics_listener, Arc::clone(&gateway)));
    start_background_tasks(&gateway);
    tokio::spawn(reload_settings(Arc::clone(&gateway), path, hang_up));
    tracing::info!(name = %settings.name, data_centre = %settings.data_centre, build = BUILD, "started");

    wait_for_stop_signal(terminate, interrupt).await;
    drain_and_stop(&gateway, &callers, &close).await;
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| RunError::Bind { address, error })
}

async fn listen_for_instances<P: Platform>(gateway: &Arc<Gateway<P>>) -> Result<(), RunError> {
    let address = gateway.settings().peer_address;
    peer_listener::listen(Arc::clone(gateway))
        .await
        .map_err(|error| RunError::Bind { address, error })
}

fn start_background_tasks<P: Platform>(gateway: &Arc<Gateway<P>>) {
    reader_role::defer_to_seeds(gateway);
    for stream in [Stream::Operator, Stream::Upstreams, Stream::Instances] {
        spawn(gateway, "follow", move |gateway| {
            follower::follow(gateway, stream)
        });
    }
    spawn(gateway, "reader-role", reader_role::run);
    spawn(
        gateway,
        "check-long-polls",
        long_poll_checks::check_long_polls,
    );
    spawn(gateway, "register", follower::register_instance);
    spawn(gateway, "stored-suspects", suspect_records::keep_stored);
    spawn(gateway, "upstream-contact", upstream_contact::run);
    spawn(gateway, "limits", limit_exchange::run);
    spawn(gateway, "notices", notice_exchange::run);
    spawn(gateway, "allowances", allowances::reports::run);
    spawn(gateway, "rollouts", rollouts::exchange::run);
    spawn(gateway, "locality", locality::run);
    spawn(gateway, "lost-records", lost_records::rewrite);
    spawn(gateway, "expiry", remove_expired);
}

fn spawn<P, F>(
    gateway: &Arc<Gateway<P>>,
    name: &'static str,
    task: impl Fn(Arc<Gateway<P>>) -> F + Send + 'static,
) where
    P: Platform,
    F: Future<Output = ()> + Send + 'static,
{
    let gateway = Arc::clone(gateway);
    keep_running(name, move || task(Arc::clone(&gateway)));
}

/// Removes lapsed upstreams that did not come back, old suspicions and idle
/// connections, at every interval.
async fn remove_expired<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let now_ms = gateway.now_ms();
        let expired = gateway.view().directory.expire(now_ms);
        for id in expired {
            tracing::info!(upstream = %id, "removed a lapsed upstream that did not return");
        }
        gateway.suspects.table().expire(now_ms);
        let view = gateway.view();
        gateway.upstream_clients.prune(
            &view.directory,
            view.manifest.as_deref(),
            view.instances.len(),
        );
        gateway
            .limits
            .expire(now_ms, |id| view.directory.get(id).is_some());
        gateway.expire_notices(|id| view.directory.get(id).is_some());
        gateway.peers.retain(|address| {
            let instances = view.instances.values();
            instances
                .into_iter()
                .any(|instance| instance.address == *address)
        });
        for format in [Format::Bincode, Format::Named(1)] {
            let count = gateway.peers.builds.count(format);
            gateway.metrics.set_peers(format, count);
        }
        let issued = gateway.limits.permits().len();
        gateway
            .metrics
            .issued_limits
            .set(u64::try_from(issued).unwrap_or(u64::MAX));
    }
}

async fn wait_for_stop_signal(mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Reloads the settings file on SIGHUP and at every interval.
async fn reload_settings<P: Platform>(
    gateway: Arc<Gateway<P>>,
    path: PathBuf,
    mut hang_up: Signal,
) {
    let mut last_error = String::new();
    let mut current = gateway.settings();
    loop {
        tokio::select! {
            _ = hang_up.recv() => tracing::info!("reloading the settings after SIGHUP"),
            () = sleep(SETTINGS_POLL_INTERVAL) => {}
        }
        match Settings::load(&path) {
            Ok(settings) if settings == *current => {}
            Ok(settings) => {
                gateway.replace_settings(&settings);
                current = Arc::new(settings);
            }
            Err(error) => {
                let error = error.to_string();
                if error != last_error {
                    tracing::warn!(
                        error,
                        "the new settings are invalid; keeping the current ones"
                    );
                    last_error = error;
                }
            }
        }
    }
}

/// Fails the readiness check, serves until the balancer has noticed, then closes
/// the listener and waits for the requests in flight, those of other instances included, and
/// until their responses are written, at most until the stop limit.
pub async fn drain_and_stop<P: Platform>(
    gateway: &Gateway<P>,
    callers: &CallerCounts,
    close: &watch::Sender<bool>,
) {
    let began = Instant::now();
    tracing::info!(in_flight = callers.in_flight(), "stopping");
    let began_ms = gateway.now_ms();
    let stop = gateway.begin_stop();
    let after = |ms: u64| began + Duration::from_millis(ms.saturating_sub(began_ms));
    let end_at = after(stop.end_ms);
    sleep_until(after(stop.accept_until_ms)).await;
    close.send_replace(true);
    let is_at_work = || {
        gateway.taken.running() > 0
            || holds_answers(gateway)
            || callers.in_flight() > 0
            || callers.unwritten() > 0
    };
    let finish = async {
        // Connections that are still to be accepted do not count yet.
        sleep(MAX_BACKLOG_TIME).await;
        wait_until_idle(callers, is_at_work).await;
        // What comes from now on is refused, so that the process ends under no request.
        gateway.end_requests();
        sleep(FLUSH_TIME).await;
        while is_at_work() {
            sleep(DRAIN_POLL_INTERVAL).await;
            if !is_at_work() {
                sleep(FLUSH_TIME).await;
            }
        }
    };
    let is_finished = timeout_at(end_at, finish).await.is_ok();
    tracing::info!(
        is_finished,
        in_flight = callers.in_flight(),
        unwritten = callers.unwritten(),
        "stopped"
    );
}

/// Whether answers are still to be written to other instances: their bodies hold memory until
/// they are encoded, and their connections count until the kernel has taken them.
fn holds_answers<P>(gateway: &Gateway<P>) -> bool {
    gateway.response_memory.reserved_bytes() > 0
        || gateway.taken.unwritten().load(Ordering::Acquire) > 0
}

/// Waits until nothing is at work and callers have no connections, or have used none for a while.
async fn wait_until_idle(callers: &CallerCounts, is_at_work: impl Fn() -> bool) {
    let mut idle_since = Instant::now();
    while is_at_work() || (callers.connections() > 0 && idle_since.elapsed() < DRAIN_IDLE_TIME) {
        if is_at_work() {
            idle_since = Instant::now();
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

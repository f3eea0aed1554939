//! Runs the gateway from its start to its planned stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use super::server::{CallerCounts, serve_callers, serve_metrics, serve_ready};
use super::settings::Settings;
use super::state::Gateway;
use super::store::{Platform, Stream};
use super::{follower, relay, sharing};
use crate::process::run::RunError;

/// Time for which a stopping instance still takes connections: the balancer
/// asks once a second and needs two answers.
const LISTEN_ON: Duration = Duration::from_millis(2_700);
/// Time kept back from the stop's limit for the end of the process.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// Interval between looks whether the last requests have ended.
const STOP_INTERVAL: Duration = Duration::from_millis(20);
/// Time without requests after which connections that never sent one are cut.
const QUIET_TIME: Duration = Duration::from_millis(300);
/// Time for which the last answers may still be on their way out.
const FLUSH_TIME: Duration = Duration::from_millis(60);
/// Interval between looks for expired entries and connections.
const CLEAN_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between looks at the settings file.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Runs until a signal asks for a planned stop, and finishes it.
///
/// # Errors
/// Where the gateway cannot start.
pub async fn run<P: Platform>(
    platform: P,
    settings: Settings,
    path: PathBuf,
) -> Result<(), RunError> {
    let gateway = Gateway::new(platform, settings);
    let settings = gateway.settings();
    let terminate = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let interrupt = signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    let hang_up = signal(SignalKind::hangup()).map_err(RunError::Signals)?;
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
    start_followers(&gateway);
    tokio::spawn(follow_settings(Arc::clone(&gateway), path, hang_up));
    tracing::info!(name = %settings.name, data_centre = %settings.data_centre, "started");

    wait_for_stop(terminate, interrupt).await;
    stop(&gateway, &callers, &close).await;
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| RunError::Bind { address, error })
}

async fn listen_for_instances<P: Platform>(gateway: &Arc<Gateway<P>>) -> Result<(), RunError> {
    let address = gateway.settings().peer_address;
    relay::listen(Arc::clone(gateway))
        .await
        .map_err(|error| RunError::Bind { address, error })
}

fn start_followers<P: Platform>(gateway: &Arc<Gateway<P>>) {
    sharing::start(gateway);
    for stream in [Stream::Orders, Stream::Upstreams, Stream::Instances] {
        tokio::spawn(follower::follow(Arc::clone(gateway), stream));
    }
    tokio::spawn(sharing::share(Arc::clone(gateway)));
    tokio::spawn(follower::check(Arc::clone(gateway)));
    tokio::spawn(follower::register(Arc::clone(gateway)));
    tokio::spawn(clean(Arc::clone(gateway)));
}

/// Drops what has expired: lapsed entries and idle connections.
async fn clean<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        sleep(CLEAN_INTERVAL).await;
        let now_ms = gateway.now_ms();
        let gone = gateway.view().directory.expire(now_ms);
        for id in gone {
            tracing::info!(upstream = %id, "lapsed entry did not come back");
        }
        let view = gateway.view();
        gateway.upstream_clients.prune(&view.directory);
    }
}

async fn wait_for_stop(mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Reads the settings file anew after a signal, and now and then without one.
async fn follow_settings<P: Platform>(
    gateway: Arc<Gateway<P>>,
    path: PathBuf,
    mut hang_up: Signal,
) {
    let mut refused = String::new();
    let mut taken = gateway.settings();
    loop {
        tokio::select! {
            _ = hang_up.recv() => tracing::info!("reading the settings anew after a signal"),
            () = sleep(SETTINGS_INTERVAL) => {}
        }
        match Settings::load(&path) {
            Ok(settings) if settings == *taken => {}
            Ok(settings) => {
                gateway.replace_settings(&settings);
                taken = Arc::new(settings);
            }
            Err(error) => {
                let error = error.to_string();
                if error != refused {
                    tracing::warn!(error, "the new settings are not used");
                    refused = error;
                }
            }
        }
    }
}

/// Turns not ready, serves on until the balancer has seen it, and ends when
/// the last request has its answer.
async fn stop<P: Platform>(
    gateway: &Gateway<P>,
    callers: &CallerCounts,
    close: &watch::Sender<bool>,
) {
    let began = Instant::now();
    let limit = Duration::from_millis(gateway.settings().stop_limit_ms);
    let end_at = began + limit.saturating_sub(STOP_MARGIN);
    tracing::info!(in_flight = callers.in_flight(), "stopping");
    gateway.begin_stop();
    sleep(LISTEN_ON.min(limit / 2)).await;
    close.send_replace(true);
    let finish = async {
        let mut quiet_since = Instant::now();
        while callers.connections() > 0 && quiet_since.elapsed() < QUIET_TIME {
            sleep(STOP_INTERVAL).await;
            if callers.in_flight() > 0 {
                quiet_since = Instant::now();
            }
        }
        sleep(FLUSH_TIME).await;
    };
    let is_finished = timeout_at(end_at, finish).await.is_ok();
    tracing::info!(is_finished, in_flight = callers.in_flight(), "stopped");
}

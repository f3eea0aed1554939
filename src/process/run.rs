//! Runs the daemon from its start to its planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::prelude::*;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

use super::config::Config;
use super::fence::TICK_INTERVAL_MS;
use super::gossip::{gossip_with_all, join_and_run};
use super::holder::start_held_pools;
use super::keyed::replicate_keys;
use super::metrics::{Gauge, Metrics};
use super::node::Node;
use super::pool_actor::GetSummary;
use super::versions::VersionActor;
use super::{admin, entry, list_poller, peer_server, versions};
use crate::connection::caller::serve;

/// Time in which the platform's load balancer notices that the instance is not
/// ready.
const NOT_READY_DELAY: Duration = Duration::from_millis(1_500);
/// Interval between checks whether the last calls have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which calls in the pools and with idempotency keys must end at a
/// planned stop.
const STOP_TIMEOUT: Duration = Duration::from_mins(10);
/// Interval between reports of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Error of the daemon's start or of its signal handlers.
#[derive(Debug, Error)]
pub enum RunError {
    /// An address cannot be bound.
    #[error("cannot listen at {address}: {error}; free it or set another")]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the system.
        error: std::io::Error,
    },
    /// The UDP socket for metrics cannot be opened.
    #[error("cannot open a socket for metrics: {0}; remove \"metrics_address\"")]
    Metrics(std::io::Error),
    /// A signal handler cannot be installed.
    #[error("cannot install signal handlers: {0}; check the limits of the system")]
    Signals(std::io::Error),
}

/// Runs the daemon until SIGTERM or SIGINT, then stops it as planned.
///
/// # Errors
/// [`RunError`] if an address cannot be bound, the socket for metrics cannot be
/// opened, or a signal handler cannot be installed.
pub async fn run(config: Config) -> Result<(), RunError> {
    let metrics = Metrics::new(config.metrics_address).map_err(RunError::Metrics)?;
    let node = Node::new(Arc::new(config), metrics);
    let versions = VersionActor::spawn(Arc::clone(&node));
    let callers = bind(node.config.caller_address).await?;
    let operators = bind(node.config.admin_address).await?;
    listen_for_peers(&node).await?;
    spawn_background_tasks(&node, &versions);

    let (stop, stopping) = watch::channel(false);
    let caller_server = serve(callers, entry::router(Arc::clone(&node)), stopping.clone());
    let caller_server = tokio::spawn(caller_server);
    let admin_server = serve(operators, admin::router(Arc::clone(&node)), stopping);
    tokio::spawn(admin_server);
    tracing::info!(name = %node.me.name, address = %node.config.caller_address, "started");

    wait_for_signal().await?;
    leave_fleet(&node, &versions).await;
    stop.send_replace(true);
    if let Err(error) = caller_server.await {
        tracing::warn!(%error, "the server for callers ended with an error");
    }
    wait_for_running_calls(&node).await;
    tracing::info!(name = %node.me.name, "stopped");
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| RunError::Bind { address, error })
}

async fn listen_for_peers(node: &Arc<Node>) -> Result<(), RunError> {
    let address = node.config.peer_address;
    let listening = peer_server::listen(Arc::clone(node), address).await;
    listening.map_err(|error| RunError::Bind { address, error })
}

fn spawn_background_tasks(node: &Arc<Node>, versions: &ActorRef<VersionActor>) {
    tokio::spawn(tick(Arc::clone(node)));
    tokio::spawn(list_poller::run(Arc::clone(node)));
    tokio::spawn(versions::follow(Arc::clone(node), versions.clone()));
    tokio::spawn(join_and_run(Arc::clone(node), versions.clone()));
    tokio::spawn(handle_changes(Arc::clone(node)));
    tokio::spawn(report_gauges(Arc::clone(node)));
}

/// Reports to the fence that the process is running, and triggers new requests
/// for the list and the version after a stall.
async fn tick(node: Arc<Node>) {
    loop {
        if node.fence.on_tick(node.clock.now_ms()) {
            tracing::warn!("the process was stalled; requesting the list and the version again");
            node.resumed.notify_one();
            node.gossip_now.notify_one();
        }
        sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
    }
}

/// Starts newly held pools on each change, and replicates key records after
/// changes of the view.
async fn handle_changes(node: Arc<Node>) {
    let mut changes = node.changed.subscribe();
    let mut replicated_view = node.view();
    while changes.changed().await.is_ok() {
        start_held_pools(&node).await;
        let view = node.view();
        if *view != *replicated_view && node.is_joined() {
            replicate_keys(&node, &replicated_view, &view).await;
            replicated_view = view;
        }
    }
}

async fn report_gauges(node: Arc<Node>) {
    loop {
        sleep(GAUGE_INTERVAL).await;
        let members = node.view().members().len();
        let keys = node.key_table().len();
        let list_age_ms = node.fence.list_age_ms(node.clock.now_ms());
        node.metrics.set(Gauge::Members, to_u64(members));
        node.metrics.set(Gauge::Keys, to_u64(keys));
        node.metrics.set(Gauge::ListAgeMs, list_age_ms);
    }
}

async fn wait_for_signal() -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Leaves the fleet: becomes not ready, informs the other instances and
/// replicates key records to them.
async fn leave_fleet(node: &Arc<Node>, versions: &ActorRef<VersionActor>) {
    tracing::info!(name = %node.me.name, "stopping");
    node.begin_stop();
    let before = node.view();
    node.members().on_leave(node.clock.now_ms());
    let after = node.view();
    gossip_with_all(node, versions).await;
    replicate_keys(node, &before, &after).await;
    node.notify_changed();
    sleep(NOT_READY_DELAY).await;
    // Replicates again for keys that were claimed in the meantime.
    replicate_keys(node, &before, &after).await;
}

/// Waits until no pool and no idempotency key has a running call.
async fn wait_for_running_calls(node: &Arc<Node>) {
    let all_ended = async {
        loop {
            let mut running = 0;
            for (_, actor) in node.pools() {
                let Ok(summary) = actor.ask(GetSummary).await else {
                    continue;
                };
                for upstream in summary.upstreams {
                    running += upstream.in_flight;
                }
            }
            if running == 0 && node.keyed_runs().is_empty() {
                return;
            }
            sleep(STOP_POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(STOP_TIMEOUT, all_ended).await.is_err() {
        tracing::warn!("calls are still running at the end of the planned stop; stopping anyway");
    }
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

//! The state that all parts of the daemon share.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use kameo::prelude::*;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

use super::clock::Clock;
use super::config::Config;
use super::decisions::{DecisionKind, DecisionRecord, Decisions};
use super::fence::Fence;
use super::keys::{KeyName, KeyTable};
use super::members::{GossipEntry, Member, Members, View};
use super::metrics::{Counter, Metrics};
use super::poison::{PoisonTracker, ResetCount};
use super::pool::ListedUpstream;
use super::pool_actor::{MergeResetCounts, PoolActor, PoolActorArgs, Update};
use super::pool_choice::{PoolName, WaitEstimates};
use crate::connection::list::{InstanceList, Role};
use crate::connection::peer::{PeerConnections, PeerError};
use crate::connection::upstream::UpstreamClients;
use crate::connection::wire::{GossipMessage, WireResetCount};
use crate::process::budget::RetryBudget;
use crate::request::call::Call;
use crate::request::outcome::Outcome;
use crate::version::fold::AcceptedVersion;
use crate::version::objects::Objects;

/// Members that one gossip message describes, including this process.
const MAX_GOSSIP_MEMBERS: usize = 8;
/// Reset counts that one gossip message carries.
const MAX_GOSSIP_RESET_COUNTS: usize = 8;
/// Thousandths of a retry that each first attempt adds to the budget.
const RETRY_DEPOSIT_MILLI: u64 = 100;
/// Retries in the initial budget of an organisation.
const INITIAL_RETRIES: u64 = 10;
/// Longest wait of a call for the process to catch up after a stall; reading
/// the list and the log takes a few milliseconds.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks whether the process has caught up.
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time in which a peer must respond on a new connection.
const PEER_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// A copy of the platform's list of instances.
#[derive(Debug)]
pub struct ListCopy {
    /// The list as the platform returned it.
    pub text: Arc<str>,
    /// The list, parsed.
    pub list: InstanceList,
    /// Pools with at least one upstream that is not leaving.
    available_pools: HashSet<PoolName>,
}

impl ListCopy {
    /// Creates a copy and collects the pools that have upstreams.
    #[must_use]
    pub fn new(text: Arc<str>, list: InstanceList) -> Self {
        let mut available_pools = HashSet::new();
        for instance in &list.instances {
            let Some(service) = &instance.service else {
                continue;
            };
            if instance.role == Role::Upstream && !instance.state.is_leaving() {
                available_pools.insert(PoolName {
                    service: Arc::clone(service),
                    data_centre: Arc::clone(&instance.data_centre),
                });
            }
        }
        Self {
            text,
            list,
            available_pools,
        }
    }

    /// Whether a pool has an upstream that is not leaving.
    #[must_use]
    pub fn has_upstream(&self, pool: &PoolName) -> bool {
        self.available_pools.contains(pool)
    }
}

/// Receives the outcome of a call with an idempotency key that runs here.
pub type OutcomeReceiver = watch::Receiver<Option<Arc<Outcome>>>;

/// State that lives as long as the process.
#[derive(Debug)]
pub struct Node {
    /// The settings, unchanged until the process ends.
    pub config: Arc<Config>,
    /// Monotonic time since the process started.
    pub clock: Clock,
    /// This process as a member of the fleet.
    pub me: Arc<Member>,
    /// The configuration version in force.
    pub accepted: ArcSwap<AcceptedVersion>,
    /// The newest copy of the list; `None` until the first one is read.
    pub list: ArcSwapOption<ListCopy>,
    /// Connections to other instances.
    pub peers: PeerConnections,
    /// Connections to upstreams.
    pub upstreams: UpstreamClients,
    /// Decides whether new work may be sent to upstreams.
    pub fence: Fence,
    /// Sends metrics by statsd.
    pub metrics: Metrics,
    /// Recent decisions, for operators.
    pub decisions: Decisions,
    /// Starts the next gossip exchange at once.
    pub gossip_now: Notify,
    /// Restarts the pending read of the log after the process stalled.
    pub resumed: Notify,
    /// Notifies tasks of changes of the view, the list or the objects.
    pub changed: watch::Sender<u64>,
    members: Mutex<Members>,
    wait_estimates: Mutex<WaitEstimates>,
    key_table: Mutex<KeyTable>,
    keyed_runs: Mutex<HashMap<KeyName, OutcomeReceiver>>,
    pools: Mutex<HashMap<PoolName, ActorRef<PoolActor>>>,
    retry_budgets: Mutex<HashMap<Arc<str>, RetryBudget>>,
    poison: Mutex<PoisonTracker>,
    tickets: AtomicU64,
    records_incomplete_until_ms: AtomicU64,
    is_joined: AtomicBool,
    is_stopping: AtomicBool,
}

impl Node {
    /// Creates the state of a process that has not joined the fleet yet, with a
    /// random incarnation.
    #[must_use]
    pub fn new(config: Arc<Config>, metrics: Metrics) -> Arc<Self> {
        let me = Arc::new(Member {
            name: Arc::clone(&config.name),
            incarnation: rand::random(),
            data_centre: Arc::clone(&config.data_centre),
            address: config.peer_address,
        });
        Arc::new(Self {
            config,
            clock: Clock::start(),
            accepted: ArcSwap::from_pointee(AcceptedVersion::empty()),
            list: ArcSwapOption::empty(),
            peers: PeerConnections::default(),
            upstreams: UpstreamClients::default(),
            fence: Fence::default(),
            metrics,
            decisions: Decisions::default(),
            gossip_now: Notify::new(),
            resumed: Notify::new(),
            changed: watch::Sender::new(0),
            members: Mutex::new(Members::new(Arc::clone(&me))),
            wait_estimates: Mutex::default(),
            key_table: Mutex::default(),
            keyed_runs: Mutex::default(),
            pools: Mutex::default(),
            retry_budgets: Mutex::default(),
            poison: Mutex::default(),
            tickets: AtomicU64::new(0),
            records_incomplete_until_ms: AtomicU64::new(0),
            is_joined: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            me,
        })
    }

    /// The configured objects of the version in force.
    #[must_use]
    pub fn objects(&self) -> Arc<Objects> {
        Arc::clone(&self.accepted.load().objects)
    }

    /// Locks the membership state.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        lock(&self.members)
    }

    /// The current view of the fleet.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(self.members().view())
    }

    /// Locks the wait estimates of the pools.
    pub fn wait_estimates(&self) -> MutexGuard<'_, WaitEstimates> {
        lock(&self.wait_estimates)
    }

    /// Locks the table of idempotency keys.
    pub fn key_table(&self) -> MutexGuard<'_, KeyTable> {
        lock(&self.key_table)
    }

    /// Locks the calls with an idempotency key that run here.
    pub fn keyed_runs(&self) -> MutexGuard<'_, HashMap<KeyName, OutcomeReceiver>> {
        lock(&self.keyed_runs)
    }

    /// The pools that have an actor in this process, open or closed.
    #[must_use]
    pub fn pools(&self) -> Vec<(PoolName, ActorRef<PoolActor>)> {
        let pools = lock(&self.pools);
        let mut found = Vec::with_capacity(pools.len());
        for (name, actor) in pools.iter() {
            found.push((name.clone(), actor.clone()));
        }
        found
    }

    /// The actor of a pool, if this process has one.
    #[must_use]
    pub fn pool(&self, name: &PoolName) -> Option<ActorRef<PoolActor>> {
        lock(&self.pools).get(name).cloned()
    }

    /// Returns the actor of a pool, starting it if necessary, and whether it is
    /// new. Returns `None` if no service has the pool's name.
    #[must_use]
    pub fn start_pool(self: &Arc<Self>, name: &PoolName) -> Option<(ActorRef<PoolActor>, bool)> {
        let objects = self.objects();
        let service = objects.services.get(&name.service)?;
        let mut pools = lock(&self.pools);
        if let Some(actor) = pools.get(name) {
            return Some((actor.clone(), false));
        }
        let args = PoolActorArgs {
            name: name.clone(),
            service: Arc::clone(service),
            node: Arc::downgrade(self),
        };
        let actor = PoolActor::spawn_with_mailbox(args, mailbox::unbounded());
        let update = Update {
            service: Arc::clone(service),
            listed: self.listed_upstreams(name),
        };
        let _ = actor.tell(update).try_send();
        pools.insert(name.clone(), actor.clone());
        Some((actor, true))
    }

    /// The upstreams of a pool according to the list.
    ///
    /// All of them count as leaving if the data centre does not accept work.
    #[must_use]
    pub fn listed_upstreams(&self, name: &PoolName) -> Vec<ListedUpstream> {
        let is_out = !self.objects().accepts_work(&name.data_centre);
        let mut listed = Vec::new();
        let Some(copy) = self.list.load_full() else {
            return listed;
        };
        for instance in &copy.list.instances {
            let is_match = instance.role == Role::Upstream
                && instance.data_centre == name.data_centre
                && instance.service.as_ref() == Some(&name.service);
            if !is_match {
                continue;
            }
            listed.push(ListedUpstream {
                name: Arc::clone(&instance.name),
                address: instance.address,
                is_leaving: instance.state.is_leaving() || is_out,
            });
        }
        listed
    }

    /// Updates all pools after a change of the list or the objects.
    pub fn update_pools(&self) {
        let objects = self.objects();
        for (name, actor) in self.pools() {
            let Some(service) = objects.services.get(&name.service) else {
                continue;
            };
            let update = Update {
                service: Arc::clone(service),
                listed: self.listed_upstreams(&name),
            };
            let _ = actor.tell(update).try_send();
        }
        self.notify_changed();
    }

    /// Notifies tasks of a change of the view, the list or the objects.
    pub fn notify_changed(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns a number that is unique within this process.
    #[must_use]
    pub fn next_ticket(&self) -> u64 {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether new work may be sent to upstreams.
    #[must_use]
    pub fn may_send(&self) -> bool {
        self.fence.may_send(self.clock.now_ms())
    }

    /// Waits while the process catches up after a stall, at most until
    /// `deadline`, then returns whether new work may be sent to upstreams.
    ///
    /// If sending is not allowed for another reason, returns at once.
    pub async fn wait_may_send(&self, deadline: Instant) -> bool {
        let until = deadline.min(Instant::now() + CATCH_UP_TIMEOUT);
        while !self.fence.has_caught_up(self.clock.now_ms()) && Instant::now() < until {
            sleep(CATCH_UP_POLL_INTERVAL).await;
        }
        self.may_send()
    }

    /// Whether this instance is ready for callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let has_objects = self.accepted.load().version > 0;
        has_objects && self.is_joined() && !self.is_stopping() && self.may_send()
    }

    /// Whether a planned stop is in progress.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Starts a planned stop: the instance is not ready from now on.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Whether this process has joined the fleet.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.is_joined.load(Ordering::Relaxed)
    }

    /// Marks this process as joined.
    ///
    /// For `records_incomplete_ms` from now, earlier key records may be missing.
    pub fn set_joined(&self, records_incomplete_ms: u64) {
        let now_ms = self.clock.now_ms();
        self.records_incomplete_until_ms
            .store(now_ms + records_incomplete_ms, Ordering::Relaxed);
        self.is_joined.store(true, Ordering::Relaxed);
    }

    /// Time from now for which earlier key records may be missing.
    #[must_use]
    pub fn records_incomplete_ms(&self) -> u64 {
        let until_ms = self.records_incomplete_until_ms.load(Ordering::Relaxed);
        until_ms.saturating_sub(self.clock.now_ms())
    }

    /// Adds to an organisation's retry budget for the first attempt of a call.
    pub fn deposit_retry(&self, organisation: &Arc<str>) {
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = retry_budgets.entry(Arc::clone(organisation));
        budget.or_insert_with(new_retry_budget).deposit();
    }

    /// Withdraws one retry from an organisation's budget; `false` if it is
    /// exhausted.
    #[must_use]
    pub fn try_withdraw_retry(&self, organisation: &Arc<str>) -> bool {
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = retry_budgets.entry(Arc::clone(organisation));
        budget.or_insert_with(new_retry_budget).try_withdraw()
    }

    /// Logs a decision on a call and keeps it for operators.
    pub fn log_decision(
        &self,
        kind: DecisionKind,
        call: &Call,
        target: &Arc<str>,
        reason: impl Into<Arc<str>>,
    ) {
        self.decisions.record(DecisionRecord {
            at_ms: self.clock.now_ms(),
            kind,
            call: Arc::clone(&call.id),
            service: Arc::clone(&call.service),
            target: Arc::clone(target),
            reason: reason.into(),
        });
    }

    /// Merges reset counts, and passes increased ones on to all pools and peers.
    pub fn on_reset_counts(&self, reset_counts: &[ResetCount]) {
        let now_us = self.clock.now_us();
        let mut updated = Vec::new();
        {
            let mut poison = lock(&self.poison);
            for reset_count in reset_counts {
                if reset_count.resets > poison.resets(reset_count.fingerprint, now_us) {
                    poison.merge(reset_count.fingerprint, reset_count.resets, now_us);
                    updated.push(*reset_count);
                }
            }
        }
        if updated.is_empty() {
            return;
        }
        for (_, actor) in self.pools() {
            let _ = actor.tell(MergeResetCounts(updated.clone())).try_send();
        }
        self.gossip_now.notify_one();
    }

    /// Creates the gossip message of this instance.
    #[must_use]
    pub fn gossip_message(&self) -> GossipMessage {
        let now_ms = self.clock.now_ms();
        let reset_counts =
            lock(&self.poison).reset_counts(self.clock.now_us(), MAX_GOSSIP_RESET_COUNTS);
        let mut members = self
            .members()
            .gossip(now_ms, MAX_GOSSIP_MEMBERS, &mut rand::rng());
        if !self.is_joined() {
            // The first entry is this process, which must not appear in views
            // before it has joined.
            members.remove(0);
        }
        GossipMessage {
            members,
            version: self.accepted.load().version,
            list_age_ms: self
                .list
                .load()
                .as_ref()
                .map(|_| self.fence.list_age_ms(now_ms)),
            reset_counts: reset_counts.into_iter().map(to_wire).collect(),
        }
    }

    /// Handles the gossip message of another instance.
    pub fn on_gossip(&self, message: &GossipMessage) {
        let now_ms = self.clock.now_ms();
        if self.members().on_gossip(now_ms, &message.members) {
            self.on_view_changed();
        }
        let mut reset_counts = Vec::with_capacity(message.reset_counts.len());
        for reset_count in &message.reset_counts {
            reset_counts.push(ResetCount {
                fingerprint: reset_count.fingerprint,
                resets: reset_count.resets,
            });
        }
        self.on_reset_counts(&reset_counts);
    }

    /// Records a response of a peer, which returns to the view if it was
    /// unresponsive.
    pub fn on_peer_answered(&self, member: &Arc<Member>) {
        let entries = [GossipEntry {
            member: Arc::clone(member),
            age_ms: 0,
            is_leaving: false,
        }];
        let now_ms = self.clock.now_ms();
        if self.members().on_gossip(now_ms, &entries) {
            self.on_view_changed();
        }
    }

    /// Logs a new view and notifies the tasks that depend on it.
    pub fn on_view_changed(&self) {
        let view = self.view();
        self.metrics.count(Counter::ViewChanges);
        let names: Vec<&str> = view.members().iter().map(|member| &*member.name).collect();
        tracing::info!(target: "membership", members = ?names, "view of the fleet changed");
        self.notify_changed();
    }

    /// Checks on a peer after a failed call, and removes it from the view if it
    /// is dead or unresponsive.
    pub async fn check_peer(&self, member: &Arc<Member>, error: &PeerError) {
        let mut is_refused = error.is_refused();
        let mut is_unresponsive = matches!(error, PeerError::Unreachable(_));
        if !is_refused && !is_unresponsive {
            // A new connection shows whether the peer or only the old connection
            // failed.
            self.peers.disconnect(member.address);
            let deadline = Instant::now() + PEER_CHECK_TIMEOUT;
            let message = self.gossip_message();
            let response = self
                .peers
                .call(member.address, deadline, |client, context| async move {
                    client.gossip(context, message).await
                })
                .await;
            match response {
                Ok(message) => self.on_gossip(&message),
                Err(error) if error.is_refused() => is_refused = true,
                Err(_) => is_unresponsive = true,
            }
        }
        let now_ms = self.clock.now_ms();
        let mut is_changed = false;
        if is_refused {
            is_changed = self.members().mark_dead(now_ms, member);
        } else if is_unresponsive {
            is_changed = self.members().mark_unresponsive(now_ms, member);
        }
        if is_changed {
            tracing::info!(target: "membership", member = %member.name, is_refused, "removed a peer from the view");
            self.on_view_changed();
        }
    }
}

fn new_retry_budget() -> RetryBudget {
    RetryBudget::new(RETRY_DEPOSIT_MILLI, INITIAL_RETRIES)
}

fn to_wire(reset_count: ResetCount) -> WireResetCount {
    WireResetCount {
        fingerprint: reset_count.fingerprint,
        resets: reset_count.resets,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

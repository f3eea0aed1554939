//! Whether this instance reaches any upstream: records answers and failures, checks the
//! links while they are in doubt, and keeps failures of its own links from counting
//! against upstreams.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::{Instant, sleep, timeout};

use super::calls::to_ms;
use super::link_checks::{MAX_LATE_PROBES, start_probes};
use super::offers;
use super::state::Gateway;
use super::store::Platform;
use super::upstream_client::UpstreamClient;
use crate::decision::ejection::Evidence;
use crate::decision::upstream_contact::{ContactEvidence, SILENCE_MS, UpstreamContact};

/// Upstreams that one check probes, on new connections.
const PROBES_PER_CHECK: usize = 2;
/// Upstreams that the first check probes: more, since its result changes what is done.
const PROBES_IN_DOUBT: usize = 4;
/// Interval between checks while this instance is cut off: 13 probes a second on new
/// connections, and as many on kept ones while there are any.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Wait for the result of a check that another attempt began just before.
const VERDICT_WAIT: Duration = Duration::from_millis(250 + SILENCE_MS);

/// What this instance knows of its links to upstreams.
#[derive(Debug)]
pub struct ContactState {
    contact: Mutex<UpstreamContact>,
    /// Notified when the links are in doubt.
    doubted: Notify,
    is_cut_off: watch::Sender<bool>,
    /// Changes with each answer.
    answered: watch::Sender<()>,
    late_probes: Semaphore,
    /// Services whose upstreams let probes wait for a slot.
    queueing_services: Mutex<HashSet<Arc<str>>>,
    /// Whether checks of kept connections have not been answered since the doubt began.
    is_kept_silent: AtomicBool,
}

impl Default for ContactState {
    fn default() -> Self {
        Self {
            contact: Mutex::default(),
            doubted: Notify::new(),
            is_cut_off: watch::Sender::new(false),
            answered: watch::Sender::new(()),
            late_probes: Semaphore::new(MAX_LATE_PROBES),
            queueing_services: Mutex::default(),
            is_kept_silent: AtomicBool::new(false),
        }
    }
}

impl ContactState {
    /// Locks the decision.
    pub fn decision(&self) -> MutexGuard<'_, UpstreamContact> {
        self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this instance believes that it reaches no upstream.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        *self.is_cut_off.borrow()
    }

    /// Waits until this instance believes that it reaches no upstream.
    pub async fn cut_off(&self) {
        let mut is_cut_off = self.is_cut_off.subscribe();
        // The sender lives as long as the process.
        let _ = is_cut_off.wait_for(|is_cut_off| *is_cut_off).await;
    }

    /// Waits until this instance no longer believes that it reaches no upstream.
    pub async fn in_contact(&self) {
        let mut is_cut_off = self.is_cut_off.subscribe();
        // The sender lives as long as the process.
        let _ = is_cut_off.wait_for(|is_cut_off| !*is_cut_off).await;
    }

    /// Whether an upstream has answered at `since_ms` or later; checks the links for at
    /// most `limit` if not, unless this instance knows that it is cut off.
    pub async fn has_answer_since(&self, since_ms: u64, limit: Duration) -> bool {
        let mut answered = self.answered.subscribe();
        let has_answered = || self.decision().has_answered_since(since_ms);
        if has_answered() || self.is_cut_off() {
            return has_answered() && !self.is_cut_off();
        }
        self.check();
        let settle = async {
            while !has_answered() {
                tokio::select! {
                    _ = answered.changed() => {}
                    () = self.cut_off() => return,
                }
            }
        };
        // A timeout says the same as no answer.
        let _ = timeout(limit, settle).await;
        has_answered()
    }

    /// Whether the probes of a service's upstreams wait for a slot, so that the silence of one
    /// may only mean that it is full.
    #[must_use]
    pub fn lets_probes_wait(&self, service: &str) -> bool {
        self.lock_queueing_services().contains(service)
    }

    /// Records whether an upstream told its load in the answer to a probe, as those do that
    /// answer probes at once; returns whether that is new for the service.
    pub fn on_probe_load(&self, service: &Arc<str>, tells_load: bool) -> bool {
        let mut services = self.lock_queueing_services();
        if services.contains(service) != tells_load {
            return false;
        }
        if tells_load {
            services.remove(service)
        } else {
            services.insert(Arc::clone(service))
        }
    }

    fn lock_queueing_services(&self) -> MutexGuard<'_, HashSet<Arc<str>>> {
        self.queueing_services
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Permits for probes that wait on for a late answer.
    #[must_use]
    pub fn late_probes(&self) -> &Semaphore {
        &self.late_probes
    }

    /// Records whether checks of kept connections are without an answer.
    pub fn set_kept_silent(&self, is_silent: bool) {
        self.is_kept_silent.store(is_silent, Ordering::Relaxed);
    }

    /// Has the links checked, unless an upstream has answered meanwhile.
    pub fn check(&self) {
        self.doubted.notify_one();
    }
}

impl<P: Platform> Gateway<P> {
    /// Records that an upstream answered a request or a probe.
    pub fn on_upstream_answer(&self, upstream: &str) {
        let ended = self.contact.decision().on_answer(self.now_ms());
        self.contact.answered.send_replace(());
        let Some(evidence) = ended else {
            return;
        };
        // These connections lead over lost links, and would hang for a while.
        let closes_kept = self.contact.is_kept_silent.swap(false, Ordering::Relaxed);
        if closes_kept {
            self.upstream_clients.close_idle();
        }
        self.contact.is_cut_off.send_replace(false);
        self.metrics.cut_off.set(0);
        tracing::info!(
            upstream,
            held_ms = evidence.held_ms,
            no_answer_ms = evidence.no_answer_ms,
            closes_kept,
            "links to upstreams are back: an upstream answered"
        );
    }

    /// Records the time of a probe that has just been answered.
    pub fn on_probe_time(&self, sent_at: Instant) {
        let took_ms = to_ms(sent_at.elapsed());
        self.contact.decision().on_probe_time(took_ms);
    }

    /// Records that an upstream has not answered a probe in time, or cannot be reached.
    pub fn on_upstream_silent(&self, client: &UpstreamClient) {
        let known = self.view().directory.len();
        let is_suspected = {
            let mut contact = self.contact.decision();
            contact.on_failure(&client.id);
            contact.is_suspected(known) && !contact.is_cut_off()
        };
        if is_suspected {
            self.contact.check();
        }
    }

    /// Records a failed attempt that began at `started`, and returns whether it ejects the
    /// upstream; one that overlaps a cut of this instance's links says nothing about it.
    pub fn on_upstream_failure(
        &self,
        client: &UpstreamClient,
        evidence: Evidence,
        started: Instant,
    ) -> bool {
        self.on_upstream_silent(client);
        let now_ms = self.now_ms();
        let started_ms = now_ms.saturating_sub(to_ms(started.elapsed()));
        let answers = {
            let contact = self.contact.decision();
            if contact.was_cut_off_since(started_ms) {
                client.ejection().on_abandoned();
                return false;
            }
            contact.answers()
        };
        client.remember_ejection(answers);
        client.ejection().on_evidence(evidence, now_ms)
    }

    /// Whether this instance is cut off, as far as a short check shows: true also if an
    /// attempt that failed just now may have failed with its links.
    pub async fn lost_links_since(&self, failed: Instant) -> bool {
        let failed_ms = self.now_ms().saturating_sub(to_ms(failed.elapsed()));
        let has_answer = self.contact.has_answer_since(failed_ms, VERDICT_WAIT).await;
        // Without an answer and without the belief, too few upstreams are known to tell.
        !has_answer && self.contact.is_cut_off()
    }

    /// Begins the belief that no upstream answers this instance.
    pub fn begin_cut_off(&self, evidence: ContactEvidence) {
        let answers = self.contact.decision().answers();
        self.upstream_clients.restore_ejections(answers);
        self.contact.is_cut_off.send_replace(true);
        self.metrics.cut_off.set(1);
        tracing::warn!(
            failed_upstreams = evidence.failed,
            no_answer_ms = evidence.no_answer_ms,
            known_upstreams = self.view().directory.len(),
            "no upstream answers this instance: its requests go to other instances"
        );
    }
}

/// Checks the links whenever they are in doubt, and until they are back.
pub async fn run<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        gateway.contact.doubted.notified().await;
        check_once(&gateway).await;
        while gateway.contact.is_cut_off() {
            let refreshing = Arc::clone(&gateway);
            tokio::spawn(async move { offers::refresh(&refreshing).await });
            start_probes(&gateway, PROBES_PER_CHECK);
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Probes a few upstreams, and begins the belief if none has answered in time.
async fn check_once<P: Platform>(gateway: &Arc<Gateway<P>>) {
    let checked_ms = gateway.now_ms();
    let mut answered = gateway.contact.answered.subscribe();
    let is_in_doubt = gateway.contact.decision().has_failures();
    let count = if is_in_doubt {
        PROBES_IN_DOUBT
    } else {
        PROBES_PER_CHECK
    };
    gateway.contact.set_kept_silent(false);
    start_probes(gateway, count);
    let wait_ms = gateway.contact.decision().check_wait_ms();
    let wait = Duration::from_millis(wait_ms);
    if timeout(wait, answered.changed()).await.is_ok() {
        return;
    }
    let known = gateway.view().directory.len();
    let now_ms = gateway.now_ms();
    let begun = gateway
        .contact
        .decision()
        .try_begin(checked_ms, known, now_ms);
    if let Some(evidence) = begun {
        gateway.begin_cut_off(evidence);
    }
}

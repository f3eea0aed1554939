//! Whether this instance reaches any upstream: records answers and failures, checks the
//! links while they are in doubt, and keeps failures of its own links from counting
//! against upstreams.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

use super::calls::to_ms;
use super::offers;
use super::rate_limits::{AnswerKind, probe_answer_kind};
use super::state::Gateway;
use super::store::Platform;
use super::upstream_client::{ListenState, UpstreamClient, evidence_of};
use crate::decision::directory::Upstream;
use crate::decision::ejection::Evidence;
use crate::decision::upstream_contact::{ContactEvidence, SILENCE_MS, UpstreamContact};

/// Upstreams that one check probes, on new connections.
const PROBES_PER_CHECK: usize = 2;
/// Upstreams that the first check probes: more, since its result changes what is done.
const PROBES_IN_DOUBT: usize = 4;
/// Interval between checks while this instance is cut off: 13 probes a second.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout of a check's probe; a packet that is lost is sent again after 200 ms.
const CHECK_TIMEOUT: Duration = Duration::from_millis(450);
/// Time in which one of the probes of a check must be answered; a first packet that is
/// lost is sent again within it, and busy machines answer within it.
const CHECK_WAIT: Duration = Duration::from_millis(250);

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
}

impl Default for ContactState {
    fn default() -> Self {
        Self {
            contact: Mutex::default(),
            doubted: Notify::new(),
            is_cut_off: watch::Sender::new(false),
            answered: watch::Sender::new(()),
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
        self.upstream_clients.close_idle();
        self.contact.is_cut_off.send_replace(false);
        self.metrics.cut_off.set(0);
        tracing::info!(
            upstream,
            held_ms = evidence.held_ms,
            no_answer_ms = evidence.no_answer_ms,
            "links to upstreams are back: an upstream answered"
        );
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

    fn begin_cut_off(&self, evidence: ContactEvidence) {
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
    start_probes(gateway, count);
    if timeout(CHECK_WAIT, answered.changed()).await.is_ok() {
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

/// Probes a few random upstreams on new connections, at first those that have not failed.
///
/// Limited, cold and draining ones are not to be asked for this. If there are no others, a
/// connection that one of them accepts shows that the links work.
fn start_probes<P: Platform>(gateway: &Arc<Gateway<P>>, count: usize) {
    let Some(manifest) = gateway.manifest() else {
        return;
    };
    let now_ms = gateway.now_ms();
    let mut known: Vec<(Arc<Upstream>, Arc<str>)> = Vec::new();
    let mut limited: Vec<Arc<Upstream>> = Vec::new();
    for (service, spec) in &manifest.services {
        for upstream in gateway.eligible_upstreams(service) {
            if gateway.limit_of(&upstream.report).is_some() || upstream.cold_until_ms > now_ms {
                limited.push(upstream);
            } else {
                known.push((upstream, Arc::clone(&spec.health_path)));
            }
        }
    }
    if known.is_empty() {
        limited.shuffle(&mut rand::rng());
        for upstream in limited.into_iter().take(count) {
            let client = gateway.upstream_clients.get(&upstream.report);
            tokio::spawn(check_connection(Arc::clone(gateway), client));
        }
        return;
    }
    known.shuffle(&mut rand::rng());
    {
        let contact = gateway.contact.decision();
        known.sort_by_key(|(upstream, _)| contact.has_failed(&upstream.report.id));
    }
    let mut services: Vec<Arc<str>> = Vec::with_capacity(count);
    let mut later = Vec::new();
    let mut drawn = Vec::with_capacity(count);
    // Different services first: the upstreams of one may all be down.
    for entry in known {
        let service = &entry.0.report.service;
        if services.contains(service) {
            later.push(entry);
        } else {
            services.push(Arc::clone(service));
            drawn.push(entry);
        }
    }
    drawn.append(&mut later);
    drawn.truncate(count);
    for (upstream, health_path) in drawn {
        let client = gateway.upstream_clients.get(&upstream.report);
        tokio::spawn(check_upstream(Arc::clone(gateway), client, health_path));
    }
}

async fn check_connection<P: Platform>(gateway: Arc<Gateway<P>>, client: Arc<UpstreamClient>) {
    if client.check_accepts(&gateway.metrics).await == ListenState::Accepted {
        gateway.on_upstream_answer(&client.id);
    } else {
        gateway.on_upstream_silent(&client);
    }
}

async fn check_upstream<P: Platform>(
    gateway: Arc<Gateway<P>>,
    client: Arc<UpstreamClient>,
    health_path: Arc<str>,
) {
    let sent_at = Instant::now();
    let names = gateway.platform.headers();
    let probe = client.probe_on_new(names, &health_path, &gateway.metrics);
    let Ok(probed) = timeout(CHECK_TIMEOUT, probe).await else {
        return gateway.on_upstream_silent(&client);
    };
    match probed {
        Ok(probed) => {
            gateway.on_upstream_answer(&client.id);
            let limit = probed.named_limit;
            gateway.on_named_limit(&client, limit, sent_at, AnswerKind::Probe);
            let kind = probe_answer_kind(&probed.reading);
            gateway.on_notice(&client, probed.notice, sent_at, kind);
            client.release(probed.connection);
        }
        Err(error) => {
            gateway.metrics.probes_failed.inc();
            gateway.on_upstream_failure(&client, evidence_of(&error), sent_at);
        }
    }
}

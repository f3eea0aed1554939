//! Moves the traffic of services to upstreams of a new version, where operators order it.
//!
//! One instance decides ([`deciding`]); the others send it their counts ([`exchange`]) and use
//! the share that it answers with. Without an order, nothing here has an effect.

pub mod choice;
pub mod counts;
pub mod deciding;
pub mod exchange;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;

use self::counts::Counts;
use self::deciding::Deciding;
use crate::decision::directory::Upstream;
use crate::decision::rollout::{State, Status, Step};

/// Time for which a version stays barred after its order is withdrawn; its upstreams drain.
const BARRED_MS: u64 = 60_000;

/// What this instance knows of the roll-out of one service.
#[derive(Debug, Default)]
pub struct Rule {
    /// Target version of the order in force; `None` if it is unreadable or withdrawn.
    pub target: Option<Arc<str>>,
    /// The last known status.
    pub status: Option<Status>,
    /// Until when its share may be used without another answer of the decider.
    confirmed_until_ms: u64,
    /// When the order was withdrawn.
    withdrawn_ms: Option<u64>,
    /// Requests that are due to the new version.
    credit: Mutex<f64>,
    is_stopped: AtomicBool,
}

impl Rule {
    fn state(&self) -> Option<State> {
        self.status.as_ref().map(|status| status.state)
    }

    /// The version that the roll-out is about.
    fn subject(&self) -> Option<&Arc<str>> {
        let status = self.status.as_ref();
        self.target
            .as_ref()
            .or_else(|| status.map(|status| &status.target_version))
    }

    /// Whether an upstream has the version that the roll-out is about.
    #[must_use]
    pub fn is_new(&self, upstream: &Upstream) -> bool {
        upstream.report.version.is_some() && upstream.report.version.as_ref() == self.subject()
    }

    fn is_barred(&self, upstream: &Upstream) -> bool {
        let Some(version) = &upstream.report.version else {
            return false;
        };
        let status = self.status.as_ref();
        status.is_some_and(|status| status.barred.contains(version))
    }

    /// Whether requests are counted by version.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.state() == Some(State::Running)
    }

    /// Share of requests that goes to the new version.
    #[must_use]
    pub fn share(&self, now_ms: u64) -> f64 {
        let Some(status) = self.status.as_ref().filter(|_| self.is_running()) else {
            return 0.0;
        };
        // In the last step the evidence is complete, and the old upstreams may stop any time.
        let is_confirmed = now_ms < self.confirmed_until_ms || status.step == Step::All;
        if self.is_stopped.load(Ordering::Relaxed) || !is_confirmed {
            return 0.0;
        }
        status.share
    }

    /// Whether the next request goes to the new version; the draws are spread evenly.
    fn draw(&self, now_ms: u64) -> bool {
        let share = self.share(now_ms);
        if share <= 0.0 {
            return false;
        }
        let mut credit = lock(&self.credit);
        *credit += share;
        if *credit < 1.0 {
            return false;
        }
        *credit -= 1.0;
        true
    }

    /// Leaves out the upstreams that get no requests, or only by [`Rule::draw`].
    fn retain(&self, upstreams: &mut Vec<Arc<Upstream>>) {
        upstreams.retain(|upstream| !self.is_barred(upstream));
        let has_old = upstreams.iter().any(|upstream| !self.is_new(upstream));
        let has_new = upstreams.iter().any(|upstream| self.is_new(upstream));
        match self.state() {
            Some(State::Completed) if has_new => {
                upstreams.retain(|upstream| self.is_new(upstream));
            }
            Some(State::RolledBack) => upstreams.retain(|upstream| !self.is_new(upstream)),
            // Without old upstreams, the roll-out has been completed before, or there is no
            // other version that could serve.
            None | Some(State::Running) if has_old => {
                upstreams.retain(|upstream| !self.is_new(upstream));
            }
            _ => {}
        }
    }
}

/// Roll-outs, and what this instance counts and decides.
#[derive(Debug, Default)]
pub struct Rollouts {
    has_any: AtomicBool,
    rules: ArcSwap<HashMap<Arc<str>, Arc<Rule>>>,
    counts: Mutex<Counts>,
    deciding: Mutex<Deciding>,
}

impl Rollouts {
    /// What is known of the roll-out of a service; `None` for most.
    #[must_use]
    pub fn rule(&self, service: &str) -> Option<Arc<Rule>> {
        if !self.has_any.load(Ordering::Relaxed) {
            return None;
        }
        self.rules.load().get(service).cloned()
    }

    /// Leaves out upstreams of a service that get no requests because of their version.
    pub fn retain_usable(&self, service: &str, upstreams: &mut Vec<Arc<Upstream>>) {
        if let Some(rule) = self.rule(service) {
            rule.retain(upstreams);
        }
    }

    /// Stops sending to the new version of a service until its status changes; returns whether
    /// this is news.
    pub fn stop_here(&self, service: &str) -> bool {
        let rule = self.rule(service);
        rule.is_some_and(|rule| !rule.is_stopped.swap(true, Ordering::Relaxed))
    }

    /// Takes the orders in force: services that have none lose their rule, unless a version is
    /// barred there.
    pub fn set_orders(&self, orders: &HashMap<Arc<str>, Option<Arc<str>>>, now_ms: u64) {
        let known = self.rules.load_full();
        let mut rules = HashMap::new();
        for (service, target) in orders {
            let before = known.get(service);
            let is_same =
                before.is_some_and(|rule| rule.target == *target && rule.withdrawn_ms.is_none());
            let rule = match before {
                Some(rule) if is_same => Arc::clone(rule),
                Some(rule) => Arc::new(rule.with(|new| {
                    // The status is that of another order, unless it names this version.
                    let status = new.status.take();
                    new.status =
                        status.filter(|status| Some(&status.target_version) == target.as_ref());
                    new.target.clone_from(target);
                    new.withdrawn_ms = None;
                })),
                None => Arc::new(Rule {
                    target: target.clone(),
                    credit: Mutex::new(rand::random()),
                    ..Rule::default()
                }),
            };
            rules.insert(Arc::clone(service), rule);
        }
        for (service, rule) in known.iter() {
            let since_ms = rule.withdrawn_ms.unwrap_or(now_ms);
            if orders.contains_key(service)
                || rule.state() == Some(State::Completed)
                || now_ms >= since_ms + BARRED_MS
            {
                continue;
            }
            let withdrawn = rule.with(|new| {
                new.withdrawn_ms = Some(since_ms);
                if new.state() != Some(State::RolledBack) {
                    // What was on the way is taken back.
                    if let Some(status) = &mut new.status {
                        status.state = State::RolledBack;
                        status.share = 0.0;
                    }
                }
            });
            rules.insert(Arc::clone(service), Arc::new(withdrawn));
        }
        self.has_any.store(!rules.is_empty(), Ordering::Relaxed);
        self.rules.store(Arc::new(rules));
    }

    /// Takes a status that the decider has confirmed, whose share may be used until `until_ms`;
    /// returns whether it is news.
    pub fn on_status(&self, service: &Arc<str>, status: &Status, until_ms: u64) -> bool {
        let known = self.rules.load_full();
        let Some(rule) = known.get(service) else {
            return false;
        };
        let before = rule.status.as_ref();
        if before.is_some_and(|before| !may_follow(before, status)) {
            return false;
        }
        let is_news = before != Some(status);
        let replaced = rule.with(|new| {
            new.confirmed_until_ms = until_ms;
            if before.is_none_or(|before| before.order != status.order) {
                new.is_stopped = AtomicBool::new(false);
            }
            new.status = Some(status.clone());
        });
        let mut rules = (*known).clone();
        rules.insert(Arc::clone(service), Arc::new(replaced));
        self.rules.store(Arc::new(rules));
        is_news
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        lock(&self.counts)
    }

    fn deciding(&self) -> MutexGuard<'_, Deciding> {
        lock(&self.deciding)
    }
}

impl Rule {
    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut new = Self {
            target: self.target.clone(),
            status: self.status.clone(),
            confirmed_until_ms: self.confirmed_until_ms,
            withdrawn_ms: self.withdrawn_ms,
            credit: Mutex::new(*lock(&self.credit)),
            is_stopped: AtomicBool::new(self.is_stopped.load(Ordering::Relaxed)),
        };
        change(&mut new);
        new
    }
}

/// Whether a status is as new as the known one; answers may overtake each other.
fn may_follow(known: &Status, status: &Status) -> bool {
    // A store that returns from a copy may have lost the end of a roll-out.
    if known.order == status.order
        && known.state != State::Running
        && status.state == State::Running
    {
        return false;
    }
    let age = |status: &Status| {
        let is_final = status.state != State::Running;
        (status.began_ms, is_final, status.step, status.step_ms)
    };
    age(status) >= age(known)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

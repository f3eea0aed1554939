//! Runs calls that may not be repeated, at most once per key.
//!
//! `docs/design/at-most-once.md` gives the reasoning. In short: two instances
//! know a key before its call runs, those two are asked by every later
//! attempt, and where neither can be asked the answer is unknown.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use super::clock::{deadline_in_us, remaining_us};
use super::decisions::Kind;
use super::keys::{Claim, KeyName, KeyRecord, KeyState, RETENTION_MS};
use super::members::{Member, View};
use super::node::{Following, Node};
use super::placement::place;
use crate::connection::wire::{ClaimRequest, Settlement};
use crate::request::call::Call;
use crate::request::outcome::{NotRunReason, Outcome, UnknownReason};

/// Times that an entry instance looks for the first of a key's pair.
const TRIES_MAX: usize = 6;
/// Times that the others are asked about a key.
const CLEAR_TRIES: usize = 8;
/// Pause for the view to change.
const VIEW_PAUSE: Duration = Duration::from_millis(25);
/// Time in which a claim must be answered.
const CLAIM_LIMIT: Duration = Duration::from_millis(250);
/// Time in which a settlement must be answered.
const SETTLE_LIMIT: Duration = Duration::from_secs(1);
/// Times that a settlement is told.
const SETTLE_TRIES: usize = 3;
/// When to ask again for a key whose attempt still runs.
const ASK_AGAIN_MS: u64 = 500;
/// Time that the first of a pair may take beyond the deadline to confirm.
const CONFIRM: Duration = Duration::from_millis(100);
/// How far callers' clocks may be off, for keys that carry their time.
const CLOCK_ERROR_MS: u64 = 5_000;

/// Serves a keyed call at an entry instance.
pub async fn enter(node: &Arc<Node>, call: Arc<Call>, deadline: Instant) -> Outcome {
    let Some(name) = call.key_name() else {
        return Outcome::not_run(NotRunReason::NoService, 0);
    };
    let hash = name.hash();
    for _ in 0..TRIES_MAX {
        let view = node.view();
        let Some(first) = view.pair(hash).into_iter().next() else {
            sleep(VIEW_PAUSE).await;
            continue;
        };
        node.note(Kind::Route, &call, &first.name, "first-of-pair");
        if *first == *node.me {
            return run_as_first(node, &call, deadline).await;
        }
        let mut passed = Call::clone(&call);
        passed.remaining_us = remaining_us(deadline);
        let answer = node
            .peers
            .call(first.address, deadline + CONFIRM, |client, context| {
                let passed = Arc::new(passed);
                async move { client.run_keyed(context, passed).await }
            })
            .await;
        match answer {
            Ok(outcome) => return outcome,
            Err(error) => {
                node.verify(&first, &error).await;
                // The key lets the call be brought to its next first: that
                // one asks who may know an earlier attempt.
                if Instant::now() >= deadline {
                    break;
                }
            }
        }
        if node.view().pair(hash).first() == Some(&first) {
            sleep(VIEW_PAUSE).await;
        }
    }
    Outcome::unknown(UnknownReason::HolderLost, ASK_AGAIN_MS)
}

/// Serves a keyed call at the first instance of its key's pair.
pub async fn run_as_first(node: &Arc<Node>, call: &Arc<Call>, deadline: Instant) -> Outcome {
    let Some(name) = call.key_name() else {
        return Outcome::not_run(NotRunReason::NoService, 0);
    };
    let fingerprint = call.fingerprint();
    let mut following = match begin(node, &name, fingerprint) {
        Beginning::Follow(following) => following,
        Beginning::Over(outcome) => {
            node.note(Kind::Recall, call, &node.me.name, "known-key");
            return outcome;
        }
        Beginning::Run(sender, following) => {
            let run = KeyedRun {
                node: Arc::clone(node),
                call: Arc::clone(call),
                name: name.clone(),
                fingerprint,
                deadline,
            };
            // On its own task: the run goes on when the caller goes away.
            tokio::spawn(run.execute(sender));
            following
        }
    };
    let ended = following.wait_for(Option::is_some);
    let outcome = match timeout_at(deadline + CONFIRM / 2, ended).await {
        Ok(Ok(outcome)) => outcome.clone(),
        Ok(Err(_)) | Err(_) => None,
    };
    outcome.map_or_else(
        || Outcome::unknown(UnknownReason::EarlierAttempt, ASK_AGAIN_MS),
        |outcome| Outcome::clone(&outcome),
    )
}

enum Beginning {
    Run(watch::Sender<Option<Arc<Outcome>>>, Following),
    Follow(Following),
    Over(Outcome),
}

fn begin(node: &Node, name: &KeyName, fingerprint: u64) -> Beginning {
    let now_ms = node.clock.now_ms();
    let mut following = node.following();
    let mut register = node.register();
    match register.claim(now_ms, name, fingerprint, node.me.incarnation) {
        Claim::Granted => {}
        Claim::Known(KeyState::Ended(outcome)) => return Beginning::Over(Outcome::clone(&outcome)),
        Claim::Known(KeyState::Claimed(_)) => {
            let outcome = Outcome::unknown(UnknownReason::EarlierAttempt, ASK_AGAIN_MS);
            return Beginning::Over(outcome);
        }
        Claim::OtherWork => {
            return Beginning::Over(Outcome::not_run(NotRunReason::KeyReused, 0));
        }
        Claim::Full => {
            return Beginning::Over(Outcome::not_run(NotRunReason::KeysFull, ASK_AGAIN_MS));
        }
    }
    if let Some(running) = following.get(name) {
        return Beginning::Follow(running.clone());
    }
    let (sender, receiver) = watch::channel(None);
    following.insert(name.clone(), receiver.clone());
    Beginning::Run(sender, receiver)
}

struct KeyedRun {
    node: Arc<Node>,
    call: Arc<Call>,
    name: KeyName,
    fingerprint: u64,
    deadline: Instant,
}

/// What the other instances say of a key.
enum Clearance {
    /// The call may run.
    Cleared,
    /// It must not, and this is the answer.
    Barred(Outcome),
    /// Too few could be asked for now.
    Uncovered(Outcome),
}

impl KeyedRun {
    async fn execute(self, sender: watch::Sender<Option<Arc<Outcome>>>) {
        let mut granted = Vec::new();
        let outcome = match self.clear_in_time(&mut granted).await {
            Clearance::Cleared => place(&self.node, Arc::clone(&self.call), self.deadline).await,
            Clearance::Barred(outcome) | Clearance::Uncovered(outcome) => {
                self.give_up(sender, granted, outcome).await;
                return;
            }
        };
        let outcome = Arc::new(outcome);
        {
            let now_ms = self.node.clock.now_ms();
            let mut following = self.node.following();
            let mut register = self.node.register();
            register.settle(now_ms, &self.name, self.fingerprint, &outcome);
            following.remove(&self.name);
        }
        let _ = sender.send(Some(Arc::clone(&outcome)));
        self.tell(granted, &outcome).await;
    }

    /// Ends without having run: the claims are given free again.
    async fn give_up(
        &self,
        sender: watch::Sender<Option<Arc<Outcome>>>,
        granted: Vec<Arc<Member>>,
        outcome: Outcome,
    ) {
        {
            let mut following = self.node.following();
            let mut register = self.node.register();
            register.release(&self.name, self.node.me.incarnation);
            if let Outcome::Result(_) = outcome {
                let now_ms = self.node.clock.now_ms();
                let known = Arc::new(outcome.clone());
                register.settle(now_ms, &self.name, self.fingerprint, &known);
            }
            following.remove(&self.name);
        }
        let _ = sender.send(Some(Arc::new(outcome)));
        let released = Arc::new(Outcome::not_run(NotRunReason::NoHolder, 0));
        self.tell(granted, &released).await;
    }

    /// Asks again while too few can be asked, since the view may be about to
    /// change.
    async fn clear_in_time(&self, granted: &mut Vec<Arc<Member>>) -> Clearance {
        let mut clearance = self.clear(granted).await;
        for _ in 1..CLEAR_TRIES {
            let is_final = !matches!(clearance, Clearance::Uncovered(_));
            if is_final || Instant::now() + VIEW_PAUSE >= self.deadline {
                break;
            }
            sleep(VIEW_PAUSE).await;
            clearance = self.clear(granted).await;
        }
        clearance
    }

    /// Asks all who may know the key, and claims it with them.
    async fn clear(&self, granted: &mut Vec<Arc<Member>>) -> Clearance {
        let node = &self.node;
        let now_ms = node.clock.now_ms();
        let hash = self.name.hash();
        let records_lost =
            || Clearance::Barred(Outcome::unknown(UnknownReason::RecordsLost, ASK_AGAIN_MS));
        let (views, lost_for_ms, has_majority) = {
            let members = node.members();
            let lost_for_ms = members.lost_for_ms(now_ms, hash);
            (
                members.recent_views(now_ms),
                lost_for_ms,
                members.has_majority(now_ms),
            )
        };
        if !has_majority || !node.is_joined() {
            return records_lost();
        }
        let doubt_since_ms = match (node.doubt_ms(), lost_for_ms) {
            (0, None) => None,
            (0, Some(lost_ms)) => Some(lost_ms),
            (doubt_ms, lost_ms) => Some(lost_ms.unwrap_or(0).max(RETENTION_MS - doubt_ms)),
        };
        if let Some(since_ms) = doubt_since_ms {
            let is_younger =
                key_age_ms(&self.name.key).is_some_and(|age_ms| age_ms + CLOCK_ERROR_MS < since_ms);
            if !is_younger {
                return records_lost();
            }
        }
        let mut asked = Vec::new();
        for view in &views {
            for member in view.pair(hash) {
                if *member != *node.me && !asked.contains(&member) {
                    asked.push(member);
                }
            }
        }
        let answers = asked.iter().map(|member| self.claim(member));
        let answers = futures::future::join_all(answers).await;
        let mut barred = None;
        for (member, answer) in asked.iter().zip(answers) {
            match answer {
                Some(Claim::Granted) if granted.contains(member) => {}
                Some(Claim::Granted) => granted.push(Arc::clone(member)),
                Some(other) => barred = Some(other),
                None => {}
            }
        }
        if let Some(claim) = barred {
            return Clearance::Barred(to_outcome(claim));
        }
        if !self.is_covered(&views, hash, granted) {
            let outcome = Outcome::unknown(UnknownReason::RecordsLost, ASK_AGAIN_MS);
            return Clearance::Uncovered(outcome);
        }
        Clearance::Cleared
    }

    /// Whether each recent view has one of the pair that has been asked, and
    /// whether two know the key from here on.
    fn is_covered(&self, views: &[Arc<View>], hash: u64, granted: &[Arc<Member>]) -> bool {
        let me = &self.node.me;
        let members = self.node.members();
        for (rank, view) in views.iter().enumerate() {
            let pair = view.pair(hash);
            let knows = |member: &Arc<Member>| **member == **me || granted.contains(member);
            if !pair.iter().any(knows) {
                return false;
            }
            // Later attempts may ask only one of the current pair.
            let is_current = rank == 0;
            let may_be_missing = |member: &Arc<Member>| knows(member) || members.is_dead(member);
            if is_current && !pair.iter().all(may_be_missing) {
                return false;
            }
        }
        true
    }

    async fn claim(&self, member: &Arc<Member>) -> Option<Claim> {
        let request = ClaimRequest {
            name: self.name.clone(),
            fingerprint: self.fingerprint,
            by: self.node.me.incarnation,
        };
        let deadline = Instant::now() + CLAIM_LIMIT;
        let answer = self
            .node
            .peers
            .call(member.address, deadline, |client, context| async move {
                client.claim(context, request).await
            })
            .await;
        match answer {
            Ok(claim) => Some(claim),
            Err(error) => {
                self.node.verify(member, &error).await;
                None
            }
        }
    }

    async fn tell(&self, members: Vec<Arc<Member>>, outcome: &Arc<Outcome>) {
        for member in members {
            let settlement = Settlement {
                name: self.name.clone(),
                fingerprint: self.fingerprint,
                by: self.node.me.incarnation,
                outcome: Arc::clone(outcome),
            };
            for _ in 0..SETTLE_TRIES {
                let settlement = settlement.clone();
                let deadline = Instant::now() + SETTLE_LIMIT;
                let told = self
                    .node
                    .peers
                    .call(member.address, deadline, |client, context| async move {
                        client.settle(context, settlement).await
                    })
                    .await;
                if told.is_ok() {
                    break;
                }
            }
        }
    }
}

fn to_outcome(claim: Claim) -> Outcome {
    match claim {
        Claim::Known(KeyState::Ended(outcome)) => Outcome::clone(&outcome),
        Claim::OtherWork => Outcome::not_run(NotRunReason::KeyReused, 0),
        Claim::Full => Outcome::not_run(NotRunReason::KeysFull, ASK_AGAIN_MS),
        Claim::Known(KeyState::Claimed(_)) | Claim::Granted => {
            Outcome::unknown(UnknownReason::EarlierAttempt, ASK_AGAIN_MS)
        }
    }
}

/// Answers a claim at the second instance of a key's pair.
pub fn on_claim(node: &Node, request: &ClaimRequest) -> Claim {
    let now_ms = node.clock.now_ms();
    let ClaimRequest {
        name,
        fingerprint,
        by,
    } = request;
    node.register().claim(now_ms, name, *fingerprint, *by)
}

/// Takes a settlement from the first instance of a key's pair.
pub fn on_settlement(node: &Node, settlement: &Settlement) {
    let now_ms = node.clock.now_ms();
    let mut register = node.register();
    if settlement.outcome.is_not_run() {
        register.release(&settlement.name, settlement.by);
        return;
    }
    let (name, fingerprint) = (&settlement.name, settlement.fingerprint);
    register.settle(now_ms, name, fingerprint, &settlement.outcome);
}

/// Passes records on whose pair has changed from `before` to `after`.
pub async fn teach(node: &Arc<Node>, before: &View, after: &View) {
    const CHUNK: usize = 200;
    let records = node.register().records(node.clock.now_ms());
    for member in after.members() {
        if **member == *node.me {
            continue;
        }
        let mut lesson: Vec<KeyRecord> = Vec::new();
        for record in &records {
            let hash = record.name.hash();
            let is_new = after.pair(hash).contains(member) && !before.pair(hash).contains(member);
            if is_new {
                lesson.push(record.clone());
            }
        }
        for chunk in lesson.chunks(CHUNK) {
            let chunk = chunk.to_vec();
            let deadline = Instant::now() + SETTLE_LIMIT;
            let taught = node
                .peers
                .call(member.address, deadline, |client, context| async move {
                    client.teach(context, chunk).await
                })
                .await;
            if let Err(error) = taught {
                tracing::warn!(target: "keys", member = %member.name, %error, "not taught");
                break;
            }
        }
    }
}

/// Age of a key that carries its time (UUID version 7, RFC 9562).
fn key_age_ms(key: &str) -> Option<u64> {
    let is_version_7 = key.len() == 36 && key.as_bytes()[14] == b'7';
    if !is_version_7 {
        return None;
    }
    let high = u64::from_str_radix(key.get(0..8)?, 16).ok()?;
    let low = u64::from_str_radix(key.get(9..13)?, 16).ok()?;
    let made_ms = (high << 16) | low;
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now_ms = u64::try_from(now.ok()?.as_millis()).ok()?;
    now_ms.checked_sub(made_ms)
}

/// Runs a keyed call that another instance brought.
pub async fn on_keyed(node: &Arc<Node>, call: &Arc<Call>) -> Outcome {
    let deadline = deadline_in_us(call.remaining_us);
    run_as_first(node, call, deadline).await
}

//! Runs calls that may not be repeated, at most once per key.
//!
//! `docs/design/at-most-once.md` gives the reasoning. In short: two instances
//! know a key before its call runs, those two are asked by every later
//! attempt, and where neither can be asked the answer is unknown.

mod claims;
mod replication;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use super::clock::{deadline_in_us, remaining_us};
use super::decisions::Kind;
use super::keys::{ClaimResponse, KeyName, KeyState};
use super::members::Member;
use super::node::{Following, Node};
use super::placement::place;
use crate::connection::wire::OutcomeReport;
use crate::request::call::Call;
use crate::request::outcome::{NotRunReason, Outcome, UnknownReason};
use claims::ClaimDecision;
pub use replication::{on_claim, on_outcome, replicate_keys};

/// Times that an entry instance looks for the first of a key's pair.
const MAX_ROUTE_ATTEMPTS: usize = 6;
/// Pause for the view to change.
const VIEW_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Time in which a settlement must be answered.
const PEER_REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Times that a settlement is told.
const MAX_REPORT_ATTEMPTS: usize = 3;
/// When to ask again for a key whose attempt still runs.
const RETRY_AFTER_MS: u64 = 500;
/// Time that the first of a pair may take beyond the deadline to confirm.
const REPLY_MARGIN: Duration = Duration::from_millis(100);

/// Serves a keyed call at an entry instance.
pub async fn serve(node: &Arc<Node>, call: Arc<Call>, deadline: Instant) -> Outcome {
    let Some(name) = call.key_name() else {
        return Outcome::not_run(NotRunReason::NoService, 0);
    };
    let hash = name.hash();
    for _ in 0..MAX_ROUTE_ATTEMPTS {
        let view = node.view();
        let Some(first) = view.pair(hash).into_iter().next() else {
            sleep(VIEW_RETRY_DELAY).await;
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
            .call(first.address, deadline + REPLY_MARGIN, |client, context| {
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
            sleep(VIEW_RETRY_DELAY).await;
        }
    }
    Outcome::unknown(UnknownReason::HolderLost, RETRY_AFTER_MS)
}

/// Serves a keyed call at the first instance of its key's pair.
pub async fn run_as_first(node: &Arc<Node>, call: &Arc<Call>, deadline: Instant) -> Outcome {
    let Some(name) = call.key_name() else {
        return Outcome::not_run(NotRunReason::NoService, 0);
    };
    let fingerprint = call.fingerprint();
    let mut following = match start(node, &name, fingerprint) {
        Start::Follow(following) => following,
        Start::Done(outcome) => {
            node.note(Kind::Recall, call, &node.me.name, "known-key");
            return outcome;
        }
        Start::Run(sender, following) => {
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
    let outcome = match timeout_at(deadline + REPLY_MARGIN / 2, ended).await {
        Ok(Ok(outcome)) => outcome.clone(),
        Ok(Err(_)) | Err(_) => None,
    };
    outcome.map_or_else(
        || Outcome::unknown(UnknownReason::EarlierAttempt, RETRY_AFTER_MS),
        |outcome| Outcome::clone(&outcome),
    )
}

enum Start {
    Run(watch::Sender<Option<Arc<Outcome>>>, Following),
    Follow(Following),
    Done(Outcome),
}

fn start(node: &Node, name: &KeyName, fingerprint: u64) -> Start {
    let now_ms = node.clock.now_ms();
    let mut following = node.following();
    let mut key_table = node.key_table();
    match key_table.claim(now_ms, name, fingerprint, node.me.incarnation) {
        ClaimResponse::Granted => {}
        ClaimResponse::Known(KeyState::Ended(outcome)) => {
            return Start::Done(Outcome::clone(&outcome));
        }
        ClaimResponse::Known(KeyState::Claimed(_)) => {
            let outcome = Outcome::unknown(UnknownReason::EarlierAttempt, RETRY_AFTER_MS);
            return Start::Done(outcome);
        }
        ClaimResponse::KeyReused => {
            return Start::Done(Outcome::not_run(NotRunReason::KeyReused, 0));
        }
        // An earlier attempt may be known elsewhere: nothing is proved.
        ClaimResponse::TableFull | ClaimResponse::WrongIncarnation => {
            let outcome = Outcome::unknown(UnknownReason::RecordsLost, RETRY_AFTER_MS);
            return Start::Done(outcome);
        }
    }
    if let Some(running) = following.get(name) {
        return Start::Follow(running.clone());
    }
    let (sender, receiver) = watch::channel(None);
    following.insert(name.clone(), receiver.clone());
    Start::Run(sender, receiver)
}

struct KeyedRun {
    node: Arc<Node>,
    call: Arc<Call>,
    name: KeyName,
    fingerprint: u64,
    deadline: Instant,
}

impl KeyedRun {
    async fn execute(self, sender: watch::Sender<Option<Arc<Outcome>>>) {
        let mut granted = Vec::new();
        let outcome = match claims::claim_until_deadline(&self, &mut granted).await {
            ClaimDecision::Granted => {
                place(&self.node, Arc::clone(&self.call), self.deadline).await
            }
            ClaimDecision::Denied(outcome) | ClaimDecision::NoQuorum(outcome) => {
                self.give_up(sender, granted, outcome).await;
                return;
            }
        };
        let outcome = Arc::new(outcome);
        {
            let now_ms = self.node.clock.now_ms();
            let mut following = self.node.following();
            let mut key_table = self.node.key_table();
            key_table.record_outcome(now_ms, &self.name, self.fingerprint, &outcome);
            following.remove(&self.name);
        }
        let _ = sender.send(Some(Arc::clone(&outcome)));
        self.report_outcome(granted, &outcome).await;
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
            let mut key_table = self.node.key_table();
            key_table.release(&self.name, self.node.me.incarnation);
            if let Outcome::Result(_) = outcome {
                let now_ms = self.node.clock.now_ms();
                let known = Arc::new(outcome.clone());
                key_table.record_outcome(now_ms, &self.name, self.fingerprint, &known);
            }
            following.remove(&self.name);
        }
        let _ = sender.send(Some(Arc::new(outcome)));
        let released = Arc::new(Outcome::not_run(NotRunReason::NoHolder, 0));
        self.report_outcome(granted, &released).await;
    }

    async fn report_outcome(&self, members: Vec<Arc<Member>>, outcome: &Arc<Outcome>) {
        for member in members {
            let settlement = OutcomeReport {
                name: self.name.clone(),
                fingerprint: self.fingerprint,
                claimant: self.node.me.incarnation,
                outcome: Arc::clone(outcome),
            };
            for _ in 0..MAX_REPORT_ATTEMPTS {
                let settlement = settlement.clone();
                let deadline = Instant::now() + PEER_REPLY_TIMEOUT;
                let reported = self
                    .node
                    .peers
                    .call(member.address, deadline, |client, context| async move {
                        client.record_outcome(context, settlement).await
                    })
                    .await;
                if reported.is_ok() {
                    break;
                }
            }
        }
    }
}

/// Runs a keyed call that another instance brought.
pub async fn run_for_peer(node: &Arc<Node>, call: &Arc<Call>) -> Outcome {
    let deadline = deadline_in_us(call.remaining_us);
    run_as_first(node, call, deadline).await
}

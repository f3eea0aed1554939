//! Runs calls that may not be repeated, at most once per key.
//!
//! `docs/design/at-most-once.md` gives the reasoning. In short: two instances
//! know a key before its call runs, those two are asked by every later
//! attempt, and where neither can be asked the answer is unknown.

mod clearance;
mod witness;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use super::clock::{deadline_in_us, remaining_us};
use super::decisions::Kind;
use super::keys::{Claim, KeyName, KeyState};
use super::members::Member;
use super::node::{Following, Node};
use super::placement::place;
use crate::connection::wire::OutcomeReport;
use crate::request::call::Call;
use crate::request::outcome::{NotRunReason, Outcome, UnknownReason};
use clearance::Clearance;
pub use witness::{on_claim, on_settlement, teach};

/// Times that an entry instance looks for the first of a key's pair.
const TRIES_MAX: usize = 6;
/// Pause for the view to change.
const VIEW_PAUSE: Duration = Duration::from_millis(25);
/// Time in which a settlement must be answered.
const SETTLE_LIMIT: Duration = Duration::from_secs(1);
/// Times that a settlement is told.
const SETTLE_TRIES: usize = 3;
/// When to ask again for a key whose attempt still runs.
const ASK_AGAIN_MS: u64 = 500;
/// Time that the first of a pair may take beyond the deadline to confirm.
const CONFIRM: Duration = Duration::from_millis(100);

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
        // An earlier attempt may be known elsewhere: nothing is proved.
        Claim::Full | Claim::Stranger => {
            let outcome = Outcome::unknown(UnknownReason::RecordsLost, ASK_AGAIN_MS);
            return Beginning::Over(outcome);
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

impl KeyedRun {
    async fn execute(self, sender: watch::Sender<Option<Arc<Outcome>>>) {
        let mut granted = Vec::new();
        let outcome = match clearance::clear_in_time(&self, &mut granted).await {
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

    async fn tell(&self, members: Vec<Arc<Member>>, outcome: &Arc<Outcome>) {
        for member in members {
            let settlement = OutcomeReport {
                name: self.name.clone(),
                fingerprint: self.fingerprint,
                claimant: self.node.me.incarnation,
                outcome: Arc::clone(outcome),
            };
            for _ in 0..SETTLE_TRIES {
                let settlement = settlement.clone();
                let deadline = Instant::now() + SETTLE_LIMIT;
                let told = self
                    .node
                    .peers
                    .call(member.address, deadline, |client, context| async move {
                        client.record_outcome(context, settlement).await
                    })
                    .await;
                if told.is_ok() {
                    break;
                }
            }
        }
    }
}

/// Runs a keyed call that another instance brought.
pub async fn on_keyed(node: &Arc<Node>, call: &Arc<Call>) -> Outcome {
    let deadline = deadline_in_us(call.remaining_us);
    run_as_first(node, call, deadline).await
}

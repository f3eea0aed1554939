//! Runs calls with an idempotency key at most once per key.
//!
//! Two instances, the key's pair, record a key before its call runs. Each later
//! attempt asks that pair; if neither of them can be asked, the outcome is
//! unknown. `docs/design/at-most-once.md` gives the reasoning.

mod claims;
mod replication;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use super::clock::{deadline_in_us, remaining_us};
use super::decisions::DecisionKind;
use super::keys::{ClaimResponse, KeyName, KeyState};
use super::members::Member;
use super::node::{Node, OutcomeReceiver};
use super::routing::route_call;
use crate::connection::wire::OutcomeReport;
use crate::request::call::Call;
use crate::request::outcome::{NotRunReason, Outcome, UnknownReason};
use claims::ClaimDecision;
pub use replication::{on_claim, on_outcome, replicate_keys};

/// Attempts of an entry instance to reach the first instance of a key's pair.
const MAX_ROUTE_ATTEMPTS: usize = 6;
/// Delay before the next attempt, during which the view may change.
const VIEW_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Time in which a peer must respond to a report or a batch of records.
const PEER_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Attempts to report an outcome to a peer.
const MAX_REPORT_ATTEMPTS: usize = 3;
/// Delay after which a caller may retry a key whose outcome is not yet known.
const RETRY_AFTER_MS: u64 = 500;
/// Time after the deadline in which the first instance of a pair may still
/// report the outcome.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Serves a call with an idempotency key at an entry instance.
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
        node.log_decision(DecisionKind::Route, &call, &first.name, "first-of-pair");
        if *first == *node.me {
            return run_as_first(node, &call, deadline).await;
        }
        let mut forwarded = Call::clone(&call);
        forwarded.remaining_us = remaining_us(deadline);
        let response = node
            .peers
            .call(
                first.address,
                deadline + RESPONSE_MARGIN,
                |client, context| {
                    let forwarded = Arc::new(forwarded);
                    async move { client.run_keyed(context, forwarded).await }
                },
            )
            .await;
        match response {
            Ok(outcome) => return outcome,
            Err(error) => {
                node.check_peer(&first, &error).await;
                // Retrying is safe: the next first instance of the pair asks
                // all instances that may know of this attempt.
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

/// Serves a call at the first instance of its key's pair.
pub async fn run_as_first(node: &Arc<Node>, call: &Arc<Call>, deadline: Instant) -> Outcome {
    let Some(name) = call.key_name() else {
        return Outcome::not_run(NotRunReason::NoService, 0);
    };
    let fingerprint = call.fingerprint();
    let mut outcome_receiver = match start(node, &name, fingerprint) {
        Start::Follow(outcome_receiver) => outcome_receiver,
        Start::Done(outcome) => {
            node.log_decision(DecisionKind::Recall, call, &node.me.name, "known-key");
            return outcome;
        }
        Start::Run(sender, outcome_receiver) => {
            let run = KeyedRun {
                node: Arc::clone(node),
                call: Arc::clone(call),
                name: name.clone(),
                fingerprint,
                deadline,
            };
            // Runs on its own task, so that it continues if the caller
            // disconnects.
            tokio::spawn(run.execute(sender));
            outcome_receiver
        }
    };
    let ended = outcome_receiver.wait_for(Option::is_some);
    let outcome = match timeout_at(deadline + RESPONSE_MARGIN / 2, ended).await {
        Ok(Ok(outcome)) => outcome.clone(),
        Ok(Err(_)) | Err(_) => None,
    };
    outcome.map_or_else(
        || Outcome::unknown(UnknownReason::EarlierAttempt, RETRY_AFTER_MS),
        |outcome| Outcome::clone(&outcome),
    )
}

/// How the first instance of a pair handles a call.
enum Start {
    Run(watch::Sender<Option<Arc<Outcome>>>, OutcomeReceiver),
    Follow(OutcomeReceiver),
    Done(Outcome),
}

fn start(node: &Node, name: &KeyName, fingerprint: u64) -> Start {
    let now_ms = node.clock.now_ms();
    let mut keyed_runs = node.keyed_runs();
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
        // Another instance may know of an earlier attempt, so this one cannot
        // say that the call did not run.
        ClaimResponse::TableFull | ClaimResponse::WrongIncarnation => {
            let outcome = Outcome::unknown(UnknownReason::RecordsLost, RETRY_AFTER_MS);
            return Start::Done(outcome);
        }
    }
    if let Some(running) = keyed_runs.get(name) {
        return Start::Follow(running.clone());
    }
    let (sender, receiver) = watch::channel(None);
    keyed_runs.insert(name.clone(), receiver.clone());
    Start::Run(sender, receiver)
}

/// The run of one call at the first instance of its key's pair.
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
                route_call(&self.node, Arc::clone(&self.call), self.deadline).await
            }
            ClaimDecision::Denied(outcome) | ClaimDecision::NoQuorum(outcome) => {
                self.give_up(sender, granted, outcome).await;
                return;
            }
        };
        let outcome = Arc::new(outcome);
        {
            let now_ms = self.node.clock.now_ms();
            let mut keyed_runs = self.node.keyed_runs();
            let mut key_table = self.node.key_table();
            key_table.record_outcome(now_ms, &self.name, self.fingerprint, &outcome);
            keyed_runs.remove(&self.name);
        }
        let _ = sender.send(Some(Arc::clone(&outcome)));
        self.report_outcome(granted, &outcome).await;
    }

    /// Ends the run without sending the call, and releases the claims.
    async fn give_up(
        &self,
        sender: watch::Sender<Option<Arc<Outcome>>>,
        granted: Vec<Arc<Member>>,
        outcome: Outcome,
    ) {
        {
            let mut keyed_runs = self.node.keyed_runs();
            let mut key_table = self.node.key_table();
            key_table.release(&self.name, self.node.me.incarnation);
            if let Outcome::Result(_) = outcome {
                let now_ms = self.node.clock.now_ms();
                let known = Arc::new(outcome.clone());
                key_table.record_outcome(now_ms, &self.name, self.fingerprint, &known);
            }
            keyed_runs.remove(&self.name);
        }
        let _ = sender.send(Some(Arc::new(outcome)));
        let released = Arc::new(Outcome::not_run(NotRunReason::NoHolder, 0));
        self.report_outcome(granted, &released).await;
    }

    async fn report_outcome(&self, members: Vec<Arc<Member>>, outcome: &Arc<Outcome>) {
        for member in members {
            let report = OutcomeReport {
                name: self.name.clone(),
                fingerprint: self.fingerprint,
                claimant: self.node.me.incarnation,
                outcome: Arc::clone(outcome),
            };
            for _ in 0..MAX_REPORT_ATTEMPTS {
                let report = report.clone();
                let deadline = Instant::now() + PEER_RESPONSE_TIMEOUT;
                let reported = self
                    .node
                    .peers
                    .call(member.address, deadline, |client, context| async move {
                        client.record_outcome(context, report).await
                    })
                    .await;
                if reported.is_ok() {
                    break;
                }
            }
        }
    }
}

/// Runs a call with an idempotency key that another instance forwarded.
pub async fn run_for_peer(node: &Arc<Node>, call: &Arc<Call>) -> Outcome {
    let deadline = deadline_in_us(call.remaining_us);
    run_as_first(node, call, deadline).await
}

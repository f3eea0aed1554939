//! Brings a call to the holder of a pool, and again where that is allowed.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::clock::remaining_us;
use super::decisions::Kind;
use super::holder::run_here;
use super::members::Member;
use super::metrics::Counter;
use super::node::Node;
use super::pool_choice::PoolName;
use crate::connection::peer::PeerError;
use crate::connection::wire::{RunRequest, RunResponse};
use crate::request::attempt::{Attempt, Unsent};
use crate::request::call::Call;
use crate::request::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::version::objects::Service;

/// Rounds in which a call may look for a pool; its deadline comes first.
const ROUNDS_MAX: usize = 400;
/// Pools that may turn a call down before it is given up.
const SPILLS_MAX: usize = 1;
/// Attempts of a call that may be repeated.
const ATTEMPTS_MAX: usize = 3;
/// Pause for the view to change where no pool has a reachable holder.
const VIEW_PAUSE: Duration = Duration::from_millis(25);
/// Time that a holder may take beyond the call's own deadline to confirm.
const CONFIRM: Duration = Duration::from_millis(50);

struct Placing<'n> {
    node: &'n Arc<Node>,
    deadline: Instant,
    tried: Vec<(PoolName, u64)>,
    lost: Vec<PoolName>,
    avoid: Option<Arc<str>>,
    spills: usize,
    attempts: usize,
}

enum Step {
    Over(Outcome),
    Next(Attempt<Unsent>),
}

/// Brings a call to an upstream and returns how it ended.
pub async fn place(node: &Arc<Node>, call: Arc<Call>, deadline: Instant) -> Outcome {
    node.earn_retry(&call.organisation);
    let mut placing = Placing {
        node,
        deadline,
        tried: Vec::new(),
        lost: Vec::new(),
        avoid: call.avoid.clone(),
        spills: 0,
        attempts: 0,
    };
    let mut attempt = Attempt::new(call);
    for _ in 0..ROUNDS_MAX {
        if Instant::now() >= deadline {
            return attempt.give_up(NotRunReason::DeadlinePassed, 0);
        }
        attempt = match placing.round(attempt).await {
            Step::Over(outcome) => return outcome,
            Step::Next(held) => held,
        };
    }
    attempt.give_up(NotRunReason::NoHolder, retry_after_ms(VIEW_PAUSE))
}

impl Placing<'_> {
    async fn round(&mut self, attempt: Attempt<Unsent>) -> Step {
        let node = self.node;
        let objects = node.objects();
        let Some(service) = objects.services.get(&attempt.call().service) else {
            return Step::Over(attempt.give_up(NotRunReason::NoService, 0));
        };
        let mut pools = self.served_pools(service);
        if pools.is_empty() {
            let after_ms = service.run_limit_ms;
            return Step::Over(attempt.give_up(NotRunReason::NoUpstream, after_ms));
        }
        let view = node.view();
        pools.retain(|pool| {
            view.holder(&pool.service, &pool.data_centre)
                .is_some_and(|holder| !self.has_tried(pool, holder))
        });
        // An attempt was lost in one pool: rather another one, if there is.
        if pools.iter().any(|pool| !self.lost.contains(pool)) {
            pools.retain(|pool| !self.lost.contains(pool));
        }
        let chosen = {
            let home = &node.config.data_centre;
            let now_us = node.clock.now_us();
            node.wait_estimates()
                .choose(now_us, &pools, home, &mut rand::rng())
        };
        let holder = chosen
            .as_ref()
            .and_then(|pool| view.holder(&pool.service, &pool.data_centre));
        let (Some(pool), Some(holder)) = (chosen.as_ref(), holder) else {
            sleep(VIEW_PAUSE).await;
            return Step::Next(attempt);
        };
        self.bring(attempt, pool, holder).await
    }

    fn has_tried(&self, pool: &PoolName, holder: &Member) -> bool {
        let incarnation = holder.incarnation;
        let is_same = |tried: &(PoolName, u64)| tried.0 == *pool && tried.1 == incarnation;
        self.tried.iter().any(is_same)
    }

    async fn bring(
        &mut self,
        attempt: Attempt<Unsent>,
        pool: &PoolName,
        holder: &Arc<Member>,
    ) -> Step {
        let node = self.node;
        node.note(
            Kind::Route,
            attempt.call(),
            &pool.data_centre,
            &*holder.name,
        );
        node.wait_estimates().on_sent(pool);
        let mut call = Call::clone(attempt.call());
        call.remaining_us = remaining_us(self.deadline);
        call.avoid = self.avoid.clone();
        let run = RunRequest {
            pool: pool.clone(),
            call: Arc::new(call),
        };
        let sent = attempt.mark_sent();
        let answer = self.exchange(run, holder).await;
        let now_us = node.clock.now_us();
        match answer {
            Ok(ran) if ran.is_not_holder => {
                // The views differ; they will agree shortly.
                node.wait_estimates().on_failed(now_us, pool);
                sleep(VIEW_PAUSE).await;
                Step::Next(sent.into_unsent())
            }
            Ok(ran) => {
                node.wait_estimates().on_answered(now_us, pool, ran.wait_us);
                match ran.outcome {
                    Outcome::Result(answer) => Step::Over(sent.complete(answer)),
                    Outcome::NotRun {
                        reason,
                        retry_after_ms,
                    } => {
                        self.tried.push((pool.clone(), holder.incarnation));
                        self.spill(sent.into_unsent(), reason, retry_after_ms)
                    }
                    Outcome::Unknown { reason, .. } => {
                        self.avoid = ran.upstream;
                        self.lost.push(pool.clone());
                        match sent.fail(reason) {
                            Ok(held) => self.retry(held, reason),
                            Err(outcome) => Step::Over(outcome),
                        }
                    }
                }
            }
            Err(error) => {
                node.wait_estimates().on_failed(now_us, pool);
                node.verify(holder, &error).await;
                if error.is_unsent() {
                    return Step::Next(sent.into_unsent());
                }
                match sent.fail(UnknownReason::HolderLost) {
                    Ok(held) => self.retry(held, UnknownReason::HolderLost),
                    Err(outcome) => Step::Over(outcome),
                }
            }
        }
    }

    async fn exchange(&self, run: RunRequest, holder: &Member) -> Result<RunResponse, PeerError> {
        if *holder == *self.node.me {
            return Ok(run_here(self.node, &run).await);
        }
        let until = self.deadline + CONFIRM;
        let peers = &self.node.peers;
        peers
            .call(holder.address, until, |client, context| async move {
                client.run(context, run).await
            })
            .await
    }

    /// Goes on with another pool after one turned the call down.
    fn spill(&mut self, held: Attempt<Unsent>, reason: NotRunReason, retry_after_ms: u64) -> Step {
        let is_local = matches!(
            reason,
            NotRunReason::Overloaded
                | NotRunReason::NoUpstream
                | NotRunReason::Refused
                | NotRunReason::Isolated
        );
        let has_other = self.has_other(&held);
        if !is_local || self.spills == SPILLS_MAX || !has_other {
            return Step::Over(held.give_up(reason, retry_after_ms));
        }
        // A pool whose upstreams take nothing has no queue that others share.
        let is_free = matches!(reason, NotRunReason::NoUpstream | NotRunReason::Refused);
        self.spills += usize::from(!is_free);
        Step::Next(held)
    }

    /// The pools of a service that may take work.
    fn served_pools(&self, service: &Service) -> Vec<PoolName> {
        let objects = self.node.objects();
        let list = self.node.list.load_full();
        let mut pools = Vec::with_capacity(service.data_centres.len());
        for data_centre in &service.data_centres {
            let pool = PoolName {
                service: Arc::clone(&service.name),
                data_centre: Arc::clone(data_centre),
            };
            let is_served = list.as_ref().is_some_and(|list| list.serves(&pool));
            if is_served && objects.accepts_work(data_centre) {
                pools.push(pool);
            }
        }
        pools
    }

    /// Whether a pool is left that has not turned the call down.
    fn has_other(&self, held: &Attempt<Unsent>) -> bool {
        let objects = self.node.objects();
        let Some(service) = objects.services.get(&held.call().service) else {
            return false;
        };
        let is_tried = |pool: &PoolName| self.tried.iter().any(|tried| tried.0 == *pool);
        self.served_pools(service)
            .iter()
            .any(|pool| !is_tried(pool))
    }

    /// Attempts a call again that may be repeated, within the budgets.
    fn retry(&mut self, held: Attempt<Unsent>, reason: UnknownReason) -> Step {
        self.attempts += 1;
        let organisation = &held.call().organisation;
        if self.attempts == ATTEMPTS_MAX || !self.node.take_retry(organisation) {
            return Step::Over(Outcome::unknown(reason, retry_after_ms(VIEW_PAUSE)));
        }
        self.node.metrics.count(Counter::Retries);
        let avoided = self.avoid.clone().unwrap_or_default();
        self.node
            .note(Kind::Retry, held.call(), &avoided, reason.to_string());
        Step::Next(held)
    }
}

fn retry_after_ms(pause: Duration) -> u64 {
    u64::try_from(pause.as_millis()).unwrap_or(u64::MAX)
}

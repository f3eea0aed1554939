//! Routes a call to the holder of a pool, and retries it where that is safe.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::clock::remaining_us;
use super::decisions::DecisionKind;
use super::holder::run_in_pool;
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

/// Rounds in which a call looks for a pool; its deadline usually comes first.
const MAX_ROUNDS: usize = 400;
/// Other pools that a call may try after a refusal.
const MAX_SPILLOVERS: usize = 1;
/// Attempts of an idempotent call.
const MAX_ATTEMPTS: usize = 3;
/// Delay before the next round if the view names no usable holder; it may change
/// meanwhile.
const VIEW_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Time after the call's deadline in which a holder may still respond.
const RESPONSE_MARGIN: Duration = Duration::from_millis(50);

/// State of one call while it is routed.
struct Routing<'n> {
    node: &'n Arc<Node>,
    deadline: Instant,
    /// Pools that refused the call, with the incarnation of their holder.
    refusals: Vec<(PoolName, u64)>,
    /// Pools in which an attempt ended with an unknown outcome.
    failed_pools: Vec<PoolName>,
    /// Upstream of the last attempt with an unknown outcome.
    avoid: Option<Arc<str>>,
    /// Counted refusals after which another pool was tried.
    spillovers: usize,
    /// Attempts that ended with an unknown outcome.
    attempts: usize,
}

enum Step {
    Done(Outcome),
    Continue(Attempt<Unsent>),
}

/// Routes a call to a pool until it has an outcome.
pub async fn route_call(node: &Arc<Node>, call: Arc<Call>, deadline: Instant) -> Outcome {
    node.deposit_retry(&call.organisation);
    let mut routing = Routing {
        node,
        deadline,
        refusals: Vec::new(),
        failed_pools: Vec::new(),
        avoid: call.avoid.clone(),
        spillovers: 0,
        attempts: 0,
    };
    let mut attempt = Attempt::new(call);
    for _ in 0..MAX_ROUNDS {
        if Instant::now() >= deadline {
            return attempt.give_up(NotRunReason::DeadlinePassed, 0);
        }
        attempt = match routing.route_once(attempt).await {
            Step::Done(outcome) => return outcome,
            Step::Continue(unsent) => unsent,
        };
    }
    attempt.give_up(NotRunReason::NoHolder, to_ms(VIEW_RETRY_DELAY))
}

impl Routing<'_> {
    async fn route_once(&mut self, attempt: Attempt<Unsent>) -> Step {
        let node = self.node;
        let objects = node.objects();
        let Some(service) = objects.services.get(&attempt.call().service) else {
            return Step::Done(attempt.give_up(NotRunReason::NoService, 0));
        };
        let mut pools = self.available_pools(service);
        if pools.is_empty() {
            let retry_after_ms = service.run_limit_ms;
            return Step::Done(attempt.give_up(NotRunReason::NoUpstream, retry_after_ms));
        }
        let view = node.view();
        pools.retain(|pool| {
            view.holder(&pool.service, &pool.data_centre)
                .is_some_and(|holder| !self.has_refused(pool, holder))
        });
        // Prefers pools in which no attempt of this call has failed.
        if pools.iter().any(|pool| !self.failed_pools.contains(pool)) {
            pools.retain(|pool| !self.failed_pools.contains(pool));
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
            sleep(VIEW_RETRY_DELAY).await;
            return Step::Continue(attempt);
        };
        self.send_to_holder(attempt, pool, holder).await
    }

    fn has_refused(&self, pool: &PoolName, holder: &Member) -> bool {
        let incarnation = holder.incarnation;
        let is_same = |refusal: &(PoolName, u64)| refusal.0 == *pool && refusal.1 == incarnation;
        self.refusals.iter().any(is_same)
    }

    async fn send_to_holder(
        &mut self,
        attempt: Attempt<Unsent>,
        pool: &PoolName,
        holder: &Arc<Member>,
    ) -> Step {
        let node = self.node;
        node.log_decision(
            DecisionKind::Route,
            attempt.call(),
            &pool.data_centre,
            &*holder.name,
        );
        node.wait_estimates().on_sent(pool);
        let mut call = Call::clone(attempt.call());
        call.remaining_us = remaining_us(self.deadline);
        call.avoid = self.avoid.clone();
        let request = RunRequest {
            pool: pool.clone(),
            call: Arc::new(call),
        };
        let sent = attempt.mark_sent();
        let response = self.call_holder(request, holder).await;
        let now_us = node.clock.now_us();
        match response {
            Ok(response) if response.is_not_holder => {
                // The views of the two instances differ; they converge shortly.
                node.wait_estimates().on_failed(now_us, pool);
                sleep(VIEW_RETRY_DELAY).await;
                Step::Continue(sent.into_unsent())
            }
            Ok(response) => {
                node.wait_estimates()
                    .on_answered(now_us, pool, response.wait_us);
                match response.outcome {
                    Outcome::Result(answer) => Step::Done(sent.complete(answer)),
                    Outcome::NotRun {
                        reason,
                        retry_after_ms,
                    } => {
                        self.refusals.push((pool.clone(), holder.incarnation));
                        self.try_other_pool(sent.into_unsent(), reason, retry_after_ms)
                    }
                    Outcome::Unknown { reason, .. } => {
                        self.avoid = response.upstream;
                        self.failed_pools.push(pool.clone());
                        match sent.fail(reason) {
                            Ok(unsent) => self.retry(unsent, reason),
                            Err(outcome) => Step::Done(outcome),
                        }
                    }
                }
            }
            Err(error) => {
                node.wait_estimates().on_failed(now_us, pool);
                node.check_peer(holder, &error).await;
                if error.is_unsent() {
                    return Step::Continue(sent.into_unsent());
                }
                match sent.fail(UnknownReason::HolderLost) {
                    Ok(unsent) => self.retry(unsent, UnknownReason::HolderLost),
                    Err(outcome) => Step::Done(outcome),
                }
            }
        }
    }

    async fn call_holder(
        &self,
        request: RunRequest,
        holder: &Member,
    ) -> Result<RunResponse, PeerError> {
        if *holder == *self.node.me {
            return Ok(run_in_pool(self.node, &request).await);
        }
        let deadline = self.deadline + RESPONSE_MARGIN;
        let peers = &self.node.peers;
        peers
            .call(holder.address, deadline, |client, context| async move {
                client.run(context, request).await
            })
            .await
    }

    /// Continues with another pool after one refused the call, if one is left.
    fn try_other_pool(
        &mut self,
        unsent: Attempt<Unsent>,
        reason: NotRunReason,
        retry_after_ms: u64,
    ) -> Step {
        let is_pool_specific = matches!(
            reason,
            NotRunReason::Overloaded
                | NotRunReason::NoUpstream
                | NotRunReason::Refused
                | NotRunReason::Isolated
        );
        let has_untried_pool = self.has_untried_pool(&unsent);
        if !is_pool_specific || self.spillovers == MAX_SPILLOVERS || !has_untried_pool {
            return Step::Done(unsent.give_up(reason, retry_after_ms));
        }
        // A refusal by a pool whose upstreams accept nothing is not counted:
        // that pool has no queue shared with other calls.
        let accepts_nothing = matches!(reason, NotRunReason::NoUpstream | NotRunReason::Refused);
        self.spillovers += usize::from(!accepts_nothing);
        Step::Continue(unsent)
    }

    /// The pools of a service that have an upstream in a data centre that
    /// accepts work.
    fn available_pools(&self, service: &Service) -> Vec<PoolName> {
        let objects = self.node.objects();
        let list = self.node.list.load_full();
        let mut pools = Vec::with_capacity(service.data_centres.len());
        for data_centre in &service.data_centres {
            let pool = PoolName {
                service: Arc::clone(&service.name),
                data_centre: Arc::clone(data_centre),
            };
            let has_upstream = list.as_ref().is_some_and(|list| list.has_upstream(&pool));
            if has_upstream && objects.accepts_work(data_centre) {
                pools.push(pool);
            }
        }
        pools
    }

    /// Whether there is a pool that has not refused the call.
    fn has_untried_pool(&self, unsent: &Attempt<Unsent>) -> bool {
        let objects = self.node.objects();
        let Some(service) = objects.services.get(&unsent.call().service) else {
            return false;
        };
        let is_refused = |pool: &PoolName| self.refusals.iter().any(|refusal| refusal.0 == *pool);
        self.available_pools(service)
            .iter()
            .any(|pool| !is_refused(pool))
    }

    /// Retries an idempotent call if its organisation's retry budget allows.
    fn retry(&mut self, unsent: Attempt<Unsent>, reason: UnknownReason) -> Step {
        self.attempts += 1;
        let organisation = &unsent.call().organisation;
        if self.attempts == MAX_ATTEMPTS || !self.node.try_withdraw_retry(organisation) {
            return Step::Done(Outcome::unknown(reason, to_ms(VIEW_RETRY_DELAY)));
        }
        self.node.metrics.count(Counter::Retries);
        let avoided = self.avoid.clone().unwrap_or_default();
        self.node.log_decision(
            DecisionKind::Retry,
            unsent.call(),
            &avoided,
            reason.to_string(),
        );
        Step::Continue(unsent)
    }
}

fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

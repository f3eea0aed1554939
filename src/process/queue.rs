//! Queue of the calls that wait for a slot.
//!
//! Paying calls are served before trial calls, and the organisations of one
//! tier in round-robin order.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::version::objects::TierKind;

/// Number of tiers, served in the order of their ranks.
const TIER_COUNT: usize = 2;

/// Number of queues in a tier at which the empty ones are removed.
const MAX_IDLE_QUEUES: usize = 256;

/// Identifies one queued call within its process.
pub type Ticket = u64;

/// A call that waits for a slot, or has just got one.
#[derive(Clone, Debug)]
pub struct QueuedCall {
    /// Identifies the queued call.
    pub ticket: Ticket,
    /// Organisation that makes the call.
    pub organisation: Arc<str>,
    /// Tier of the organisation; decides the priority.
    pub tier: TierKind,
    /// Time by which the caller needs the answer.
    pub deadline_us: u64,
    /// Time at which the call arrived at the pool.
    pub arrived_us: u64,
    /// Index of the upstream of an earlier attempt, used only as a fallback.
    pub avoid: Option<usize>,
    /// Fingerprint of the request, equal for each repetition.
    pub fingerprint: u64,
}

/// The queued calls of one organisation in one tier.
#[derive(Debug, Default)]
struct OrganisationQueue {
    /// Includes withdrawn calls, which `pop` skips.
    calls: VecDeque<QueuedCall>,
    /// Number of calls without the withdrawn ones.
    len: usize,
    /// Whether the organisation is in the tier's `schedule`.
    is_scheduled: bool,
}

/// The queues of one tier's organisations.
#[derive(Debug, Default)]
struct TierQueue {
    queues: HashMap<Arc<str>, OrganisationQueue>,
    /// Organisations with queued calls, in round-robin order.
    schedule: VecDeque<Arc<str>>,
    /// Number of calls without the withdrawn ones.
    len: usize,
}

/// All queued calls of one pool.
#[derive(Debug, Default)]
pub struct Queue {
    tiers: [TierQueue; TIER_COUNT],
    /// Whether each call in a queue has been withdrawn.
    withdrawn: HashMap<Ticket, bool>,
}

impl Queue {
    /// Returns the number of calls queued in a tier.
    #[must_use]
    pub fn len(&self, tier: TierKind) -> usize {
        self.tiers[tier.rank()].len
    }

    /// Whether no call is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tiers.iter().all(|tier| tier.len == 0)
    }

    /// Returns how many calls would be served before a new one of
    /// `organisation`.
    ///
    /// Round-robin service bounds this by the length of the organisation's own
    /// queue, however long the queues of others are.
    #[must_use]
    pub fn calls_ahead(&self, tier: TierKind, organisation: &str) -> usize {
        let mut ahead = 0;
        for above in &self.tiers[..tier.rank()] {
            ahead += above.len;
        }
        let own_tier = &self.tiers[tier.rank()];
        let own_len = own_tier
            .queues
            .get(organisation)
            .map_or(0, |queue| queue.len);
        let in_round_robin = (own_len + 1) * own_tier.schedule.len().max(1);
        ahead + in_round_robin.min(own_tier.len)
    }

    /// Appends a call to its organisation's queue.
    pub fn push(&mut self, call: QueuedCall) {
        let tier = &mut self.tiers[call.tier.rank()];
        tier.len += 1;
        self.withdrawn.insert(call.ticket, false);
        if !tier.queues.contains_key(&call.organisation) {
            tier.drop_idle_queues();
            let name = Arc::clone(&call.organisation);
            tier.queues.insert(name, OrganisationQueue::default());
        }
        let Some(queue) = tier.queues.get_mut(&call.organisation) else {
            return;
        };
        if !queue.is_scheduled {
            queue.is_scheduled = true;
            tier.schedule.push_back(Arc::clone(&call.organisation));
        }
        queue.len += 1;
        queue.calls.push_back(call);
    }

    /// Puts a call that was just popped back, to be served next in its tier.
    pub fn push_front(&mut self, call: QueuedCall) {
        let tier = &mut self.tiers[call.tier.rank()];
        tier.len += 1;
        self.withdrawn.insert(call.ticket, false);
        let name = Arc::clone(&call.organisation);
        if let Some(at) = tier
            .schedule
            .iter()
            .position(|scheduled| *scheduled == name)
        {
            tier.schedule.remove(at);
        }
        tier.schedule.push_front(Arc::clone(&name));
        let queue = tier.queues.entry(name).or_default();
        queue.is_scheduled = true;
        queue.len += 1;
        queue.calls.push_front(call);
    }

    /// Withdraws a call; returns `false` if it is no longer queued.
    pub fn withdraw(&mut self, call: &QueuedCall) -> bool {
        match self.withdrawn.get_mut(&call.ticket) {
            Some(is_withdrawn) if !*is_withdrawn => *is_withdrawn = true,
            _ => return false,
        }
        let tier = &mut self.tiers[call.tier.rank()];
        tier.len -= 1;
        if let Some(queue) = tier.queues.get_mut(&call.organisation) {
            queue.len -= 1;
        }
        true
    }

    /// Removes the next call to serve; a trial call only if `may_take_trial`.
    pub fn pop(&mut self, may_take_trial: bool) -> Option<QueuedCall> {
        for (rank, tier) in self.tiers.iter_mut().enumerate() {
            if rank == TierKind::Trial.rank() && !may_take_trial {
                continue;
            }
            if let Some(call) = tier.pop(&mut self.withdrawn) {
                return Some(call);
            }
        }
        None
    }

    /// Removes all calls, in the order of service.
    pub fn drain(&mut self) -> Vec<QueuedCall> {
        let mut calls = Vec::new();
        while let Some(call) = self.pop(true) {
            calls.push(call);
        }
        calls
    }
}

impl TierQueue {
    /// Removes empty queues once there are many, which bounds the memory used by
    /// organisations that no longer call.
    fn drop_idle_queues(&mut self) {
        if self.queues.len() >= MAX_IDLE_QUEUES {
            self.queues.retain(|_, queue| queue.is_scheduled);
        }
    }

    fn pop(&mut self, withdrawn: &mut HashMap<Ticket, bool>) -> Option<QueuedCall> {
        while let Some(name) = self.schedule.pop_front() {
            let queue = self.queues.get_mut(&name)?;
            let mut found = None;
            while let Some(call) = queue.calls.pop_front() {
                if withdrawn.remove(&call.ticket) == Some(false) {
                    found = Some(call);
                    break;
                }
            }
            queue.is_scheduled = !queue.calls.is_empty();
            queue.len -= usize::from(found.is_some());
            if queue.is_scheduled {
                self.schedule.push_back(name);
            }
            let Some(call) = found else {
                continue;
            };
            self.len -= 1;
            return Some(call);
        }
        None
    }
}

//! Calls that wait for a slot: paying before trial, organisations in turn.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::version::objects::TierKind;

/// Number of tiers that are served in order.
const TIER_COUNT: usize = 2;

/// Lines that are kept although they are empty.
const MAX_IDLE_QUEUES: usize = 256;

/// Identifies one call within a pool.
pub type Ticket = u64;

/// A call that waits.
#[derive(Clone, Debug)]
pub struct QueuedCall {
    /// Identifies the call.
    pub ticket: Ticket,
    /// Owner of the call.
    pub organisation: Arc<str>,
    /// How it is served when slots are short.
    pub tier: TierKind,
    /// Time after which the answer is of no use.
    pub deadline_us: u64,
    /// Time at which it arrived.
    pub arrived_us: u64,
    /// Upstream that an earlier attempt used.
    pub avoid: Option<usize>,
    /// Identifies the work, alike in each repetition.
    pub fingerprint: u64,
}

/// The waiting calls of one organisation in one tier.
#[derive(Debug, Default)]
struct OrganisationQueue {
    calls: VecDeque<QueuedCall>,
    len: usize,
    is_scheduled: bool,
}

/// One tier: lines of organisations, served in turn.
#[derive(Debug, Default)]
struct TierQueue {
    queues: HashMap<Arc<str>, OrganisationQueue>,
    schedule: VecDeque<Arc<str>>,
    len: usize,
}

/// All calls that wait in one pool.
#[derive(Debug, Default)]
pub struct Queue {
    tiers: [TierQueue; TIER_COUNT],
    withdrawn: HashMap<Ticket, bool>,
}

impl Queue {
    /// Calls that wait in a tier.
    #[must_use]
    pub fn len(&self, tier: TierKind) -> usize {
        self.tiers[tier.rank()].len
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tiers.iter().all(|tier| tier.len == 0)
    }

    /// Calls that would be served before a new one of `organisation`.
    ///
    /// Organisations of one tier are served in turn, so a long line of
    /// another organisation counts only as far as the own line is long.
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

    /// Adds a call at the end of its organisation's line.
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

    /// Puts a call that was just taken back at the front.
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

    /// Takes a call out; `false` if it no longer waits.
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

    /// Takes the next call to serve; trials only if `may_take_trial`.
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

    /// Takes every waiting call out.
    pub fn drain(&mut self) -> Vec<QueuedCall> {
        let mut calls = Vec::new();
        while let Some(call) = self.pop(true) {
            calls.push(call);
        }
        calls
    }
}

impl TierQueue {
    /// Drops lines that are empty once there are many, so that organisations
    /// that come and go do not pile up.
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

//! Calls that wait for a slot: paying before trial, organisations in turn.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::version::objects::TierKind;

/// Number of tiers that are served in order.
const TIERS: usize = 2;

/// Lines that are kept although they are empty.
const IDLE_LINES_MAX: usize = 256;

/// Identifies one call within a pool.
pub type Ticket = u64;

/// A call that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
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
struct Line {
    calls: VecDeque<Waiting>,
    live: usize,
    has_turn: bool,
}

/// One tier: lines of organisations, served in turn.
#[derive(Debug, Default)]
struct TierQueue {
    lines: HashMap<Arc<str>, Line>,
    turns: VecDeque<Arc<str>>,
    live: usize,
}

/// All calls that wait in one pool.
#[derive(Debug, Default)]
pub struct Queue {
    tiers: [TierQueue; TIERS],
    withdrawn: HashMap<Ticket, bool>,
}

impl Queue {
    /// Calls that wait in a tier.
    #[must_use]
    pub fn len(&self, tier: TierKind) -> usize {
        self.tiers[tier.rank()].live
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tiers.iter().all(|tier| tier.live == 0)
    }

    /// Calls that would be served before a new one of `organisation`.
    ///
    /// Organisations of one tier are served in turn, so a long line of
    /// another organisation counts only as far as the own line is long.
    #[must_use]
    pub fn ahead_of(&self, tier: TierKind, organisation: &str) -> usize {
        let mut ahead = 0;
        for above in &self.tiers[..tier.rank()] {
            ahead += above.live;
        }
        let own_tier = &self.tiers[tier.rank()];
        let own = own_tier.lines.get(organisation).map_or(0, |line| line.live);
        let in_turn = (own + 1) * own_tier.turns.len().max(1);
        ahead + in_turn.min(own_tier.live)
    }

    /// Adds a call at the end of its organisation's line.
    pub fn push(&mut self, waiting: Waiting) {
        let tier = &mut self.tiers[waiting.tier.rank()];
        tier.live += 1;
        self.withdrawn.insert(waiting.ticket, false);
        if !tier.lines.contains_key(&waiting.organisation) {
            tier.forget_idle_lines();
            let name = Arc::clone(&waiting.organisation);
            tier.lines.insert(name, Line::default());
        }
        let Some(line) = tier.lines.get_mut(&waiting.organisation) else {
            return;
        };
        if !line.has_turn {
            line.has_turn = true;
            tier.turns.push_back(Arc::clone(&waiting.organisation));
        }
        line.live += 1;
        line.calls.push_back(waiting);
    }

    /// Puts a call that was just taken back at the front.
    pub fn push_front(&mut self, waiting: Waiting) {
        let tier = &mut self.tiers[waiting.tier.rank()];
        tier.live += 1;
        self.withdrawn.insert(waiting.ticket, false);
        let name = Arc::clone(&waiting.organisation);
        if let Some(at) = tier.turns.iter().position(|turn| *turn == name) {
            tier.turns.remove(at);
        }
        tier.turns.push_front(Arc::clone(&name));
        let line = tier.lines.entry(name).or_default();
        line.has_turn = true;
        line.live += 1;
        line.calls.push_front(waiting);
    }

    /// Takes a call out; `false` if it no longer waits.
    pub fn withdraw(&mut self, waiting: &Waiting) -> bool {
        match self.withdrawn.get_mut(&waiting.ticket) {
            Some(gone) if !*gone => *gone = true,
            _ => return false,
        }
        let tier = &mut self.tiers[waiting.tier.rank()];
        tier.live -= 1;
        if let Some(line) = tier.lines.get_mut(&waiting.organisation) {
            line.live -= 1;
        }
        true
    }

    /// Takes the next call to serve; trials only if `may_take_trial`.
    pub fn pop(&mut self, may_take_trial: bool) -> Option<Waiting> {
        for (rank, tier) in self.tiers.iter_mut().enumerate() {
            if rank == TierKind::Trial.rank() && !may_take_trial {
                continue;
            }
            if let Some(waiting) = tier.pop(&mut self.withdrawn) {
                return Some(waiting);
            }
        }
        None
    }

    /// Takes every waiting call out.
    pub fn drain(&mut self) -> Vec<Waiting> {
        let mut calls = Vec::new();
        while let Some(waiting) = self.pop(true) {
            calls.push(waiting);
        }
        calls
    }
}

impl TierQueue {
    /// Drops lines that are empty once there are many, so that organisations
    /// that come and go do not pile up.
    fn forget_idle_lines(&mut self) {
        if self.lines.len() >= IDLE_LINES_MAX {
            self.lines.retain(|_, line| line.has_turn);
        }
    }

    fn pop(&mut self, withdrawn: &mut HashMap<Ticket, bool>) -> Option<Waiting> {
        while let Some(name) = self.turns.pop_front() {
            let line = self.lines.get_mut(&name)?;
            let mut found = None;
            while let Some(waiting) = line.calls.pop_front() {
                if withdrawn.remove(&waiting.ticket) == Some(false) {
                    found = Some(waiting);
                    break;
                }
            }
            line.has_turn = !line.calls.is_empty();
            line.live -= usize::from(found.is_some());
            if line.has_turn {
                self.turns.push_back(name);
            }
            let Some(waiting) = found else {
                continue;
            };
            self.live -= 1;
            return Some(waiting);
        }
        None
    }
}

//! Gossip-based membership of the fleet.
//!
//! Each instance derives a view of the live instances from the gossip that it
//! receives. Views can differ for a while; `docs/design/membership.md` says what
//! depends on them and what does not.

mod view;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

pub use view::{Member, View, hash_bytes, hash_words};

/// Time after which a member that has not been heard from is removed from the
/// view.
const MEMBER_TIMEOUT_MS: u64 = 5_000;
/// Addition to the timeout per known peer, because gossip takes longer to reach
/// all members of a larger fleet.
const MEMBER_TIMEOUT_PER_PEER_MS: u64 = 400;
/// Time after which a replaced view is no longer consulted when a key is
/// claimed or a pool is taken over.
pub const VIEW_RETENTION_MS: u64 = 10_000;
/// Maximum number of views sent to a joining process.
const MAX_VIEWS_SENT: usize = 16;
/// Time that an instance needs to hear of all others again after it lost contact
/// with most of them.
const RECONNECT_GRACE_MS: u64 = 3_000;
/// Time for which an unresponsive instance still counts towards the size of the
/// fleet.
const FLEET_SIZE_WINDOW_MS: u64 = 60_000;

/// Gossip about one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipEntry {
    /// The instance's process that the entry describes.
    pub member: Arc<Member>,
    /// Time since it was last heard from, by the sender's clock.
    pub age_ms: u64,
    /// Whether it is leaving the fleet.
    pub is_leaving: bool,
}

/// What this instance knows of another one.
#[derive(Clone, Debug)]
struct PeerState {
    member: Arc<Member>,
    last_heard_ms: u64,
    /// When it last failed to respond. It stays unresponsive until it is heard
    /// from after that.
    unresponsive_ms: Option<u64>,
    is_leaving: bool,
}

impl PeerState {
    fn is_unresponsive(&self, now_ms: u64, timeout_ms: u64) -> bool {
        let has_not_recovered = self
            .unresponsive_ms
            .is_some_and(|unresponsive_ms| self.last_heard_ms <= unresponsive_ms);
        has_not_recovered || now_ms.saturating_sub(self.last_heard_ms) >= timeout_ms
    }
}

/// Membership state of this instance.
#[derive(Debug)]
pub struct Members {
    me: Arc<Member>,
    is_leaving: bool,
    peers: BTreeMap<Arc<str>, PeerState>,
    /// Incarnations of processes that have ended.
    dead: HashSet<u64>,
    /// Live instances by the platform's list.
    listed: Vec<(Arc<str>, SocketAddr)>,
    view: Arc<View>,
    /// Own earlier views, each with the time of its end.
    past_views: VecDeque<(u64, Arc<View>)>,
    /// Views added while joining, each with the time of addition.
    peer_views: VecDeque<(u64, Arc<View>)>,
    /// Time of loss by incarnation.
    lost_at_ms: HashMap<u64, u64>,
    losses: Vec<LossRecord>,
    /// When this instance's view last lacked a majority of the fleet.
    last_minority_ms: Option<u64>,
}

/// A [`MemberLoss`] with its time by the local clock.
#[derive(Clone, Debug, PartialEq, Eq)]
struct LossRecord {
    view: View,
    lost_incarnations: Vec<u64>,
    lost_ms: u64,
}

/// A view that lost two or more processes at nearly the same time.
///
/// If both instances of a key's pair are among them, the key's record is lost
/// and its call may or may not have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLoss {
    /// The view before the losses.
    pub view: View,
    /// Incarnations of the lost processes.
    pub lost_incarnations: Vec<u64>,
    /// Time since the losses were detected.
    pub age_ms: u64,
}

impl Members {
    /// Creates the state of an instance that knows only itself.
    #[must_use]
    pub fn new(me: Arc<Member>) -> Self {
        Self {
            view: Arc::new(View::new(vec![Arc::clone(&me)])),
            me,
            is_leaving: false,
            peers: BTreeMap::new(),
            dead: HashSet::new(),
            listed: Vec::new(),
            past_views: VecDeque::new(),
            peer_views: VecDeque::new(),
            lost_at_ms: HashMap::new(),
            losses: Vec::new(),
            last_minority_ms: None,
        }
    }

    /// Returns the known losses, with ages relative to `now_ms`.
    #[must_use]
    pub fn member_losses(&self, now_ms: u64) -> Vec<MemberLoss> {
        let mut losses = Vec::with_capacity(self.losses.len());
        for loss in &self.losses {
            losses.push(MemberLoss {
                view: loss.view.clone(),
                lost_incarnations: loss.lost_incarnations.clone(),
                age_ms: now_ms.saturating_sub(loss.lost_ms),
            });
        }
        losses
    }

    /// Adds the losses reported by a peer.
    pub fn on_member_losses(&mut self, now_ms: u64, losses: Vec<MemberLoss>) {
        for loss in losses {
            self.record_loss(LossRecord {
                view: loss.view,
                lost_incarnations: loss.lost_incarnations,
                lost_ms: now_ms.saturating_sub(loss.age_ms),
            });
        }
    }

    /// Returns the time since both instances of a key's pair were lost, if they
    /// were lost at nearly the same time.
    #[must_use]
    pub fn pair_loss_age_ms(&self, now_ms: u64, key: u64) -> Option<u64> {
        let mut shortest_ms: Option<u64> = None;
        for loss in &self.losses {
            let pair = loss.view.pair(key);
            let is_lost =
                |member: &Arc<Member>| loss.lost_incarnations.contains(&member.incarnation);
            if pair.is_empty() || !pair.iter().all(is_lost) {
                continue;
            }
            let age_ms = now_ms.saturating_sub(loss.lost_ms);
            if age_ms >= super::keys::KEY_RETENTION_MS {
                continue;
            }
            shortest_ms = Some(shortest_ms.map_or(age_ms, |known| known.min(age_ms)));
        }
        shortest_ms
    }

    /// Records the view without this process as an earlier one, when this
    /// process joins the fleet.
    pub fn on_joined(&mut self, now_ms: u64) {
        let before = self.view.without(&self.me);
        self.add_peer_views(now_ms, vec![before]);
    }

    /// Adds views that other instances used until now.
    ///
    /// They may name earlier processes of this instance, which its own views do
    /// not contain.
    pub fn add_peer_views(&mut self, now_ms: u64, views: Vec<View>) {
        for view in views {
            let is_known = self.peer_views.iter().any(|(_, known)| **known == view);
            if !is_known && !view.members().is_empty() {
                self.peer_views.push_front((now_ms, Arc::new(view)));
            }
        }
    }

    /// Returns this process as a member.
    #[must_use]
    pub fn me(&self) -> &Arc<Member> {
        &self.me
    }

    /// Returns the current view.
    #[must_use]
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Whether this process is leaving the fleet.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the current view and those replaced less than
    /// [`VIEW_RETENTION_MS`] ago.
    #[must_use]
    pub fn recent_views(&self, now_ms: u64) -> Vec<Arc<View>> {
        let mut views = vec![Arc::clone(&self.view)];
        for (ended_ms, view) in self.past_views.iter().chain(&self.peer_views) {
            if now_ms.saturating_sub(*ended_ms) < VIEW_RETENTION_MS {
                views.push(Arc::clone(view));
            }
        }
        views
    }

    /// Returns the views for a joining process: the current one, and own
    /// earlier ones that name another process of its instance.
    ///
    /// Views received from peers are not passed on, so that they expire.
    #[must_use]
    pub fn views_for_joining(&self, now_ms: u64, joining: &Member) -> Vec<View> {
        let mut views = vec![View::clone(&self.view)];
        let is_earlier_process = |member: &Arc<Member>| {
            member.name == joining.name && member.incarnation != joining.incarnation
        };
        for (ended_ms, view) in &self.past_views {
            let is_recent = now_ms.saturating_sub(*ended_ms) < VIEW_RETENTION_MS;
            let names_earlier_process = view.members().iter().any(is_earlier_process);
            if views.len() == MAX_VIEWS_SENT {
                break;
            }
            if is_recent && names_earlier_process {
                views.push(View::clone(view));
            }
        }
        views
    }

    /// Returns the addresses of all listed and known instances but this one.
    #[must_use]
    pub fn gossip_targets(&self) -> Vec<SocketAddr> {
        let mut targets = Vec::new();
        for (name, address) in &self.listed {
            if *name != self.me.name {
                targets.push(*address);
            }
        }
        for peer in self.peers.values() {
            if !targets.contains(&peer.member.address) {
                targets.push(peer.member.address);
            }
        }
        targets
    }

    fn member_timeout_ms(&self) -> u64 {
        let others = u64::try_from(self.peers.len()).unwrap_or(u64::MAX);
        MEMBER_TIMEOUT_MS + MEMBER_TIMEOUT_PER_PEER_MS.saturating_mul(others)
    }

    /// Returns up to `max_entries` entries to send to a peer: this process
    /// first, then others at random.
    pub fn gossip<R: Rng>(
        &self,
        now_ms: u64,
        max_entries: usize,
        random: &mut R,
    ) -> Vec<GossipEntry> {
        let mut gossip = vec![GossipEntry {
            member: Arc::clone(&self.me),
            age_ms: 0,
            is_leaving: self.is_leaving,
        }];
        let timeout_ms = self.member_timeout_ms();
        let mut others: Vec<&PeerState> = self.peers.values().collect();
        others.retain(|peer| !peer.is_unresponsive(now_ms, timeout_ms));
        others.shuffle(random);
        for peer in others {
            let age_ms = now_ms.saturating_sub(peer.last_heard_ms);
            if gossip.len() >= max_entries {
                break;
            }
            gossip.push(GossipEntry {
                member: Arc::clone(&peer.member),
                age_ms,
                is_leaving: peer.is_leaving,
            });
        }
        gossip
    }

    /// Whether this instance's view contains more than half of the fleet.
    ///
    /// The fleet is the listed instances and those heard of until about a minute
    /// ago, without the leaving and dead ones.
    #[must_use]
    pub fn has_majority(&self, now_ms: u64) -> bool {
        let timeout_ms = self.member_timeout_ms();
        let mut names: HashSet<&str> = HashSet::new();
        names.insert(&self.me.name);
        for (name, _) in &self.listed {
            names.insert(name);
        }
        for (name, peer) in &self.peers {
            let unheard_ms = now_ms.saturating_sub(peer.last_heard_ms);
            let is_counted = unheard_ms < timeout_ms + FLEET_SIZE_WINDOW_MS;
            if is_counted && !peer.is_leaving && !self.is_dead(&peer.member) {
                names.insert(name);
            }
        }
        for peer in self.peers.values() {
            if peer.is_leaving || self.is_dead(&peer.member) {
                names.remove(&*peer.member.name);
            }
        }
        self.view.members().len() * 2 > names.len()
    }

    /// Whether a process has certainly ended.
    #[must_use]
    pub fn is_dead(&self, member: &Member) -> bool {
        self.dead.contains(&member.incarnation)
    }

    /// Sets the instances that the platform's list names as live.
    pub fn on_listed(&mut self, now_ms: u64, listed: Vec<(Arc<str>, SocketAddr)>) {
        self.listed = listed;
        self.update_view(now_ms);
    }

    /// Merges gossip from a peer; returns `true` if the view changed.
    pub fn on_gossip(&mut self, now_ms: u64, gossip: &[GossipEntry]) -> bool {
        for entry in gossip {
            let last_heard_ms = now_ms.saturating_sub(entry.age_ms);
            let is_me = entry.member.name == self.me.name;
            if is_me || self.is_dead(&entry.member) {
                continue;
            }
            if let Some(known) = self.peers.get_mut(&entry.member.name) {
                if known.member.incarnation == entry.member.incarnation {
                    known.last_heard_ms = known.last_heard_ms.max(last_heard_ms);
                    known.is_leaving |= entry.is_leaving;
                    continue;
                }
                if known.last_heard_ms > last_heard_ms {
                    continue;
                }
                // A newer process of the same instance: the older one has ended.
                self.dead.insert(known.member.incarnation);
            }
            let peer = PeerState {
                member: Arc::clone(&entry.member),
                last_heard_ms,
                unresponsive_ms: None,
                is_leaving: entry.is_leaving,
            };
            self.peers.insert(Arc::clone(&entry.member.name), peer);
        }
        self.update_view(now_ms)
    }

    /// Marks a process as ended, after its address refused a connection or
    /// another process answered there; returns `true` if the view changed.
    pub fn mark_dead(&mut self, now_ms: u64, member: &Member) -> bool {
        self.dead.insert(member.incarnation);
        self.update_view(now_ms)
    }

    /// Marks a process as unresponsive, after it responded neither to a call nor
    /// on a new connection; returns `true` if the view changed.
    pub fn mark_unresponsive(&mut self, now_ms: u64, member: &Member) -> bool {
        if let Some(peer) = self.peers.get_mut(&member.name) {
            peer.unresponsive_ms = Some(now_ms);
        }
        self.update_view(now_ms)
    }

    /// Marks this process as leaving.
    pub fn on_leave(&mut self, now_ms: u64) {
        self.is_leaving = true;
        self.update_view(now_ms);
    }

    /// Recomputes the view; returns `true` if it changed.
    pub fn update_view(&mut self, now_ms: u64) -> bool {
        let timeout_ms = self.member_timeout_ms();
        let mut members = Vec::new();
        if !self.is_leaving {
            members.push(Arc::clone(&self.me));
        }
        for peer in self.peers.values() {
            if peer.is_unresponsive(now_ms, timeout_ms)
                || peer.is_leaving
                || self.is_dead(&peer.member)
            {
                continue;
            }
            members.push(Arc::clone(&peer.member));
        }
        let view = View::new(members);
        if view == *self.view {
            self.record_losses(now_ms);
            return false;
        }
        let old = std::mem::replace(&mut self.view, Arc::new(view));
        self.past_views.push_front((now_ms, old));
        self.past_views
            .retain(|(ended_ms, _)| now_ms.saturating_sub(*ended_ms) < VIEW_RETENTION_MS);
        self.record_losses(now_ms);
        true
    }

    /// Records which recent views lost two or more processes within the time
    /// that key records take to reach their new pairs.
    fn record_losses(&mut self, now_ms: u64) {
        let view = Arc::clone(&self.view);
        let has_returned = |incarnation: u64| {
            view.members()
                .iter()
                .any(|found| found.incarnation == incarnation)
        };
        self.lost_at_ms.retain(|incarnation, lost_at_ms| {
            now_ms.saturating_sub(*lost_at_ms) < VIEW_RETENTION_MS && !has_returned(*incarnation)
        });
        if !self.has_majority(now_ms) {
            // If most others seem lost, this instance was probably partitioned
            // or stalled itself.
            self.last_minority_ms = Some(now_ms);
        }
        let is_reconnecting = self
            .last_minority_ms
            .is_some_and(|last_ms| now_ms.saturating_sub(last_ms) < RECONNECT_GRACE_MS);
        if is_reconnecting {
            return;
        }
        self.peer_views
            .retain(|(ended_ms, _)| now_ms.saturating_sub(*ended_ms) < VIEW_RETENTION_MS);
        for (_, view) in self.past_views.iter().chain(&self.peer_views) {
            for member in view.members() {
                let has_left = self
                    .peers
                    .get(&member.name)
                    .is_some_and(|peer| peer.member == *member && peer.is_leaving);
                if !self.view.contains(member) && !has_left && *member != self.me {
                    self.lost_at_ms.entry(member.incarnation).or_insert(now_ms);
                }
            }
        }
        self.losses
            .retain(|known| now_ms.saturating_sub(known.lost_ms) < super::keys::KEY_RETENTION_MS);
        let mut losses = Vec::new();
        for (_, view) in self.past_views.iter().chain(&self.peer_views) {
            let mut lost_incarnations: Vec<u64> = Vec::new();
            for member in view.members() {
                if self.lost_at_ms.contains_key(&member.incarnation) {
                    lost_incarnations.push(member.incarnation);
                }
            }
            if lost_incarnations.len() >= 2 {
                losses.push(LossRecord {
                    view: (**view).clone(),
                    lost_incarnations,
                    lost_ms: now_ms,
                });
            }
        }
        for loss in losses {
            self.record_loss(loss);
        }
    }

    fn record_loss(&mut self, loss: LossRecord) {
        let is_same = |known: &LossRecord| {
            known.lost_incarnations == loss.lost_incarnations && known.view == loss.view
        };
        if !self.losses.iter().any(is_same) {
            self.losses.push(loss);
        }
    }
}

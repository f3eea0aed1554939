//! Which instances take part, and which of them holds what.
//!
//! Every instance works this out from what it has heard. Views differ for a
//! while; `docs/design/membership.md` says what rests on them and what not.

mod view;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

pub use view::{Member, View, hash_bytes, hash_words};

/// Silence after which an instance no longer takes part, for the smallest
/// fleet and for each instance more: hearsay takes longer to reach all.
const SILENCE_LIMIT_MS: u64 = 5_000;
const SILENCE_PER_MEMBER_MS: u64 = 400;
/// Time for which earlier views still count when a key is claimed.
pub const SETTLE_MS: u64 = 10_000;
/// Views that a joining process is taught at most.
const VIEWS_TAUGHT: usize = 16;
/// Time in which an instance that was out of touch hears of all others again.
const CATCH_UP_MS: u64 = 3_000;
/// Time for which a silent instance counts towards the size of the fleet.
const FLEET_MEMORY_MS: u64 = 60_000;

/// What one instance has heard of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hearsay {
    /// The instance.
    pub member: Arc<Member>,
    /// Time since it was heard, by the teller's clock.
    pub age_ms: u64,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

#[derive(Clone, Debug)]
struct Heard {
    member: Arc<Member>,
    heard_ms: u64,
    /// Time of the last silence; only later signs of life count.
    silent_ms: Option<u64>,
    is_leaving: bool,
}

impl Heard {
    fn is_silent(&self, now_ms: u64, limit_ms: u64) -> bool {
        let is_mute = self
            .silent_ms
            .is_some_and(|silent_ms| self.heard_ms <= silent_ms);
        is_mute || now_ms.saturating_sub(self.heard_ms) >= limit_ms
    }
}

/// What this instance knows of the others.
#[derive(Debug)]
pub struct Members {
    me: Arc<Member>,
    is_leaving: bool,
    heard: BTreeMap<Arc<str>, Heard>,
    dead: HashSet<u64>,
    listed: Vec<(Arc<str>, SocketAddr)>,
    view: Arc<View>,
    past: VecDeque<(u64, Arc<View>)>,
    taught: VecDeque<(u64, Arc<View>)>,
    gone_ms: HashMap<u64, u64>,
    losses: Vec<Loss>,
    out_of_touch_ms: Option<u64>,
}

/// A [`LostView`] as this instance keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Loss {
    view: View,
    lost: Vec<u64>,
    lost_ms: u64,
}

/// A view of which two processes were lost at nearly the same time.
///
/// Keys whose pair they were may have been run, and nobody knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostView {
    /// The view before the losses.
    pub view: View,
    /// Incarnations that were lost.
    pub lost: Vec<u64>,
    /// Time since the losses.
    pub age_ms: u64,
}

impl Members {
    /// An instance that knows only itself.
    #[must_use]
    pub fn new(me: Arc<Member>) -> Self {
        Self {
            view: Arc::new(View::new(vec![Arc::clone(&me)])),
            me,
            is_leaving: false,
            heard: BTreeMap::new(),
            dead: HashSet::new(),
            listed: Vec::new(),
            past: VecDeque::new(),
            taught: VecDeque::new(),
            gone_ms: HashMap::new(),
            losses: Vec::new(),
            out_of_touch_ms: None,
        }
    }

    /// Views that lost two processes at nearly the same time.
    ///
    /// Ages are relative to `now_ms`.
    #[must_use]
    pub fn lost_views(&self, now_ms: u64) -> Vec<LostView> {
        let mut views = Vec::with_capacity(self.losses.len());
        for loss in &self.losses {
            views.push(LostView {
                view: loss.view.clone(),
                lost: loss.lost.clone(),
                age_ms: now_ms.saturating_sub(loss.lost_ms),
            });
        }
        views
    }

    /// Takes over the lost views that a peer tells of.
    pub fn on_lost_views(&mut self, now_ms: u64, views: Vec<LostView>) {
        for told in views {
            self.note_loss(Loss {
                view: told.view,
                lost: told.lost,
                lost_ms: now_ms.saturating_sub(told.age_ms),
            });
        }
    }

    /// Time since both who knew a key were lost together, if they were.
    #[must_use]
    pub fn lost_for_ms(&self, now_ms: u64, key: u64) -> Option<u64> {
        let mut shortest_ms: Option<u64> = None;
        for loss in &self.losses {
            let pair = loss.view.pair(key);
            let is_lost = |member: &Arc<Member>| loss.lost.contains(&member.incarnation);
            if pair.is_empty() || !pair.iter().all(is_lost) {
                continue;
            }
            let age_ms = now_ms.saturating_sub(loss.lost_ms);
            if age_ms >= super::keys::RETENTION_MS {
                continue;
            }
            shortest_ms = Some(shortest_ms.map_or(age_ms, |known| known.min(age_ms)));
        }
        shortest_ms
    }

    /// Joins: the view without this process counts as an earlier one.
    pub fn on_joined(&mut self, now_ms: u64) {
        let before = self.view.without(&self.me);
        self.on_recent_views(now_ms, vec![before]);
    }

    /// Takes views over that were in force at others until now.
    ///
    /// They name earlier processes of this instance too, which it has never
    /// heard of itself.
    pub fn on_recent_views(&mut self, now_ms: u64, views: Vec<View>) {
        for view in views {
            let is_known = self.taught.iter().any(|(_, known)| **known == view);
            if !is_known && !view.members().is_empty() {
                self.taught.push_front((now_ms, Arc::new(view)));
            }
        }
    }

    /// This process.
    #[must_use]
    pub fn me(&self) -> &Arc<Member> {
        &self.me
    }

    /// The instances that take part now.
    #[must_use]
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Whether this process is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// The current view and those that ended less than [`SETTLE_MS`] ago.
    #[must_use]
    pub fn recent_views(&self, now_ms: u64) -> Vec<Arc<View>> {
        let mut views = vec![Arc::clone(&self.view)];
        for (ended_ms, view) in self.past.iter().chain(&self.taught) {
            if now_ms.saturating_sub(*ended_ms) < SETTLE_MS {
                views.push(Arc::clone(view));
            }
        }
        views
    }

    /// What a joining process is taught: the current view, and own earlier
    /// ones that name another process of its instance.
    ///
    /// Views that were taught are not passed on, so that they end.
    #[must_use]
    pub fn views_for(&self, now_ms: u64, joining: &Member) -> Vec<View> {
        let mut views = vec![View::clone(&self.view)];
        let names_earlier = |member: &Arc<Member>| {
            member.name == joining.name && member.incarnation != joining.incarnation
        };
        for (ended_ms, view) in &self.past {
            let is_recent = now_ms.saturating_sub(*ended_ms) < SETTLE_MS;
            let is_meant = view.members().iter().any(names_earlier);
            if views.len() == VIEWS_TAUGHT {
                break;
            }
            if is_recent && is_meant {
                views.push(View::clone(view));
            }
        }
        views
    }

    /// Addresses to greet: listed and heard instances but this one.
    #[must_use]
    pub fn contacts(&self) -> Vec<SocketAddr> {
        let mut contacts = Vec::new();
        for (name, address) in &self.listed {
            if *name != self.me.name {
                contacts.push(*address);
            }
        }
        for heard in self.heard.values() {
            if !contacts.contains(&heard.member.address) {
                contacts.push(heard.member.address);
            }
        }
        contacts
    }

    fn silence_limit_ms(&self) -> u64 {
        let others = u64::try_from(self.heard.len()).unwrap_or(u64::MAX);
        SILENCE_LIMIT_MS + SILENCE_PER_MEMBER_MS.saturating_mul(others)
    }

    /// Up to `most` of what to tell others: this process, then any.
    pub fn hearsay<R: Rng>(&self, now_ms: u64, most: usize, random: &mut R) -> Vec<Hearsay> {
        let mut hearsay = vec![Hearsay {
            member: Arc::clone(&self.me),
            age_ms: 0,
            is_leaving: self.is_leaving,
        }];
        let limit_ms = self.silence_limit_ms();
        let mut others: Vec<&Heard> = self.heard.values().collect();
        others.retain(|heard| !heard.is_silent(now_ms, limit_ms));
        others.shuffle(random);
        for heard in others {
            let age_ms = now_ms.saturating_sub(heard.heard_ms);
            if hearsay.len() >= most {
                break;
            }
            hearsay.push(Hearsay {
                member: Arc::clone(&heard.member),
                age_ms,
                is_leaving: heard.is_leaving,
            });
        }
        hearsay
    }

    /// Whether this instance hears more than half of the fleet.
    ///
    /// The fleet is what the list names and what was heard within a minute.
    #[must_use]
    pub fn has_majority(&self, now_ms: u64) -> bool {
        let limit_ms = self.silence_limit_ms();
        let mut names: HashSet<&str> = HashSet::new();
        names.insert(&self.me.name);
        for (name, _) in &self.listed {
            names.insert(name);
        }
        for (name, heard) in &self.heard {
            let silence_ms = now_ms.saturating_sub(heard.heard_ms);
            let is_remembered = silence_ms < limit_ms + FLEET_MEMORY_MS;
            if is_remembered && !heard.is_leaving && !self.is_dead(&heard.member) {
                names.insert(name);
            }
        }
        for heard in self.heard.values() {
            if heard.is_leaving || self.is_dead(&heard.member) {
                names.remove(&*heard.member.name);
            }
        }
        self.view.members().len() * 2 > names.len()
    }

    /// Whether a process is known to have ended.
    #[must_use]
    pub fn is_dead(&self, member: &Member) -> bool {
        self.dead.contains(&member.incarnation)
    }

    /// Takes the instances that the platform's list names as live.
    pub fn on_listed(&mut self, now_ms: u64, listed: Vec<(Arc<str>, SocketAddr)>) {
        self.listed = listed;
        self.renew(now_ms);
    }

    /// Takes what another instance tells; `true` if the view changed.
    pub fn on_hearsay(&mut self, now_ms: u64, hearsay: &[Hearsay]) -> bool {
        for told in hearsay {
            let heard_ms = now_ms.saturating_sub(told.age_ms);
            let is_me = told.member.name == self.me.name;
            if is_me || self.is_dead(&told.member) {
                continue;
            }
            if let Some(known) = self.heard.get_mut(&told.member.name) {
                if known.member.incarnation == told.member.incarnation {
                    known.heard_ms = known.heard_ms.max(heard_ms);
                    known.is_leaving |= told.is_leaving;
                    continue;
                }
                if known.heard_ms > heard_ms {
                    continue;
                }
                // A second process at the same name: the first has ended.
                self.dead.insert(known.member.incarnation);
            }
            let heard = Heard {
                member: Arc::clone(&told.member),
                heard_ms,
                silent_ms: None,
                is_leaving: told.is_leaving,
            };
            self.heard.insert(Arc::clone(&told.member.name), heard);
        }
        self.renew(now_ms)
    }

    /// A connection was refused where the process listened: it has ended.
    pub fn on_refused(&mut self, now_ms: u64, member: &Member) -> bool {
        self.dead.insert(member.incarnation);
        self.renew(now_ms)
    }

    /// A call and a fresh connection both got no answer.
    pub fn on_silent(&mut self, now_ms: u64, member: &Member) -> bool {
        if let Some(heard) = self.heard.get_mut(&member.name) {
            heard.silent_ms = Some(now_ms);
        }
        self.renew(now_ms)
    }

    /// This process begins to leave.
    pub fn on_leave(&mut self, now_ms: u64) {
        self.is_leaving = true;
        self.renew(now_ms);
    }

    /// Works the view out again; `true` if it changed.
    pub fn renew(&mut self, now_ms: u64) -> bool {
        let limit_ms = self.silence_limit_ms();
        let mut members = Vec::new();
        if !self.is_leaving {
            members.push(Arc::clone(&self.me));
        }
        for heard in self.heard.values() {
            if heard.is_silent(now_ms, limit_ms) || heard.is_leaving || self.is_dead(&heard.member)
            {
                continue;
            }
            members.push(Arc::clone(&heard.member));
        }
        let view = View::new(members);
        if view == *self.view {
            self.note_losses(now_ms);
            return false;
        }
        let old = std::mem::replace(&mut self.view, Arc::new(view));
        self.past.push_front((now_ms, old));
        self.past
            .retain(|(ended_ms, _)| now_ms.saturating_sub(*ended_ms) < SETTLE_MS);
        self.note_losses(now_ms);
        true
    }

    /// Notes which recent views have lost two processes within the time that
    /// records take to reach their new pairs.
    fn note_losses(&mut self, now_ms: u64) {
        let view = Arc::clone(&self.view);
        let is_back = |gone: u64| view.members().iter().any(|found| found.incarnation == gone);
        self.gone_ms
            .retain(|gone, gone_ms| now_ms.saturating_sub(*gone_ms) < SETTLE_MS && !is_back(*gone));
        if !self.has_majority(now_ms) {
            // Most others seem gone: rather this instance was out of touch.
            self.out_of_touch_ms = Some(now_ms);
        }
        let is_catching_up = self
            .out_of_touch_ms
            .is_some_and(|last_ms| now_ms.saturating_sub(last_ms) < CATCH_UP_MS);
        if is_catching_up {
            return;
        }
        self.taught
            .retain(|(ended_ms, _)| now_ms.saturating_sub(*ended_ms) < SETTLE_MS);
        for (_, view) in self.past.iter().chain(&self.taught) {
            for member in view.members() {
                let has_left = self
                    .heard
                    .get(&member.name)
                    .is_some_and(|heard| heard.member == *member && heard.is_leaving);
                if !self.view.contains(member) && !has_left && *member != self.me {
                    self.gone_ms.entry(member.incarnation).or_insert(now_ms);
                }
            }
        }
        self.losses
            .retain(|known| now_ms.saturating_sub(known.lost_ms) < super::keys::RETENTION_MS);
        let mut losses = Vec::new();
        for (_, view) in self.past.iter().chain(&self.taught) {
            let mut lost: Vec<u64> = Vec::new();
            for member in view.members() {
                if self.gone_ms.contains_key(&member.incarnation) {
                    lost.push(member.incarnation);
                }
            }
            if lost.len() >= 2 {
                losses.push(Loss {
                    view: (**view).clone(),
                    lost,
                    lost_ms: now_ms,
                });
            }
        }
        for loss in losses {
            self.note_loss(loss);
        }
    }

    fn note_loss(&mut self, loss: Loss) {
        let is_same = |known: &Loss| known.lost == loss.lost && known.view == loss.view;
        if !self.losses.iter().any(is_same) {
            self.losses.push(loss);
        }
    }
}

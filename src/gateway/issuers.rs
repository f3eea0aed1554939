//! Which instance gives out what all instances share: send permits of limited upstreams and
//! allowances of organisations.
//!
//! Rendezvous hashing names the principal of a subject. While that one does not respond, the
//! next one gives out as its deputy, at half the rate, as both may be giving out; and at the
//! whole rate once the principal has been silent for some time.

use std::net::SocketAddr;
use std::time::Duration;

use super::state::Gateway;
use super::store::Platform;
use crate::decision::rendezvous::weight;

/// Time in which an instance must respond; many times a round trip within a region, and
/// the longest pause of an instance that has used up its processor share.
pub const ISSUER_TIMEOUT: Duration = Duration::from_millis(120);
/// Instances that are asked before the request goes elsewhere.
pub const MAX_ISSUERS: usize = 3;
/// Share of the rate that a deputy gives out while the principal may still be doing so.
pub const DEPUTY_SHARE: f64 = 0.5;
/// Silence of the principal after which its deputy gives out the whole rate: an instance
/// that has lost contact with most others notices within this time.
pub const TAKEOVER_MS: u64 = 3_000;
/// Instances that one which does not know all of them assumes at least.
pub const MIN_ASSUMED_INSTANCES: usize = 16;

impl<P: Platform> Gateway<P> {
    /// Records whether another instance responded to a call.
    pub fn on_peer_call(&self, address: SocketAddr, has_responded: bool) {
        let mut contacts = self.peers.contacts();
        if has_responded {
            contacts.on_response(address);
        } else {
            contacts.on_failure(address, self.now_ms());
        }
    }

    /// The instances that may give out of a subject, the principal first; `None` is this one.
    ///
    /// The others do not ask an instance that they cannot know, so it comes last here.
    pub fn ranked_issuers(&self, subject: &str) -> Vec<Option<SocketAddr>> {
        let settings = self.settings();
        let mut ranked = Vec::new();
        for (name, instance) in &self.view().instances {
            let is_other = instance.address != settings.peer_address;
            ranked.push((weight(subject, name), is_other.then_some(instance.address)));
        }
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let mut issuers: Vec<_> = ranked.into_iter().map(|(_, issuer)| issuer).collect();
        if !issuers.contains(&None) {
            issuers.push(None);
        }
        issuers
    }

    /// The first of these that responded when it was last called; `None` is this one.
    pub fn first_responsive(&self, ranked: &[Option<SocketAddr>]) -> Option<SocketAddr> {
        let now_ms = self.now_ms();
        let contacts = self.peers.contacts();
        let is_paused = |issuer: &Option<SocketAddr>| {
            issuer.is_some_and(|address| contacts.is_paused(&address, now_ms))
        };
        *ranked.iter().find(|issuer| !is_paused(issuer))?
    }

    /// Whether this instance is to give out of a subject, since those before it do not
    /// respond.
    #[must_use]
    pub fn is_issuer(&self, subject: &str) -> bool {
        let ranked = self.ranked_issuers(subject);
        self.first_responsive(&ranked).is_none()
    }

    /// The shortest time for which one of those that rank before this instance has not
    /// responded; `None` if it is the principal.
    pub fn silence_before_me_ms(&self, ranked: &[Option<SocketAddr>]) -> Option<u64> {
        let now_ms = self.now_ms();
        let contacts = self.peers.contacts();
        let before_me = ranked.iter().map_while(|issuer| *issuer);
        before_me
            .map(|address| contacts.lost_for_ms(&address, now_ms))
            .min()
    }
}

//! Which other instances respond to this one.

use std::collections::HashMap;
use std::net::SocketAddr;

/// Time for which an instance that did not respond is not asked again, in milliseconds.
const PAUSE_MS: u64 = 2_000;
/// Time without a response after which an instance counts as ended: it is no longer
/// missed in a majority.
const ENDED_AFTER_MS: u64 = 30_000;

#[derive(Clone, Copy, Debug)]
struct Loss {
    since_ms: u64,
    paused_until_ms: u64,
}

/// Instances that did not respond to the last call.
#[derive(Clone, Debug, Default)]
pub struct PeerContacts {
    lost: HashMap<SocketAddr, Loss>,
}

impl PeerContacts {
    /// Records that an instance responded.
    pub fn on_response(&mut self, address: SocketAddr) {
        self.lost.remove(&address);
    }

    /// Records that an instance did not respond.
    pub fn on_failure(&mut self, address: SocketAddr, now_ms: u64) {
        let loss = self.lost.entry(address).or_insert(Loss {
            since_ms: now_ms,
            paused_until_ms: 0,
        });
        loss.paused_until_ms = now_ms + PAUSE_MS;
    }

    /// Whether an instance did not respond within the last 2 s.
    #[must_use]
    pub fn is_paused(&self, address: &SocketAddr, now_ms: u64) -> bool {
        let loss = self.lost.get(address);
        loss.is_some_and(|loss| now_ms < loss.paused_until_ms)
    }

    /// Time for which an instance has not responded, in milliseconds; 0 if it has.
    #[must_use]
    pub fn lost_for_ms(&self, address: &SocketAddr, now_ms: u64) -> u64 {
        let loss = self.lost.get(address);
        loss.map_or(0, |loss| now_ms.saturating_sub(loss.since_ms))
    }

    /// Whether this instance and those of the others that respond are more than half.
    ///
    /// Instances that have not responded for half a minute are taken as ended.
    #[must_use]
    pub fn is_in_majority(&self, others: &[SocketAddr], now_ms: u64) -> bool {
        let mut reached = 1;
        let mut counted = 1;
        for address in others {
            if self.lost_for_ms(address, now_ms) >= ENDED_AFTER_MS {
                continue;
            }
            counted += 1;
            reached += usize::from(!self.lost.contains_key(address));
        }
        2 * reached > counted
    }

    /// Forgets instances that are not registered any more.
    pub fn retain(&mut self, is_registered: impl Fn(&SocketAddr) -> bool) {
        self.lost.retain(|address, _| is_registered(address));
    }
}

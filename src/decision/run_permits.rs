//! Permits to run suspect requests, so that the fleet runs one copy at a time.
//!
//! One instance gives out the permits of a scope; rendezvous hashing names it.

use std::collections::HashMap;

use super::crash_suspects::Scope;

/// Permits given out at the same time; further ones are denied.
const MAX_PERMITS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Permit {
    token: u64,
    expires_at_ms: u64,
}

/// Permits that this instance has given out.
#[derive(Clone, Debug, Default)]
pub struct RunPermits {
    by_scope: HashMap<Scope, Permit>,
}

impl RunPermits {
    /// Gives out the permit of a scope for `lifetime_ms`; false while another token
    /// holds it.
    pub fn acquire(&mut self, scope: Scope, token: u64, lifetime_ms: u64, now_ms: u64) -> bool {
        self.by_scope
            .retain(|_, permit| permit.expires_at_ms > now_ms);
        let holder = self.by_scope.get(&scope);
        let is_free = holder.is_none_or(|permit| permit.token == token);
        if !is_free || (holder.is_none() && self.by_scope.len() >= MAX_PERMITS) {
            return false;
        }
        let permit = Permit {
            token,
            expires_at_ms: now_ms.saturating_add(lifetime_ms),
        };
        self.by_scope.insert(scope, permit);
        true
    }

    /// Takes a permit back, unless another token holds it by now.
    pub fn release(&mut self, scope: Scope, token: u64) {
        if self
            .by_scope
            .get(&scope)
            .is_some_and(|permit| permit.token == token)
        {
            self.by_scope.remove(&scope);
        }
    }
}

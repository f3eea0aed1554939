//! Keeps the allowances of organisations over all instances: asks the issuer of an
//! organisation for tokens, and gives out those of the organisations that this instance issues.
//!
//! [`super::issuers`] says which instance that is; `docs/design/allowances.md` says why.

pub mod issuing;
pub mod reports;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

use super::attempts::Attempts;
use super::calls::Call;
use super::outcome::{Outcome, Reason};
use super::state::Gateway;
use super::store::Platform;
use crate::decision::allowances::{Admission, AllowanceIssuer, AllowanceUse};
use crate::decision::organisations::Allowance;
use crate::decision::reached_share::ReachedShare;

/// Part of its remaining time that a refused caller is told to wait at most.
const MAX_RETRY_DIVISOR: u64 = 3;
/// Return time of a caller whose instance got no answer about its token.
const NO_ANSWER_RETRY_MS: u64 = 500;
/// Time without requests after which an organisation is forgotten here, in milliseconds.
const FORGET_MS: u64 = 60_000;

/// A request that waits for a token; it is told the time until there is one otherwise.
type Waiting = oneshot::Sender<Result<(), u64>>;

#[derive(Debug)]
struct OrganisationUse {
    known: AllowanceUse,
    allowance: Allowance,
    waiting: Vec<Waiting>,
    /// Whether a report is in flight; further ones follow its answer.
    is_reporting: bool,
    used_ms: u64,
}

impl OrganisationUse {
    fn new(allowance: Allowance) -> Self {
        Self {
            known: AllowanceUse::default(),
            allowance,
            waiting: Vec::new(),
            is_reporting: false,
            used_ms: 0,
        }
    }
}

/// What this instance knows of allowances, and what it gives out of them.
#[derive(Debug)]
pub struct AllowanceState {
    uses: Mutex<HashMap<Arc<str>, OrganisationUse>>,
    issuer: Mutex<AllowanceIssuer>,
    reached: Mutex<ReachedShare>,
}

impl Default for AllowanceState {
    fn default() -> Self {
        Self {
            uses: Mutex::default(),
            issuer: Mutex::new(AllowanceIssuer::new(rand::random())),
            reached: Mutex::default(),
        }
    }
}

impl AllowanceState {
    /// Locks the tokens that this instance gives out.
    pub fn issuer(&self) -> MutexGuard<'_, AllowanceIssuer> {
        lock(&self.issuer)
    }

    /// Whether any organisation with an allowance was used lately, here or by an instance
    /// whose issuer this one is.
    #[must_use]
    pub fn is_in_use(&self) -> bool {
        !self.uses().is_empty() || !self.issuer().is_empty()
    }

    fn uses(&self) -> MutexGuard<'_, HashMap<Arc<str>, OrganisationUse>> {
        lock(&self.uses)
    }

    fn reached(&self) -> MutexGuard<'_, ReachedShare> {
        lock(&self.reached)
    }

    fn give_back(&self, organisation: &str) {
        if let Some(used) = self.uses().get_mut(organisation) {
            used.known.give_back();
        }
    }

    /// Forgets organisations without requests.
    fn expire(&self, now_ms: u64) {
        self.uses()
            .retain(|_, used| used.is_reporting || now_ms.saturating_sub(used.used_ms) < FORGET_MS);
        self.issuer().expire(now_ms);
    }
}

/// The token of a request that may run; it goes back if the request was not sent before this
/// is dropped.
#[derive(Debug)]
pub struct Admitted<'a, P: Platform> {
    gateway: &'a Gateway<P>,
    organisation: Option<&'a Arc<str>>,
    attempts: &'a Attempts,
}

impl<P: Platform> Drop for Admitted<'_, P> {
    fn drop(&mut self) {
        let Some(organisation) = self.organisation else {
            return;
        };
        if !self.attempts.was_sent() {
            self.gateway.allowances.give_back(organisation);
        }
    }
}

/// Admits a request within the allowance of its organisation, if that has one.
///
/// # Errors
/// Returns the refusal if no token is left.
pub async fn admit<'a, P: Platform>(
    gateway: &'a Arc<Gateway<P>>,
    call: &'a Call,
    attempts: &'a Attempts,
) -> Result<Admitted<'a, P>, Outcome> {
    let limited = call
        .organisation
        .as_deref()
        .and_then(|organisation| Some((&organisation.name, organisation.allowance?)));
    let admitted = |organisation| Admitted {
        gateway,
        organisation,
        attempts,
    };
    let Some((name, allowance)) = limited else {
        return Ok(admitted(None));
    };
    let token = match begin(gateway, name, allowance) {
        Begun::Decided(decided) => decided,
        Begun::Waits(answer) => {
            let left = Duration::from_millis(call.left_ms());
            match timeout(left, answer).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(_)) | Err(_) => Err(NO_ANSWER_RETRY_MS),
            }
        }
    };
    let retry_ms = match token {
        Ok(()) => {
            gateway.metrics.on_allowance("admitted");
            return Ok(admitted(Some(name)));
        }
        Err(retry_ms) => retry_ms.min(call.left_ms() / MAX_RETRY_DIVISOR).max(1),
    };
    gateway.metrics.on_allowance("refused");
    if gateway.log_budget.take() {
        tracing::info!(
            request = call.id_text(),
            route = %call.route.name,
            version = call.version,
            organisation = %name,
            per_s = allowance.per_s,
            burst = allowance.burst,
            held_ms = call.held_ms(),
            return_ms = retry_ms,
            "request refused: its organisation has used its allowance"
        );
    }
    Err(Outcome::refused(Reason::OverAllowance, retry_ms))
}

enum Begun {
    Decided(Result<(), u64>),
    Waits(oneshot::Receiver<Result<(), u64>>),
}

fn begin<P: Platform>(gateway: &Arc<Gateway<P>>, name: &Arc<str>, allowance: Allowance) -> Begun {
    let now_ms = gateway.now_ms();
    let mut table = gateway.allowances.uses();
    let used = table
        .entry(Arc::clone(name))
        .or_insert_with(|| OrganisationUse::new(allowance));
    used.allowance = allowance;
    used.used_ms = now_ms;
    match used.known.admit(now_ms) {
        Admission::Admitted => Begun::Decided(Ok(())),
        Admission::Refused { retry_ms } => Begun::Decided(Err(retry_ms)),
        Admission::Ask => {
            let (waiting, answer) = oneshot::channel();
            used.waiting.push(waiting);
            let is_reporting = std::mem::replace(&mut used.is_reporting, true);
            drop(table);
            if !is_reporting {
                tokio::spawn(reports::report(Arc::clone(gateway), Arc::clone(name)));
            }
            Begun::Waits(answer)
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! Claims a key with all instances that may have a record of it.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{KeyedRun, RETRY_AFTER_MS, VIEW_RETRY_DELAY};
use crate::connection::wire::ClaimRequest;
use crate::process::keys::{ClaimResponse, KEY_RETENTION_MS, KeyState};
use crate::process::members::{Member, View};
use crate::request::outcome::{NotRunReason, Outcome, UnknownReason};

/// Rounds of claims while too few instances can be reached.
const MAX_CLAIM_ROUNDS: usize = 8;
/// Time in which a peer must respond to a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest assumed clock skew of callers, for keys that contain a timestamp.
const MAX_CLOCK_SKEW_MS: u64 = 5_000;

/// Result of claiming a key with the other instances.
pub enum ClaimDecision {
    /// All claims needed were granted; the call may run.
    Granted,
    /// The call must not run; this is the outcome for the caller.
    Denied(Outcome),
    /// Too few instances could be reached; this is the outcome if that stays.
    NoQuorum(Outcome),
}

/// Claims a key, and retries while too few instances can be reached, because
/// the view may be about to change.
pub async fn claim_until_deadline(run: &KeyedRun, granted: &mut Vec<Arc<Member>>) -> ClaimDecision {
    let mut result = claim_with_peers(run, granted).await;
    for _ in 1..MAX_CLAIM_ROUNDS {
        let is_final = !matches!(result, ClaimDecision::NoQuorum(_));
        if is_final || Instant::now() + VIEW_RETRY_DELAY >= run.deadline {
            break;
        }
        sleep(VIEW_RETRY_DELAY).await;
        result = claim_with_peers(run, granted).await;
    }
    result
}

/// Claims the key once with all instances that may have a record of it.
async fn claim_with_peers(run: &KeyedRun, granted: &mut Vec<Arc<Member>>) -> ClaimDecision {
    let node = &run.node;
    let now_ms = node.clock.now_ms();
    let hash = run.name.hash();
    let records_lost =
        || ClaimDecision::Denied(Outcome::unknown(UnknownReason::RecordsLost, RETRY_AFTER_MS));
    let (views, pair_loss_age_ms, has_majority) = {
        let members = node.members();
        let pair_loss_age_ms = members.pair_loss_age_ms(now_ms, hash);
        (
            members.recent_views(now_ms),
            pair_loss_age_ms,
            members.has_majority(now_ms),
        )
    };
    if !has_majority || !node.is_joined() {
        return records_lost();
    }
    let records_incomplete_age_ms = match (node.records_incomplete_ms(), pair_loss_age_ms) {
        (0, None) => None,
        (0, Some(lost_ms)) => Some(lost_ms),
        (records_incomplete_ms, lost_ms) => Some(
            lost_ms
                .unwrap_or(0)
                .max(KEY_RETENTION_MS - records_incomplete_ms),
        ),
    };
    // A key that was created after the possible loss has lost no records.
    if let Some(incomplete_age_ms) = records_incomplete_age_ms {
        let is_younger = key_age_ms(&run.name.key)
            .is_some_and(|age_ms| age_ms + MAX_CLOCK_SKEW_MS < incomplete_age_ms);
        if !is_younger {
            return records_lost();
        }
    }
    let mut asked = Vec::new();
    for view in &views {
        for member in view.pair(hash) {
            if *member != *node.me && !asked.contains(&member) {
                asked.push(member);
            }
        }
    }
    let responses = asked.iter().map(|member| claim(run, member));
    let responses = futures::future::join_all(responses).await;
    let mut denied = None;
    for (member, response) in asked.iter().zip(responses) {
        match response {
            Some(ClaimResponse::Granted) if granted.contains(member) => {}
            Some(ClaimResponse::Granted) => granted.push(Arc::clone(member)),
            Some(other) => denied = Some(other),
            None => {}
        }
    }
    if let Some(response) = denied {
        return ClaimDecision::Denied(to_outcome(response));
    }
    if !has_quorum(run, &views, hash, granted) {
        let outcome = Outcome::unknown(UnknownReason::RecordsLost, RETRY_AFTER_MS);
        return ClaimDecision::NoQuorum(outcome);
    }
    ClaimDecision::Granted
}

/// Whether one of the pair of each recent view has recorded the claim, and all
/// live instances of the current pair have.
fn has_quorum(run: &KeyedRun, views: &[Arc<View>], hash: u64, granted: &[Arc<Member>]) -> bool {
    let me = &run.node.me;
    let members = run.node.members();
    for (rank, view) in views.iter().enumerate() {
        let pair = view.pair(hash);
        let has_recorded = |member: &Arc<Member>| **member == **me || granted.contains(member);
        if !pair.iter().any(has_recorded) {
            return false;
        }
        // A later attempt may reach only one instance of the current pair, so
        // both must have the record.
        let is_current = rank == 0;
        let has_recorded_or_is_dead =
            |member: &Arc<Member>| has_recorded(member) || members.is_dead(member);
        if is_current && !pair.iter().all(has_recorded_or_is_dead) {
            return false;
        }
    }
    true
}

async fn claim(run: &KeyedRun, member: &Arc<Member>) -> Option<ClaimResponse> {
    let request = ClaimRequest {
        name: run.name.clone(),
        fingerprint: run.fingerprint,
        claimant: run.node.me.incarnation,
        target: member.incarnation,
    };
    let deadline = Instant::now() + CLAIM_TIMEOUT;
    let response = run
        .node
        .peers
        .call(member.address, deadline, |client, context| async move {
            client.claim(context, request).await
        })
        .await;
    match response {
        Ok(ClaimResponse::WrongIncarnation) => {
            // Another process answers at the member's address, so the member
            // has ended.
            let now_ms = run.node.clock.now_ms();
            if run.node.members().mark_dead(now_ms, member) {
                run.node.on_view_changed();
            }
            None
        }
        Ok(response) => Some(response),
        Err(error) => {
            run.node.check_peer(member, &error).await;
            None
        }
    }
}

fn to_outcome(response: ClaimResponse) -> Outcome {
    match response {
        ClaimResponse::Known(KeyState::Ended(outcome)) => Outcome::clone(&outcome),
        ClaimResponse::KeyReused => Outcome::not_run(NotRunReason::KeyReused, 0),
        ClaimResponse::TableFull => Outcome::unknown(UnknownReason::RecordsLost, RETRY_AFTER_MS),
        ClaimResponse::Known(KeyState::Claimed(_))
        | ClaimResponse::Granted
        | ClaimResponse::WrongIncarnation => {
            Outcome::unknown(UnknownReason::EarlierAttempt, RETRY_AFTER_MS)
        }
    }
}

/// Returns the age of a key that contains its time of creation (UUID version 7,
/// RFC 9562).
fn key_age_ms(key: &str) -> Option<u64> {
    let is_version_7 = key.len() == 36 && key.as_bytes()[14] == b'7';
    if !is_version_7 {
        return None;
    }
    let high = u64::from_str_radix(key.get(0..8)?, 16).ok()?;
    let low = u64::from_str_radix(key.get(9..13)?, 16).ok()?;
    let created_ms = (high << 16) | low;
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now_ms = u64::try_from(now.ok()?.as_millis()).ok()?;
    now_ms.checked_sub(created_ms)
}

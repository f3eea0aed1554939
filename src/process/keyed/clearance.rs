//! Finds out whether a keyed call may run: asks all who may know its key.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{ASK_AGAIN_MS, KeyedRun, VIEW_PAUSE};
use crate::connection::wire::ClaimRequest;
use crate::process::keys::{Claim, KeyState, RETENTION_MS};
use crate::process::members::{Member, View};
use crate::request::outcome::{NotRunReason, Outcome, UnknownReason};

/// Times that the others are asked about a key.
const CLEAR_TRIES: usize = 8;
/// Time in which a claim must be answered.
const CLAIM_LIMIT: Duration = Duration::from_millis(250);
/// How far callers' clocks may be off, for keys that carry their time.
const CLOCK_ERROR_MS: u64 = 5_000;

/// What the other instances say of a key.
pub enum Clearance {
    /// The call may run.
    Cleared,
    /// It must not, and this is the answer.
    Barred(Outcome),
    /// Too few could be asked for now.
    Uncovered(Outcome),
}

/// Asks again while too few can be asked, since the view may be about to
/// change.
pub async fn clear_in_time(run: &KeyedRun, granted: &mut Vec<Arc<Member>>) -> Clearance {
    let mut clearance = clear(run, granted).await;
    for _ in 1..CLEAR_TRIES {
        let is_final = !matches!(clearance, Clearance::Uncovered(_));
        if is_final || Instant::now() + VIEW_PAUSE >= run.deadline {
            break;
        }
        sleep(VIEW_PAUSE).await;
        clearance = clear(run, granted).await;
    }
    clearance
}

/// Asks all who may know the key, and claims it with them.
async fn clear(run: &KeyedRun, granted: &mut Vec<Arc<Member>>) -> Clearance {
    let node = &run.node;
    let now_ms = node.clock.now_ms();
    let hash = run.name.hash();
    let records_lost =
        || Clearance::Barred(Outcome::unknown(UnknownReason::RecordsLost, ASK_AGAIN_MS));
    let (views, lost_for_ms, has_majority) = {
        let members = node.members();
        let lost_for_ms = members.lost_for_ms(now_ms, hash);
        (
            members.recent_views(now_ms),
            lost_for_ms,
            members.has_majority(now_ms),
        )
    };
    if !has_majority || !node.is_joined() {
        return records_lost();
    }
    let doubt_since_ms = match (node.doubt_ms(), lost_for_ms) {
        (0, None) => None,
        (0, Some(lost_ms)) => Some(lost_ms),
        (doubt_ms, lost_ms) => Some(lost_ms.unwrap_or(0).max(RETENTION_MS - doubt_ms)),
    };
    if let Some(since_ms) = doubt_since_ms {
        let is_younger =
            key_age_ms(&run.name.key).is_some_and(|age_ms| age_ms + CLOCK_ERROR_MS < since_ms);
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
    let answers = asked.iter().map(|member| claim(run, member));
    let answers = futures::future::join_all(answers).await;
    let mut barred = None;
    for (member, answer) in asked.iter().zip(answers) {
        match answer {
            Some(Claim::Granted) if granted.contains(member) => {}
            Some(Claim::Granted) => granted.push(Arc::clone(member)),
            Some(other) => barred = Some(other),
            None => {}
        }
    }
    if let Some(claim) = barred {
        return Clearance::Barred(to_outcome(claim));
    }
    if !is_covered(run, &views, hash, granted) {
        let outcome = Outcome::unknown(UnknownReason::RecordsLost, ASK_AGAIN_MS);
        return Clearance::Uncovered(outcome);
    }
    Clearance::Cleared
}

/// Whether each recent view has one of the pair that has been asked, and
/// whether two know the key from here on.
fn is_covered(run: &KeyedRun, views: &[Arc<View>], hash: u64, granted: &[Arc<Member>]) -> bool {
    let me = &run.node.me;
    let members = run.node.members();
    for (rank, view) in views.iter().enumerate() {
        let pair = view.pair(hash);
        let knows = |member: &Arc<Member>| **member == **me || granted.contains(member);
        if !pair.iter().any(knows) {
            return false;
        }
        // Later attempts may ask only one of the current pair.
        let is_current = rank == 0;
        let may_be_missing = |member: &Arc<Member>| knows(member) || members.is_dead(member);
        if is_current && !pair.iter().all(may_be_missing) {
            return false;
        }
    }
    true
}

async fn claim(run: &KeyedRun, member: &Arc<Member>) -> Option<Claim> {
    let request = ClaimRequest {
        name: run.name.clone(),
        fingerprint: run.fingerprint,
        claimant: run.node.me.incarnation,
        target: member.incarnation,
    };
    let deadline = Instant::now() + CLAIM_LIMIT;
    let answer = run
        .node
        .peers
        .call(member.address, deadline, |client, context| async move {
            client.claim(context, request).await
        })
        .await;
    match answer {
        Ok(Claim::Stranger) => {
            // Its address answers in another process's name: it has ended.
            let now_ms = run.node.clock.now_ms();
            if run.node.members().on_refused(now_ms, member) {
                run.node.on_view_changed();
            }
            None
        }
        Ok(claim) => Some(claim),
        Err(error) => {
            run.node.verify(member, &error).await;
            None
        }
    }
}

fn to_outcome(claim: Claim) -> Outcome {
    match claim {
        Claim::Known(KeyState::Ended(outcome)) => Outcome::clone(&outcome),
        Claim::OtherWork => Outcome::not_run(NotRunReason::KeyReused, 0),
        Claim::Full => Outcome::unknown(UnknownReason::RecordsLost, ASK_AGAIN_MS),
        Claim::Known(KeyState::Claimed(_)) | Claim::Granted | Claim::Stranger => {
            Outcome::unknown(UnknownReason::EarlierAttempt, ASK_AGAIN_MS)
        }
    }
}

/// Age of a key that carries its time (UUID version 7, RFC 9562).
fn key_age_ms(key: &str) -> Option<u64> {
    let is_version_7 = key.len() == 36 && key.as_bytes()[14] == b'7';
    if !is_version_7 {
        return None;
    }
    let high = u64::from_str_radix(key.get(0..8)?, 16).ok()?;
    let low = u64::from_str_radix(key.get(9..13)?, 16).ok()?;
    let made_ms = (high << 16) | low;
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now_ms = u64::try_from(now.ok()?.as_millis()).ok()?;
    now_ms.checked_sub(made_ms)
}

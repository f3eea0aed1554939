//! What an instance knows of keys for others: claims, ends, lessons.

use std::sync::Arc;

use tokio::time::Instant;

use super::SETTLE_LIMIT;
use crate::connection::wire::{ClaimRequest, OutcomeReport};
use crate::process::keys::{Claim, KeyRecord};
use crate::process::members::View;
use crate::process::node::Node;

/// Answers a claim at the second instance of a key's pair.
pub fn on_claim(node: &Node, request: &ClaimRequest) -> Claim {
    let now_ms = node.clock.now_ms();
    let ClaimRequest {
        name,
        fingerprint,
        claimant,
        target,
    } = request;
    if *target != node.me.incarnation || !node.is_joined() {
        return Claim::Stranger;
    }
    node.register().claim(now_ms, name, *fingerprint, *claimant)
}

/// Takes a settlement from the first instance of a key's pair.
pub fn on_settlement(node: &Node, settlement: &OutcomeReport) {
    let now_ms = node.clock.now_ms();
    let mut register = node.register();
    if settlement.outcome.is_not_run() {
        register.release(&settlement.name, settlement.claimant);
        return;
    }
    let (name, fingerprint) = (&settlement.name, settlement.fingerprint);
    register.settle(now_ms, name, fingerprint, &settlement.outcome);
}

/// Passes records on whose pair has changed from `before` to `after`.
pub async fn teach(node: &Arc<Node>, before: &View, after: &View) {
    const CHUNK: usize = 200;
    let records = node.register().records(node.clock.now_ms());
    for member in after.members() {
        if **member == *node.me {
            continue;
        }
        let mut lesson: Vec<KeyRecord> = Vec::new();
        for record in &records {
            let hash = record.name.hash();
            let is_new = after.pair(hash).contains(member) && !before.pair(hash).contains(member);
            if is_new {
                lesson.push(record.clone());
            }
        }
        for chunk in lesson.chunks(CHUNK) {
            let chunk = chunk.to_vec();
            let deadline = Instant::now() + SETTLE_LIMIT;
            let taught = node
                .peers
                .call(member.address, deadline, |client, context| async move {
                    client.replicate_keys(context, chunk).await
                })
                .await;
            if let Err(error) = taught {
                tracing::warn!(target: "keys", member = %member.name, %error, "not taught");
                break;
            }
        }
    }
}

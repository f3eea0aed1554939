//! Records keys on behalf of other instances, and sends records to new pairs.

use std::sync::Arc;

use tokio::time::Instant;

use super::PEER_RESPONSE_TIMEOUT;
use crate::connection::wire::{ClaimRequest, OutcomeReport};
use crate::process::keys::{ClaimResponse, KeyRecord};
use crate::process::members::View;
use crate::process::node::Node;

/// Handles a claim from the first instance of a key's pair.
pub fn on_claim(node: &Node, request: &ClaimRequest) -> ClaimResponse {
    let now_ms = node.clock.now_ms();
    let ClaimRequest {
        name,
        fingerprint,
        claimant,
        target,
    } = request;
    if *target != node.me.incarnation || !node.is_joined() {
        return ClaimResponse::WrongIncarnation;
    }
    node.key_table()
        .claim(now_ms, name, *fingerprint, *claimant)
}

/// Handles an outcome reported by the first instance of a key's pair.
pub fn on_outcome(node: &Node, report: &OutcomeReport) {
    let now_ms = node.clock.now_ms();
    let mut key_table = node.key_table();
    if report.outcome.is_not_run() {
        key_table.release(&report.name, report.claimant);
        return;
    }
    let (name, fingerprint) = (&report.name, report.fingerprint);
    key_table.record_outcome(now_ms, name, fingerprint, &report.outcome);
}

/// Sends key records to the members that are in a key's pair in `after` but
/// were not in `before`.
pub async fn replicate_keys(node: &Arc<Node>, before: &View, after: &View) {
    const MAX_RECORDS_PER_MESSAGE: usize = 200;
    let records = node.key_table().records(node.clock.now_ms());
    for member in after.members() {
        if **member == *node.me {
            continue;
        }
        let mut missing: Vec<KeyRecord> = Vec::new();
        for record in &records {
            let hash = record.name.hash();
            let is_new = after.pair(hash).contains(member) && !before.pair(hash).contains(member);
            if is_new {
                missing.push(record.clone());
            }
        }
        for chunk in missing.chunks(MAX_RECORDS_PER_MESSAGE) {
            let chunk = chunk.to_vec();
            let deadline = Instant::now() + PEER_RESPONSE_TIMEOUT;
            let response = node
                .peers
                .call(member.address, deadline, |client, context| async move {
                    client.replicate_keys(context, chunk).await
                })
                .await;
            if let Err(error) = response {
                tracing::warn!(
                    target: "keys",
                    member = %member.name,
                    %error,
                    "failed to send key records; the member may not know earlier attempts"
                );
                break;
            }
        }
    }
}

//! Polls the platform's list of instances.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

use super::node::{ListCopy, Node};
use crate::connection::list::{InstanceList, ListClient, ListError, Role};

/// Longest delay between two requests for the list; the shortest is half of it.
const MAX_POLL_INTERVAL_MS: u64 = 500;

/// Polls the list until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut client = ListClient::new(&node.config.list_url);
    loop {
        let asked_ms = node.clock.now_ms();
        let response = client.read().await;
        match response {
            Ok(text) => {
                node.fence.on_contact(asked_ms);
                node.fence.on_list(asked_ms, 0);
                if let Some(text) = text {
                    store_copy(&node, text);
                }
            }
            Err(error) => {
                node.fence.on_list_failure(asked_ms);
                tracing::debug!(target: "list", %error, "cannot read the list; retrying");
            }
        }
        // Random, so that instances which started together spread their
        // requests.
        let delay_ms = rand::rng().random_range(MAX_POLL_INTERVAL_MS / 2..MAX_POLL_INTERVAL_MS);
        sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Adopts a peer's copy of the list if it is newer than this instance's. The peer
/// was asked at `asked_ms`, and its copy was then at most `age_ms` old.
///
/// # Errors
/// [`ListError`] if the copy cannot be parsed.
pub fn adopt_from_peer(
    node: &Node,
    text: Arc<str>,
    age_ms: u64,
    asked_ms: u64,
) -> Result<(), ListError> {
    if age_ms >= node.fence.list_age_ms(asked_ms) && node.list.load().is_some() {
        return Ok(());
    }
    InstanceList::parse(&text)?;
    node.fence.on_list(asked_ms, age_ms);
    store_copy(node, text);
    Ok(())
}

/// Stores a copy of the list, and updates the members and the pools; ignores a
/// copy that cannot be parsed.
fn store_copy(node: &Node, text: Arc<str>) {
    let Ok(list) = InstanceList::parse(&text) else {
        return;
    };
    let mut entries = Vec::new();
    for instance in &list.instances {
        if instance.role == Role::Entry && !instance.state.is_leaving() {
            entries.push((Arc::clone(&instance.name), instance.address));
        }
    }
    node.members().on_listed(node.clock.now_ms(), entries);
    node.list.store(Some(Arc::new(ListCopy::new(text, list))));
    node.update_pools();
}

//! Writes the instances' own records again that the store has lost, since nobody else does.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::state::Gateway;
use super::store::{Platform, Stream};
use super::suspect_records::own_delay;

/// Interval at which lost records are looked for.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between two records, as the store's writes are limited.
const WRITE_PAUSE: Duration = Duration::from_millis(20);
/// Subject by which the data centres are ranked.
const SUBJECT: &str = "lost-records";

/// Writes lost records again for the life of the process.
///
/// The readers of the store do this, one data centre after the other.
pub async fn rewrite<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut changes = gateway.watch_changes();
    let mut lost_since: Option<Instant> = None;
    let mut written: HashSet<Arc<str>> = HashSet::new();
    loop {
        // A timeout only means that nothing has changed.
        let _ = timeout(CHECK_INTERVAL, changes.changed()).await;
        changes.mark_unchanged();
        let lost = gateway.view().copy(Stream::Instances).lost_keys();
        if lost.is_empty() || !gateway.is_active_reader() {
            lost_since = None;
            written.clear();
            continue;
        }
        let since = *lost_since.get_or_insert_with(Instant::now);
        if since.elapsed() < own_delay(&gateway, SUBJECT) {
            continue;
        }
        for key in lost {
            if !written.contains(&key) && write_again(&gateway, &key).await {
                written.insert(key);
                sleep(WRITE_PAUSE).await;
            }
        }
    }
}

async fn write_again<P: Platform>(gateway: &Gateway<P>, key: &Arc<str>) -> bool {
    let known = {
        let view = gateway.view();
        let copy = view.copy(Stream::Instances);
        copy.is_lost(key).then(|| copy.get(key).cloned()).flatten()
    };
    let Some(known) = known else {
        return false;
    };
    let written = gateway
        .platform
        .put_instance(key, known.value.as_deref())
        .await;
    gateway.metrics.on_store_call(written.is_ok());
    match written {
        Ok(()) => {
            tracing::info!(%key, "wrote a record again that the store had lost");
            true
        }
        Err(error) => {
            tracing::warn!(%key, %error, "cannot write a lost record again; retrying");
            false
        }
    }
}

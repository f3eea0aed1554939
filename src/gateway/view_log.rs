//! Log lines about changes of the view.

use super::view::Event;
use crate::decision::manifest::Manifest;

/// Changes logged one by one for each read of the store; the rest are only
/// counted.
const MAX_EVENT_LOG_LINES: usize = 40;

/// Logs changes of the view, up to a number of lines.
pub fn log_events(events: &[Event], source: &str, offset: u64) {
    for event in events.iter().take(MAX_EVENT_LOG_LINES) {
        log_event(event, source, offset);
    }
    let omitted = events.len().saturating_sub(MAX_EVENT_LOG_LINES);
    if omitted > 0 {
        tracing::info!(omitted, source, offset, "further changes applied");
    }
}

/// Names what this build cannot read in a version.
pub fn log_unread(manifest: &Manifest) {
    for unread in manifest.unread.iter().take(MAX_EVENT_LOG_LINES) {
        tracing::warn!(
            version = manifest.version,
            object = unread.object,
            field = unread.field,
            value = unread.value,
            instead = unread.instead,
            "this build cannot read a value of the version"
        );
    }
    let omitted = manifest.unread.len().saturating_sub(MAX_EVENT_LOG_LINES);
    if omitted > 0 {
        tracing::warn!(
            version = manifest.version,
            omitted,
            "this build cannot read further values of the version"
        );
    }
}

fn log_event(event: &Event, source: &str, offset: u64) {
    match event {
        Event::Version(version) => {
            tracing::info!(version, source, offset, "new version applied");
        }
        Event::DataCentre(name, true) => {
            tracing::info!(data_centre = %name, source, offset, "data centre evacuated");
        }
        Event::DataCentre(name, false) => {
            tracing::info!(data_centre = %name, source, offset, "data centre back in service");
        }
        Event::Upstream(id, change) => {
            tracing::info!(upstream = %id, %change, source, offset, "upstream changed");
        }
        Event::Instance(name) => {
            tracing::info!(instance = %name, source, offset, "instance changed");
        }
        Event::StoppedRequest(content) => {
            let content = super::suspects::hex(*content);
            tracing::info!(
                content,
                source,
                offset,
                "record of a stopped request changed"
            );
        }
        Event::Rollout(service) => {
            tracing::info!(%service, source, offset, "order of a roll-out given, changed or withdrawn");
        }
        Event::InvalidRecord(stream, key, error) => {
            tracing::warn!(%stream, key = %key, %error, source, offset, "invalid record skipped");
        }
    }
}

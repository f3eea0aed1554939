//! Reads the store's streams by long polls, and fetches records from other
//! instances while the store is unreachable.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use super::long_poll_checks::CheckedLongPoll;
use super::relay;
use super::state::Gateway;
use super::store::{Platform, Records, StoreError, Stream};
use super::view::{Extent, instance_key};
use crate::connection::arrivals::Arrivals;

/// Range of the first retry delay while the store is unreachable; the delay
/// doubles with each failure.
const RETRY_DELAY_MS: std::ops::Range<u64> = 250..400;
/// Number of doublings; the longest delay stays well within the platform's
/// bounds after the store recovers.
const RETRY_DOUBLINGS: u32 = 2;

impl Stream {
    /// Wait of a long poll. It is short, so that a part of the store that hangs is
    /// detected within the platform's bounds; [`super::long_poll_checks`] does that for the
    /// operator stream, whose bound is shorter, so its wait is the longest that the platform
    /// takes.
    fn long_poll_wait(self) -> Duration {
        match self {
            Self::Operator => Duration::from_secs(30),
            Self::Upstreams | Self::Instances => Duration::from_secs(3),
        }
    }

    /// Pause after the beginning of a response with records, so that the next read returns
    /// several. A long response outlasts it: the store may have cut it short.
    fn batch_pause(self) -> Duration {
        match self {
            Self::Operator => Duration::from_millis(250),
            Self::Upstreams => Duration::from_millis(600),
            Self::Instances => Duration::from_millis(1_500),
        }
    }
}

/// Pause after the first read of a stream, in which the instances settle on a
/// reader; with the time of the reads it stays within the platform's bounds.
const FIRST_READ_PAUSE: Duration = Duration::from_millis(700);
/// Time within which a healthy store responds to a read without a wait; ten times
/// the usual 4 ms.
pub const PROMPT_RESPONSE_TIME: Duration = Duration::from_millis(40);
/// Wait of the next long poll of upstreams after one that returned records.
const WAIT_AFTER_RECORDS: Duration = Duration::from_millis(1_200);
/// Pause between short polls while the store is slow.
const SLOW_STORE_PAUSE: Duration = Duration::from_millis(900);

/// Reachability of the store for the follower of one stream.
struct StoreContact<P: Platform> {
    gateway: Arc<Gateway<P>>,
    outage: Option<Outage<P>>,
    failures: u32,
}

/// Counts a stream as unreachable until it is dropped, also if its follower ends.
struct Outage<P: Platform> {
    gateway: Arc<Gateway<P>>,
    since: Instant,
}

impl<P: Platform> Drop for Outage<P> {
    fn drop(&mut self) {
        self.gateway.clear_store_unreachable();
    }
}

impl<P: Platform> StoreContact<P> {
    fn new(gateway: &Arc<Gateway<P>>) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            outage: None,
            failures: 0,
        }
    }

    /// Records a successful read; returns true if it ends an outage.
    fn on_response(&mut self, stream: Stream) -> bool {
        self.failures = 0;
        let Some(outage) = self.outage.take() else {
            return false;
        };
        let outage_ms = super::calls::to_ms(outage.since.elapsed());
        tracing::info!(%stream, outage_ms, "store reads succeed again");
        true
    }

    /// Ends the outage when another instance has become the reader.
    fn reset(&mut self, stream: Stream) {
        if self.outage.take().is_some() {
            tracing::info!(%stream, "another instance reads the store; no longer retrying");
        }
    }

    /// Records a failed read; returns true if it begins an outage.
    fn on_failure(&mut self, stream: Stream, error: &StoreError) -> bool {
        self.failures += 1;
        if self.outage.is_some() {
            return false;
        }
        self.gateway.on_store_unreachable();
        self.outage = Some(Outage {
            gateway: Arc::clone(&self.gateway),
            since: Instant::now(),
        });
        tracing::warn!(%stream, %error, "store reads fail; retrying and asking other instances");
        true
    }
}

/// Reads one stream whenever this instance has the reader role, until the process
/// ends.
pub async fn follow<P: Platform>(gateway: Arc<Gateway<P>>, stream: Stream) {
    let mut role = gateway.watch_reader_role();
    let mut contact = StoreContact::new(&gateway);
    let mut is_loaded = false;
    let mut needs_short_poll = false;
    let mut is_after_records = false;
    loop {
        if !*role.borrow() {
            // The store may be slow or unreachable by the time of the next read.
            needs_short_poll = true;
        }
        if !wait_for_role(&mut role, true).await {
            return;
        }
        let wait = match (needs_short_poll, is_after_records) {
            (true, _) => Duration::ZERO,
            (false, true) if stream == Stream::Upstreams => WAIT_AFTER_RECORDS,
            (false, _) => stream.long_poll_wait(),
        };
        let is_checked = stream == Stream::Operator && is_loaded && !needs_short_poll;
        let arrivals = Arc::new(Arrivals::new());
        let checked_poll = is_checked
            .then(|| CheckedLongPoll::begin(&gateway.operator_long_poll, Arc::clone(&arrivals)));
        let read = tokio::select! {
            read = read_stream(&gateway, stream, is_loaded, wait, &arrivals) => read,
            () = recheck_wanted(&gateway, &arrivals), if !needs_short_poll => {
                needs_short_poll = true;
                continue;
            }
            () = gateway.operator_poll_missed_records.notified(), if is_checked => continue,
            () = gateway.operator_check_unanswered.notified(), if is_checked => {
                Err(StoreError::Unreachable("no answer to the check of a long poll".to_owned()))
            }
            // Records that have begun to arrive count: the other instance may still lack them.
            _ = arrivals.unless_begun(wait_for_role(&mut role, false)) => {
                contact.reset(stream);
                continue;
            }
        };
        drop(checked_poll);
        gateway.metrics.on_store_call(read.is_ok());
        match read {
            Ok(records) => {
                // A long poll of a slow store may miss a record that is written while
                // the poll arrives.
                let is_short_poll = needs_short_poll || !is_loaded;
                needs_short_poll = is_short_poll && arrivals.time_to_begin() > PROMPT_RESPONSE_TIME;
                if contact.on_response(stream) {
                    gateway.on_store_recovered();
                    gateway.store_recheck.notify_waiters();
                }
                let has_records = !records.records.is_empty();
                is_after_records = has_records;
                let known_era = gateway.view().copy(stream).era;
                if known_era != 0 && records.era > known_era {
                    is_loaded = follow_new_era(&gateway, stream, records, is_loaded).await;
                    continue;
                }
                if !confirm(&gateway, stream, &records) {
                    needs_short_poll = true;
                }
                let extent = if is_loaded {
                    Extent::Following
                } else {
                    Extent::Newest
                };
                gateway.apply_records(stream, records, extent, "store");
                let is_first = !is_loaded;
                is_loaded = true;
                if needs_short_poll {
                    sleep(SLOW_STORE_PAUSE).await;
                } else if is_first {
                    sleep(FIRST_READ_PAUSE).await;
                } else if has_records {
                    let begun_at = arrivals.begun_at().unwrap_or_else(Instant::now);
                    sleep_until(begun_at + stream.batch_pause()).await;
                }
            }
            Err(StoreError::Compacted) => {
                tracing::info!(%stream, "old records are compacted; loading a new snapshot");
                is_loaded = false;
            }
            Err(error) if !*role.borrow() => {
                tracing::info!(%stream, %error, "a read ended without records after the reader role");
                contact.reset(stream);
            }
            Err(error) => {
                // A long poll could hang beyond the store's recovery.
                needs_short_poll = true;
                if contact.on_failure(stream, &error) {
                    gateway.store_recheck.notify_waiters();
                }
                // The other instance may be silent, too.
                let delay = sleep(retry_delay(contact.failures));
                tokio::join!(relay::fetch_from_any_peer(&gateway), delay);
            }
        }
    }
}

/// Waits until the connection to the store is to be checked by a short read; a response
/// that arrives shows that it works.
async fn recheck_wanted<P: Platform>(gateway: &Gateway<P>, arrivals: &Arrivals) {
    loop {
        gateway.store_recheck.notified().await;
        if arrivals.begun_at().is_none() {
            return;
        }
    }
}

/// Records that the store has confirmed what is known of a stream; returns false if it
/// reads behind that, so that its answer may lack newer records.
pub fn confirm<P: Platform>(gateway: &Gateway<P>, stream: Stream, answer: &Records) -> bool {
    let known_end = gateway.view().next_offset(stream);
    if answer.next_offset < known_end {
        let end = answer.next_offset;
        tracing::info!(%stream, end, known_end, "the store reads behind; its answer confirms nothing");
        return false;
    }
    gateway.stream_ages.confirm(stream, gateway.now_ms());
    true
}

/// Merges what a store has that has returned from a copy with what was read before; returns
/// whether the stream can be followed from there.
///
/// `read` was the first answer in the new era; only a snapshot can be merged.
async fn follow_new_era<P: Platform>(
    gateway: &Gateway<P>,
    stream: Stream,
    read: Records,
    is_loaded: bool,
) -> bool {
    let (from, end) = {
        let view = gateway.view();
        let from = view.copy(stream).history_start(gateway.now_ms());
        (from, view.next_offset(stream))
    };
    let era = read.era;
    // The long polls of other streams may not end for a while.
    gateway.store_recheck.notify_waiters();
    if is_loaded {
        return false;
    }
    let store_end = read.next_offset;
    tracing::warn!(%stream, era, from, end, store_end, "the store has returned from a copy; comparing");
    let log = read_all(gateway, stream, from, era).await;
    gateway.metrics.on_store_call(log.is_ok());
    let mut newest = read;
    match log {
        Ok(log) => {
            for mut record in log.records {
                // It may have been in the copy.
                record.era = 0;
                newest.records.push(record);
            }
            newest.records.sort_by_key(|record| record.offset);
        }
        Err(StoreError::Compacted) => {
            tracing::warn!(%stream, era, "the store lacks the records to compare; merging its newest");
        }
        Err(error) => {
            tracing::warn!(%stream, %error, "cannot compare the store's records; reading its newest");
            sleep(retry_delay(1)).await;
            return false;
        }
    }
    let merged = newest.records.len();
    gateway.apply_records(stream, newest, Extent::Newest, "store");
    let (next_offset, lost) = {
        let view = gateway.view();
        let copy = view.copy(stream);
        (copy.next_offset, copy.lost_keys().len())
    };
    tracing::warn!(%stream, era, next_offset, merged, lost, "records that the store has lost stay in force");
    true
}

/// Reads all records of an era from an offset on.
async fn read_all<P: Platform>(
    gateway: &Gateway<P>,
    stream: Stream,
    from: u64,
    era: u64,
) -> Result<Records, StoreError> {
    let mut all = Records {
        era,
        records: Vec::new(),
        next_offset: from,
    };
    loop {
        let read = gateway
            .platform
            .read(stream, all.next_offset, Duration::ZERO);
        let page = read.await?;
        if page.era != era {
            return Err(StoreError::InvalidResponse(
                "the store returned from another copy meanwhile".to_owned(),
            ));
        }
        if page.next_offset < all.next_offset {
            return Err(StoreError::Compacted);
        }
        if page.next_offset == all.next_offset {
            return Ok(all);
        }
        all.next_offset = page.next_offset;
        all.records.extend(page.records);
    }
}

fn retry_delay(failures: u32) -> Duration {
    let first_ms = rand::rng().random_range(RETRY_DELAY_MS);
    let doublings = failures.saturating_sub(1).min(RETRY_DOUBLINGS);
    Duration::from_millis(first_ms << doublings)
}

/// Waits until this instance gains or loses the reader role; returns false when
/// the process ends.
async fn wait_for_role(role: &mut watch::Receiver<bool>, is_reader: bool) -> bool {
    role.wait_for(|now| *now == is_reader).await.is_ok()
}

/// Reads a stream: its newest records, or those that follow the known ones.
///
/// # Errors
/// Returns an error if the call to the store fails, or its answer is of an era that has
/// ended or begins beyond the known end, as it then lacks records.
pub async fn read_stream<P: Platform>(
    gateway: &Gateway<P>,
    stream: Stream,
    is_loaded: bool,
    wait: Duration,
    arrivals: &Arrivals,
) -> Result<Records, StoreError> {
    let from = gateway.view().next_offset(stream);
    let records = if is_loaded {
        let read = gateway.platform.read_observed(stream, from, wait, arrivals);
        read.await?
    } else {
        gateway.platform.newest(stream).await?
    };
    let (known_era, known_end) = {
        let view = gateway.view();
        (view.copy(stream).era, view.next_offset(stream))
    };
    let era = records.era;
    if era < known_era {
        return Err(StoreError::InvalidResponse(format!(
            "it is of era {era}, which has ended; era {known_era} is known"
        )));
    }
    // Another instance may have told of a new era, in which the offsets went back.
    if is_loaded && era == known_era && known_end < from {
        return Err(StoreError::InvalidResponse(format!(
            "it begins at {from}, beyond the known end {known_end} in era {era}"
        )));
    }
    Ok(records)
}

/// Registers the address of this instance in the store, unless its entry is
/// already there.
pub async fn register_instance<P: Platform>(gateway: Arc<Gateway<P>>) {
    let settings = gateway.settings();
    let key = instance_key(&settings.name);
    let own_entry = settings.as_instance();
    let record = own_entry.to_record();
    loop {
        // After a restart the entry exists, so the stream must be read first.
        let known = gateway.view().instances.get(&settings.name).cloned();
        if known.as_ref() == Some(&own_entry) {
            return;
        }
        if gateway.are_instances_loaded() {
            match gateway
                .platform
                .put_instance(&key, Some(record.as_bytes()))
                .await
            {
                Ok(()) => return,
                Err(error) => {
                    tracing::warn!(%error, "failed to register this instance; retrying");
                }
            }
        }
        sleep(retry_delay(1)).await;
    }
}

//! Follows the store's streams, and asks other instances while the store does
//! not answer.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::relay;
use super::state::Gateway;
use super::store::{Platform, Records, StoreError, Stream};
use super::view::instance_key;

/// Pause before the first further try while the store does not answer; each
/// one is twice as long.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 250..400;
/// Times that the pause is doubled; the longest one stays well within the
/// platform's bounds after the store's return.
const RETRY_DOUBLINGS: u32 = 2;

impl Stream {
    /// Longest wait of one read. That of the upstreams is short, since it also
    /// shows within the platform's bounds that the store has gone silent.
    fn wait(self) -> Duration {
        match self {
            Self::Orders | Self::Instances => Duration::from_secs(20),
            Self::Upstreams => Duration::from_secs(3),
        }
    }

    /// Pause after records have come, so that the next read finds several.
    fn batch(self) -> Duration {
        match self {
            Self::Orders => Duration::from_millis(250),
            Self::Upstreams => Duration::from_millis(600),
            Self::Instances => Duration::from_millis(1_500),
        }
    }
}

/// Pause after the first read of a stream, in which it shows who reads on;
/// with the reads' own time it stays within the platform's bounds.
const FIRST_PAUSE: Duration = Duration::from_millis(700);
/// Time within which a read without a wait is answered while the store is well;
/// ten times the usual 4 ms.
const USUAL_ANSWER: Duration = Duration::from_millis(40);
/// Time after the start of a long read at which it is checked by a short one;
/// an append takes a tenth of it.
const CHECK_AFTER: Duration = Duration::from_millis(300);
/// Longest wait of the first read after records have come.
const AFTER_NEWS_WAIT: Duration = Duration::from_millis(1_200);
/// Pause between reads while the store is slow.
const SLOW_PAUSE: Duration = Duration::from_millis(900);

/// Whether the store answers, as one follower sees it.
#[derive(Debug, Default)]
struct Contact {
    lost_at: Option<Instant>,
    failures: u32,
}

impl Contact {
    /// Notes an answer; true for the first one after failures.
    fn on_answer(&mut self, stream: Stream) -> bool {
        self.failures = 0;
        let Some(lost_at) = self.lost_at.take() else {
            return false;
        };
        let away_ms = super::calls::to_ms(lost_at.elapsed());
        tracing::info!(%stream, away_ms, "the store answers again");
        true
    }

    /// Starts anew once another instance reads the store.
    fn forget<P: Platform>(&mut self, gateway: &Gateway<P>, stream: Stream) {
        if self.lost_at.take().is_some() {
            gateway.clear_store_unreachable();
            tracing::info!(%stream, "another instance reads the store now");
        }
    }

    /// Notes a failure; true for the first one.
    fn on_failure(&mut self, stream: Stream, error: &StoreError) -> bool {
        self.failures += 1;
        if self.lost_at.is_some() {
            return false;
        }
        self.lost_at = Some(Instant::now());
        tracing::warn!(%stream, %error, "the store does not answer");
        true
    }
}

/// Follows one stream while this instance is a reader.
pub async fn follow<P: Platform>(gateway: Arc<Gateway<P>>, stream: Stream) {
    let mut role = gateway.watch_reader_role();
    let mut contact = Contact::default();
    let mut is_loaded = false;
    let mut is_in_doubt = false;
    let mut is_after_news = false;
    loop {
        if !*role.borrow() {
            // The store may be slow or away by the time of the next read.
            is_in_doubt = true;
        }
        if !wait_for_role(&mut role, true).await {
            return;
        }
        let wait = match (is_in_doubt, is_after_news) {
            (true, _) => Duration::ZERO,
            (false, true) if stream == Stream::Upstreams => AFTER_NEWS_WAIT,
            (false, _) => stream.wait(),
        };
        if stream == Stream::Orders && is_loaded && !is_in_doubt {
            gateway.long_poll_started.notify_one();
        }
        let began = Instant::now();
        let read = tokio::select! {
            read = step(&gateway, stream, is_loaded, wait) => read,
            () = gateway.store_recheck.notified(), if !is_in_doubt => {
                is_in_doubt = true;
                continue;
            }
            _ = wait_for_role(&mut role, false) => {
                contact.forget(&gateway, stream);
                continue;
            }
        };
        gateway.metrics.on_store_call(read.is_ok());
        match read {
            Ok(records) => {
                // A long read that a slow store takes in may miss a record that
                // is written at that time.
                let is_short = is_in_doubt || !is_loaded;
                is_in_doubt = is_short && began.elapsed() > USUAL_ANSWER;
                if contact.on_answer(stream) {
                    gateway.on_store_recovered();
                    gateway.store_recheck.notify_waiters();
                }
                let is_news = !records.records.is_empty();
                is_after_news = is_news;
                gateway.apply_records(stream, records, is_loaded, "store");
                let is_first = !is_loaded;
                is_loaded = true;
                if is_in_doubt {
                    sleep(SLOW_PAUSE).await;
                } else if is_first {
                    sleep(FIRST_PAUSE).await;
                } else if is_news {
                    sleep(stream.batch()).await;
                }
            }
            Err(StoreError::Compacted) => {
                tracing::info!(%stream, "the store dropped old records; reading anew");
                is_loaded = false;
            }
            Err(error) => {
                // A long read might outlast the store's return.
                is_in_doubt = true;
                if contact.on_failure(stream, &error) {
                    gateway.on_store_unreachable();
                    gateway.store_recheck.notify_waiters();
                }
                relay::ask_any(&gateway).await;
                sleep(retry_pause(contact.failures)).await;
            }
        }
    }
}

fn retry_pause(failures: u32) -> Duration {
    let first_ms = rand::rng().random_range(RETRY_PAUSE_MS);
    let doublings = failures.saturating_sub(1).min(RETRY_DOUBLINGS);
    Duration::from_millis(first_ms << doublings)
}

/// Waits until this instance is a reader, or is none any more; false at the
/// end of the process.
async fn wait_for_role(role: &mut watch::Receiver<bool>, is_reader: bool) -> bool {
    role.wait_for(|now| *now == is_reader).await.is_ok()
}

/// Checks each long read of the orders by a short one.
///
/// A long read that arrives while a record is being written may not be
/// answered before the next record.
pub async fn check<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        gateway.long_poll_started.notified().await;
        sleep(CHECK_AFTER).await;
        if !*gateway.watch_reader_role().borrow() {
            continue;
        }
        let began = Instant::now();
        match step(&gateway, Stream::Orders, true, Duration::ZERO).await {
            Ok(records) => {
                gateway.metrics.on_store_call(true);
                if began.elapsed() > USUAL_ANSWER {
                    gateway.store_recheck.notify_waiters();
                }
                gateway.apply_records(Stream::Orders, records, true, "store");
            }
            Err(error) => {
                gateway.metrics.on_store_call(false);
                tracing::debug!(%error, "the check of a long read failed");
            }
        }
    }
}

async fn step<P: Platform>(
    gateway: &Gateway<P>,
    stream: Stream,
    is_loaded: bool,
    wait: Duration,
) -> Result<Records, StoreError> {
    if !is_loaded {
        return gateway.platform.newest(stream).await;
    }
    let from = gateway.view().next(stream);
    gateway.platform.read(stream, from, wait).await
}

/// Tells the other instances where this one listens, unless they know already.
pub async fn register<P: Platform>(gateway: Arc<Gateway<P>>) {
    let settings = gateway.settings();
    let key = instance_key(&settings.name);
    let me = settings.as_instance();
    let record = me.to_record();
    loop {
        // The stream is read first: after a restart the entry is there.
        let known = gateway.view().instances.get(&settings.name).cloned();
        if known.as_ref() == Some(&me) {
            return;
        }
        if gateway.are_instances_loaded() {
            match gateway.platform.put(&key, Some(record.as_bytes())).await {
                Ok(()) => return,
                Err(error) => tracing::warn!(%error, "cannot tell the address of this instance"),
            }
        }
        sleep(retry_pause(1)).await;
    }
}

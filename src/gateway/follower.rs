//! Follows the store's streams, and asks other instances while the store does
//! not answer.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::{Instant, sleep};

use super::relay;
use super::state::Gateway;
use super::store::{Platform, Records, StoreError, Stream};
use super::view::instance_key;

/// Pause between tries while the store does not answer.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 250..450;
/// Time after the store's return in which entries may have lapsed.
const RETURN_WINDOW: Duration = Duration::from_millis(2_500);

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
    returned_at: Option<Instant>,
}

impl Contact {
    fn is_returning(&self) -> bool {
        self.returned_at
            .is_some_and(|returned_at| returned_at.elapsed() < RETURN_WINDOW)
    }

    /// Notes an answer; true for the first one after failures.
    fn on_answer(&mut self, stream: Stream) -> bool {
        let Some(lost_at) = self.lost_at.take() else {
            return false;
        };
        self.returned_at = Some(Instant::now());
        let away_ms = super::calls::to_ms(lost_at.elapsed());
        tracing::info!(%stream, away_ms, "the store answers again");
        true
    }

    /// Notes a failure; true for the first one.
    fn on_failure(&mut self, stream: Stream, error: &StoreError) -> bool {
        if self.lost_at.is_some() {
            return false;
        }
        self.lost_at = Some(Instant::now());
        tracing::warn!(%stream, %error, "the store does not answer");
        true
    }
}

/// Follows one stream until the process ends.
pub async fn follow<P: Platform>(gateway: Arc<Gateway<P>>, stream: Stream) {
    let mut contact = Contact::default();
    let mut is_loaded = false;
    let mut is_in_doubt = false;
    let mut is_after_news = false;
    loop {
        let wait = match (is_in_doubt, is_after_news) {
            (true, _) => Duration::ZERO,
            (false, true) if stream == Stream::Upstreams => AFTER_NEWS_WAIT,
            (false, _) => stream.wait(),
        };
        if stream == Stream::Orders && is_loaded && !is_in_doubt {
            gateway.long_read_began.notify_one();
        }
        let began = Instant::now();
        let read = tokio::select! {
            read = step(&gateway, stream, is_loaded, wait) => read,
            () = gateway.store_doubt.notified(), if !is_in_doubt => {
                is_in_doubt = true;
                continue;
            }
        };
        gateway.meters.on_store_call(read.is_ok());
        match read {
            Ok(records) => {
                // A long read that a slow store takes in may miss a record that
                // is written at that time.
                let is_short = is_in_doubt || !is_loaded;
                is_in_doubt = is_short && began.elapsed() > USUAL_ANSWER;
                if contact.on_answer(stream) {
                    gateway.store_doubt.notify_waiters();
                }
                let is_news = !records.records.is_empty();
                is_after_news = is_news;
                take_in(&gateway, stream, records, is_loaded, contact.is_returning());
                is_loaded = true;
                if is_in_doubt {
                    sleep(SLOW_PAUSE).await;
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
                    gateway.store_doubt.notify_waiters();
                }
                relay::ask_peer(&gateway).await;
                let pause_ms = rand::rng().random_range(RETRY_PAUSE_MS);
                sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }
}

/// Checks each long read of the orders by a short one.
///
/// A long read that arrives while a record is being written may not be
/// answered before the next record.
pub async fn check<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        gateway.long_read_began.notified().await;
        sleep(CHECK_AFTER).await;
        match step(&gateway, Stream::Orders, true, Duration::ZERO).await {
            Ok(records) => {
                gateway.meters.on_store_call(true);
                take_in(&gateway, Stream::Orders, records, true, false);
            }
            Err(error) => {
                gateway.meters.on_store_call(false);
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

fn take_in<P: Platform>(
    gateway: &Gateway<P>,
    stream: Stream,
    records: Records,
    is_loaded: bool,
    is_returning: bool,
) {
    let now_ms = gateway.now_ms();
    let platform = &gateway.platform;
    let offset = records.next;
    let events = {
        let mut view = gateway.view();
        if is_loaded {
            view.apply(platform, stream, records, is_returning, now_ms)
        } else {
            view.apply_newest(platform, stream, records, is_returning, now_ms)
        }
    };
    match stream {
        Stream::Orders => {}
        Stream::Upstreams => gateway.set_loaded(),
        Stream::Instances => gateway.set_instances_read(),
    }
    gateway.on_events(&events, "store", offset);
}

/// Tells the other instances where this one listens, unless they know already.
pub async fn register<P: Platform>(gateway: Arc<Gateway<P>>) {
    let settings = gateway.settings();
    let key = instance_key(&settings.name);
    let address = settings.peer_address.to_string();
    loop {
        // The stream is read first: after a restart the entry is there.
        let known = gateway.view().instances.get(&settings.name).copied();
        if known == Some(settings.peer_address) {
            return;
        }
        if gateway.are_instances_read() {
            match gateway.platform.put(&key, Some(address.as_bytes())).await {
                Ok(()) => return,
                Err(error) => tracing::warn!(%error, "cannot tell the address of this instance"),
            }
        }
        let pause_ms = rand::rng().random_range(RETRY_PAUSE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

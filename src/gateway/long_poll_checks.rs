//! Checks the long polls of the operator stream, since one that hangs looks like one
//! without news.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use super::follower::{PROMPT_RESPONSE_TIME, confirm, read_stream};
use super::state::Gateway;
use super::store::{Platform, Stream};
use super::view::Extent;

/// Delay between the start of a long poll and the first short poll that checks it; an
/// append to the store takes a tenth of it.
const LONG_POLL_CHECK_DELAY: Duration = Duration::from_millis(300);
/// Interval of further checks of the same long poll, which may hang for its whole wait. It
/// leaves a quarter of the platform's bound of 2 s for the check and for telling followers.
const LONG_POLL_CHECK_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time in which the store must answer a check, beyond that of a slow store, whose answers
/// take 50 times the usual 4 ms; the other half of the quarter is for finding an instance
/// that the store serves.
const LONG_POLL_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Marks a long poll of the operator stream as in flight until it is dropped.
pub struct CheckedLongPoll<'g> {
    in_flight: &'g watch::Sender<Option<u64>>,
}

impl<'g> CheckedLongPoll<'g> {
    /// Marks a long poll as in flight.
    pub fn begin(in_flight: &'g watch::Sender<Option<u64>>) -> Self {
        static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
        in_flight.send_replace(Some(NEXT_NUMBER.fetch_add(1, Ordering::Relaxed)));
        Self { in_flight }
    }
}

impl Drop for CheckedLongPoll<'_> {
    fn drop(&mut self) {
        self.in_flight.send_replace(None);
    }
}

/// Checks each long poll of the operator stream by short polls, soon after its start and
/// then at every interval.
///
/// The store may miss a record that is written while a long poll arrives; it then
/// responds to the poll only at the next record. A part of the store may also hang while
/// the others respond, and a poll that hangs looks like one without news.
pub async fn check_long_polls<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut in_flight = gateway.operator_long_poll.subscribe();
    loop {
        // The sender belongs to the gateway, so it is not closed.
        let Ok(poll) = in_flight.wait_for(Option::is_some).await.map(|poll| *poll) else {
            return;
        };
        let mut delay = LONG_POLL_CHECK_DELAY;
        loop {
            let has_ended = in_flight.wait_for(|now| *now != poll);
            if timeout(delay, has_ended).await.is_ok() {
                break;
            }
            check_operator_stream(&gateway).await;
            delay = LONG_POLL_CHECK_INTERVAL;
        }
    }
}

async fn check_operator_stream<P: Platform>(gateway: &Gateway<P>) {
    if !*gateway.watch_reader_role().borrow() {
        return;
    }
    let began = Instant::now();
    let read = read_stream(gateway, Stream::Operator, true, Duration::ZERO);
    let Ok(read) = timeout(LONG_POLL_CHECK_TIMEOUT, read).await else {
        gateway.metrics.on_store_call(false);
        tracing::info!("the store did not answer the check of a long poll");
        gateway.operator_check_unanswered.notify_waiters();
        return;
    };
    match read {
        Ok(records) => {
            gateway.metrics.on_store_call(true);
            if began.elapsed() > PROMPT_RESPONSE_TIME {
                gateway.store_recheck.notify_waiters();
            }
            let known_era = gateway.view().copy(Stream::Operator).era;
            if records.era == known_era && confirm(gateway, Stream::Operator, &records) {
                if !records.records.is_empty() {
                    gateway.operator_poll_missed_records.notify_waiters();
                }
                gateway.apply_records(Stream::Operator, records, Extent::Following, "store");
            } else {
                gateway.store_recheck.notify_waiters();
            }
        }
        Err(error) => {
            gateway.metrics.on_store_call(false);
            tracing::info!(%error, "the check of a long poll failed; reading the streams anew");
            gateway.store_recheck.notify_waiters();
        }
    }
}

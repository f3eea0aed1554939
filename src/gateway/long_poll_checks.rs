//! Checks the long polls of the operator stream, since one that hangs looks like one
//! without news.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::follower::{PROMPT_RESPONSE_TIME, confirm, read_stream};
use super::state::Gateway;
use super::store::{Platform, Stream};
use super::view::Extent;
use crate::connection::arrivals::Arrivals;

/// Delay between the start of a long poll and the first short poll that checks it; an
/// append to the store takes a tenth of it.
const LONG_POLL_CHECK_DELAY: Duration = Duration::from_millis(300);
/// Interval of further checks of the same long poll, which may hang for its whole wait. It
/// leaves a quarter of the platform's bound of 2 s for the check and for telling followers.
const LONG_POLL_CHECK_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time in which the store must begin to answer a check, beyond that of a slow store, whose answers
/// take 50 times the usual 4 ms; the other half of the quarter is for finding an instance
/// that the store serves.
const LONG_POLL_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Marks a long poll of the operator stream as in flight until it is dropped.
pub struct CheckedLongPoll<'g> {
    in_flight: &'g watch::Sender<Option<Arc<Arrivals>>>,
}

impl<'g> CheckedLongPoll<'g> {
    /// Marks a long poll as in flight that counts in `arrivals` what it receives.
    #[must_use]
    pub fn begin(
        in_flight: &'g watch::Sender<Option<Arc<Arrivals>>>,
        arrivals: Arc<Arrivals>,
    ) -> Self {
        in_flight.send_replace(Some(arrivals));
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
///
/// A poll whose response has begun to arrive is left alone: the platform limits the pauses
/// in it, and the response to a check would carry the same records over the same link.
pub async fn check_long_polls<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut in_flight = gateway.operator_long_poll.subscribe();
    loop {
        // The sender belongs to the gateway, so it is not closed.
        let Ok(poll) = in_flight
            .wait_for(Option::is_some)
            .await
            .map(|now| now.clone())
        else {
            return;
        };
        let Some(poll) = poll else {
            continue;
        };
        tokio::select! {
            () = check_until_begun(&gateway, &poll) => {}
            () = has_ended(&mut in_flight, &poll) => {}
        }
        has_ended(&mut in_flight, &poll).await;
    }
}

/// Waits until a long poll is no longer in flight.
async fn has_ended(in_flight: &mut watch::Receiver<Option<Arc<Arrivals>>>, poll: &Arc<Arrivals>) {
    let is_other = |now: &Option<Arc<Arrivals>>| {
        let is_same = now.as_ref().is_some_and(|now| Arc::ptr_eq(now, poll));
        !is_same
    };
    // The sender belongs to the gateway, so it is not closed.
    let _ = in_flight.wait_for(is_other).await;
}

/// Checks a long poll until its response begins to arrive.
async fn check_until_begun<P: Platform>(gateway: &Gateway<P>, poll: &Arrivals) {
    let checks = async {
        sleep(LONG_POLL_CHECK_DELAY).await;
        loop {
            check_operator_stream(gateway).await;
            sleep(LONG_POLL_CHECK_INTERVAL).await;
        }
    };
    tokio::select! {
        () = checks => {}
        () = poll.begun() => {}
    }
}

async fn check_operator_stream<P: Platform>(gateway: &Gateway<P>) {
    if !*gateway.watch_reader_role().borrow() {
        return;
    }
    let arrivals = Arrivals::new();
    let read = read_stream(gateway, Stream::Operator, true, Duration::ZERO, &arrivals);
    tokio::pin!(read);
    let read = match timeout(LONG_POLL_CHECK_TIMEOUT, &mut read).await {
        Ok(read) => read,
        Err(_) if arrivals.begun_at().is_some() => read.await,
        Err(_) => {
            gateway.metrics.on_store_call(false);
            tracing::info!("the store did not answer the check of a long poll");
            gateway.operator_check_unanswered.notify_waiters();
            return;
        }
    };
    match read {
        Ok(records) => {
            gateway.metrics.on_store_call(true);
            if arrivals.time_to_begin() > PROMPT_RESPONSE_TIME {
                gateway.store_recheck.notify_waiters();
            }
            let known_era = gateway.view().copy(Stream::Operator).era;
            if records.era == known_era && confirm(gateway, Stream::Operator, &records) {
                let has_records = !records.records.is_empty();
                gateway.apply_records(Stream::Operator, records, Extent::Following, "store");
                // The next long poll starts after these records.
                if has_records {
                    gateway.operator_poll_missed_records.notify_waiters();
                }
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

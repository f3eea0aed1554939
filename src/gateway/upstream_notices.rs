//! What upstreams say about whether they take requests: reads it from their answers, tells
//! the other instances, and keeps requests from those that take none.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderValue, StatusCode};
use rand::RngExt;
use tokio::time::Instant;

use super::peer_push::{News, push};
use super::rate_limits::AnswerKind;
use super::state::Gateway;
use super::store::{HeaderNames, Platform};
use super::upstream_client::UpstreamClient;
use crate::connection::exchange::HttpResponse;
use crate::decision::crash_suspects::UpstreamLifetime;
use crate::decision::directory::UpstreamReport;
use crate::decision::notice_headers::{InvalidNotice, parse_leaving, parse_silence_ms};
use crate::decision::upstream_notices::{
    NoticeChange, NoticeReport, Silence, Statement, UpstreamNotices,
};

/// Longest delay, in milliseconds, with which an instance returns to an upstream that wanted
/// nothing: the instances of the largest fleet planned for return 2 ms apart on average.
const MAX_RETURN_DELAY_MS: u64 = 300;
/// Shortest time for which an upstream must want nothing, in milliseconds, so that its 503
/// is no failure: one that asks for less is soon asked again, and ejected if it goes on.
const MIN_ASKED_SILENCE_MS: u64 = 100;

/// What a response says about whether its upstream takes requests.
#[derive(Clone, Copy, Debug)]
pub struct ReadNotice {
    leaving: Result<bool, InvalidNotice>,
    silence_ms: Result<Option<u64>, InvalidNotice>,
}

/// Reads what a response says about whether its upstream takes requests; `None` for a
/// response of another process than the expected one.
#[must_use]
pub fn read_notice(
    response: &HttpResponse,
    names: &HeaderNames,
    upstream: &str,
) -> Option<ReadNotice> {
    let headers = &response.headers;
    let is_other = response.status == StatusCode::MISDIRECTED_REQUEST
        || headers
            .get(&names.upstream)
            .is_some_and(|id| id.as_bytes() != upstream.as_bytes());
    if is_other {
        return None;
    }
    let silence_ms = if response.status == StatusCode::SERVICE_UNAVAILABLE {
        parse_silence_ms(values(headers, &RETRY_AFTER))
    } else {
        Ok(None)
    };
    Some(ReadNotice {
        silence_ms,
        leaving: parse_leaving(values(headers, &names.leaving)),
    })
}

impl ReadNotice {
    /// Whether the response asks for silence, so that it is no failure.
    #[must_use]
    pub fn asks_silence(&self) -> bool {
        let silence_ms = self.silence_ms.ok().flatten();
        silence_ms.is_some_and(|silence_ms| silence_ms >= MIN_ASKED_SILENCE_MS)
    }
}

fn values<'h>(
    headers: &'h HeaderMap,
    name: &http::HeaderName,
) -> impl Iterator<Item = &'h [u8]> + use<'h> {
    headers.get_all(name).into_iter().map(HeaderValue::as_bytes)
}

/// The notices that this instance knows.
#[derive(Debug, Default)]
pub struct NoticeState {
    table: Mutex<UpstreamNotices>,
}

impl NoticeState {
    /// Locks the notices.
    pub fn table(&self) -> MutexGuard<'_, UpstreamNotices> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<P: Platform> Gateway<P> {
    /// Applies what a response of an upstream says about whether it takes requests, and
    /// tells the other instances of a change.
    ///
    /// The upstream wrote the response after `sent_at`, when its request was sent. That a
    /// rejection does not say that the upstream leaves does not show that it stays.
    pub fn on_notice(
        self: &Arc<Self>,
        client: &UpstreamClient,
        notice: Option<ReadNotice>,
        sent_at: Instant,
        kind: AnswerKind,
    ) {
        let Some(notice) = notice else {
            return;
        };
        let received_ms = self.now_ms();
        let lifetime = client.lifetime();
        match notice.leaving {
            Ok(is_leaving) if is_leaving || kind != AnswerKind::Rejection => {
                let statement = Statement {
                    is_leaving,
                    sent_ms: received_ms.saturating_sub(super::calls::to_ms(sent_at.elapsed())),
                    received_ms,
                };
                let change = self.notices.table().on_statement(&lifetime, statement);
                self.on_own_change(change, &lifetime);
            }
            Ok(_) => {}
            Err(error) => self.log_invalid_notice(client, error),
        }
        match notice.silence_ms {
            Ok(Some(for_ms)) => {
                let silence = Silence {
                    id: rand::random(),
                    for_ms,
                    received_ms,
                    return_delay_ms: return_delay_ms(),
                };
                let change = self.notices.table().on_silence(&lifetime, silence);
                self.on_own_change(change, &lifetime);
            }
            Ok(None) => {}
            Err(error) => self.log_invalid_notice(client, error),
        }
    }

    fn on_own_change(self: &Arc<Self>, change: NoticeChange, lifetime: &UpstreamLifetime) {
        self.on_notice_change(change, lifetime, "upstream", 0);
        if change != NoticeChange::None {
            push(self, &News::Notice(Arc::clone(&lifetime.upstream)));
        }
    }

    /// Whether the upstream that sent a report has not said that it takes no requests.
    #[must_use]
    pub fn is_wanted_by(&self, report: &UpstreamReport) -> bool {
        let now_ms = self.now_ms();
        let notices = self.notices.table();
        !notices.is_leaving(&report.id, report.started_at_ms)
            && notices.silence_left_ms(&report.id, report.started_at_ms, now_ms) == 0
    }

    /// Adds what another instance knows; `source` names it in the log.
    pub fn merge_notices(&self, reports: &[NoticeReport], source: &str) {
        let now_ms = self.now_ms();
        for report in reports {
            let change = self.notices.table().merge(report, now_ms);
            let age_ms = report.leaving.map_or(0, |leaving| leaving.received_age_ms);
            self.on_notice_change(change, &report.lifetime, source, age_ms);
            let mut notices = self.notices.table();
            let change = notices.merge_silence(report, return_delay_ms(), now_ms);
            drop(notices);
            let age_ms = report.silence.map_or(0, |silence| silence.age_ms);
            self.on_notice_change(change, &report.lifetime, source, age_ms);
        }
    }

    /// What this instance knows of one upstream.
    #[must_use]
    pub fn notice_report(&self, upstream: &str) -> Option<NoticeReport> {
        self.notices.table().report(upstream, self.now_ms())
    }

    /// Forgets notices that are no longer needed.
    pub fn expire_notices(&self, is_present: impl Fn(&str) -> bool) {
        self.notices.table().expire(self.now_ms(), is_present);
        self.set_notice_gauges();
    }

    fn on_notice_change(
        &self,
        change: NoticeChange,
        lifetime: &UpstreamLifetime,
        source: &str,
        age_ms: u64,
    ) {
        if change == NoticeChange::None {
            return;
        }
        self.set_notice_gauges();
        let now_ms = self.now_ms();
        let quiet_for_ms = self.notices.table().silence_left_ms(
            &lifetime.upstream,
            lifetime.started_at_ms,
            now_ms,
        );
        tracing::info!(
            upstream = %lifetime.upstream,
            started_at_ms = lifetime.started_at_ms,
            %change,
            quiet_for_ms,
            source,
            age_ms,
            "notice of an upstream changed"
        );
        self.notify_changed();
    }

    fn set_notice_gauges(&self) {
        let now_ms = self.now_ms();
        let (leaving, quiet) = {
            let notices = self.notices.table();
            (notices.leaving(), notices.quiet(now_ms))
        };
        self.metrics
            .quiet_upstreams
            .set(u64::try_from(quiet).unwrap_or(u64::MAX));
        self.metrics
            .leaving_upstreams
            .set(u64::try_from(leaving).unwrap_or(u64::MAX));
    }

    fn log_invalid_notice(&self, client: &UpstreamClient, error: InvalidNotice) {
        if self.log_budget.take() {
            tracing::warn!(upstream = %client.id, %error, "invalid notice ignored");
        }
    }
}

/// A random delay with which this instance returns to an upstream that wanted nothing.
fn return_delay_ms() -> u64 {
    rand::rng().random_range(0..=MAX_RETURN_DELAY_MS)
}

//! Reports what this instance uses of allowances to their issuers, and asks them for tokens.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::time::sleep;

use super::super::issuers::{ISSUER_TIMEOUT, MAX_ISSUERS};
use super::super::peer_client::{PeerClient, RelayError};
use super::super::state::Gateway;
use super::super::store::Platform;
use super::issuing::{self, AllowanceAnswer, AllowanceReport};
use super::{NO_ANSWER_RETRY_MS, Waiting};
use crate::decision::reached_share::equal_share;

/// Interval at which used and unused tokens are reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Reports between two calls that only show whether an instance responds, and between two
/// times that organisations without requests are forgotten.
const REPORTS_PER_CHECK: u64 = 3;
const REPORTS_PER_EXPIRY: u64 = 50;
/// Organisations in one call.
const MAX_BATCH: usize = 64;
/// What holds for an organisation that an issuer has left out of its answers.
const UNANSWERED: AllowanceAnswer = AllowanceAnswer {
    granted: 0,
    is_open: false,
    retry_ms: NO_ANSWER_RETRY_MS,
    pause_ms: 0,
};

/// One organisation of a call.
#[derive(Debug)]
struct Entry {
    report: AllowanceReport,
    waiting: Vec<Waiting>,
    ranked: Vec<Option<SocketAddr>>,
    asked_ms: u64,
}

/// Reports at each interval for the life of the process.
pub async fn run<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut round: u64 = 0;
    loop {
        sleep(REPORT_INTERVAL).await;
        if !gateway.allowances.is_in_use() {
            continue;
        }
        round = round.wrapping_add(1);
        while let Some(organisation) = next_due(&gateway) {
            tokio::spawn(report(Arc::clone(&gateway), organisation));
            // The task takes all others that are due at the same issuer.
            tokio::task::yield_now().await;
        }
        if round.is_multiple_of(REPORTS_PER_CHECK) {
            let gateway = Arc::clone(&gateway);
            tokio::spawn(async move { issuing::call_some(&gateway, 1).await });
        }
        if round.is_multiple_of(REPORTS_PER_EXPIRY) {
            expire(&gateway);
        }
    }
}

fn expire<P: Platform>(gateway: &Gateway<P>) {
    gateway.allowances.expire(gateway.now_ms());
    let issued = gateway.allowances.issuer().len();
    let issued = u64::try_from(issued).unwrap_or(u64::MAX);
    gateway.metrics.issued_allowances.set(issued);
}

/// An organisation with something to report, which is then marked as reporting.
fn next_due<P: Platform>(gateway: &Gateway<P>) -> Option<Arc<str>> {
    let now_ms = gateway.now_ms();
    for (name, used) in gateway.allowances.uses().iter_mut() {
        if !used.is_reporting && used.known.is_report_due(now_ms) {
            used.is_reporting = true;
            return Some(Arc::clone(name));
        }
    }
    None
}

/// Reports an organisation that is marked as reporting, and others of the same issuer, until
/// none of its requests waits.
pub async fn report<P: Platform>(gateway: Arc<Gateway<P>>, organisation: Arc<str>) {
    let mut batch = vec![organisation];
    while !batch.is_empty() {
        let ranked = gateway.ranked_issuers(&batch[0]);
        let issuer = gateway.first_responsive(&ranked);
        add_others(&gateway, &mut batch, issuer);
        let entries = begin(&gateway, batch);
        batch = settle(&gateway, entries, issuer).await;
    }
}

/// Adds organisations of the same issuer with something to report.
fn add_others<P: Platform>(
    gateway: &Gateway<P>,
    batch: &mut Vec<Arc<str>>,
    issuer: Option<SocketAddr>,
) {
    let now_ms = gateway.now_ms();
    let mut due = Vec::new();
    for (name, used) in gateway.allowances.uses().iter_mut() {
        if !used.is_reporting && used.known.is_report_due(now_ms) {
            due.push(Arc::clone(name));
        }
    }
    due.retain(|name| gateway.first_responsive(&gateway.ranked_issuers(name)) == issuer);
    let mut table = gateway.allowances.uses();
    for name in due {
        let Some(used) = table.get_mut(&name).filter(|used| !used.is_reporting) else {
            continue;
        };
        if batch.len() < MAX_BATCH {
            used.is_reporting = true;
            batch.push(name);
        }
    }
}

/// Takes what is to be reported.
fn begin<P: Platform>(gateway: &Gateway<P>, batch: Vec<Arc<str>>) -> Vec<Entry> {
    let now_ms = gateway.now_ms();
    let mut entries = Vec::with_capacity(batch.len());
    let mut table = gateway.allowances.uses();
    for organisation in batch {
        let Some(used) = table.get_mut(&organisation) else {
            continue;
        };
        let mut waiting = std::mem::take(&mut used.waiting);
        waiting.retain(|waiting| !waiting.is_closed());
        let count = u32::try_from(waiting.len()).unwrap_or(u32::MAX);
        let demand = used.known.report(count, now_ms);
        let report = AllowanceReport {
            organisation,
            allowance: (used.allowance.per_s, used.allowance.burst),
            demand: (demand.waiting, demand.used, demand.refused, demand.returned),
        };
        entries.push(Entry {
            report,
            waiting,
            ranked: Vec::new(),
            asked_ms: now_ms,
        });
    }
    drop(table);
    for entry in &mut entries {
        entry.ranked = gateway.ranked_issuers(&entry.report.organisation);
    }
    entries
}

/// Entries that go to one issuer, and how many have been asked before it.
#[derive(Debug)]
struct Group {
    entries: Vec<Entry>,
    issuer: Option<SocketAddr>,
    asked: usize,
}

/// Gets the answers of the issuer, of the next one that responds, or of this instance; returns
/// the organisations whose requests wait again.
async fn settle<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    entries: Vec<Entry>,
    issuer: Option<SocketAddr>,
) -> Vec<Arc<str>> {
    let mut again = Vec::new();
    let mut groups = vec![Group {
        entries,
        issuer,
        asked: 0,
    }];
    while let Some(group) = groups.pop() {
        let Some(address) = group.issuer else {
            again.extend(finish_here(gateway, group.entries, false));
            continue;
        };
        if group.asked == MAX_ISSUERS {
            again.extend(finish_here(gateway, group.entries, true));
            continue;
        }
        let reports = group.entries.iter().map(|entry| entry.report.clone());
        match call(gateway, address, reports.collect(), true, ISSUER_TIMEOUT).await {
            Ok(mut answers) => {
                answers.resize(group.entries.len(), UNANSWERED);
                again.extend(finish(gateway, group.entries.into_iter().zip(answers)));
            }
            Err(error) => {
                if gateway.log_budget.take() {
                    tracing::info!(%address, %error, "no response to a report of allowances");
                }
                if issuing::is_silence(&error) {
                    groups.extend(regroup(gateway, group));
                } else {
                    again.extend(finish_here(gateway, group.entries, true));
                }
            }
        }
    }
    again
}

/// Groups entries whose issuer has not responded by the next ones.
fn regroup<P: Platform>(gateway: &Gateway<P>, group: Group) -> Vec<Group> {
    let mut groups: HashMap<Option<SocketAddr>, Group> = HashMap::new();
    let now_ms = gateway.now_ms();
    for mut entry in group.entries {
        // The tokens may have been taken back already, and belong to another bucket.
        entry.report.demand.3 = 0;
        entry.asked_ms = now_ms;
        let issuer = gateway.first_responsive(&entry.ranked);
        let next = groups.entry(issuer).or_insert_with(|| Group {
            entries: Vec::new(),
            issuer,
            asked: group.asked + 1,
        });
        next.entries.push(entry);
    }
    groups.into_values().collect()
}

/// Answers with this instance's part of the allowance; with its equal share if no issuer can
/// be asked.
fn finish_here<P: Platform>(
    gateway: &Gateway<P>,
    entries: Vec<Entry>,
    has_equal_share: bool,
) -> Vec<Arc<str>> {
    let mut answered = Vec::with_capacity(entries.len());
    for entry in entries {
        let answer = if has_equal_share {
            issuing::settle_share(gateway, &entry.report, equal_share(entry.ranked.len()))
        } else {
            issuing::settle_here(gateway, &entry.report, &entry.ranked)
        };
        answered.push((entry, answer));
    }
    finish(gateway, answered)
}

/// Applies answers; returns the organisations whose requests wait again, which stay marked as
/// reporting.
fn finish<P: Platform>(
    gateway: &Gateway<P>,
    answered: impl IntoIterator<Item = (Entry, AllowanceAnswer)>,
) -> Vec<Arc<str>> {
    let now_ms = gateway.now_ms();
    let mut again = Vec::new();
    let mut table = gateway.allowances.uses();
    for (entry, answer) in answered {
        let organisation = entry.report.organisation;
        let Some(used) = table.get_mut(&organisation) else {
            continue;
        };
        let count = u32::try_from(entry.waiting.len()).unwrap_or(u32::MAX);
        let mut served = used
            .known
            .on_settled(answer.into(), count, entry.asked_ms, now_ms);
        for waiting in entry.waiting {
            if served == 0 {
                let retry_ms = used.known.refuse(now_ms);
                let _ = waiting.send(Err(retry_ms));
                continue;
            }
            served -= 1;
            if waiting.send(Ok(())).is_err() {
                used.known.give_back();
            }
        }
        if used.waiting.is_empty() {
            used.is_reporting = false;
        } else {
            again.push(organisation);
        }
    }
    again
}

/// Sends reports to an instance; without any, only learns whether it responds.
///
/// # Errors
/// Returns an error if the call fails or the response does not arrive in time.
pub async fn call<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    address: SocketAddr,
    reports: Vec<AllowanceReport>,
    may_forward: bool,
    limit: Duration,
) -> Result<Vec<AllowanceAnswer>, RelayError> {
    let is_repeated = AtomicBool::new(false);
    let call = |client: PeerClient| {
        let mut reports = reports.clone();
        if is_repeated.swap(true, Ordering::Relaxed) {
            // The first call may have been received, so tokens are not given back twice.
            for report in &mut reports {
                report.demand.3 = 0;
            }
        }
        async move { client.use_allowances(reports, may_forward).await }
    };
    let response = gateway.peers.call(address, limit, call).await;
    let has_responded = response
        .as_ref()
        .map_or_else(|error| !issuing::is_silence(error), |_| true);
    issuing::on_call(gateway, address, has_responded);
    response
}

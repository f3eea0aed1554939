//! Planned stops while upstreams work longer than gateways have learnt (issue 50).

use std::time::Duration;

use futures::future::join_all;
use strum::{EnumCount, EnumIter, IntoEnumIterator};
use tokio::time::{Instant, sleep, sleep_until};

use crate::caller::DEADLINE_MS;
use crate::cuts;
use crate::env::TestEnv;
use crate::gateway::Gateway;
use crate::ledger::{End, Run, SentRequest};
use crate::proxy::ProxyMode;
use crate::store::StoreMode;
use crate::upstream::Fault;

/// Seeds of the plays. They run by hand, with 6 gateways and 36 callers.
pub const PLAY_SEEDS: std::ops::Range<u64> = 1_101..1_101 + Play::COUNT as u64;
/// The route of the lookups, what they ask for, its timeout and their callers' deadline.
pub const ROUTE: &str = "slow";
pub const PATH: &str = "/slow/x";
pub const TIMEOUT_MS: u64 = 2_500;
const SLOW_DEADLINE_MS: u64 = 2_400;
/// Timeout of the other routes.
const OTHER_TIMEOUT_MS: u64 = 1_500;
/// Slots of an upstream: room for all callers while it is slow.
const SLOTS: usize = 40;
/// Work that gateways learn, and that around a stop.
const FAST: Duration = Duration::from_millis(100);
const SLOW: Duration = Duration::from_millis(900);
/// Time before a SIGTERM in which gateways learn, and callers come to the gateway.
const LEARN_TIME: Duration = Duration::from_secs(5);
/// Times before the SIGTERM from which on the store or links are away, and upstreams are slow.
const AWAY_BEFORE: Duration = Duration::from_secs(2);
const SLOW_BEFORE: Duration = Duration::from_millis(1_300);
/// Time before and after the SIGTERM of another signal or a new version.
const BESIDE: Duration = Duration::from_millis(500);
/// Times after the SIGTERM of the second one, and until which upstreams are slow.
const SECOND_STOP_AFTER: Duration = Duration::from_secs(1);
const SLOW_AFTER: Duration = Duration::from_millis(1_500);
/// Stops of a play.
const STOPS: usize = 3;
/// The gateway that is cut off while the others, which take its requests, are stopped.
const CUT_GATEWAY: usize = 5;
/// Callers in three that go to the gateway that stops.
const PINNED_IN_THREE: usize = 2;
/// Time before the deadline or the timeout at which an answer counts as in time for it.
const AT_DEADLINE_MS: u64 = 50;
/// The platform's bound on following a new version, for which it also counts a SIGHUP.
const CONFIG_APPLY_MS: u64 = 2_000;
/// Time after that in which a new version still counts, and the tenths of its time that a
/// request may have used: the rules.
const VERSION_AFTER_MS: u64 = 1_000;
const USED_TENTHS: u64 = 7;

/// What is played without drawn faults, by hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter)]
pub enum Play {
    AllSlow,
    HalfSlow,
    StoreAway,
    /// SIGHUP before and after the SIGTERM, and a second SIGTERM.
    SignalsRepeated,
    /// Versions that change nothing of the route, before and after the SIGTERM.
    NewVersions,
    TwoAtOnce,
    /// Gateways that have taken the requests of a cut-off one are stopped.
    TakersStopped,
    /// Gateways whose requests others have taken are stopped.
    CutStopped,
}

impl Play {
    pub fn of(seed: u64) -> Option<Self> {
        Self::iter().nth(usize::try_from(seed.checked_sub(PLAY_SEEDS.start)?).ok()?)
    }

    /// The gateways of one stop.
    fn stopped(self, stop: usize) -> Vec<usize> {
        let count = 1 + usize::from(self == Self::TwoAtOnce);
        (count * stop..count * (stop + 1)).collect()
    }

    fn cut(self, stop: usize) -> Option<usize> {
        match self {
            Self::TakersStopped => Some(CUT_GATEWAY),
            Self::CutStopped => Some(stop),
            _ => None,
        }
    }
}

/// Whether a seed cuts links, and needs to know gateways by their connections.
pub fn has_cuts(seed: u64) -> bool {
    Play::of(seed).is_some_and(|play| play.cut(0).is_some())
}

/// Slots of an upstream in these plays.
pub fn slots(seed: u64) -> Option<usize> {
    Play::of(seed).map(|_| SLOTS)
}

/// Deadline of callers.
pub fn deadline_ms(seed: u64) -> u64 {
    Play::of(seed).map_or(DEADLINE_MS, |_| SLOW_DEADLINE_MS)
}

/// The gateways that a caller must use now; all if there are none.
pub fn focus(env: &TestEnv, caller: usize) -> Vec<usize> {
    if caller % 3 >= PINNED_IN_THREE {
        return Vec::new();
    }
    env.focus.lock().unwrap().clone()
}

/// Planned work at gateways, and the last time at which a request that counts was sent.
#[derive(Clone, Debug)]
pub struct Planned {
    what: &'static str,
    gateways: Vec<usize>,
    at_ms: u64,
    until_ms: u64,
    min_left_tenths: u64,
}

async fn set_work(env: &TestEnv, play: Play, time: Duration) {
    for (position, slot) in env.upstreams.lock().await.iter().enumerate() {
        // Half of the upstreams of each service in each data centre.
        let is_own = play != Play::HalfSlow || (position / 2).is_multiple_of(2);
        if let Some(running) = slot {
            let time = if is_own { time } else { FAST };
            running.upstream.set_fault(Fault::Works(time));
        }
    }
}

/// Stops gateways in turn, while upstreams are slow and something else happens.
pub async fn play(env: &TestEnv, play: Play) -> Vec<Planned> {
    let mut planned = Vec::new();
    set_work(env, play, FAST).await;
    for stop in 0..STOPS {
        let (stopped, cut) = (play.stopped(stop), play.cut(stop));
        let cut_link = cut.map(|cut| &env.gateways[cut].upstream_link);
        *env.focus.lock().unwrap() = stopped.iter().copied().chain(cut).collect();
        let stop_at = Instant::now() + LEARN_TIME;
        sleep_until(stop_at - AWAY_BEFORE).await;
        if play == Play::StoreAway {
            env.store.set_mode(StoreMode::Refusing);
        }
        if let Some(link) = cut_link {
            link.set_mode(ProxyMode::ResetNew);
            link.reset();
        }
        sleep_until(stop_at - SLOW_BEFORE).await;
        set_work(env, play, SLOW).await;
        sleep_until(stop_at - BESIDE).await;
        planned.extend(go_on(env, play, &stopped).await);
        sleep_until(stop_at).await;
        let begin = |number: &usize| env.begin_disturbance(Some(*number), true);
        let disturbances: Vec<usize> = stopped.iter().map(begin).collect();
        let gateways = || stopped.iter().map(|number| &env.gateways[*number]);
        let asked = join_all(gateways().map(Gateway::ask_to_stop)).await;
        let at_ms = env.now_ms();
        env.focus.lock().unwrap().clear();
        sleep_until(stop_at + BESIDE).await;
        planned.extend(go_on(env, play, &stopped).await);
        sleep_until(stop_at + SECOND_STOP_AFTER).await;
        if play == Play::SignalsRepeated {
            env.gateways[stopped[0]].signal("-TERM").await;
        }
        sleep_until(stop_at + SLOW_AFTER).await;
        set_work(env, play, FAST).await;
        for (gateway, asked) in gateways().zip(asked) {
            if let Err(error) = gateway.wait_stopped(asked).await {
                env.record_violation(error);
            }
        }
        planned.push(Planned {
            what: "SIGTERM",
            // The stopped one may run requests of a cut-off one: stricter than the rule.
            gateways: stopped.iter().copied().chain(cut).collect(),
            at_ms,
            until_ms: env.now_ms(),
            min_left_tenths: 0,
        });
        env.store.set_mode(StoreMode::Healthy);
        if let Some(link) = cut_link {
            link.set_mode(ProxyMode::Pass);
        }
        join_all(gateways().map(cuts::start)).await;
        for disturbance in disturbances {
            env.end_disturbance(disturbance);
        }
    }
    sleep(cuts::BEFORE).await;
    planned
}

/// What happens beside the SIGTERM. A version counts however often a gateway breaks requests
/// off at other times: stricter than the rule.
async fn go_on(env: &TestEnv, play: Play, stopped: &[usize]) -> Option<Planned> {
    let at_ms = env.now_ms();
    let mut planned = Planned {
        what: "SIGHUP",
        gateways: stopped.to_vec(),
        at_ms,
        until_ms: at_ms + CONFIG_APPLY_MS,
        min_left_tenths: 0,
    };
    match play {
        Play::SignalsRepeated => {
            env.gateways[stopped[0]].reload().await;
            planned.at_ms = env.now_ms();
        }
        Play::NewVersions => {
            env.publish();
            planned.what = "version";
            planned.gateways = (0..env.gateways.len()).collect();
            planned.until_ms += VERSION_AFTER_MS;
            planned.min_left_tenths = 10 - USED_TENTHS;
        }
        _ => return None,
    }
    Some(planned)
}

/// Milliseconds from planned work to the moment at which a request was broken off at an
/// upstream that was at work, or left without a whole answer after it had been passed on.
fn lost_after_ms(request: &SentRequest, runs: &[Run], planned: &Planned) -> Option<u64> {
    let [lookup_ms, other_ms] = [TIMEOUT_MS, OTHER_TIMEOUT_MS];
    let timeout_ms = if request.is_idempotent() {
        lookup_ms
    } else {
        other_ms
    };
    let time_ms = request.deadline_ms.min(timeout_ms);
    let left_ms = (request.sent_ms + time_ms).saturating_sub(request.ended_ms);
    if left_ms <= AT_DEADLINE_MS || left_ms * 10 < planned.min_left_tenths * time_ms {
        return None;
    }
    let lost_ms = match &request.end {
        End::Answered { server_stamp, .. } if server_stamp.is_empty() => {
            let broken_off = runs.iter().filter(|run| run.is_broken_off);
            broken_off.filter_map(|run| run.ended_ms).max()?
        }
        End::ConnectionClosed if !runs.is_empty() => request.ended_ms,
        _ => return None,
    };
    lost_ms.checked_sub(planned.at_ms)
}

/// Prints the figures of a play and returns the requests that were lost.
pub fn check(env: &TestEnv, play: Play, planned: &[Planned]) -> Vec<String> {
    let runs_by_id = env.ledger.runs_by_id();
    let (mut around, mut lost) = (0, Vec::new());
    for request in env.ledger.requests().iter() {
        let own = planned.iter().filter(|planned| {
            planned.gateways.contains(&request.gateway)
                && request.sent_ms <= planned.until_ms
                && request.ended_ms >= planned.at_ms
        });
        let own: Vec<&Planned> = own.collect();
        around += usize::from(!own.is_empty());
        let runs = runs_by_id.get(&request.id).map_or(&[][..], Vec::as_slice);
        for planned in own {
            let Some(after_ms) = lost_after_ms(request, runs, planned) else {
                continue;
            };
            let (what, status) = (planned.what, request.status());
            let took_ms = request.ended_ms - request.sent_ms;
            let SentRequest {
                id,
                method,
                gateway,
                ..
            } = request;
            lost.push(format!(
                "{play:?}: {method} {id} of gate-{gateway} was lost {after_ms} ms after {what}, \
                 status {status}, {took_ms} ms after it was sent; runs {runs:?}"
            ));
            break;
        }
    }
    let count = lost.len();
    println!("{play:?}: {around} requests around planned work, {count} lost");
    lost
}

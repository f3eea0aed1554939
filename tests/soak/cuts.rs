//! Gateways that lose their links to all upstreams, while callers, the store and the other
//! gateways still reach them.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use strum::{EnumCount, EnumIter, IntoEnumIterator};
use tokio::time::{Instant, sleep, timeout};

use crate::answers;
use crate::balancer;
use crate::caller::DEADLINE_MS;
use crate::env::{DATA_CENTRES, TestEnv};
use crate::gateway::Gateway;
use crate::ledger::{End, SentRequest};
use crate::proxy::ProxyMode;
use crate::store::StoreMode;
use crate::upstream::Fault;

/// Seeds of the plays. They run by hand, with 13 gateways and 50 callers.
pub const PLAY_SEEDS: Range<u64> = 1_001..1_001 + Play::COUNT as u64;
/// Pauses of callers in milliseconds: about 150 requests a second from 50 callers.
const PAUSES_MS: Range<u64> = 100..480;
/// Times from the start of the callers to the cut, of the cut, and after it.
pub const BEFORE: Duration = Duration::from_secs(4);
const CUT: Duration = Duration::from_secs(10);
const AFTER: Duration = Duration::from_secs(6);
/// Times without and with links in the plays where they come and go.
const OFF: Duration = Duration::from_millis(1_500);
const ON: Duration = Duration::from_millis(700);
/// Time after the begin and the end of a cut from which on requests count.
const NOTICED_AFTER_MS: u64 = 500;
/// Time after the end of a cut up to which requests count.
const BACK_UNTIL_MS: u64 = 4_500;
/// Least share served at the cut gateways, as a part of that at the others, and of all
/// after the cut: the users' target.
const MIN_CUT_SHARE: f64 = 0.97;
const MIN_BACK_SHARE: f64 = 0.99;
/// Time in which 95 of 100 refusals must arrive if no gateway has links: the users' target.
pub const MAX_REFUSAL_MS: u64 = 150;
/// Time for which a restarted gateway is awaited.
const READY_TIMEOUT: Duration = Duration::from_secs(3);
const FREEZE_TIME: Duration = Duration::from_secs(2);
/// Positions of the upstreams that freeze, one of each service.
const FROZEN_UPSTREAMS: [usize; 2] = [1, 13];

/// What is played without drawn faults, by hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter)]
pub enum Play {
    ThreeHang,
    EightReset,
    /// Open connections go on, new ones are reset.
    SevenNewReset,
    SixOfThreeKinds,
    OnAndOff,
    TwelveHang,
    AllReset,
    DataCentre,
    StoreAway,
    GatewaysRestartedInTurn,
    /// Two upstreams and a gateway that is not cut freeze meanwhile.
    OthersFrozen,
    OneOnAndOff,
    OnAndOffReset,
    OnAndOffNewReset,
}

/// How the links of a gateway are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Hang,
    Reset,
    NewReset,
}

impl Play {
    pub fn of(seed: u64) -> Option<Self> {
        Self::iter().nth(usize::try_from(seed.checked_sub(PLAY_SEEDS.start)?).ok()?)
    }

    /// How a gateway is cut, if it is.
    fn kind(self, gateway: usize) -> Option<Kind> {
        let (count, kind) = match self {
            Self::ThreeHang => (3, Kind::Hang),
            Self::EightReset => (8, Kind::Reset),
            Self::SevenNewReset => (7, Kind::NewReset),
            Self::SixOfThreeKinds => (6, [Kind::Hang, Kind::Reset, Kind::NewReset][gateway % 3]),
            Self::TwelveHang => (12, Kind::Hang),
            Self::AllReset => (usize::MAX, Kind::Reset),
            Self::DataCentre => {
                return gateway
                    .is_multiple_of(DATA_CENTRES.len())
                    .then_some(Kind::Hang);
            }
            Self::OthersFrozen => (4, Kind::Hang),
            Self::OneOnAndOff => (1, Kind::Hang),
            Self::OnAndOffReset => (5, Kind::Reset),
            Self::OnAndOffNewReset => (5, Kind::NewReset),
            _ => (5, Kind::Hang),
        };
        (gateway < count).then_some(kind)
    }
}

/// Whether a seed plays cuts or [`answers`], which need to know gateways by their connections.
pub fn is_played(seed: u64) -> bool {
    PLAY_SEEDS.contains(&seed) || answers::PLAY_SEEDS.contains(&seed)
}

/// Pauses of a caller between its requests in milliseconds.
pub fn pauses_ms(seed: u64) -> Range<u64> {
    if is_played(seed) { PAUSES_MS } else { 10..120 }
}

/// A cut that was played.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    play: Play,
    from_ms: u64,
    until_ms: u64,
}

fn set_links(env: &TestEnv, play: Play, is_cut: bool) {
    for (number, gateway) in env.gateways.iter().enumerate() {
        let link = &gateway.upstream_link;
        match play.kind(number) {
            None => {}
            Some(_) if !is_cut => link.set_mode(ProxyMode::Pass),
            Some(Kind::Hang) => link.set_mode(ProxyMode::HoldAll),
            Some(kind) => {
                link.set_mode(ProxyMode::ResetNew);
                if kind == Kind::Reset {
                    link.reset();
                }
            }
        }
    }
}

/// Plays a cut, and what happens meanwhile.
pub async fn play(env: &Arc<TestEnv>, play: Play) -> Cut {
    sleep(BEFORE).await;
    let from_ms = env.now_ms();
    let until = Instant::now() + CUT;
    set_links(env, play, true);
    tokio::join!(sleep(CUT), go_on(env, play, until));
    set_links(env, play, false);
    let until_ms = env.now_ms();
    env.store.set_mode(StoreMode::Healthy);
    set_frozen(env, Fault::None).await;
    sleep(AFTER).await;
    Cut {
        play,
        from_ms,
        until_ms,
    }
}

async fn go_on(env: &Arc<TestEnv>, play: Play, until: Instant) {
    match play {
        Play::OnAndOff | Play::OneOnAndOff | Play::OnAndOffReset | Play::OnAndOffNewReset => {
            while Instant::now() + OFF + ON < until {
                sleep(OFF).await;
                set_links(env, play, false);
                sleep(ON).await;
                set_links(env, play, true);
            }
        }
        Play::StoreAway => env.store.set_mode(StoreMode::Refusing),
        Play::GatewaysRestartedInTurn => {
            restart_in_turn(env, until).await;
        }
        Play::OthersFrozen => {
            set_frozen(env, Fault::Frozen).await;
            sleep(CUT / 2).await;
            let number = env.gateways.len() - 1;
            let disturbance = env.begin_disturbance(Some(number), false);
            env.gateways[number].signal("-STOP").await;
            sleep(FREEZE_TIME).await;
            env.gateways[number].signal("-CONT").await;
            env.end_disturbance(disturbance);
        }
        _ => {}
    }
}

async fn set_frozen(env: &TestEnv, fault: Fault) {
    let upstreams = env.upstreams.lock().await;
    for position in FROZEN_UPSTREAMS {
        if let Some(running) = &upstreams[position] {
            running.upstream.set_fault(fault);
        }
    }
}

/// Restarts gateways in turn, each once at most.
pub async fn restart_in_turn(env: &TestEnv, until: Instant) {
    for number in 0..env.gateways.len() {
        if Instant::now() < until {
            restart(env, number).await;
        }
    }
}

/// Restarts a gateway with SIGTERM and waits until it is ready.
async fn restart(env: &TestEnv, number: usize) {
    let gateway = &env.gateways[number];
    let disturbance = env.begin_disturbance(Some(number), true);
    if let Err(error) = gateway.stop().await {
        env.record_violation(error);
    }
    start(gateway).await;
    env.end_disturbance(disturbance);
}

/// Starts a gateway that has ended and waits until it is ready.
pub async fn start(gateway: &Gateway) {
    gateway.start(false).await;
    let ready = async {
        while !balancer::is_ready(gateway.ready_address).await {
            sleep(Duration::from_millis(50)).await;
        }
    };
    // One that does not become ready is judged by what its callers get.
    let _ = timeout(READY_TIMEOUT, ready).await;
}

/// First tries of callers in a time, at some gateways.
pub struct Tries {
    pub served_ms: Vec<u64>,
    pub refused_ms: Vec<u64>,
    pub all: usize,
    pub without_return_time: usize,
}

impl Tries {
    pub fn of(env: &TestEnv, sent_ms: Range<u64>, is_own: impl Fn(usize) -> bool) -> Self {
        let mut tries = Self {
            served_ms: Vec::new(),
            refused_ms: Vec::new(),
            all: 0,
            without_return_time: 0,
        };
        let disturbances = env.disturbances();
        // Not judged: callers that went away, and those at a gateway while it was stopped
        // or frozen by the play.
        let is_judged = |request: &SentRequest| {
            request.end != End::Cancelled
                && !disturbances.iter().any(|other| {
                    other.gateway == Some(request.gateway)
                        && other.from_ms <= request.ended_ms
                        && other.until_ms >= request.sent_ms
                })
        };
        for request in env.ledger.requests().iter() {
            if !sent_ms.contains(&request.sent_ms)
                || !is_own(request.gateway)
                || !is_judged(request)
            {
                continue;
            }
            tries.all += 1;
            let took_ms = request.ended_ms - request.sent_ms;
            let End::Answered {
                status,
                server_stamp,
                retry_after,
                ..
            } = &request.end
            else {
                continue;
            };
            if (200..300).contains(status) && !server_stamp.is_empty() && took_ms <= DEADLINE_MS {
                tries.served_ms.push(took_ms);
            } else if matches!(status, 429 | 503) && server_stamp.is_empty() {
                tries.refused_ms.push(took_ms);
                tries.without_return_time += usize::from(retry_after.parse::<f64>().is_err());
            }
        }
        tries.served_ms.sort_unstable();
        tries.refused_ms.sort_unstable();
        tries
    }

    pub fn share(&self) -> f64 {
        let [served, all] =
            [self.served_ms.len(), self.all].map(|count| f64::from(u32::try_from(count).unwrap()));
        served / all
    }
}

/// The time within which a percentage of sorted times lies.
pub fn percentile(times_ms: &[u64], percent: usize) -> u64 {
    let index = (times_ms.len() * percent).div_ceil(100).saturating_sub(1);
    times_ms.get(index).copied().unwrap_or(0)
}

/// Prints the figures of a cut and returns the bounds that were not kept.
pub fn check(env: &TestEnv, cut: &Cut) -> Vec<String> {
    let play = cut.play;
    let during = cut.from_ms + NOTICED_AFTER_MS..cut.until_ms;
    let after = cut.until_ms + NOTICED_AFTER_MS..cut.until_ms + BACK_UNTIL_MS;
    let own = Tries::of(env, during.clone(), |number| play.kind(number).is_some());
    let others = Tries::of(env, during, |number| play.kind(number).is_none());
    let back = Tries::of(env, after, |_| true);
    let times = |times_ms: &[u64]| [50, 99].map(|percent| percentile(times_ms, percent));
    let refused_ms = percentile(&own.refused_ms, 95);
    println!(
        "{play:?}: cut {} of {}, others {} of {}, ratio {:.3}; back {} of {} ({:.3}); p50/p99 of \
         served ms: cut {:?}, others {:?}; refused {} at the cut, 95 in 100 within {refused_ms} \
         ms, {} without return time",
        own.served_ms.len(),
        own.all,
        others.served_ms.len(),
        others.all,
        own.share() / others.share(),
        back.served_ms.len(),
        back.all,
        back.share(),
        times(&own.served_ms),
        times(&others.served_ms),
        own.refused_ms.len(),
        own.without_return_time,
    );
    let ratio = own.share() / others.share();
    let is_refused_soon = refused_ms <= MAX_REFUSAL_MS && !own.refused_ms.is_empty();
    let has_links = play != Play::AllReset;
    // Comparisons with a share of no requests fail as well.
    let bounds = [
        (
            !has_links || ratio >= MIN_CUT_SHARE,
            format!("{ratio:.3} served at the cut gateways"),
        ),
        (
            has_links || is_refused_soon,
            format!("refused after {refused_ms} ms"),
        ),
        (
            own.without_return_time == 0,
            "refusals without return time".to_owned(),
        ),
        (
            back.share() >= MIN_BACK_SHARE,
            format!("{:.3} served after the cut", back.share()),
        ),
    ];
    broken(play, bounds)
}

/// Descriptions of the bounds of a play that were not kept.
pub fn broken<const N: usize>(
    play: impl std::fmt::Debug,
    bounds: [(bool, String); N],
) -> Vec<String> {
    let broken = bounds.into_iter().filter(|(is_kept, _)| !is_kept);
    broken
        .map(|(_, what)| format!("{play:?}: {what}"))
        .collect()
}

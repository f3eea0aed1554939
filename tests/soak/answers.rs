//! Upstreams that say in their answers that they leave, or that they want nothing for a time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use strum::{EnumCount, EnumIter, IntoEnumIterator};
use tokio::time::{Instant, sleep};

use crate::cuts::{self, BEFORE, MAX_REFUSAL_MS, Tries};
use crate::env::TestEnv;
use crate::faults;
use crate::ledger::{Arrival, End};
use crate::store::StoreMode;
use crate::upstream::Said;

/// Seeds of the plays. They run by hand, with 13 gateways and 50 callers.
pub const PLAY_SEEDS: std::ops::Range<u64> = 1_021..1_021 + Play::COUNT as u64;
/// Times of a play from the first word on, and from its end to the end of the checks.
const PLAY_TIME: Duration = Duration::from_secs(14);
const AFTER: Duration = Duration::from_secs(10);
/// The same after bad values: a huge time counts as the longest one that is believed, 30 s,
/// and the upstream gets requests after it.
const AFTER_BAD_VALUES: Duration = Duration::from_secs(35);
/// Time after a gateway has passed on the word that an upstream leaves, from which on none of
/// its callers' requests may reach it: the rules' bound on following a drain.
const LEAVING_BOUND_MS: u64 = 2_000;
/// What upstreams say.
const LEAVES: Said = Said {
    leaving: &["1"],
    retry_after: &[],
};
const TURNS_AWAY: Said = Said {
    leaving: &[],
    retry_after: &["3"],
};
/// The time in [`TURNS_AWAY`], the time after which it counts, and the requests and probes
/// that may still arrive: the rules' bounds.
const WANTS_NOTHING_MS: u64 = 3_000;
const HEARD_AFTER_MS: u64 = 500;
const MAX_UNWANTED: usize = 2;
/// Least share served while other upstreams have room: the users' target.
const MIN_SERVED_SHARE: f64 = 0.97;
/// Positions of two upstreams, one of each service.
const TWO: [usize; 2] = [1, 13];
/// Values that are none; in the last play one upstream says them in `Server-Leaving`, the
/// other in `Retry-After`.
const BAD_VALUES: [&[&str]; 6] = [
    &["0"],
    &["-1"],
    &["soon"],
    &["Fri, 31 Dec 2049 23:59:59 GMT"],
    &["99999999999999999999"],
    &["1", "0"],
];

/// What is played without drawn faults, by hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter)]
pub enum Play {
    /// One of them ends and returns at its address without the word.
    TwoLeave,
    HalfLeave,
    HalfLeaveStoreAway,
    HalfLeaveGatewaysRestarted,
    TwoTurnAway,
    HalfTurnAway,
    AllTurnAway,
    BadValues,
}

impl Play {
    pub fn of(seed: u64) -> Option<Self> {
        Self::iter().nth(usize::try_from(seed.checked_sub(PLAY_SEEDS.start)?).ok()?)
    }

    /// What the upstream at a position says.
    fn said(self, position: usize) -> Said {
        let is_of_two = TWO.contains(&position);
        // Half of the upstreams of each service in each data centre.
        let is_in_half = (position / 2).is_multiple_of(2);
        let (is_own, said) = match self {
            Self::TwoLeave => (is_of_two, LEAVES),
            Self::TwoTurnAway => (is_of_two, TURNS_AWAY),
            Self::HalfTurnAway => (is_in_half, TURNS_AWAY),
            Self::AllTurnAway => (true, TURNS_AWAY),
            Self::BadValues => (false, LEAVES),
            _ => (is_in_half, LEAVES),
        };
        if is_own { said } else { Said::default() }
    }
}

/// A play that was played.
#[derive(Clone, Debug)]
pub struct Played {
    play: Play,
    from_ms: u64,
    until_ms: u64,
    /// Upstreams that must have got requests since [`Self::until_ms`].
    welcome: Vec<String>,
}

async fn say(env: &TestEnv, said: impl Fn(usize) -> Said) {
    for (position, slot) in env.upstreams.lock().await.iter().enumerate() {
        if let Some(running) = slot {
            running.upstream.say(said(position));
        }
    }
}

/// Ids of the upstreams of [`TWO`].
async fn ids_of_two(env: &TestEnv) -> Vec<String> {
    let upstreams = env.upstreams.lock().await;
    let running = TWO.iter().filter_map(|at| upstreams[*at].as_ref());
    running
        .map(|running| running.upstream.config.id.clone())
        .collect()
}

/// Lets upstreams say what a play demands, and plays what happens meanwhile.
pub async fn play(env: &Arc<TestEnv>, play: Play) -> Played {
    sleep(BEFORE).await;
    let from_ms = env.now_ms();
    say(env, |position| play.said(position)).await;
    tokio::join!(sleep(PLAY_TIME), go_on(env, play));
    let until_ms = env.now_ms();
    let mut welcome = Vec::new();
    if matches!(play, Play::TwoLeave | Play::BadValues) {
        let count = if play == Play::TwoLeave { 1 } else { TWO.len() };
        welcome = ids_of_two(env).await;
        welcome.truncate(count);
    }
    if play == Play::BadValues {
        say(env, |_| Said::default()).await;
    }
    let after = match play {
        Play::BadValues => AFTER_BAD_VALUES,
        _ => AFTER,
    };
    sleep(after).await;
    Played {
        play,
        from_ms,
        until_ms,
        welcome,
    }
}

async fn go_on(env: &Arc<TestEnv>, play: Play) {
    match play {
        Play::TwoLeave => {
            sleep(PLAY_TIME / 3).await;
            let id = ids_of_two(env).await.swap_remove(0);
            faults::crash_and_replace(&Arc::downgrade(env), id);
        }
        Play::HalfLeaveStoreAway => env.store.set_mode(StoreMode::Refusing),
        Play::HalfLeaveGatewaysRestarted => {
            cuts::restart_in_turn(env, Instant::now() + PLAY_TIME).await;
        }
        Play::BadValues => {
            for values in BAD_VALUES {
                let at = |is_own| if is_own { values } else { &[] };
                say(env, |position| Said {
                    leaving: at(position == TWO[0]),
                    retry_after: at(position == TWO[1]),
                })
                .await;
                sleep(PLAY_TIME / 7).await;
            }
        }
        _ => {}
    }
}

/// Requests that reached upstreams from gateways too late after these had passed on that the
/// upstreams leave. A gateway that was restarted or frozen since then is excused.
fn late_at_leaving(env: &TestEnv, played: &Played, arrivals: &[Arrival]) -> usize {
    let disturbances = env.disturbances();
    let mut passed_on_ms: HashMap<(usize, String), Vec<u64>> = HashMap::new();
    let mut sent_ms = HashMap::new();
    for request in env.ledger.requests().iter() {
        sent_ms.insert(request.id.clone(), request.sent_ms);
        let End::Answered { server_stamp, .. } = &request.end else {
            continue;
        };
        if request.sent_ms >= played.from_ms && !server_stamp.is_empty() {
            let told = (request.gateway, server_stamp.clone());
            passed_on_ms.entry(told).or_default().push(request.ended_ms);
        }
    }
    let is_late = |arrival: &&Arrival| {
        let Some((gateway, sent_ms)) = arrival.gateway.zip(sent_ms.get(&arrival.request)) else {
            return false;
        };
        let last_excuse_ms = disturbances
            .iter()
            .filter(|other| other.gateway == Some(gateway) && other.from_ms <= arrival.at_ms)
            .map(|other| other.until_ms)
            .max();
        let passed_on = passed_on_ms.get(&(gateway, arrival.upstream.clone()));
        passed_on.into_iter().flatten().any(|passed_on_ms| {
            passed_on_ms + LEAVING_BOUND_MS < *sent_ms
                && last_excuse_ms.is_none_or(|until_ms| until_ms < *passed_on_ms)
        })
    };
    arrivals
        .iter()
        .filter(|arrival| arrival.is_leaving && !arrival.is_probe)
        .filter(is_late)
        .count()
}

/// The most requests, and requests and probes, from one gateway at an upstream in a time in
/// which it wanted none.
fn most_unwanted(arrivals: &[Arrival]) -> [usize; 2] {
    let mut most = [0; 2];
    for (index, told) in arrivals.iter().enumerate() {
        if !told.is_turned_away {
            continue;
        }
        let unwanted = arrivals[index..].iter().filter(|arrival| {
            arrival.upstream == told.upstream
                && arrival.gateway == told.gateway
                && arrival.at_ms > told.at_ms + HEARD_AFTER_MS
                && arrival.at_ms < told.at_ms + WANTS_NOTHING_MS
        });
        let requests = unwanted.clone().filter(|arrival| !arrival.is_probe).count();
        most = [most[0].max(requests), most[1].max(unwanted.count())];
    }
    most
}

/// Prints the figures of a play and returns the bounds that were not kept.
pub fn check(env: &TestEnv, played: &Played) -> Vec<String> {
    let Played {
        play,
        from_ms,
        until_ms,
        ..
    } = *played;
    let arrivals = env.ledger.arrivals().clone();
    let late = late_at_leaving(env, played, &arrivals);
    let [requests, with_probes] = match play {
        Play::BadValues => [0; 2],
        _ => most_unwanted(&arrivals),
    };
    let tries = Tries::of(env, from_ms + HEARD_AFTER_MS..until_ms, |_| true);
    let refused_ms = cuts::percentile(&tries.refused_ms, 95);
    let runs = env.ledger.runs();
    let returned = played.welcome.iter().map(|id| {
        let own = runs.iter().filter(|run| run.upstream == *id);
        own.filter(|run| run.started_ms >= until_ms).count()
    });
    let returned: Vec<usize> = returned.collect();
    println!(
        "{play:?}: {late} late at leaving upstreams; {requests} unwanted, {with_probes} with \
         probes; served {} of {} ({:.3}); refused {}, 95 in 100 within {refused_ms} ms, {} without \
         return time; requests after the return {returned:?}",
        tries.served_ms.len(),
        tries.all,
        tries.share(),
        tries.refused_ms.len(),
        tries.without_return_time,
    );
    let must_serve = matches!(play, Play::TwoTurnAway | Play::HalfTurnAway);
    let must_refuse_at_once = play == Play::AllTurnAway;
    let bounds = [
        (late == 0, format!("{late} late at leaving upstreams")),
        (
            with_probes <= MAX_UNWANTED,
            format!("{with_probes} unwanted requests and probes"),
        ),
        (
            !must_serve || tries.share() >= MIN_SERVED_SHARE,
            format!("{:.3} served", tries.share()),
        ),
        (
            !must_refuse_at_once || refused_ms <= MAX_REFUSAL_MS,
            format!("refused after {refused_ms} ms"),
        ),
        (
            tries.without_return_time == 0,
            "refusals without return time".to_owned(),
        ),
        (
            returned.iter().all(|count| *count > 0),
            format!("requests after the return: {returned:?}"),
        ),
    ];
    cuts::broken(play, bounds)
}

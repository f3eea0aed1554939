//! Upstreams that name limits on the rate of their requests.

use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use strum::{EnumCount, EnumIter, IntoEnumIterator};
use tokio::time::sleep;

use crate::checks;
use crate::env::TestEnv;
use crate::faults;
use crate::ledger::{End, NamedLimit};
use crate::store::StoreMode;

/// Seeds of the plays; further ones may draw limits among their faults.
pub const PLAY_SEEDS: std::ops::Range<u64> = 401..401 + Play::COUNT as u64;
/// Length of the window in which requests are counted.
const WINDOW_MS: u64 = 4_000;
/// Time from the first answer with a limit from which on requests count: it has reached
/// all gateways.
const TOLD_AFTER_MS: u64 = 500;
/// Time after which the use of a limit is measured.
const USED_AFTER_MS: u64 = 2_000;
/// Share of what a limit allows that must be used.
const MIN_USED_SHARE: f64 = 0.8;
/// Time after which gateways that start together know each other.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Length of a play.
const PLAY_TIME: Duration = Duration::from_secs(22);
/// Reason that a gateway gives to requests that fit nowhere.
const LIMITED: &str = "rate-limited";
/// Time in which such a request must be refused, for 99 in 100.
const MAX_REFUSAL_MS: u64 = 150;
/// Gateways through which callers enter in [`Play::TwoEntries`].
const ENTRIES: [usize; 2] = [0, 7];

/// Gateways that are cut off in [`Play::GatewaysCutFromPeers`].
const CUT_GATEWAYS: usize = 3;

/// What is played without drawn faults, by hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter)]
pub enum Play {
    One,
    AThird,
    All,
    /// Below one request a second for all gateways together.
    Slow,
    /// The limit falls, rises and is lifted.
    Changes,
    GatewaysRestartedInTurn,
    GatewaysFrozen,
    StoreAway,
    /// The store goes away before the gateways know each other.
    StoreAwayFromTheStart,
    TwoEntries,
    /// The limited upstream ends and returns.
    UpstreamRestarts,
    /// Some gateways and the others do not hear each other.
    GatewaysCutFromPeers,
    /// Zero, no number, and more than any upstream takes.
    OddValues,
}

impl Play {
    pub fn of(seed: u64) -> Option<Self> {
        Self::iter().nth(usize::try_from(seed.checked_sub(PLAY_SEEDS.start)?).ok()?)
    }

    /// The limit that the upstream at a position names at first.
    fn limit(self, position: usize) -> Option<&'static str> {
        let (every, limit) = match self {
            Self::One => (usize::MAX, "1"),
            Self::AThird => (3, "2"),
            Self::All => (1, "2"),
            Self::Slow => (6, "0.4"),
            Self::Changes => (8, "5"),
            Self::OddValues => {
                let limits = ["0", "many", "100000"];
                return limits.get(position).copied();
            }
            _ => (6, "2"),
        };
        position.is_multiple_of(every).then_some(limit)
    }
}

/// The gateways that are cut off from the others for the whole run of a seed.
pub fn cut_gateways(seed: u64, gateways: usize) -> Range<usize> {
    let is_played = Play::of(seed) == Some(Play::GatewaysCutFromPeers);
    if is_played {
        gateways - CUT_GATEWAYS..gateways
    } else {
        0..0
    }
}

/// The gateways that callers may use, if the seed restricts them.
pub fn entries(seed: u64) -> Option<&'static [usize]> {
    (Play::of(seed) == Some(Play::TwoEntries)).then_some(&ENTRIES)
}

async fn name(env: &TestEnv, position: usize, limit: Option<&str>) {
    if let Some(running) = &env.upstreams.lock().await[position] {
        running.upstream.name_limit(env, limit);
    }
}

/// Plays limits for [`PLAY_TIME`], and what happens meanwhile.
pub async fn play(env: &Arc<TestEnv>, play: Play) {
    if play != Play::StoreAwayFromTheStart {
        sleep(SETTLE_TIME).await;
    }
    if matches!(play, Play::StoreAway | Play::StoreAwayFromTheStart) {
        env.store.set_mode(StoreMode::Refusing);
    }
    for position in 0..env.size.upstreams() {
        if let Some(limit) = play.limit(position) {
            name(env, position, Some(limit)).await;
        }
    }
    let until_ms = env.now_ms() + u64::try_from(PLAY_TIME.as_millis()).unwrap();
    let mut round = 0;
    while env.now_ms() < until_ms {
        match play {
            Play::Changes => {
                sleep(Duration::from_secs(6)).await;
                for position in (0..env.size.upstreams()).step_by(8) {
                    name(
                        env,
                        position,
                        [Some("1"), Some("4"), None].get(round).copied().flatten(),
                    )
                    .await;
                }
            }
            Play::GatewaysRestartedInTurn => {
                let gateway = &env.gateways[round % env.gateways.len()];
                let disturbance = env.begin_disturbance(Some(round % env.gateways.len()), true);
                if let Err(error) = gateway.stop().await {
                    env.record_violation(error);
                }
                gateway.start(false).await;
                env.end_disturbance(disturbance);
            }
            Play::GatewaysFrozen => {
                let frozen = [
                    (2 * round) % env.gateways.len(),
                    (2 * round + 1) % env.gateways.len(),
                ];
                let disturbances = frozen.map(|number| env.begin_disturbance(Some(number), false));
                for number in frozen {
                    env.gateways[number].signal("-STOP").await;
                }
                sleep(Duration::from_secs(3)).await;
                for number in frozen {
                    env.gateways[number].signal("-CONT").await;
                }
                sleep(Duration::from_secs(2)).await;
                for disturbance in disturbances {
                    env.end_disturbance(disturbance);
                }
            }
            Play::UpstreamRestarts => {
                sleep(Duration::from_secs(4)).await;
                let id = {
                    let upstreams = env.upstreams.lock().await;
                    upstreams[0]
                        .as_ref()
                        .map(|running| running.upstream.config.id.clone())
                };
                if let Some(id) = id {
                    faults::crash_and_replace(&Arc::downgrade(env), id);
                }
                // The upstream is back after less than this.
                sleep(Duration::from_millis(3_900)).await;
                name(env, 0, play.limit(0)).await;
            }
            _ => sleep(Duration::from_secs(1)).await,
        }
        round += 1;
    }
}

/// What the upstreams got while a limit was in force.
struct Kept {
    per_s: f64,
    most: usize,
    allowed: f64,
    used: f64,
}

fn kept(env: &TestEnv, named: &NamedLimit, until_ms: u64) -> Option<Kept> {
    let per_s: f64 = named.limit.as_deref()?.parse().ok()?;
    let arrivals = env.ledger.arrivals();
    let own = arrivals.iter().filter(|arrival| {
        arrival.upstream == named.upstream
            && arrival.at_ms >= named.first_told_ms.unwrap_or(u64::MAX) + TOLD_AFTER_MS
            && arrival.at_ms < until_ms
    });
    let times: Vec<u64> = own.clone().map(|arrival| arrival.at_ms).collect();
    let disturbances = env.disturbances();
    let is_calm = |from_ms: u64| {
        Play::of(env.seed).is_some()
            || !disturbances.iter().any(|other| {
                other.from_ms < from_ms + WINDOW_MS
                    && other.until_ms.saturating_add(3_000) > from_ms
            })
    };
    let windows = times
        .iter()
        .filter(|from_ms| is_calm(**from_ms))
        .map(|from_ms| {
            times
                .iter()
                .filter(|at_ms| *at_ms >= from_ms && **at_ms < from_ms + WINDOW_MS)
                .count()
        });
    let used_from_ms = named.first_told_ms? + USED_AFTER_MS;
    let runs = own
        .filter(|arrival| !arrival.is_probe && arrival.at_ms >= used_from_ms)
        .count();
    let measured_s = Duration::from_millis(until_ms.saturating_sub(used_from_ms)).as_secs_f64();
    Some(Kept {
        per_s,
        most: windows.max().unwrap_or(0),
        allowed: 1.5 * per_s * 4.0 + 5.0,
        used: f64::from(u32::try_from(runs).unwrap()) / (per_s * measured_s),
    })
}

/// Returns limits that were not kept and, in plays, not used.
pub fn check(env: &TestEnv, faults_ended_ms: u64) -> Vec<String> {
    let play = Play::of(env.seed);
    let named = env.ledger.named_limits().clone();
    let mut violations = Vec::new();
    let mut shares: HashMap<String, Vec<f64>> = HashMap::new();
    let mut mosts: HashMap<String, usize> = HashMap::new();
    for (index, limit) in named.iter().enumerate() {
        let next = named[index + 1..]
            .iter()
            .find(|later| later.upstream == limit.upstream);
        let until_ms = next.map_or(faults_ended_ms, |later| later.named_ms);
        let Some(kept) = kept(env, limit, until_ms) else {
            continue;
        };
        if f64::from(u32::try_from(kept.most).unwrap()) > kept.allowed {
            violations.push(format!(
                "{} named {}/s and got {} requests in 4 s, allowed {}",
                limit.upstream, kept.per_s, kept.most, kept.allowed
            ));
        }
        let text = limit.limit.clone().unwrap_or_default();
        let most = mosts.entry(text.clone()).or_default();
        *most = kept.most.max(*most);
        if until_ms > limit.named_ms + WINDOW_MS && kept.used.is_finite() && kept.per_s < 10.0 {
            shares.entry(text).or_default().push(kept.used);
        }
    }
    let Some(play) = play else {
        return violations;
    };
    for (limit, shares) in shares {
        let mean = shares.iter().sum::<f64>() / f64::from(u32::try_from(shares.len()).unwrap());
        let least = shares.iter().copied().fold(f64::INFINITY, f64::min);
        println!(
            "{play:?}: at {limit}/s at most {} in 4 s; used {mean:.2}, least {least:.2} of {}",
            mosts[&limit],
            shares.len()
        );
        if mean < MIN_USED_SHARE {
            violations.push(format!("{play:?}: only {mean:.2} of {limit}/s was used"));
        }
    }
    violations.extend(check_callers(env, play, faults_ended_ms));
    violations
}

/// Checks in plays that others are served, and that what fits nowhere is refused at once.
fn check_callers(env: &TestEnv, play: Play, faults_ended_ms: u64) -> Option<String> {
    let mut served = 0;
    let mut all = 0;
    let mut refused_ms = Vec::new();
    let mut returns = Vec::new();
    for request in env.ledger.requests().iter() {
        if request.sent_ms >= faults_ended_ms || request.end == End::Cancelled {
            continue;
        }
        all += 1;
        served += usize::from(request.status() == 200);
        if let End::Answered {
            body, retry_after, ..
        } = &request.end
            && body == LIMITED
        {
            refused_ms.push(request.ended_ms - request.sent_ms);
            returns.extend(retry_after.parse::<f64>());
        }
    }
    refused_ms.sort_unstable();
    returns.sort_unstable_by(f64::total_cmp);
    let at = |share: usize| {
        refused_ms
            .get(refused_ms.len() * share / 100)
            .copied()
            .unwrap_or(0)
    };
    println!(
        "{play:?}: {served} of {all} served by status {:?}; {} refused, in {} ms (half) and {} ms \
         (99 of 100), asked back after {:?} to {:?} s",
        checks::count_by_status(env),
        refused_ms.len(),
        at(50),
        at(99),
        returns.first(),
        returns.last()
    );
    (at(99) > MAX_REFUSAL_MS).then(|| format!("{play:?}: refused after {} ms", at(99)))
}

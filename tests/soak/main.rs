//! Randomized faults against the real gateway, from outside of it.
//!
//! Each seed starts gateways as processes of their own, with a stand-in of the
//! platform's store, upstreams and a proxy before each of them, and lets a
//! series of overlapping faults happen while callers send. The promises are
//! checked from what callers, upstreams and operators saw.
//!
//! `SOAK_SEEDS=1-50 SOAK_SECONDS=30 cargo test --test soak -- --nocapture`;
//! `SOAK_GATEWAYS` and `SOAK_CALLERS` set the size, `SOAK_AT_ONCE` how many
//! seeds run at a time. The logs of seeds that failed are kept.

mod balancer;
mod caller;
mod checks;
mod faults;
mod fleet;
mod ledger;
mod proxy;
mod store;
mod upstream;
mod wire;
mod world;

use std::fmt::Write as _;
use std::time::Duration;

use futures::{StreamExt, stream};

use world::{Size, World};

/// Seeds that failed once, with the cause of each; they run before those that
/// `SOAK_SEEDS` names.
const FAILED_ONCE: [(u64, &str); 11] = [
    (1, "the soak started a gateway beside one that was stopping"),
    (2, "the same"),
    (6, "the same"),
    (
        12,
        "the soak killed a gateway that another stop had started anew",
    ),
    (15, "the same"),
    (
        16,
        "ran twice: the build held a mutant that repeats what may run once",
    ),
    (17, "the same"),
    (19, "as 12 first, then told not run by a second mutant"),
    (20, "as 16"),
    (
        60,
        "the soak started a gateway beside one that was being killed",
    ),
    (
        61,
        "load: as many calls as the upstreams bear; sized by callers since",
    ),
];
/// Time that must do for one seed beside its faults.
const SEED_LIMIT: Duration = Duration::from_mins(2);

fn from_environment<T: std::str::FromStr>(name: &str, otherwise: T) -> T {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(otherwise)
}

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else {
        return vec![1, 2];
    };
    let mut seeds: Vec<u64> = FAILED_ONCE.iter().map(|(seed, _)| *seed).collect();
    let (first, last) = range.split_once('-').unwrap_or((&range, &range));
    let (first, last): (u64, u64) = (first.parse().unwrap(), last.parse().unwrap());
    seeds.extend(first..=last);
    seeds
}

/// Plays one seed; returns the broken promises.
async fn play(seed: u64, size: Size) -> Vec<String> {
    let world = World::start(seed, size).await;
    let callers = caller::start(&world);
    faults::play(&world, seed, size.faults_s).await;
    world.heal().await;
    tokio::time::sleep(checks::SETTLE).await;
    let calm_from_ms = world.now_ms();
    tokio::time::sleep(checks::CALM).await;
    world.stop_callers();
    for caller in callers {
        caller.await.unwrap();
    }
    println!(
        "seed {seed}: ends by status {:?}",
        checks::count_ends(&world)
    );
    let mut broken = checks::find(&world, calm_from_ms);
    broken.extend(world.stop_fleet().await);
    world.keep_logs(!broken.is_empty());
    broken
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_through_random_faults() {
    let size = Size {
        gateways: from_environment("SOAK_GATEWAYS", 4),
        callers: from_environment("SOAK_CALLERS", 10),
        faults_s: from_environment("SOAK_SECONDS", 8),
    };
    let at_once = from_environment("SOAK_AT_ONCE", 2);
    let limit = SEED_LIMIT + Duration::from_secs(size.faults_s);
    let played = stream::iter(seeds()).map(|seed| async move {
        let played = tokio::spawn(play(seed, size));
        let broken = match tokio::time::timeout(limit, played).await {
            Ok(Ok(broken)) => broken,
            Ok(Err(error)) => vec![error.to_string()],
            Err(_) => vec![format!("not over within {limit:?}")],
        };
        (seed, broken)
    });
    let mut played = played.buffer_unordered(at_once);
    let mut report = String::new();
    while let Some((seed, broken)) = played.next().await {
        println!("seed {seed}: {} broken", broken.len());
        for promise in broken {
            println!("    {promise}");
            let _ = writeln!(report, "seed {seed}: {promise}");
        }
    }
    assert!(report.is_empty(), "{report}");
}

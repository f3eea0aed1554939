//! Compares ways to place requests in seconds, without a network:
//! `cargo bench --bench policies -- --pattern burst --way gateway --seeds 10`.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the model draws its times as floating point numbers"
)]

mod model;
mod policy;

use argh::FromArgs;
use strum::IntoEnumIterator;

use model::{Model, Pattern, RunStats, Setup};
use policy::Policy;

/// compares ways to place requests in an event model
#[derive(Debug, FromArgs)]
struct PoliciesArgs {
    /// only this pattern of load
    #[argh(option)]
    pattern: Option<Pattern>,
    /// only this way
    #[argh(option)]
    way: Option<Policy>,
    /// seeds that are played
    #[argh(option, default = "5")]
    seeds: u64,
    /// instances
    #[argh(option, default = "13")]
    instances: usize,
    /// upstreams
    #[argh(option, default = "12")]
    upstreams: usize,
    /// share of all slots that the usual load keeps busy
    #[argh(option, default = "0.25")]
    load: f64,
    /// given by cargo
    #[argh(switch)]
    #[expect(dead_code, reason = "cargo passes it to every bench")]
    bench: bool,
}

fn main() {
    let args: PoliciesArgs = argh::from_env();
    let setup = Setup {
        instances: args.instances,
        upstreams: args.upstreams,
        load: args.load,
        ..Setup::small()
    };
    println!(
        "{:<16}{:<16}{:>8}{:>8}{:>8}{:>9}{:>9}{:>9}{:>7}",
        "pattern", "way", "payoff", "least", "worst", "refused", "failed", "probes", "far"
    );
    for pattern in Pattern::iter() {
        if args.pattern.is_some_and(|wanted| wanted != pattern) {
            continue;
        }
        for policy in Policy::iter() {
            if args.way.is_some_and(|wanted| wanted != policy) {
                continue;
            }
            let mut played = Vec::new();
            for seed in 1..=args.seeds {
                played.push(Model::new(setup, pattern, seed).run(policy));
            }
            print(pattern, policy, &played);
        }
    }
}

/// Payoff in the mean and of the worst seed, the worst window of all seeds,
/// and shares of the requests.
fn print(pattern: Pattern, policy: Policy, played: &[RunStats]) {
    let payoffs: Vec<f64> = played.iter().map(RunStats::payoff).collect();
    let mean = payoffs.iter().sum::<f64>() / payoffs.len() as f64;
    let least = payoffs.iter().copied().fold(1.0, f64::min);
    let worst = played
        .iter()
        .map(RunStats::worst_window)
        .fold(1.0, f64::min);
    let requests: u64 = played.iter().map(|stats| stats.requests).sum();
    let share = |count: fn(&RunStats) -> u64| {
        played.iter().map(count).sum::<u64>() as f64 / requests as f64
    };
    println!(
        "{:<16}{:<16}{mean:>8.3}{least:>8.3}{worst:>8.3}{:>9.3}{:>9.3}{:>9.2}{:>7.2}",
        pattern.to_string(),
        policy.to_string(),
        share(|stats| stats.refused),
        share(|stats| stats.failed),
        share(|stats| stats.probes),
        share(|stats| stats.sent_remote),
    );
}

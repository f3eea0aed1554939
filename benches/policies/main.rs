//! Compares policies for choosing an upstream in a simulation, which takes
//! seconds and needs no network:
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

/// compares policies for choosing an upstream in a discrete-event simulation
#[derive(Debug, FromArgs)]
struct PoliciesArgs {
    /// run only this load pattern
    #[argh(option)]
    pattern: Option<Pattern>,
    /// run only this policy
    #[argh(option)]
    way: Option<Policy>,
    /// number of seeds to run
    #[argh(option, default = "5")]
    seeds: u64,
    /// number of instances
    #[argh(option, default = "13")]
    instances: usize,
    /// number of upstreams
    #[argh(option, default = "12")]
    upstreams: usize,
    /// share of all slots that the usual load keeps busy
    #[argh(option, default = "0.25")]
    load: f64,
    /// passed by cargo
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
            let mut runs = Vec::new();
            for seed in 1..=args.seeds {
                runs.push(Model::new(setup, pattern, seed).run(policy));
            }
            print_row(pattern, policy, &runs);
        }
    }
}

/// Prints the mean payoff, the payoff of the worst seed, the worst window of all
/// seeds, and the counts as shares of all requests.
fn print_row(pattern: Pattern, policy: Policy, runs: &[RunStats]) {
    let payoffs: Vec<f64> = runs.iter().map(RunStats::payoff).collect();
    let mean = payoffs.iter().sum::<f64>() / payoffs.len() as f64;
    let lowest = payoffs.iter().copied().fold(1.0, f64::min);
    let worst = runs.iter().map(RunStats::worst_window).fold(1.0, f64::min);
    let requests: u64 = runs.iter().map(|stats| stats.requests).sum();
    let share =
        |count: fn(&RunStats) -> u64| runs.iter().map(count).sum::<u64>() as f64 / requests as f64;
    println!(
        "{:<16}{:<16}{mean:>8.3}{lowest:>8.3}{worst:>8.3}{:>9.3}{:>9.3}{:>9.2}{:>7.2}",
        pattern.to_string(),
        policy.to_string(),
        share(|stats| stats.refused),
        share(|stats| stats.failed),
        share(|stats| stats.probes),
        share(|stats| stats.sent_remote),
    );
}

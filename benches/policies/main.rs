//! Compares ways to place requests in seconds, without a network:
//! `cargo bench --bench policies -- --pattern burst --way gateway --seeds 10`.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the model draws its times as floating point numbers"
)]

mod model;
mod ways;

use argh::FromArgs;
use strum::IntoEnumIterator;

use model::{Figures, Model, Pattern, Site};
use ways::Way;

/// compares ways to place requests in an event model
#[derive(Debug, FromArgs)]
struct PoliciesArgs {
    /// only this pattern of load
    #[argh(option)]
    pattern: Option<Pattern>,
    /// only this way
    #[argh(option)]
    way: Option<Way>,
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
    let site = Site {
        instances: args.instances,
        upstreams: args.upstreams,
        load: args.load,
        ..Site::small()
    };
    println!(
        "{:<16}{:<16}{:>8}{:>8}{:>8}{:>9}{:>9}{:>9}{:>7}",
        "pattern", "way", "payoff", "least", "worst", "refused", "failed", "probes", "far"
    );
    for pattern in Pattern::iter() {
        if args.pattern.is_some_and(|wanted| wanted != pattern) {
            continue;
        }
        for way in Way::iter() {
            if args.way.is_some_and(|wanted| wanted != way) {
                continue;
            }
            let mut played = Vec::new();
            for seed in 1..=args.seeds {
                played.push(Model::new(site, pattern, seed).run(way));
            }
            print(pattern, way, &played);
        }
    }
}

/// Payoff in the mean and of the worst seed, the worst window of all seeds,
/// and shares of the requests.
fn print(pattern: Pattern, way: Way, played: &[Figures]) {
    let payoffs: Vec<f64> = played.iter().map(Figures::payoff).collect();
    let mean = payoffs.iter().sum::<f64>() / payoffs.len() as f64;
    let least = payoffs.iter().copied().fold(1.0, f64::min);
    let worst = played.iter().map(Figures::worst_window).fold(1.0, f64::min);
    let requests: u64 = played.iter().map(|figures| figures.requests).sum();
    let share =
        |count: fn(&Figures) -> u64| played.iter().map(count).sum::<u64>() as f64 / requests as f64;
    println!(
        "{:<16}{:<16}{mean:>8.3}{least:>8.3}{worst:>8.3}{:>9.3}{:>9.3}{:>9.2}{:>7.2}",
        pattern.to_string(),
        way.to_string(),
        share(|figures| figures.refused),
        share(|figures| figures.failed),
        share(|figures| figures.probes),
        share(|figures| figures.sent_far),
    );
}

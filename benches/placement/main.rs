//! Compares policies that place calls, in a small event model, and times one
//! decision: `cargo bench --bench placement`.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the model draws its times as floating point numbers"
)]

mod decision;
mod model;
mod policy;

use model::{Model, RunStats, Scenario};
use policy::Policy;

/// Seeds of the runs whose results are combined.
const SEEDS: [u64; 3] = [1, 2, 3];

fn main() {
    for scenario in Scenario::all() {
        println!("\n{}", scenario.title);
        println!(
            "{:<22} {:>7} {:>7} {:>7} {:>9} {:>9} {:>8} {:>6} {:>6}",
            "way", "p50", "p99", "p99.9", "refused", "late", "trials", "most", "cold"
        );
        for policy in Policy::all() {
            let mut run_stats = RunStats::default();
            for seed in SEEDS {
                Model::new(&scenario, policy, seed).run(&mut run_stats);
            }
            run_stats.print(policy);
        }
    }
    decision::report_cost();
}

//! The cases that property tests draw: the same ones in each run, unless someone asks for
//! fresh ones.

use proptest::test_runner::{Config, RngSeed};

/// Fewest cases of a property; proptest's default.
const MIN_CASES: u32 = 256;
/// Seed of the cases in CI; an arbitrary number, which must only stay the same.
const CI_SEED: u64 = 25;
/// Environment variable that asks for fresh cases.
const FRESH_CASES: &str = "FRESH_CASES";

/// Configuration of all property tests; saved regressions are replayed first.
///
/// `PROPTEST_RNG_SEED` sets another seed, `PROPTEST_CASES` more cases.
pub fn config() -> Config {
    let defaults = Config::default();
    let wants_fresh_cases = std::env::var_os(FRESH_CASES).is_some();
    let rng_seed = match defaults.rng_seed {
        RngSeed::Random if !wants_fresh_cases => RngSeed::Fixed(CI_SEED),
        chosen => chosen,
    };
    Config {
        cases: defaults.cases.max(MIN_CASES),
        rng_seed,
        ..defaults
    }
}

//! Random runs checked by the oracle of [`simulation::Simulation`].

use std::env;

use crate::{simulation, step};

/// Seeds of every run of the test.
const SEEDS: [u64; 8] = [1, 2, 3, 5, 8, 13, 21, 34];

/// Cases per seed.
const CASES: u64 = 400;

/// Most steps per case.
const MAX_STEPS: usize = 400;

fn random_steps(random: &mut quickcheck::Gen) -> Vec<step::Step> {
    quickcheck::Arbitrary::arbitrary(random)
}

/// Text of a violation without its first word and digits, so that similar ones compare equal.
fn violation_kind(violation: &str) -> String {
    let letters = violation.chars().filter(|c| c.is_alphabetic() || *c == ' ');
    letters.skip_while(|c| *c != ' ').collect()
}

/// Removes steps as long as the run fails with the same kind of violation.
fn shrink(seed: u64, mut steps: Vec<step::Step>, violation: &str) -> Vec<step::Step> {
    let mut size = steps.len();
    while size > 0 {
        let mut start = 0;
        while start < steps.len() {
            let end = (start + size).min(steps.len());
            let mut fewer = steps.clone();
            fewer.drain(start..end);
            if simulation::Simulation::new(seed)
                .run(&fewer)
                .is_err_and(|found| violation_kind(&found) == violation_kind(violation))
            {
                steps = fewer;
            } else {
                start = end;
            }
        }
        size /= 2;
    }
    steps
}

fn run_seed(seed: u64) -> u64 {
    println!("seed {seed}");
    let mut random = quickcheck::Gen::from_size_and_seed(MAX_STEPS, seed);
    let mut sends = 0;
    for case in 0..CASES {
        let steps = random_steps(&mut random);
        match simulation::Simulation::new(seed + case).run(&steps) {
            Ok(sent) => sends += sent,
            Err(violation) => {
                let fewer = shrink(seed + case, steps, &violation);
                let again = simulation::Simulation::new(seed + case).run(&fewer);
                panic!("seed {seed}, case {case}: {violation}; shrunk: {again:?}: {fewer:?}");
            }
        }
    }
    sends
}

/// Runs one case again; `DISPATCH_TRACE` makes it print all events and actions.
#[test]
#[ignore = "repeats the case named by DISPATCH_SEED and DISPATCH_CASE"]
fn repeat_case() {
    let number = |name| env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let seed = number("DISPATCH_SEED").expect("a seed");
    let case = number("DISPATCH_CASE").expect("a case");
    let mut random = quickcheck::Gen::from_size_and_seed(MAX_STEPS, seed);
    let steps = (0..=case).map(|_| random_steps(&mut random)).last();
    let found = simulation::Simulation::new(seed + case).run(&steps.unwrap_or_default());
    println!("{found:?}");
    found.expect("no violation");
}

/// Guards against any violation of the invariants checked in `invariants` and `reply_checks`.
///
/// `DISPATCH_FUZZ_SEEDS=n` runs n more seeds, starting at `DISPATCH_FUZZ_FIRST`,
/// or at a seed derived from the process id; seeds are printed.
#[test]
fn random_runs_violate_no_invariant() {
    let mut sends = SEEDS.into_iter().map(run_seed).sum::<u64>();
    let count = env::var("DISPATCH_FUZZ_SEEDS").map_or(0, |n| n.parse().expect("a number"));
    let first = env::var("DISPATCH_FUZZ_FIRST").map_or_else(
        |_| u64::from(std::process::id()) << 20,
        |first| first.parse().expect("a number"),
    );
    for seed in first..first + count {
        sends += run_seed(seed);
    }
    println!("{sends} sends checked");
    // Runs with few sends would pass without testing much.
    assert!(sends > 100_000, "only {sends} sends");
}

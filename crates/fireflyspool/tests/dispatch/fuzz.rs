//! Random runs against the oracle of [`world::World`].

use std::env;

use crate::{op, world};

/// Seeds of every ordinary run.
const SEEDS: [u64; 8] = [1, 2, 3, 5, 8, 13, 21, 34];

/// Cases per seed.
const CASES: u64 = 400;

/// Steps per case, at most.
const STEPS: usize = 400;

fn steps(random: &mut quickcheck::Gen) -> Vec<op::Op> {
    quickcheck::Arbitrary::arbitrary(random)
}

/// Part of a violation that does not depend on numbers.
fn kind(what: &str) -> String {
    let letters = what.chars().filter(|c| c.is_alphabetic() || *c == ' ');
    letters.skip_while(|c| *c != ' ').collect()
}

/// Removes steps while the run still fails, so that the report is short.
fn shrink(seed: u64, mut ops: Vec<op::Op>, what: &str) -> Vec<op::Op> {
    let mut size = ops.len();
    while size > 0 {
        let mut start = 0;
        while start < ops.len() {
            let end = (start + size).min(ops.len());
            let mut fewer = ops.clone();
            fewer.drain(start..end);
            if world::World::new(seed)
                .run(&fewer)
                .is_err_and(|found| kind(&found) == kind(what))
            {
                ops = fewer;
            } else {
                start = end;
            }
        }
        size /= 2;
    }
    ops
}

fn run_seed(seed: u64) -> u64 {
    println!("seed {seed}");
    let mut random = quickcheck::Gen::from_size_and_seed(STEPS, seed);
    let mut sends = 0;
    for case in 0..CASES {
        let ops = steps(&mut random);
        match world::World::new(seed + case).run(&ops) {
            Ok(sent) => sends += sent,
            Err(what) => {
                let fewer = shrink(seed + case, ops, &what);
                let again = world::World::new(seed + case).run(&fewer);
                panic!("seed {seed}, case {case}: {what}; shrunk: {again:?}: {fewer:?}");
            }
        }
    }
    sends
}

/// Runs one case again; with `DISPATCH_TRACE` set it prints all events and actions.
#[test]
#[ignore = "repeats the case named by DISPATCH_SEED and DISPATCH_CASE"]
fn repeat_case() {
    let number = |name| env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let seed = number("DISPATCH_SEED").expect("a seed");
    let case = number("DISPATCH_CASE").expect("a case");
    let mut random = quickcheck::Gen::from_size_and_seed(STEPS, seed);
    let ops = (0..=case).map(|_| steps(&mut random)).last();
    let found = world::World::new(seed + case).run(&ops.unwrap_or_default());
    println!("{found:?}");
    found.expect("no violation");
}

/// Guards against any breach of the limits and promises listed in `world_checks`.
///
/// `DISPATCH_FUZZ_SEEDS=n` runs n further seeds, beginning at
/// `DISPATCH_FUZZ_FIRST`, which is drawn and printed if it is not set.
#[test]
fn random_runs_keep_limits_and_promises() {
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
    // Runs that send little would pass without testing anything.
    assert!(sends > 100_000, "only {sends} sends");
}

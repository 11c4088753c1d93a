//! Seeds of the randomized tests.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::time;

/// Random numbers that depend on nothing but a seed (SplitMix64).
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below a bound.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// True in `percent` of the calls.
    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// Runs a case with the fixed seeds 1 to `count` and prints the seed of a failure.
///
/// `FIREFLYSPOOL_SEED=n` runs one seed. `FIREFLYSPOOL_SECONDS=n` goes on with
/// new seeds for that time.
pub(crate) fn with_seeds(count: u64, case: impl Fn(u64)) {
    let run = |seed: u64| {
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(seed)));
        if let Err(failure) = result {
            eprintln!("failed with FIREFLYSPOOL_SEED={seed}");
            std::panic::resume_unwind(failure);
        }
    };
    if let Some(seed) = number("FIREFLYSPOOL_SEED") {
        return run(seed);
    }
    (1..=count).for_each(run);
    if let Some(seconds) = number("FIREFLYSPOOL_SECONDS") {
        let start = time::Instant::now();
        let base = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let base = base.map_or(0, |base| base.as_secs() << 20);
        let mut runs = 0;
        while start.elapsed() < time::Duration::from_secs(seconds) {
            runs += 1;
            run(base + runs);
        }
        eprintln!("{runs} random seeds after {base}");
    }
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

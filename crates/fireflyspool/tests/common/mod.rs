//! Randomized tests with fixed seeds.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::time;

/// Generated entries of a script, shrunk to shorter prefixes only.
///
/// Shrinking each of several thousand numbers would take longer than the test.
#[derive(Clone)]
pub(crate) struct Entries(pub(crate) Vec<u64>);

impl std::fmt::Debug for Entries {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} entries", self.0.len())
    }
}

impl quickcheck::Arbitrary for Entries {
    fn arbitrary(g: &mut quickcheck::Gen) -> Self {
        Self(Vec::arbitrary(g))
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let entries = self.0.clone();
        let steps = (1..8).map(|step| 1 << step);
        let lengths = steps.map(move |part| entries.len() - entries.len() / part);
        let entries = self.0.clone();
        let shorter = lengths.filter(move |length| *length < entries.len());
        let entries = self.0.clone();
        Box::new(shorter.map(move |length| Self(entries[..length].to_vec())))
    }
}

/// Random decisions taken from a script that quickcheck generates and shrinks.
///
/// An exhausted script yields 0 for every decision, so that a run can continue
/// without further faults.
pub(crate) struct Script {
    entries: Vec<u64>,
    position: usize,
}

impl Script {
    pub(crate) fn new(Entries(entries): Entries) -> Self {
        Self {
            entries,
            position: 0,
        }
    }

    pub(crate) fn is_exhausted(&self) -> bool {
        self.position >= self.entries.len()
    }

    /// A number below `bound`, from the next entry; 0 once the script is exhausted.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        let Some(entry) = self.entries.get(self.position) else {
            return 0;
        };
        self.position += 1;
        // quickcheck prefers small and extreme numbers; the finalizer of SplitMix64 spreads them.
        let mut mixed = entry.wrapping_add(0x9e37_79b9_7f4a_7c15 * self.position as u64);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    /// True in `percent` of the calls, never once the script is exhausted.
    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        !self.is_exhausted() && self.below(100) < percent
    }
}

/// Checks a property with the fixed seeds 1 to `seeds`, each with `runs` scripts of up to
/// `size` entries, and prints the seed of a failure.
///
/// `FIREFLYSPOOL_SEED=n` checks one seed. `FIREFLYSPOOL_SECONDS=n` continues with
/// random seeds for that many seconds.
pub(crate) fn check(seeds: u64, runs: u64, size: usize, property: fn(Entries) -> bool) {
    let run = |seed: u64| {
        let rng = quickcheck::Gen::from_size_and_seed(size, seed);
        let mut quickcheck = quickcheck::QuickCheck::new().rng(rng).tests(runs);
        if let Err(failure) = quickcheck.quicktest(property) {
            panic!("failed with FIREFLYSPOOL_SEED={seed}: {failure:?}");
        }
    };
    if let Some(seed) = number("FIREFLYSPOOL_SEED") {
        return run(seed);
    }
    (1..=seeds).for_each(run);
    if let Some(seconds) = number("FIREFLYSPOOL_SECONDS") {
        let start = time::Instant::now();
        let base = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let base = base.map_or(0, |base| base.as_secs() << 20);
        let mut count = 0;
        while start.elapsed() < time::Duration::from_secs(seconds) {
            count += 1;
            run(base + count);
        }
        eprintln!(
            "{} scripts of {count} random seeds after {base} pass",
            count * runs
        );
    }
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

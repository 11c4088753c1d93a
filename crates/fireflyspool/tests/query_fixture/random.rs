//! Random test runs that can be repeated from a seed.

use std::time;

/// SplitMix64 generator, so that a failure can be repeated from its seed.
pub(crate) struct SplitMix64(pub(crate) u64);

impl SplitMix64 {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

/// Seeds that every run uses.
const SEEDS: [u64; 6] = [1, 7, 42, 1_001, 20_261, 990_017];

/// Checks a property on random lists from the fixed seeds. `FIREFLYSPOOL_FUZZ_RUNS`
/// adds that many lists from a new seed or from `FIREFLYSPOOL_FUZZ_SEED`.
pub(crate) fn fuzz(name: &str, size: usize, property: fn(Vec<u32>)) {
    fuzz_runs(name, size, 1_000, property);
}

/// Like [`fuzz`] with another number of lists for each of the fixed seeds.
pub(crate) fn fuzz_runs(name: &str, size: usize, lists: u64, property: fn(Vec<u32>)) {
    let run = |seed: u64, tests: u64| {
        println!("{name}: seed {seed}, {tests} lists");
        let generator = quickcheck::Gen::from_size_and_seed(size, seed);
        quickcheck::QuickCheck::new()
            .rng(generator)
            .tests(tests)
            .max_tests(tests)
            .quickcheck(property);
    };
    for seed in SEEDS {
        run(seed, lists);
    }
    let number = |key| {
        std::env::var(key)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
    };
    if let Some(runs) = number("FIREFLYSPOOL_FUZZ_RUNS") {
        let clock = time::SystemTime::now().duration_since(time::SystemTime::UNIX_EPOCH);
        let seed = clock.map_or(0, |elapsed| elapsed.as_nanos() as u64);
        run(number("FIREFLYSPOOL_FUZZ_SEED").unwrap_or(seed), runs);
    }
}

/// Choices of a test run, read from a list that quickcheck can shrink; zeros after its end.
pub(crate) struct Choices {
    list: std::vec::IntoIter<u32>,
}

impl Choices {
    pub(crate) fn new(list: Vec<u32>) -> Self {
        Self {
            list: list.into_iter(),
        }
    }

    pub(crate) fn is_over(&self) -> bool {
        self.list.len() == 0
    }

    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.list.next().unwrap_or(0) as usize % bound.max(1)
    }

    pub(crate) fn chance(&mut self, percent: usize) -> bool {
        self.below(100) < percent
    }
}

//! Randomly generated failure schedules.

use crate::simulation;

/// Steps of one run with the seed of its network and election timeouts.
#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    pub(crate) seed: u64,
    pub(crate) founders: u64,
    pub(crate) steps: Vec<simulation::Step>,
}

impl quickcheck::Arbitrary for Schedule {
    fn arbitrary(g: &mut quickcheck::Gen) -> Self {
        let count = g.size();
        Self {
            seed: u64::arbitrary(g),
            founders: *g.choose(&[3, 3, 5]).expect("the list is not empty"),
            steps: (0..count).map(|_| simulation::Step::arbitrary(g)).collect(),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        // Shrinking takes minutes, so it is done on request and for one seed only.
        if std::env::var("FIREFLYSPOOL_FUZZ_SHRINK").is_err() {
            return quickcheck::empty_shrinker();
        }
        let (seed, founders) = (self.seed, self.founders);
        let shorter = self.steps.shrink();
        Box::new(shorter.map(move |steps| Self {
            seed,
            founders,
            steps,
        }))
    }
}

//! Decisions on rollouts over many entry VMs in virtual time, compared with an oracle that sees
//! every request.

#[path = "rollout_site/mod.rs"]
mod rollout_site;

use rollout_site::{Fault, Outcome, Site};

fn limit(outcome: &Outcome) -> f64 {
    0.1 * outcome.all as f64 + 50.0
}

/// Guards against a target version that gets more than its share, or gets requests long after
/// it was found bad, a bad version that is completed and a good one that is rolled back: over
/// random sites, faults, troubles of both versions and lost collectors.
#[test]
fn decisions_agree_with_the_oracle() {
    fn property(seed: u64) -> bool {
        let mut site = Site::random(seed);
        let outcome = site.run();
        let exposed = outcome.target as f64 <= limit(&outcome);
        let ended = outcome.completed == Some(site.fault == Fault::None);
        let binding = outcome.rollback_delay() <= 5_000;
        if !(exposed && ended && binding) {
            eprintln!("seed {seed}: {site:?} {outcome:?}");
        }
        exposed && ended && binding
    }
    let count = std::env::var("FIREFLYSPOOL_SEEDS").ok();
    let count = count.and_then(|text| text.parse().ok()).unwrap_or(40);
    let generator = quickcheck::Gen::from_size_and_seed(100, 20_261);
    quickcheck::QuickCheck::new()
        .rng(generator)
        .tests(count)
        .quickcheck(property as fn(u64) -> bool);
}

/// Guards against a kind of fault that the random sites miss by chance.
#[test]
fn each_kind_of_fault_is_rolled_back() {
    for fault in Fault::ALL {
        for seed in 0..12 {
            let mut site = Site::random(seed);
            site.fault = fault;
            let outcome = site.run();
            let good = fault == Fault::None;
            assert_eq!(
                outcome.completed,
                Some(good),
                "seed {seed}: {site:?} {outcome:?}"
            );
            assert!(outcome.rollback_delay() <= 5_000, "{site:?} {outcome:?}");
            assert!(
                outcome.target as f64 <= limit(&outcome),
                "{site:?} {outcome:?}"
            );
        }
    }
}

/// Guards against a rollout whose version no server reports that is completed, or stays in
/// progress after its deadline.
#[test]
fn a_version_without_servers_is_rolled_back() {
    let mut site = Site::random(1);
    site.fault = Fault::None;
    site.servers = 0;
    assert_eq!(site.run().completed, Some(false));
}

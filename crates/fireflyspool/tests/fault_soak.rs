//! The real programs under random faults from outside.
//!
//! `FIREFLYSPOOL_SEED=n` plays one seed, `FIREFLYSPOOL_SEEDS=n` that many new
//! ones, `FIREFLYSPOOL_SECONDS=n` sets the length of a run and
//! `FIREFLYSPOOL_ENTRIES=n` the number of entry VMs.

mod platform_site;
mod soak;

use std::time;

/// Seeds that failed once, with the seconds of the run.
const REGRESSIONS: [(u64, u64); 2] = [
    // A process that was still starting was killed by the signal to stop.
    (1_796_388_855, 25),
    // The check of cold servers counted requests after they were warm.
    (1_796_389_659, 12),
];

/// Seeds that are played when nothing else is asked for.
const SEEDS: [u64; 2] = [1, 2];

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Guards against invariants that hold only without faults, or with one at a time:
/// own and whole answers, nothing run twice, true refusals, acknowledged
/// configurations, departures and zones, requests and stops in time, recovery.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invariants_hold_under_random_faults() {
    let plan = soak::Plan {
        length: time::Duration::from_secs(number("FIREFLYSPOOL_SECONDS").unwrap_or(12)),
        entries: u8::try_from(number("FIREFLYSPOOL_ENTRIES").unwrap_or(4)).expect("few"),
    };
    if let Some(seed) = number("FIREFLYSPOOL_SEED") {
        return soak::run(seed, plan).await;
    }
    if let Some(count) = number("FIREFLYSPOOL_SEEDS") {
        let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let first = now.map_or(0, |now| now.as_secs());
        for seed in first..first + count {
            soak::run(seed, plan).await;
        }
        return;
    }
    for (seed, seconds) in REGRESSIONS {
        let length = time::Duration::from_secs(seconds);
        soak::run(seed, soak::Plan { length, ..plan }).await;
    }
    for seed in SEEDS {
        soak::run(seed, plan).await;
    }
}

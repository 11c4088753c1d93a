//! Randomized fault test of real processes.
//!
//! `FIREFLYSPOOL_SEED=n` runs one seed, `FIREFLYSPOOL_SEEDS=n` runs n new seeds,
//! `FIREFLYSPOOL_SECONDS=n` sets the length of a run and
//! `FIREFLYSPOOL_ENTRIES=n` the number of entry VMs.

mod platform_site;
mod soak;

use std::time;

/// Seeds of past failures, with the seconds of the run.
const REGRESSION_SEEDS: [(u64, u64); 3] = [
    // SIGTERM killed a process that was still starting.
    (1_796_388_855, 25),
    // The check of slow start also counted requests after it had ended.
    (1_796_389_659, 12),
    // All processes stood still at once for up to 5.7 s; requests took 5 s.
    (1_796_407_716, 12),
];

/// Seeds that run, besides the past failures, if no variable chooses others.
const DEFAULT_SEEDS: [u64; 2] = [1, 2];

fn numeric_variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Guards against invariants that break only under overlapping faults: an answer
/// belongs to its request and holds what it claims, a single request runs at most
/// once and not at all if it was refused as not run, acknowledged configurations,
/// departures and evacuations take effect, requests and stops end in time, and
/// callers get complete answers again after the last fault.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invariants_hold_under_random_faults() {
    let plan = soak::Plan {
        length: time::Duration::from_secs(numeric_variable("FIREFLYSPOOL_SECONDS").unwrap_or(12)),
        entries: u8::try_from(numeric_variable("FIREFLYSPOOL_ENTRIES").unwrap_or(4))
            .expect("at most 255 entry VMs"),
    };
    if let Some(seed) = numeric_variable("FIREFLYSPOOL_SEED") {
        return soak::run(seed, plan).await;
    }
    if let Some(count) = numeric_variable("FIREFLYSPOOL_SEEDS") {
        let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let first = now.map_or(0, |now| now.as_secs());
        for seed in first..first + count {
            soak::run(seed, plan).await;
        }
        return;
    }
    for (seed, seconds) in REGRESSION_SEEDS {
        let length = time::Duration::from_secs(seconds);
        soak::run(seed, soak::Plan { length, ..plan }).await;
    }
    for seed in DEFAULT_SEEDS {
        soak::run(seed, plan).await;
    }
}

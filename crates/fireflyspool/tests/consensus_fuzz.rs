//! Random failure schedules, checked against the list of accepted commands.
//!
//! `FIREFLYSPOOL_FUZZ_SEED` runs one seed; `FIREFLYSPOOL_FUZZ_SECONDS` runs
//! random seeds for that long; `FIREFLYSPOOL_FUZZ_SHRINK` shrinks a failing
//! schedule. A failure names its seed.

#[path = "simulation/schedule.rs"]
mod schedule;
mod simulation;

use std::{env, time};

/// Steps of one schedule.
const STEPS: usize = 400;

/// Seeds 1 to this number are run by default; 800,000 steps in total.
const SEEDS: u64 = 2000;

fn run_schedule(schedule: schedule::Schedule) -> bool {
    let mut cluster = simulation::Cluster::new(schedule.seed, schedule.founders);
    for step in &schedule.steps {
        cluster.step(step);
    }
    cluster.check_recovery();
    true
}

fn check_seed(seed: u64) {
    let generator = quickcheck::Gen::from_size_and_seed(STEPS, seed);
    let mut check = quickcheck::QuickCheck::new().rng(generator).tests(1);
    let result = check.quicktest(run_schedule as fn(schedule::Schedule) -> bool);
    if let Err(failure) = result {
        let shown: String = format!("{failure:?}").chars().take(20_000).collect();
        panic!("FIREFLYSPOOL_FUZZ_SEED={seed} fails: {shown}");
    }
}

/// Guards against lost or changed commands, two leaders in a term, overlapping
/// lease grants, double votes and a group that does not recover.
#[test]
fn accepted_commands_survive_any_schedule() {
    if let Ok(seed) = env::var("FIREFLYSPOOL_FUZZ_SEED") {
        check_seed(seed.parse().expect("the seed is a number"));
        return;
    }
    if let Ok(seconds) = env::var("FIREFLYSPOOL_FUZZ_SECONDS") {
        let seconds = seconds.parse().expect("the duration is a number");
        let end = time::Instant::now() + time::Duration::from_secs(seconds);
        let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let first = since.expect("the clock is set").as_nanos() as u64;
        let mut count = 0;
        while time::Instant::now() < end {
            check_seed(first.wrapping_add(count));
            count += 1;
        }
        println!("{count} schedules of {STEPS} steps from seed {first}");
        return;
    }
    for seed in 1..=SEEDS {
        check_seed(seed);
    }
}

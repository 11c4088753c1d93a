//! Measurements of queue order and slow start with simulated backend servers.

use std::time;

use fireflyspool::dispatch;

use crate::simulation;

/// Every setting is run with each seed, and the samples are pooled.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Simulated time of a run.
const RUN_TIME: time::Duration = time::Duration::from_secs(100);

/// Runs a setting with every seed and prints the pooled results.
fn report(name: &str, run: impl Fn(u64) -> simulation::Simulation) {
    let runs = SEEDS.map(run);
    // Two slots per server; the results are void if a server ran more.
    let max_running = runs.iter().map(|run| run.max_running).max();
    assert!(max_running <= Some(2), "a server ran more than its slots");
    let (mut first_sends, mut hedges, mut failures) = (0, 0, 0);
    let mut latencies: Vec<time::Duration> = Vec::new();
    for run in &runs {
        latencies.extend(&run.latencies);
        first_sends += run.first_sends;
        hedges += run.hedges;
        failures += run.failures;
    }
    latencies.sort_unstable();
    let total = latencies.len();
    let quantile = |permille: usize| latencies[total * permille / 1_000].as_secs_f64() * 1_000.0;
    println!(
        "{name}: {total} queries, median {:.1} ms, p99 {:.1} ms, extra load {:.2}%, failed {failures}",
        quantile(500),
        quantile(990),
        100.0 * hedges as f64 / first_sends as f64,
    );
}

/// Prints the effect of hedges queued ahead of first attempts.
pub(crate) fn print_hedge_order() {
    let run = |hedges: Option<u64>, hedges_first, mixed_deadlines, seed| {
        let config = dispatch::Config {
            queue_limit: 100_000,
            hedges_first,
            ..dispatch::Config::default()
        };
        // 90 slots, 15 sub-requests per query, 22 ms mean service time: 204 queries/s use 75%.
        let mut simulation = simulation::Simulation::new(15, config, 204.0, seed);
        simulation.hedge_quantile = hedges;
        simulation.mixed_deadlines = mixed_deadlines;
        simulation.run(RUN_TIME);
        simulation
    };
    for mixed in [false, true] {
        let deadlines = if mixed {
            "mixed deadlines"
        } else {
            "equal deadlines"
        };
        let name = format!("{deadlines}, no hedges");
        report(&name, |seed| run(None, true, mixed, seed));
        for permille in [960, 980] {
            for first in [false, true] {
                let order = if first { "ahead" } else { "by deadline" };
                let name = format!("{deadlines}, hedges after {permille} permille, {order}");
                report(&name, |seed| run(Some(permille), first, mixed, seed));
            }
        }
    }
}

/// Prints the effect of slow start on a cold server that fails above one request.
pub(crate) fn print_cold_starts() {
    for slow_start in [false, true] {
        let name = format!("five cold starts in 20 s, slow start {slow_start}");
        report(&name, |seed| {
            let config = dispatch::Config {
                queue_limit: 100_000,
                slow_start,
                ..dispatch::Config::default()
            };
            // Five shards, 30 slots: 204 queries/s of 5 sub-requests use 75%.
            let mut simulation = simulation::Simulation::new(5, config, 204.0, seed);
            simulation.run(time::Duration::from_secs(20));
            simulation.latencies.clear();
            simulation.failures = 0;
            for server in 0..5 {
                simulation.restart(server);
                simulation.run(time::Duration::from_secs(4));
            }
            simulation
        });
    }
}

//! Processor time of plan and gather, and the effect of the owner choice on queues.
//!
//! `cargo run --release -p fireflyspool --example coordinator_cost`

#[path = "../tests/query_fixture/mod.rs"]
mod query_fixture;

use std::{fs, time};

use fireflyspool::{gather, plan};
use query_fixture::millis;

/// Processor time of this thread so far, in nanoseconds.
fn processor_time() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("readable");
    let first = text.split(' ').next().expect("has a first field");
    first.parse().expect("is a number")
}

/// Measures the processor time per sub-request; the capacity page allows 6 µs.
fn processor_time_per_sub_request() {
    for (shards, queries) in [(10, 20_000_u64), (56, 4_000), (200, 1_000)] {
        let start = time::Instant::now();
        let view = query_fixture::full_view(&[(4, shards)], 17, 3, start);
        let mut budgets = query_fixture::budgets(start);
        let mut now = start;
        let hits: Vec<_> = (0..10)
            .map(|number| query_fixture::hit(4, 1, number))
            .collect();
        let (mut planning, mut gathering, mut subs) = (0, 0, 0);
        for number in 0..queries {
            now += millis(1);
            let search = query_fixture::search(&format!("{number}-a"));
            let before = processor_time();
            let plan = plan::plan(&search, &view, now, number).expect("has a plan");
            let planned = processor_time();
            let (mut coordinator, actions) =
                gather::Coordinator::start(plan, search, &view, &mut budgets, now, number);
            let started = processor_time();
            planning += planned - before;
            gathering += started - planned;
            let replies: Vec<_> = query_fixture::dispatched(&actions)
                .into_iter()
                .map(|(owner, sub)| gather::Event::Replied {
                    sub: sub.sub,
                    owner,
                    outcome: query_fixture::answered(hits.clone(), 1),
                })
                .collect();
            subs += replies.len() as u64;
            let mut ended = false;
            let before = processor_time();
            for event in replies {
                let actions = coordinator.handle(event, &view, &mut budgets, now, number);
                std::hint::black_box(coordinator.next_wake());
                ended |= !actions.is_empty();
            }
            gathering += processor_time() - before;
            assert!(ended && coordinator.is_finished());
        }
        let (planning, gathering) = (planning / subs, gathering / subs);
        println!("{shards} shards: plan {planning} ns, gather {gathering} ns per sub-request");
    }
}

/// Measures how planning time grows with the number of servers, for the capacity page.
fn planning_time_by_number_of_servers() {
    let now = time::Instant::now();
    for (owners, replicas) in [(17, 3), (200, 9), (1_000, 27)] {
        let view = query_fixture::full_view(&[(4, 200)], owners, replicas, now);
        let search = query_fixture::search("1-a");
        let before = processor_time();
        for number in 0..500 {
            let plan = plan::plan(&search, &view, now, number).expect("has a plan");
            std::hint::black_box(plan);
        }
        let uncached = (processor_time() - before) / 500;
        let mut cache = plan::RouteCache::new();
        let before = processor_time();
        for number in 0..50_000 {
            let plan = cache.plan(&search, &view, now, number).expect("has a plan");
            std::hint::black_box(plan);
        }
        let cached = (processor_time() - before) / 50_000;
        let servers = view.servers.len();
        println!("{servers} servers, 200 shards: plan {uncached} ns, with cache {cached} ns");
    }
}

/// Replica with one queue and two slots, in virtual time.
#[derive(Clone, Default)]
struct Server {
    /// Times at which the slots become free, in microseconds.
    free_at: [u64; 2],
    /// Requests that wait or run.
    outstanding: u32,
    longest: u32,
}

const VMS: u64 = 16;
const SHARDS: u32 = 15;
const REPLICAS: u64 = 3;

/// Simulates queries of all VMs with random or least-outstanding owner choice;
/// returns the median and the 99th percentile of the query latency in
/// microseconds, and the longest queue of a server.
fn simulate(random: bool, utilization: f64, seed: u64) -> (u64, u64, u32) {
    let mut random_numbers = query_fixture::SplitMix64(seed);
    let unit =
        |random: &mut query_fixture::SplitMix64| random.below(1 << 30) as f64 / f64::from(1 << 30);
    let base = time::Instant::now();
    let mut loads: Vec<gather::OwnerLoads> = vec![gather::OwnerLoads::default(); VMS as usize];
    let mut servers = vec![Server::default(); (u64::from(SHARDS) * REPLICAS) as usize];
    let candidates = |shard: u32| {
        let owner = move |replica| 1 + (u64::from(shard) + replica * 5) % VMS;
        (0..REPLICAS).map(move |replica| plan::Candidate {
            owner: owner(replica),
            replicas: 1,
            slots: 2,
        })
    };
    // Service times are exponential with a mean of 20 ms.
    let mean_micros = 20_000.0;
    let interval = mean_micros / (2.0 * REPLICAS as f64 * utilization);
    let mut ends: Vec<(u64, usize, u64, u32, usize)> = Vec::new();
    let mut latencies = Vec::new();
    let mut at = 0.0;
    for _ in 0..40_000 {
        at += -(1.0 - unit(&mut random_numbers)).ln() * interval;
        let now = at as u64;
        ends.sort_unstable_by_key(|end| std::cmp::Reverse(end.0));
        while ends.last().is_some_and(|end| end.0 <= now) {
            let Some((ended, vm, owner, shard, server)) = ends.pop() else {
                break;
            };
            servers[server].outstanding -= 1;
            let queued = servers[server].outstanding.saturating_sub(2);
            loads[vm].ended(owner, shard);
            loads[vm].reported(owner, queued, base + time::Duration::from_micros(ended));
        }
        let vm = random_numbers.below(VMS) as usize;
        let instant = base + time::Duration::from_micros(now);
        let mut latency = 0;
        for shard in 0..SHARDS {
            let draw = random_numbers.next();
            let all: Vec<_> = candidates(shard).collect();
            let owner = if random {
                all[(draw % REPLICAS) as usize].owner
            } else {
                loads[vm]
                    .choose(all.iter().copied(), shard, instant, draw)
                    .expect("has a candidate")
            };
            let replica = all
                .iter()
                .position(|candidate| candidate.owner == owner)
                .expect("is a candidate");
            loads[vm].sent(owner, shard);
            let position = shard as usize * REPLICAS as usize + replica;
            let server = &mut servers[position];
            server.outstanding += 1;
            server.longest = server.longest.max(server.outstanding.saturating_sub(2));
            let slot = usize::from(server.free_at[1] < server.free_at[0]);
            let duration = (-(1.0 - unit(&mut random_numbers)).ln() * mean_micros) as u64;
            let end = server.free_at[slot].max(now) + duration;
            server.free_at[slot] = end;
            ends.push((end, vm, owner, shard, position));
            latency = latency.max(end - now);
        }
        latencies.push(latency);
    }
    latencies.sort_unstable();
    let quantile = |share: usize| latencies[latencies.len() * share / 100];
    let longest = servers
        .iter()
        .map(|server| server.longest)
        .max()
        .unwrap_or(0);
    (quantile(50), quantile(99), longest)
}

/// Compares least-outstanding owner choice with random choice.
fn queues_by_owner_choice() {
    for utilization in [0.5, 0.75] {
        let mut sums = [(0, 0, 0); 2];
        for seed in 1..=3 {
            for (random, sum) in [true, false].into_iter().zip(&mut sums) {
                let (median, tail, longest) = simulate(random, utilization, seed);
                *sum = (sum.0 + median / 3, sum.1 + tail / 3, sum.2.max(longest));
            }
        }
        for (name, (median, tail, longest)) in ["random", "least outstanding"].iter().zip(sums) {
            println!(
                "{utilization}: {name}: median {median} µs, p99 {tail} µs, longest queue {longest}"
            );
        }
    }
}

fn main() {
    processor_time_per_sub_request();
    planning_time_by_number_of_servers();
    queues_by_owner_choice();
}

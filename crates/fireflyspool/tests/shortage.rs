//! Admission during a shortage of capacity, compared with random refusal.

mod query_fixture;
mod shortage_site;

use shortage_site::{Decisions, Site, Tally};

const SEEDS: [u64; 2] = [1, 2];

/// Results of both decisions over all seeds, for the whole run and the phase of rejections.
fn play(decisions: Decisions) -> [[Tally; 3]; 2] {
    let mut sums = [[Tally::default(); 3]; 2];
    for seed in SEEDS {
        let site = Site::play(decisions, seed);
        println!("{decisions:?} seed {seed}: {} attempts", site.sends);
        for (sums, tallies) in sums.iter_mut().zip(site.tallies) {
            for (sum, tally) in sums.iter_mut().zip(tallies) {
                sum.add(&tally);
            }
        }
    }
    for (phase, tallies) in ["whole run", "rejections"].iter().zip(&sums) {
        for (route, tally) in ["sweep", "lookup", "single"].iter().zip(tallies) {
            println!("{decisions:?} {phase} {route}: {tally}");
        }
    }
    sums
}

fn value(tallies: &[Tally; 3]) -> f64 {
    tallies.iter().map(|tally| tally.value).sum()
}

/// Guards against a shortage that costs callers more than with random refusal, in total or
/// the urgent kind, and against a kind that starves.
#[test]
fn urgent_requests_keep_their_chance_in_a_shortage() {
    let random = play(Decisions::Random);
    let admission = play(Decisions::Admission);
    for phase in 0..2 {
        assert!(value(&admission[phase]) >= value(&random[phase]));
        assert!(admission[phase][0].served() >= random[phase][0].served());
    }
    let mut all = Tally::default();
    admission[0].iter().for_each(|tally| all.add(tally));
    for tally in &admission[0] {
        assert!(tally.served() >= 0.25 * all.served(), "starves: {tally}");
    }
}

//! Admission during a shortage of capacity, compared with random refusal.

mod query_fixture;
mod shortage_site;

use std::time;

use fireflyspool::{admission, outcome};
use query_fixture::millis;
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

/// Arrival of a request that costs `cost` sub-requests, while `rejections` of the attempts fail.
fn assessed(
    ticket: u64,
    kind: outcome::Kind,
    (cost, rejections, chance): (u32, f64, f64),
    now: time::Instant,
) -> admission::Event {
    let forecast = admission::Forecast {
        rejections,
        queues: 0.0,
        chance,
        objective: now + millis(200),
        entropy: ticket.wrapping_mul(0x9e37_79b9_7f4a_7c15),
    };
    admission::Event::Assessed {
        ticket,
        kind,
        deadline: now + millis(800),
        cost,
        forecast,
    }
}

const LIMITS: admission::Limits = admission::Limits {
    queue: 64,
    low_share: 150,
    paced: false,
};

/// Guards against a queue or refusals without a shortage: requests beyond the limit start too.
#[test]
fn without_a_shortage_every_request_starts_at_once() {
    let now = time::Instant::now();
    let mut admission = admission::Admission::new();
    for ticket in 0..100 {
        let event = assessed(ticket, outcome::Kind::Deferrable, (36, 0.05, 0.0), now);
        let actions = admission.handle(event, &LIMITS, now);
        assert_eq!(actions, [admission::Action::Start { ticket }]);
    }
}

/// Guards against callers that return all at once or too late, against a kind none of whose
/// requests start, and against an order by something else than urgency and cost.
#[test]
fn a_shortage_sheds_less_urgent_and_costly_requests_first() {
    let start = time::Instant::now();
    let mut admission = admission::Admission::new();
    let mut started = [0; 3];
    let mut retries = Vec::new();
    let arrivals = [
        (outcome::Kind::Urgent, 36, 0.2),
        (outcome::Kind::Interactive, 36, 0.2),
        (outcome::Kind::Interactive, 1, 0.2),
    ];
    for round in 0..1_000 {
        let now = start + millis(round * 500);
        for (place, (kind, cost, chance)) in arrivals.into_iter().enumerate() {
            let ticket = round * 3 + place as u64;
            let event = assessed(ticket, kind, (cost, 0.4, chance), now);
            for action in admission.handle(event, &LIMITS, now) {
                match action {
                    admission::Action::Start { ticket } => {
                        started[place] += 1;
                        // Half of the urgent ones fail.
                        let end = match place == 0 && round % 2 == 0 {
                            true => admission::End::Late,
                            false => admission::End::InTime,
                        };
                        let event = admission::Event::Ended { ticket, end };
                        admission.handle(event, &LIMITS, now);
                    }
                    admission::Action::Refuse { retry_after, .. } => retries.push(retry_after),
                }
            }
        }
    }
    let [urgent, costly, cheap] = started;
    println!(
        "started {started:?} of 1000 each, {} refused",
        retries.len()
    );
    assert!(costly < urgent && urgent < cheap && costly >= 20);
    retries.sort_unstable();
    let (least, most) = (retries[0], retries[retries.len() - 1]);
    assert!(most <= millis(800) / 3 && most - least >= millis(100));
}

/// Guards against a site with one priority that is ranked, and against kinds by the number
/// instead of the order of the priorities.
#[test]
fn kinds_follow_the_order_of_the_priorities() {
    assert_eq!(admission::KindRanking::new(&[3]).kind(3), None);
    let ranking = admission::KindRanking::new(&[1, 5, 9, 20]);
    let kinds = [1, 5, 9, 20, 0, 30].map(|priority| ranking.kind(priority));
    let [urgent, interactive, deferrable] = outcome::Kind::ALL.map(Some);
    let expected = [
        urgent,
        interactive,
        deferrable,
        deferrable,
        urgent,
        deferrable,
    ];
    assert_eq!(kinds, expected);
}

//! Order, shares, early refusal and pacing of admission.

mod admission_events;
mod query_fixture;

use std::time;

use fireflyspool::{admission, ids, outcome};
use query_fixture::millis;

/// Guards against starvation: while urgent requests wait, each lower kind keeps
/// its share of the starts.
#[test]
fn lower_kinds_keep_their_share() {
    let now = time::Instant::now();
    let mut admission = admission::Admission::new();
    let limits = admission::Limits {
        queue: 1_000,
        ..admission_events::limits()
    };
    let deadline = now + millis(60_000);
    let mut ticket = 0;
    let mut kinds = Vec::new();
    let mut running = Vec::new();
    for round in 0..2_000 {
        for kind in outcome::Kind::ALL {
            let wanted = if kind == outcome::Kind::Urgent { 2 } else { 1 };
            for _ in 0..wanted * usize::from(round % 10 < 4) {
                kinds.push((kind, false));
                let event = admission_events::arrived(ticket, kind, deadline + millis(ticket), 50);
                running.extend(admission_events::started(
                    &admission.handle(event, &limits, now),
                ));
                ticket += 1;
            }
        }
        if !running.is_empty() {
            let ticket: ids::Ticket = running.remove(0);
            kinds[ticket as usize].1 = true;
            let event = admission_events::ended(ticket, admission::End::Gone);
            running.extend(admission_events::started(
                &admission.handle(event, &limits, now),
            ));
        }
    }
    let ran = |kind| kinds.iter().filter(|entry| **entry == (kind, true)).count();
    let counts = outcome::Kind::ALL.map(ran);
    println!("ended by kind: {counts:?}");
    let total: usize = counts.iter().sum();
    assert!(counts[1] * 100 >= total * 9 && counts[2] * 100 >= total * 9);
    assert!(counts[0] * 10 >= total * 6, "urgent requests go first");
}

/// Guards against late refusals: a request that cannot be served by its deadline
/// is refused on arrival, with a retry time.
#[test]
fn request_that_would_miss_its_deadline_is_refused_on_arrival() {
    let now = time::Instant::now();
    let mut admission = admission::Admission::new();
    let limits = admission::Limits {
        queue: 1_000,
        ..admission_events::limits()
    };
    let interactive = outcome::Kind::Interactive;
    admission.handle(
        admission_events::arrived(0, interactive, now + millis(500), 200),
        &limits,
        now,
    );
    let later = now + millis(100);
    let end = admission_events::ended(0, admission::End::InTime);
    admission.handle(end, &limits, later);
    for ticket in 1..=4 {
        admission.handle(
            admission_events::arrived(ticket, interactive, later + millis(900), 200),
            &limits,
            later,
        );
    }
    assert_eq!((admission.running(), admission.waiting()), (1, 3));
    let event = admission_events::arrived(5, interactive, later + millis(200), 200);
    let in_time = admission.handle(event, &limits, later);
    assert!(
        in_time.is_empty(),
        "refused despite an earlier deadline: {in_time:?}"
    );
    let refused = admission.handle(
        admission_events::arrived(6, interactive, later + millis(201), 200),
        &limits,
        later,
    );
    let [
        admission::Action::Refuse {
            ticket: 6,
            reason,
            retry_after,
        },
    ] = refused[..]
    else {
        panic!("not refused: {refused:?}");
    };
    assert_eq!(reason, outcome::RefusalReason::Overloaded);
    assert!(retry_after >= millis(100));
}

/// Guards against deferrable requests raising the peak, and against holding them
/// back until they can no longer be served.
#[test]
fn deferrable_requests_wait_for_the_peak_to_pass() {
    let now = time::Instant::now();
    let mut admission = admission::Admission::new();
    let paced = admission::Limits {
        paced: true,
        ..admission_events::limits()
    };
    let deferrable = outcome::Kind::Deferrable;
    let event = admission_events::arrived(0, deferrable, now + millis(5_000), 9);
    assert!(admission.handle(event, &paced, now).is_empty());
    let urgent = admission.handle(
        admission_events::arrived(1, outcome::Kind::Urgent, now + millis(90), 9),
        &paced,
        now,
    );
    assert_eq!(admission_events::started(&urgent), [1]);
    let end = admission_events::ended(1, admission::End::InTime);
    let urgent_end = now + millis(20);
    assert!(admission.handle(end, &paced, urgent_end).is_empty());
    let mut at = urgent_end;
    let mut ran = Vec::new();
    while ran.is_empty() {
        at = admission.next_wake().expect("waits");
        assert!(at < now + millis(5_000), "held back past its deadline");
        ran = admission_events::started(&admission.handle(admission::Event::Timer, &paced, at));
    }
    assert_eq!((ran, at), (vec![0], now + millis(4_900)));
    let event = admission_events::arrived(2, deferrable, at + millis(5_000), 9);
    assert!(admission.handle(event, &paced, at).is_empty());
    let passed = admission.handle(admission::Event::Timer, &admission_events::limits(), at);
    assert_eq!(
        admission_events::started(&passed),
        [2],
        "starts when the peak has passed"
    );
}

/// Guards against refusing urgent requests because deferrable ones were slow.
#[test]
fn request_time_of_lower_kinds_does_not_refuse_urgent_requests() {
    let now = time::Instant::now();
    let mut admission = admission::Admission::new();
    let limits = admission_events::limits();
    let deferrable = outcome::Kind::Deferrable;
    let event = admission_events::arrived(0, deferrable, now + millis(9_000), 250);
    admission.handle(event, &limits, now);
    let start = now + millis(8_000);
    admission.handle(
        admission_events::ended(0, admission::End::InTime),
        &limits,
        start,
    );
    let later = start + millis(20);
    let urgent = |ticket, cost| {
        let deadline = later + millis(2_000);
        admission_events::arrived(ticket, outcome::Kind::Urgent, deadline, cost)
    };
    admission.handle(urgent(3, 8), &limits, start);
    admission.handle(
        admission_events::ended(3, admission::End::InTime),
        &limits,
        later,
    );
    assert_eq!(
        admission_events::started(&admission.handle(urgent(1, 280), &limits, later)),
        [1]
    );
    let waits = admission.handle(urgent(2, 60), &limits, later);
    assert!(waits.is_empty(), "{waits:?}");
}

//! Decisions of the searcher's state machine without clock or network.

mod support;

use std::time;

use fireflyspool::backend;
use fireflyspool_bench::searcher;

const STEP: time::Duration = time::Duration::from_millis(1);

fn machine(behaviour: searcher::Behaviour, now: time::Instant) -> searcher::Machine {
    let clock = searcher::Clock::new(now, time::Duration::from_secs(1_000));
    let mut machine = searcher::Machine::new(support::profile(behaviour), clock, now);
    machine.handle(searcher::Event::Timer, 0, now);
    machine
}

fn arrive(attempt: u64) -> searcher::Event {
    searcher::Event::Arrive {
        ticket: attempt,
        work: searcher::Work::Search(support::search(attempt, 1_000)),
    }
}

fn sight(machine: &mut searcher::Machine, now: time::Instant) -> searcher::Sight {
    let actions = machine.handle(searcher::Event::Look { ticket: 999 }, 0, now);
    let seen = actions.into_iter().find_map(|action| match action {
        searcher::Action::Reply {
            verdict: searcher::Verdict::Seen(sight),
            ..
        } => Some(*sight),
        _ => None,
    });
    seen.expect("a look is answered")
}

/// Guards against a cold searcher that bears any load.
#[test]
fn cold_searcher_crashes_above_its_limit_and_warm_one_does_not() {
    let behaviour = searcher::Behaviour {
        slots: 4,
        cold_time: time::Duration::from_secs(10),
        cold_limit: Some(1),
        ..support::behaviour(20)
    };
    let start = time::Instant::now();
    let mut cold = machine(behaviour.clone(), start);
    cold.handle(arrive(1), 0, start);
    let actions = cold.handle(arrive(2), 0, start);
    assert!(actions.contains(&searcher::Action::CloseConnections));
    assert!(actions.contains(&searcher::Action::Abandon(1)));
    let mut warm = machine(behaviour, start);
    let later = start + time::Duration::from_secs(11);
    warm.handle(searcher::Event::Timer, 0, later);
    for attempt in 1..=4 {
        warm.handle(arrive(attempt), 0, later);
    }
    assert_eq!(sight(&mut warm, later).counters.crashes, 0);
    warm.handle(searcher::Event::Control(searcher::Control::Cold), 0, later);
    warm.handle(arrive(5), 0, later);
    let after = later + time::Duration::from_millis(25);
    warm.handle(searcher::Event::Timer, 0, after);
    warm.handle(arrive(6), 0, after);
    warm.handle(arrive(7), 0, after);
    assert_eq!(sight(&mut warm, after).counters.crashes, 1);
}

/// Guards against a paused searcher that still answers or announces.
#[test]
fn paused_searcher_is_silent_and_resumes() {
    let start = time::Instant::now();
    let mut machine = machine(support::behaviour(10), start);
    machine.handle(searcher::Event::Control(searcher::Control::Pause), 0, start);
    assert!(machine.handle(arrive(1), 0, start + STEP).is_empty());
    assert_eq!(machine.next_time(), None);
    let later = start + time::Duration::from_secs(3);
    let actions = machine.handle(
        searcher::Event::Control(searcher::Control::Resume),
        0,
        later,
    );
    assert!(actions.contains(&searcher::Action::Announce { everywhere: false }));
    let finished = machine.handle(searcher::Event::Timer, 0, later + 10 * STEP);
    assert!(matches!(
        finished[0],
        searcher::Action::Reply { ticket: 1, .. }
    ));
}

/// Guards against load reports that are always true, so that reliance on them goes unnoticed.
#[test]
fn reported_load_lags_or_lies_on_request() {
    let start = time::Instant::now();
    let mut behaviour = support::behaviour(500);
    behaviour.load_lag = time::Duration::from_secs(5);
    let mut machine = machine(behaviour.clone(), start);
    machine.handle(arrive(1), 0, start + STEP);
    assert_eq!(
        sight(&mut machine, start + STEP).load,
        backend::Load::default()
    );
    behaviour.load_lag = time::Duration::ZERO;
    let lie = backend::Load {
        running: 7,
        queued: 9,
    };
    behaviour.false_load = Some(lie);
    let control = searcher::Control::Behave(Box::new(behaviour));
    machine.handle(searcher::Event::Control(control), 0, start + STEP);
    assert_eq!(sight(&mut machine, start + STEP).load, lie);
}

quickcheck::quickcheck! {
    /// Guards against more running work than slots, and against a request answered twice or never.
    fn slots_hold_and_every_request_ends_once(steps: Vec<u8>, slots: u8) -> bool {
        let slots = u32::from(slots % 4) + 1;
        let behaviour = searcher::Behaviour { slots, queue_limit: 5, ..support::behaviour(7) };
        let start = time::Instant::now();
        let mut machine = machine(behaviour, start);
        let mut now = start;
        let mut sent = 0;
        let mut ended = Vec::new();
        let mut note = |actions: Vec<searcher::Action>| for action in actions {
            match action {
                searcher::Action::Reply { ticket, .. } | searcher::Action::Abandon(ticket)
                    if ticket < 10_000 => ended.push(ticket),
                _ => {}
            }
        };
        for step in steps {
            now += STEP * u32::from(step % 5);
            let event = match step % 7 {
                0..=3 => { sent += 1; arrive(sent) }
                4 => searcher::Event::Cancel {
                    ticket: 10_000,
                    request: backend::CancelRequest { attempt: sent },
                },
                5 => searcher::Event::Control(searcher::Control::Crash),
                _ => searcher::Event::Timer,
            };
            note(machine.handle(event, u64::from(step), now));
        }
        note(machine.handle(searcher::Event::Timer, 0, now));
        for _ in 0..100 {
            now += STEP * 20;
            note(machine.handle(searcher::Event::Timer, 0, now));
        }
        ended.sort_unstable();
        let most = sight(&mut machine, now).counters.most_running;
        most <= slots && ended == (1..=sent).collect::<Vec<_>>()
    }
}

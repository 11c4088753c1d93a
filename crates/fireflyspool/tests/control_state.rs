//! Commands of the replicated control state.

mod common;

use fireflyspool::state;

fn define(service: &str, slots: u32) -> state::Operation {
    state::Operation::Change(state::Change::DefineService {
        service: service.to_owned(),
        slots,
        connections: 55,
        setup: std::time::Duration::from_millis(6),
    })
}

fn command(
    operator: &str,
    number: u64,
    expected: Option<u64>,
    change: state::Operation,
) -> state::Command {
    state::Command {
        operator: operator.to_owned(),
        number,
        expected,
        change,
    }
}

fn apply(control: &mut state::ControlState, command: &state::Command) -> state::Receipt {
    let entry = state::Entry::Command {
        command: command.clone(),
        stamped: 1_000_000,
    };
    match control.apply(&entry) {
        state::Applied::Command(receipt) => receipt,
        other => panic!("a command gives a receipt, not {other:?}"),
    }
}

fn restart(control: &state::ControlState) -> state::ControlState {
    state::ControlState::decode(&control.encode()).expect("own snapshots are valid")
}

/// Guards against taking two operators' commands for one because their numbers are equal,
/// and against a lost update: the refused operator must learn whose change came first.
#[test]
fn equal_numbers_of_two_operators_are_different_commands() {
    let mut control = state::ControlState::default();
    let first = apply(&mut control, &command("ann", 1, Some(0), define("a", 2)));
    let second = apply(&mut control, &command("bob", 1, Some(0), define("b", 2)));
    assert_eq!(first, state::Receipt::Accepted { revision: 1 });
    let lost = state::Receipt::LostRace {
        operator: "ann".to_owned(),
        number: 1,
        revision: 1,
    };
    assert_eq!(second, lost);
    assert!(!control.catalog.services.contains_key("b"));
    let third = apply(&mut control, &command("bob", 2, Some(1), define("b", 2)));
    assert_eq!(third, state::Receipt::Accepted { revision: 2 });
    // A resend of the refused command must not succeed because the state has changed since.
    let again = apply(&mut control, &command("bob", 1, Some(0), define("b", 2)));
    assert_eq!(again, lost);
}

/// Guards against naming the latest change instead of the first one that the operator missed.
#[test]
fn a_lost_race_names_the_first_change_that_came_before() {
    let mut control = state::ControlState::default();
    for (number, operator) in (1..=3).zip(["ann", "bob", "cy"]) {
        apply(
            &mut control,
            &command(operator, number, None, define("a", 2)),
        );
    }
    let lost = apply(&mut control, &command("dee", 9, Some(1), define("a", 3)));
    let expected = state::Receipt::LostRace {
        operator: "bob".to_owned(),
        number: 2,
        revision: 3,
    };
    assert_eq!(lost, expected);
}

/// Guards against an expected revision from another site or a typing error being accepted.
#[test]
fn an_expected_revision_in_the_future_is_refused() {
    let mut control = state::ControlState::default();
    let receipt = apply(&mut control, &command("ann", 1, Some(7), define("a", 2)));
    assert!(
        matches!(receipt, state::Receipt::Refused { .. }),
        "{receipt:?}"
    );
}

/// Guards against running other content under a number that has a receipt.
#[test]
fn same_number_with_other_content_is_a_conflict() {
    let mut control = state::ControlState::default();
    apply(&mut control, &command("ann", 1, None, define("a", 2)));
    let other = [
        command("ann", 1, None, define("a", 3)),
        command("ann", 1, Some(0), define("a", 2)),
    ];
    for command in &other {
        for mut control in [control.clone(), restart(&control)] {
            assert_eq!(apply(&mut control, command), state::Receipt::Conflict);
            assert_eq!(control.catalog.revision, 1);
        }
    }
}

/// Guards against a membership command without a receipt, and one that raises the revision.
#[test]
fn membership_commands_are_recorded() {
    let add = state::Operation::AddControl {
        node: 4,
        incarnation: 70,
        rpc: "127.0.0.1:7004".parse().expect("an address"),
    };
    let remove = state::Operation::RemoveControl { node: 4 };
    let mut control = state::ControlState::default();
    let accepted = state::Receipt::Accepted { revision: 0 };
    assert_eq!(
        apply(&mut control, &command("ann", 1, None, add.clone())),
        accepted
    );
    assert_eq!(apply(&mut control, &command("ann", 1, None, add)), accepted);
    let conflict = apply(&mut control, &command("ann", 1, None, remove));
    assert_eq!(conflict, state::Receipt::Conflict);
}

/// Guards against running a number again after its receipt was dropped.
#[test]
fn numbers_below_the_window_never_run() {
    let mut control = state::ControlState::default();
    let window = u64::try_from(state::RECEIPT_WINDOW).expect("a small number");
    // Odd numbers only, so that unused numbers lie below the window too.
    for step in 0..window + 10 {
        let receipt = apply(
            &mut control,
            &command("ann", 2 * step + 1, None, define("a", 2)),
        );
        assert!(
            matches!(receipt, state::Receipt::Accepted { .. }),
            "{receipt:?}"
        );
    }
    let revision = control.catalog.revision;
    for number in [1, 2, 19, 20] {
        let receipt = apply(&mut control, &command("ann", number, None, define("a", 9)));
        assert_eq!(receipt, state::Receipt::TooOld { oldest: 21 });
    }
    assert_eq!(control.catalog.revision, revision);
    let kept = apply(&mut control, &command("ann", 21, None, define("a", 2)));
    assert_eq!(kept, state::Receipt::Accepted { revision: 11 });
    // Each operator has a window of its own.
    let other = apply(&mut control, &command("bob", 1, None, define("a", 2)));
    assert!(
        matches!(other, state::Receipt::Accepted { .. }),
        "{other:?}"
    );
}

/// Guards against a resend that runs again or gets another answer, also after the state
/// was restored from a snapshot.
#[test]
fn resends_get_the_recorded_receipt_across_snapshots() {
    fn property(entries: common::Entries) -> bool {
        let mut script = common::Script::new(entries);
        let mut control = state::ControlState::default();
        let mut sent: Vec<(state::Command, state::Receipt)> = Vec::new();
        let mut accepted = 0;
        while !script.is_exhausted() {
            if !sent.is_empty() && script.chance(40) {
                let position = script.below(sent.len() as u64) as usize;
                let (command, receipt) = sent[position].clone();
                assert_eq!(apply(&mut control, &command), receipt);
            } else {
                let new = random_command(&mut script, control.catalog.revision);
                let same = |old: &state::Command| {
                    (&old.operator, old.number) == (&new.operator, new.number)
                };
                let used = sent.iter().find(|(old, _)| same(old)).cloned();
                let receipt = apply(&mut control, &new);
                match used {
                    Some((old, recorded)) if old == new => assert_eq!(receipt, recorded),
                    Some(_) => assert_eq!(receipt, state::Receipt::Conflict),
                    None => {
                        accepted += u64::from(matches!(receipt, state::Receipt::Accepted { .. }));
                        sent.push((new, receipt));
                    }
                }
            }
            assert_eq!(control.catalog.revision, accepted);
            assert_eq!(control.history.len() as u64, accepted);
            if script.chance(5) {
                let restored = restart(&control);
                assert_eq!(restored, control);
                control = restored;
            }
        }
        true
    }
    common::check(10, 20, 2_000, property);
}

fn random_command(script: &mut common::Script, revision: u64) -> state::Command {
    let operator = ["ann", "bob", "cy"][script.below(3) as usize];
    let number = 1 + script.below(60);
    let expected = revision.saturating_sub(script.below(3));
    let expected = script.chance(50).then_some(expected);
    let service = format!("s{}", script.below(4));
    let change = if script.chance(30) {
        state::Operation::Change(state::Change::DropService { service })
    } else {
        define(&service, 1 + script.below(4) as u32)
    };
    command(operator, number, expected, change)
}

/// Guards against an entry VM that applies the history and ends with another catalog.
#[test]
fn history_replays_to_the_catalog() {
    let mut control = state::ControlState::default();
    let count = state::HISTORY_LIMIT as u64 + 100;
    for number in 0..count {
        let change = define(&format!("s{}", number % 7), 1 + (number % 5) as u32);
        apply(&mut control, &command("ann", number, None, change));
    }
    assert!(control.history.since(99).is_none());
    let mut catalog = state::Catalog::default();
    for number in 0..count {
        let state::Operation::Change(change) =
            define(&format!("s{}", number % 7), 1 + (number % 5) as u32)
        else {
            unreachable!("define makes catalog changes");
        };
        if number == 100 {
            break;
        }
        catalog.apply(&change).expect("accepted before");
    }
    for record in control.history.since(100).expect("kept") {
        assert_eq!(catalog.apply(&record.change), Ok(record.revision));
    }
    assert_eq!(catalog, control.catalog);
    assert_eq!(control.history.since(count).expect("kept").count(), 0);
}

fn order(control: &mut state::ControlState, order: state::IdempotentCommand) -> bool {
    let applied = control.apply(&state::Entry::Idempotent(order));
    applied == state::Applied::Idempotent(state::IdempotentOutcome::Accepted)
}

/// Guards against an order about a zone that is held up between control VMs and takes effect
/// after later ones.
#[test]
fn an_order_that_later_ones_have_overtaken_has_no_effect() {
    let zone = || "a".to_owned();
    let take_out = |known| state::IdempotentCommand::TakeOutZone {
        zone: zone(),
        known,
    };
    let bring_back = |known| state::IdempotentCommand::BringBackZone {
        zone: zone(),
        known,
    };
    let mut control = state::ControlState::default();
    assert!(order(&mut control, take_out(Some(0))));
    assert!(order(&mut control, bring_back(Some(1))));
    assert!(order(&mut control, take_out(Some(2))));
    assert!(!order(&mut control, bring_back(Some(1))), "a stale return");
    assert!(control.catalog.is_zone_out("a"));
    control = restart(&control);
    assert!(order(&mut control, bring_back(Some(3))));
    assert!(
        !order(&mut control, take_out(Some(2))),
        "a stale evacuation"
    );
    assert!(!control.catalog.is_zone_out("a"));
}

/// Guards against a resent order that is refused, and against orders about one zone that stand
/// in the way of another.
#[test]
fn resent_orders_and_those_of_other_zones_are_accepted() {
    let mut control = state::ControlState::default();
    for zone in ["a", "b", "a", "b"] {
        let zone = zone.to_owned();
        let known = Some(control.catalog.revision);
        assert!(order(
            &mut control,
            state::IdempotentCommand::TakeOutZone { zone, known }
        ));
    }
    assert_eq!(control.catalog.zones_out.len(), 2);
}

fn departure(server: String, born: u64) -> fireflyspool::registry::Departure {
    fireflyspool::registry::Departure {
        server,
        born,
        phase: fireflyspool::registry::Phase::Gone,
    }
}

fn depart(
    control: &mut state::ControlState,
    departures: Vec<fireflyspool::registry::Departure>,
    stamped: u64,
) -> state::Applied {
    let command = state::IdempotentCommand::RecordDepartures {
        departures,
        stamped,
    };
    control.apply(&state::Entry::Idempotent(command))
}

/// Guards against a departure that a snapshot loses, that a clock which is set back keeps for
/// ever, or that a restart forgets before a delayed report has arrived.
#[test]
fn departures_are_kept_for_ten_minutes_across_restarts_and_clock_changes() {
    let mut control = state::ControlState::default();
    let first = departure("s1".to_owned(), 3);
    depart(&mut control, vec![first.clone()], 1_000_000);
    for stamped in [1_000_000 + 599_000, 0, 1_000_000] {
        depart(&mut control, Vec::new(), stamped);
        control = restart(&control);
        assert!(control.departures.contains(&first), "at {stamped}");
    }
    assert!(control.departures.contains(&departure("s1".to_owned(), 2)));
    assert!(!control.departures.contains(&departure("s1".to_owned(), 4)));
    depart(&mut control, Vec::new(), 1_000_000 + 600_000);
    assert!(!control.departures.contains(&first));
}

/// Guards against a table that grows without bound, and against an acknowledged departure that
/// makes room for another one.
#[test]
fn departures_without_room_are_refused_and_displace_none() {
    let mut control = state::ControlState::default();
    let departures: Vec<_> = (0..8_192)
        .map(|number| departure(format!("s{number}"), 1))
        .collect();
    depart(&mut control, departures.clone(), 1_000);
    let refused = depart(&mut control, vec![departure("t".to_owned(), 1)], 2_000);
    let full = state::Applied::Idempotent(state::IdempotentOutcome::Full);
    assert_eq!(refused, full);
    assert!(
        departures
            .iter()
            .all(|departure| control.departures.contains(departure))
    );
    let known = depart(&mut control, vec![departure("s7".to_owned(), 2)], 3_000);
    assert_ne!(known, full, "a known server needs no room");
}

/// Measures what departures cost in the log and in snapshots; docs/CAPACITY.md has the figures.
#[test]
#[ignore = "measures, decides nothing"]
fn the_cost_of_departures() {
    for count in [1_usize, 450, 900, 5_400] {
        let mut control = state::ControlState::default();
        let empty = control.encode().len();
        let departures: Vec<_> = (0..count)
            .map(|number| departure(format!("i-{number:08x}"), 1_764_880_000_000))
            .collect();
        let (mut bytes, started) = (0, std::time::Instant::now());
        for batch in departures.chunks(512) {
            let command = state::IdempotentCommand::RecordDepartures {
                departures: batch.to_vec(),
                stamped: 1_764_880_000_000,
            };
            let entry = state::Entry::Idempotent(command);
            bytes += entry.encode().len();
            control.apply(&entry);
        }
        let elapsed = started.elapsed();
        let snapshot = control.encode().len() - empty;
        println!(
            "{count} departures: {} entries, {bytes} B of the log, {snapshot} B of a snapshot, \
             {elapsed:?}",
            count.div_ceil(512)
        );
    }
}

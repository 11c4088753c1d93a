//! Rollouts in the replicated control state.

use std::time;

use fireflyspool::{rollout, state};

fn start(target: &str, seconds: u64, stamped: u64) -> state::IdempotentCommand {
    state::IdempotentCommand::StartRollout {
        service: "shard".to_owned(),
        start: rollout::Start {
            target: target.to_owned(),
            duration: time::Duration::from_secs(seconds),
            share: 20,
            stamped,
        },
    }
}

fn advance(number: u64, step: rollout::Step, stamped: u64) -> state::IdempotentCommand {
    state::IdempotentCommand::AdvanceRollout {
        service: "shard".to_owned(),
        number,
        step,
        stamped,
    }
}

/// Applies a command as the log holds it, on a state restored from its snapshot.
fn apply(
    control: &mut state::ControlState,
    command: state::IdempotentCommand,
) -> state::IdempotentOutcome {
    let entry = state::Entry::Idempotent(command);
    let entry = state::Entry::decode(&entry.encode()).expect("an entry");
    *control = state::ControlState::decode(&control.encode()).expect("a snapshot");
    match control.apply(&entry) {
        state::Applied::Idempotent(outcome) => outcome,
        other => panic!("an idempotent command gives an outcome, not {other:?}"),
    }
}

fn label(control: &state::ControlState) -> &'static str {
    match control.rollouts.get("shard") {
        None => "none",
        Some(rollout::AnyRollout::InService(_)) => "in service",
        Some(rollout::AnyRollout::Completed(_)) => "completed",
        Some(rollout::AnyRollout::RolledBack(_)) => "rolled back",
    }
}

/// Guards against a repeat that starts a rollout anew or is refused, against a second rollout of
/// a service that replaces the first one, and against the loss of either with a snapshot.
#[test]
fn a_repeat_is_accepted_and_another_rollout_in_progress_is_not_replaced() {
    let mut control = state::ControlState::default();
    let accepted = state::IdempotentOutcome::Accepted;
    let refused = state::IdempotentOutcome::RolloutInProgress;
    assert_eq!(apply(&mut control, start("v2", 30, 1_000)), accepted);
    let first = control.rollouts.clone();
    assert_eq!(apply(&mut control, start("v2", 30, 9_000)), accepted);
    assert_eq!(apply(&mut control, start("v3", 30, 9_000)), refused);
    assert_eq!(apply(&mut control, start("v2", 31, 9_000)), refused);
    assert_eq!(control.rollouts.get("shard"), first.get("shard"));
    let step = rollout::Step::Complete;
    apply(&mut control, advance(1, step, 20_000));
    assert_eq!(label(&control), "completed");
    assert_eq!(apply(&mut control, start("v2", 30, 21_000)), accepted);
    assert_eq!(label(&control), "completed");
    assert_eq!(apply(&mut control, start("v3", 30, 22_000)), accepted);
    assert_eq!(label(&control), "in service");
}

/// Guards against a step of a former rollout that ends the next one, a share that falls, an
/// ended rollout that changes, and a completion after the deadline.
#[test]
fn only_the_rollout_in_progress_advances_and_only_forward() {
    let mut control = state::ControlState::default();
    apply(&mut control, start("v2", 30, 1_000));
    let reason = rollout::Reason::Failures;
    apply(&mut control, advance(7, rollout::Step::Complete, 2_000));
    assert_eq!(label(&control), "in service");
    for share in [40, 30] {
        apply(
            &mut control,
            advance(1, rollout::Step::Raise { share }, 3_000),
        );
    }
    let share = control
        .rollouts
        .in_service()
        .next()
        .map(|(_, r)| r.state.share);
    assert_eq!(share, Some(40));
    apply(&mut control, advance(1, rollout::Step::Complete, 31_001));
    assert_eq!(label(&control), "in service");
    let step = rollout::Step::RollBack { reason };
    apply(&mut control, advance(1, step, 31_002));
    assert_eq!(label(&control), "rolled back");
    let revision = control.rollouts.revision();
    apply(&mut control, advance(1, rollout::Step::Complete, 5_000));
    assert_eq!(label(&control), "rolled back");
    assert_eq!(control.rollouts.revision(), revision);
}

/// Guards against snapshots of earlier releases that no longer decode.
#[test]
fn a_snapshot_without_rollouts_decodes() {
    let mut control = state::ControlState::default();
    let snapshot = String::from_utf8(control.encode()).expect("text");
    let mut value: serde_json::Value = serde_json::from_str(&snapshot).expect("JSON");
    value
        .as_object_mut()
        .expect("an object")
        .remove("rollouts")
        .expect("the field");
    let decoded = state::ControlState::decode(value.to_string().as_bytes());
    assert_eq!(decoded.expect("an older snapshot"), control);
    apply(&mut control, start("v2", 30, 1_000));
    assert_eq!(label(&control), "in service");
}

/// Guards against old servers that are stopped before entry VMs have learned of the completion,
/// and against a completion that is told only after the deadline.
#[test]
fn a_completion_is_told_after_a_moment_and_by_the_deadline() {
    let start = rollout::Start {
        target: "v2".to_owned(),
        duration: time::Duration::from_secs(30),
        share: 20,
        stamped: 0,
    };
    let rollout = rollout::Rollout::start(1, &start, 1_000);
    let early = rollout.clone().complete(26_000);
    assert!(!early.is_settled(26_499));
    assert!(early.is_settled(26_500));
    let late = rollout.complete(30_900);
    assert!(!late.is_settled(30_999));
    assert!(late.is_settled(31_000));
}

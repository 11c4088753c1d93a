//! Claims of non-idempotent requests.

mod common;

use std::sync::atomic;

use fireflyspool::state;

const DAY_MS: u64 = 24 * 3600 * 1000;
const START_MS: u64 = 1_700_000_000_000;

fn claim(
    control: &mut state::ControlState,
    request: &str,
    digest: u64,
    issued: u64,
) -> state::ClaimReply {
    let claim = state::Claim {
        request: request.to_owned(),
        claimant: new_claimant(),
        digest,
        issued,
    };
    apply_claim(control, claim)
}

/// Every claim in these tests has a claimant of its own.
fn new_claimant() -> u64 {
    static NEXT: atomic::AtomicU64 = atomic::AtomicU64::new(1);
    NEXT.fetch_add(1, atomic::Ordering::Relaxed)
}

fn apply_claim(control: &mut state::ControlState, claim: state::Claim) -> state::ClaimReply {
    match control.apply(&state::Entry::Claims(vec![claim])) {
        state::Applied::Claims(mut replies) if replies.len() == 1 => replies.remove(0),
        other => panic!("one claim gives one reply, not {other:?}"),
    }
}

fn record(control: &mut state::ControlState, request: &str, receipt: &str) {
    let outcome = state::ClaimOutcome {
        request: request.to_owned(),
        claimant: 0,
        end: state::ClaimEnd::Ran {
            receipt: receipt.to_owned(),
        },
    };
    control.apply(&state::Entry::ClaimOutcomes(vec![outcome]));
}

fn restart(control: &state::ControlState) -> state::ControlState {
    state::ControlState::decode(&control.encode()).expect("own snapshots are valid")
}

fn known(receipt: &str) -> state::ClaimReply {
    state::ClaimReply::Known {
        receipt: receipt.to_owned(),
    }
}

/// Guards against a second grant before and after the outcome is recorded.
#[test]
fn a_claim_is_granted_once() {
    let mut control = state::ControlState::default();
    let id = format!("{START_MS}-desk");
    assert_eq!(
        claim(&mut control, &id, 1, START_MS),
        state::ClaimReply::Granted
    );
    assert_eq!(
        claim(&mut control, &id, 1, START_MS + 5),
        state::ClaimReply::Unknown
    );
    assert_eq!(
        claim(&mut control, &id, 2, START_MS + 5),
        state::ClaimReply::Conflict
    );
    record(&mut control, &id, "r1");
    record(&mut control, &id, "r2");
    for mut control in [control.clone(), restart(&control)] {
        assert_eq!(claim(&mut control, &id, 1, START_MS + 9), known("r1"));
        assert_eq!(
            claim(&mut control, &id, 2, START_MS + 9),
            state::ClaimReply::Conflict
        );
    }
}

/// Guards against several spellings of one id, and against ids whose age is unknown.
#[test]
fn ids_without_a_plain_issue_time_are_refused() {
    let mut control = state::ControlState::default();
    let ahead = START_MS + 3_600_000;
    for id in [
        "desk".to_owned(),
        "-desk".to_owned(),
        format!("+{START_MS}-desk"),
        format!("0{START_MS}-desk"),
        format!("{START_MS}"),
        format!("{START_MS}-"),
        format!("{ahead}-desk"),
        "99999999999999999999999-desk".to_owned(),
    ] {
        let reply = claim(&mut control, &id, 1, START_MS);
        assert_eq!(reply, state::ClaimReply::Invalid, "{id}");
    }
    assert!(control.claims.is_empty());
}

/// Guards against running an id again after its claim was evicted because of its age,
/// even if the leader's clock is set back afterwards or the state is restored.
#[test]
fn an_expired_claim_never_runs_again() {
    let mut control = state::ControlState::default();
    let id = format!("{START_MS}-desk");
    assert_eq!(
        claim(&mut control, &id, 1, START_MS),
        state::ClaimReply::Granted
    );
    let late = START_MS + 2 * DAY_MS;
    let other = format!("{late}-desk");
    assert_eq!(
        claim(&mut control, &other, 1, late),
        state::ClaimReply::Granted
    );
    assert_eq!(control.claims.len(), 1, "the expired claim is evicted");
    for mut control in [control.clone(), restart(&control)] {
        for issued in [late, START_MS + 1, 0] {
            assert_eq!(
                claim(&mut control, &id, 1, issued),
                state::ClaimReply::TooOld
            );
        }
    }
}

/// Guards against unbounded memory, and against running an id again that was evicted
/// because there were too many.
#[test]
fn claims_are_bounded_in_number() {
    let mut control = state::ControlState::default();
    let count = 101_000;
    for number in 0..count {
        let issued = START_MS + number;
        let reply = claim(&mut control, &format!("{issued}-c"), number, issued);
        assert_eq!(reply, state::ClaimReply::Granted);
    }
    assert!(control.claims.len() <= 100_000, "{}", control.claims.len());
    let now = START_MS + count;
    let first = format!("{START_MS}-c");
    assert_eq!(
        claim(&mut control, &first, 0, now),
        state::ClaimReply::TooOld
    );
    let last = format!("{}-c", now - 1);
    assert_eq!(
        claim(&mut control, &last, count - 1, now),
        state::ClaimReply::Unknown
    );
}

/// Guards against any second grant under resends, pruning, clock jumps and snapshots.
#[test]
fn claims_run_at_most_once() {
    fn property(entries: common::Entries) -> bool {
        let mut script = common::Script::new(entries);
        let mut control = state::ControlState::default();
        let mut clock = START_MS;
        let mut granted: Vec<(String, u64)> = Vec::new();
        let mut outcomes: Vec<String> = Vec::new();
        while !script.is_exhausted() {
            // A new leader's clock may be behind or ahead of the last leader's.
            clock = clock.saturating_sub(script.below(3) * 400_000);
            clock += script.below(4) * 3_000_000;
            let resend = !granted.is_empty() && script.chance(50);
            if resend {
                let position = script.below(granted.len() as u64) as usize;
                let (id, digest) = granted[position].clone();
                if script.chance(20) && !outcomes.contains(&id) {
                    record(&mut control, &id, &format!("receipt of {id}"));
                    outcomes.push(id);
                } else {
                    let reply = claim(&mut control, &id, digest, clock);
                    let allowed = match reply {
                        state::ClaimReply::TooOld => true,
                        state::ClaimReply::Unknown => !outcomes.contains(&id),
                        reply => {
                            outcomes.contains(&id) && reply == known(&format!("receipt of {id}"))
                        }
                    };
                    assert!(allowed, "{id}");
                }
            } else {
                let issued = clock.saturating_sub(script.below(DAY_MS + DAY_MS / 4));
                let id = format!("{issued}-{}", script.below(3));
                let digest = script.below(1_000);
                let reply = claim(&mut control, &id, digest, clock);
                if reply == state::ClaimReply::Granted {
                    let again = granted.iter().any(|(other, _)| *other == id);
                    assert!(!again, "{id} is granted twice");
                    granted.push((id, digest));
                }
            }
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

/// Guards against a release that frees the claim of a later claimant, which
/// would let the request run a second time.
#[test]
fn only_the_claimant_releases_a_claim() {
    let mut control = state::ControlState::default();
    let request = format!("{START_MS}-desk");
    let claim = |claimant| state::Claim {
        request: request.clone(),
        claimant,
        digest: 1,
        issued: START_MS,
    };
    let release = |control: &mut state::ControlState, claimant| {
        let outcome = state::ClaimOutcome {
            request: request.clone(),
            claimant,
            end: state::ClaimEnd::NotRun,
        };
        control.apply(&state::Entry::ClaimOutcomes(vec![outcome]));
    };
    let granted = state::ClaimReply::Granted;
    assert_eq!(apply_claim(&mut control, claim(1)), granted);
    assert_eq!(apply_claim(&mut control, claim(1)), granted);
    release(&mut control, 2);
    assert_eq!(
        apply_claim(&mut control, claim(2)),
        state::ClaimReply::Unknown
    );
    release(&mut control, 1);
    assert_eq!(apply_claim(&mut control, claim(2)), granted);
    release(&mut control, 1);
    assert_eq!(
        apply_claim(&mut control, claim(3)),
        state::ClaimReply::Unknown
    );
    record(&mut control, &request, "r-1");
    release(&mut control, 2);
    assert_eq!(apply_claim(&mut control, claim(4)), known("r-1"));
}

//! Submissions under random events, checked against what really ran.

mod query_fixture;

use std::time;

use fireflyspool::{dispatch, gather, ids, outcome, view};
use query_fixture::millis;

const OWNERS: u64 = 4;

/// What happened to one sub-request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SubState {
    Open,
    Ran,
    NotRun,
    MayHaveRun,
}

type SentSub = (ids::NodeId, dispatch::SubRequest, SubState);

struct Run {
    choices: query_fixture::Choices,
    now: time::Instant,
    ends_at: time::Instant,
    view: view::View,
    budgets: gather::Budgets,
    coordinator: gather::SubmissionCoordinator,
    /// Whether the claim is open in the control state.
    claimed: bool,
    claim_answer: Option<gather::ClaimAnswer>,
    sent: Vec<SentSub>,
    recorded: Option<gather::ClaimEnd>,
    outcome: Option<outcome::Outcome>,
}

impl Run {
    fn new(list: Vec<u32>) -> Self {
        let mut choices = query_fixture::Choices::new(list);
        let now = time::Instant::now();
        let mut view = query_fixture::view(query_fixture::catalog(&[(1, 1)]), OWNERS, now);
        for _ in 0..choices.below(6) {
            let owner = 1 + choices.below(OWNERS as usize) as u64;
            query_fixture::add_server(&mut view, owner, &[(1, 0)]);
        }
        let submit = gather::Submit {
            request: "1-s".into(),
            service: query_fixture::SERVICE.into(),
            kind: outcome::Kind::Interactive,
            payload: "grant 4711".into(),
            deadline: millis(100),
        };
        let (coordinator, actions) = gather::SubmissionCoordinator::start(submit, now);
        assert!(matches!(
            actions[..],
            [gather::SubmissionAction::OpenClaim { .. }]
        ));
        Self {
            choices,
            now,
            ends_at: now + millis(100),
            view,
            budgets: query_fixture::budgets(now),
            coordinator,
            claimed: false,
            claim_answer: None,
            sent: Vec::new(),
            recorded: None,
            outcome: None,
        }
    }

    fn event(&mut self, event: gather::SubmissionEvent) {
        let entropy = self.choices.below(100) as u64;
        let actions =
            self.coordinator
                .handle(event, &self.view, &mut self.budgets, self.now, entropy);
        for action in actions {
            match action {
                gather::SubmissionAction::OpenClaim { .. } => panic!("claims twice"),
                gather::SubmissionAction::Dispatch { owner, sub } => {
                    assert!(self.claimed, "dispatched without a claim");
                    assert!(self.outcome.is_none() && self.recorded.is_none());
                    let none_ran = self.sent.iter().all(|sent| sent.2 == SubState::NotRun);
                    assert!(none_ran, "dispatched again: {:?}", self.sent);
                    let other = |sent: &SentSub| sent.0 != owner && sent.1.sub != sub.sub;
                    assert!(self.sent.iter().all(other));
                    self.sent.push((owner, sub, SubState::Open));
                }
                gather::SubmissionAction::Record { end, .. } => {
                    assert!(self.claimed, "recorded without a claim");
                    assert_eq!(self.recorded, None, "recorded twice");
                    let ran = self.sent.iter().any(|sent| sent.2 == SubState::Ran);
                    let none_ran = self.sent.iter().all(|sent| sent.2 == SubState::NotRun);
                    match &end {
                        gather::ClaimEnd::Ran(receipt) => assert!(ran && receipt == "r"),
                        gather::ClaimEnd::NotRun => assert!(none_ran, "recorded a wrong end"),
                    }
                    self.recorded = Some(end);
                }
                gather::SubmissionAction::Finish(outcome) => self.finish(outcome),
            }
        }
    }

    fn finish(&mut self, outcome: outcome::Outcome) {
        assert!(self.outcome.is_none(), "finished twice");
        let ran = self.sent.iter().any(|sent| sent.2 == SubState::Ran);
        let none_ran = self.sent.iter().all(|sent| sent.2 == SubState::NotRun);
        match &outcome {
            outcome::Outcome::Submitted { receipt, .. } => assert!(ran && receipt == "r"),
            outcome::Outcome::Known { receipt, .. } => assert_eq!(receipt, "earlier"),
            outcome::Outcome::NotRun(_) => {
                assert!(none_ran, "may have run, but reported as not run");
                let closed = self.recorded == Some(gather::ClaimEnd::NotRun);
                assert!(!self.claimed || closed, "the claim stays open");
            }
            outcome::Outcome::Unknown { .. } => assert!(!ran, "ran, but reported as unknown"),
            other => panic!("not an outcome of a submission: {other:?}"),
        }
        self.outcome = Some(outcome);
    }

    /// Delivers the answer to the claim; a duplicate has the same content.
    fn claim(&mut self) {
        let answer = match self.choices.below(12) {
            0 => gather::ClaimAnswer::Ran("earlier".into()),
            1 => gather::ClaimAnswer::Pending,
            2 => gather::ClaimAnswer::Conflict,
            3 => gather::ClaimAnswer::TooOld,
            4 => gather::ClaimAnswer::Refused {
                retry_after: millis(9),
            },
            5 => gather::ClaimAnswer::Lost,
            _ => gather::ClaimAnswer::Opened,
        };
        let answer = self.claim_answer.get_or_insert(answer).clone();
        self.claimed = answer == gather::ClaimAnswer::Opened;
        self.event(gather::SubmissionEvent::Claimed(answer));
    }

    fn reply(&mut self) {
        if self.sent.is_empty() {
            return;
        }
        let position = self.choices.below(self.sent.len());
        let (mut owner, sub, state) = (
            self.sent[position].0,
            self.sent[position].1.sub,
            self.sent[position].2,
        );
        let right_owner = !self.choices.chance(5);
        if !right_owner {
            owner += 1;
        }
        let submitted = dispatch::SubOutcome::Submitted {
            server: "s".into(),
            receipt: "r".into(),
        };
        let (outcome, new_state) = match self.choices.below(6) {
            0 | 1 => (submitted, SubState::Ran),
            2 | 3 => (
                query_fixture::not_run(dispatch::SkipCause::QueueFull),
                SubState::NotRun,
            ),
            4 => (
                query_fixture::failed("", dispatch::FailureCause::Reset),
                SubState::MayHaveRun,
            ),
            _ => (
                query_fixture::failed("", dispatch::FailureCause::Timeout),
                SubState::MayHaveRun,
            ),
        };
        if right_owner && state == SubState::Open {
            self.sent[position].2 = new_state;
        } else if right_owner && state != new_state {
            // An owner ends a sub-request once; a duplicate reply has the same content.
            return;
        }
        self.event(gather::SubmissionEvent::Replied {
            sub,
            owner,
            outcome,
        });
    }

    fn step(&mut self) {
        match self.choices.below(12) {
            0 => self.now += millis(self.choices.below(40) as u64),
            1 => self.event(gather::SubmissionEvent::Timer),
            2 => self.event(gather::SubmissionEvent::CallerGone),
            3 => {
                let owner = 1 + self.choices.below(OWNERS as usize) as u64;
                self.event(gather::SubmissionEvent::OwnerLost { owner });
            }
            4..=6 => self.claim(),
            _ => self.reply(),
        }
    }
}

fn run(list: Vec<u32>) {
    let mut run = Run::new(list);
    while !run.choices.is_over() {
        run.step();
    }
    run.now = run.now.max(run.ends_at);
    run.event(gather::SubmissionEvent::Timer);
    assert!(run.outcome.is_some(), "did not end at its deadline");
    assert_eq!(run.coordinator.next_wake(), None);
    for owner in 1..=OWNERS {
        let loads = &run.budgets.stats(query_fixture::SERVICE).loads;
        assert_eq!(
            loads.outstanding(owner),
            0,
            "load of owner {owner} is still counted"
        );
    }
    // A claim that is opened after the end is recorded as not run, because nothing was sent.
    if run.claim_answer.is_none() {
        run.claimed = true;
        run.event(gather::SubmissionEvent::Claimed(
            gather::ClaimAnswer::Opened,
        ));
        assert_eq!(run.recorded, Some(gather::ClaimEnd::NotRun));
    }
}

/// Guards against a non-idempotent request that runs twice, a wrong "not run" and
/// a claim that is closed with a wrong result.
#[test]
fn submissions_run_at_most_once_under_random_events() {
    query_fixture::fuzz("submissions", 60, run);
}

//! Caller of a read.

use std::time;

use crate::{ids, outcome, plan};

/// One caller that waits for the answer of a read, which may be shared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reader {
    /// Ticket of its request.
    pub ticket: ids::Ticket,
    /// Identifier that the caller gave to the request.
    pub request: ids::RequestId,
    /// Priority class of the request.
    pub kind: outcome::Kind,
    /// When the request was received.
    pub received: time::Instant,
    /// Time from receipt within which the caller needs the answer.
    pub deadline: time::Duration,
}

impl Reader {
    /// Caller of a search.
    pub fn new(ticket: ids::Ticket, search: &plan::Search, received: time::Instant) -> Self {
        Self {
            ticket,
            request: search.request.clone(),
            kind: search.kind,
            received,
            deadline: search.deadline,
        }
    }

    /// When the deadline passes.
    pub fn ends_at(&self) -> time::Instant {
        self.received + self.deadline
    }

    /// Copy of the outcome of an identical read, with this caller's request id and deadline.
    pub(super) fn adopt(&self, outcome: &outcome::Outcome, now: time::Instant) -> outcome::Outcome {
        let mut adopted = outcome.clone();
        match &mut adopted {
            outcome::Outcome::Complete(answer) | outcome::Outcome::Partial(answer) => {
                answer.request.clone_from(&self.request);
                answer.deadline = self.deadline;
                answer.elapsed = now.saturating_duration_since(self.received);
            }
            outcome::Outcome::NotRun(refusal) => {
                refusal.request.clone_from(&self.request);
                refusal.deadline = self.deadline;
            }
            outcome::Outcome::Submitted { request, .. }
            | outcome::Outcome::Known { request, .. }
            | outcome::Outcome::Unknown { request, .. } => request.clone_from(&self.request),
        }
        adopted
    }
}

//! Admission of the requests that an entry VM forwards.

use std::time;

use tokio::sync::oneshot;

use crate::{admission, ids, outcome, sorted};

/// Share of starts that each kind below urgent keeps while requests wait, in permille.
const LOW_SHARE: u64 = 150;

/// Most requests that wait. Each one waits for a fraction of its objective only, so more
/// could not start in time.
const QUEUE_LIMIT: usize = 64;

const LIMITS: admission::Limits = admission::Limits {
    queue: QUEUE_LIMIT,
    low_share: LOW_SHARE,
    paced: false,
};

/// Admission with the requests that wait for its decision.
#[derive(Default)]
pub(super) struct AdmissionGate {
    admission: admission::Admission,
    waiting: sorted::SortedMap<ids::Ticket, oneshot::Sender<admission::Action>>,
    last_ticket: ids::Ticket,
}

impl AdmissionGate {
    /// Reports an arrival; the receiver gets the decision.
    pub(super) fn arrive(
        &mut self,
        kind: outcome::Kind,
        deadline: time::Instant,
        cost: u32,
        forecast: admission::Forecast,
        now: time::Instant,
    ) -> (ids::Ticket, oneshot::Receiver<admission::Action>) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(ticket, sender);
        let event = admission::Event::Assessed {
            ticket,
            kind,
            deadline,
            cost,
            forecast,
        };
        self.handle(event, now);
        (ticket, receiver)
    }

    /// Reports an event, and passes on the decisions that follow.
    pub(super) fn handle(&mut self, event: admission::Event, now: time::Instant) {
        if let admission::Event::Ended { ticket, .. } = event {
            self.waiting.remove(&ticket);
        }
        for action in self.admission.handle(event, &LIMITS, now) {
            let (admission::Action::Start { ticket } | admission::Action::Refuse { ticket, .. }) =
                action;
            if let Some(sender) = self.waiting.remove(&ticket) {
                // A request whose receiver is dropped reports its end itself.
                let _ = sender.send(action);
            }
        }
    }

    /// When a waiting request has waited for too long.
    pub(super) fn next_wake(&self) -> Option<time::Instant> {
        self.admission.next_wake()
    }
}

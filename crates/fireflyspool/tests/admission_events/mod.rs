//! Shorthands for events and actions of admission.

#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::time;

use fireflyspool::{admission, ids, outcome};

pub(crate) const QUEUE_LIMIT: usize = 12;

pub(crate) fn limits() -> admission::Limits {
    admission::Limits {
        queue: QUEUE_LIMIT,
        low_share: 100,
        paced: false,
    }
}

pub(crate) fn arrived(
    ticket: ids::Ticket,
    kind: outcome::Kind,
    deadline: time::Instant,
    cost: u32,
) -> admission::Event {
    admission::Event::Arrived {
        ticket,
        kind,
        deadline,
        cost,
    }
}

pub(crate) fn ended(ticket: ids::Ticket, end: admission::End) -> admission::Event {
    admission::Event::Ended { ticket, end }
}

/// Tickets of the requests that the actions start.
pub(crate) fn started(actions: &[admission::Action]) -> Vec<ids::Ticket> {
    let start = |action: &admission::Action| match action {
        admission::Action::Start { ticket } => Some(*ticket),
        admission::Action::Refuse { .. } => None,
    };
    actions.iter().filter_map(start).collect()
}

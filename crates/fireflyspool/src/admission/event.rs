//! What happens to requests on an entry VM.

use std::time;

use crate::{admission, ids, outcome};

/// Event of admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request arrived.
    Arrived {
        /// New ticket of the request.
        ticket: ids::Ticket,
        /// Priority class.
        kind: outcome::Kind,
        /// When the caller needs the answer.
        deadline: time::Instant,
        /// Sub-requests that it will send, at least one.
        cost: u32,
    },
    /// A request that was started ended, or the caller of a waiting one went away.
    Ended {
        /// Ticket of the request.
        ticket: ids::Ticket,
        /// How it ended.
        end: admission::End,
    },
    /// The time of [`super::Admission::next_wake`] has come.
    Timer,
}

//! Events that the driver reports to admission.

use std::time;

use crate::{admission, ids, outcome};

/// Event of admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A request arrived.
    Arrived {
        /// New ticket of the request.
        ticket: ids::Ticket,
        /// Priority class of the request.
        kind: outcome::Kind,
        /// Latest time at which the answer is useful to the caller.
        deadline: time::Instant,
        /// Number of sub-requests that it will send; zero counts as one.
        cost: u32,
    },
    /// A request arrived whose chance at the backend servers is known. It starts at once
    /// unless capacity is short.
    Assessed {
        /// New ticket of the request.
        ticket: ids::Ticket,
        /// Kind by the order of the priorities.
        kind: outcome::Kind,
        /// Latest time at which the answer is useful to the caller.
        deadline: time::Instant,
        /// Number of sub-requests that it will send; zero counts as one.
        cost: u32,
        /// What it can expect from the backend servers.
        forecast: admission::Forecast,
    },
    /// A started request ended, or the caller of a waiting one disconnected.
    Ended {
        /// Ticket of the request.
        ticket: ids::Ticket,
        /// How it ended.
        end: admission::End,
    },
    /// The time given by [`super::Admission::next_wake`] was reached.
    Timer,
}

//! What the machine asks its driver to do.

use std::time;

use fireflyspool::ids;

use crate::searcher;

/// One effect, executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answers a waiting request after the network delay.
    Reply {
        /// Request that waits.
        ticket: ids::Ticket,
        /// Answer.
        verdict: searcher::Verdict,
        /// Network delay before it is sent.
        delay: time::Duration,
    },
    /// Leaves a request without an answer, as a process that crashed does.
    Abandon(ids::Ticket),
    /// Closes every connection of the announced address.
    CloseConnections,
    /// Sends an announcement.
    Announce {
        /// Whether it goes to every entry address, as it does at a change of phase.
        everywhere: bool,
    },
    /// Ends the searcher.
    End,
}

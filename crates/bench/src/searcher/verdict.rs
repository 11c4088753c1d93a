//! Answers of the machine.

use std::time;

use fireflyspool::{backend, ids};

use crate::searcher;

/// Answer to one event that carries a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Hits of one shard.
    Found(backend::SearchReply),
    /// Receipt of a submission.
    Submitted(backend::SubmitReply),
    /// Refused or stopped, with the HTTP status.
    Refused(u16, backend::RefusedReply),
    /// Result of a cancellation.
    Cancel(searcher::CancelReply),
    /// The connection may be served after its set-up time.
    Admitted {
        /// Incarnation that admits it.
        incarnation: ids::Incarnation,
        /// Set-up time.
        setup: time::Duration,
    },
    /// The connection is to be closed.
    Rejected,
    /// State for those who look.
    Seen(Box<searcher::Sight>),
}

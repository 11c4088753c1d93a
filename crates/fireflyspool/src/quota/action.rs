//! What the driver of a token queue must do.

use std::net;

use crate::{ids, quota};

/// Effect of a decision of [`quota::TokenQueue`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask a control VM for tokens, and pass its answer to [`quota::TokenQueue::call_ended`].
    Call {
        /// Listener of the control VM.
        hub: net::SocketAddr,
        /// Tokens by account.
        asks: Vec<quota::Ask>,
    },
    /// A request has its token, or gets none.
    Finish {
        /// Ticket of the request.
        ticket: ids::Ticket,
        /// Whether it may run.
        result: Result<(), quota::Denial>,
    },
}

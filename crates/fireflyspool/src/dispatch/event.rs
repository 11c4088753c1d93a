//! Input of a dispatcher, reported by its driver.

use crate::{backend, dispatch, ids};

/// Message from a coordinator, result from a backend server, or change of this VM.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A coordinator submits a sub-request.
    Submit(dispatch::SubRequest),
    /// A coordinator no longer needs a sub-request.
    Cancel {
        /// Entry VM that coordinates the request.
        coordinator: ids::NodeId,
        /// Incarnation of that entry VM's process.
        incarnation: ids::Incarnation,
        /// Sub-request to cancel.
        sub: ids::SubRequestId,
    },
    /// A backend server answered a search.
    Answered {
        /// Attempt on whose connection the reply came.
        attempt: ids::AttemptId,
        /// Reply, not yet checked.
        reply: backend::SearchReply,
    },
    /// A backend server answered a submission.
    Submitted {
        /// Attempt on whose connection the reply came.
        attempt: ids::AttemptId,
        /// Reply, not yet checked.
        reply: backend::SubmitReply,
    },
    /// The backend server refused an attempt.
    Refused {
        /// Attempt on whose connection the reply came.
        attempt: ids::AttemptId,
        /// HTTP status.
        status: u16,
        /// Reply, not yet checked.
        reply: backend::RefusedReply,
    },
    /// The connection of an attempt broke, timed out or could not be opened.
    ConnectionLost {
        /// Attempt that used the connection.
        attempt: ids::AttemptId,
        /// Whether any byte of the request may have been sent.
        sent: bool,
    },
    /// The reply to an attempt could not be parsed or had an unexpected status.
    InvalidReply {
        /// Attempt on whose connection the reply came.
        attempt: ids::AttemptId,
    },
    /// The backend server answered a cancellation.
    CancelAnswered {
        /// Attempt that was to be cancelled.
        attempt: ids::AttemptId,
        /// State of the attempt at the backend server.
        state: backend::CancelState,
    },
    /// A cancellation could not be delivered.
    CancelFailed {
        /// Attempt that was to be cancelled.
        attempt: ids::AttemptId,
    },
    /// One connection of [`dispatch::Action::OpenConnections`] was opened.
    ConnectionOpened {
        /// Backend server.
        server: ids::ServerName,
        /// Incarnation from the action.
        incarnation: ids::Incarnation,
    },
    /// One connection of [`dispatch::Action::OpenConnections`] could not be opened.
    ConnectionFailed {
        /// Backend server.
        server: ids::ServerName,
        /// Incarnation from the action.
        incarnation: ids::Incarnation,
    },
    /// A new view was published.
    ViewChanged,
    /// The time returned by [`dispatch::Dispatcher::next_wake`] has come.
    Timer,
    /// This entry VM shuts down: accepted sub-requests finish, then all servers are released.
    Drain,
}

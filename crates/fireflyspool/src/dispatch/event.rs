//! What the driver of a dispatcher reports.

use crate::{backend, dispatch, ids};

/// Input of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A coordinator hands over a sub-request.
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
    /// A search was answered.
    Answered {
        /// Attempt on whose connection the reply came.
        attempt: ids::AttemptId,
        /// Reply, not yet checked.
        reply: backend::SearchReply,
    },
    /// A submission was answered.
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
    /// The connection of an attempt broke or could not be opened.
    ConnectionLost {
        /// Attempt that used the connection.
        attempt: ids::AttemptId,
        /// Whether any byte may have left.
        sent: bool,
    },
    /// The reply to an attempt could not be read, or had a status that means nothing here.
    InvalidReply {
        /// Attempt on whose connection the reply came.
        attempt: ids::AttemptId,
    },
    /// The backend server answered a cancellation.
    CancelAnswered {
        /// Attempt that was to be cancelled.
        attempt: ids::AttemptId,
        /// What became of it.
        state: backend::CancelState,
    },
    /// A cancellation could not be delivered.
    CancelFailed {
        /// Attempt that was to be cancelled.
        attempt: ids::AttemptId,
    },
    /// One connection was opened ahead of need.
    ConnectionOpened {
        /// Backend server.
        server: ids::ServerName,
        /// Incarnation named by [`dispatch::Action::OpenConnections`].
        incarnation: ids::Incarnation,
    },
    /// One connection could not be opened ahead of need.
    ConnectionFailed {
        /// Backend server.
        server: ids::ServerName,
        /// Incarnation named by [`dispatch::Action::OpenConnections`].
        incarnation: ids::Incarnation,
    },
    /// A new view was published.
    ViewChanged,
    /// The time named by [`dispatch::Dispatcher::next_wake`] has come.
    Timer,
    /// This entry VM shuts down: finish what waits and runs, then release everything.
    Drain,
}

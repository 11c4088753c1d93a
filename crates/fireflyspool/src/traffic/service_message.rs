//! Messages to the task of one service.

use tokio::sync::oneshot;

use crate::{dispatch, ids};

/// Input of a [`super::ServiceTask`].
pub enum ServiceMessage {
    /// A sub-request, with the place where its one result goes.
    Submit(
        Box<dispatch::SubRequest>,
        oneshot::Sender<dispatch::SubOutcome>,
    ),
    /// Anything else that the dispatcher handles.
    Event(dispatch::Event),
    /// Asks whether the task has a client for a backend server.
    HasClient(ids::ServerName, oneshot::Sender<bool>),
    /// Asks for the figures of the dispatcher.
    Gauges(oneshot::Sender<dispatch::Gauges>),
}

//! Messages to the task of one service.

use tokio::sync::oneshot;

use crate::{dispatch, ids};

/// Input of a [`super::ServiceTask`].
pub enum ServiceMessage {
    /// A sub-request and the channel for its single outcome.
    Submit(
        Box<dispatch::SubRequest>,
        oneshot::Sender<dispatch::SubOutcome>,
    ),
    /// Any other event for the dispatcher.
    Event(dispatch::Event),
    /// Asks whether the task has a client for a backend server.
    HasClient(ids::ServerName, oneshot::Sender<bool>),
    /// Asks for the gauges of the dispatcher.
    Gauges(oneshot::Sender<dispatch::Gauges>),
}

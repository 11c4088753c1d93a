//! Messages to the admission task.

use tokio::sync::oneshot;

use crate::{admission, ids};

/// Input of a [`super::AdmissionTask`].
pub enum AdmissionMessage {
    /// A request arrived; the decision goes to the sender.
    Arrived(admission::Event, oneshot::Sender<admission::Action>),
    /// A request ended.
    Ended(ids::Ticket, admission::End),
    /// The time at which admission wanted to be called again has come.
    Timer,
}

//! Messages to the admission task.

use tokio::sync::oneshot;

use crate::{admission, ids};

/// Input of a [`super::AdmissionTask`].
pub enum AdmissionMessage {
    /// A request arrived; the channel receives the decision.
    Arrived(admission::Event, oneshot::Sender<admission::Action>),
    /// A request ended.
    Ended(ids::Ticket, admission::End),
    /// The wake-up time that admission asked for has passed.
    Timer,
}

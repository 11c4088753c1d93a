//! Somebody who waits for the commit of an entry.

use tokio::sync::oneshot;

use crate::{control, state};

/// Receiver of the result of one proposed entry.
///
/// A receiver that has gone away is ignored: its caller has given up, and a
/// resend finds the recorded result.
pub(super) enum Waiter {
    /// An operator's command.
    Command(oneshot::Sender<control::ProposeReply>),
    /// Claims that travel in one entry.
    Claims(Vec<oneshot::Sender<state::ClaimReply>>),
    /// Outcomes of claims that travel in one entry.
    Outcomes(Vec<oneshot::Sender<()>>),
    /// An order.
    Order(oneshot::Sender<control::OrderReply>),
}

impl Waiter {
    /// Passes the result of the applied entry on.
    pub(super) fn resolve(self, applied: state::Applied) {
        match (self, applied) {
            (Self::Command(reply), state::Applied::Command(receipt)) => {
                let _ = reply.send(control::ProposeReply::Decided { receipt });
            }
            (Self::Claims(replies), state::Applied::Claims(answers)) => {
                for (reply, answer) in replies.into_iter().zip(answers) {
                    let _ = reply.send(answer);
                }
            }
            (Self::Outcomes(replies), state::Applied::ClaimOutcomes) => {
                for reply in replies {
                    let _ = reply.send(());
                }
            }
            (Self::Order(reply), state::Applied::Idempotent(outcome)) => {
                let _ = reply.send(control::OrderReply::Done { outcome });
            }
            // Dropping the sender makes the caller ask the next leader.
            _ => {}
        }
    }

    /// Tells that the entry is not committed here.
    pub(super) fn fail(self, answer: control::ProposeReply) {
        match (self, answer) {
            (Self::Command(reply), answer) => {
                let _ = reply.send(answer);
            }
            (Self::Order(reply), control::ProposeReply::NotLeader { leader }) => {
                let _ = reply.send(control::OrderReply::NotLeader { leader });
            }
            // Dropping the sender leaves the result open.
            _ => {}
        }
    }
}

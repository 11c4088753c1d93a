//! Reply channels that wait for the commit of an entry.

use tokio::sync::oneshot;

use crate::{control, state};

/// Reply channels for the result of one proposed entry.
///
/// A closed channel is ignored: its caller has stopped waiting, and a resend
/// finds the recorded result.
pub(super) enum Waiter {
    /// An operator's command.
    Command(oneshot::Sender<control::ProposeReply>),
    /// The claims of one entry, in its order.
    Claims(Vec<oneshot::Sender<state::ClaimReply>>),
    /// The outcomes of claims of one entry, in its order.
    Outcomes(Vec<oneshot::Sender<()>>),
    /// An idempotent command.
    Idempotent(oneshot::Sender<control::IdempotentReply>),
}

impl Waiter {
    /// Replies with the result of the applied entry.
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
            (Self::Idempotent(reply), state::Applied::Idempotent(outcome)) => {
                let _ = reply.send(control::IdempotentReply::Done { outcome });
            }
            // Dropping the channel makes the caller ask the next leader.
            _ => {}
        }
    }

    /// Replies that this replica did not commit the entry.
    pub(super) fn fail(self, answer: control::ProposeReply) {
        match (self, answer) {
            (Self::Command(reply), answer) => {
                let _ = reply.send(answer);
            }
            (Self::Idempotent(reply), control::ProposeReply::NotLeader { leader, listener }) => {
                let _ = reply.send(control::IdempotentReply::NotLeader { leader, listener });
            }
            // The dropped channel tells the caller that the result is unknown.
            _ => {}
        }
    }
}

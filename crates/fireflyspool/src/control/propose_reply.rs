//! Reply to a proposed command.

use std::net;

use crate::{ids, state};

/// Reply of a control VM to an operator's command.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum ProposeReply {
    /// The command is committed; the receipt says whether it was accepted.
    Decided {
        /// Receipt, recorded so that a resent command gets the same one.
        receipt: state::Receipt,
    },
    /// A change of the control group was refused.
    RefusedChange {
        /// Reason, for the operator.
        detail: String,
    },
    /// This VM does not lead and proposed nothing.
    NotLeader {
        /// Current leader, if known.
        leader: Option<ids::NodeId>,
        /// Listener of that leader, if known.
        #[serde(default)]
        listener: Option<net::SocketAddr>,
    },
    /// Leadership was lost before the command committed; it may still commit.
    Uncertain,
}

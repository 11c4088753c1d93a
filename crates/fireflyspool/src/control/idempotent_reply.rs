//! Reply to an idempotent command.

use std::net;

use crate::{ids, state};

/// Reply of a control VM to an idempotent command.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum IdempotentReply {
    /// The command is committed and applied.
    Done {
        /// Result of the command.
        outcome: state::IdempotentOutcome,
    },
    /// This VM does not lead and proposed nothing.
    NotLeader {
        /// Current leader, if known.
        leader: Option<ids::NodeId>,
        /// Listener of that leader, if known.
        #[serde(default)]
        listener: Option<net::SocketAddr>,
    },
}

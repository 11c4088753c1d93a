//! Answer to a proposed command.

use crate::{ids, state};

/// What a control VM says to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum ProposeReply {
    /// The command is decided.
    Decided {
        /// Receipt, recorded for resends.
        receipt: state::Receipt,
    },
    /// The change of the control group is refused.
    RefusedChange {
        /// Cause.
        detail: String,
    },
    /// This VM does not lead; nothing happened.
    NotLeader {
        /// Leader, if known.
        leader: Option<ids::NodeId>,
    },
    /// Leadership was lost while the command was open; it may be accepted or not.
    Uncertain,
}

//! Answer to an order.

use crate::{ids, state};

/// What a control VM says to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum OrderReply {
    /// The order is applied.
    Done {
        /// Outcome.
        outcome: state::IdempotentOutcome,
    },
    /// This VM does not lead; nothing happened.
    NotLeader {
        /// Leader, if known.
        leader: Option<ids::NodeId>,
    },
}

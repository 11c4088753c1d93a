//! Reply to a claim.

/// Decision on a claim, for the entry VM that asked for it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "claim", rename_all = "snake_case")]
pub enum ClaimReply {
    /// The request may be sent once, by the receiver of this reply.
    Granted,
    /// The request ran before.
    Known {
        /// Receipt of the backend server that ran it.
        receipt: String,
    },
    /// The request was claimed before and may have run; it must not be sent.
    Unknown,
    /// The id was claimed for other content.
    Conflict,
    /// The id was issued before the retention period; the request must not be sent.
    TooOld,
    /// The id carries no issue time, or one too far ahead of the leader's clock.
    Invalid,
}

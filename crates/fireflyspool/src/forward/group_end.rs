//! How the delegation of a group ended.

/// End of a [`crate::forward::Delegation`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupEnd {
    /// The entry VM sent its last answer.
    Answered,
    /// The entry VM refused the group; nothing of it ran.
    Refused,
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The connection broke or an answer does not match the group; attempts may have run.
    Broken,
    /// The deadline passed; attempts may have run.
    TimedOut,
}

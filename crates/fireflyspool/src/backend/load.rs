//! Load of a backend server.

/// Number of requests at a backend server at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Requests being run.
    pub running: u32,
    /// Requests waiting for a slot.
    pub queued: u32,
}

//! A delegated group that has not ended.

use std::{net, time};

use crate::ids;

/// Group that another entry VM gathers.
#[derive(Debug)]
pub(super) struct RunningGroup {
    pub(super) id: ids::AttemptId,
    /// Listener of the other entry VM.
    pub(super) delegate: net::SocketAddr,
    /// Index in the exchange of each sub-request of the group; `None` once no further answer
    /// of the other entry VM is expected for it.
    pub(super) indexes: Vec<Option<usize>>,
    /// When it was started, and once it is written, when that was done.
    pub(super) sent: time::Instant,
    pub(super) written: bool,
    /// When its shards are hedged unless an answer says which ones are missing; `None` once
    /// either has happened.
    pub(super) hedge_at: Option<time::Instant>,
}

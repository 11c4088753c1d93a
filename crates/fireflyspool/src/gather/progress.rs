//! Progress of one shard.

use std::time;

use crate::{gather, ids};

/// Attempts and result of one shard.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) stage: gather::stage::Stage,
    /// At most two: an attempt and its hedge.
    pub(super) attempts: Vec<gather::attempt::Attempt>,
    /// Whether a hedge was sent.
    pub(super) hedged: bool,
    /// When a hedge is considered; `None` once one was sent.
    pub(super) hedge_at: Option<time::Instant>,
    /// Owners that were tried, one entry per attempt.
    pub(super) tried: Vec<ids::NodeId>,
    /// Servers that were tried.
    pub(super) excluded: Vec<ids::ServerName>,
    /// Whether the owner named the server of the last failure.
    pub(super) named: bool,
    /// Failures after which it may have run.
    pub(super) failures: u32,
    /// Failures that were resets.
    pub(super) resets: u32,
    /// Waits for the result of the attempt that probes a suspicion.
    pub(super) parked: bool,
    /// An owner stated that the version is not hosted.
    pub(super) unhosted: bool,
}

impl Progress {
    pub(super) fn new() -> Self {
        Self {
            stage: gather::stage::Stage::Open,
            attempts: Vec::new(),
            hedged: false,
            hedge_at: None,
            tried: Vec::new(),
            excluded: Vec::new(),
            named: false,
            failures: 0,
            resets: 0,
            parked: false,
            unhosted: false,
        }
    }

    pub(super) fn is_open(&self) -> bool {
        matches!(self.stage, gather::stage::Stage::Open)
    }

    /// Removes the attempt with this number if it is under way at this owner.
    pub(super) fn take(
        &mut self,
        sub: ids::SubRequestId,
        owner: ids::NodeId,
    ) -> Option<gather::attempt::Attempt> {
        let matches =
            |attempt: &gather::attempt::Attempt| attempt.sub == sub && attempt.owner == owner;
        let position = self.attempts.iter().position(matches)?;
        Some(self.attempts.swap_remove(position))
    }
}

//! State of the exchange with another hub.

use std::time;

use crate::{hub, ids, sorted};

/// Another hub, with what it has reported and acknowledged.
#[derive(Debug, Default)]
pub(super) struct Peer {
    /// Description of the peer; `None` before its first batch.
    pub(super) info: Option<hub::HubInfo>,
    /// Version of the configuration that the peer holds.
    pub(super) version: ids::ConfigVersion,
    /// Catalog revision of the peer's list of zones taken out.
    pub(super) revision: ids::Revision,
    /// Revision of the peer's rollouts.
    pub(super) rollout_revision: ids::Revision,
    /// Own revision of the list of outliers in the last batch sent.
    pub(super) sent_outliers: u64,
    /// Incarnation of the peer that acknowledged `acked`.
    pub(super) incarnation: Option<ids::Incarnation>,
    /// Position up to which the peer has acknowledged the changes.
    pub(super) acked: ids::ChangePosition,
    /// Position up to which the peer has acknowledged the contents that crash servers.
    pub(super) acked_contents: u64,
    /// What the batch in flight covers; `None` if no batch is in flight.
    pub(super) in_flight: Option<hub::covered::Covered>,
    /// Revision of the own followers up to which the peer has their records; `None` if it
    /// has none or does not keep them.
    pub(super) followers: Option<ids::Revision>,
    /// When the last regular batch was sent, which lists the followers of this hub.
    pub(super) regular_sent: Option<time::Instant>,
    /// End of the pause after a failed batch.
    pub(super) paused_until: Option<time::Instant>,
    /// When the last batch or acknowledgement of the peer arrived.
    pub(super) last_seen: Option<time::Instant>,
    /// Last answer that stated the end of the peer's log.
    pub(super) proof: Option<hub::proof::Proof>,
    /// Backend servers whose heartbeats arrived here since the last batch.
    pub(super) refreshed: sorted::SortedMap<ids::ServerName, ()>,
}

impl Peer {
    /// When the next regular batch is due; `None` if none was sent yet.
    pub(super) fn due(&self, interval: time::Duration) -> Option<time::Instant> {
        self.regular_sent.map(|sent| sent + interval)
    }

    /// Whether no batch is in flight and the pause after a failed one is over.
    pub(super) fn may_send(&self, now: time::Instant) -> bool {
        self.in_flight.is_none() && self.paused_until.is_none_or(|until| until <= now)
    }

    pub(super) fn is_reachable(&self, timeout: time::Duration, now: time::Instant) -> bool {
        self.last_seen
            .is_some_and(|last| now.saturating_duration_since(last) <= timeout)
    }
}

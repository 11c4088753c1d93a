//! Another hub, as this one sees it.

use std::time;

use crate::{hub, ids, sorted};

/// State of the exchange with one hub.
#[derive(Debug, Default)]
pub(super) struct Peer {
    /// What the peer said about itself; `None` before its first batch.
    pub(super) info: Option<hub::HubInfo>,
    /// Version of the configuration that the peer holds.
    pub(super) version: ids::ConfigVersion,
    /// Revision of the zones that the peer holds.
    pub(super) revision: ids::Revision,
    /// Revision of the list of outliers that was sent last.
    pub(super) sent_outliers: u64,
    /// Incarnation of the peer that acknowledged `acked`.
    pub(super) incarnation: Option<ids::Incarnation>,
    /// Changes up to here are acknowledged.
    pub(super) acked: ids::ChangePosition,
    /// Position that the batch on its way covers.
    pub(super) in_flight: Option<ids::ChangePosition>,
    /// When the peer was last told of the entry VMs that follow here.
    pub(super) regular_sent: Option<time::Instant>,
    /// Until when no batch is sent, after one that failed.
    pub(super) paused_until: Option<time::Instant>,
    /// When the peer was last heard, by batch or acknowledgement.
    pub(super) last_heard: Option<time::Instant>,
    /// Backend servers that reported here since the last batch.
    pub(super) refreshed: sorted::SortedMap<ids::ServerName, ()>,
}

impl Peer {
    /// When the next batch is due, apart from urgent changes.
    pub(super) fn due(&self, exchange: time::Duration) -> Option<time::Instant> {
        self.regular_sent.map(|told| told + exchange)
    }

    /// Whether the pause after a failure is over.
    pub(super) fn may_send(&self, now: time::Instant) -> bool {
        self.in_flight.is_none() && self.paused_until.is_none_or(|until| until <= now)
    }

    pub(super) fn is_reachable(&self, timeout: time::Duration, now: time::Instant) -> bool {
        self.last_heard
            .is_some_and(|heard| now.saturating_duration_since(heard) <= timeout)
    }
}

//! View of an entry VM.

use std::{sync, time};

use crate::{backend, ids, sorted, state, view};

/// Snapshot of catalog and roster that a traffic thread may act on until the lease ends.
#[derive(Clone, Debug)]
pub struct View {
    /// Number of this VM.
    pub node: ids::NodeId,
    /// End of the lease; `None` if none was ever granted.
    pub lease_until: Option<time::Instant>,
    /// Catalog of the revision that is in force here.
    pub catalog: sync::Arc<state::Catalog>,
    /// Live entry VMs.
    pub members: sync::Arc<sorted::SortedMap<ids::NodeId, view::Member>>,
    /// Announced backend servers.
    pub servers: sync::Arc<sorted::SortedMap<ids::ServerName, view::ServerRecord>>,
    /// Fingerprints of requests that crashed backend servers, with the number of crashes.
    pub suspects: sync::Arc<sorted::SortedMap<ids::Fingerprint, u32>>,
}

impl View {
    /// Creates a view without a lease.
    pub fn empty(node: ids::NodeId) -> Self {
        Self {
            node,
            lease_until: None,
            catalog: sync::Arc::default(),
            members: sync::Arc::default(),
            servers: sync::Arc::default(),
            suspects: sync::Arc::default(),
        }
    }

    /// Whether the lease is valid, so that this view may be acted on.
    pub fn may_act(&self, now: time::Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// Whether a backend server may receive new work: ready and not taken out.
    pub fn is_eligible(&self, record: &view::ServerRecord) -> bool {
        let announcement = &record.announcement;
        announcement.phase == backend::Phase::Ready
            && !self.catalog.is_zone_out(&announcement.zone)
            && !self.catalog.is_server_out(&announcement.server)
    }

    /// Most concurrent requests of a backend server: the lower of its service's limit and
    /// the one that it announced.
    pub fn slots(&self, record: &view::ServerRecord) -> u32 {
        let announced = record.announcement.slots;
        let service = self.catalog.services.get(&record.announcement.service);
        service.map_or(announced, |service| service.slots.min(announced))
    }
}

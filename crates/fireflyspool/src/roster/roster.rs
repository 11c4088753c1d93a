//! Soft state of one leader.

use std::time;

use super::{holder_key, tables};
use crate::{ids, roster, state, view};

/// Live entry VMs, backend servers, owners, leases and suspects of one term.
///
/// A new leader starts without knowledge. Until its own lease duration has
/// passed it assigns nothing and answers no revision as in force, because
/// leases that an earlier leader granted may be outstanding.
#[derive(Clone, Debug)]
pub struct Roster {
    config: roster::Config,
    settle_at: time::Instant,
    settled: bool,
    tables: tables::Tables,
    zones_out: Vec<ids::ZoneName>,
    /// Whether owners must be chosen again.
    stale: bool,
    /// Nothing expires before this time.
    check_at: time::Instant,
}

impl Roster {
    /// Soft state of a leader that was elected at `now`.
    pub fn new(term: ids::Term, now: time::Instant, config: roster::Config) -> Self {
        let settle_at = now + config.lease;
        Self {
            config,
            settle_at,
            settled: false,
            tables: tables::Tables::new(term, &config),
            zones_out: Vec::new(),
            stale: false,
            check_at: settle_at,
        }
    }

    /// Handles a renewal; the driver calls it only while the leader may grant leases.
    pub fn renew(
        &mut self,
        request: &roster::RenewRequest,
        control: &state::ControlState,
        now: time::Instant,
    ) -> roster::Grant {
        self.expire(now);
        if !self.zones_out.iter().eq(control.catalog.zones_out.keys()) {
            self.zones_out = control.catalog.zones_out.keys().cloned().collect();
            self.stale = true;
        }
        let version = self.tables.log.version();
        let admitted = self.tables.members.admits(request, version);
        if admitted {
            self.ingest(request, now);
        }
        self.assign_owners();
        let whole = request.whole_catalog;
        roster::Grant {
            incarnation: request.member.incarnation,
            number: request.number,
            lease: if admitted {
                self.config.lease
            } else {
                time::Duration::ZERO
            },
            revision: control.catalog.revision,
            catalog: roster::CatalogUpdate::since(control, request.revision, whole),
            roster: self.tables.since(request.roster, self.settled),
        }
    }

    /// Handles everything that ends at or before `now`.
    pub fn expire(&mut self, now: time::Instant) {
        if now < self.check_at {
            return;
        }
        if !self.settled && now >= self.settle_at {
            self.settled = true;
            self.stale = true;
            self.tables.confirm_ownerless();
        }
        self.stale |= self.tables.expire(now);
        self.assign_owners();
        let settle = (!self.settled).then_some(self.settle_at);
        let ends = [settle, self.tables.next_end()];
        // Without anything to expire, the next check is due after a lease at the latest.
        let idle = now + self.config.lease;
        self.check_at = ends.into_iter().flatten().fold(idle, time::Instant::min);
    }

    /// When [`Self::expire`] is to be called next; it may then find nothing to do.
    pub fn next_deadline(&self) -> time::Instant {
        self.check_at
    }

    /// Whether every holder of a valid lease has confirmed a revision.
    pub fn in_force(&self, revision: ids::Revision, now: time::Instant) -> roster::InForce {
        let unknown = (now < self.settle_at).then_some(self.settle_at);
        match (self.tables.leases.behind(revision, now), unknown) {
            (None, None) => roster::InForce::Yes,
            (None, Some(until)) => roster::InForce::Waiting {
                until,
                members: Vec::new(),
            },
            (Some((until, members)), unknown) => roster::InForce::Waiting {
                until: unknown.map_or(until, |unknown| unknown.max(until)),
                members,
            },
        }
    }

    /// Version after the last change.
    pub fn version(&self) -> roster::Version {
        self.tables.log.version()
    }

    /// Live entry VMs in ascending order.
    pub fn members(&self) -> impl Iterator<Item = &view::Member> {
        self.tables.members.iter()
    }

    /// Announced backend servers in ascending order.
    pub fn servers(&self) -> impl Iterator<Item = view::ServerRecord> {
        let changes = self.tables.servers.changes();
        changes.filter_map(|change| change.record)
    }

    fn ingest(&mut self, request: &roster::RenewRequest, now: time::Instant) {
        let key = holder_key::HolderKey::of(&request.member);
        let until = now + self.config.lease;
        self.check_at = self.check_at.min(until);
        // A delayed request still extends the lease, but its content is outdated.
        if !self.tables.leases.renew(key, request, until) {
            return;
        }
        let tables = &mut self.tables;
        self.stale |= tables.ingest_member(&request.member);
        self.stale |= tables.ingest_reports(request, now);
        self.stale |= tables.ingest_holds(request, self.settled, now);
        for changed in &request.announcements {
            let age = time::Duration::from_millis(changed.age_ms);
            let lifetime = self.config.announcement_lifetime.saturating_sub(age);
            self.check_at = self.check_at.min(now + lifetime);
        }
    }

    /// Chooses owners again if anything changed that they depend on.
    fn assign_owners(&mut self) {
        if self.settled && std::mem::take(&mut self.stale) {
            self.tables.assign_owners(&self.zones_out);
        }
    }
}

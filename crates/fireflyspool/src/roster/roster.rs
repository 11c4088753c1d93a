//! Soft state of the leader of one term.

use std::time;

use super::{holder_key, tables};
use crate::{ids, roster, state, view};

/// Entry VMs, leases, backend servers, owners and suspects of one term.
///
/// A new leader starts with an empty roster. Until its own lease duration has
/// passed it assigns no owner and reports no revision as in force, because leases
/// granted by an earlier leader may be outstanding.
#[derive(Clone, Debug)]
pub struct Roster {
    config: roster::Config,
    /// When all leases of earlier terms have expired.
    settle_at: time::Instant,
    settled: bool,
    tables: tables::Tables,
    zones_out: Vec<ids::ZoneName>,
    /// Whether owners must be chosen again.
    reassign: bool,
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
            reassign: false,
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
            self.reassign = true;
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

    /// Handles everything that expires at or before `now`, and settling.
    pub fn expire(&mut self, now: time::Instant) {
        if now < self.check_at {
            return;
        }
        if !self.settled && now >= self.settle_at {
            self.settled = true;
            self.reassign = true;
            self.tables.republish_ownerless();
        }
        self.reassign |= self.tables.expire(now);
        self.assign_owners();
        let settle = (!self.settled).then_some(self.settle_at);
        let expiries = [settle, self.tables.next_expiry()];
        // With nothing to expire, the next check is due after one lease duration.
        let idle = now + self.config.lease;
        self.check_at = expiries
            .into_iter()
            .flatten()
            .fold(idle, time::Instant::min);
    }

    /// When to call [`Self::expire`] next; nothing may have expired by then.
    pub fn next_deadline(&self) -> time::Instant {
        self.check_at
    }

    /// Whether every holder of a valid lease has confirmed a revision.
    pub fn in_force(&self, revision: ids::Revision, now: time::Instant) -> roster::InForce {
        // Leases of earlier terms, which this leader may not know, expire by then.
        let unknown = (now < self.settle_at).then_some(self.settle_at);
        match (self.tables.leases.lagging(revision, now), unknown) {
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

    /// Version of the latest change.
    pub fn version(&self) -> roster::Version {
        self.tables.log.version()
    }

    /// Entry VMs with a lease, in ascending order of node.
    pub fn members(&self) -> impl Iterator<Item = &view::Member> {
        self.tables.members.iter()
    }

    /// Announced backend servers, in ascending order of name.
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
        self.reassign |= tables.ingest_member(&request.member);
        self.reassign |= tables.ingest_reports(request, now);
        self.reassign |= tables.ingest_holds(request, self.settled, now);
        for changed in &request.announcements {
            let age = time::Duration::from_millis(changed.age_ms);
            let lifetime = self.config.announcement_lifetime.saturating_sub(age);
            self.check_at = self.check_at.min(now + lifetime);
        }
    }

    /// Chooses owners again if anything changed that they depend on.
    fn assign_owners(&mut self) {
        if self.settled && std::mem::take(&mut self.reassign) {
            self.tables.assign_owners(&self.zones_out);
        }
    }
}

//! Lease holder of an entry VM.

use std::{sync, time};

use super::{catalog_copy, holds, pending_reports, received_announcements, roster_copy, warnings};
use crate::{backend, ids, lease, roster, view};

/// Lease, catalog and roster of one process of an entry VM.
///
/// The driver calls [`Self::request`], records when it sends the request, and
/// passes the reply to [`Self::reply`] with that time.
#[derive(Clone, Debug)]
pub struct Holder {
    member: view::Member,
    /// Number of the latest request.
    last_request: u64,
    /// Greatest number of a request whose reply was handled.
    last_handled: u64,
    lease_until: Option<time::Instant>,
    catalog: catalog_copy::CatalogCopy,
    roster: roster_copy::RosterCopy,
    holds: holds::Holds,
    announcements: received_announcements::ReceivedAnnouncements,
    pub(super) reports: pending_reports::PendingReports,
    pub(super) warnings: warnings::Warnings,
}

impl Holder {
    /// A holder without a lease.
    pub fn new(member: view::Member, config: lease::Config) -> Self {
        Self {
            member,
            last_request: 0,
            last_handled: 0,
            lease_until: None,
            catalog: catalog_copy::CatalogCopy::default(),
            roster: roster_copy::RosterCopy::default(),
            holds: holds::Holds::default(),
            announcements: received_announcements::ReceivedAnnouncements::new(&config),
            reports: pending_reports::PendingReports::new(config.crash_limit),
            warnings: warnings::Warnings::new(config.crash_limit),
        }
    }

    /// Handles a received announcement; returns whether to renew before the regular renewal.
    ///
    /// Changed content of a known backend server, such as its phase, incarnation or hosted
    /// shards, is in the view at once, before the leader has published it.
    pub fn handle_announcement(
        &mut self,
        announcement: &backend::Announcement,
        now: time::Instant,
    ) -> bool {
        let published = self.roster.published_server(&announcement.server);
        let published = published.map(|record| &record.announcement);
        let Some(due) = self.announcements.record(announcement, published, now) else {
            return false;
        };
        let known = self.roster.servers.get(&announcement.server);
        if known.is_some_and(|known| !roster::has_same_content(&known.announcement, announcement)) {
            self.roster.set_announcement(announcement);
        }
        due
    }

    /// Creates the next renewal request, which confirms the catalog revision of the view.
    ///
    /// That view must have been published before.
    pub fn request(&mut self, now: time::Instant) -> roster::RenewRequest {
        self.check_expiry(now);
        self.warnings.expire(now);
        self.last_request += 1;
        let mut request = roster::RenewRequest {
            member: self.member.clone(),
            number: self.last_request,
            revision: self.catalog.catalog.revision,
            roster: self.roster.version,
            whole_catalog: self.catalog.needs_whole,
            holds: self.holds.reported(),
            refreshes: Vec::new(),
            announcements: Vec::new(),
            crashes: Vec::new(),
            suspects: Vec::new(),
        };
        self.announcements.add_to(&mut request, now);
        self.reports.add_to(&mut request);
        request
    }

    /// Handles the reply to a request that was sent at `sent_at`.
    pub fn reply(
        &mut self,
        reply: roster::RenewReply,
        sent_at: time::Instant,
        now: time::Instant,
    ) -> lease::Effect {
        self.check_expiry(now);
        let roster::RenewReply::Granted(grant) = reply else {
            return lease::Effect::default();
        };
        let update = &grant.roster;
        let outdated =
            grant.number <= self.last_handled || update.version.term < self.roster.newest.term;
        if outdated
            || grant.incarnation != self.member.incarnation
            || grant.number > self.last_request
        {
            return lease::Effect::default();
        }
        self.last_handled = grant.number;
        // A process that never had a lease renews at once after a refusal, to show that it has
        // read the reply. A refusal after an earlier lease means that another process uses the
        // node number of this VM; renewing at once, the two would replace each other continuously.
        let first_refusal = grant.lease.is_zero() && self.lease_until.is_none();
        let first_of_term = update.version.term > self.roster.newest.term;
        if first_of_term {
            // The new leader does not know of grants that arrived after this request was created.
            self.lapse_holds(Some(grant.number));
            self.announcements.note_new_leader();
            let suspects = sync::Arc::clone(&self.roster.suspects);
            self.reports.inherit(
                suspects
                    .iter()
                    .map(|(fingerprint, crashes)| (*fingerprint, *crashes)),
            );
        }
        let caught_up = self.catalog.update(grant.revision, grant.catalog);
        let fits = self.roster.fits(update);
        // A valid lease implies the revision and the roster of the reply, so both must be applied.
        if caught_up && fits && !grant.lease.is_zero() {
            self.lease_until = self.lease_until.max(Some(sent_at + grant.lease));
            self.reports.acknowledge(grant.number);
        }
        if fits {
            let granted = !grant.lease.is_zero();
            self.update_roster(update, granted, now);
        } else {
            self.roster.version = None;
        }
        lease::Effect {
            publish: true,
            renew: first_of_term || !caught_up || !fits || first_refusal,
        }
    }

    /// Current view, to be published to the traffic threads.
    pub fn view(&self) -> view::View {
        view::View {
            node: self.member.node,
            lease_until: self.lease_until,
            catalog: sync::Arc::clone(&self.catalog.catalog),
            members: sync::Arc::clone(&self.roster.members),
            servers: sync::Arc::clone(&self.roster.servers),
            suspects: self.warnings.merge(&self.roster.suspects),
        }
    }

    /// Marks the process as shutting down; this is final.
    pub fn set_leaving(&mut self) {
        self.member.leaving = true;
    }

    /// Sets the share of capacity in use, in permille.
    pub fn set_load(&mut self, load: u32) {
        self.member.load = load;
    }

    /// Backend servers whose connections must be closed, ascending.
    pub fn to_release(&self) -> Vec<ids::ServerName> {
        self.holds.to_release()
    }

    /// Records that all connections to a backend server of [`Self::to_release`] are closed.
    pub fn mark_released(&mut self, server: &str) {
        self.holds.mark_released(server);
    }

    /// Gives up all ownership if the lease has expired.
    ///
    /// The leader may then have assigned the backend servers to other processes.
    fn check_expiry(&mut self, now: time::Instant) {
        if self.lease_until.is_some_and(|until| until <= now) {
            self.lapse_holds(None);
        }
    }

    /// Gives up ownership that the request with the number `reported` did not report; `None`
    /// gives up all.
    fn lapse_holds(&mut self, reported: Option<u64>) {
        for server in self.holds.lapse(reported) {
            self.roster.clear_owner(&server);
        }
    }

    fn update_roster(&mut self, update: &roster::Update, granted: bool, now: time::Instant) {
        // Requests may be handled in another order than they were sent; a whole roster older
        // than the local copy would drop newer records.
        if self.roster.version >= Some(update.version) {
            return;
        }
        self.roster.apply(update);
        for change in &update.servers {
            if self.roster.is_new(update, change.sequence) {
                self.update_server(change, update, granted, now);
            }
        }
        if update.settled {
            for server in self.roster.drop_unlisted() {
                self.holds.revoke(&server);
                self.announcements.note_published(&server, None);
            }
        }
        self.roster.version = Some(update.version);
        self.roster.newest = self.roster.newest.max(update.version);
    }

    fn update_server(
        &mut self,
        change: &roster::ServerChange,
        update: &roster::Update,
        granted: bool,
        now: time::Instant,
    ) {
        let server = &change.server;
        let known = self.roster.servers.get(server);
        let (mut record, ahead) =
            self.announcements
                .merge(server, change.record.clone(), known, now);
        if let Some(published) = &mut record {
            if published.owner.is_none() && !update.settled {
                published.owner = known.and_then(|known| known.owner);
            } else if published.owner == Some(self.member.node) {
                let unapplied = update.version.term > self.roster.newest.term
                    || change.sequence > self.roster.newest.sequence;
                let leased = self.lease_until.is_some_and(|until| now < until);
                // Without a grant to this process, the owner is another process of this VM.
                if unapplied && granted && leased {
                    self.holds.grant(server, self.last_request);
                } else if !self.holds.owns(server) {
                    published.owner = None;
                }
            }
        }
        let owner = record.as_ref().and_then(|record| record.owner);
        if owner != Some(self.member.node) {
            self.holds.revoke(server);
        }
        self.roster.set_server(server, record, ahead);
    }
}

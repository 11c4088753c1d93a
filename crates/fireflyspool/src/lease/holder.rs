//! Entry side of the lease.

use std::{sync, time};

use super::{catalog_copy, hearing, holds, replica, reports, warnings};
use crate::{backend, ids, lease, roster, view};

/// Lease, catalog and roster of one process of an entry VM.
///
/// The driver calls [`Self::request`], notes when it sends the request, and
/// hands the reply over with that time.
#[derive(Clone, Debug)]
pub struct Holder {
    member: view::Member,
    /// Number of the latest request.
    number: u64,
    /// Number of the latest request whose reply was handled.
    handled: u64,
    lease_until: Option<time::Instant>,
    copy: catalog_copy::CatalogCopy,
    replica: replica::Replica,
    holds: holds::Holds,
    hearing: hearing::Hearing,
    pub(super) reports: reports::Reports,
    pub(super) warnings: warnings::Warnings,
}

impl Holder {
    /// Holder of a process that has no lease yet.
    pub fn new(member: view::Member, config: lease::Config) -> Self {
        Self {
            member,
            number: 0,
            handled: 0,
            lease_until: None,
            copy: catalog_copy::CatalogCopy::default(),
            replica: replica::Replica::default(),
            holds: holds::Holds::default(),
            hearing: hearing::Hearing::new(&config),
            reports: reports::Reports::new(config.crash_limit),
            warnings: warnings::Warnings::new(config.crash_limit),
        }
    }

    /// Takes an announcement; returns whether a renewal is due before the regular one.
    ///
    /// A new phase, incarnation or hosted set of a known backend server is in
    /// the view at once, before the leader has published it.
    pub fn handle_announcement(
        &mut self,
        announcement: &backend::Announcement,
        now: time::Instant,
    ) -> bool {
        let named = self.replica.named_server(&announcement.server);
        let shown = named.map(|record| &record.announcement);
        let Some(due) = self.hearing.hear(announcement, shown, now) else {
            return false;
        };
        let known = self.replica.servers.get(&announcement.server);
        if known.is_some_and(|known| !roster::has_same_content(&known.announcement, announcement)) {
            self.replica.set_announcement(announcement);
        }
        due
    }

    /// Next renewal. What it confirms must have been published before.
    pub fn request(&mut self, now: time::Instant) -> roster::RenewRequest {
        self.end_lapsed(now);
        self.warnings.expire(now);
        self.number += 1;
        let mut request = roster::RenewRequest {
            member: self.member.clone(),
            number: self.number,
            revision: self.copy.catalog.revision,
            roster: self.replica.version,
            whole_catalog: self.copy.broken,
            holds: self.holds.reported(),
            refreshes: Vec::new(),
            announcements: Vec::new(),
            crashes: Vec::new(),
            suspects: Vec::new(),
        };
        self.hearing.forward(&mut request, now);
        self.reports.fill(&mut request);
        request
    }

    /// Handles the reply to a request that was sent at `sent_at`.
    pub fn reply(
        &mut self,
        reply: roster::RenewReply,
        sent_at: time::Instant,
        now: time::Instant,
    ) -> lease::Effect {
        self.end_lapsed(now);
        let roster::RenewReply::Granted(grant) = reply else {
            return lease::Effect::default();
        };
        let update = &grant.roster;
        let outdated = grant.number <= self.handled || update.version.term < self.replica.seen.term;
        if outdated || grant.incarnation != self.member.incarnation || grant.number > self.number {
            return lease::Effect::default();
        }
        self.handled = grant.number;
        // A refusal after an earlier lease means that another process uses this VM's number;
        // repeating at once would let the two replace each other without pause.
        let newcomer = grant.lease.is_zero() && self.lease_until.is_none();
        let first_of_term = update.version.term > self.replica.seen.term;
        if first_of_term {
            // The new leader does not know what was granted after this request.
            self.lose(Some(grant.number));
            self.hearing.note_new_leader();
            let suspects = sync::Arc::clone(&self.replica.suspects);
            self.reports
                .inherit(suspects.iter().map(|(print, crashes)| (*print, *crashes)));
        }
        let current = self.copy.update(grant.revision, grant.catalog);
        let fits = self.replica.fits(update);
        // The lease vouches for the revision and the roster of the reply, so it needs both.
        if current && fits && !grant.lease.is_zero() {
            self.lease_until = self.lease_until.max(Some(sent_at + grant.lease));
            self.reports.confirm(grant.number);
        }
        if fits {
            let granted = !grant.lease.is_zero();
            self.update_roster(update, granted, now);
        } else {
            self.replica.version = None;
        }
        lease::Effect {
            publish: true,
            renew: first_of_term || !current || !fits || newcomer,
        }
    }

    /// Snapshot for traffic threads.
    pub fn view(&self) -> view::View {
        view::View {
            node: self.member.node,
            lease_until: self.lease_until,
            catalog: sync::Arc::clone(&self.copy.catalog),
            members: sync::Arc::clone(&self.replica.members),
            servers: sync::Arc::clone(&self.replica.servers),
            suspects: self.warnings.merge(&self.replica.suspects),
        }
    }

    /// States that the process is shutting down; this is final.
    pub fn set_leaving(&mut self) {
        self.member.leaving = true;
    }

    /// Sets the share of capacity in use, in permille.
    pub fn set_load(&mut self, load: u32) {
        self.member.load = load;
    }

    /// Backend servers whose connections are to be closed, ascending.
    pub fn to_release(&self) -> Vec<ids::ServerName> {
        self.holds.to_release()
    }

    /// States that all connections to a backend server that must be released are closed.
    pub fn mark_released(&mut self, server: &str) {
        self.holds.released(server);
    }

    /// Gives up ownership if the lease has ended.
    ///
    /// The leader may then have assigned the backend servers to another process.
    fn end_lapsed(&mut self, now: time::Instant) {
        if self.lease_until.is_some_and(|until| until <= now) {
            self.lose(None);
        }
    }

    fn lose(&mut self, reported: Option<u64>) {
        for server in self.holds.lapse(reported) {
            self.replica.clear_owner(&server);
        }
    }

    fn update_roster(&mut self, update: &roster::Update, granted: bool, now: time::Instant) {
        // Requests may be answered in another order than they were sent; a whole roster that is
        // older than what is held would drop newer records.
        if self.replica.version >= Some(update.version) {
            return;
        }
        self.replica.apply(update);
        for change in &update.servers {
            if self.replica.is_new(update, change.sequence) {
                self.update_server(change, update, granted, now);
            }
        }
        if update.settled {
            for server in self.replica.drop_unnamed() {
                self.holds.revoke(&server);
                self.hearing.note_shown(&server, None);
            }
        }
        self.replica.version = Some(update.version);
        self.replica.seen = self.replica.seen.max(update.version);
    }

    fn update_server(
        &mut self,
        change: &roster::ServerChange,
        update: &roster::Update,
        granted: bool,
        now: time::Instant,
    ) {
        let server = &change.server;
        let known = self.replica.servers.get(server);
        let (mut record, ahead) = self
            .hearing
            .merge(server, change.record.clone(), known, now);
        if let Some(published) = &mut record {
            if published.owner.is_none() && !update.settled {
                published.owner = known.and_then(|known| known.owner);
            } else if published.owner == Some(self.member.node) {
                let unseen = update.version.term > self.replica.seen.term
                    || change.sequence > self.replica.seen.sequence;
                let leased = self.lease_until.is_some_and(|until| now < until);
                // Without a grant, the owner is another process of this VM.
                if unseen && granted && leased {
                    self.holds.grant(server, self.number);
                } else if !self.holds.owns(server) {
                    published.owner = None;
                }
            }
        }
        let owner = record.as_ref().and_then(|record| record.owner);
        if owner != Some(self.member.node) {
            self.holds.revoke(server);
        }
        self.replica.set_server(server, record, ahead);
    }
}

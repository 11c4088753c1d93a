//! Tables of the leader and the operations that span them.

use std::time;

use super::{holder_key, lease_table, member_table, ownership, server_table, suspect_list};
use crate::{ids, roster, view};

/// Soft state of the leader, by kind, with the log of its published changes.
#[derive(Clone, Debug)]
pub(super) struct Tables {
    pub(super) log: roster::ChangeLog,
    pub(super) members: member_table::MemberTable,
    pub(super) leases: lease_table::LeaseTable,
    pub(super) servers: server_table::ServerTable,
    pub(super) suspects: suspect_list::SuspectList,
}

impl Tables {
    pub(super) fn new(term: ids::Term, config: &roster::Config) -> Self {
        Self {
            log: roster::ChangeLog::new(term, config.change_limit),
            members: member_table::MemberTable::default(),
            leases: lease_table::LeaseTable::default(),
            servers: server_table::ServerTable::new(config),
            suspects: suspect_list::SuspectList::new(config),
        }
    }

    /// Takes over the sender's member record; returns whether ownership may be affected.
    pub(super) fn ingest_member(&mut self, member: &view::Member) -> bool {
        let before = self.members.current(member.node);
        let affected = self.members.update(member, &mut self.log);
        let after = self.members.current(member.node);
        if before != after {
            // What the earlier process holds must not appear as granted to the new one.
            for key in [before, after].into_iter().flatten() {
                for server in self.leases.servers(key) {
                    self.publish_owner(&server);
                }
            }
        }
        affected
    }

    /// Handles announcements, crashes and suspects; returns whether ownership may be affected.
    pub(super) fn ingest_reports(
        &mut self,
        request: &roster::RenewRequest,
        now: time::Instant,
    ) -> bool {
        let mut affected = false;
        for changed in &request.announcements {
            affected |= self.servers.announce(changed, &mut self.log, now);
            self.publish_owner(&changed.announcement.server);
        }
        for refresh in &request.refreshes {
            self.servers.refresh(refresh, now);
        }
        for crash in &request.crashes {
            self.suspects.report(crash, &mut self.log, now);
        }
        for (fingerprint, crashes) in &request.suspects {
            let (fingerprint, crashes) = (*fingerprint, *crashes);
            self.suspects
                .inherit(fingerprint, crashes, &mut self.log, now);
        }
        affected
    }

    /// Compares the backend servers that a process reports as held with those on record.
    ///
    /// Returns whether ownership may be affected.
    pub(super) fn ingest_holds(
        &mut self,
        request: &roster::RenewRequest,
        settled: bool,
        now: time::Instant,
    ) -> bool {
        let key = holder_key::HolderKey::of(&request.member);
        let term = self.log.version().term;
        let seen = request.roster.filter(|seen| seen.term == term);
        let mut affected = false;
        for server in self.leases.servers(key) {
            let sequence = seen.map_or(0, |seen| seen.sequence);
            let dropped = request.holds.binary_search(&server).is_err();
            if dropped && self.servers.release(&server, key, Some(sequence)) {
                self.leases.remove_server(key, &server);
                self.publish_owner(&server);
                affected = true;
            }
        }
        for server in &request.holds {
            if seen.is_some() {
                if self.servers.confirm(server, key, settled, now) {
                    self.leases.add_server(key, server);
                    self.publish_owner(server);
                    affected = true;
                }
            } else if !settled && self.servers.claim(server, key, now) {
                self.leases.add_server(key, server);
            }
        }
        affected
    }

    /// Removes expired leases, backend servers and suspects.
    ///
    /// Returns whether ownership may be affected.
    pub(super) fn expire(&mut self, now: time::Instant) -> bool {
        let mut affected = false;
        for (key, lease) in self.leases.take_expired(now) {
            for server in &lease.servers {
                self.servers.release(server, key, None);
            }
            self.members.remove(key, &mut self.log);
            affected = true;
        }
        affected |= self.servers.expire(&mut self.log, now);
        self.suspects.expire(&mut self.log, now);
        affected
    }

    /// Earliest expiry of a lease, a backend server or a suspect.
    pub(super) fn next_expiry(&self) -> Option<time::Instant> {
        let expiries = [
            self.leases.next_expiry(),
            self.servers.next_expiry(),
            self.suspects.next_expiry(),
        ];
        expiries.into_iter().flatten().min()
    }

    /// Chooses owners, grants free backend servers and revokes those that are to move.
    pub(super) fn assign_owners(&mut self, zones_out: &[ids::ZoneName]) {
        self.servers.drop_unused();
        for (server, target) in ownership::targets(&self.members, &self.servers, zones_out) {
            let Some(state) = self.servers.states.get_mut(&server) else {
                continue;
            };
            state.target = target;
            let current = target.and_then(|node| self.members.current(node));
            if let Some(key) = current.filter(|_| state.is_free()) {
                state.holder = Some(key);
                // Publishes a new grant even if the same entry VM held the backend server before.
                state.owner = None;
                self.leases.add_server(key, &server);
            }
            self.publish_owner(&server);
        }
    }

    /// Publishes all records without an owner again.
    ///
    /// Holders keep the owner of the earlier term until the leader has settled.
    pub(super) fn republish_ownerless(&mut self) {
        for (server, state) in self.servers.states.iter_mut() {
            if state.owner.is_none() && state.announcement.is_some() {
                state.changed = self.log.push(roster::RecordKey::Server(server.clone()));
            }
        }
    }

    fn publish_owner(&mut self, server: &str) {
        if let Some(state) = self.servers.states.get_mut(server) {
            let holder = state.holder;
            let current = holder.and_then(|holder| self.members.current(holder.node));
            state.publish_owner(current, &mut self.log);
        }
    }

    /// Records that changed after the version of a holder, or all records if the
    /// log does not reach back to it.
    pub(super) fn since(&self, held: Option<roster::Version>, settled: bool) -> roster::Update {
        let version = self.log.version();
        // The first sequence of a term is 1, so a delta never starts from 0.
        let held = held.filter(|held| held.sequence > 0);
        match held.and_then(|held| Some((held.sequence, self.log.since(held)?))) {
            Some((base, changes)) => {
                let update = roster::Update {
                    version,
                    base,
                    settled,
                    ..roster::Update::default()
                };
                self.delta(update, changes)
            }
            None => roster::Update {
                version,
                base: 0,
                settled,
                members: self.members.changes().collect(),
                servers: self.servers.changes().collect(),
                suspects: self.suspects.changes().collect(),
            },
        }
    }

    fn delta<'a>(
        &self,
        mut update: roster::Update,
        changes: impl Iterator<Item = &'a (u64, roster::RecordKey)>,
    ) -> roster::Update {
        for (sequence, key) in changes {
            match key {
                roster::RecordKey::Member(node) => {
                    update.members.extend(self.members.change(*node, *sequence));
                }
                roster::RecordKey::Server(server) => {
                    update
                        .servers
                        .extend(self.servers.change(server, *sequence));
                }
                roster::RecordKey::Suspect(fingerprint) => {
                    let change = self.suspects.change(*fingerprint, *sequence);
                    update.suspects.extend(change);
                }
            }
        }
        update
    }
}

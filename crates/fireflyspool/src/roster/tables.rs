//! Tables of one leader and the rules that span them.

use std::time;

use super::{holder_key, lease_table, member_table, ownership, server_table, suspect_list};
use crate::{ids, roster, view};

/// Everything that a leader publishes or counts.
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

    /// Takes over the sender's own record; returns whether ownership may be affected.
    pub(super) fn ingest_member(&mut self, member: &view::Member) -> bool {
        let earlier = self.members.current(member.node);
        let affected = self.members.update(member, &mut self.log);
        let present = self.members.current(member.node);
        if earlier != present {
            // What the earlier process holds must not be read as granted to this one.
            for key in [earlier, present].into_iter().flatten() {
                for server in self.leases.servers(key) {
                    self.publish_owner(&server);
                }
            }
        }
        affected
    }

    /// Takes announcements, crashes and suspects; returns whether ownership may be affected.
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

    /// Compares what a process holds with what it is known to hold.
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

    /// Ends leases and drops what has expired; returns whether ownership may be affected.
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

    /// Earliest time at which something expires.
    pub(super) fn next_end(&self) -> Option<time::Instant> {
        let ends = [
            self.leases.next_end(),
            self.servers.next_end(),
            self.suspects.next_end(),
        ];
        ends.into_iter().flatten().min()
    }

    /// Chooses owners, grants what is free and asks back what moves.
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
                // The grant is published anew even if the same entry VM held it before.
                state.owner = None;
                self.leases.add_server(key, &server);
            }
            self.publish_owner(&server);
        }
    }

    /// Publishes all records without an owner anew.
    ///
    /// Holders kept the owner of the earlier term until the leader settled.
    pub(super) fn confirm_ownerless(&mut self) {
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

    /// Records that changed after the version that a holder holds, or all of them.
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
        for (number, key) in changes {
            match key {
                roster::RecordKey::Member(node) => {
                    update.members.extend(self.members.change(*node, *number));
                }
                roster::RecordKey::Server(server) => {
                    update.servers.extend(self.servers.change(server, *number));
                }
                roster::RecordKey::Suspect(fingerprint) => {
                    let change = self.suspects.change(*fingerprint, *number);
                    update.suspects.extend(change);
                }
            }
        }
        update
    }
}

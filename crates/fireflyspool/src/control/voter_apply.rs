//! Execution of the replica's actions.

use std::{collections, time};

use crate::{consensus, control, ids, roster, state};

/// Applied entries after which a snapshot is taken and the log truncated.
///
/// At 3,600 changes a day this is about once a day; a restart replays at most
/// this many entries.
const ENTRIES_PER_SNAPSHOT: u64 = 4_096;

/// Bytes of applied entries after which a snapshot is taken; a configuration
/// with some hundred routes takes 100 KB, and disks hold 128 MB.
const BYTES_PER_SNAPSHOT: usize = 8 * 1024 * 1024;

impl control::Voter {
    pub(super) fn persist(
        &mut self,
        actions: &collections::VecDeque<consensus::Action>,
    ) -> Result<(), control::ControlError> {
        let record = |action: &consensus::Action| match action {
            consensus::Action::Persist(record) => Some(record.clone()),
            _ => None,
        };
        let records: Vec<_> = actions.iter().filter_map(record).collect();
        if !records.is_empty() {
            self.folder.append(&records)?;
        }
        Ok(())
    }

    pub(super) fn execute(
        &mut self,
        action: consensus::Action,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) -> Result<(), control::ControlError> {
        match action {
            consensus::Action::Persist(_) => {}
            consensus::Action::Send(envelope) => {
                if let Some(address) = self.address_of(envelope.to) {
                    outlet.send_envelope(address, envelope);
                }
            }
            consensus::Action::SetTimer(at) => self.timer = Some(at),
            consensus::Action::Apply {
                index,
                payload,
                ticket,
                ..
            } => {
                self.apply(index, &payload, ticket, outlet, now)?;
            }
            consensus::Action::MembersChanged { members, .. } => {
                let nodes: Vec<_> = members.iter().map(|member| member.node).collect();
                let voters: Vec<_> = members.voters().collect();
                slog::info!(self.logger, "members of the control group changed";
                    "members" => ?nodes, "voters" => ?voters);
                self.membership_due = now;
            }
            consensus::Action::Refuse { ticket, leader } => {
                let listener = leader.and_then(|leader| self.address_of(leader));
                let reply = control::ProposeReply::NotLeader { leader, listener };
                self.fail_waiter(ticket, reply);
            }
            consensus::Action::RefuseChange { refusal, .. } => {
                slog::debug!(self.logger, "membership change postponed"; "cause" => ?refusal);
            }
            consensus::Action::Uncertain { ticket } => {
                self.fail_waiter(ticket, control::ProposeReply::Uncertain);
            }
            consensus::Action::Restore { snapshot } => {
                self.state = state::ControlState::decode(&snapshot.bytes)?;
                self.applied = snapshot.index;
                self.unsaved_entries = 0;
                self.unsaved_bytes = 0;
                outlet.publish_control_addresses(self.addresses());
            }
            consensus::Action::RoleChanged { role, term, leader } => {
                self.change_role(role, term, leader, now);
            }
        }
        Ok(())
    }

    pub(super) fn change_role(
        &mut self,
        role: consensus::Role,
        term: ids::Term,
        leader: Option<ids::NodeId>,
        now: time::Instant,
    ) {
        slog::info!(self.logger, "role of this replica changed";
            "role" => ?role, "term" => term, "leader" => leader);
        if role == consensus::Role::Leader {
            let same_term = self
                .roster
                .as_ref()
                .is_some_and(|roster| roster.version().term == term);
            if !same_term {
                self.attendance = control::Attendance::new();
                self.roster = Some(roster::Roster::new(term, now, self.lease));
            }
        } else {
            self.roster = None;
            // The dropped reply channels make the callers ask the next leader.
            self.in_force.clear();
            self.claims.clear();
            self.outcomes.clear();
        }
    }

    pub(super) fn apply(
        &mut self,
        index: ids::LogIndex,
        payload: &[u8],
        ticket: Option<ids::Ticket>,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) -> Result<(), control::ControlError> {
        let entry = state::Entry::decode(payload)?;
        let applied = self.state.apply(&entry);
        self.applied = index;
        self.unsaved_entries += 1;
        self.unsaved_bytes += payload.len();
        if let state::Entry::Command { command, .. } = &entry {
            self.log_command(command, &applied);
            if !matches!(command.change, state::Operation::Change(_)) {
                outlet.publish_control_addresses(self.addresses());
                self.membership_due = now;
            }
        }
        if let state::Entry::Idempotent(command) = &entry {
            self.log_idempotent(command, outlet, now);
        }
        if let Some(waiter) = ticket.and_then(|ticket| self.waiters.remove(&ticket)) {
            waiter.resolve(applied);
        }
        if self.unsaved_entries >= ENTRIES_PER_SNAPSHOT || self.unsaved_bytes >= BYTES_PER_SNAPSHOT
        {
            self.unsaved_entries = 0;
            self.unsaved_bytes = 0;
            let snapshot = self.state.encode();
            self.step(consensus::Event::Compact { index, snapshot }, outlet, now);
        }
        Ok(())
    }

    fn log_idempotent(
        &mut self,
        command: &state::IdempotentCommand,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        match command {
            state::IdempotentCommand::Configure(document) => {
                let held = self.state.document.as_ref().map(|held| held.version);
                slog::info!(self.logger, "configuration entry applied";
                    "version" => document.version, "in_force" => held);
            }
            state::IdempotentCommand::Read | state::IdempotentCommand::ReadRollout { .. } => {}
            state::IdempotentCommand::StartRollout { service, .. }
            | state::IdempotentCommand::AdvanceRollout { service, .. } => {
                slog::info!(self.logger, "command for a rollout applied";
                    "command" => ?command, "rollout" => ?self.state.rollouts.get(service));
            }
            state::IdempotentCommand::RecordDepartures { departures, .. } => {
                slog::info!(self.logger, "departures of backend servers recorded";
                    "count" => departures.len(), "revision" => self.state.departures.revision());
            }
            other => {
                slog::info!(self.logger, "idempotent command applied"; "order" => ?other);
                outlet.publish_control_addresses(self.addresses());
                self.membership_due = now;
            }
        }
    }

    pub(super) fn log_command(&self, command: &state::Command, applied: &state::Applied) {
        slog::info!(self.logger, "command applied";
            "operator" => &command.operator,
            "number" => command.number,
            "change" => ?command.change,
            "result" => ?applied,
            "revision" => self.state.catalog.revision);
    }
}

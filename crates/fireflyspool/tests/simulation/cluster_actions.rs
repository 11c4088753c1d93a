//! Execution of actions in the way of the control thread.

use fireflyspool::consensus;

use crate::simulation;
use crate::simulation::{node, oracle};

impl simulation::Cluster {
    /// Syncs all records at once, then executes the other actions in order.
    pub(crate) fn execute(&mut self, at: usize, actions: Vec<consensus::Action>) {
        let mut records = Vec::new();
        let mut rest = Vec::new();
        for action in actions {
            match action {
                consensus::Action::Persist(record) => records.push(record),
                other => rest.push(other),
            }
        }
        let Some(process) = &mut self.nodes[at].process else {
            return;
        };
        if !records.is_empty() && process.folder.append(&records).is_err() {
            let tails = [
                simulation::Tail::Lost,
                simulation::Tail::Kept,
                simulation::Tail::Torn,
            ];
            let tail = tails[usize::try_from(self.rng.below(3)).expect("below 3")];
            self.crash(at, tail);
            return;
        }
        for action in rest {
            if self.nodes[at].crash_after == Some(0) {
                self.crash(at, simulation::Tail::Lost);
                return;
            }
            if let Some(left) = &mut self.nodes[at].crash_after {
                *left -= 1;
            }
            self.execute_one(at, action);
        }
    }

    fn execute_one(&mut self, at: usize, action: consensus::Action) {
        let node = &mut self.nodes[at];
        let Some(process) = &mut node.process else {
            return;
        };
        match action {
            consensus::Action::Persist(_) | consensus::Action::RoleChanged { .. } => {}
            consensus::Action::Send(envelope) => {
                let empty = node.disk_lost && process.replica.status().last_index == 0;
                let lost = empty && !self.is_recorded(&envelope);
                self.oracle.check_vote(&envelope, lost);
                self.network.send(&envelope, self.now);
            }
            consensus::Action::SetTimer(at) => {
                let wait = at.saturating_duration_since(self.base);
                process.timer =
                    Some(u64::try_from(wait.as_nanos().div_ceil(1_000_000)).expect("short"));
            }
            consensus::Action::Apply {
                index,
                term,
                payload,
                ticket,
            } => {
                assert!(index > process.applied, "entry {index} was applied twice");
                process.applied = index;
                let command = String::from_utf8(payload).expect("commands are text");
                self.oracle.apply(index, term, &command);
                process.state.push((index, command));
                if let Some(ticket) = ticket {
                    self.oracle
                        .record_result(ticket, oracle::ProposalResult::Accepted);
                }
            }
            consensus::Action::MembersChanged {
                index,
                members,
                ticket,
            } => {
                assert!(index > process.applied, "entry {index} was applied twice");
                process.applied = index;
                self.oracle.change_members(index, &members);
                if let Some(ticket) = ticket {
                    self.oracle
                        .record_result(ticket, oracle::ProposalResult::Accepted);
                }
            }
            consensus::Action::Refuse { ticket, .. }
            | consensus::Action::RefuseChange { ticket, .. } => {
                self.oracle
                    .record_result(ticket, oracle::ProposalResult::Refused);
            }
            consensus::Action::Uncertain { ticket } => {
                self.oracle
                    .record_result(ticket, oracle::ProposalResult::Uncertain);
            }
            consensus::Action::Restore { snapshot } => {
                let state: node::State =
                    serde_json::from_slice(&snapshot.bytes).expect("a snapshot is a state");
                self.oracle.restore(snapshot.index, &state);
                process.state = state;
                process.applied = snapshot.index;
            }
        }
    }
}

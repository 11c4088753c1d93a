//! Members of the control group and their addresses.

use std::{net, time};

use tokio::sync::oneshot;

use crate::{
    consensus,
    control::{self, waiter},
    ids, state,
};

impl control::Voter {
    /// Listeners of all control VMs that the applied state lists, ascending by number.
    pub fn addresses(&self) -> Vec<(ids::NodeId, net::SocketAddr)> {
        let group = &self.state.group;
        let added = group.added.iter().map(|(node, record)| (*node, record.rpc));
        let founding = self
            .founding_members
            .iter()
            .map(|(node, rpc)| (*node, *rpc));
        let mut all: Vec<_> = founding.chain(added).collect();
        all.retain(|(node, _)| !group.removed.contains_key(node));
        all.sort_unstable_by_key(|(node, _)| *node);
        all.dedup_by_key(|(node, _)| *node);
        all
    }

    /// Proposes the next membership change, if one is needed, and logs who is silent.
    pub(super) fn step_membership(&mut self, outlet: &dyn control::Outlet, now: time::Instant) {
        let status = self.replica.status();
        self.attendance.update(&status, now);
        let plan = control::MembershipPlan {
            own: status.node,
            members: &status.members,
            group: &self.state.group,
            attendance: &self.attendance,
            now,
        };
        let (change, silent) = (plan.next_change(), plan.silent());
        self.log_silent(&silent);
        if let Some(change) = change {
            self.next_ticket += 1;
            let ticket = self.next_ticket;
            let event = consensus::Event::ChangeMembers { ticket, change };
            self.step(event, outlet, now);
        }
    }

    /// Proposes to retire a silent member that another VM has replaced, or to expect more voters.
    pub(super) fn replace_members(&mut self, outlet: &dyn control::Outlet, now: time::Instant) {
        let members = self.replica.members();
        let plan = control::MembershipPlan {
            own: self.folder.identity().node,
            members: &members,
            group: &self.state.group,
            attendance: &self.attendance,
            now,
        };
        let Some(command) = plan.next_command() else {
            return;
        };
        slog::info!(self.logger, "proposing a change of the control group";
            "order" => ?command, "expected" => self.state.group.expected_size());
        let (reply, _) = oneshot::channel();
        let entry = state::Entry::Idempotent(command);
        self.propose(&entry, waiter::Waiter::Idempotent(reply), outlet, now);
    }

    fn log_silent(&mut self, silent: &[(ids::NodeId, time::Duration)]) {
        let nodes: Vec<_> = silent.iter().map(|(node, _)| *node).collect();
        if nodes != self.silent {
            slog::info!(self.logger, "silent members of the control group changed";
                "silent" => ?silent, "expected" => self.state.group.expected_size());
            self.silent = nodes;
        }
    }

    /// Listener of the leader, if both are known.
    pub(super) fn leader_listener(&self) -> Option<net::SocketAddr> {
        self.address_of(self.replica.leader()?)
    }

    pub(super) fn address_of(&self, node: ids::NodeId) -> Option<net::SocketAddr> {
        let added = self.state.group.added.get(&node).map(|record| record.rpc);
        let founding = || self.founding_members.get(&node).copied();
        let learned = || self.learned_listeners.get(&node).copied();
        added.or_else(founding).or_else(learned)
    }
}

//! Members of the control group and their addresses.

use std::{net, time};

use crate::{consensus, control, ids};

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

    /// Proposes one membership change towards the control group of the applied state:
    /// add a missing VM as a learner, else promote a learner, else remove a VM.
    pub(super) fn step_membership(&mut self, outlet: &dyn control::Outlet, now: time::Instant) {
        let members = self.replica.members();
        let group = &self.state.group;
        let missing = group
            .added
            .iter()
            .find(|(node, _)| members.get(**node).is_none());
        let unwanted = members
            .iter()
            .find(|member| group.removed.contains_key(&member.node));
        let learner = members.iter().find(|member| !members.is_voter(member.node));
        let change = if let Some((node, record)) = missing {
            consensus::MembershipChange::AddLearner {
                node: *node,
                incarnation: record.incarnation,
            }
        } else if let Some(member) = learner {
            consensus::MembershipChange::Promote { node: member.node }
        } else if let Some(member) = unwanted {
            consensus::MembershipChange::Remove { node: member.node }
        } else {
            return;
        };
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.step(
            consensus::Event::ChangeMembers { ticket, change },
            outlet,
            now,
        );
    }

    pub(super) fn address_of(&self, node: ids::NodeId) -> Option<net::SocketAddr> {
        let added = self.state.group.added.get(&node).map(|record| record.rpc);
        let founding = || self.founding_members.get(&node).copied();
        let learned = || self.learned_listeners.get(&node).copied();
        added.or_else(founding).or_else(learned)
    }
}

//! Test oracle: the accepted commands, and what must hold for the group.

use fireflyspool::{consensus, ids, sorted};

use crate::simulation::node;

/// Result of a proposal as reported to its proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProposalResult {
    Accepted,
    Refused,
    Uncertain,
}

/// Decisions of the group so far.
#[derive(Default)]
pub(crate) struct Oracle {
    /// Commands by index, as first applied on any node.
    pub(crate) accepted: sorted::SortedMap<ids::LogIndex, (ids::Term, String)>,
    pub(crate) members: sorted::SortedMap<ids::LogIndex, consensus::Members>,
    results: sorted::SortedMap<ids::Ticket, ProposalResult>,
    leaders: sorted::SortedMap<ids::Term, ids::NodeId>,
    votes: sorted::SortedMap<(ids::Term, ids::NodeId, ids::Incarnation), ids::NodeId>,
}

impl Oracle {
    pub(crate) fn apply(&mut self, index: ids::LogIndex, term: ids::Term, command: &str) {
        let known = self
            .accepted
            .get_or_insert_with(index, || (term, command.to_owned()));
        assert_eq!(*known, (term, command.to_owned()), "entry {index} differs");
        assert!(!self.members.contains_key(&index), "entry {index} differs");
        let ticket = command.parse().expect("a command is its ticket");
        let result = self.results.get(&ticket);
        assert_ne!(
            result,
            Some(&ProposalResult::Refused),
            "refused command {command} was applied"
        );
    }

    pub(crate) fn change_members(&mut self, index: ids::LogIndex, members: &consensus::Members) {
        let known = self
            .members
            .get_or_insert_with(index, || members.clone())
            .clone();
        assert_eq!(&known, members, "member list at {index} differs");
        assert!(!self.accepted.contains_key(&index), "entry {index} differs");
        let before = self.members.iter().rev().find(|(at, _)| **at < index);
        if let Some((_, before)) = before {
            let changed = differences(before, members) + differences(members, before);
            assert!(changed <= 2, "more than one member changed at {index}");
        }
    }

    /// Checks a restored state: the accepted commands up to its index.
    pub(crate) fn restore(&self, index: ids::LogIndex, state: &node::State) {
        let accepted = self.accepted.iter().take_while(|(at, _)| **at <= index);
        let expected: node::State = accepted
            .map(|(at, (_, command))| (*at, command.clone()))
            .collect();
        assert_eq!(state, &expected, "snapshot at {index} differs");
    }

    pub(crate) fn record_result(&mut self, ticket: ids::Ticket, result: ProposalResult) {
        let earlier = self.results.insert(ticket, result);
        assert_eq!(earlier, None, "proposal {ticket} was answered twice");
        let command = ticket.to_string();
        let mut accepted = self.accepted.values();
        let ran = result == ProposalResult::Refused && accepted.any(|(_, known)| *known == command);
        assert!(!ran, "refused command {ticket} was applied");
    }

    pub(crate) fn result(&self, ticket: ids::Ticket) -> Option<ProposalResult> {
        self.results.get(&ticket).copied()
    }

    pub(crate) fn record_leader(&mut self, term: ids::Term, node: ids::NodeId) {
        let leader = *self.leaders.get_or_insert_with(term, || node);
        assert_eq!(leader, node, "two leaders in term {term}");
    }

    pub(crate) fn record_vote(
        &mut self,
        term: ids::Term,
        voter: (ids::NodeId, ids::Incarnation),
        candidate: ids::NodeId,
    ) {
        let key = (term, voter.0, voter.1);
        let voted = *self.votes.get_or_insert_with(key, || candidate);
        assert_eq!(voted, candidate, "node {} voted twice in {term}", voter.0);
    }
}

fn differences(left: &consensus::Members, right: &consensus::Members) -> usize {
    let differs = |member: &&consensus::Member| right.get(member.node) != Some(*member);
    left.iter().filter(differs).count()
}

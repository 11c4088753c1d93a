//! Votes in one election.

use crate::{consensus, ids, sorted};

/// Members that granted a vote or pre-vote, with their incarnations.
#[derive(Debug, Default)]
pub(super) struct Tally {
    granted: sorted::SortedMap<ids::NodeId, ids::Incarnation>,
}

impl Tally {
    /// Counts a vote. Repeated votes of a node count once, with the first incarnation.
    pub(super) fn count_vote(&mut self, node: ids::NodeId, incarnation: ids::Incarnation) {
        self.granted.get_or_insert_with(node, || incarnation);
    }

    /// Whether the votes win: all founding members during bootstrap, else a majority.
    pub(super) fn wins(&self, core: &consensus::core::Core) -> bool {
        if core.is_bootstrapping() {
            let founding = &core.config.founding;
            return founding.iter().all(|node| self.granted.contains_key(node));
        }
        let members = core.log.members();
        let votes = members
            .voters()
            .filter(|node| self.granted.contains_key(node))
            .count();
        votes >= members.quorum_size()
    }

    /// Members that granted a vote.
    pub(super) fn granted(&self) -> impl Iterator<Item = (ids::NodeId, ids::Incarnation)> {
        self.granted.iter().map(|(node, inc)| (*node, *inc))
    }
}

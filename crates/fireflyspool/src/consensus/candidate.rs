//! Candidate state.

use std::time;

use crate::{consensus, ids};

/// State of a participant that stands for election.
#[derive(Debug, Default)]
pub(super) struct Candidate {
    tally: consensus::tally::Tally,
}

impl Candidate {
    /// Opens an election in the next term with this replica's own vote.
    pub(super) fn open(core: &mut consensus::core::Core, now: time::Instant) -> Self {
        let node = core.config.node;
        core.set_vote(core.vote.term + 1, Some(node));
        core.await_leader(now);
        let founding = if core.is_forming() {
            core.config.founding.clone()
        } else {
            Vec::new()
        };
        let message = consensus::Message::Vote {
            term: core.vote.term,
            last_index: core.log.last_index(),
            last_term: core.log.last_term(),
            founding,
        };
        for voter in core.electorate() {
            if voter != node {
                core.send(voter, message.clone());
            }
        }
        Self::default()
    }
}

impl consensus::participant::Participant<Candidate> {
    /// Leads after winning the election.
    fn lead(
        mut self,
        now: time::Instant,
    ) -> consensus::participant::Participant<consensus::leader::Leader> {
        let first = if self.core.is_forming() {
            let founding = &self.core.config.founding;
            let granted = self.state.tally.granted();
            let founders = granted.filter(|(node, _)| founding.contains(node));
            consensus::Content::Members(consensus::Members::of_voters(founders))
        } else {
            consensus::Content::NoOp
        };
        self.core.leader = Some(self.core.config.node);
        let state = consensus::leader::Leader::new(&self.core, now);
        let mut leader = consensus::participant::Participant {
            core: self.core,
            state,
        };
        leader.open_term(first, now);
        leader
    }

    /// Counts this replica's own vote.
    pub(super) fn count_self(self, now: time::Instant) -> consensus::standing::Standing {
        let (node, incarnation) = (self.core.config.node, self.core.config.incarnation);
        self.count(node, incarnation, now)
    }

    /// Counts a vote.
    pub(super) fn count(
        mut self,
        node: ids::NodeId,
        incarnation: ids::Incarnation,
        now: time::Instant,
    ) -> consensus::standing::Standing {
        self.state.tally.count(node, incarnation);
        if self.state.tally.wins(&self.core) {
            consensus::standing::Standing::Leader(self.lead(now))
        } else {
            consensus::standing::Standing::Candidate(self)
        }
    }

    /// Asks again after the election timeout, without raising the term further.
    pub(super) fn time_out(self, now: time::Instant) -> consensus::standing::Standing {
        let term = self.core.vote.term;
        self.follow(term, None, now).time_out(now)
    }
}

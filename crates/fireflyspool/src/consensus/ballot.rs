//! Decisions of a replica as a voter.

use std::time;

use crate::{consensus, ids};

impl consensus::core::Core {
    /// Founding members, which a message names during formation only.
    pub(super) fn founding(&self) -> Vec<ids::NodeId> {
        match self.is_forming() {
            true => self.config.founding.clone(),
            false => Vec::new(),
        }
    }

    /// Sends a message to every other node that takes part in elections.
    pub(super) fn ask_electorate(&mut self, message: &consensus::Message) {
        for node in self.electorate() {
            if node != self.config.node {
                self.send(node, message.clone());
            }
        }
    }

    /// Nodes that take part in elections.
    pub(super) fn electorate(&self) -> Vec<ids::NodeId> {
        if self.is_forming() {
            self.config.founding.clone()
        } else {
            self.log.members().voters().collect()
        }
    }

    /// Whether a leader was heard so recently that votes for others are refused.
    pub(super) fn is_promised(&self, now: time::Instant) -> bool {
        now < self.heard + self.config.election_min
    }

    /// Whether this replica holds what a voter must hold.
    ///
    /// A replica without entries has a vote only as a founding member, and then
    /// only for a candidate with the same founding list or for one that
    /// recorded this incarnation.
    fn may_vote(&self, addressed: bool, from: ids::NodeId, founding: &[ids::NodeId]) -> bool {
        if self.log.last_index() > 0 {
            return founding.is_empty();
        }
        let same = self.config.founding == founding && founding.contains(&from);
        self.is_forming() && (same || (addressed && founding.is_empty()))
    }

    fn is_behind(&self, last_index: ids::LogIndex, last_term: ids::Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    /// Decides about a pre-vote; nothing is promised by it.
    pub(super) fn would_grant(
        &self,
        envelope: &consensus::Envelope,
        term: ids::Term,
        last: (ids::LogIndex, ids::Term),
        founding: &[ids::NodeId],
        now: time::Instant,
    ) -> bool {
        let free =
            term > self.vote.term || (term == self.vote.term && self.is_free_for(envelope.from));
        free && !self.is_promised(now)
            && self.is_behind(last.0, last.1)
            && self.may_vote(envelope.to_incarnation.is_some(), envelope.from, founding)
    }

    /// Decides about a vote in the current term and makes it durable.
    pub(super) fn grant(
        &mut self,
        envelope: &consensus::Envelope,
        last: (ids::LogIndex, ids::Term),
        founding: &[ids::NodeId],
        now: time::Instant,
    ) -> bool {
        let granted = self.is_free_for(envelope.from)
            && self.is_behind(last.0, last.1)
            && self.may_vote(envelope.to_incarnation.is_some(), envelope.from, founding);
        if granted {
            self.set_vote(self.vote.term, Some(envelope.from));
            self.await_leader(now);
        }
        granted
    }

    fn is_free_for(&self, candidate: ids::NodeId) -> bool {
        self.vote.candidate.is_none_or(|voted| voted == candidate)
    }
}

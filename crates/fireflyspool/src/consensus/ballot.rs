//! Decisions of a replica as a voter.

use std::time;

use crate::{consensus, ids};

impl consensus::core::Core {
    /// What this replica asks for when it stands in a term.
    pub(super) fn vote_request(&self, term: ids::Term) -> consensus::VoteRequest {
        consensus::VoteRequest {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            founding: match self.is_forming() {
                true => self.config.founding.clone(),
                false => Vec::new(),
            },
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

    /// Decides about a pre-vote; nothing is promised by it.
    pub(super) fn would_grant(
        &self,
        envelope: &consensus::Envelope,
        request: &consensus::VoteRequest,
        now: time::Instant,
    ) -> bool {
        let term = request.term;
        let free =
            term > self.vote.term || (term == self.vote.term && self.is_free_for(envelope.from));
        free && !self.is_promised(now) && self.accepts_candidate(envelope, request)
    }

    /// Decides about a vote in the current term and makes it durable.
    pub(super) fn grant(
        &mut self,
        envelope: &consensus::Envelope,
        request: &consensus::VoteRequest,
        now: time::Instant,
    ) -> bool {
        let granted = self.is_free_for(envelope.from) && self.accepts_candidate(envelope, request);
        if granted {
            self.set_vote(self.vote.term, Some(envelope.from));
            self.await_leader(now);
        }
        granted
    }

    /// Whether a candidate may be voted for and its log is not behind this one.
    fn accepts_candidate(
        &self,
        envelope: &consensus::Envelope,
        request: &consensus::VoteRequest,
    ) -> bool {
        let last = (request.last_term, request.last_index);
        let addressed = envelope.to_incarnation.is_some();
        last >= (self.log.last_term(), self.log.last_index())
            && self.may_vote(addressed, envelope.from, &request.founding)
    }

    fn is_free_for(&self, candidate: ids::NodeId) -> bool {
        self.vote.candidate.is_none_or(|voted| voted == candidate)
    }
}

//! Decisions on votes and pre-votes.

use std::time;

use crate::{consensus, ids};

impl consensus::core::Core {
    /// Vote request of this replica for an election in a term.
    pub(super) fn vote_request(&self, term: ids::Term) -> consensus::VoteRequest {
        consensus::VoteRequest {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            founding: match self.is_bootstrapping() {
                true => self.config.founding.clone(),
                false => Vec::new(),
            },
        }
    }

    /// Sends a message to every other node that takes part in elections.
    pub(super) fn send_to_electorate(&mut self, message: &consensus::Message) {
        for node in self.electorate() {
            if node != self.config.node {
                self.send(node, message.clone());
            }
        }
    }

    /// Nodes that take part in elections.
    pub(super) fn electorate(&self) -> Vec<ids::NodeId> {
        if self.is_bootstrapping() {
            self.config.founding.clone()
        } else {
            self.log.members().voters().collect()
        }
    }

    /// Whether the last contact with a leader is so recent that votes are refused.
    pub(super) fn has_recent_leader(&self, now: time::Instant) -> bool {
        now < self.last_contact + self.config.election_min
    }

    /// Whether this replica is a voter in the election of a candidate.
    ///
    /// Without log entries it is one only as a founding member, and then only
    /// if the candidate has the same founding list or recorded this incarnation.
    fn is_eligible_voter(
        &self,
        recorded: bool,
        from: ids::NodeId,
        founding: &[ids::NodeId],
    ) -> bool {
        if self.log.last_index() > 0 {
            return founding.is_empty();
        }
        let same_founders = self.config.founding == founding && founding.contains(&from);
        self.is_bootstrapping() && (same_founders || (recorded && founding.is_empty()))
    }

    /// Decides on a pre-vote, which does not bind a later vote.
    pub(super) fn would_grant_vote(
        &self,
        envelope: &consensus::Envelope,
        request: &consensus::VoteRequest,
        now: time::Instant,
    ) -> bool {
        let term = request.term;
        let vote_unused =
            term > self.vote.term || (term == self.vote.term && self.can_vote_for(envelope.from));
        vote_unused && !self.has_recent_leader(now) && self.accepts_candidate(envelope, request)
    }

    /// Decides on a vote in the current term and persists it if granted.
    pub(super) fn grant_vote(
        &mut self,
        envelope: &consensus::Envelope,
        request: &consensus::VoteRequest,
        now: time::Instant,
    ) -> bool {
        let granted = self.can_vote_for(envelope.from) && self.accepts_candidate(envelope, request);
        if granted {
            self.set_vote(self.vote.term, Some(envelope.from));
            self.reset_election_timer(now);
        }
        granted
    }

    /// Whether this replica is a voter for a candidate whose log is at least as up to date.
    fn accepts_candidate(
        &self,
        envelope: &consensus::Envelope,
        request: &consensus::VoteRequest,
    ) -> bool {
        let last = (request.last_term, request.last_index);
        let recorded = envelope.to_incarnation.is_some();
        last >= (self.log.last_term(), self.log.last_index())
            && self.is_eligible_voter(recorded, envelope.from, &request.founding)
    }

    /// Whether the vote of the current term is unused or went to this candidate.
    fn can_vote_for(&self, candidate: ids::NodeId) -> bool {
        self.vote.candidate.is_none_or(|voted| voted == candidate)
    }
}

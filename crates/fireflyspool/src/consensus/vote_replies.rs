//! Answers to votes and pre-votes.

use std::time;

use crate::consensus;

impl consensus::any_participant::AnyParticipant {
    pub(super) fn answer_pre_vote(
        mut self,
        envelope: &consensus::Envelope,
        request: &consensus::VoteRequest,
        now: time::Instant,
    ) -> Self {
        let leads = matches!(self, Self::Leader(_));
        let core = self.core_mut();
        let granted = !leads && core.would_grant_vote(envelope, request, now);
        let term = match granted {
            true => request.term,
            false => core.vote.term,
        };
        let reply = consensus::Message::PreVoteReply { term, granted };
        core.reply((envelope.from, envelope.from_incarnation), reply);
        self
    }

    pub(super) fn answer_vote(
        mut self,
        envelope: &consensus::Envelope,
        request: &consensus::VoteRequest,
        now: time::Instant,
    ) -> Self {
        // A leader steps down by itself when it loses its majority, and a follower stays with
        // a leader it heard from recently. Until then a candidate cannot raise their terms.
        let has_leader = matches!(self, Self::Leader(_)) || self.core().has_recent_leader(now);
        if !has_leader {
            self = self.adopt_newer_term(request.term, now);
        }
        let core = self.core_mut();
        let current = request.term == core.vote.term;
        let granted = !has_leader && current && core.grant_vote(envelope, request, now);
        let term = core.vote.term;
        let reply = consensus::Message::VoteReply { term, granted };
        core.reply((envelope.from, envelope.from_incarnation), reply);
        self
    }
}

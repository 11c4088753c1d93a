//! Answers to votes and pre-votes.

use std::time;

use crate::consensus;

impl consensus::standing::Standing {
    pub(super) fn answer_pre_vote(
        mut self,
        envelope: &consensus::Envelope,
        request: &consensus::VoteRequest,
        now: time::Instant,
    ) -> Self {
        let leads = matches!(self, Self::Leader(_));
        let core = self.core_mut();
        let granted = !leads && core.would_grant(envelope, request, now);
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
        // A leader steps down by itself when it loses its majority, and a follower that
        // heard from one keeps to it; neither lets a candidate raise its term before.
        let bound = matches!(self, Self::Leader(_)) || self.core().is_promised(now);
        if !bound {
            self = self.catch_up(request.term, now);
        }
        let core = self.core_mut();
        let current = request.term == core.vote.term;
        let granted = !bound && current && core.grant(envelope, request, now);
        let term = core.vote.term;
        let reply = consensus::Message::VoteReply { term, granted };
        core.reply((envelope.from, envelope.from_incarnation), reply);
        self
    }
}

//! Answers to votes and pre-votes.

use std::time;

use crate::consensus;

impl consensus::standing::Standing {
    pub(super) fn answer_pre_vote(
        mut self,
        envelope: &consensus::Envelope,
        now: time::Instant,
    ) -> Self {
        let consensus::Message::PreVote {
            term,
            last_index,
            last_term,
            founding,
        } = &envelope.message
        else {
            return self;
        };
        let leads = matches!(self, Self::Leader(_));
        let core = self.core_mut();
        let last = (*last_index, *last_term);
        let granted = !leads && core.would_grant(envelope, *term, last, founding, now);
        let term = if granted { *term } else { core.vote.term };
        let reply = consensus::Message::PreVoteReply { term, granted };
        core.reply((envelope.from, envelope.from_incarnation), reply);
        self
    }

    pub(super) fn answer_vote(
        mut self,
        envelope: &consensus::Envelope,
        now: time::Instant,
    ) -> Self {
        let consensus::Message::Vote {
            term,
            last_index,
            last_term,
            founding,
        } = &envelope.message
        else {
            return self;
        };
        // A leader steps down by itself when it loses its majority, and a follower that
        // heard from one keeps to it; neither lets a candidate raise its term before.
        let bound = matches!(self, Self::Leader(_)) || self.core().is_promised(now);
        if !bound {
            self = self.catch_up(*term, now);
        }
        let core = self.core_mut();
        let last = (*last_index, *last_term);
        let granted =
            !bound && *term == core.vote.term && core.grant(envelope, last, founding, now);
        let term = core.vote.term;
        let reply = consensus::Message::VoteReply { term, granted };
        core.reply((envelope.from, envelope.from_incarnation), reply);
        self
    }
}

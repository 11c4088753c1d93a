//! Counting of votes and pre-votes.

use std::time;

use crate::{consensus, ids};

/// State that collects votes or pre-votes.
pub(super) trait Campaign: Sized {
    /// Votes granted so far.
    fn tally(&mut self) -> &mut consensus::tally::Tally;

    /// Transition once enough votes are granted.
    fn win(
        participant: consensus::participant::Participant<Self>,
        now: time::Instant,
    ) -> consensus::any_participant::AnyParticipant;

    /// Keeps the state while votes are missing.
    fn undecided(
        participant: consensus::participant::Participant<Self>,
    ) -> consensus::any_participant::AnyParticipant;
}

impl<S: Campaign> consensus::participant::Participant<S> {
    /// Counts this replica's own vote.
    pub(super) fn count_own_vote(
        self,
        now: time::Instant,
    ) -> consensus::any_participant::AnyParticipant {
        let (node, incarnation) = (self.core.config.node, self.core.config.incarnation);
        self.count_vote(node, incarnation, now)
    }

    /// Counts a vote.
    pub(super) fn count_vote(
        mut self,
        node: ids::NodeId,
        incarnation: ids::Incarnation,
        now: time::Instant,
    ) -> consensus::any_participant::AnyParticipant {
        self.state.tally().count_vote(node, incarnation);
        if self.state.tally().wins(&self.core) {
            S::win(self, now)
        } else {
            S::undecided(self)
        }
    }

    /// Starts over with pre-votes after the election timeout, so that the term rises no further.
    pub(super) fn retry(self, now: time::Instant) -> consensus::any_participant::AnyParticipant {
        let term = self.core.vote.term;
        self.become_follower(term, None, now).handle_timeout(now)
    }
}

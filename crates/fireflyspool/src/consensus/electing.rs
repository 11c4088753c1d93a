//! Counting of votes and pre-votes.

use std::time;

use crate::{consensus, ids};

/// State that collects the answers of an electorate.
pub(super) trait Electing: Sized {
    /// Answers so far.
    fn tally(&mut self) -> &mut consensus::tally::Tally;

    /// What follows when the answers win.
    fn win(
        participant: consensus::participant::Participant<Self>,
        now: time::Instant,
    ) -> consensus::standing::Standing;

    /// Goes on collecting.
    fn wait(
        participant: consensus::participant::Participant<Self>,
    ) -> consensus::standing::Standing;
}

impl<S: Electing> consensus::participant::Participant<S> {
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
        self.state.tally().count(node, incarnation);
        if self.state.tally().wins(&self.core) {
            S::win(self, now)
        } else {
            S::wait(self)
        }
    }

    /// Asks again after the election timeout, without raising the term further.
    pub(super) fn ask_again(self, now: time::Instant) -> consensus::standing::Standing {
        let term = self.core.vote.term;
        self.follow(term, None, now).time_out(now)
    }
}

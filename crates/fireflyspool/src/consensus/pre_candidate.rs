//! Pre-candidate state.

use std::time;

use crate::{consensus, ids};

/// State of a participant that asks whether it could win, without raising its term.
///
/// A replica that was cut off therefore returns with its old term and does not
/// unseat a healthy leader.
#[derive(Debug, Default)]
pub(super) struct PreCandidate {
    tally: consensus::tally::Tally,
}

impl PreCandidate {
    /// Opens a round of pre-votes.
    pub(super) fn open(core: &mut consensus::core::Core, now: time::Instant) -> Self {
        core.await_leader(now);
        let forming = core.is_forming();
        let founding = if forming {
            core.config.founding.clone()
        } else {
            Vec::new()
        };
        let message = consensus::Message::PreVote {
            term: core.vote.term + 1,
            last_index: core.log.last_index(),
            last_term: core.log.last_term(),
            founding,
        };
        for node in core.electorate() {
            if node != core.config.node {
                core.send(node, message.clone());
            }
        }
        Self::default()
    }
}

impl consensus::participant::Participant<PreCandidate> {
    /// Stands for election in the next term.
    pub(super) fn stand(
        mut self,
        now: time::Instant,
    ) -> consensus::participant::Participant<consensus::candidate::Candidate> {
        let state = consensus::candidate::Candidate::open(&mut self.core, now);
        consensus::participant::Participant {
            core: self.core,
            state,
        }
    }

    /// Counts this replica's own pre-vote.
    pub(super) fn count_self(self, now: time::Instant) -> consensus::standing::Standing {
        let (node, incarnation) = (self.core.config.node, self.core.config.incarnation);
        self.count(node, incarnation, now)
    }

    /// Counts a pre-vote.
    pub(super) fn count(
        mut self,
        node: ids::NodeId,
        incarnation: ids::Incarnation,
        now: time::Instant,
    ) -> consensus::standing::Standing {
        self.state.tally.count(node, incarnation);
        if self.state.tally.wins(&self.core) {
            self.stand(now).count_self(now)
        } else {
            consensus::standing::Standing::PreCandidate(self)
        }
    }

    /// Starts another round after the election timeout.
    pub(super) fn time_out(self, now: time::Instant) -> consensus::standing::Standing {
        let term = self.core.vote.term;
        self.follow(term, None, now).time_out(now)
    }
}

//! Life cycle of a replica.

use std::time;

use crate::{consensus, ids};

/// Replica in one state of its life cycle; transitions consume it.
#[derive(Debug)]
pub(super) struct Participant<S> {
    pub(super) core: consensus::core::Core,
    pub(super) state: S,
}

impl<S> Participant<S> {
    /// Becomes a follower in a term that is not below the current one; the leader may be unknown.
    pub(super) fn become_follower(
        mut self,
        term: ids::Term,
        leader: Option<ids::NodeId>,
        now: time::Instant,
    ) -> Participant<consensus::follower::Follower> {
        if term > self.core.vote.term {
            self.core.set_vote(term, None);
        }
        self.core.leader = leader;
        self.core.reset_election_timer(now);
        Participant {
            core: self.core,
            state: consensus::follower::Follower,
        }
    }
}

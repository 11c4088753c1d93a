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
    /// Follows a leader, or waits for one, in a term that is not below the current one.
    pub(super) fn follow(
        mut self,
        term: ids::Term,
        leader: Option<ids::NodeId>,
        now: time::Instant,
    ) -> Participant<consensus::follower::Follower> {
        if term > self.core.vote.term {
            self.core.set_vote(term, None);
        }
        self.core.leader = leader;
        self.core.await_leader(now);
        Participant {
            core: self.core,
            state: consensus::follower::Follower,
        }
    }
}

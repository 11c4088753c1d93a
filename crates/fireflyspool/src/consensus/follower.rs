//! Follower state.

use std::time;

use crate::{consensus, ids};

/// State of a participant that follows a leader or waits for one.
#[derive(Debug)]
pub(super) struct Follower;

impl consensus::participant::Participant<Follower> {
    /// Asks the electorate whether an election could be won.
    pub(super) fn ask(
        mut self,
        now: time::Instant,
    ) -> consensus::participant::Participant<consensus::pre_candidate::PreCandidate> {
        self.core.leader = None;
        let state = consensus::pre_candidate::PreCandidate::open(&mut self.core, now);
        consensus::participant::Participant {
            core: self.core,
            state,
        }
    }

    /// Handles the election timeout.
    pub(super) fn time_out(mut self, now: time::Instant) -> consensus::standing::Standing {
        if self.core.may_stand() {
            return self.ask(now).count_self(now);
        }
        self.core.leader = None;
        self.core.await_leader(now);
        consensus::standing::Standing::Follower(self)
    }

    /// Handles a message of the leader of the current term.
    pub(super) fn heed(
        &mut self,
        (from, incarnation): (ids::NodeId, ids::Incarnation),
        message: consensus::Message,
        now: time::Instant,
    ) {
        self.core.heard = now;
        let reply = match message {
            consensus::Message::Append {
                previous_index,
                previous_term,
                commit,
                sent_us,
                entries,
                ..
            } => {
                let previous = (previous_index, previous_term);
                self.core.take_entries(previous, commit, entries, sent_us)
            }
            consensus::Message::Install {
                index,
                index_term,
                members,
                size,
                offset,
                sent_us,
                bytes,
                ..
            } => {
                let part = consensus::Snapshot {
                    index,
                    term: index_term,
                    members,
                    bytes,
                };
                self.core.take_part(part, size, offset, sent_us)
            }
            _ => return,
        };
        self.core.reply((from, incarnation), reply);
    }
}

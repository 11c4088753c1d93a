//! Follower state.

use std::time;

use crate::{consensus, ids};

/// State of a participant that follows a leader or waits for one.
#[derive(Debug)]
pub(super) struct Follower;

impl consensus::participant::Participant<Follower> {
    /// Asks the electorate for pre-votes.
    pub(super) fn start_pre_vote(
        mut self,
        now: time::Instant,
    ) -> consensus::participant::Participant<consensus::pre_candidate::PreCandidate> {
        self.core.leader = None;
        let state = consensus::pre_candidate::PreCandidate::start(&mut self.core, now);
        consensus::participant::Participant {
            core: self.core,
            state,
        }
    }

    /// Handles the election timeout.
    pub(super) fn handle_timeout(
        mut self,
        now: time::Instant,
    ) -> consensus::any_participant::AnyParticipant {
        if self.core.may_campaign() {
            return self.start_pre_vote(now).count_own_vote(now);
        }
        self.core.leader = None;
        self.core.reset_election_timer(now);
        consensus::any_participant::AnyParticipant::Follower(self)
    }

    /// Handles a message of the leader of the current term.
    pub(super) fn handle_leader_message(
        &mut self,
        (from, incarnation): (ids::NodeId, ids::Incarnation),
        message: consensus::Message,
        now: time::Instant,
    ) {
        self.core.last_contact = now;
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
                self.core
                    .receive_entries(previous, commit, entries, sent_us)
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
                let chunk = consensus::Snapshot {
                    index,
                    term: index_term,
                    members,
                    bytes,
                };
                self.core.receive_chunk(chunk, size, offset, sent_us)
            }
            _ => return,
        };
        self.core.reply((from, incarnation), reply);
    }
}

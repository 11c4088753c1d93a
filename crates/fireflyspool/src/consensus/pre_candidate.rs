//! Pre-candidate state.

use std::time;

use crate::consensus;

/// State of a participant that collects pre-votes before it raises its term.
///
/// A replica that was partitioned therefore returns with its old term and does
/// not depose a healthy leader.
#[derive(Debug, Default)]
pub(super) struct PreCandidate {
    tally: consensus::tally::Tally,
}

impl PreCandidate {
    /// Starts a round of pre-votes.
    pub(super) fn start(core: &mut consensus::core::Core, now: time::Instant) -> Self {
        core.reset_election_timer(now);
        let message = consensus::Message::PreVote(core.vote_request(core.vote.term + 1));
        core.send_to_electorate(&message);
        Self::default()
    }
}

impl consensus::participant::Participant<PreCandidate> {
    /// Starts an election in the next term.
    pub(super) fn start_election(
        mut self,
        now: time::Instant,
    ) -> consensus::participant::Participant<consensus::candidate::Candidate> {
        let state = consensus::candidate::Candidate::start(&mut self.core, now);
        consensus::participant::Participant {
            core: self.core,
            state,
        }
    }
}

impl consensus::campaign::Campaign for PreCandidate {
    fn tally(&mut self) -> &mut consensus::tally::Tally {
        &mut self.tally
    }

    fn win(
        participant: consensus::participant::Participant<Self>,
        now: time::Instant,
    ) -> consensus::any_participant::AnyParticipant {
        participant.start_election(now).count_own_vote(now)
    }

    fn undecided(
        participant: consensus::participant::Participant<Self>,
    ) -> consensus::any_participant::AnyParticipant {
        consensus::any_participant::AnyParticipant::PreCandidate(participant)
    }
}

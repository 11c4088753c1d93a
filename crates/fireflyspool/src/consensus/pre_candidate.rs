//! Pre-candidate state.

use std::time;

use crate::consensus;

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
        let message = consensus::Message::PreVote(core.vote_request(core.vote.term + 1));
        core.ask_electorate(&message);
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
}

impl consensus::electing::Electing for PreCandidate {
    fn tally(&mut self) -> &mut consensus::tally::Tally {
        &mut self.tally
    }

    fn win(
        participant: consensus::participant::Participant<Self>,
        now: time::Instant,
    ) -> consensus::standing::Standing {
        participant.stand(now).count_self(now)
    }

    fn wait(
        participant: consensus::participant::Participant<Self>,
    ) -> consensus::standing::Standing {
        consensus::standing::Standing::PreCandidate(participant)
    }
}

//! Messages and bytes of control traffic by kind.

use fireflyspool::hub;

/// Bytes that HTTP, WebSocket, TCP and IP add to a message; see docs/CAPACITY.md.
const FRAMING: usize = 120;

/// Number and bytes of the messages of one kind.
#[derive(Clone, Copy, Default)]
pub(crate) struct Tally {
    pub(crate) messages: usize,
    pub(crate) bytes: usize,
}

impl Tally {
    fn add(&mut self, message: &impl serde::Serialize) {
        self.messages += 1;
        self.bytes += FRAMING + serde_json::to_vec(message).expect("it encodes").len();
    }
}

/// Control traffic of a site.
#[derive(Clone, Copy, Default)]
pub(crate) struct Traffic {
    /// Polls of entry VMs and their replies.
    pub(crate) polls: Tally,
    pub(crate) replies: Tally,
    /// Batches between hubs.
    pub(crate) batches: Tally,
    /// Observations of entry VMs.
    pub(crate) observations: Tally,
}

impl Traffic {
    pub(crate) fn count_poll(&mut self, request: &hub::FollowRequest) {
        self.polls.add(request);
    }

    pub(crate) fn count_reply(&mut self, reply: &hub::FollowReply) {
        self.replies.add(reply);
    }

    pub(crate) fn count_batch(&mut self, batch: &hub::Batch) {
        self.batches.add(batch);
    }

    pub(crate) fn count_observation(&mut self, reports: &[hub::Observation]) {
        self.observations.add(&reports);
    }

    pub(crate) fn total(&self) -> Tally {
        let kinds = [self.polls, self.replies, self.batches, self.observations];
        Tally {
            messages: kinds.iter().map(|kind| kind.messages).sum(),
            bytes: kinds.iter().map(|kind| kind.bytes).sum(),
        }
    }
}

//! End of sending, because the request is no longer authorized.

use std::time;

use crate::{fleet, forward, ids};

impl forward::Exchange {
    /// Sends nothing from now on; what runs goes on, and its responses still count.
    ///
    /// `unsent` are the attempts and groups that were to be sent and were not. If nothing has
    /// run, the request is refused.
    pub fn bar(
        &mut self,
        unsent: &[ids::AttemptId],
        fleet: &fleet::Fleet,
        now: time::Instant,
    ) -> Vec<forward::Action> {
        self.barred = true;
        let is_unsent = |id: ids::AttemptId| unsent.contains(&id);
        let attempts = self
            .attempts
            .extract_if(.., |attempt| is_unsent(attempt.id));
        let mut indexes: Vec<_> = attempts.map(|attempt| attempt.index).collect();
        let groups = self.groups.extract_if(.., |group| is_unsent(group.id));
        for group in groups {
            indexes.extend(group.running());
        }
        for index in indexes {
            if let Some(pending) = self.sub_requests[index].pending_mut() {
                pending.state.running = pending.state.running.saturating_sub(1);
            }
        }
        for index in 0..self.sub_requests.len() {
            let pending = self.sub_requests[index].pending_mut();
            if pending.is_some_and(|pending| pending.state.running == 0) {
                self.fail(index, None);
            }
        }
        self.advance(fleet, now)
    }
}

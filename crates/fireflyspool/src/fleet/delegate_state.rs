//! Another entry VM as a gatherer of groups.

use std::time;

use crate::{fleet, ids};

/// Pause after a group that was refused.
const REFUSAL_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Pause after a group that was late or lost. It ends after the control VMs have found out
/// that the entry VM does not live, so that one which does not is rarely tried again.
const FAILURE_PAUSE: time::Duration = time::Duration::from_secs(3);

/// Entry VM with the groups that this VM has delegated to it.
#[derive(Debug)]
pub(super) struct DelegateState {
    pub(super) zone: ids::ZoneName,
    pub(super) incarnation: ids::Incarnation,
    /// Position in the list of the control VM; lower ones are preferred.
    pub(super) rank: usize,
    /// Groups under way.
    pub(super) running: usize,
    /// Until when it gets no groups.
    paused_until: Option<time::Instant>,
}

impl DelegateState {
    /// State of an entry VM that has got no group.
    pub(super) fn new(zone: ids::ZoneName, incarnation: ids::Incarnation) -> Self {
        Self {
            zone,
            incarnation,
            rank: 0,
            running: 0,
            paused_until: None,
        }
    }

    /// Whether it may get a group.
    pub(super) fn is_usable(&self, now: time::Instant) -> bool {
        self.paused_until.is_none_or(|until| until <= now)
    }

    /// Records how a group went.
    pub(super) fn record(&mut self, result: fleet::AttemptResult, now: time::Instant) {
        let pause = match result {
            fleet::AttemptResult::Answered { .. } => return,
            fleet::AttemptResult::Rejected | fleet::AttemptResult::Full => REFUSAL_PAUSE,
            fleet::AttemptResult::Failed
            | fleet::AttemptResult::Unreachable
            | fleet::AttemptResult::Abandoned { .. } => FAILURE_PAUSE,
        };
        self.paused_until = self.paused_until.max(Some(now + pause));
    }
}

//! What an entry VM knows about a control VM as a source of tokens.

use std::time;

use crate::quota::hub_call;

/// Call in flight, and how the last ones ended.
#[derive(Clone, Debug, Default)]
pub(super) struct HubState {
    pub(super) call: Option<hub_call::HubCall>,
    /// Until when other control VMs are preferred, because an answer was overdue.
    pub(super) slow_until: Option<time::Instant>,
    /// Until when it is not asked, because a call has failed.
    pub(super) failed_until: Option<time::Instant>,
}

impl HubState {
    /// Whether calls to it fail.
    pub(super) fn is_failed(&self, now: time::Instant) -> bool {
        self.failed_until.is_some_and(|until| now < until)
    }

    /// Whether its last answer was overdue.
    pub(super) fn is_slow(&self, now: time::Instant) -> bool {
        self.slow_until.is_some_and(|until| now < until)
    }
}

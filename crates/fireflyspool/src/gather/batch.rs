//! Actions of one event, grouped by owner.

use crate::{dispatch, gather, ids, sorted};

/// Collects the actions of one event, so that each owner gets one call.
#[derive(Debug, Default)]
pub(super) struct Batch {
    dispatches: sorted::SortedMap<ids::NodeId, Vec<dispatch::SubRequest>>,
    cancels: sorted::SortedMap<ids::NodeId, Vec<ids::SubRequestId>>,
    decisions: Vec<gather::Decision>,
}

impl Batch {
    pub(super) fn dispatch(
        &mut self,
        owner: ids::NodeId,
        sub: dispatch::SubRequest,
        decision: gather::Decision,
    ) {
        self.dispatches
            .get_or_insert_with(owner, Vec::new)
            .push(sub);
        self.decisions.push(decision);
    }

    /// Cancels a sub-request and returns whether it had been sent; one that is
    /// still in this batch is dropped.
    pub(super) fn cancel(&mut self, owner: ids::NodeId, sub: ids::SubRequestId) -> bool {
        if let Some(subs) = self.dispatches.get_mut(&owner) {
            let before = subs.len();
            subs.retain(|request| request.sub != sub);
            if subs.len() < before {
                return false;
            }
        }
        self.cancels.get_or_insert_with(owner, Vec::new).push(sub);
        true
    }

    /// Puts cancellations first: they free permits that the dispatches may need.
    pub(super) fn into_actions(self) -> Vec<gather::Action> {
        let cancels = self.cancels.into_iter();
        let cancels = cancels.map(|(owner, subs)| gather::Action::Cancel { owner, subs });
        let dispatches = self
            .dispatches
            .into_iter()
            .filter(|(_, subs)| !subs.is_empty());
        let dispatches = dispatches.map(|(owner, subs)| gather::Action::Dispatch { owner, subs });
        let decisions = self.decisions.into_iter().map(gather::Action::Log);
        cancels.chain(dispatches).chain(decisions).collect()
    }
}

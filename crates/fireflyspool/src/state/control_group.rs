//! Desired membership of the control group.

use std::net;

use crate::{ids, sorted, state};

/// Control VMs that were added and removed by commands.
///
/// The leader changes the membership of the replicated log towards this one
/// step at a time, and a new leader continues where the former one stopped. The
/// number of a removed VM is never used again: a VM whose disk was lost comes
/// back under a new number, so that it cannot vote again where it voted before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ControlGroup {
    /// VMs that were added and not removed.
    pub added: sorted::SortedMap<ids::NodeId, state::ControlRecord>,
    /// VMs that were removed, with the number of the command; 0 without a numbered command.
    pub removed: sorted::SortedMap<ids::NodeId, ids::CommandNumber>,
}

impl ControlGroup {
    /// Records that a VM is to join.
    ///
    /// # Errors
    ///
    /// Returns [`state::ChangeError::Exists`] if its number was used before.
    pub fn add(
        &mut self,
        node: ids::NodeId,
        incarnation: ids::Incarnation,
        rpc: net::SocketAddr,
    ) -> Result<(), state::ChangeError> {
        if self.added.contains_key(&node) || self.removed.contains_key(&node) {
            return Err(state::ChangeError::Exists(format!("control VM {node}")));
        }
        self.added
            .insert(node, state::ControlRecord { incarnation, rpc });
        Ok(())
    }

    /// Records that a VM is to join, in place of any other VM at its address.
    pub fn join(
        &mut self,
        node: ids::NodeId,
        incarnation: ids::Incarnation,
        rpc: net::SocketAddr,
    ) -> state::IdempotentOutcome {
        if self.removed.contains_key(&node) {
            return state::IdempotentOutcome::Retired;
        }
        let replaced = |(other, record): (&ids::NodeId, &state::ControlRecord)| {
            (*other != node && record.rpc == rpc).then_some(*other)
        };
        let former: Vec<_> = self.added.iter().filter_map(replaced).collect();
        for other in former {
            self.added.remove(&other);
            self.removed.insert(other, 0);
        }
        self.added
            .insert(node, state::ControlRecord { incarnation, rpc });
        state::IdempotentOutcome::Accepted
    }

    /// Records that a VM is to leave.
    ///
    /// # Errors
    ///
    /// Returns [`state::ChangeError::Missing`] if it was removed before.
    pub fn remove(
        &mut self,
        node: ids::NodeId,
        number: ids::CommandNumber,
    ) -> Result<(), state::ChangeError> {
        if self.removed.contains_key(&node) {
            return Err(state::ChangeError::Missing(format!("control VM {node}")));
        }
        self.added.remove(&node);
        self.removed.insert(node, number);
        Ok(())
    }
}

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
    /// Most voters that were live together for some time.
    #[serde(default)]
    pub size: usize,
    /// VMs that were told to stop and have not joined again.
    #[serde(default)]
    pub leaving: sorted::SortedMap<ids::NodeId, ()>,
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

    /// Voters that are expected to be live.
    pub fn expected_size(&self) -> usize {
        let staying = self.added.len().saturating_sub(self.leaving.len());
        self.size.min(staying)
    }

    /// Records that more voters are live than were expected.
    pub fn resize(&mut self, size: usize) {
        self.size = self.size.max(size);
    }

    /// Records that the VM at an address was told to stop.
    pub fn leave(&mut self, rpc: net::SocketAddr) {
        let mut added = self.added.iter();
        if let Some((node, _)) = added.find(|(_, record)| record.rpc == rpc) {
            self.leaving.insert(*node, ());
        }
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
            self.leaving.remove(&other);
            self.removed.insert(other, 0);
        }
        self.leaving.remove(&node);
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
        self.leaving.remove(&node);
        self.removed.insert(node, number);
        Ok(())
    }
}

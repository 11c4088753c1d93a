//! Evidence that a hub holds every acknowledged configuration.
//!
//! An acknowledged configuration is in the logs of a majority of the voters. So a hub that holds
//! version V, and whose batches sent at time T or later were answered by a majority with logs
//! that hold nothing above V, holds everything that was acknowledged before T.
//!
//! Only answers whose log ends with the same member list count. Otherwise a hub that is cut off
//! together with former voters would take them for the present majority: an entry that changes
//! the members is in the log of a voter of every former majority before the next one commits.
//!
//! Times are boot times, so after a suspension the evidence is as old as it really is.

use std::time;

use crate::{hub, ids};

impl hub::Hub {
    /// Sets the log of the replica on this VM; `None` if there is none that can be read.
    pub fn set_log(&mut self, log: Option<hub::LogState>) {
        self.log = log;
    }

    /// Boot time before which every acknowledged configuration has a version that this hub
    /// holds; `None` if no majority has confirmed it.
    pub(super) fn evidence(&self, boot: time::Duration) -> Option<time::Duration> {
        let log = self.log.as_ref()?;
        let held = self.version();
        let confirmed = |node: &ids::NodeId| match *node == log.tail.node {
            true => (log.votes && log.tail.version <= held).then_some(boot),
            false => self.proven(*node, log.tail.members, held),
        };
        let mut times: Vec<_> = log.voters.iter().filter_map(confirmed).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(log.voters.len() / 2).copied()
    }

    /// When the last batch was sent that a voter answered with a log of these members and
    /// nothing above a version.
    fn proven(
        &self,
        node: ids::NodeId,
        members: u64,
        held: ids::ConfigVersion,
    ) -> Option<time::Duration> {
        let proofs = self.peers.values().filter_map(|peer| peer.proof);
        let valid = proofs.filter(|proof| {
            let tail = &proof.tail;
            tail.node == node && tail.members == members && tail.version <= held
        });
        valid.map(|proof| proof.sent).max()
    }

    /// Age of the evidence in whole milliseconds, rounded up.
    pub(super) fn evidence_ms(&self, boot: time::Duration) -> Option<u64> {
        let age = boot.saturating_sub(self.evidence(boot)?);
        u64::try_from(age.as_millis() + 1).ok()
    }
}

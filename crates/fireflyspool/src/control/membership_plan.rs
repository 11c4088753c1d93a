//! Next step towards a control group that bears further losses.
//!
//! A group works while more than half of its voters are live, so each step keeps that true and
//! raises the number of further voters that may be lost, or leaves it as it is:
//!
//! 1. Voters whose number was retired never return, so they are removed first.
//! 2. VMs that asked to join become learners, and voters as soon as they have caught up. A
//!    learner that is gone does not hold up others.
//! 3. A member is retired once as many other voters are live as the group is expected to have:
//!    then another VM has taken its place. One that is silent for long is retired in any case,
//!    as long as enough voters are left. A VM that was retired by mistake joins again.
//!
//! How many voters are expected is part of the replicated state, because a new leader cannot
//! tell a VM that is replaced from one that restarts.

use std::time;

use crate::{consensus, control, ids, state};

/// Silence after which a member is retired if others have taken its place; a VM that restarts
/// is back earlier.
const REPLACE_AFTER: time::Duration = time::Duration::from_secs(2);

/// Silence after which a member is retired although none has taken its place; longer than
/// most partitions and freezes.
const ABANDON_AFTER: time::Duration = time::Duration::from_secs(15);

/// Voters that stay when silent ones are retired without a replacement.
const MIN_VOTERS: usize = 3;

/// Time for which more voters than expected must be live together to count as the new size;
/// longer than a planned replacement, in which the former VM and the new one overlap.
const GROW_AFTER: time::Duration = time::Duration::from_secs(3);

/// What a plan is based on: the members of the log, those that are wanted, and who is live.
#[derive(Clone, Copy, Debug)]
pub struct MembershipPlan<'a> {
    /// Number of the leader's VM.
    pub own: ids::NodeId,
    /// Members according to the latest entry of the log.
    pub members: &'a consensus::Members,
    /// Wanted members.
    pub group: &'a state::ControlGroup,
    /// What the leader has heard of the members.
    pub attendance: &'a control::Attendance,
    /// Current time.
    pub now: time::Instant,
}

impl MembershipPlan<'_> {
    /// Next change of the members in the log towards the wanted ones.
    pub fn next_change(&self) -> Option<consensus::MembershipChange> {
        self.removal()
            .or_else(|| self.addition())
            .or_else(|| self.promotion())
    }

    /// Next command that changes which members are wanted or expected.
    pub fn next_command(&self) -> Option<state::IdempotentCommand> {
        let replaced = self.members.iter().find(|member| self.is_replaced(member));
        if let Some(member) = replaced {
            let node = member.node;
            return Some(state::IdempotentCommand::Retire { node });
        }
        let size = self.attendance.complete_for(GROW_AFTER, self.now)?;
        (size > self.group.size).then_some(state::IdempotentCommand::Resize { size })
    }

    /// Members that have been silent for longer than those that are live, with the time.
    pub fn silent(&self) -> Vec<(ids::NodeId, time::Duration)> {
        let silent = self.members.iter().filter(|member| !self.is_live(member));
        let since = |member: &consensus::Member| {
            let silence = self.attendance.silence(member.node, self.now);
            (member.node, silence)
        };
        silent.map(since).collect()
    }

    /// Retired member without which the live voters are still a majority, a silent one if
    /// possible and the leader last.
    fn removal(&self) -> Option<consensus::MembershipChange> {
        let retired = |member: &&consensus::Member| !self.is_wanted(member.node);
        let mut candidates: Vec<_> = self.members.iter().filter(retired).collect();
        candidates.sort_by_key(|member| (member.node == self.own, self.is_live(member)));
        let found = candidates.into_iter().find(|member| {
            let others = self.members.voters().filter(|node| *node != member.node);
            let others: Vec<_> = others.collect();
            let is_live = |node: &&ids::NodeId| self.attendance.is_live(**node, self.now);
            others.iter().filter(is_live).count() * 2 > others.len()
        });
        let node = found?.node;
        Some(consensus::MembershipChange::Remove { node })
    }

    fn addition(&self) -> Option<consensus::MembershipChange> {
        let mut added = self.group.added.iter();
        let (node, record) = added.find(|(node, _)| self.members.get(**node).is_none())?;
        Some(consensus::MembershipChange::AddLearner {
            node: *node,
            incarnation: record.incarnation,
        })
    }

    fn promotion(&self) -> Option<consensus::MembershipChange> {
        let found = self.members.iter().find(|member| {
            !self.members.is_voter(member.node)
                && self.is_wanted(member.node)
                && self.is_live(member)
                && self.attendance.is_caught_up(member.node)
        });
        let node = found?.node;
        Some(consensus::MembershipChange::Promote { node })
    }

    /// Whether a wanted member is to be retired.
    fn is_replaced(&self, member: &consensus::Member) -> bool {
        if !self.is_wanted(member.node) || member.node == self.own || self.is_live(member) {
            return false;
        }
        let silence = self.attendance.silence(member.node, self.now);
        let wanted = self.members.voters().filter(|node| self.is_wanted(*node));
        let live = wanted
            .filter(|node| self.attendance.is_live(*node, self.now))
            .count();
        let expected = self.group.expected_size();
        let has_successor = expected > 0 && live >= expected;
        (silence >= REPLACE_AFTER && has_successor)
            || (silence >= ABANDON_AFTER && live >= MIN_VOTERS)
    }

    fn is_wanted(&self, node: ids::NodeId) -> bool {
        !self.group.removed.contains_key(&node)
    }

    fn is_live(&self, member: &consensus::Member) -> bool {
        self.attendance.is_live(member.node, self.now)
    }
}

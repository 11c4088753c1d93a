//! Member list of the group.

use crate::{consensus, hashing, ids};

/// Members in ascending order of their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Members {
    list: Vec<consensus::Member>,
}

impl Members {
    /// Member list of voters without learners.
    pub fn of_voters(voters: impl IntoIterator<Item = (ids::NodeId, ids::Incarnation)>) -> Self {
        let voter = |(node, incarnation)| consensus::Member {
            node,
            incarnation,
            kind: consensus::MemberKind::Voter,
        };
        let mut list: Vec<_> = voters.into_iter().map(voter).collect();
        list.sort_unstable_by_key(|member| member.node);
        list.dedup_by_key(|member| member.node);
        Self { list }
    }

    /// Member with a number.
    pub fn get(&self, node: ids::NodeId) -> Option<&consensus::Member> {
        let position = self.position(node).ok()?;
        self.list.get(position)
    }

    /// All members, ascending.
    pub fn iter(&self) -> impl Iterator<Item = &consensus::Member> {
        self.list.iter()
    }

    /// Numbers of the voters, ascending.
    pub fn voters(&self) -> impl Iterator<Item = ids::NodeId> {
        let voters = |member: &&consensus::Member| member.kind == consensus::MemberKind::Voter;
        self.list.iter().filter(voters).map(|member| member.node)
    }

    /// Whether a node is a voter.
    pub fn is_voter(&self, node: ids::NodeId) -> bool {
        self.get(node)
            .is_some_and(|member| member.kind == consensus::MemberKind::Voter)
    }

    /// Whether a node is a voter in this incarnation.
    pub fn has_voter(&self, node: ids::NodeId, incarnation: ids::Incarnation) -> bool {
        let recorded = self.get(node).map(|member| member.incarnation);
        self.is_voter(node) && recorded == Some(incarnation)
    }

    /// Whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Hash of the list, equal for equal lists.
    pub fn checksum(&self) -> u64 {
        let add = |hasher: hashing::StableHasher, member: &consensus::Member| {
            let votes = member.kind == consensus::MemberKind::Voter;
            let hasher = hasher.number(member.node).number(member.incarnation);
            hasher.number(u64::from(votes))
        };
        let hasher = self.list.iter().fold(hashing::StableHasher::new(), add);
        // 53 bits, which a JSON number holds exactly in any parser.
        hasher.finish() >> 11
    }

    /// Smallest number of voters that is a majority.
    pub fn quorum_size(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The member list after a change.
    ///
    /// # Errors
    ///
    /// Returns the reason if the change does not fit this member list.
    pub fn changed(
        &self,
        change: consensus::MembershipChange,
    ) -> Result<Self, consensus::ChangeRefusal> {
        let mut list = self.list.clone();
        match change {
            consensus::MembershipChange::AddLearner { node, incarnation } => {
                let Err(position) = self.position(node) else {
                    return Err(consensus::ChangeRefusal::Present);
                };
                let learner = consensus::Member {
                    node,
                    incarnation,
                    kind: consensus::MemberKind::Learner,
                };
                list.insert(position, learner);
            }
            consensus::MembershipChange::Promote { node } => {
                let position = self.member_position(node)?;
                if self.is_voter(node) {
                    return Err(consensus::ChangeRefusal::Present);
                }
                list[position].kind = consensus::MemberKind::Voter;
            }
            consensus::MembershipChange::Remove { node } => {
                let position = self.member_position(node)?;
                if self.is_voter(node) && self.voters().count() == 1 {
                    return Err(consensus::ChangeRefusal::LastVoter);
                }
                list.remove(position);
            }
        }
        Ok(Self { list })
    }

    fn position(&self, node: ids::NodeId) -> Result<usize, usize> {
        self.list.binary_search_by_key(&node, |member| member.node)
    }

    fn member_position(&self, node: ids::NodeId) -> Result<usize, consensus::ChangeRefusal> {
        self.position(node)
            .map_err(|_| consensus::ChangeRefusal::Absent)
    }
}

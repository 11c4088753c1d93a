//! When the leader last heard of each member of the control group.

use std::time;

use crate::{consensus, ids, sorted};

/// Silence up to which a member counts as live: several heartbeats of the leader.
const LIVE_FOR: time::Duration = time::Duration::from_secs(1);

/// What the leader of a term knows of the members, itself included.
#[derive(Clone, Debug)]
pub struct Attendance {
    /// When each member was last heard, or was first seen in this term.
    heard: sorted::SortedMap<ids::NodeId, time::Instant>,
    /// Numbers of log entries that the members hold.
    matched: sorted::SortedMap<ids::NodeId, ids::LogIndex>,
    commit: ids::LogIndex,
    /// Since when all voters have been live, with their number; `None` if one is silent.
    complete: Option<(usize, time::Instant)>,
}

impl Attendance {
    /// Attendance of a term that begins.
    pub fn new() -> Self {
        Self {
            heard: sorted::SortedMap::new(),
            matched: sorted::SortedMap::new(),
            commit: 0,
            complete: None,
        }
    }

    /// Records the state of the leader's replica.
    pub fn update(&mut self, status: &consensus::Status, now: time::Instant) {
        self.commit = status.commit_index;
        self.heard
            .retain(|node, _| status.members.get(*node).is_some());
        self.matched
            .retain(|node, _| status.members.get(*node).is_some());
        for member in status.members.iter() {
            self.heard.get_or_insert_with(member.node, || now);
        }
        self.heard.insert(status.node, now);
        self.matched.insert(status.node, status.last_index);
        for follower in &status.followers {
            if let Some(heard) = self.heard.get_mut(&follower.node) {
                *heard = (*heard).max(follower.acknowledged.unwrap_or(*heard));
            }
            self.matched.insert(follower.node, follower.match_index);
        }
        let voters = status.members.voters().count();
        let all_live = status.members.voters().all(|node| self.is_live(node, now));
        self.complete = match self.complete {
            Some((count, since)) if all_live && count == voters => Some((count, since)),
            _ => all_live.then_some((voters, now)),
        };
    }

    /// Time since a member was last heard; zero if it is not known.
    pub fn silence(&self, node: ids::NodeId, now: time::Instant) -> time::Duration {
        let heard = self.heard.get(&node);
        heard.map_or(time::Duration::ZERO, |heard| {
            now.saturating_duration_since(*heard)
        })
    }

    /// Whether a member was heard a moment ago.
    pub fn is_live(&self, node: ids::NodeId, now: time::Instant) -> bool {
        self.heard.contains_key(&node) && self.silence(node, now) <= LIVE_FOR
    }

    /// Whether a member holds all committed entries.
    pub fn is_caught_up(&self, node: ids::NodeId) -> bool {
        let matched = self.matched.get(&node);
        matched.is_some_and(|matched| *matched >= self.commit)
    }

    /// Number of voters if all of them have been live for some time.
    pub fn complete_for(&self, length: time::Duration, now: time::Instant) -> Option<usize> {
        let (count, since) = self.complete?;
        (now.saturating_duration_since(since) >= length).then_some(count)
    }
}

impl Default for Attendance {
    fn default() -> Self {
        Self::new()
    }
}

//! All waiting sub-requests of a dispatcher.

use std::time;

use crate::dispatch::{group, position, queue_key, target, waiting};
use crate::sorted;

/// Queues by target, with the deadlines of everything in them.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    targets: sorted::SortedMap<target::Target, target::TargetKey>,
    groups: Vec<Option<group::Group>>,
    deadlines: sorted::SortedMap<(time::Instant, u64), position::Position>,
}

impl Backlog {
    pub(super) fn len(&self) -> usize {
        self.deadlines.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    pub(super) fn find(&self, target: &target::Target) -> Option<target::TargetKey> {
        self.targets.get(target).copied()
    }

    /// Number of a target, registered first if it is new.
    pub(super) fn register(&mut self, target: target::Target) -> target::TargetKey {
        if let Some(known) = self.find(&target) {
            return known;
        }
        let group = group::Group::default();
        let free = self.groups.iter().position(Option::is_none);
        let key = free.unwrap_or(self.groups.len());
        if key == self.groups.len() {
            self.groups.push(Some(group));
        } else {
            self.groups[key] = Some(group);
        }
        self.targets.insert(target, key);
        key
    }

    pub(super) fn group(&self, target: target::TargetKey) -> Option<&group::Group> {
        self.groups.get(target)?.as_ref()
    }

    pub(super) fn group_mut(&mut self, target: target::TargetKey) -> Option<&mut group::Group> {
        self.groups.get_mut(target)?.as_mut()
    }

    /// Numbers of all targets.
    pub(super) fn target_keys(&self) -> Vec<target::TargetKey> {
        self.targets.values().copied().collect()
    }

    /// Forgets targets that no server serves and nothing waits for.
    pub(super) fn prune(&mut self) {
        let groups = &mut self.groups;
        self.targets.retain(|_, key| {
            let used = groups[*key]
                .as_ref()
                .is_some_and(|group| !group.servers.is_empty() || group.waiting() > 0);
            if !used {
                groups[*key] = None;
            }
            used
        });
    }

    /// Adds a sub-request and returns its position.
    pub(super) fn push(
        &mut self,
        entry: Box<waiting::Waiting>,
        hedges_first: bool,
    ) -> position::Position {
        let position = position::Position {
            target: entry.target,
            kind: entry.request.kind,
            key: queue_key::QueueKey {
                first_attempt: !(entry.request.hedge && hedges_first),
                deadline: entry.deadline,
                sequence: entry.sequence,
            },
        };
        let due = (entry.deadline, entry.sequence);
        if let Some(group) = self.group_mut(position.target) {
            group.queues[position.kind.index()].insert(position.key, entry);
            self.deadlines.insert(due, position);
        }
        position
    }

    /// Removes a sub-request.
    pub(super) fn take(&mut self, position: position::Position) -> Option<Box<waiting::Waiting>> {
        let group = self.group_mut(position.target)?;
        let entry = group.queues[position.kind.index()].remove(&position.key)?;
        self.deadlines
            .remove(&(position.key.deadline, position.key.sequence));
        Some(entry)
    }

    /// Earliest deadline of anything that waits.
    pub(super) fn first_deadline(&self) -> Option<time::Instant> {
        self.deadlines.first().map(|(key, _)| key.0)
    }

    /// Position of what has the earliest deadline, if that is not after the given time.
    pub(super) fn due(&self, latest: time::Instant) -> Option<position::Position> {
        let (key, position) = self.deadlines.first()?;
        (key.0 <= latest).then_some(*position)
    }

    /// Positions of everything that waits and fits a predicate.
    pub(super) fn positions(
        &self,
        mut fits: impl FnMut(&waiting::Waiting) -> bool,
    ) -> Vec<position::Position> {
        let all = self.deadlines.values().copied();
        all.filter(|position| self.entry(*position).is_some_and(&mut fits))
            .collect()
    }

    /// Sub-request at a position.
    pub(super) fn entry(&self, position: position::Position) -> Option<&waiting::Waiting> {
        let group = self.group(position.target)?;
        let entry = group.queues[position.kind.index()].get(&position.key)?;
        Some(entry)
    }
}

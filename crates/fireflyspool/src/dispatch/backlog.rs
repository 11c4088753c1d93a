//! All waiting sub-requests of a dispatcher.

use std::time;

use crate::dispatch::{group, queue_key, target, timers, waiting};
use crate::sorted;

/// Number of a waiting sub-request at this dispatcher; used again after it has left.
pub(super) type Position = u32;

/// Waiting sub-requests, queued by target.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    // Queues hold positions only, so that an insertion moves few bytes.
    entries: Vec<Option<Box<waiting::Waiting>>>,
    free: Vec<Position>,
    targets: sorted::SortedMap<target::Target, target::TargetKey>,
    groups: Vec<Option<group::Group>>,
    deadlines: timers::Timers<(Position, u64)>,
}

impl Backlog {
    pub(super) fn len(&self) -> usize {
        self.entries.len() - self.free.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
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
    pub(super) fn push(&mut self, entry: Box<waiting::Waiting>) -> Position {
        let position = self.free.pop().unwrap_or_else(|| {
            self.entries.push(None);
            Position::try_from(self.entries.len() - 1).unwrap_or(Position::MAX)
        });
        let (target, kind) = (entry.target, entry.request.kind);
        let key = queue_key::QueueKey::of(&entry, position);
        self.deadlines
            .push(entry.deadline, (position, entry.sequence));
        if let Some(group) = self.group_mut(target) {
            group.queues[kind.index()].insert(key, ());
        }
        if let Some(place) = self.entries.get_mut(position as usize) {
            *place = Some(entry);
        }
        position
    }

    /// Removes a sub-request.
    pub(super) fn take(&mut self, position: Position) -> Option<Box<waiting::Waiting>> {
        let entry = self.entries.get_mut(position as usize)?.take()?;
        self.free.push(position);
        let key = queue_key::QueueKey::of(&entry, position);
        if let Some(group) = self.group_mut(entry.target) {
            group.queues[entry.request.kind.index()].remove(&key);
        }
        Some(entry)
    }

    /// Earliest deadline of anything that waits.
    pub(super) fn first_deadline(&self) -> Option<time::Instant> {
        self.deadlines.first().map(|(time, _)| time)
    }

    /// Drops deadlines of what has left the backlog.
    pub(super) fn tidy(&mut self) {
        let live = self.len();
        let entries = &self.entries;
        self.deadlines.tidy(live, |_, (position, sequence)| {
            let entry = entries.get(position as usize).and_then(Option::as_ref);
            entry.is_some_and(|entry| entry.sequence == sequence)
        });
    }

    /// Position of what has the earliest deadline, if that is not after the given time.
    pub(super) fn due(&mut self, latest: time::Instant) -> Option<Position> {
        self.tidy();
        let (time, (position, _)) = self.deadlines.first()?;
        (time <= latest).then_some(position)
    }

    /// Positions of everything that waits and fits a predicate.
    pub(super) fn positions(
        &self,
        mut fits: impl FnMut(&waiting::Waiting) -> bool,
    ) -> Vec<Position> {
        let all = (0..).zip(&self.entries);
        all.filter(|(_, entry)| entry.as_ref().is_some_and(|entry| fits(entry)))
            .map(|(position, _)| position)
            .collect()
    }

    /// Sub-request at a position.
    pub(super) fn entry(&self, position: Position) -> Option<&waiting::Waiting> {
        self.entries.get(position as usize)?.as_deref()
    }
}

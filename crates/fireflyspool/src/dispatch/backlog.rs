//! Sub-requests that wait for a permit.

use std::time;

use crate::dispatch::{group, pending_sub, queue_key, target, timers};
use crate::sorted;

/// Index of a waiting sub-request in the backlog; reused after its removal.
pub(super) type EntryIndex = u32;

/// Waiting sub-requests, queued by target.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    // Queues hold indices only, so that an insertion moves few bytes.
    entries: Vec<Option<Box<pending_sub::PendingSub>>>,
    free: Vec<EntryIndex>,
    targets: sorted::SortedMap<target::Target, target::TargetKey>,
    groups: Vec<Option<group::Group>>,
    deadlines: timers::Timers<(EntryIndex, u64)>,
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

    /// Key of a target, which is registered if it is new.
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

    /// Removes targets without servers and without waiting sub-requests.
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

    /// Adds a sub-request to the queue of its target and kind.
    pub(super) fn push(&mut self, entry: Box<pending_sub::PendingSub>) -> EntryIndex {
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push(None);
            EntryIndex::try_from(self.entries.len() - 1).unwrap_or(EntryIndex::MAX)
        });
        let (target, kind) = (entry.target, entry.request.kind);
        let key = queue_key::QueueKey::of(&entry, index);
        self.deadlines.push(entry.deadline, (index, entry.sequence));
        if let Some(group) = self.group_mut(target) {
            group.queues[kind.index()].insert(key, ());
        }
        if let Some(vacant) = self.entries.get_mut(index as usize) {
            *vacant = Some(entry);
        }
        index
    }

    /// Removes a sub-request from the backlog and its queue.
    pub(super) fn take(&mut self, index: EntryIndex) -> Option<Box<pending_sub::PendingSub>> {
        let entry = self.entries.get_mut(index as usize)?.take()?;
        self.free.push(index);
        let key = queue_key::QueueKey::of(&entry, index);
        if let Some(group) = self.group_mut(entry.target) {
            group.queues[entry.request.kind.index()].remove(&key);
        }
        Some(entry)
    }

    /// Earliest deadline of all waiting sub-requests.
    pub(super) fn first_deadline(&self) -> Option<time::Instant> {
        self.deadlines.first().map(|(time, _)| time)
    }

    /// Removes deadlines of sub-requests that have left the backlog.
    pub(super) fn purge(&mut self) {
        let live = self.len();
        let entries = &self.entries;
        self.deadlines.purge(live, |_, (index, sequence)| {
            let entry = entries.get(index as usize).and_then(Option::as_ref);
            entry.is_some_and(|entry| entry.sequence == sequence)
        });
    }

    /// Sub-request with the earliest deadline, if that is at or before `latest`.
    pub(super) fn due(&mut self, latest: time::Instant) -> Option<EntryIndex> {
        self.purge();
        let (time, (index, _)) = self.deadlines.first()?;
        (time <= latest).then_some(index)
    }

    /// Indices of the waiting sub-requests that match a predicate.
    pub(super) fn matching(
        &self,
        mut matches: impl FnMut(&pending_sub::PendingSub) -> bool,
    ) -> Vec<EntryIndex> {
        let all = (0..).zip(&self.entries);
        all.filter(|(_, entry)| entry.as_ref().is_some_and(|entry| matches(entry)))
            .map(|(index, _)| index)
            .collect()
    }

    /// Waiting sub-request with this index.
    pub(super) fn entry(&self, index: EntryIndex) -> Option<&pending_sub::PendingSub> {
        self.entries.get(index as usize)?.as_deref()
    }
}

//! In-memory log.

use crate::{consensus, ids};

/// Log suffix with the latest snapshot and the member list in force.
#[derive(Debug)]
pub(super) struct Log {
    /// Entry before the first of `entries`; 0 at the start of the log.
    base_index: ids::LogIndex,
    base_term: ids::Term,
    base_members: consensus::Members,
    entries: Vec<consensus::Entry>,
    snapshot: Option<consensus::Snapshot>,
    members: consensus::Members,
    members_index: ids::LogIndex,
}

impl Log {
    pub(super) fn new(
        snapshot: Option<consensus::Snapshot>,
        entries: Vec<consensus::Entry>,
    ) -> Self {
        let mut log = Self {
            base_index: 0,
            base_term: 0,
            base_members: consensus::Members::default(),
            entries: Vec::new(),
            snapshot: None,
            members: consensus::Members::default(),
            members_index: 0,
        };
        if let Some(snapshot) = snapshot {
            log.install(snapshot);
        }
        for entry in entries {
            log.append(entry);
        }
        log
    }

    pub(super) fn last_index(&self) -> ids::LogIndex {
        self.entries.last().map_or(self.base_index, |e| e.index)
    }

    pub(super) fn last_term(&self) -> ids::Term {
        self.entries.last().map_or(self.base_term, |e| e.term)
    }

    pub(super) fn snapshot(&self) -> Option<&consensus::Snapshot> {
        self.snapshot.as_ref()
    }

    pub(super) fn snapshot_index(&self) -> ids::LogIndex {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    /// Members according to the latest entry that lists them, committed or not.
    pub(super) fn members(&self) -> &consensus::Members {
        &self.members
    }

    /// Position of the entry that set the members.
    pub(super) fn members_index(&self) -> ids::LogIndex {
        self.members_index
    }

    /// Members in force at an index.
    pub(super) fn members_at(&self, index: ids::LogIndex) -> &consensus::Members {
        let up_to = self.offset(index + 1).unwrap_or(0).min(self.entries.len());
        let found = self.entries[..up_to].iter().rev().find_map(entry_members);
        found.unwrap_or(&self.base_members)
    }

    pub(super) fn term_at(&self, index: ids::LogIndex) -> Option<ids::Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    pub(super) fn entry(&self, index: ids::LogIndex) -> Option<&consensus::Entry> {
        self.entries.get(self.offset(index)?)
    }

    /// Entries from an index on; none if the index is below the kept part.
    pub(super) fn entries_from(&self, index: ids::LogIndex) -> &[consensus::Entry] {
        let entries = self.offset(index).and_then(|from| self.entries.get(from..));
        entries.unwrap_or_default()
    }

    /// Entries after an index; `None` if the log no longer reaches back to it.
    pub(super) fn entries_after(&self, index: ids::LogIndex) -> Option<&[consensus::Entry]> {
        (index >= self.base_index).then(|| self.entries_from(index + 1))
    }

    /// First entry of the term that the entry at `index` belongs to.
    pub(super) fn term_start(&self, index: ids::LogIndex) -> ids::LogIndex {
        let term = self.term_at(index);
        let start = self.entries.partition_point(|e| Some(e.term) < term);
        self.base_index + 1 + start as ids::LogIndex
    }

    /// Last entry of a term, if there is one.
    pub(super) fn term_end(&self, term: ids::Term) -> Option<ids::LogIndex> {
        let end = self.entries.partition_point(|entry| entry.term <= term);
        let last = self.entries.get(end.checked_sub(1)?)?;
        (last.term == term).then_some(last.index)
    }

    pub(super) fn append(&mut self, entry: consensus::Entry) {
        if let consensus::Content::Members(members) = &entry.content {
            self.members = members.clone();
            self.members_index = entry.index;
        }
        self.entries.push(entry);
    }

    /// Removes the entries from an index on.
    pub(super) fn truncate(&mut self, index: ids::LogIndex) {
        let Some(keep) = self.offset(index) else {
            return;
        };
        self.entries.truncate(keep);
        self.restore_members();
    }

    /// Sets the snapshot of an entry in the log and drops older entries beyond `kept_entries`.
    pub(super) fn compact(&mut self, snapshot: consensus::Snapshot, kept_entries: u64) {
        let base = snapshot.index.saturating_sub(kept_entries);
        if base > self.base_index {
            let base_term = self.term_at(base).unwrap_or(snapshot.term);
            self.base_members = self.members_at(base).clone();
            let dropped = self.offset(base + 1).unwrap_or(0).min(self.entries.len());
            self.entries.drain(..dropped);
            self.base_index = base;
            self.base_term = base_term;
            self.restore_members();
        }
        self.snapshot = Some(snapshot);
    }

    /// Replaces the log by a snapshot from the leader or the disk; keeps entries that follow it.
    pub(super) fn install(&mut self, snapshot: consensus::Snapshot) {
        let follows = self.term_at(snapshot.index) == Some(snapshot.term);
        let suffix = if follows {
            self.entries_from(snapshot.index + 1).to_vec()
        } else {
            Vec::new()
        };
        self.entries = suffix;
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.base_members = snapshot.members.clone();
        self.snapshot = Some(snapshot);
        self.restore_members();
    }

    fn offset(&self, index: ids::LogIndex) -> Option<usize> {
        let offset = index.checked_sub(self.base_index + 1)?;
        usize::try_from(offset).ok()
    }

    fn restore_members(&mut self) {
        let mut newest = self.entries.iter().rev();
        let found = newest.find_map(|entry| Some((entry.index, entry_members(entry)?)));
        let (index, members) = found.unwrap_or((self.base_index, &self.base_members));
        (self.members_index, self.members) = (index, members.clone());
    }
}

fn entry_members(entry: &consensus::Entry) -> Option<&consensus::Members> {
    match &entry.content {
        consensus::Content::Members(members) => Some(members),
        consensus::Content::NoOp | consensus::Content::Command(_) => None,
    }
}

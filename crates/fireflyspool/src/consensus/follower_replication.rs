//! Entries and snapshots that a follower receives.

use crate::{consensus, ids};

impl consensus::core::Core {
    /// Stores entries from the leader and returns the reply.
    pub(super) fn receive_entries(
        &mut self,
        previous: (ids::LogIndex, ids::Term),
        commit: ids::LogIndex,
        entries: Vec<consensus::Entry>,
        sent_us: u64,
    ) -> consensus::Message {
        let (previous_index, previous_term) = previous;
        let term = self.vote.term;
        // Committed entries agree with those of every later leader.
        let agrees = previous_index <= self.commit_index
            || self.log.term_at(previous_index) == Some(previous_term);
        if !agrees {
            let missing = previous_index > self.log.last_index();
            let hint_index = if missing {
                self.log.last_index() + 1
            } else {
                self.log.term_start(previous_index)
            };
            return consensus::Message::Rejected {
                term,
                previous_index,
                hint_index: hint_index.max(self.commit_index + 1),
                hint_term: self.log.term_at(previous_index),
                sent_us,
            };
        }
        let mut matched = previous_index;
        for entry in entries {
            // A leader sends consecutive entries; any other entry is ignored.
            if entry.index == matched + 1 {
                matched = entry.index;
                self.store_entry(entry);
            }
        }
        self.advance_commit(commit.min(matched));
        consensus::Message::Accepted {
            term,
            matched,
            sent_us,
        }
    }

    fn store_entry(&mut self, entry: consensus::Entry) {
        if entry.index <= self.commit_index {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                self.log.truncate(entry.index);
                self.refuse_overwritten(entry.index);
            }
            None => {}
        }
        self.append(entry);
    }

    /// Stores a chunk of a snapshot from the leader and returns the reply.
    pub(super) fn receive_chunk(
        &mut self,
        snapshot: consensus::Snapshot,
        size: u64,
        offset: u64,
        sent_us: u64,
    ) -> consensus::Message {
        let term = self.vote.term;
        let (index, index_term) = (snapshot.index, snapshot.term);
        if index <= self.commit_index {
            return consensus::Message::Accepted {
                term,
                matched: index,
                sent_us,
            };
        }
        let mut received = match self.incoming_snapshot.take() {
            Some(known) if (known.index, known.term) == (index, index_term) => known,
            _ => consensus::incoming_snapshot::IncomingSnapshot {
                index,
                term: index_term,
                bytes: Vec::new(),
            },
        };
        if offset == received.bytes.len() as u64 {
            received.bytes.extend_from_slice(&snapshot.bytes);
        }
        let next = received.bytes.len() as u64;
        if next < size {
            self.incoming_snapshot = Some(received);
            return consensus::Message::InstallMore {
                term,
                index,
                offset: next,
                sent_us,
            };
        }
        self.install_snapshot(consensus::Snapshot {
            bytes: received.bytes,
            ..snapshot
        });
        consensus::Message::Accepted {
            term,
            matched: index,
            sent_us,
        }
    }

    fn install_snapshot(&mut self, snapshot: consensus::Snapshot) {
        self.log.install(snapshot.clone());
        self.refuse_overwritten(self.log.last_index() + 1);
        self.commit_index = snapshot.index;
        self.persist_snapshot(snapshot.clone());
        self.emit(consensus::Action::Restore { snapshot });
    }
}

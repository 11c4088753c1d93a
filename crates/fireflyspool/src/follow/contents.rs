//! Contents that crash servers, as far as the polled hub has those of this VM.
//!
//! A crash is reported at once, but the report may be lost, and a hub that has restarted or was
//! cut off lacks what others know. So contents are part of the polls until a hub has replied.

use std::time;

use crate::{containment, hub, ids, sorted};

/// What the polled hub and this VM have of each other's contents.
#[derive(Debug, Default)]
pub(super) struct Contents {
    /// Incarnation of the hub that replied last, and its position then.
    known: (ids::Incarnation, u64),
    /// Contents that the hub may lack.
    pending: sorted::SortedMap<ids::Fingerprint, ()>,
    /// Those in the poll that is under way.
    sent: Vec<ids::Fingerprint>,
}

impl Contents {
    /// Records that this VM has noticed a crash under a content.
    pub(super) fn note(&mut self, content: ids::Fingerprint) {
        self.pending.insert(content, ());
        // The poll under way may carry an earlier record of it.
        self.sent.retain(|sent| *sent != content);
    }

    /// Position in the contents of a hub; 0 if another one replied last.
    pub(super) fn position(&self, incarnation: ids::Incarnation) -> u64 {
        let (known, position) = self.known;
        if known == incarnation { position } else { 0 }
    }

    /// Records for the next poll.
    pub(super) fn next_records(
        &mut self,
        ledger: &containment::Ledger,
        now: time::Instant,
    ) -> Vec<containment::Record> {
        if self.pending.is_empty() {
            self.sent.clear();
            return Vec::new();
        }
        let records = ledger.since(0, now).into_iter();
        let records = records.filter(|record| self.pending.contains_key(&record.content));
        let records: Vec<_> = records.collect();
        self.sent = records.iter().map(|record| record.content).collect();
        records
    }

    /// Handles the reply of a hub, which has merged what the poll carried.
    pub(super) fn replied(&mut self, reply: &hub::FollowReply, ledger: &containment::Ledger) {
        for content in self.sent.drain(..) {
            self.pending.remove(&content);
        }
        if self.known.0 != reply.incarnation {
            let has_all = |content: &ids::Fingerprint| {
                let mut records = reply.contents.iter();
                let record = records.find(|record| record.content == *content);
                record.is_some_and(|record| record.crashes.len() >= ledger.crashes(*content))
            };
            let lacking = ledger.contents().filter(|content| !has_all(content));
            self.pending = lacking.map(|content| (content, ())).collect();
        }
        self.known = (reply.incarnation, reply.content_position);
    }
}

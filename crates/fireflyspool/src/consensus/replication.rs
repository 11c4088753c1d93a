//! Replication from the leader to its followers.

use std::time;

use crate::{consensus, ids};

impl consensus::participant::Participant<consensus::leader::Leader> {
    /// Tracks progress for exactly the other members.
    pub(super) fn update_followers(&mut self) {
        let members = self.core.log.members();
        let followers = &mut self.state.followers;
        followers.retain(|node, _| members.get(*node).is_some());
        let next = self.core.log.last_index();
        for member in members.iter() {
            if member.node != self.core.config.node {
                let new = || consensus::progress::Progress::new(next);
                followers.get_or_insert_with(member.node, new);
            }
        }
    }

    /// Sends a message to every follower, with entries or as a heartbeat.
    pub(super) fn broadcast(&mut self, now: time::Instant) {
        self.core.deadline = now + self.core.config.heartbeat;
        for node in self.follower_nodes() {
            self.send_next(node, now);
        }
    }

    /// Sends new entries to every follower that lacks some.
    pub(super) fn replicate(&mut self, now: time::Instant) {
        for node in self.follower_nodes() {
            self.send_new_entries(node, now);
        }
    }

    fn follower_nodes(&self) -> Vec<ids::NodeId> {
        self.state.followers.keys().copied().collect()
    }

    /// Sends entries if the follower lacks some and its window is open.
    fn send_new_entries(&mut self, node: ids::NodeId, now: time::Instant) {
        let last = self.core.log.last_index();
        let window = self.core.config.window_entries;
        let ready = self.state.followers.get(&node).is_some_and(|f| {
            !f.probing
                && f.next_index <= last
                && f.next_index <= f.match_index + window
                && f.transfer.is_none()
        });
        if ready {
            self.send_next(node, now);
        }
    }

    fn send_next(&mut self, node: ids::NodeId, now: time::Instant) {
        let Some(follower) = self.state.followers.get_mut(&node) else {
            return;
        };
        let log = &self.core.log;
        let elapsed = now.saturating_duration_since(self.state.elected);
        let sent_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let previous_index = follower.next_index.saturating_sub(1);
        let Some(previous_term) = log.term_at(previous_index) else {
            self.send_chunk(node, sent_us);
            return;
        };
        follower.transfer = None;
        let config = &self.core.config;
        let window_left =
            (follower.match_index + config.window_entries).saturating_sub(previous_index);
        let limit = config
            .batch_entries
            .min(usize::try_from(window_left).unwrap_or(usize::MAX));
        let mut bytes = 0;
        let fits = |entry: &&consensus::Entry| {
            let first = bytes == 0;
            bytes += entry.content.size();
            first || bytes <= config.batch_bytes
        };
        let entries: Vec<_> = log
            .entries_from(follower.next_index)
            .iter()
            .take(limit)
            .take_while(fits)
            .cloned()
            .collect();
        if !follower.probing {
            follower.next_index += entries.len() as u64;
        }
        let message = consensus::Message::Append {
            term: self.core.vote.term,
            previous_index,
            previous_term,
            commit: self.core.commit_index,
            sent_us,
            entries,
        };
        self.core.send(node, message);
    }

    /// Sends the next chunk of the snapshot.
    fn send_chunk(&mut self, node: ids::NodeId, sent_us: u64) {
        let (Some(follower), Some(snapshot)) = (
            self.state.followers.get_mut(&node),
            self.core.log.snapshot(),
        ) else {
            return;
        };
        let known = follower.transfer.filter(|t| t.index == snapshot.index);
        let offset = known.map_or(0, |transfer| transfer.offset);
        follower.transfer = Some(consensus::snapshot_transfer::SnapshotTransfer {
            index: snapshot.index,
            offset,
            sent_us,
        });
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let start = start.min(snapshot.bytes.len());
        let end = chunk_end(&snapshot.bytes, start, self.core.config.chunk_bytes);
        let message = consensus::Message::Install {
            term: self.core.vote.term,
            index: snapshot.index,
            index_term: snapshot.term,
            members: snapshot.members.clone(),
            size: snapshot.bytes.len() as u64,
            offset,
            sent_us,
            bytes: snapshot.bytes[start..end].to_vec(),
        };
        self.core.send(node, message);
    }

    /// Handles a reply of a follower in the current term.
    pub(super) fn handle_reply(
        mut self,
        from: ids::NodeId,
        reply: &consensus::Message,
        now: time::Instant,
    ) -> consensus::any_participant::AnyParticipant {
        let elected = self.state.elected;
        let Some(follower) = self.state.followers.get_mut(&from) else {
            return consensus::any_participant::AnyParticipant::Leader(self);
        };
        let mut acknowledge = |sent_us: u64| {
            let sent = elected + time::Duration::from_micros(sent_us);
            follower.acknowledged = follower.acknowledged.max(Some(sent.min(now)));
        };
        match *reply {
            consensus::Message::Accepted {
                matched, sent_us, ..
            } => {
                acknowledge(sent_us);
                follower.match_index = follower.match_index.max(matched);
                follower.next_index = follower.next_index.max(follower.match_index + 1);
                follower.probing = false;
                if follower.transfer.is_some_and(|t| t.index <= matched) {
                    follower.transfer = None;
                }
                self.update_commit_index();
                self.send_new_entries(from, now);
            }
            consensus::Message::Rejected {
                previous_index,
                hint_index,
                hint_term,
                sent_us,
                ..
            } => {
                acknowledge(sent_us);
                let current = !follower.probing || previous_index + 1 == follower.next_index;
                if current && previous_index > follower.match_index {
                    let end = hint_term.and_then(|term| self.core.log.term_end(term));
                    let next = end.map_or(hint_index, |end| end + 1);
                    let lowest = follower.match_index + 1;
                    follower.next_index = next.clamp(lowest, previous_index.max(lowest));
                    follower.probing = true;
                    self.send_next(from, now);
                }
            }
            consensus::Message::InstallMore {
                index,
                offset,
                sent_us,
                ..
            } => {
                acknowledge(sent_us);
                if let Some(transfer) = &mut follower.transfer
                    && (transfer.index, transfer.sent_us) == (index, sent_us)
                {
                    transfer.offset = offset;
                    self.send_next(from, now);
                }
            }
            _ => {}
        }
        self.step_down_if_removed(now)
    }
}

/// End of a chunk of bounded size that splits no UTF-8 character: a chunk of text is encoded as
/// text, other bytes at twice their size.
fn chunk_end(bytes: &[u8], start: usize, limit: usize) -> usize {
    let end = bytes.len().min(start + limit.max(4));
    let continues = |at: &usize| bytes.get(*at).is_some_and(|byte| byte & 0xC0 == 0x80);
    (end.saturating_sub(3)..=end)
        .rev()
        .find(|at| *at > start && !continues(at))
        .unwrap_or(end)
}

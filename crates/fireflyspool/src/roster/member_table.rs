//! Entry VMs with a lease.

use super::holder_key;
use crate::{ids, roster, sorted, view};

/// Smallest change of load that is published, since each one is sent to every entry VM.
const LOAD_STEP_PERMILLE: u32 = 200;

#[derive(Clone, Debug)]
struct Record {
    member: view::Member,
    /// Sequence of the change that added the process.
    added: u64,
    /// Sequence of the latest change of the record.
    changed: u64,
}

/// Entry VMs with a lease, with the latest admitted process of each.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    records: sorted::SortedMap<ids::NodeId, Record>,
}

impl MemberTable {
    /// Latest admitted process of a VM.
    pub(super) fn current(&self, node: ids::NodeId) -> Option<holder_key::HolderKey> {
        let record = self.records.get(&node);
        record.map(|record| holder_key::HolderKey::of(&record.member))
    }

    /// Whether the sender of a renewal may be granted a lease.
    ///
    /// While another process of the same VM holds a lease, the sender must have read a
    /// reply of this term that is at least as new as the admission of that process. A
    /// delayed request of an exited process cannot show this.
    pub(super) fn admits(&self, request: &roster::RenewRequest, current: roster::Version) -> bool {
        self.records.get(&request.member.node).is_none_or(|record| {
            let seen = request.roster.filter(|seen| seen.term == current.term);
            record.member.incarnation == request.member.incarnation
                || seen.is_some_and(|seen| seen.sequence >= record.added)
        })
    }

    /// Takes over the record of an admitted sender; returns whether ownership may be affected.
    pub(super) fn update(&mut self, member: &view::Member, log: &mut roster::ChangeLog) -> bool {
        let known = self.records.get_mut(&member.node);
        let same = known.filter(|record| record.member.incarnation == member.incarnation);
        if let Some(record) = same {
            let before = &record.member;
            let now_leaving = member.leaving && !before.leaving;
            let next = view::Member {
                // Leaving is final for a process, whatever order its requests arrive in.
                leaving: member.leaving || before.leaving,
                load: if member.load.abs_diff(before.load) < LOAD_STEP_PERMILLE {
                    before.load
                } else {
                    member.load
                },
                ..member.clone()
            };
            let zone_changed = next.zone != before.zone;
            if next != *before {
                record.member = next;
                record.changed = log.push(roster::RecordKey::Member(member.node));
            }
            return now_leaving || zone_changed;
        }
        let sequence = log.push(roster::RecordKey::Member(member.node));
        let record = Record {
            member: member.clone(),
            added: sequence,
            changed: sequence,
        };
        self.records.insert(member.node, record);
        true
    }

    /// Removes a process whose lease has expired; returns whether it was the current one.
    pub(super) fn remove(
        &mut self,
        key: holder_key::HolderKey,
        log: &mut roster::ChangeLog,
    ) -> bool {
        let is_current = self.current(key.node) == Some(key);
        if is_current {
            self.records.remove(&key.node);
            log.push(roster::RecordKey::Member(key.node));
        }
        is_current
    }

    /// Members in ascending order of node.
    pub(super) fn iter(&self) -> impl Iterator<Item = &view::Member> {
        self.records.values().map(|record| &record.member)
    }

    /// Change of a member for a delta; `None` if a change later than `logged` replaced it.
    pub(super) fn change(&self, node: ids::NodeId, logged: u64) -> Option<roster::MemberChange> {
        let record = self.records.get(&node);
        let latest = record.is_none_or(|record| record.changed == logged);
        latest.then(|| roster::MemberChange {
            sequence: logged,
            node,
            record: record.map(|record| record.member.clone()),
        })
    }

    /// All records as changes, for a whole update.
    pub(super) fn changes(&self) -> impl Iterator<Item = roster::MemberChange> {
        self.records
            .iter()
            .map(|(node, record)| roster::MemberChange {
                sequence: record.changed,
                node: *node,
                record: Some(record.member.clone()),
            })
    }
}

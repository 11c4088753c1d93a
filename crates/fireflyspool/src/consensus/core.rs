//! State that a replica keeps in every role.

use std::time;

use crate::{consensus, ids};

/// Role-independent state and the actions of the event that is being handled.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) config: consensus::Config,
    pub(super) vote: consensus::Vote,
    pub(super) log: consensus::log::Log,
    /// Last committed entry; all entries up to it were emitted as actions.
    pub(super) commit_index: ids::LogIndex,
    pub(super) leader: Option<ids::NodeId>,
    /// When a leader last made contact. A start counts as contact, because the leader may have
    /// been in contact right before a restart.
    pub(super) last_contact: time::Instant,
    /// End of the election timeout; on the leader, time of the next heartbeat.
    pub(super) deadline: time::Instant,
    /// Random number that was passed with the current event.
    pub(super) entropy: u64,
    pub(super) actions: Vec<consensus::Action>,
    pub(super) incoming_snapshot: Option<consensus::incoming_snapshot::IncomingSnapshot>,
    /// Open proposals of this replica, ascending by index.
    tickets: Vec<(ids::LogIndex, ids::Ticket)>,
}

impl Core {
    pub(super) fn new(
        config: consensus::Config,
        recovered: consensus::RecoveredState,
        now: time::Instant,
        entropy: u64,
    ) -> Self {
        let restore = recovered.snapshot.clone();
        let log = consensus::log::Log::new(recovered.snapshot, recovered.entries);
        let mut core = Self {
            config,
            vote: recovered.vote,
            commit_index: log.snapshot_index(),
            log,
            leader: None,
            last_contact: now,
            deadline: now,
            entropy,
            actions: Vec::new(),
            incoming_snapshot: None,
            tickets: Vec::new(),
        };
        if let Some(snapshot) = restore {
            core.emit(consensus::Action::Restore { snapshot });
        }
        core.reset_election_timer(now);
        core
    }

    pub(super) fn emit(&mut self, action: consensus::Action) {
        self.actions.push(action);
    }

    pub(super) fn persist(&mut self, record: consensus::Record) {
        self.emit(consensus::Action::Persist(record));
    }

    /// Whether this is a founding member that has no log entries yet.
    pub(super) fn is_bootstrapping(&self) -> bool {
        self.log.last_index() == 0 && self.config.founding.contains(&self.config.node)
    }

    /// Whether this replica may start an election.
    ///
    /// A removed voter may until it knows that its removal is committed: it can
    /// be the only one that holds the entry, and then nobody else could win.
    pub(super) fn may_campaign(&self) -> bool {
        let (log, changed) = (&self.log, self.log.members_index());
        let votes =
            |list: &consensus::Members| list.has_voter(self.config.node, self.config.incarnation);
        self.is_bootstrapping()
            || votes(log.members())
            || (self.commit_index < changed && votes(log.members_at(changed - 1)))
    }

    /// Starts a new election timeout of random length.
    pub(super) fn reset_election_timer(&mut self, now: time::Instant) {
        let spread = self.config.election_max - self.config.election_min;
        let nanos = u64::try_from(spread.as_nanos()).unwrap_or(u64::MAX);
        let jitter = time::Duration::from_nanos(self.entropy % nanos.max(1));
        self.deadline = now + self.config.election_min + jitter;
    }

    /// Whether an envelope is addressed to this replica and comes from a recorded member.
    ///
    /// A request to this incarnation is also accepted from an unknown or
    /// replaced member: the sender's member list contains this replica and may
    /// be newer than the list here.
    pub(super) fn accepts(&self, envelope: &consensus::Envelope) -> bool {
        let own = self.config.incarnation;
        if envelope.to != self.config.node
            || envelope.from == self.config.node
            || envelope.to_incarnation.is_some_and(|to| to != own)
        {
            return false;
        }
        let addressed = envelope.to_incarnation.is_some();
        match self.log.members().get(envelope.from) {
            Some(sender) if sender.incarnation == envelope.from_incarnation => true,
            Some(_) => addressed && envelope.message.is_request(),
            None => addressed || self.is_bootstrapping(),
        }
    }

    /// Sends a message to a member.
    pub(super) fn send(&mut self, to: ids::NodeId, message: consensus::Message) {
        let recorded = self.log.members().get(to);
        let envelope = consensus::Envelope {
            from: self.config.node,
            from_incarnation: self.config.incarnation,
            to,
            to_incarnation: recorded.map(|member| member.incarnation),
            message,
        };
        self.emit(consensus::Action::Send(envelope));
    }

    /// Replies to the sender of an envelope.
    pub(super) fn reply(
        &mut self,
        (to, incarnation): (ids::NodeId, ids::Incarnation),
        message: consensus::Message,
    ) {
        let envelope = consensus::Envelope {
            from: self.config.node,
            from_incarnation: self.config.incarnation,
            to,
            to_incarnation: Some(incarnation),
            message,
        };
        self.emit(consensus::Action::Send(envelope));
    }

    /// Sets term and vote; they are synced before any later action is executed.
    pub(super) fn set_vote(&mut self, term: ids::Term, candidate: Option<ids::NodeId>) {
        let vote = consensus::Vote { term, candidate };
        if vote != self.vote {
            self.vote = vote;
            self.persist(consensus::Record::Vote(vote));
        }
    }

    /// Appends an entry to the log.
    pub(super) fn append(&mut self, entry: consensus::Entry) {
        self.persist(consensus::Record::Entry(entry.clone()));
        self.log.append(entry);
    }

    /// Records which proposal an entry belongs to.
    pub(super) fn open_ticket(&mut self, index: ids::LogIndex, ticket: ids::Ticket) {
        self.tickets.push((index, ticket));
    }

    /// Refuses the proposals whose entries are overwritten from an index on.
    pub(super) fn refuse_overwritten(&mut self, index: ids::LogIndex) {
        let first = self.tickets.partition_point(|(at, _)| *at < index);
        for (_, ticket) in self.tickets.split_off(first) {
            self.refuse(ticket);
        }
    }

    /// Reports the open proposals as uncertain; a replica that lost leadership cannot tell.
    pub(super) fn report_uncertain(&mut self) {
        for (_, ticket) in std::mem::take(&mut self.tickets) {
            self.emit(consensus::Action::Uncertain { ticket });
        }
    }

    pub(super) fn refuse(&mut self, ticket: ids::Ticket) {
        let leader = self.leader;
        self.emit(consensus::Action::Refuse { ticket, leader });
    }

    /// Commits the entries up to an index and emits their actions.
    pub(super) fn advance_commit(&mut self, commit: ids::LogIndex) {
        for index in self.commit_index + 1..=commit {
            let Some(entry) = self.log.entry(index) else {
                return;
            };
            let (term, content) = (entry.term, entry.content.clone());
            self.commit_index = index;
            let ticket = self.take_ticket(index);
            match content {
                consensus::Content::NoOp => {}
                consensus::Content::Command(payload) => self.emit(consensus::Action::Apply {
                    index,
                    term,
                    payload,
                    ticket,
                }),
                consensus::Content::Members(members) => {
                    self.emit(consensus::Action::MembersChanged {
                        index,
                        members,
                        ticket,
                    });
                }
            }
        }
    }

    /// Replaces the log up to an applied entry by a snapshot.
    pub(super) fn compact(&mut self, index: ids::LogIndex, bytes: Vec<u8>) {
        if index <= self.log.snapshot_index() || index > self.commit_index {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let snapshot = consensus::Snapshot {
            index,
            term,
            members: self.log.members_at(index).clone(),
            bytes,
        };
        self.log.compact(snapshot.clone(), self.config.kept_entries);
        self.persist_snapshot(snapshot);
    }

    /// Persists a snapshot together with the vote and the entries that follow it.
    pub(super) fn persist_snapshot(&mut self, snapshot: consensus::Snapshot) {
        let suffix = self.log.entries_from(snapshot.index + 1).to_vec();
        let vote = self.vote;
        self.persist(consensus::Record::Snapshot {
            snapshot,
            suffix,
            vote,
        });
    }

    fn take_ticket(&mut self, index: ids::LogIndex) -> Option<ids::Ticket> {
        let position = self.tickets.iter().position(|(at, _)| *at == index)?;
        Some(self.tickets.remove(position).1)
    }
}

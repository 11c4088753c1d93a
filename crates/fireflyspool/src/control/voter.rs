//! A replica of the control group on the control thread.

use std::{collections, net, time};

use tokio::sync::oneshot;

use crate::{
    consensus,
    control::{self, waiter},
    hub, ids, roster, sorted, state, storage,
};

/// Longest pause between two checks whether the membership of the log is the wanted one.
const MEMBERSHIP_PAUSE: time::Duration = time::Duration::from_millis(250);

type Renewal = (
    Box<roster::RenewRequest>,
    oneshot::Sender<roster::RenewReply>,
);

/// Drives the replica, applies committed entries and, while it leads, keeps the roster.
pub struct Voter {
    pub(super) replica: consensus::Replica,
    pub(super) folder: storage::DataFolder,
    pub(super) state: state::ControlState,
    pub(super) roster: Option<roster::Roster>,
    pub(super) lease: roster::Config,
    pub(super) founding_members: sorted::SortedMap<ids::NodeId, net::SocketAddr>,
    /// Listeners taken from received messages, for members that the applied log does not
    /// list yet.
    pub(super) learned_listeners: sorted::SortedMap<ids::NodeId, net::SocketAddr>,
    pub(super) waiters: sorted::SortedMap<ids::Ticket, waiter::Waiter>,
    pub(super) next_ticket: ids::Ticket,
    pub(super) claims: Vec<(state::Claim, oneshot::Sender<state::ClaimReply>)>,
    pub(super) outcomes: Vec<(state::ClaimOutcome, oneshot::Sender<()>)>,
    pub(super) renewals: Vec<Renewal>,
    pub(super) in_force: Vec<(ids::Revision, oneshot::Sender<()>)>,
    pub(super) pending: collections::VecDeque<consensus::Action>,
    pub(super) applied: ids::LogIndex,
    pub(super) unsaved_entries: u64,
    pub(super) unsaved_bytes: usize,
    pub(super) timer: Option<time::Instant>,
    pub(super) membership_due: time::Instant,
    /// What this replica has heard of the members while it leads.
    pub(super) attendance: control::Attendance,
    /// Silent members as last logged.
    pub(super) silent: Vec<ids::NodeId>,
    pub(super) logger: slog::Logger,
}

impl Voter {
    /// Creates a replica that resumes from the recovered content of its data folder.
    ///
    /// # Errors
    ///
    /// Returns a [`control::ControlError`] if the snapshot cannot be decoded or the
    /// data folder cannot be written.
    pub fn new(
        config: consensus::Config,
        (folder, recovered): (storage::DataFolder, consensus::RecoveredState),
        lease: roster::Config,
        founding_members: sorted::SortedMap<ids::NodeId, net::SocketAddr>,
        logger: slog::Logger,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) -> Result<Self, control::ControlError> {
        let (replica, actions) =
            consensus::Replica::new(config, recovered, now, outlet.environment().entropy());
        let mut voter = Self {
            replica,
            folder,
            state: state::ControlState::default(),
            roster: None,
            lease,
            founding_members,
            learned_listeners: sorted::SortedMap::new(),
            waiters: sorted::SortedMap::new(),
            next_ticket: 0,
            claims: Vec::new(),
            outcomes: Vec::new(),
            renewals: Vec::new(),
            in_force: Vec::new(),
            pending: actions.into(),
            applied: 0,
            unsaved_entries: 0,
            unsaved_bytes: 0,
            timer: None,
            membership_due: now,
            attendance: control::Attendance::new(),
            silent: Vec::new(),
            logger,
        };
        voter.flush(outlet, now)?;
        Ok(voter)
    }

    /// When [`Self::tick`] must be called again; `None` if nothing is scheduled.
    pub fn next_wake(&self) -> Option<time::Instant> {
        let roster = self.roster.as_ref().map(roster::Roster::next_deadline);
        let membership = self.replica.is_leader().then_some(self.membership_due);
        [self.timer, roster, membership].into_iter().flatten().min()
    }

    /// Members according to the latest membership entry of the log, committed or not.
    pub fn members(&self) -> consensus::Members {
        self.replica.members()
    }

    /// End of the log with its members; `None` if the log cannot be read up to its end.
    ///
    /// It is read anew each time, so an entry that was overwritten no longer counts.
    pub fn log_state(&self) -> Option<hub::LogState> {
        let applied = self.state.document.as_ref();
        let mut version = applied.map_or(0, |document| document.version);
        // A snapshot that is not restored yet leaves a gap after the applied entries.
        for entry in self.replica.entries_after(self.applied)? {
            if let consensus::Content::Command(payload) = &entry.content {
                let configured = state::Entry::configured_version(payload).ok()?;
                version = version.max(configured.unwrap_or(0));
            }
        }
        let members = self.replica.members();
        Some(hub::LogState {
            tail: hub::LogTail {
                node: self.folder.identity().node,
                members: members.checksum(),
                version,
            },
            voters: members.voters().collect(),
            votes: self.replica.is_voter(),
        })
    }

    /// Sets the listener of a member, for use until the applied log lists it.
    pub fn learn_listener(&mut self, node: ids::NodeId, listener: net::SocketAddr) {
        self.learned_listeners.insert(node, listener);
    }

    /// Whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        self.replica.is_leader()
    }

    /// Handles an event; replies and messages go out with the next [`Voter::flush`].
    pub fn handle(
        &mut self,
        event: control::Event,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        match event {
            control::Event::Envelopes { from, envelopes } => {
                for envelope in envelopes {
                    if let Some(listener) = from {
                        self.learned_listeners.insert(envelope.from, listener);
                    }
                    self.step(consensus::Event::Received(envelope), outlet, now);
                }
            }
            control::Event::Renew { request, reply } => self.renewals.push((request, reply)),
            control::Event::Propose { command, reply } => {
                self.propose_command(command, reply, outlet, now);
            }
            control::Event::Idempotent { command, reply } => {
                let entry = state::Entry::Idempotent(command);
                self.propose(&entry, waiter::Waiter::Idempotent(reply), outlet, now);
            }
            control::Event::AwaitInForce { revision, reply }
                // A dropped reply channel makes the sender look for the leader elsewhere.
                if self.roster.is_some() => {
                    self.in_force.push((revision, reply));
                }
            control::Event::OpenClaim { claim, reply }
                if self.replica.is_leader() => {
                    self.claims.push((claim, reply));
                }
            control::Event::RecordClaim { outcome, reply }
                if self.replica.is_leader() => {
                    self.outcomes.push((outcome, reply));
                }
            control::Event::Show { show, reply }
                if self.replica.may_grant_leases(now) => {
                    // The caller may have stopped waiting.
                    let _ = reply.send(self.show(show));
                }
            _ => {}
        }
    }

    /// Runs the replica's timer, the expiry of leases and the next membership step if due.
    pub fn tick(
        &mut self,
        membership: control::MembershipControl,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        if self.timer.is_some_and(|at| at <= now) {
            self.timer = None;
            self.step(consensus::Event::Timer, outlet, now);
        }
        if let Some(roster) = &mut self.roster
            && roster.next_deadline() <= now
        {
            roster.expire(now);
        }
        if self.replica.is_leader() && self.membership_due <= now {
            self.membership_due = now + MEMBERSHIP_PAUSE;
            self.step_membership(outlet, now);
            if membership == control::MembershipControl::Automatic {
                self.replace_members(outlet, now);
            }
        }
    }

    /// Writes and syncs what must be durable, then sends messages and replies.
    ///
    /// # Errors
    ///
    /// Returns a [`control::ControlError`] if the data folder fails or a
    /// committed entry cannot be decoded; the voter must not be used again.
    pub fn flush(
        &mut self,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) -> Result<(), control::ControlError> {
        self.propose_claims(outlet, now);
        while !self.pending.is_empty() {
            let actions = std::mem::take(&mut self.pending);
            self.persist(&actions)?;
            for action in actions {
                self.execute(action, outlet, now)?;
            }
        }
        self.answer_renewals(now);
        self.answer_in_force(now);
        Ok(())
    }

    pub(super) fn step(
        &mut self,
        event: consensus::Event,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        let actions = self
            .replica
            .handle(event, now, outlet.environment().entropy());
        self.pending.extend(actions);
    }
}

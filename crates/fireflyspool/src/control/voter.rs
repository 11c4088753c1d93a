//! A member of the control group, as the control thread keeps it.

use std::{collections, net, time};

use tokio::sync::oneshot;

use crate::{
    consensus,
    control::{self, waiter},
    ids, language, roster, sorted, state, storage,
};

/// Applied entries after which the state is saved and the log cut.
///
/// At 3,600 changes a day this is about once a day; a restart reads at most
/// this many entries.
const ENTRIES_PER_SNAPSHOT: u64 = 4_096;

/// Pause between two steps that bring the membership of the log closer to what
/// the operators want.
const MEMBERSHIP_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Most claims in one entry of the log.
const CLAIM_BATCH: usize = 256;

type Renewal = (
    Box<roster::RenewRequest>,
    oneshot::Sender<roster::RenewReply>,
);

/// Drives the replica, applies what is committed and, while it leads, keeps the roster.
pub struct Voter {
    replica: consensus::Replica,
    folder: storage::DataFolder,
    state: state::ControlState,
    roster: Option<roster::Roster>,
    lease: roster::Config,
    founding: sorted::SortedMap<ids::NodeId, net::SocketAddr>,
    waiters: sorted::SortedMap<ids::Ticket, waiter::Waiter>,
    next_ticket: ids::Ticket,
    claims: Vec<(state::Claim, oneshot::Sender<state::ClaimReply>)>,
    outcomes: Vec<(state::ClaimOutcome, oneshot::Sender<()>)>,
    renewals: Vec<Renewal>,
    in_force: Vec<(ids::Revision, oneshot::Sender<()>)>,
    pending: collections::VecDeque<consensus::Action>,
    applied: ids::LogIndex,
    unsaved: u64,
    timer: Option<time::Instant>,
    membership_due: time::Instant,
    logger: slog::Logger,
}

impl Voter {
    /// A replica that goes on from what its data folder holds.
    ///
    /// # Errors
    ///
    /// Returns a [`control::ControlError`] if the snapshot cannot be read.
    pub fn new(
        config: consensus::Config,
        (folder, recovered): (storage::DataFolder, consensus::Recovered),
        lease: roster::Config,
        founding: sorted::SortedMap<ids::NodeId, net::SocketAddr>,
        logger: slog::Logger,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) -> Result<Self, control::ControlError> {
        let (replica, actions) = consensus::Replica::new(config, recovered, now, outlet.entropy());
        let mut voter = Self {
            replica,
            folder,
            state: state::ControlState::default(),
            roster: None,
            lease,
            founding,
            waiters: sorted::SortedMap::new(),
            next_ticket: 0,
            claims: Vec::new(),
            outcomes: Vec::new(),
            renewals: Vec::new(),
            in_force: Vec::new(),
            pending: actions.into(),
            applied: 0,
            unsaved: 0,
            timer: None,
            membership_due: now,
            logger,
        };
        voter.flush(outlet, now)?;
        Ok(voter)
    }

    /// Addresses of all control VMs, ascending by number.
    pub fn addresses(&self) -> Vec<(ids::NodeId, net::SocketAddr)> {
        let group = &self.state.group;
        let added = group.added.iter().map(|(node, record)| (*node, record.rpc));
        let founding = self.founding.iter().map(|(node, rpc)| (*node, *rpc));
        let mut all: Vec<_> = founding.chain(added).collect();
        all.retain(|(node, _)| !group.removed.contains_key(node));
        all.sort_unstable_by_key(|(node, _)| *node);
        all
    }

    /// When this voter must be called again.
    pub fn next_wake(&self) -> Option<time::Instant> {
        let roster = self.roster.as_ref().map(roster::Roster::next_deadline);
        let membership = self.replica.is_leader().then_some(self.membership_due);
        [self.timer, roster, membership].into_iter().flatten().min()
    }

    /// Takes an event; answers and messages go out with the next [`Voter::flush`].
    pub fn handle(
        &mut self,
        event: control::Event,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        match event {
            control::Event::Envelopes(envelopes) => {
                for envelope in envelopes {
                    self.step(consensus::Event::Received(envelope), outlet, now);
                }
            }
            control::Event::Renew { request, reply } => self.renewals.push((request, reply)),
            control::Event::Propose { command, reply } => {
                self.propose_command(command, reply, outlet, now);
            }
            control::Event::AwaitInForce { revision, reply }
                // Dropping the answer tells the asker to look for the leader elsewhere.
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
                if self.replica.may_grant(now) => {
                    // The asker may have gone away.
                    let _ = reply.send(self.show(show));
                }
            _ => {}
        }
    }

    /// Raises what is due by time.
    pub fn tick(&mut self, outlet: &dyn control::Outlet, now: time::Instant) {
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
        }
    }

    /// Writes and syncs what must be durable, then sends and answers.
    ///
    /// # Errors
    ///
    /// Returns a [`control::ControlError`] if the data folder fails or a
    /// committed entry cannot be read; the voter must not be used again.
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

    fn step(&mut self, event: consensus::Event, outlet: &dyn control::Outlet, now: time::Instant) {
        let actions = self.replica.handle(event, now, outlet.entropy());
        self.pending.extend(actions);
    }

    fn persist(
        &mut self,
        actions: &collections::VecDeque<consensus::Action>,
    ) -> Result<(), control::ControlError> {
        let record = |action: &consensus::Action| match action {
            consensus::Action::Persist(record) => Some(record.clone()),
            _ => None,
        };
        let records: Vec<_> = actions.iter().filter_map(record).collect();
        if !records.is_empty() {
            self.folder.append(&records)?;
        }
        Ok(())
    }

    fn execute(
        &mut self,
        action: consensus::Action,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) -> Result<(), control::ControlError> {
        match action {
            consensus::Action::Persist(_) => {}
            consensus::Action::Send(envelope) => {
                if let Some(address) = self.address_of(envelope.to) {
                    outlet.send(address, envelope);
                }
            }
            consensus::Action::SetTimer(at) => self.timer = Some(at),
            consensus::Action::Apply {
                index,
                payload,
                ticket,
                ..
            } => {
                self.apply(index, &payload, ticket, outlet, now)?;
            }
            consensus::Action::MembersChanged { members, .. } => {
                let nodes: Vec<_> = members.iter().map(|member| member.node).collect();
                slog::info!(self.logger, "control group changed"; "members" => ?nodes);
            }
            consensus::Action::Refuse { ticket, leader } => {
                self.answer(ticket, control::ProposeReply::NotLeader { leader });
            }
            consensus::Action::RefuseChange { refusal, .. } => {
                slog::debug!(self.logger, "membership step postponed"; "cause" => ?refusal);
            }
            consensus::Action::Uncertain { ticket } => {
                self.answer(ticket, control::ProposeReply::Uncertain);
            }
            consensus::Action::Restore { snapshot } => {
                self.state = state::ControlState::decode(&snapshot.bytes)?;
                self.applied = snapshot.index;
                self.unsaved = 0;
                outlet.publish_control(self.addresses());
            }
            consensus::Action::RoleChanged { role, term, leader } => {
                self.change_role(role, term, leader, now);
            }
        }
        Ok(())
    }

    fn change_role(
        &mut self,
        role: consensus::Role,
        term: ids::Term,
        leader: Option<ids::NodeId>,
        now: time::Instant,
    ) {
        slog::info!(self.logger, "role changed";
            "role" => ?role, "term" => term, "leader" => leader);
        if role == consensus::Role::Leader {
            let same_term = self
                .roster
                .as_ref()
                .is_some_and(|roster| roster.version().term == term);
            if !same_term {
                self.roster = Some(roster::Roster::new(term, now, self.lease));
            }
        } else {
            self.roster = None;
            // Dropped answers send their askers to the next leader.
            self.in_force.clear();
            self.claims.clear();
            self.outcomes.clear();
        }
    }

    fn apply(
        &mut self,
        index: ids::LogIndex,
        payload: &[u8],
        ticket: Option<ids::Ticket>,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) -> Result<(), control::ControlError> {
        let entry = state::Entry::decode(payload)?;
        let applied = self.state.apply(&entry);
        self.applied = index;
        self.unsaved += 1;
        if let state::Entry::Command { command, .. } = &entry {
            self.log_command(command, &applied);
            if !matches!(command.change, state::Directive::Change(_)) {
                outlet.publish_control(self.addresses());
                self.membership_due = now;
            }
        }
        if let Some(waiter) = ticket.and_then(|ticket| self.waiters.remove(&ticket)) {
            waiter.resolve(applied);
        }
        if self.unsaved >= ENTRIES_PER_SNAPSHOT {
            self.unsaved = 0;
            let snapshot = self.state.encode();
            self.step(consensus::Event::Compact { index, snapshot }, outlet, now);
        }
        Ok(())
    }

    fn log_command(&self, command: &state::Command, applied: &state::Applied) {
        slog::info!(self.logger, "command applied";
            "operator" => &command.operator,
            "number" => command.number,
            "change" => ?command.change,
            "result" => ?applied,
            "revision" => self.state.catalog.revision);
    }

    fn propose_command(
        &mut self,
        command: state::Command,
        reply: oneshot::Sender<control::ProposeReply>,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        let stamped = outlet.wall_clock();
        let entry = state::Entry::Command { command, stamped };
        self.propose(&entry, waiter::Waiter::Command(reply), outlet, now);
    }

    /// Puts all waiting claims and outcomes into one entry each.
    fn propose_claims(&mut self, outlet: &dyn control::Outlet, now: time::Instant) {
        let issued = outlet.wall_clock();
        while !self.claims.is_empty() {
            let batch = self.claims.len().min(CLAIM_BATCH);
            let (claims, replies) = self
                .claims
                .drain(..batch)
                .map(|(claim, reply)| (state::Claim { issued, ..claim }, reply))
                .unzip();
            let entry = state::Entry::Claims(claims);
            self.propose(&entry, waiter::Waiter::Claims(replies), outlet, now);
        }
        while !self.outcomes.is_empty() {
            let batch = self.outcomes.len().min(CLAIM_BATCH);
            let (outcomes, replies) = self.outcomes.drain(..batch).unzip();
            let entry = state::Entry::ClaimOutcomes(outcomes);
            self.propose(&entry, waiter::Waiter::Outcomes(replies), outlet, now);
        }
    }

    fn propose(
        &mut self,
        entry: &state::Entry,
        waiter: waiter::Waiter,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.waiters.insert(ticket, waiter);
        let payload = entry.encode();
        self.step(consensus::Event::Propose { ticket, payload }, outlet, now);
    }

    fn answer(&mut self, ticket: ids::Ticket, reply: control::ProposeReply) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            waiter.fail(reply);
        }
    }

    /// Answers renewals last, so that each grant rests on everything that is applied.
    fn answer_renewals(&mut self, now: time::Instant) {
        for (request, reply) in self.renewals.drain(..) {
            let answer = match &mut self.roster {
                Some(roster) if self.replica.may_grant(now) => {
                    roster::RenewReply::Granted(roster.renew(&request, &self.state, now))
                }
                _ => roster::RenewReply::NotLeader {
                    leader: self.replica.leader(),
                },
            };
            // The asker may have gone away; its lease ends by itself.
            let _ = reply.send(answer);
        }
    }

    fn answer_in_force(&mut self, now: time::Instant) {
        let Some(roster) = &self.roster else { return };
        let is_in_force = |revision: ids::Revision| {
            matches!(roster.in_force(revision, now), roster::InForce::Yes)
        };
        let waiting = std::mem::take(&mut self.in_force);
        for (revision, reply) in waiting {
            if is_in_force(revision) {
                let _ = reply.send(());
            } else {
                self.in_force.push((revision, reply));
            }
        }
    }

    /// Takes one step from the membership of the log towards what operators want.
    fn step_membership(&mut self, outlet: &dyn control::Outlet, now: time::Instant) {
        let members = self.replica.members();
        let group = &self.state.group;
        let missing = group
            .added
            .iter()
            .find(|(node, _)| members.get(**node).is_none());
        let unwanted = members
            .iter()
            .find(|member| group.removed.contains_key(&member.node));
        let learner = members.iter().find(|member| !members.is_voter(member.node));
        let change = if let Some((node, record)) = missing {
            consensus::MembershipChange::AddLearner {
                node: *node,
                incarnation: record.incarnation,
            }
        } else if let Some(member) = learner {
            consensus::MembershipChange::Promote { node: member.node }
        } else if let Some(member) = unwanted {
            consensus::MembershipChange::Remove { node: member.node }
        } else {
            return;
        };
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.step(
            consensus::Event::ChangeMembers { ticket, change },
            outlet,
            now,
        );
    }

    fn address_of(&self, node: ids::NodeId) -> Option<net::SocketAddr> {
        let added = self.state.group.added.get(&node).map(|record| record.rpc);
        added.or_else(|| self.founding.get(&node).copied())
    }

    fn show(&self, show: language::Show) -> control::Shown {
        match show {
            language::Show::Members => {
                self::show_members(&self.replica.status(), &self.addresses())
            }
            language::Show::History => show_history(&self.state),
            _ => control::Shown::default(),
        }
    }
}

fn show_members(
    status: &consensus::Status,
    addresses: &[(ids::NodeId, net::SocketAddr)],
) -> control::Shown {
    let mut table = control::Shown::new(&["vm", "kind", "address", "role", "matched"]);
    for member in status.members.iter() {
        let address = addresses.iter().find(|(node, _)| *node == member.node);
        let address = address.map_or("unknown".to_owned(), |(_, address)| address.to_string());
        let leads = status.leader == Some(member.node);
        let role = if leads { "leader" } else { "follower" };
        let follower = status
            .followers
            .iter()
            .find(|follower| follower.node == member.node);
        let matched = follower.map_or(status.last_index, |follower| follower.matched);
        let kind = format!("{:?}", member.kind).to_lowercase();
        table.push(&[&member.node, &kind, &address, &role, &matched]);
    }
    table
}

fn show_history(state: &state::ControlState) -> control::Shown {
    let mut table = control::Shown::new(&["revision", "operator", "number", "change"]);
    for record in state.history.iter() {
        let change = format!("{:?}", record.change);
        table.push(&[&record.revision, &record.operator, &record.number, &change]);
    }
    table
}

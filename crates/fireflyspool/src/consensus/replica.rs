//! Interface of a replica to its driver.

use std::time;

use crate::{consensus, ids};

/// State machine of one replica.
///
/// ```
/// use std::time;
///
/// use fireflyspool::consensus;
///
/// let config = consensus::Config::new(1, 77, vec![1]);
/// let recovered = consensus::RecoveredState::default();
/// let start = time::Instant::now();
/// let (mut replica, _) = consensus::Replica::new(config, recovered, start, 0);
/// let later = start + time::Duration::from_secs(1);
/// replica.handle(consensus::Event::Timer, later, 0);
/// assert!(replica.is_leader());
/// assert!(replica.may_grant_leases(later));
/// ```
#[derive(Debug)]
pub struct Replica {
    /// Empty only while an event is being handled.
    participant: Option<consensus::any_participant::AnyParticipant>,
}

impl Replica {
    /// Starts a replica from its durable state.
    ///
    /// The first actions restore the snapshot, if there is one, and set the timer.
    pub fn new(
        config: consensus::Config,
        recovered: consensus::RecoveredState,
        now: time::Instant,
        entropy: u64,
    ) -> (Self, Vec<consensus::Action>) {
        let mut core = consensus::core::Core::new(config, recovered, now, entropy);
        core.emit(consensus::Action::SetTimer(core.deadline));
        let actions = std::mem::take(&mut core.actions);
        let state = consensus::follower::Follower;
        let follower = consensus::participant::Participant { core, state };
        let participant = Some(consensus::any_participant::AnyParticipant::Follower(
            follower,
        ));
        (Self { participant }, actions)
    }

    /// Handles one event and returns the actions to execute, in order.
    pub fn handle(
        &mut self,
        event: consensus::Event,
        now: time::Instant,
        entropy: u64,
    ) -> Vec<consensus::Action> {
        let Some(mut participant) = self.participant.take() else {
            return Vec::new();
        };
        let rearm = matches!(event, consensus::Event::Timer | consensus::Event::Start);
        let (role, core) = (participant.role(), participant.core_mut());
        core.entropy = entropy;
        let before = (role, core.vote.term, core.leader);
        let deadline = core.deadline;
        let mut participant = participant.step(event, now);
        let (role, core) = (participant.role(), participant.core_mut());
        if role != consensus::Role::Leader {
            core.report_uncertain();
        }
        let (term, leader) = (core.vote.term, core.leader);
        if before != (role, term, leader) {
            core.emit(consensus::Action::RoleChanged { role, term, leader });
        }
        if rearm || core.deadline != deadline {
            core.emit(consensus::Action::SetTimer(core.deadline));
        }
        let actions = std::mem::take(&mut core.actions);
        self.participant = Some(participant);
        actions
    }

    /// Leader, if known.
    pub fn leader(&self) -> Option<ids::NodeId> {
        self.participant.as_ref()?.core().leader
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        let participant = self.participant.as_ref();
        participant.is_some_and(|participant| participant.role() == consensus::Role::Leader)
    }

    /// Whether this replica may grant leases at this time.
    ///
    /// Call this right before each grant, after the returned actions are
    /// executed: the result depends on the time, so a process that was stopped
    /// and resumed does not rely on an old majority.
    pub fn may_grant_leases(&self, now: time::Instant) -> bool {
        match &self.participant {
            Some(consensus::any_participant::AnyParticipant::Leader(leader)) => {
                leader.state.may_grant_leases(&leader.core, now)
            }
            _ => false,
        }
    }

    /// Members by the latest entry of the log, committed or not.
    pub fn members(&self) -> consensus::Members {
        let participant = self.participant.as_ref();
        participant.map_or_else(consensus::Members::default, |participant| {
            participant.core().log.members().clone()
        })
    }

    /// Whether this replica votes by the latest member list of its log, committed or not.
    pub fn is_voter(&self) -> bool {
        let participant = self.participant.as_ref();
        participant.is_some_and(|participant| {
            let (core, config) = (participant.core(), &participant.core().config);
            core.log
                .members()
                .has_voter(config.node, config.incarnation)
        })
    }

    /// Entries after an index, committed or not; `None` if the log no longer reaches back to
    /// it.
    pub fn entries_after(&self, index: ids::LogIndex) -> Option<&[consensus::Entry]> {
        self.participant.as_ref()?.core().log.entries_after(index)
    }

    /// Current state for operators, logs and metrics.
    pub fn status(&self) -> consensus::Status {
        self.participant
            .as_ref()
            .map(consensus::any_participant::AnyParticipant::status)
            .unwrap_or_default()
    }
}

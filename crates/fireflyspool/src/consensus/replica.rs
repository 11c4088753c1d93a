//! Replica of the log, as its driver sees it.

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
    standing: Option<consensus::standing::Standing>,
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
        let actions = std::mem::take(&mut core.outbox);
        let state = consensus::follower::Follower;
        let follower = consensus::participant::Participant { core, state };
        let standing = Some(consensus::standing::Standing::Follower(follower));
        (Self { standing }, actions)
    }

    /// Handles one event and returns the actions to execute, in order.
    pub fn handle(
        &mut self,
        event: consensus::Event,
        now: time::Instant,
        entropy: u64,
    ) -> Vec<consensus::Action> {
        let Some(mut standing) = self.standing.take() else {
            return Vec::new();
        };
        let rearm = matches!(event, consensus::Event::Timer | consensus::Event::Start);
        let (role, core) = (standing.role(), standing.core_mut());
        core.entropy = entropy;
        let before = (role, core.vote.term, core.leader);
        let deadline = core.deadline;
        let mut standing = standing.step(event, now);
        let (role, core) = (standing.role(), standing.core_mut());
        if role != consensus::Role::Leader {
            core.abandon_tickets();
        }
        let (term, leader) = (core.vote.term, core.leader);
        if before != (role, term, leader) {
            core.emit(consensus::Action::RoleChanged { role, term, leader });
        }
        if rearm || core.deadline != deadline {
            core.emit(consensus::Action::SetTimer(core.deadline));
        }
        let actions = std::mem::take(&mut core.outbox);
        self.standing = Some(standing);
        actions
    }

    /// Leader, if known.
    pub fn leader(&self) -> Option<ids::NodeId> {
        self.standing.as_ref()?.core().leader
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        let standing = self.standing.as_ref();
        standing.is_some_and(|standing| standing.role() == consensus::Role::Leader)
    }

    /// Whether this replica may grant leases at this time.
    ///
    /// Ask right before each grant, after the returned actions are executed:
    /// the answer depends on the time, so a process that was stopped and
    /// resumed does not rely on an old majority.
    pub fn may_grant_leases(&self, now: time::Instant) -> bool {
        match &self.standing {
            Some(consensus::standing::Standing::Leader(leader)) => {
                leader.state.may_grant_leases(&leader.core, now)
            }
            _ => false,
        }
    }

    /// Members by the latest entry of the log, committed or not.
    pub fn members(&self) -> consensus::Members {
        let standing = self.standing.as_ref();
        standing.map_or_else(consensus::Members::default, |standing| {
            standing.core().log.members().clone()
        })
    }

    /// Summary for operators, logs and metrics.
    pub fn status(&self) -> consensus::Status {
        self.standing
            .as_ref()
            .map(consensus::standing::Standing::status)
            .unwrap_or_default()
    }
}

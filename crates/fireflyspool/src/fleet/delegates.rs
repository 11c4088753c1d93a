//! Entry VMs that gather groups of shards for this one.
//!
//! A part of an answer that crosses zones costs several times what its records are worth:
//! a query keeps the greatest records of all parts, and each part has a head of its own. So
//! the shards that have no server in this VM's zone are gathered and merged by entry VMs of
//! a zone that has them, and only the merged records cross.
//!
//! A VM with a small share of a core takes most of a latency objective to send a query to
//! many shards and to read the responses. So a group has no more shards than one VM writes
//! in time, and shards of this VM's own zone beyond that are delegated within the zone.
//!
//! This answers the load of a site with many shards. On one whose zones each hold all of a
//! few shards, nothing is delegated.

use std::{net, time};

use crate::fleet::{delegate_state, placed_shard};
use crate::{fleet, hub, ids, sorted};

/// Fewest shards in a group. The answer to a group is about as large as two parts, and the
/// way to the other VM takes time that a smaller group does not save.
const MIN_SHARDS: usize = 4;

/// Most shards in a group, which bounds the head of its answer.
const MAX_SHARDS: usize = 256;

/// Entry VMs to which groups may be delegated.
#[derive(Debug, Default)]
pub(super) struct Delegates {
    states: sorted::SortedMap<net::SocketAddr, delegate_state::DelegateState>,
}

impl Delegates {
    pub(super) fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Replaces the known entry VMs by those of a view; what is known of them is kept unless
    /// they have restarted.
    pub(super) fn update(&mut self, delegates: &[hub::Delegate]) {
        let is_listed = |listener: &net::SocketAddr, state: &delegate_state::DelegateState| {
            delegates.iter().any(|delegate| {
                delegate.listener == *listener && delegate.incarnation == state.incarnation
            })
        };
        self.states
            .retain(|listener, state| is_listed(listener, state));
        for (rank, delegate) in delegates.iter().enumerate() {
            let (zone, incarnation) = (delegate.zone.clone(), delegate.incarnation);
            let make = || delegate_state::DelegateState::new(zone, incarnation);
            let state = self.states.get_or_insert_with(delegate.listener, make);
            state.rank = rank;
        }
    }

    /// Groups the shards of a query by the entry VMs that are to gather them; the others are
    /// left to this VM, which is in zone `own`.
    ///
    /// A VM gathers at most `limit` shards if there are enough of them. The choice between
    /// zones that hold the same number of shards depends on `entropy`.
    pub(super) fn plan(
        &self,
        shards: Vec<placed_shard::PlacedShard<'_>>,
        (own, limit): (&ids::ZoneName, usize),
        entropy: u64,
        now: time::Instant,
    ) -> Vec<fleet::PlannedGroup> {
        let mut groups = Vec::new();
        let (mut foreign, local): (Vec<_>, Vec<_>) = shards
            .into_iter()
            .partition(|shard| !shard.zones.is_empty());
        let mut zones: Vec<_> = self.usable(now).map(|(_, state)| &state.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        if !zones.is_empty() {
            let first = usize::try_from(entropy >> 32).unwrap_or(0) % zones.len();
            zones.rotate_left(first);
        }
        loop {
            let holds = |zone: &ids::ZoneName| {
                let held = foreign.iter().filter(|shard| shard.zones.contains(&zone));
                held.count()
            };
            let most = zones.iter().copied().max_by_key(|zone| holds(zone));
            let Some(zone) = most.filter(|zone| holds(zone) >= MIN_SHARDS) else {
                break;
            };
            let (held, left): (Vec<_>, Vec<_>) = foreign
                .into_iter()
                .partition(|shard| shard.zones.contains(&zone));
            self.split(&held, (self.ranked(zone, now), limit), &mut groups);
            foreign = left;
        }
        // This VM keeps as many shards as it gives to each of the others.
        let delegates = self.ranked(own, now);
        let parts = local.len().div_ceil(limit.max(1)).min(delegates.len() + 1);
        let kept = local.len().div_ceil(parts.max(1));
        let given = local.get(kept..).unwrap_or_default();
        self.split(given, (delegates, limit), &mut groups);
        groups
    }

    /// Divides shards evenly among as few of the entry VMs as the limit allows.
    fn split(
        &self,
        shards: &[placed_shard::PlacedShard<'_>],
        (delegates, limit): (Vec<net::SocketAddr>, usize),
        groups: &mut Vec<fleet::PlannedGroup>,
    ) {
        let parts = shards.len().div_ceil(limit.max(1)).min(delegates.len());
        if parts == 0 {
            return;
        }
        let size = shards.len().div_ceil(parts).min(MAX_SHARDS);
        for (part, delegate) in shards.chunks(size).zip(delegates) {
            groups.push(fleet::PlannedGroup {
                delegate,
                shards: part.iter().map(|shard| shard.index).collect(),
            });
        }
    }

    /// Counts a group that is sent.
    pub(super) fn start(&mut self, delegate: net::SocketAddr) {
        if let Some(state) = self.states.get_mut(&delegate) {
            state.running += 1;
        }
    }

    /// Records that a group has taken too long; it is still under way.
    pub(super) fn record_late(&mut self, delegate: net::SocketAddr, now: time::Instant) {
        if let Some(state) = self.states.get_mut(&delegate) {
            let elapsed = time::Duration::ZERO;
            state.record(fleet::AttemptResult::Abandoned { elapsed }, now);
        }
    }

    /// Records the end of a group that [`Self::start`] counted; `result` is `None` if it was
    /// given up for a reason that says nothing about the entry VM.
    pub(super) fn record_end(
        &mut self,
        delegate: net::SocketAddr,
        result: Option<fleet::AttemptResult>,
        now: time::Instant,
    ) {
        if let Some(state) = self.states.get_mut(&delegate) {
            state.running = state.running.saturating_sub(1);
            if let Some(result) = result {
                state.record(result, now);
            }
        }
    }

    /// The usable entry VMs of a zone, those with the fewest groups under way first.
    fn ranked(&self, zone: &ids::ZoneName, now: time::Instant) -> Vec<net::SocketAddr> {
        let in_zone = self.usable(now).filter(|(_, state)| state.zone == *zone);
        let mut ranked: Vec<_> = in_zone.collect();
        ranked.sort_by_key(|(_, state)| (state.running, state.rank));
        ranked.into_iter().map(|(listener, _)| *listener).collect()
    }

    fn usable(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = (&net::SocketAddr, &delegate_state::DelegateState)> {
        self.states
            .iter()
            .filter(move |(_, state)| state.is_usable(now))
    }
}

//! Delegation of groups of shards to other entry VMs.
//!
//! The other VM sends each shard one attempt and answers with what it has; see
//! [`forward::Exchange::start_group`]. Missing shards are hedged and retried by this VM, and
//! so are those of a VM that does not answer in time.

use std::{mem, time};

use crate::forward::{any_sub_request, delegated_shard, running_group};
use crate::{configuration, fleet, forward, ids};

/// Least time until the cutoff for which a group is delegated, as a share of the latency
/// objective; with less, its missing shards could not be hedged.
const MIN_TIME_SHARE: f64 = 0.4;

/// Time before the cutoff at which an answer is due, for its way back and the merge.
const RETURN_TIME: time::Duration = time::Duration::from_millis(3);

impl forward::Exchange {
    /// Delegates the shards that are better gathered by other entry VMs.
    pub(super) fn delegate(&mut self, fleet: &mut fleet::Fleet, entropy: u64, now: time::Instant) {
        let top_k = match &self.route.target {
            configuration::Target::Gather(gather) => gather.top_k,
            _ => return,
        };
        let left = self.timing.cutoff.saturating_duration_since(now);
        if left < self.route.objective.mul_f64(MIN_TIME_SHARE) {
            return;
        }
        let states = self.sub_requests.iter().enumerate();
        let pending = states.filter_map(|(index, state)| match state {
            any_sub_request::AnySubRequest::Pending(pending) => Some((index, &pending.service)),
            _ => None,
        });
        for group in fleet.plan_groups(pending, &self.route, entropy, now) {
            self.send_group(group, top_k, fleet, now);
        }
    }

    fn send_group(
        &mut self,
        group: fleet::PlannedGroup,
        top_k: usize,
        fleet: &mut fleet::Fleet,
        now: time::Instant,
    ) {
        let shards = group.shards.iter();
        let services = shards.map(|index| self.sub_requests[*index].service().clone());
        let services = services.collect();
        for index in &group.shards {
            if let Some(pending) = self.sub_requests[*index].pending_mut() {
                pending.state.running += 1;
            }
        }
        fleet.start_group(group.delegate);
        let latency = fleet.group_latency(&self.route);
        let delay = forward::Timing::group_hedge_delay(&self.route, latency);
        self.next_attempt += 1;
        self.groups.push(running_group::RunningGroup {
            id: self.next_attempt,
            delegate: group.delegate,
            shards: group
                .shards
                .into_iter()
                .map(delegated_shard::DelegatedShard::Running)
                .collect(),
            top_k,
            sent: now,
            written: false,
            hedge_at: Some(now + delay),
        });
        let cutoff = self.timing.cutoff;
        let delegation = forward::Delegation {
            attempt: self.next_attempt,
            delegate: group.delegate,
            group: forward::Group {
                route: self.route.name.clone(),
                objective: self.route.objective,
                cutoff: cutoff.checked_sub(RETURN_TIME).unwrap_or(cutoff),
                deadline: self.timing.deadline,
                content: self.content,
                top_k,
                services,
            },
        };
        self.actions.push(forward::Action::Delegate(delegation));
    }

    /// Handles an answer to a delegated group; ignores one to an unknown group.
    ///
    /// A group whose answer contradicts itself or an earlier one has broken.
    pub fn group_answered(
        &mut self,
        attempt: ids::AttemptId,
        answer: forward::GroupAnswer,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) -> Vec<forward::Action> {
        if let Some(position) = self.group_position(attempt) {
            let mut group = self.groups.swap_remove(position);
            if group.accounts_for(&answer) {
                group.hedge_at = None;
                self.merge_answer(&mut group, answer, fleet, entropy, now);
                self.groups.push(group);
            } else {
                self.refused_answers += 1;
                self.end_group(&group, forward::GroupEnd::Broken, fleet, entropy, now);
            }
            self.probe(fleet, entropy, now);
        }
        self.advance(fleet, now)
    }

    /// Handles the end of a delegated group; ignores one that is unknown.
    pub fn group_ended(
        &mut self,
        attempt: ids::AttemptId,
        end: forward::GroupEnd,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) -> Vec<forward::Action> {
        if let Some(position) = self.group_position(attempt) {
            let group = self.groups.swap_remove(position);
            self.end_group(&group, end, fleet, entropy, now);
            self.probe(fleet, entropy, now);
        }
        self.advance(fleet, now)
    }

    fn end_group(
        &mut self,
        group: &running_group::RunningGroup,
        end: forward::GroupEnd,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let ran = match end {
            forward::GroupEnd::Answered
            | forward::GroupEnd::Broken
            | forward::GroupEnd::TimedOut => true,
            forward::GroupEnd::Refused | forward::GroupEnd::Unreachable => false,
        };
        for index in group.running() {
            let entropy = entropy.rotate_left(index as u32);
            match ran {
                true => self.end_delegated(index, true, fleet, entropy, now),
                false => self.send_directly(index, fleet, entropy, now),
            }
        }
    }

    /// Hedges the shards of the groups that have not been answered in time.
    pub(super) fn hedge_groups(
        &mut self,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let mut overdue = Vec::new();
        for group in &mut self.groups {
            if group.hedge_at.is_some_and(|at| at <= now) {
                group.hedge_at = None;
                fleet.record_group_late(group.delegate, now);
                overdue.extend(group.running());
            }
        }
        for index in overdue {
            self.hedge_delegated(index, fleet, entropy.rotate_left(index as u32), now);
        }
    }

    fn group_position(&self, attempt: ids::AttemptId) -> Option<usize> {
        let found = self.groups.iter().position(|group| group.id == attempt);
        found.filter(|_| !self.finished)
    }

    /// Merges an answer to a group, and hedges or retries the shards that it lacks.
    ///
    /// Records of a shard in the answer cannot be told from those of the others. So they are
    /// taken, whatever has come of the shard meanwhile, and a direct response to it is dropped.
    fn merge_answer(
        &mut self,
        group: &mut running_group::RunningGroup,
        answer: forward::GroupAnswer,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        if answer.answered.is_empty() {
            if answer.missing.iter().any(|shard| shard.crashed) {
                // The other VM reports the crashes.
                self.suspect(None);
            }
        } else {
            self.responded(fleet, entropy, now);
        }
        for (position, signature) in answer.answered {
            let shard = mem::replace(
                &mut group.shards[position],
                delegated_shard::DelegatedShard::Merged,
            );
            if let Some(index) = shard.unmerged() {
                self.sub_requests[index] = self.sub_requests[index].take().merge(signature);
            }
        }
        self.merged.push(answer.body);
        for shard in answer.missing {
            let delegated = &mut group.shards[shard.position];
            let Some(index) = delegated.running() else {
                continue;
            };
            if let Some(pending) = self.sub_requests[index].pending_mut() {
                pending.state.exclude(shard.tried);
            }
            let entropy = entropy.rotate_left(index as u32);
            if shard.running {
                self.hedge_delegated(index, fleet, entropy, now);
            } else {
                *delegated = delegated_shard::DelegatedShard::Ended(index);
                self.end_delegated(index, shard.ran, fleet, entropy, now);
            }
        }
    }

    /// Hedges a shard that another entry VM has not gathered in time, unless an attempt of this
    /// VM is under way or its response would come after the answer.
    fn hedge_delegated(
        &mut self,
        index: usize,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let pending = self.sub_requests[index].pending_mut();
        let unhedged = pending.is_some_and(|pending| pending.state.running == 1);
        let futile = self.is_sufficient() && now + fleet.typical(&self.route) >= self.timing.cutoff;
        if unhedged
            && !self.caution.is_suspected()
            && !futile
            && self.may_retry(index, fleet, now)
            && self.send(index, fleet, entropy, now)
        {
            self.hedges += 1;
        }
    }

    /// Ends the delegated attempt of a shard without a response; `ran` tells whether it may
    /// have run.
    fn end_delegated(
        &mut self,
        index: usize,
        ran: bool,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return;
        };
        let state = &mut pending.state;
        state.running = state.running.saturating_sub(1);
        match ran {
            true => state.ran += 1,
            false => state.rejected += 1,
        }
        self.send_again(index, None, fleet, entropy, now);
    }

    /// Whether there are enough responses for an answer.
    fn is_sufficient(&self) -> bool {
        let is_answered = |state: &&any_sub_request::AnySubRequest| {
            matches!(state, any_sub_request::AnySubRequest::Answered(_))
        };
        self.sub_requests.iter().filter(is_answered).count() >= self.required
    }

    /// Sends the first attempt of a shard whose group did not reach the other entry VM.
    fn send_directly(
        &mut self,
        index: usize,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return;
        };
        pending.state.running = pending.state.running.saturating_sub(1);
        if pending.state.running == 0 && !self.park(index) {
            self.send_first(index, fleet, entropy, now);
        }
    }
}

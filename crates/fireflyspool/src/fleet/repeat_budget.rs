//! Budget for requests beyond the first.

use std::{collections, time};

use crate::fleet;

/// Parts of the window; the oldest part is dropped as a whole.
const SLOTS: u32 = 20;

/// Share of the budget that is used. The rest covers entry VMs that count in
/// another rhythm, join, or are not yet known.
const SAFETY: f64 = 0.8;

/// Least number of entry VMs among which the slack is divided, for the time in
/// which few of them are known.
const LEAST_MEMBERS: usize = 6;

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    requests: f64,
    repeats: f64,
}

/// Requests and repeats to one service in a sliding window.
#[derive(Debug)]
pub struct RepeatBudget {
    slots: collections::VecDeque<Slot>,
    /// When the newest slot began.
    began: Option<time::Instant>,
}

impl Default for RepeatBudget {
    fn default() -> Self {
        Self {
            slots: collections::VecDeque::from([Slot::default()]),
            began: None,
        }
    }
}

impl RepeatBudget {
    /// Counts the first send of a request.
    pub fn note_request(&mut self, limits: &fleet::Limits, now: time::Instant) {
        self.advance(limits, now);
        if let Some(slot) = self.slots.back_mut() {
            slot.requests += 1.0;
        }
    }

    /// Takes one repeat if the budget allows it.
    pub fn take(&mut self, limits: &fleet::Limits, members: usize, now: time::Instant) -> bool {
        let allowed = self.allows(limits, members, now);
        if allowed && let Some(slot) = self.slots.back_mut() {
            slot.repeats += 1.0;
        }
        allowed
    }

    /// Whether the budget allows one repeat.
    pub fn allows(&mut self, limits: &fleet::Limits, members: usize, now: time::Instant) -> bool {
        self.advance(limits, now);
        let requests: f64 = self.slots.iter().map(|slot| slot.requests).sum();
        let repeats: f64 = self.slots.iter().map(|slot| slot.repeats).sum();
        let slack = limits.repeat_slack / members.max(LEAST_MEMBERS) as f64;
        repeats + 1.0 <= SAFETY * (limits.repeat_ratio * requests + slack)
    }

    fn advance(&mut self, limits: &fleet::Limits, now: time::Instant) {
        let length = limits.repeat_window / SLOTS;
        let mut began = self.began.unwrap_or(now);
        while now.saturating_duration_since(began) >= length {
            began += length;
            self.slots.push_back(Slot::default());
            if self.slots.len() > SLOTS as usize {
                self.slots.pop_front();
            }
            if self
                .slots
                .iter()
                .all(|slot| slot.requests + slot.repeats == 0.0)
            {
                began = now;
            }
        }
        self.began = Some(began);
    }
}

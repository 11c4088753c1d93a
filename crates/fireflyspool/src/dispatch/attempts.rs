//! Attempts of a dispatcher by number.

use std::time;

use crate::dispatch::{attempt, timers};
use crate::{ids, sorted};

/// Attempts that hold permits, with their timers.
#[derive(Debug)]
pub(super) struct Attempts {
    next: ids::AttemptId,
    // Boxed, so that a removal from the middle of the sorted vector moves few bytes.
    running: sorted::SortedMap<ids::AttemptId, Box<attempt::Attempt>>,
    timers: timers::Timers<ids::AttemptId>,
}

impl Attempts {
    pub(super) fn new(first: ids::AttemptId) -> Self {
        Self {
            next: first,
            running: sorted::SortedMap::new(),
            timers: timers::Timers::default(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns the number for a new attempt.
    pub(super) fn next_id(&mut self) -> ids::AttemptId {
        let id = self.next;
        self.next = self.next.wrapping_add(1);
        id
    }

    pub(super) fn insert(&mut self, id: ids::AttemptId, attempt: Box<attempt::Attempt>) {
        self.timers.push(attempt.timer, id);
        self.running.insert(id, attempt);
    }

    pub(super) fn get(&self, id: ids::AttemptId) -> Option<&attempt::Attempt> {
        self.running.get(&id).map(Box::as_ref)
    }

    pub(super) fn get_mut(&mut self, id: ids::AttemptId) -> Option<&mut attempt::Attempt> {
        self.running.get_mut(&id).map(Box::as_mut)
    }

    pub(super) fn remove(&mut self, id: ids::AttemptId) -> Option<Box<attempt::Attempt>> {
        self.running.remove(&id)
    }

    /// Replaces the timer of an attempt.
    pub(super) fn set_timer(&mut self, id: ids::AttemptId, timer: time::Instant) {
        if let Some(attempt) = self.running.get_mut(&id) {
            attempt.timer = timer;
            self.timers.push(timer, id);
        }
    }

    /// Removes timers of ended attempts.
    pub(super) fn purge(&mut self) {
        let running = &self.running;
        self.timers.purge(running.len(), |time, id| {
            running
                .get(&id)
                .is_some_and(|attempt| attempt.timer == time)
        });
    }

    /// Attempt with the earliest timer, if that is due.
    pub(super) fn due(&mut self, now: time::Instant) -> Option<ids::AttemptId> {
        self.purge();
        let (time, id) = self.timers.first()?;
        (time <= now).then_some(id)
    }

    pub(super) fn first_timer(&self) -> Option<time::Instant> {
        self.timers.first().map(|(time, _)| time)
    }

    /// Whether any attempt with this fingerprint holds a permit.
    pub(super) fn is_running(&self, fingerprint: ids::Fingerprint) -> bool {
        let mut attempts = self.running.values();
        attempts.any(|attempt| attempt.sub.request.fingerprint == fingerprint)
    }
}

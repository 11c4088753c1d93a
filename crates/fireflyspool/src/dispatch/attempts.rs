//! All attempts of a dispatcher.

use std::time;

use crate::dispatch::{attempt, timers};
use crate::{ids, sorted};

/// Attempts that hold permits, with their timers.
#[derive(Debug)]
pub(super) struct Attempts {
    next: ids::AttemptId,
    // Boxed, so that removing one from the middle moves few bytes.
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

    /// Number of the next attempt.
    pub(super) fn draw(&mut self) -> ids::AttemptId {
        let drawn = self.next;
        self.next = self.next.wrapping_add(1);
        drawn
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

    /// Moves the timer of an attempt.
    pub(super) fn set_timer(&mut self, id: ids::AttemptId, timer: time::Instant) {
        if let Some(attempt) = self.running.get_mut(&id) {
            attempt.timer = timer;
            self.timers.push(timer, id);
        }
    }

    /// Drops timers of attempts that have ended.
    pub(super) fn tidy(&mut self) {
        let running = &self.running;
        self.timers.tidy(running.len(), |time, id| {
            running
                .get(&id)
                .is_some_and(|attempt| attempt.timer == time)
        });
    }

    /// Attempt whose timer is due.
    pub(super) fn due(&mut self, now: time::Instant) -> Option<ids::AttemptId> {
        self.tidy();
        let (time, id) = self.timers.first()?;
        (time <= now).then_some(id)
    }

    pub(super) fn first_timer(&self) -> Option<time::Instant> {
        self.timers.first().map(|(time, _)| time)
    }

    /// Whether any attempt with this content holds a permit.
    pub(super) fn runs(&self, fingerprint: ids::Fingerprint) -> bool {
        let mut attempts = self.running.values();
        attempts.any(|attempt| attempt.entry.request.fingerprint == fingerprint)
    }
}

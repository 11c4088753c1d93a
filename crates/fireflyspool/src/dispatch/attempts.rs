//! All attempts of a dispatcher.

use std::time;

use crate::dispatch::attempt;
use crate::{ids, sorted};

/// Attempts that hold permits, with their timers.
#[derive(Debug)]
pub(super) struct Attempts {
    next: ids::AttemptId,
    // Boxed, so that removing one from the middle moves few bytes.
    running: sorted::SortedMap<ids::AttemptId, Box<attempt::Attempt>>,
    timers: sorted::SortedMap<(time::Instant, ids::AttemptId), ()>,
}

impl Attempts {
    pub(super) fn new(first: ids::AttemptId) -> Self {
        Self {
            next: first,
            running: sorted::SortedMap::new(),
            timers: sorted::SortedMap::new(),
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
        self.timers.insert((attempt.timer, id), ());
        self.running.insert(id, attempt);
    }

    pub(super) fn get(&self, id: ids::AttemptId) -> Option<&attempt::Attempt> {
        self.running.get(&id).map(Box::as_ref)
    }

    pub(super) fn get_mut(&mut self, id: ids::AttemptId) -> Option<&mut attempt::Attempt> {
        self.running.get_mut(&id).map(Box::as_mut)
    }

    pub(super) fn remove(&mut self, id: ids::AttemptId) -> Option<Box<attempt::Attempt>> {
        let attempt = self.running.remove(&id)?;
        self.timers.remove(&(attempt.timer, id));
        Some(attempt)
    }

    /// Moves the timer of an attempt.
    pub(super) fn set_timer(&mut self, id: ids::AttemptId, timer: time::Instant) {
        if let Some(attempt) = self.running.get_mut(&id) {
            self.timers.remove(&(attempt.timer, id));
            attempt.timer = timer;
            self.timers.insert((timer, id), ());
        }
    }

    /// Attempt whose timer is due.
    pub(super) fn due(&self, now: time::Instant) -> Option<ids::AttemptId> {
        let (key, ()) = self.timers.first()?;
        (key.0 <= now).then_some(key.1)
    }

    pub(super) fn first_timer(&self) -> Option<time::Instant> {
        self.timers.first().map(|(key, ())| key.0)
    }

    /// Whether any attempt with this content holds a permit.
    pub(super) fn runs(&self, fingerprint: ids::Fingerprint) -> bool {
        let mut attempts = self.running.values();
        attempts.any(|attempt| attempt.entry.request.fingerprint == fingerprint)
    }
}

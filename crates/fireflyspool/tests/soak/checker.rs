//! Invariants of a run, and the faults that excuse an entry VM.

use std::{net, sync, time};

use super::checker_state;

/// Most time by which the record of a fault may differ from the fault.
const RECORD_MARGIN: time::Duration = time::Duration::from_millis(300);

/// Record of acknowledgements, faults and violations that all tasks write.
#[derive(Default)]
pub(crate) struct Checker {
    state: sync::Mutex<checker_state::CheckerState>,
}

impl Checker {
    /// Adds a line to the timeline, which is printed if the run fails.
    pub(crate) fn log(&self, line: String) {
        let mut state = self.lock();
        let started = *state.started.get_or_insert_with(time::Instant::now);
        state.timeline.push((started.elapsed(), line));
    }

    /// Records a broken invariant.
    pub(crate) fn record_violation(&self, line: String) {
        self.log(format!("VIOLATION {line}"));
        self.lock().violations.push(line);
    }

    /// Version for the next configuration, `step` above the last one.
    pub(crate) fn next_version(&self, step: u64) -> u64 {
        let mut state = self.lock();
        state.sent += step;
        state.sent
    }

    pub(crate) fn record_acknowledged(&self, version: u64) {
        let mut state = self.lock();
        state.acknowledged = state.acknowledged.max(version);
    }

    /// Greatest configuration version acknowledged, and greatest sent.
    pub(crate) fn versions(&self) -> (u64, u64) {
        let state = self.lock();
        (state.acknowledged, state.sent)
    }

    /// Records when an entry VM or the link to it was faulty.
    pub(crate) fn record_fault(
        &self,
        entry: net::SocketAddr,
        since: time::Instant,
        until: time::Instant,
    ) {
        self.lock().faults.push((entry, (since, until)));
    }

    /// Records an event that is a violation unless the entry VM was faulty.
    pub(crate) fn record_suspicion(
        &self,
        entry: net::SocketAddr,
        since: time::Instant,
        line: String,
    ) {
        self.log(format!("{entry} {line}"));
        let span = (since, time::Instant::now());
        self.lock().suspicions.push((entry, span, line));
    }

    /// Turns suspicions that no fault excuses into violations; called after the run.
    pub(crate) fn confirm_suspicions(&self) {
        let mut state = self.lock();
        let suspicions = std::mem::take(&mut state.suspicions);
        for (entry, (since, until), line) in suspicions {
            let excused = state.faults.iter().any(|(faulty, (from, to))| {
                *faulty == entry && *from <= until + RECORD_MARGIN && since <= *to + RECORD_MARGIN
            });
            if !excused {
                state.violations.push(format!("{entry} {line}"));
            }
        }
    }

    pub(crate) fn record_query(&self, missing: Option<usize>) {
        let mut state = self.lock();
        state.queries += 1;
        state.complete += usize::from(missing == Some(0));
    }

    pub(crate) fn record_single(&self, id: String, status: Option<u16>) {
        self.lock().singles.push((id, status));
    }

    pub(crate) fn singles(&self) -> Vec<(String, Option<u16>)> {
        self.lock().singles.clone()
    }

    /// Number of queries, and of those that every shard answered.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let state = self.lock();
        (state.queries, state.complete)
    }

    pub(crate) fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Events of the run with seconds since its first event, one a line.
    pub(crate) fn timeline(&self) -> String {
        let state = self.lock();
        let lines = state.timeline.iter();
        let lines = lines.map(|(at, line)| format!("{:8.3} {line}\n", at.as_secs_f64()));
        lines.collect()
    }

    fn lock(&self) -> sync::MutexGuard<'_, checker_state::CheckerState> {
        // A task that panicked has already failed the run.
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

//! Invariants of a run, and what excuses an entry VM.

use std::{net, sync, time};

use super::checker_state;

/// Time by which a fault and the record of it may differ.
const MARGIN: time::Duration = time::Duration::from_millis(300);

/// Record of acknowledgements, faults and violations that all tasks write.
#[derive(Default)]
pub(crate) struct Checker {
    state: sync::Mutex<checker_state::CheckerState>,
}

impl Checker {
    /// Adds a line to the timeline, which a failure prints.
    pub(crate) fn log(&self, line: String) {
        let mut state = self.lock();
        let started = *state.started.get_or_insert_with(time::Instant::now);
        state.timeline.push((started.elapsed(), line));
    }

    /// Records a broken invariant.
    pub(crate) fn violation(&self, line: String) {
        self.log(format!("VIOLATION {line}"));
        self.lock().violations.push(line);
    }

    /// Next version of the configuration, a few above the former one.
    pub(crate) fn next_version(&self, step: u64) -> u64 {
        let mut state = self.lock();
        state.sent += step;
        state.sent
    }

    pub(crate) fn acknowledge(&self, version: u64) {
        let mut state = self.lock();
        state.acknowledged = state.acknowledged.max(version);
    }

    /// Greatest version that was acknowledged, and greatest that was sent.
    pub(crate) fn versions(&self) -> (u64, u64) {
        let state = self.lock();
        (state.acknowledged, state.sent)
    }

    /// Records that an entry VM or the link to it was faulty.
    pub(crate) fn fault(&self, entry: net::SocketAddr, since: time::Instant, until: time::Instant) {
        self.lock().faults.push((entry, (since, until)));
    }

    /// Records what an entry VM must not do while it is healthy.
    pub(crate) fn suspect(&self, entry: net::SocketAddr, since: time::Instant, line: String) {
        self.log(format!("{entry} {line}"));
        let span = (since, time::Instant::now());
        self.lock().suspected.push((entry, span, line));
    }

    /// Turns what is suspected into violations; called once the run has ended.
    pub(crate) fn judge(&self) {
        let mut state = self.lock();
        let suspected = std::mem::take(&mut state.suspected);
        for (entry, (since, until), line) in suspected {
            let excused = state.faults.iter().any(|(faulty, (from, to))| {
                *faulty == entry && *from <= until + MARGIN && since <= *to + MARGIN
            });
            if !excused {
                state.violations.push(format!("{entry} {line}"));
            }
        }
    }

    pub(crate) fn gathered(&self, missing: Option<usize>) {
        let mut state = self.lock();
        state.gathered += 1;
        state.whole += usize::from(missing == Some(0));
    }

    pub(crate) fn single(&self, id: String, status: Option<u16>) {
        self.lock().singles.push((id, status));
    }

    pub(crate) fn singles(&self) -> Vec<(String, Option<u16>)> {
        self.lock().singles.clone()
    }

    /// Queries, and those of which every shard answered.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let state = self.lock();
        (state.gathered, state.whole)
    }

    pub(crate) fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// What happened, a line each.
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

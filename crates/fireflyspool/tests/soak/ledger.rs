//! What the system has promised so far.

use std::{net, sync, time};

type Span = (time::Instant, time::Instant);

/// Time by which a disturbance and its notes may differ.
const MARGIN: time::Duration = time::Duration::from_millis(300);

/// Promises and disturbances, written by all tasks of a run.
#[derive(Default)]
pub(crate) struct Ledger {
    state: sync::Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Greatest version of a configuration that was sent, and that was acknowledged.
    sent: u64,
    acknowledged: u64,
    /// Requests that may run once only, with the status of the answer.
    singles: Vec<(String, Option<u16>)>,
    /// When entry VMs or the ways to them were disturbed.
    disturbed: Vec<(net::SocketAddr, Span)>,
    /// What breaks a promise of an entry VM unless it was disturbed then.
    suspected: Vec<(net::SocketAddr, Span, String)>,
    gathered: usize,
    whole: usize,
    violations: Vec<String>,
    story: Vec<(time::Duration, String)>,
    started: Option<time::Instant>,
}

impl Ledger {
    /// Notes what the run does, for the report of a failure.
    pub(crate) fn tell(&self, line: String) {
        let mut state = self.lock();
        let started = *state.started.get_or_insert_with(time::Instant::now);
        state.story.push((started.elapsed(), line));
    }

    /// Notes a broken promise.
    pub(crate) fn violate(&self, line: String) {
        self.tell(format!("VIOLATION {line}"));
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

    pub(crate) fn disturb(
        &self,
        entry: net::SocketAddr,
        since: time::Instant,
        until: time::Instant,
    ) {
        self.lock().disturbed.push((entry, (since, until)));
    }

    /// Notes what an entry VM must not do while it is undisturbed.
    pub(crate) fn suspect(&self, entry: net::SocketAddr, since: time::Instant, line: String) {
        self.tell(format!("{entry} {line}"));
        let span = (since, time::Instant::now());
        self.lock().suspected.push((entry, span, line));
    }

    /// Turns what is suspected into violations; called once the run has ended.
    pub(crate) fn judge(&self) {
        let mut state = self.lock();
        let suspected = std::mem::take(&mut state.suspected);
        for (entry, (since, until), line) in suspected {
            let excused = state.disturbed.iter().any(|(disturbed, (from, to))| {
                *disturbed == entry && *from <= until + MARGIN && since <= *to + MARGIN
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

    /// The run as text.
    pub(crate) fn story(&self) -> String {
        let state = self.lock();
        let lines = state.story.iter();
        let lines = lines.map(|(at, line)| format!("{:8.3} {line}\n", at.as_secs_f64()));
        lines.collect()
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        // A task that panicked has already failed the run.
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

//! Content under which backend servers crashed.

use std::time;

use crate::containment;

/// Crashes after which a content is refused, if one of them happened during a probe.
const CRASH_LIMIT: usize = 3;

/// Failed probes after which a content is refused if some of the crashes that count are unseen.
const UNSEEN_PROBE_LIMIT: usize = 2;

/// Most crashes kept of attempts that were no probes, and of probes; further ones would not
/// change a verdict.
const MAX_CRASHES: usize = CRASH_LIMIT;
const MAX_PROBES: usize = 4;

/// Time for which a content is refused after its first failed probe; each further one
/// multiplies it by [`REFUSAL_FACTOR`].
const FIRST_REFUSAL: time::Duration = time::Duration::from_secs(60);
const REFUSAL_FACTOR: u32 = 10;

/// Time after the last refusal after which a content is forgotten.
const RETENTION: time::Duration = time::Duration::from_secs(600);

/// Time after the last crash after which a content is forgotten that no probe speaks against.
const UNPROBED_RETENTION: time::Duration = time::Duration::from_secs(60);

/// Crashes under one content.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    /// Ascending.
    pub(super) crashes: Vec<containment::Crash>,
    /// When the latest one that counts was noticed.
    pub(super) latest: time::Instant,
    /// Position of the latest change in the ledger.
    pub(super) changed: u64,
}

impl Suspect {
    pub(super) fn new(now: time::Instant) -> Self {
        Self {
            crashes: Vec::new(),
            latest: now,
            changed: 0,
        }
    }

    /// Adds a crash that was noticed at `noticed`; returns whether it may change the verdict.
    pub(super) fn add(&mut self, crash: containment::Crash, noticed: time::Instant) -> bool {
        let alike = self
            .crashes
            .iter()
            .filter(|known| (known.probe, known.unseen) == (crash.probe, crash.unseen));
        let full = alike.count() >= if crash.probe { MAX_PROBES } else { MAX_CRASHES };
        let Err(position) = self.crashes.binary_search(&crash) else {
            return false;
        };
        if full {
            return false;
        }
        self.crashes.insert(position, crash);
        self.latest = self.latest.max(noticed);
        true
    }

    /// When requests are no longer refused; `None` if they are not.
    pub(super) fn refused_until(&self) -> Option<time::Instant> {
        let needed = match self.ended(|crash| !crash.unseen) >= CRASH_LIMIT {
            true => 1,
            false => UNSEEN_PROBE_LIMIT,
        };
        let probes = self.ended(|crash| crash.probe);
        let further = u32::try_from(probes.checked_sub(needed)?).unwrap_or(u32::MAX);
        let refusal = FIRST_REFUSAL * REFUSAL_FACTOR.saturating_pow(further);
        (self.ended(|_| true) >= CRASH_LIMIT).then(|| self.latest + refusal)
    }

    /// Number of incarnations that ended under some of the attempts; several of these may have
    /// run at the same one.
    fn ended(&self, counts: impl Fn(&&containment::Crash) -> bool) -> usize {
        let crashes = self.crashes.iter().filter(counts);
        let mut ended: Vec<_> = crashes.map(|c| (&c.server, c.born)).collect();
        ended.dedup();
        ended.len()
    }

    /// When the content is forgotten.
    pub(super) fn forgotten_at(&self) -> time::Instant {
        match self.is_probed() {
            true => self.refused_until().unwrap_or(self.latest) + RETENTION,
            false => self.latest + UNPROBED_RETENTION,
        }
    }

    /// Whether a server ended during a probe.
    pub(super) fn is_probed(&self) -> bool {
        self.crashes.iter().any(|crash| crash.probe)
    }
}

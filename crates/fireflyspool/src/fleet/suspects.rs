//! Contents that may crash backend servers, as the traffic threads of one entry VM see them.

use std::time;

use crate::{containment, ids, sorted};

/// Time after which a caller may try again that is refused while a probe is under way.
const PROBE_TIME: time::Duration = time::Duration::from_millis(200);

/// Crashes that this VM has seen or was told of, and its probes.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    ledger: containment::Ledger,
    /// Contents with a probe under way, and when it has ended at the latest.
    probes: sorted::SortedMap<ids::Fingerprint, time::Instant>,
    /// Contents that a server has responded to, and the number of crashes known by then.
    cleared: sorted::SortedMap<ids::Fingerprint, usize>,
}

impl Suspects {
    /// Adds the crashes that the control VMs know of.
    pub(super) fn merge(&mut self, ledger: &containment::Ledger, now: time::Instant) {
        for record in ledger.since(0, now) {
            self.ledger.merge(record, now);
        }
        self.ledger.expire(now);
        let ledger = &self.ledger;
        self.cleared
            .retain(|content, crashes| ledger.crashes(*content) == *crashes);
        self.probes.retain(|_, until| now < *until);
    }

    /// Adds a crash that this VM noticed; returns whether that may change a verdict.
    pub(super) fn add(
        &mut self,
        content: ids::Fingerprint,
        crash: containment::Crash,
        now: time::Instant,
    ) -> bool {
        self.ledger.add(content, crash, now)
    }

    /// Decision on a new request.
    pub(super) fn verdict(
        &self,
        content: ids::Fingerprint,
        spread: f64,
        now: time::Instant,
    ) -> containment::Verdict {
        let verdict = self.ledger.verdict(content, spread, now);
        if verdict != containment::Verdict::Probe {
            return verdict;
        }
        if self.cleared.get(&content) == Some(&self.ledger.crashes(content)) {
            return containment::Verdict::Accepted;
        }
        match self.probes.get(&content) {
            Some(until) if now < *until => {
                let until = now + PROBE_TIME;
                containment::Verdict::Refused { until }
            }
            _ => containment::Verdict::Probe,
        }
    }

    /// Whether crashes during probes speak against a content, so that no server may get it.
    pub(super) fn is_refused(&self, content: ids::Fingerprint, now: time::Instant) -> bool {
        let verdict = self.ledger.verdict(content, 0.0, now);
        matches!(verdict, containment::Verdict::Refused { .. })
    }

    /// Records a probe that ends by `until`.
    pub(super) fn start_probe(&mut self, content: ids::Fingerprint, until: time::Instant) {
        self.probes.insert(content, until);
    }

    /// Records that a request that may have probed has ended.
    pub(super) fn end_probe(&mut self, content: ids::Fingerprint) {
        self.probes.remove(&content);
    }

    /// Accepts a content that a server has responded to, until further crashes are known.
    pub(super) fn clear(&mut self, content: ids::Fingerprint) {
        let crashes = self.ledger.crashes(content);
        if crashes > 0 {
            self.cleared.insert(content, crashes);
        }
        self.end_probe(content);
    }
}

//! Requests of contents that may crash backend servers.

use std::time;

use crate::{containment, fleet, hub, ids};

impl fleet::Fleet {
    /// Decision on a new request of a content.
    pub fn verdict(&self, content: ids::Fingerprint, now: time::Instant) -> containment::Verdict {
        self.suspects.verdict(content, self.spread, now)
    }

    /// Whether no server may get a content; unlike [`Self::verdict`], a probe that is under way
    /// is no reason.
    pub fn is_refused(&self, content: ids::Fingerprint, now: time::Instant) -> bool {
        self.suspects.is_refused(content, now)
    }

    /// Records a probe of a content that ends by `until`.
    pub fn start_probe(&mut self, content: ids::Fingerprint, until: time::Instant) {
        self.suspects.start_probe(content, until);
    }

    /// Records that a request that may have probed its content has ended.
    pub fn end_probe(&mut self, content: ids::Fingerprint) {
        self.suspects.end_probe(content);
    }

    /// Accepts a content that a server has responded to, until further crashes are known.
    pub fn clear_content(&mut self, content: ids::Fingerprint) {
        self.suspects.clear(content);
    }

    /// Records a crash under a content; the control VMs are told if it may change a verdict.
    /// Returns whether it may.
    pub fn record_crash(
        &mut self,
        content: ids::Fingerprint,
        crash: containment::Crash,
        now: time::Instant,
    ) -> bool {
        let symptom = hub::Symptom::Crashed {
            born: crash.born,
            content,
            probe: crash.probe,
            unseen: crash.unseen,
        };
        let server = crash.server.clone();
        let counts = self.suspects.add(content, crash, now);
        if counts {
            self.observations.add(&server, symptom, now);
        }
        counts
    }
}

//! Crash reports and crash warnings of a holder.

use std::time;

use crate::{ids, lease, roster};

impl lease::Holder {
    /// Reports to the leader that a backend server crashed while it ran a request.
    pub fn report_crash(
        &mut self,
        fingerprint: ids::Fingerprint,
        server: &str,
        incarnation: ids::Incarnation,
    ) {
        self.reports.add(roster::Crash {
            fingerprint,
            server: server.to_owned(),
            incarnation,
        });
    }

    /// Records a crash warning of a coordinator; returns whether the crash is new.
    ///
    /// The crash counts in the view at once, before the leader has published it.
    pub fn add_warning(&mut self, crash: roster::Crash, now: time::Instant) -> bool {
        self.warnings.add(crash, now)
    }
}

//! Crashes of backend servers, as a holder reports and learns them.

use std::time;

use crate::{ids, lease, roster};

impl lease::Holder {
    /// Reports that a backend server died while it ran a request.
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

    /// Takes the warning of a crash; returns whether the view changes.
    ///
    /// A content is suspect in the view at once, before the leader has
    /// published the crash.
    pub fn add_warning(&mut self, crash: roster::Crash, now: time::Instant) -> bool {
        self.warnings.add(crash, now)
    }
}

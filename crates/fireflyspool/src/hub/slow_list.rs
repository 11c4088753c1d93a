//! Backend servers that several requests found slow.
//!
//! One entry VM of a large site reaches a backend server too rarely to notice
//! in time that it has become slow, but all entry VMs together do. Reports must
//! be frequent, and spread over longer than a short pause, which a hedge
//! already covers.

use std::time;

use crate::{ids, sorted};

/// Time over which reports must be spread; longer than the pauses of backend servers.
const SPREAD: time::Duration = time::Duration::from_millis(180);

/// Reports that list a server, each faded by its age. A busy server whose
/// slowest requests are reported stays far below.
const LEAST_REPORTS: f64 = 9.0;

/// Time after which a report counts about a third.
const FADE: time::Duration = time::Duration::from_millis(500);

/// Time without a report after which a server is no longer listed, so that it is tried again.
const LIFETIME: time::Duration = time::Duration::from_millis(1_300);

#[derive(Debug)]
struct Mark {
    first: time::Instant,
    last: time::Instant,
    /// Faded number of reports as of `last`.
    reports: f64,
    listed: bool,
    /// Whether entry VMs reported it here, as opposed to another hub.
    own: bool,
}

/// Reports by backend server.
#[derive(Debug, Default)]
pub(super) struct SlowList {
    marks: sorted::SortedMap<ids::ServerName, Mark>,
    revision: u64,
    own_revision: u64,
}

impl SlowList {
    /// Grows with each change of the list.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Grows with each change of what entry VMs reported here.
    pub(super) fn own_revision(&self) -> u64 {
        self.own_revision
    }

    /// Servers that are slow now, ascending.
    pub(super) fn listed(&self) -> Vec<ids::ServerName> {
        self.names(|mark| mark.listed)
    }

    /// Listed servers that entry VMs reported here, ascending.
    pub(super) fn own(&self) -> Vec<ids::ServerName> {
        self.names(|mark| mark.listed && mark.own)
    }

    /// Takes the report of an entry VM.
    pub(super) fn report(&mut self, server: ids::ServerName, now: time::Instant) {
        let mark = self.marks.get_or_insert_with(server, || Mark {
            first: now,
            last: now,
            reports: 0.0,
            listed: false,
            own: true,
        });
        let age = now.saturating_duration_since(mark.last);
        mark.reports = 1.0 + mark.reports * (-age.as_secs_f64() / FADE.as_secs_f64()).exp();
        mark.last = now;
        mark.own = true;
        let spread = now.saturating_duration_since(mark.first);
        if !mark.listed && spread >= SPREAD && mark.reports >= LEAST_REPORTS {
            mark.listed = true;
            self.revision += 1;
            self.own_revision += 1;
        }
    }

    /// Takes a server that another hub lists.
    pub(super) fn adopt(&mut self, server: ids::ServerName, now: time::Instant) {
        if self.marks.get(&server).is_some_and(|mark| mark.own) {
            return;
        }
        let mark = Mark {
            first: now,
            last: now,
            reports: LEAST_REPORTS,
            listed: true,
            own: false,
        };
        if self.marks.insert(server, mark).is_none() {
            self.revision += 1;
        }
    }

    /// Drops servers of which nothing was heard for a while.
    pub(super) fn expire(&mut self, now: time::Instant) {
        let mut dropped = false;
        self.marks.retain(|_, mark| {
            let keep = now.saturating_duration_since(mark.last) <= LIFETIME;
            dropped |= !keep && mark.listed;
            keep
        });
        self.revision += u64::from(dropped);
    }

    fn names(&self, keep: impl Fn(&Mark) -> bool) -> Vec<ids::ServerName> {
        let kept = self.marks.iter().filter(|(_, mark)| keep(mark));
        kept.map(|(server, _)| server.clone()).collect()
    }
}

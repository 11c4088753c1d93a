//! Backend servers that several requests found slow or failing.
//!
//! One entry VM of a large site reaches a backend server too rarely to notice
//! in time that it has become slow, but all entry VMs together do. Reports must
//! follow one another for longer than a short pause, which a hedge already
//! covers, and without a fast answer in between.

use std::time;

use crate::{hub, ids, sorted};

/// Time over which reports must go on; longer than the pauses of backend servers.
const SPREAD: time::Duration = time::Duration::from_millis(200);

/// Longest time between two reports that belong together; a hub of a large site
/// hears of a slow server about every 80 ms.
const GAP: time::Duration = time::Duration::from_millis(250);

/// Weight of reports that lists a server.
const LEAST_WEIGHT: u32 = 4;

/// Weight of a failure, where an overdue attempt weighs 1: a healthy server has
/// overdue attempts now and then, but does not fail.
const FAILED_WEIGHT: u32 = 2;

/// Time without a report after which a server is no longer listed, so that it is tried again.
const LIFETIME: time::Duration = time::Duration::from_millis(1_300);

#[derive(Debug)]
struct Mark {
    /// First and last of the reports that belong together.
    first: time::Instant,
    last: time::Instant,
    weight: u32,
    listed: bool,
    /// Whether entry VMs reported it here, as opposed to another hub.
    own: bool,
}

/// Reports by backend server.
#[derive(Debug, Default)]
pub(super) struct Outliers {
    marks: sorted::SortedMap<ids::ServerName, Mark>,
    revision: u64,
    own_revision: u64,
}

impl Outliers {
    /// Grows with each change of the list.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Grows with each change of what entry VMs reported here.
    pub(super) fn own_revision(&self) -> u64 {
        self.own_revision
    }

    /// Servers that are listed now, ascending.
    pub(super) fn listed(&self) -> Vec<ids::ServerName> {
        self.names(|mark| mark.listed)
    }

    /// Listed servers that entry VMs reported here, ascending.
    pub(super) fn own(&self) -> Vec<ids::ServerName> {
        self.names(|mark| mark.listed && mark.own)
    }

    /// Takes the report of an entry VM.
    pub(super) fn report(
        &mut self,
        server: ids::ServerName,
        symptom: hub::Symptom,
        now: time::Instant,
    ) {
        let weight = match symptom {
            hub::Symptom::Overdue => 1,
            hub::Symptom::Failed => FAILED_WEIGHT,
            hub::Symptom::Recovered => {
                // A listed server gets few requests, so one fast answer says little.
                if self.marks.get(&server).is_some_and(|mark| !mark.listed) {
                    self.marks.remove(&server);
                }
                return;
            }
        };
        let mark = self.marks.get_or_insert_with(server, || Mark {
            first: now,
            last: now,
            weight: 0,
            listed: false,
            own: true,
        });
        if now.saturating_duration_since(mark.last) > GAP {
            mark.first = now;
            mark.weight = 0;
        }
        mark.weight += weight;
        mark.last = now;
        mark.own = true;
        let spread = now.saturating_duration_since(mark.first);
        if !mark.listed && spread >= SPREAD && mark.weight >= LEAST_WEIGHT {
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
            weight: LEAST_WEIGHT,
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

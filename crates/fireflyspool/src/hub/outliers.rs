//! Backend servers that several requests found slow or failing.
//!
//! One entry VM of a large site reaches a backend server too rarely to notice
//! in time that it has become slow, but all entry VMs together do. Reports must
//! follow one another for longer than a short pause, which a hedge already
//! covers, and without a fast answer in between.

use std::time;

use crate::{hub, ids, sorted};

/// Time over which reports must go on; longer than the pauses of backend servers.
const MIN_DURATION: time::Duration = time::Duration::from_millis(200);

/// Longest time between two reports that belong together; a hub of a large site
/// hears of a slow server about every 80 ms.
const MAX_GAP: time::Duration = time::Duration::from_millis(250);

/// Weight of reports that lists a server.
const MIN_WEIGHT: u32 = 4;

/// Weight of a failure, where an overdue attempt weighs 1: a healthy server has
/// overdue attempts now and then, but does not fail.
const FAILURE_WEIGHT: u32 = 2;

/// Time without a report after which a server is no longer listed, so that it is tried again.
const LISTING_LIFETIME: time::Duration = time::Duration::from_millis(1_300);

#[derive(Debug)]
struct ReportSeries {
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
    servers: sorted::SortedMap<ids::ServerName, ReportSeries>,
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
        self.names(|series| series.listed)
    }

    /// Listed servers that entry VMs reported here, ascending.
    pub(super) fn own(&self) -> Vec<ids::ServerName> {
        self.names(|series| series.listed && series.own)
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
            hub::Symptom::Failed => FAILURE_WEIGHT,
            hub::Symptom::Recovered => {
                // A listed server gets few requests, so one fast answer says little.
                if self
                    .servers
                    .get(&server)
                    .is_some_and(|series| !series.listed)
                {
                    self.servers.remove(&server);
                }
                return;
            }
        };
        let series = self.servers.get_or_insert_with(server, || ReportSeries {
            first: now,
            last: now,
            weight: 0,
            listed: false,
            own: true,
        });
        if now.saturating_duration_since(series.last) > MAX_GAP {
            series.first = now;
            series.weight = 0;
        }
        series.weight += weight;
        series.last = now;
        series.own = true;
        let spread = now.saturating_duration_since(series.first);
        if !series.listed && spread >= MIN_DURATION && series.weight >= MIN_WEIGHT {
            series.listed = true;
            self.revision += 1;
            self.own_revision += 1;
        }
    }

    /// Takes a server that another hub lists.
    pub(super) fn merge_listed(&mut self, server: ids::ServerName, now: time::Instant) {
        if self.servers.get(&server).is_some_and(|series| series.own) {
            return;
        }
        let series = ReportSeries {
            first: now,
            last: now,
            weight: MIN_WEIGHT,
            listed: true,
            own: false,
        };
        if self.servers.insert(server, series).is_none() {
            self.revision += 1;
        }
    }

    /// Drops servers of which nothing was heard for a while.
    pub(super) fn expire(&mut self, now: time::Instant) {
        let mut dropped = false;
        self.servers.retain(|_, series| {
            let keep = now.saturating_duration_since(series.last) <= LISTING_LIFETIME;
            dropped |= !keep && series.listed;
            keep
        });
        self.revision += u64::from(dropped);
    }

    fn names(&self, keep: impl Fn(&ReportSeries) -> bool) -> Vec<ids::ServerName> {
        let kept = self.servers.iter().filter(|(_, series)| keep(series));
        kept.map(|(server, _)| server.clone()).collect()
    }
}

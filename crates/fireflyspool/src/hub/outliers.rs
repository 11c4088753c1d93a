//! Backend servers that several requests found slow or failing.
//!
//! One entry VM of a large site calls a backend server too rarely to notice in
//! time that it has become slow, but all entry VMs together do. A server is
//! listed after a series of reports that lasts longer than a short pause, which
//! a hedge already covers, and that no fast answer interrupts.

use std::time;

use crate::{hub, ids, sorted};

/// Shortest series of reports that lists a server; longer than the pauses of backend servers.
const MIN_DURATION: time::Duration = time::Duration::from_millis(200);

/// Longest gap between two reports of a series; a hub of a large site receives a
/// report of a slow server about every 80 ms.
const MAX_GAP: time::Duration = time::Duration::from_millis(250);

/// Least total weight of the reports of a series that lists a server.
const MIN_WEIGHT: u32 = 4;

/// Weight of a failure, where an overdue attempt weighs 1: a healthy server has
/// overdue attempts now and then, but does not fail.
const FAILURE_WEIGHT: u32 = 2;

/// Time without a report after which a server is removed from the list and tried again.
const LISTING_LIFETIME: time::Duration = time::Duration::from_millis(1_300);

/// Reports about one backend server without a longer gap than [`MAX_GAP`].
#[derive(Debug)]
struct ReportSeries {
    /// Times of the first and the last report.
    first: time::Instant,
    last: time::Instant,
    weight: u32,
    listed: bool,
    /// Whether followers of this hub sent the reports, as opposed to those of another hub.
    own: bool,
}

/// Series of reports and the list of outliers that results from them.
#[derive(Debug, Default)]
pub(super) struct Outliers {
    servers: sorted::SortedMap<ids::ServerName, ReportSeries>,
    revision: u64,
    own_revision: u64,
}

impl Outliers {
    /// Increases with each change of the list.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Increases whenever reports to this hub add a server to the list.
    pub(super) fn own_revision(&self) -> u64 {
        self.own_revision
    }

    /// Listed servers, ascending.
    pub(super) fn listed(&self) -> Vec<ids::ServerName> {
        self.names(|series| series.listed)
    }

    /// Listed servers that followers of this hub reported, ascending.
    pub(super) fn own(&self) -> Vec<ids::ServerName> {
        self.names(|series| series.listed && series.own)
    }

    /// Adds the report of an entry VM that follows this hub.
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
                // A listed server gets few requests, so one fast answer is weak evidence.
                if self
                    .servers
                    .get(&server)
                    .is_some_and(|series| !series.listed)
                {
                    self.servers.remove(&server);
                }
                return;
            }
            // The registry records departures.
            hub::Symptom::Leaving { .. } => return,
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
        let duration = now.saturating_duration_since(series.first);
        if !series.listed && duration >= MIN_DURATION && series.weight >= MIN_WEIGHT {
            series.listed = true;
            self.revision += 1;
            self.own_revision += 1;
        }
    }

    /// Lists a server that another hub lists, unless followers of this one report it.
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

    /// Removes servers without a report for [`LISTING_LIFETIME`].
    pub(super) fn expire(&mut self, now: time::Instant) {
        let mut removed = false;
        self.servers.retain(|_, series| {
            let keep = now.saturating_duration_since(series.last) <= LISTING_LIFETIME;
            removed |= !keep && series.listed;
            keep
        });
        self.revision += u64::from(removed);
    }

    fn names(&self, keep: impl Fn(&ReportSeries) -> bool) -> Vec<ids::ServerName> {
        let kept = self.servers.iter().filter(|(_, series)| keep(series));
        kept.map(|(server, _)| server.clone()).collect()
    }
}

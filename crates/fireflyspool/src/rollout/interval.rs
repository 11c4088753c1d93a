//! Counts of one interval of a rollout.

use std::time;

use crate::{ids, rollout, sorted};

/// Responses that arrived within one interval, by route and server.
#[derive(Clone, Debug)]
pub(super) struct Interval {
    pub(super) since: time::Instant,
    /// The old version has no server name.
    pub(super) cells: sorted::SortedMap<(String, Option<ids::ServerName>), rollout::Counts>,
}

impl Interval {
    pub(super) fn new(since: time::Instant) -> Self {
        let cells = sorted::SortedMap::new();
        Self { since, cells }
    }

    pub(super) fn add(&mut self, cell: &rollout::Cell) {
        let key = (cell.route.clone(), cell.server.clone());
        let counts = self.cells.get_or_insert_with(key, rollout::Counts::default);
        counts.merge(&cell.counts);
    }

    /// Counts of the old version on a route.
    pub(super) fn old(&self, route: &str) -> rollout::Counts {
        self.sum(|name, server| name == route && server.is_none())
    }

    /// Counts of the servers of the target version on a route, but for one.
    pub(super) fn target(&self, route: &str, except: Option<&str>) -> rollout::Counts {
        self.sum(|name, server| name == route && server.is_some() && server != except)
    }

    pub(super) fn sum(&self, keep: impl Fn(&str, Option<&str>) -> bool) -> rollout::Counts {
        let mut sum = rollout::Counts::default();
        for ((route, server), counts) in self.cells.iter() {
            if keep(route, server.as_deref()) {
                sum.merge(counts);
            }
        }
        sum
    }
}

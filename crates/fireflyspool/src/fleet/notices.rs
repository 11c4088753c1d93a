//! Notices of all backend servers.
//!
//! They are kept apart from the statistics of [`crate::fleet::Fleet`], which start
//! anew when a server reports another address or service: what an incarnation has
//! stated binds this VM until a later incarnation reports.

use std::time;

use crate::{backend, fleet, ids, sorted};

/// Statements of backend servers that restrict requests to them.
#[derive(Debug, Default)]
pub(super) struct Notices {
    servers: sorted::SortedMap<ids::ServerName, fleet::notice::Notice>,
}

impl Notices {
    /// Records what an incarnation stated; returns whether it leaves and had not said so
    /// before.
    pub(super) fn record(
        &mut self,
        server: &str,
        born: ids::BornMillis,
        condition: &backend::Condition,
        now: time::Instant,
    ) -> bool {
        if !condition.leaving && condition.pause.is_none() {
            return false;
        }
        let make = || fleet::notice::Notice::new(born);
        let notice = self.servers.get_or_insert_with(server.to_owned(), make);
        if notice.born > born {
            return false;
        }
        if notice.born < born {
            *notice = make();
        }
        let was_leaving = notice.leaving;
        notice.add(condition, now);
        notice.leaving && !was_leaving
    }

    /// When an incarnation may get requests according to its own statements: `now` at the
    /// earliest, `None` if never.
    pub(super) fn usable_at(
        &self,
        server: &str,
        born: ids::BornMillis,
        now: time::Instant,
    ) -> Option<time::Instant> {
        let notice = self.servers.get(server);
        notice
            .filter(|notice| notice.born >= born)
            .map_or(Some(now), |notice| notice.usable_at(now))
    }

    /// Whether an incarnation has stated that it leaves.
    pub(super) fn is_leaving(&self, server: &str, born: ids::BornMillis) -> bool {
        let notice = self.servers.get(server);
        notice.is_some_and(|notice| notice.born == born && notice.leaving)
    }

    /// Whether an incarnation may get requests now.
    pub(super) fn allows(&self, server: &str, born: ids::BornMillis, now: time::Instant) -> bool {
        self.usable_at(server, born, now) == Some(now)
    }

    /// Removes the notices of incarnations that a later one in the view has replaced.
    pub(super) fn update(&mut self, view: &fleet::View) {
        self.servers.retain(|server, notice| {
            let known = view.servers.get(server);
            known.is_none_or(|known| known.record.born <= notice.born)
        });
    }
}

//! Backend servers that this process owns or must release.

use super::hold;
use crate::{ids, sorted};

/// State of each held backend server, by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Holds {
    holds: sorted::SortedMap<ids::ServerName, hold::Hold>,
}

impl Holds {
    /// Whether this process owns a backend server.
    pub(super) fn owns(&self, server: &str) -> bool {
        matches!(self.holds.get(server), Some(hold::Hold::Owned { .. }))
    }

    /// Records a grant that arrived when `after` was the number of the latest request.
    pub(super) fn grant(&mut self, server: &str, after: u64) {
        let owned = hold::Hold::Owned { after };
        self.holds.insert(server.to_owned(), owned);
    }

    /// Ends ownership because the leader has revoked it.
    pub(super) fn revoke(&mut self, server: &str) {
        if let Some(hold @ hold::Hold::Owned { .. }) = self.holds.get_mut(server) {
            *hold = hold::Hold::Revoked;
        }
    }

    /// Marks holds that the leader may not know as lapsed; returns the names of the owned ones.
    ///
    /// `reported` is the number of a request that reached the leader: what was granted before
    /// it was created stays held. `None` marks all.
    pub(super) fn lapse(&mut self, reported: Option<u64>) -> Vec<ids::ServerName> {
        let mut lost = Vec::new();
        for (server, hold) in self.holds.iter_mut() {
            let unreported = match hold {
                hold::Hold::Owned { after } => reported.is_none_or(|number| *after >= number),
                hold::Hold::Revoked => reported.is_none(),
                hold::Hold::Lapsed => false,
            };
            if unreported {
                if matches!(hold, hold::Hold::Owned { .. }) {
                    lost.push(server.clone());
                }
                *hold = hold::Hold::Lapsed;
            }
        }
        lost
    }

    /// Removes a backend server whose connections are closed, unless it is owned.
    pub(super) fn mark_released(&mut self, server: &str) {
        if !self.owns(server) {
            self.holds.remove(server);
        }
    }

    /// Names of the backend servers to report as held, ascending.
    pub(super) fn reported(&self) -> Vec<ids::ServerName> {
        self.names(|hold| hold != hold::Hold::Lapsed)
    }

    /// Names of the backend servers whose connections must be closed, ascending.
    pub(super) fn to_release(&self) -> Vec<ids::ServerName> {
        self.names(|hold| !matches!(hold, hold::Hold::Owned { .. }))
    }

    fn names(&self, select: impl Fn(hold::Hold) -> bool) -> Vec<ids::ServerName> {
        let selected = self.holds.iter().filter(|(_, hold)| select(**hold));
        selected.map(|(server, _)| server.clone()).collect()
    }
}

//! Bound on ejections.

use std::time;

use crate::dispatch::fleet;
use crate::{backend, dispatch, view};

impl dispatch::Dispatcher {
    /// Whether every shard of a server keeps another replica if it is ejected.
    ///
    /// Replicas of a shard usually have different owners, which decide
    /// separately. Therefore each shard has one replica, the first by name,
    /// that its owner ejects only while it has another one itself; other
    /// owners rely on it. With the same view everywhere, the last replica of a
    /// shard is never ejected.
    pub(super) fn may_eject(
        &self,
        key: fleet::ServerKey,
        view: &view::View,
        now: time::Instant,
    ) -> bool {
        let Some(server) = self.fleet.get(key) else {
            return false;
        };
        let name = &server.core().name;
        let Some(record) = view.servers.get(name) else {
            return true;
        };
        let hosted = record.announcement.hosted.iter();
        // Submissions can run on any server of the service, so one must remain for them too.
        let mut needs = hosted.map(Some).chain([None]);
        needs.all(|shard| self.remains(name, shard, view, now))
    }

    /// Whether a replica other than the named one can be relied on.
    fn remains(
        &self,
        name: &str,
        shard: Option<&backend::HostedShard>,
        view: &view::View,
        now: time::Instant,
    ) -> bool {
        let replicas = view.servers.values().filter(|record| {
            let announcement = &record.announcement;
            announcement.service == self.service
                && record.owner.is_some()
                && view.is_eligible(record)
                && shard.is_none_or(|shard| announcement.hosted.contains(shard))
        });
        for (place, record) in replicas.enumerate() {
            let other = &record.announcement.server;
            if other == name {
                continue;
            }
            let relied_on = if record.owner == Some(self.node) {
                let known = self.fleet.find(other).and_then(|key| self.fleet.get(key));
                known.is_some_and(|server| {
                    let core = server.core();
                    server.is_usable() && !core.is_ejected(now) && core.serves(shard)
                })
            } else {
                // Records are ordered by name, so the first replica is the one that stays.
                place == 0
            };
            if relied_on {
                return true;
            }
        }
        false
    }

    /// Ends ejections that would leave a shard without a replica under a new view.
    pub(super) fn limit_ejections(&mut self, view: &view::View, now: time::Instant) {
        for key in self.fleet.keys() {
            let ejected = self
                .fleet
                .get(key)
                .is_some_and(|s| s.core().is_ejected(now));
            if ejected
                && !self.may_eject(key, view, now)
                && let Some(server) = self.fleet.get_mut(key)
            {
                server.core_mut().ejected_until = None;
            }
        }
    }
}

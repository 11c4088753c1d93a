//! Limit on ejections of backend servers.

use std::time;

use crate::dispatch::fleet;
use crate::{backend, dispatch, view};

impl dispatch::Dispatcher {
    /// Whether every shard of a server keeps another replica if it is ejected.
    ///
    /// Replicas of a shard usually have different owners, which decide
    /// independently. Other owners rely on the first replica by name, so its
    /// owner ejects it only while it owns another usable replica. As long as
    /// all owners have the same view, the last replica of a shard is never
    /// ejected.
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
        // `None` stands for submissions: any server can run them, and one must stay.
        let mut shards = hosted.map(Some).chain([None]);
        shards.all(|shard| self.has_other_replica(name, shard, view, now))
    }

    /// Whether a replica other than the named one stays in use.
    fn has_other_replica(
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
        for (rank, record) in replicas.enumerate() {
            let other = &record.announcement.server;
            if other == name {
                continue;
            }
            let stays = if record.owner == Some(self.node) {
                let known = self.fleet.find(other).and_then(|key| self.fleet.get(key));
                known.is_some_and(|server| {
                    let core = server.core();
                    server.is_usable() && !core.is_ejected(now) && core.serves(shard)
                })
            } else {
                // Records are ordered by name; owners keep the first replica.
                rank == 0
            };
            if stays {
                return true;
            }
        }
        false
    }

    /// Ends ejections that leave a shard without a replica in this view.
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

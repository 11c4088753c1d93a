//! Adoption of a new view.

use std::{sync, time};

use crate::dispatch::{fleet, server, server_core, target};
use crate::{backend, dispatch, ids, state, view};

impl dispatch::Dispatcher {
    /// Updates servers, shards and suspects to a new view.
    pub(super) fn sync(&mut self, view: &view::View, now: time::Instant) {
        self.last_view = Some(view.clone());
        self.low_share = view.catalog.number(state::ConfigKey::LowShare);
        self.suspects.set_reported(sync::Arc::clone(&view.suspects));
        let node = self.node;
        self.released.retain(|name, incarnation| {
            view.servers.get(name).is_some_and(|record| {
                record.owner == Some(node) && record.announcement.incarnation == *incarnation
            })
        });
        self.gone.retain(|name, incarnation| {
            let record = view.servers.get(name);
            record.is_some_and(|record| record.announcement.incarnation == *incarnation)
        });
        for key in self.fleet.keys() {
            self.sync_server(key, view, now);
        }
        for (name, record) in view.servers.iter() {
            let given_up = self.released.contains_key(name) || self.gone.contains_key(name);
            if self.owns(record) && !given_up && self.fleet.find(name).is_none() {
                self.add_server(record, view);
            }
        }
        self.backlog.prune();
        self.subs.prune();
        self.limit_ejections(view, now);
        self.reassess_all(view, now);
        for key in self.fleet.keys() {
            self.queue_preconnect(key, now);
        }
        self.fill_all(view, now);
    }

    /// Whether this VM owns the server, it belongs to this service and is not leaving.
    fn owns(&self, record: &view::ServerRecord) -> bool {
        let announcement = &record.announcement;
        record.owner == Some(self.node)
            && announcement.service == self.service
            && announcement.phase != backend::Phase::Leaving
    }

    fn add_server(&mut self, record: &view::ServerRecord, view: &view::View) {
        let announcement = &record.announcement;
        let core = server_core::ServerCore::new(
            announcement.server.clone(),
            announcement.incarnation,
            announcement.address,
        );
        let server = server::Server::Warming(dispatch::BackendServer::new(core));
        let key = self.fleet.insert(server);
        if !self.config.slow_start {
            self.fleet.transform(key, server::Server::promote);
        }
        self.apply_record(key, record, view);
    }

    /// Applies the view to a known server, which may have been lost or restarted.
    fn sync_server(&mut self, key: fleet::ServerKey, view: &view::View, now: time::Instant) {
        let Some(server) = self.fleet.get(key) else {
            return;
        };
        let incarnation = server.core().incarnation;
        let record = view.servers.get(&server.core().name);
        let Some(record) = record.filter(|record| self.owns(record)) else {
            self.begin_leave(key);
            return;
        };
        if record.announcement.incarnation != incarnation {
            self.restart(key, record.announcement.incarnation, view, now);
        }
        self.apply_record(key, record, view);
    }

    /// Applies an announcement to a server that is not leaving.
    fn apply_record(
        &mut self,
        key: fleet::ServerKey,
        record: &view::ServerRecord,
        view: &view::View,
    ) {
        let announcement = &record.announcement;
        let service = view.catalog.services.get(&announcement.service);
        let accepted = service.map_or(announcement.connections, |service| {
            service.connections.min(announcement.connections)
        });
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        if server.is_leaving() {
            return;
        }
        let core = server.core_mut();
        core.address = announcement.address;
        core.slots = view.slots(record);
        core.connections.set_limit(accepted, core.slots);
        let eligible = view.is_eligible(record);
        let returns = eligible && !core.eligible;
        core.eligible = eligible;
        let renewed = core.announced_sequence != announcement.sequence;
        core.announced_sequence = announcement.sequence;
        let stale = core.targets.is_empty() || core.hosted != announcement.hosted;
        if stale || (!core.not_hosted.is_empty() && renewed) {
            core.not_hosted.clear();
            self.assign_targets(key, &announcement.hosted);
        }
        if returns {
            // Its caches may have become cold while it was out of service.
            self.restart_slow_start(key);
        }
    }

    /// Moves a server to the groups of the shards that it hosts.
    fn assign_targets(&mut self, key: fleet::ServerKey, hosted: &[backend::HostedShard]) {
        let shards = hosted.iter().cloned().map(target::Target::Shard);
        let targets = shards
            .chain([target::Target::Any])
            .map(|target| self.backlog.register(target))
            .collect::<Vec<_>>();
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        let core = server.core_mut();
        core.hosted = hosted.to_vec();
        let former = std::mem::replace(&mut core.targets, targets.clone());
        for target in former {
            if let Some(group) = self.backlog.group_mut(target) {
                group.servers.retain(|known| *known != key);
            }
        }
        for target in targets {
            if let Some(group) = self.backlog.group_mut(target)
                && !group.servers.contains(&key)
            {
                group.servers.push(key);
            }
        }
    }

    /// Fails the attempts of a server's former process and restarts slow start.
    ///
    /// The attempts keep their permits: some may have reached the new process
    /// before it was announced and run there.
    fn restart(
        &mut self,
        key: fleet::ServerKey,
        incarnation: ids::Incarnation,
        view: &view::View,
        now: time::Instant,
    ) {
        let attempts = self.fleet.get(key).map(|s| s.core().attempts.clone());
        for id in attempts.unwrap_or_default() {
            if self.attempts.get(id).is_some_and(|a| !a.reported) {
                self.record_crash(id, now);
                self.fail_attempt(id, dispatch::FailureCause::Reset);
                self.start_cancel(id, view, now);
            }
        }
        if let Some(server) = self.fleet.get_mut(key) {
            let core = server.core_mut();
            core.incarnation = incarnation;
            core.connections.stale = true;
            core.ejected_until = None;
            core.clear_recent();
            core.reset_failures();
        }
        self.restart_slow_start(key);
        if !self.draining {
            self.fleet.transform(key, server::Server::readmit);
            self.leaving.retain(|leaving| *leaving != key);
        }
        self.close_stale(key, now);
    }
}

//! Polls of an entry VM, sent by the control thread.

use std::{net, time};

use crate::{containment, control, follow, hub, ids, rollout, sorted, state};

/// Polls a control VM and publishes the resulting view.
pub struct FollowerDriver {
    follower: follow::Follower,
    logger: slog::Logger,
    connected: bool,
    /// Version of the configuration as last logged.
    version: ids::ConfigVersion,
    /// Outliers as last logged.
    outliers: Vec<ids::ServerName>,
    /// Control VMs as last published.
    hubs: Vec<net::SocketAddr>,
    /// Observations to send with the next tick.
    observations: Vec<hub::Observation>,
    /// Counts of rollouts in progress.
    tally: rollout::Tally,
    /// Revision of the rollouts as last logged.
    rollout_revision: ids::Revision,
}

impl FollowerDriver {
    /// Creates the driver; no poll has been sent yet.
    pub fn new(follower: follow::Follower, logger: slog::Logger) -> Self {
        Self {
            tally: rollout::Tally::new(follower.incarnation()),
            rollout_revision: 0,
            follower,
            logger,
            connected: false,
            version: 0,
            outliers: Vec::new(),
            hubs: Vec::new(),
            observations: Vec::new(),
        }
    }

    /// When the next poll or report of counts is due; `None` if none is.
    pub fn next_wake(&self) -> Option<time::Instant> {
        let times = [self.follower.next_poll(), self.tally.next_due()];
        times.into_iter().flatten().min()
    }

    /// Sends the waiting observations, and a poll if one is due.
    pub fn tick(&mut self, outlet: &dyn control::Outlet, now: time::Instant, boot: time::Duration) {
        let mut reports = sorted::SortedMap::new();
        for observation in self.observations.drain(..) {
            let hub = self.follower.observer(&observation);
            reports.get_or_insert_with(hub, Vec::new).push(observation);
        }
        for (hub, reports) in reports {
            outlet.report_observations(hub, reports);
        }
        for report in self.tally.take_due(now) {
            let hub = self.follower.collector(&report.service);
            outlet.report_counts(hub, vec![report]);
        }
        if self.follower.next_poll().is_none_or(|due| due > now) {
            return;
        }
        if let Some(poll) = self.follower.poll(&outlet.suspended_servers(), now, boot) {
            outlet.send_poll(poll.hub, poll.request);
        }
    }

    /// Queues an observation; it is sent with the next tick.
    pub fn note_observation(&mut self, observation: hub::Observation, now: time::Instant) {
        if let (
            server,
            hub::Symptom::Crashed {
                born,
                content,
                probe,
                unseen,
            },
        ) = &observation
        {
            let (server, born) = (server.clone(), *born);
            let (probe, unseen) = (*probe, *unseen);
            slog::warn!(self.logger, "backend server ended under a request";
                "server" => &server, "born" => born, "content" => content, "probe" => probe,
                "unseen" => unseen);
            let crash = containment::Crash {
                server,
                born,
                probe,
                unseen,
            };
            self.follower.note_crash(*content, crash, now);
        }
        self.observations.push(observation);
    }

    /// Counts ended first attempts; they are reported with a later tick.
    pub fn count(&mut self, samples: Vec<rollout::Sample>, now: time::Instant) {
        for sample in samples {
            self.tally.add(sample, now);
        }
    }

    /// Handles the end of a poll; `reply` is `None` if none arrived.
    pub fn poll_ended(
        &mut self,
        reply: Option<hub::FollowReply>,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        let answered = reply.is_some();
        if answered != self.connected {
            self.connected = answered;
            let state = if answered { "regained" } else { "lost" };
            slog::info!(self.logger, "connection to the control VMs changed"; "state" => state);
        }
        if let Err(error) = self.follower.poll_ended(reply, now) {
            slog::error!(self.logger, "received configuration cannot be used; the former one stays";
                "error" => %error);
        }
        let hubs = self.follower.hubs();
        if hubs != self.hubs {
            self.hubs.clone_from(&hubs);
            outlet.publish_hubs(hubs);
        }
        if answered {
            let view = self.follower.view().clone();
            self.log_outliers(&view.outliers);
            self.log_rollouts(&view.rollouts);
            let version = view.table.as_ref().map_or(0, |table| table.version());
            if version != self.version {
                self.version = version;
                slog::info!(self.logger, "configuration in force"; "version" => version);
            }
            outlet.publish_fleet(view);
        }
    }

    /// Logs which backend servers became outliers and which no longer are.
    fn log_outliers(&mut self, outliers: &[ids::ServerName]) {
        if self.outliers == outliers {
            return;
        }
        let contains = |list: &[ids::ServerName], server| list.binary_search(server).is_ok();
        let listed = outliers
            .iter()
            .filter(|name| !contains(&self.outliers, name));
        let dropped = self
            .outliers
            .iter()
            .filter(|name| !contains(outliers, name));
        slog::info!(self.logger, "list of outliers changed";
            "listed" => ?listed.collect::<Vec<_>>(), "dropped" => ?dropped.collect::<Vec<_>>());
        self.outliers = outliers.to_vec();
    }

    /// Logs the rollouts in progress when any rollout has changed.
    fn log_rollouts(&mut self, rollouts: &state::RolloutTable) {
        if self.rollout_revision == rollouts.revision() {
            return;
        }
        self.rollout_revision = rollouts.revision();
        let in_service = rollouts.in_service();
        let shares = in_service.map(|(service, rollout)| (service, rollout.state.share));
        slog::info!(self.logger, "rollouts changed";
            "revision" => rollouts.revision(), "shares" => ?shares.collect::<Vec<_>>());
    }

    /// Has the next poll report that callers must no longer be sent to this VM.
    pub fn leave(&mut self, now: time::Instant) {
        self.follower.leave(now);
    }
}

//! The follower of an entry VM, as the control thread keeps it.

use std::time;

use crate::{control, follow, hub, ids};

/// Polls control VMs and publishes what they answer.
pub struct FollowerDriver {
    follower: follow::Follower,
    logger: slog::Logger,
    connected: bool,
    version: ids::ConfigVersion,
    /// Outliers as last logged.
    outliers: Vec<ids::ServerName>,
    /// Observations that the hub has not received.
    observations: Vec<hub::Observation>,
}

impl FollowerDriver {
    /// A side before its first poll.
    pub fn new(follower: follow::Follower, logger: slog::Logger) -> Self {
        Self {
            follower,
            logger,
            connected: false,
            version: 0,
            outliers: Vec::new(),
            observations: Vec::new(),
        }
    }

    /// When this side must be called again.
    pub fn next_wake(&self) -> Option<time::Instant> {
        self.follower.next_poll()
    }

    /// Sends the poll that is due.
    pub fn tick(&mut self, outlet: &dyn control::Outlet, now: time::Instant) {
        if !self.observations.is_empty() {
            let reports = std::mem::take(&mut self.observations);
            outlet.report_observations(self.follower.hub(), reports);
        }
        if self.follower.next_poll().is_none_or(|due| due > now) {
            return;
        }
        if let Some(poll) = self.follower.poll(&outlet.suspended_servers(), now) {
            outlet.send_poll(poll.hub, poll.request);
        }
    }

    /// Takes what an attempt showed; it is reported with the next tick.
    pub fn note_observation(&mut self, observation: hub::Observation) {
        self.observations.push(observation);
    }

    /// Takes the end of a poll.
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
            slog::info!(self.logger, "connection to the control VMs"; "state" => state);
        }
        if let Err(error) = self.follower.poll_ended(reply, now) {
            slog::error!(self.logger, "unusable configuration"; "error" => %error);
        }
        if answered {
            let view = self.follower.view().clone();
            self.log_outliers(&view.outliers);
            let version = view.table.as_ref().map_or(0, |table| table.version());
            if version != self.version {
                self.version = version;
                slog::info!(self.logger, "configuration in force"; "version" => version);
            }
            outlet.publish_fleet(view);
        }
    }

    /// Writes which backend servers became outliers, and which no longer are.
    fn log_outliers(&mut self, outliers: &[ids::ServerName]) {
        if self.outliers == outliers {
            return;
        }
        let known = |list: &[ids::ServerName], server| list.binary_search(server).is_ok();
        let listed = outliers.iter().filter(|name| !known(&self.outliers, name));
        let dropped = self.outliers.iter().filter(|name| !known(outliers, name));
        slog::info!(self.logger, "outliers changed";
            "listed" => ?listed.collect::<Vec<_>>(), "dropped" => ?dropped.collect::<Vec<_>>());
        self.outliers = outliers.to_vec();
    }

    /// Takes this VM out of the answers to callers.
    pub fn leave(&mut self, now: time::Instant) {
        self.follower.leave(now);
    }
}

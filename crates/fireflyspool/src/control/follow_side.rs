//! The follower of an entry VM, as the control thread keeps it.

use std::time;

use crate::{control, follow, hub, ids};

/// Polls control VMs and publishes what they answer.
pub struct FollowSide {
    follower: follow::Follower,
    logger: slog::Logger,
    in_touch: bool,
    version: ids::ConfigVersion,
    /// What attempts showed and the hub has not been told.
    signs: Vec<hub::Sign>,
}

impl FollowSide {
    /// A side before its first poll.
    pub fn new(follower: follow::Follower, logger: slog::Logger) -> Self {
        Self {
            follower,
            logger,
            in_touch: false,
            version: 0,
            signs: Vec::new(),
        }
    }

    /// When this side must be called again.
    pub fn next_wake(&self) -> Option<time::Instant> {
        self.follower.next_poll()
    }

    /// Sends the poll that is due.
    pub fn tick(&mut self, outlet: &dyn control::Outlet, now: time::Instant) {
        if !self.signs.is_empty() {
            let reports = std::mem::take(&mut self.signs);
            outlet.report_signs(self.follower.hub(), reports);
        }
        if self.follower.next_poll().is_none_or(|due| due > now) {
            return;
        }
        if let Some(poll) = self.follower.poll(&outlet.suspended(), now) {
            outlet.follow(poll.hub, poll.request);
        }
    }

    /// Takes what an attempt showed; the hub is told with the next tick.
    pub fn note_sign(&mut self, sign: hub::Sign) {
        self.signs.push(sign);
    }

    /// Takes the end of a poll.
    pub fn polled(
        &mut self,
        reply: Option<hub::FollowReply>,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        let answered = reply.is_some();
        if answered != self.in_touch {
            self.in_touch = answered;
            let state = if answered { "regained" } else { "lost" };
            slog::info!(self.logger, "touch with the control VMs"; "state" => state);
        }
        if let Err(error) = self.follower.polled(reply, now) {
            slog::error!(self.logger, "unusable configuration"; "error" => %error);
        }
        if answered {
            let view = self.follower.view().clone();
            let version = view.table.as_ref().map_or(0, |table| table.version());
            if version != self.version {
                self.version = version;
                slog::info!(self.logger, "configuration in force"; "version" => version);
            }
            outlet.publish_fleet(view);
        }
    }

    /// Takes this VM out of the answers to callers.
    pub fn leave(&mut self, now: time::Instant) {
        self.follower.leave(now);
    }
}

//! The lease of an entry VM, as the control thread keeps it.

use std::{net, time};

use crate::{backend, control, ids, lease, roster};

/// Pause before another control VM is asked after one that did not grant.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Renews the lease and publishes what comes with it.
pub struct LeaseDriver {
    holder: lease::Holder,
    interval: time::Duration,
    due: time::Instant,
    in_flight: bool,
    leader: Option<ids::NodeId>,
    attempts: usize,
}

impl LeaseDriver {
    /// An entry VM that holds no lease yet.
    pub fn new(holder: lease::Holder, interval: time::Duration, now: time::Instant) -> Self {
        Self {
            holder,
            interval,
            due: now,
            in_flight: false,
            leader: None,
            attempts: 0,
        }
    }

    /// When the next renewal is due.
    pub fn next_wake(&self) -> Option<time::Instant> {
        (!self.in_flight).then_some(self.due)
    }

    /// Sends a renewal if one is due.
    pub fn tick(
        &mut self,
        control: &[(ids::NodeId, net::SocketAddr)],
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        if self.in_flight || now < self.due || control.is_empty() {
            return;
        }
        let known = control.iter().find(|(node, _)| Some(*node) == self.leader);
        let (node, address) = *known.unwrap_or(&control[self.attempts % control.len()]);
        self.in_flight = true;
        outlet.send_renewal(node, address, self.holder.request(now));
    }

    /// Handles an event that belongs to the lease; returns any other.
    pub fn handle(
        &mut self,
        event: control::Event,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) -> Option<control::Event> {
        match event {
            control::Event::RenewalEnded { sent, reply } => {
                self.renewal_ended(reply.map(|reply| *reply), sent, outlet, now);
            }
            control::Event::Announce(announcement) => {
                self.handle_announcement(&announcement, outlet, now);
            }
            control::Event::Crash(report) => self.report_crash(report, now),
            control::Event::CrashWarning { crashes, reply } => {
                self.handle_warning(crashes, outlet, now);
                // The coordinator may have stopped waiting.
                let _ = reply.send(());
            }
            control::Event::ConnectionsClosed(server) => self.mark_released(&server, now),
            control::Event::Load(load) => self.set_load(load),
            other => return Some(other),
        }
        None
    }

    /// Takes the end of a renewal and publishes the resulting view.
    pub fn renewal_ended(
        &mut self,
        reply: Option<roster::RenewReply>,
        sent: time::Instant,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        self.in_flight = false;
        match reply {
            Some(roster::RenewReply::Granted(grant)) => {
                self.due = sent + self.interval;
                let effect = self
                    .holder
                    .reply(roster::RenewReply::Granted(grant), sent, now);
                if effect.publish {
                    outlet.publish_view(self.holder.view());
                    outlet.release_servers(self.holder.to_release());
                }
                if effect.renew {
                    self.due = now;
                }
            }
            Some(roster::RenewReply::NotLeader { leader }) => self.try_another(leader, now),
            None => self.try_another(None, now),
        }
    }

    /// Takes an announcement; a change of a backend server is passed on at once.
    pub fn handle_announcement(
        &mut self,
        announcement: &backend::Announcement,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        if self.holder.handle_announcement(announcement, now) {
            self.due = now;
            outlet.publish_view(self.holder.view());
        }
    }

    /// Takes the report of a backend server that died under a request.
    pub fn report_crash(&mut self, report: roster::Crash, now: time::Instant) {
        let roster::Crash {
            fingerprint,
            server,
            incarnation,
        } = report;
        self.holder.report_crash(fingerprint, &server, incarnation);
        self.due = now;
    }

    /// Takes the warning of a coordinator whose query crashed backend servers.
    pub fn handle_warning(
        &mut self,
        crashes: Vec<roster::Crash>,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        let mut changed = false;
        for crash in crashes {
            changed |= self.holder.add_warning(crash, now);
        }
        if changed {
            outlet.publish_view(self.holder.view());
        }
    }

    /// Takes the word that no connection to a backend server is left.
    pub fn mark_released(&mut self, server: &str, now: time::Instant) {
        self.holder.mark_released(server);
        self.due = now;
    }

    /// Sets the load that the next renewal reports.
    pub fn set_load(&mut self, load: u32) {
        self.holder.set_load(load);
    }

    /// Marks this VM as leaving and says so at once.
    pub fn leave(&mut self, now: time::Instant) {
        self.holder.set_leaving();
        self.due = now;
    }

    fn try_another(&mut self, leader: Option<ids::NodeId>, now: time::Instant) {
        // A VM that names itself or a stale leader must not hold the search up.
        self.leader = leader.filter(|_| self.attempts.is_multiple_of(2));
        self.attempts += 1;
        self.due = now + RETRY_PAUSE;
    }
}

//! Renewal of an entry VM's lease by the control thread.

use std::{net, time};

use crate::{backend, control, ids, lease, roster};

/// Pause before the next control VM is tried after a renewal that was not granted.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Renews the lease and publishes the resulting view.
pub struct LeaseDriver {
    holder: lease::Holder,
    interval: time::Duration,
    next_renewal: time::Instant,
    in_flight: bool,
    leader: Option<ids::NodeId>,
    /// Renewals that were not granted; selects the next control VM.
    failures: usize,
}

impl LeaseDriver {
    /// Creates the driver; the first renewal is due at once, the others every `interval`.
    pub fn new(holder: lease::Holder, interval: time::Duration, now: time::Instant) -> Self {
        Self {
            holder,
            interval,
            next_renewal: now,
            in_flight: false,
            leader: None,
            failures: 0,
        }
    }

    /// When the next renewal is due; `None` while one is in flight.
    pub fn next_wake(&self) -> Option<time::Instant> {
        (!self.in_flight).then_some(self.next_renewal)
    }

    /// Sends a renewal if one is due, to the last known leader or else to the next control VM.
    pub fn tick(
        &mut self,
        control: &[(ids::NodeId, net::SocketAddr)],
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        if self.in_flight || now < self.next_renewal || control.is_empty() {
            return;
        }
        let known = control.iter().find(|(node, _)| Some(*node) == self.leader);
        let (node, address) = *known.unwrap_or(&control[self.failures % control.len()]);
        self.in_flight = true;
        outlet.send_renewal(node, address, self.holder.request(now));
    }

    /// Handles an event that concerns the lease; returns any other.
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

    /// Handles the end of a renewal and publishes the resulting view.
    ///
    /// `reply` is `None` if no reply arrived; the lease counts from `sent`.
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
                self.next_renewal = sent + self.interval;
                let effect = self
                    .holder
                    .reply(roster::RenewReply::Granted(grant), sent, now);
                if effect.publish {
                    outlet.publish_view(self.holder.view());
                    outlet.release_servers(self.holder.to_release());
                }
                if effect.renew {
                    self.next_renewal = now;
                }
            }
            Some(roster::RenewReply::NotLeader { leader }) => self.try_another(leader, now),
            None => self.try_another(None, now),
        }
    }

    /// Handles an announcement; a changed backend server is reported to the leader at once.
    pub fn handle_announcement(
        &mut self,
        announcement: &backend::Announcement,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        if self.holder.handle_announcement(announcement, now) {
            self.next_renewal = now;
            outlet.publish_view(self.holder.view());
        }
    }

    /// Records that a backend server crashed while it ran a request and reports it to the
    /// leader at once.
    pub fn report_crash(&mut self, report: roster::Crash, now: time::Instant) {
        let roster::Crash {
            fingerprint,
            server,
            incarnation,
        } = report;
        self.holder.report_crash(fingerprint, &server, incarnation);
        self.next_renewal = now;
    }

    /// Adds the crashes that a coordinator's query caused to the published suspects.
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

    /// Records that no connection to a backend server is left, so that the leader may
    /// assign it to another owner.
    pub fn mark_released(&mut self, server: &str, now: time::Instant) {
        self.holder.mark_released(server);
        self.next_renewal = now;
    }

    /// Sets the load that the next renewal reports, in permille of this VM's capacity.
    pub fn set_load(&mut self, load: u32) {
        self.holder.set_load(load);
    }

    /// Marks this VM as leaving and reports it to the leader at once.
    pub fn leave(&mut self, now: time::Instant) {
        self.holder.set_leaving();
        self.next_renewal = now;
    }

    fn try_another(&mut self, leader: Option<ids::NodeId>, now: time::Instant) {
        // Every second hint is ignored, so that a VM that names itself or a former
        // leader does not stop the search.
        self.leader = leader.filter(|_| self.failures.is_multiple_of(2));
        self.failures += 1;
        self.next_renewal = now + RETRY_PAUSE;
    }
}

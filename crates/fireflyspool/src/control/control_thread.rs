//! Loop of the control thread.

use std::{net, sync::mpsc, thread, time};

use crate::{control, ids, timer};

/// Bounds the delay of messages and replies, which wait for the sync after a batch.
const MAX_EVENTS_PER_SYNC: usize = 512;

/// Longest sleep when no deadline is set; bounds the effect of a clock that jumps.
const MAX_SLEEP: time::Duration = time::Duration::from_secs(5);

/// Pause before a data folder that failed is opened again.
const REOPEN_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Owns the control state of the process and handles its events one after another.
pub struct ControlThread<O> {
    outlet: O,
    receiver: mpsc::Receiver<control::Event>,
    voter: Option<control::Voter>,
    entry: Option<control::LeaseDriver>,
    hub: Option<control::HubDriver>,
    follow: Option<control::FollowerDriver>,
    opener: Option<control::VoterOpener>,
    /// When the data folder is opened again, and whether with a new identity.
    reopen: Option<(time::Instant, bool)>,
    /// Addresses of the control VMs.
    control_addresses: Vec<(ids::NodeId, net::SocketAddr)>,
    logger: slog::Logger,
}

impl<O: control::Outlet + 'static> ControlThread<O> {
    /// Creates the thread's state with the parts that the roles of the process need.
    ///
    /// `control_addresses` are the control VMs that the settings name.
    pub fn new(
        outlet: O,
        receiver: mpsc::Receiver<control::Event>,
        voter: Option<control::Voter>,
        entry: Option<control::LeaseDriver>,
        control_addresses: Vec<(ids::NodeId, net::SocketAddr)>,
        logger: slog::Logger,
    ) -> Self {
        Self {
            outlet,
            receiver,
            voter,
            entry,
            hub: None,
            follow: None,
            opener: None,
            reopen: None,
            control_addresses,
            logger,
        }
    }

    /// Adds a hub and the opener of the data folder, which is reopened whenever it fails.
    #[must_use]
    pub fn with_hub(mut self, hub: control::HubDriver, opener: control::VoterOpener) -> Self {
        self.hub = Some(hub);
        self.opener = Some(opener);
        self.reopen = Some((time::Instant::now(), false));
        self
    }

    /// Adds the driver of an entry VM that follows a hub.
    #[must_use]
    pub fn with_follower(mut self, follow: control::FollowerDriver) -> Self {
        self.follow = Some(follow);
        self
    }

    /// Starts the thread; `failed` is called with the error that ends it, if any.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the operating system cannot start a thread.
    pub fn start(
        mut self,
        failed: impl FnOnce(control::ControlError) + Send + 'static,
    ) -> std::io::Result<thread::JoinHandle<()>> {
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                if let Err(error) = self.run() {
                    slog::error!(self.logger, "control thread ended by an error";
                        "error" => ?error);
                    failed(error);
                }
            })
    }

    fn run(&mut self) -> Result<(), control::ControlError> {
        self.tick()?;
        // The channel closes only when the process exits.
        while let Ok(first) = self.receiver.recv() {
            let mut next = Some(first);
            let mut handled = 0;
            while let Some(event) = next {
                if matches!(event, control::Event::Stop) {
                    return Ok(());
                }
                self.handle(event);
                handled += 1;
                next = if handled < MAX_EVENTS_PER_SYNC {
                    self.receiver.try_recv().ok()
                } else {
                    None
                };
            }
            self.tick()?;
        }
        Ok(())
    }

    fn tick(&mut self) -> Result<(), control::ControlError> {
        self.reopen(time::Instant::now());
        self.tick_voter(time::Instant::now())?;
        // Read after the events were handled and before anything is sent.
        let (now, boot) = (time::Instant::now(), timer::boot_time());
        if let Some(hub) = &mut self.hub {
            hub.tick(self.voter.as_ref(), &self.outlet, now, boot);
            if hub.take_retired() {
                self.voter = None;
                self.reopen = Some((now, true));
            }
        }
        if let Some(entry) = &mut self.entry {
            entry.tick(&self.control_addresses, &self.outlet, now);
        }
        if let Some(follow) = &mut self.follow {
            follow.tick(&self.outlet, now, boot);
        }
        self.outlet.environment().wake_at(self.next_wake(now));
        Ok(())
    }

    fn tick_voter(&mut self, now: time::Instant) -> Result<(), control::ControlError> {
        let Some(voter) = &mut self.voter else {
            return Ok(());
        };
        // Without a hub, operators name the members of the group.
        let membership = match self.hub.is_some() {
            true => control::MembershipControl::Automatic,
            false => control::MembershipControl::Operators,
        };
        voter.tick(membership, &self.outlet, now);
        match voter.flush(&self.outlet, now) {
            Ok(()) => {
                self.control_addresses = voter.addresses();
                Ok(())
            }
            Err(error) if self.opener.is_some() => {
                slog::error!(self.logger, "data folder failed; opening it again";
                    "error" => ?error);
                self.voter = None;
                self.reopen = Some((time::Instant::now() + REOPEN_PAUSE, false));
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    /// Opens the data folder again once the pause after a failure is over.
    fn reopen(&mut self, now: time::Instant) {
        let (Some((due, new_identity)), Some(opener)) = (self.reopen, &mut self.opener) else {
            return;
        };
        if now < due {
            return;
        }
        match opener(new_identity, &self.outlet, now) {
            Ok(voter) => {
                self.voter = Some(voter);
                self.reopen = None;
            }
            Err(error) => {
                slog::error!(self.logger, "data folder cannot be opened; trying again";
                    "error" => ?error);
                self.reopen = Some((time::Instant::now() + REOPEN_PAUSE, new_identity));
            }
        }
    }

    fn next_wake(&self, now: time::Instant) -> time::Instant {
        let voter = self.voter.as_ref().and_then(control::Voter::next_wake);
        let entry = self
            .entry
            .as_ref()
            .and_then(control::LeaseDriver::next_wake);
        let hub = self.hub.as_ref().map(|hub| hub.next_wake(now));
        let follow = self.follow.as_ref();
        let follow = follow.and_then(control::FollowerDriver::next_wake);
        let reopen = self.reopen.map(|(due, _)| due);
        let wakes = [voter, entry, hub, follow, reopen];
        let wake = wakes.into_iter().flatten().min();
        wake.unwrap_or(now + MAX_SLEEP)
    }

    fn handle(&mut self, event: control::Event) {
        let now = time::Instant::now();
        match event {
            control::Event::Timer => {}
            control::Event::Hub(event) => {
                // Without a hub, the dropped reply channel makes the sender try another VM.
                if let Some(hub) = &mut self.hub {
                    hub.handle(event, self.voter.as_ref(), now);
                }
            }
            control::Event::PollEnded(reply) => {
                if let Some(follow) = &mut self.follow {
                    follow.poll_ended(reply.map(|reply| *reply), &self.outlet, now);
                }
            }
            control::Event::Observed(observation) => {
                if let Some(follow) = &mut self.follow {
                    follow.note_observation(observation, now);
                }
            }
            control::Event::Counted(samples) => {
                if let Some(follow) = &mut self.follow {
                    follow.count(samples, now);
                }
            }
            control::Event::Leave => {
                if let Some(entry) = &mut self.entry {
                    entry.leave(now);
                }
                if let Some(follow) = &mut self.follow {
                    follow.leave(now);
                }
            }
            other => self.handle_roles(other, now),
        }
    }

    /// Passes an event to the lease driver of an entry VM or else to the replica.
    fn handle_roles(&mut self, event: control::Event, now: time::Instant) {
        let other = match &mut self.entry {
            Some(entry) => entry.handle(event, &self.outlet, now),
            None => Some(event),
        };
        // Without the control role, the dropped reply channel makes the sender try another VM.
        if let (Some(event), Some(voter)) = (other, &mut self.voter) {
            voter.handle(event, &self.outlet, now);
        }
    }
}

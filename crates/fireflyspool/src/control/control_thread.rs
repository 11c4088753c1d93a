//! Loop of the control thread.

use std::{net, sync::mpsc, thread, time};

use crate::{control, ids, state};

/// Events that are handled before one sync.
const MAX_EVENTS_PER_SYNC: usize = 512;

/// Longest sleep without any deadline; only bounds the effect of a clock that jumps.
const IDLE_WAKE: time::Duration = time::Duration::from_secs(5);

/// Pause before a data folder that failed is opened again.
const REOPEN_PAUSE: time::Duration = time::Duration::from_millis(500);

/// State of the control thread.
pub struct ControlThread<O> {
    outlet: O,
    receiver: mpsc::Receiver<control::Event>,
    voter: Option<control::Voter>,
    entry: Option<control::LeaseDriver>,
    hub: Option<control::HubDriver>,
    follow: Option<control::FollowerDriver>,
    opener: Option<control::VoterOpener>,
    /// When the data folder is opened again, and whether under a new identity.
    reopen: Option<(time::Instant, bool)>,
    control: Vec<(ids::NodeId, net::SocketAddr)>,
    logger: slog::Logger,
}

impl<O: control::Outlet + 'static> ControlThread<O> {
    /// A control thread with the parts that the roles of the process need.
    ///
    /// `control` are the control VMs that the settings name.
    pub fn new(
        outlet: O,
        receiver: mpsc::Receiver<control::Event>,
        voter: Option<control::Voter>,
        entry: Option<control::LeaseDriver>,
        control: Vec<(ids::NodeId, net::SocketAddr)>,
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
            control,
            logger,
        }
    }

    /// Adds a hub, and a data folder that is opened again whenever it fails.
    #[must_use]
    pub fn with_hub(mut self, hub: control::HubDriver, opener: control::VoterOpener) -> Self {
        self.hub = Some(hub);
        self.opener = Some(opener);
        self.reopen = Some((time::Instant::now(), false));
        self
    }

    /// Adds a follower of hubs.
    #[must_use]
    pub fn with_follower(mut self, follow: control::FollowerDriver) -> Self {
        self.follow = Some(follow);
        self
    }

    /// Starts the thread; `failed` is called with the error if it fails.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if no thread can be started.
    pub fn start(
        mut self,
        failed: impl FnOnce(control::ControlError) + Send + 'static,
    ) -> std::io::Result<thread::JoinHandle<()>> {
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                if let Err(error) = self.run() {
                    slog::error!(self.logger, "the control thread failed"; "error" => ?error);
                    failed(error);
                }
            })
    }

    fn run(&mut self) -> Result<(), control::ControlError> {
        self.tick()?;
        // The channel closes only when the process ends.
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
        let now = time::Instant::now();
        if let Some(hub) = &mut self.hub {
            hub.tick(self.voter.as_ref(), &self.outlet, now);
            if hub.take_retired() {
                self.voter = None;
                self.reopen = Some((now, true));
            }
        }
        if let Some(entry) = &mut self.entry {
            entry.tick(&self.control, &self.outlet, now);
        }
        if let Some(follow) = &mut self.follow {
            follow.tick(&self.outlet, now);
        }
        self.outlet.environment().wake_at(self.next_wake(now));
        Ok(())
    }

    fn tick_voter(&mut self, now: time::Instant) -> Result<(), control::ControlError> {
        let Some(voter) = &mut self.voter else {
            return Ok(());
        };
        voter.tick(&self.outlet, now);
        if let Some(hub) = &mut self.hub
            && voter.is_leader()
            && let Some(node) = hub.find_replaced(voter, now)
        {
            voter.propose_retirement(state::IdempotentCommand::Retire { node }, &self.outlet, now);
        }
        match voter.flush(&self.outlet, now) {
            Ok(()) => {
                self.control = voter.addresses();
                Ok(())
            }
            Err(error) if self.opener.is_some() => {
                slog::error!(self.logger, "the data folder failed"; "error" => ?error);
                self.voter = None;
                self.reopen = Some((time::Instant::now() + REOPEN_PAUSE, false));
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    /// Opens the data folder again if that is due.
    fn reopen(&mut self, now: time::Instant) {
        let (Some((due, fresh)), Some(opener)) = (self.reopen, &mut self.opener) else {
            return;
        };
        if now < due {
            return;
        }
        match opener(fresh, &self.outlet, now) {
            Ok(voter) => {
                self.voter = Some(voter);
                self.reopen = None;
            }
            Err(error) => {
                slog::error!(self.logger, "the data folder cannot be opened"; "error" => ?error);
                self.reopen = Some((time::Instant::now() + REOPEN_PAUSE, fresh));
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
        wake.unwrap_or(now + IDLE_WAKE)
    }

    fn handle(&mut self, event: control::Event) {
        let now = time::Instant::now();
        match event {
            control::Event::Timer => {}
            control::Event::Hub(event) => {
                // Without a hub, dropped answers send the asker on.
                if let Some(hub) = &mut self.hub {
                    hub.handle(event, now);
                }
            }
            control::Event::PollEnded(reply) => {
                if let Some(follow) = &mut self.follow {
                    follow.poll_ended(reply.map(|reply| *reply), &self.outlet, now);
                }
            }
            control::Event::Observed(observation) => {
                if let Some(follow) = &mut self.follow {
                    follow.note_observation(observation);
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

    /// Handles what belongs to the lease of an entry VM or to the replica.
    fn handle_roles(&mut self, event: control::Event, now: time::Instant) {
        let other = match &mut self.entry {
            Some(entry) => entry.handle(event, &self.outlet, now),
            None => Some(event),
        };
        // Without the control role, dropped answers send the asker on.
        if let (Some(event), Some(voter)) = (other, &mut self.voter) {
            voter.handle(event, &self.outlet, now);
        }
    }
}

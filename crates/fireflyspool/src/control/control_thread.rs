//! Loop of the control thread.

use std::{net, sync::mpsc, thread, time};

use crate::{control, ids};

/// Events that are handled before one sync.
const BATCH: usize = 512;

/// Longest sleep without any deadline; only bounds the effect of a clock that jumps.
const IDLE_WAKE: time::Duration = time::Duration::from_secs(5);

/// State of the control thread.
pub struct ControlThread<O> {
    outlet: O,
    receiver: mpsc::Receiver<control::Event>,
    voter: Option<control::Voter>,
    entry: Option<control::EntrySide>,
    control: Vec<(ids::NodeId, net::SocketAddr)>,
}

impl<O: control::Outlet + 'static> ControlThread<O> {
    /// A control thread with the parts that the roles of the process need.
    ///
    /// `control` are the control VMs that the settings name.
    pub fn new(
        outlet: O,
        receiver: mpsc::Receiver<control::Event>,
        voter: Option<control::Voter>,
        entry: Option<control::EntrySide>,
        control: Vec<(ids::NodeId, net::SocketAddr)>,
    ) -> Self {
        Self {
            outlet,
            receiver,
            voter,
            entry,
            control,
        }
    }

    /// Starts the thread; `ended` is called when it ends, with the error if it failed.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if no thread can be started.
    pub fn start(
        mut self,
        ended: impl FnOnce(Result<(), control::ControlError>) + Send + 'static,
    ) -> std::io::Result<thread::JoinHandle<()>> {
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                let result = self.run();
                ended(result);
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
                next = if handled < BATCH {
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
        let now = time::Instant::now();
        if let Some(voter) = &mut self.voter {
            voter.tick(&self.outlet, now);
            voter.flush(&self.outlet, now)?;
            self.control = voter.addresses();
        }
        let now = time::Instant::now();
        if let Some(entry) = &mut self.entry {
            entry.tick(&self.control, &self.outlet, now);
        }
        let voter = self.voter.as_ref().and_then(control::Voter::next_wake);
        let entry = self.entry.as_ref().and_then(control::EntrySide::next_wake);
        let wake = [voter, entry].into_iter().flatten().min();
        self.outlet.wake_at(wake.unwrap_or(now + IDLE_WAKE));
        Ok(())
    }

    fn handle(&mut self, event: control::Event) {
        let now = time::Instant::now();
        match event {
            control::Event::Timer => {}
            control::Event::RenewalEnded { sent, reply } => {
                if let Some(entry) = &mut self.entry {
                    entry.renewal_ended(reply.map(|reply| *reply), sent, &self.outlet, now);
                }
            }
            control::Event::Announce(announcement) => {
                if let Some(entry) = &mut self.entry {
                    entry.announce(&announcement, &self.outlet, now);
                }
            }
            control::Event::Crash(report) => {
                if let Some(entry) = &mut self.entry {
                    entry.crash(report, now);
                }
            }
            control::Event::Released(server) => {
                if let Some(entry) = &mut self.entry {
                    entry.released(&server, now);
                }
            }
            control::Event::Load(load) => {
                if let Some(entry) = &mut self.entry {
                    entry.set_load(load);
                }
            }
            control::Event::Leave => {
                if let Some(entry) = &mut self.entry {
                    entry.leave(now);
                }
            }
            other => {
                // Without the control role, dropped answers send the asker on.
                if let Some(voter) = &mut self.voter {
                    voter.handle(other, &self.outlet, now);
                }
            }
        }
    }
}

//! Signals of the platform to a process.

use std::io;

use tokio::signal::unix;

/// Installed handlers.
///
/// They are installed before anything else, because a process that is still
/// starting would otherwise be killed by the signal to stop.
pub(super) struct Signals {
    /// The process is to stop.
    pub(super) terminate: unix::Signal,
    /// The settings file has changed.
    pub(super) reload: unix::Signal,
}

impl Signals {
    pub(super) fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: unix::signal(unix::SignalKind::terminate())?,
            reload: unix::signal(unix::SignalKind::hangup())?,
        })
    }
}

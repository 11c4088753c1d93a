//! Signals that the platform sends to a process.

use std::io;

use tokio::signal::unix;

/// Streams of the handled signals.
///
/// They are installed before anything else, because a process that is still
/// starting would otherwise be killed by the signal to stop.
pub(super) struct Signals {
    /// SIGTERM: the process must stop.
    pub(super) terminate: unix::Signal,
    /// SIGHUP: the settings file has changed.
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

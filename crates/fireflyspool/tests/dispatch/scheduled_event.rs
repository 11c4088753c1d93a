//! Events scheduled in a random run.

use fireflyspool::dispatch;

/// Event of the driver or of a backend server.
#[derive(Clone, Debug)]
pub(crate) enum ScheduledEvent {
    /// A backend server finishes an attempt.
    EndRun(u64),
    /// The driver delivers an event about an attempt; its connection closes if not reusable.
    Deliver {
        attempt: u64,
        event: dispatch::Event,
        reusable: bool,
    },
    /// A cancellation reaches the backend server.
    Cancel {
        attempt: u64,
        server: usize,
        process: u64,
    },
    /// A preconnect succeeds or fails.
    Open { server: usize, process: u64 },
    /// The driver's timeout of an attempt expires.
    GiveUp(u64),
    /// The process of a backend server crashes while it runs a request.
    Crash { server: usize, process: u64 },
    /// A restarted backend server is announced.
    Announce { server: usize },
}

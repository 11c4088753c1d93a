//! Things that happen later in a run.

use fireflyspool::dispatch;

/// What happens at its time.
#[derive(Clone, Debug)]
pub(crate) enum Happening {
    /// A backend server ends running an attempt.
    EndRun(u64),
    /// The driver reports something about an attempt and keeps or closes its connection.
    Deliver {
        attempt: u64,
        event: dispatch::Event,
        keeps: bool,
    },
    /// A cancellation reaches the backend server.
    Cancel {
        attempt: u64,
        server: usize,
        process: u64,
    },
    /// A connection opened ahead of need is established.
    Open { server: usize, process: u64 },
    /// The driver gives up on an attempt.
    GiveUp(u64),
    /// The process of a backend server dies under a request.
    Die { server: usize, process: u64 },
    /// A restarted backend server is announced.
    Announce { server: usize },
}

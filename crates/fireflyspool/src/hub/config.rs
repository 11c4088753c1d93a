//! Timing of a hub.

use std::time;

/// Intervals and timeouts of a hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Longest time between two batches to the same hub.
    pub exchange_interval: time::Duration,
    /// Pause before the next batch to a hub after a failed one.
    pub retry_pause: time::Duration,
    /// Silence after which another hub counts as unreachable.
    pub peer_timeout: time::Duration,
    /// Silence after which callers no longer get the address of an entry VM.
    pub member_timeout: time::Duration,
    /// Silence after which a backend server gets no new requests.
    pub server_timeout: time::Duration,
    /// Time for which a hub may lag behind another one before its followers switch to another.
    pub lag_limit: time::Duration,
    /// Longest time for which a poll is held when there is no change to report.
    pub poll_hold: time::Duration,
    /// Time limit for a majority to hold the report of a leaving server.
    pub ack_timeout: time::Duration,
}

impl Config {
    /// Derives the timing from the heartbeat interval of the backend servers.
    pub fn new(heartbeat: time::Duration) -> Self {
        Self {
            exchange_interval: time::Duration::from_secs(1),
            // Allows several tries within `ack_timeout`.
            retry_pause: time::Duration::from_millis(150),
            // Tolerates two lost batches in a row.
            peer_timeout: time::Duration::from_millis(2_200),
            // Tolerates several lost polls in a row; callers try another address meanwhile.
            member_timeout: time::Duration::from_millis(1_800),
            // Tolerates three heartbeats in a row that are lost or reach only unreachable hubs.
            server_timeout: heartbeat * 3 + time::Duration::from_millis(600),
            // Far above the time to replicate an entry, far below that to roll out a configuration.
            lag_limit: time::Duration::from_millis(500),
            poll_hold: time::Duration::from_millis(400),
            // Backend servers wait one second for a reply before they try another control VM.
            ack_timeout: time::Duration::from_millis(800),
        }
    }
}

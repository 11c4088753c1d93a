//! Settings of a hub.

use std::time;

/// Times of a hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Longest time between two batches to the same hub.
    pub exchange_interval: time::Duration,
    /// Pause after a batch that failed.
    pub retry_pause: time::Duration,
    /// Silence after which another hub counts as out of reach.
    pub peer_timeout: time::Duration,
    /// Silence after which an entry VM is no longer named to callers.
    pub member_timeout: time::Duration,
    /// Silence after which a backend server gets no new requests.
    pub server_timeout: time::Duration,
    /// Time for which a hub may lag behind another one before entry VMs leave it.
    pub lag_limit: time::Duration,
    /// Longest time that a poll waits for news.
    pub poll_hold: time::Duration,
    /// Longest time that a leaving server waits for its acknowledgement.
    pub ack_timeout: time::Duration,
}

impl Config {
    /// Times that follow from the heartbeat interval of the backend servers.
    pub fn new(heartbeat: time::Duration) -> Self {
        Self {
            exchange_interval: time::Duration::from_secs(1),
            // Several tries while a leaving server waits.
            retry_pause: time::Duration::from_millis(150),
            // Two lost batches in a row.
            peer_timeout: time::Duration::from_millis(2_200),
            // Several lost polls in a row; callers try another address meanwhile.
            member_timeout: time::Duration::from_millis(1_800),
            // Three heartbeats in a row that are lost or go to hubs out of reach.
            server_timeout: heartbeat * 3 + time::Duration::from_millis(600),
            // Far above the time of a replication, far below that of a configuration.
            lag_limit: time::Duration::from_millis(500),
            poll_hold: time::Duration::from_millis(400),
            // Backend servers wait one second before they try another VM.
            ack_timeout: time::Duration::from_millis(800),
        }
    }
}

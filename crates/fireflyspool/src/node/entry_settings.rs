//! Settings of an entry VM.

use std::{net, time};

use crate::{fleet, ids};

/// Place and limits of an entry VM.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Region.
    pub region: String,
    /// Listeners of some control VMs.
    pub contacts: Vec<net::SocketAddr>,
    /// Limits that all entry VMs share.
    pub limits: fleet::RetryLimits,
    /// Time from the request to stop until the process is killed.
    pub grace: time::Duration,
}

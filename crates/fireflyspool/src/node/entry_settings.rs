//! Settings of an entry VM.

use std::{net, time};

use crate::{fleet, ids, node};

/// Location, address and limits of an entry VM.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Address that accepts requests of callers.
    pub callers: net::SocketAddr,
    /// Address that accepts groups of shards from other entry VMs.
    pub listener: net::SocketAddr,
    /// Availability zone in which the VM runs.
    pub zone: ids::ZoneName,
    /// Region in which the VM runs.
    pub region: String,
    /// JSON-RPC listeners of control VMs; at least one.
    pub contacts: Vec<net::SocketAddr>,
    /// Limits on retries over all entry VMs together.
    pub limits: fleet::RetryLimits,
    /// Bounds of keys and quotas of client accounts.
    pub accounts: node::AccountLimits,
    /// Whether new versions of backend servers are started by rollouts only.
    pub rollouts: bool,
    /// Whether requests are admitted by kind during a shortage of capacity.
    pub ranked: bool,
    /// Grace period: time from the signal to stop until the process is killed.
    pub grace: time::Duration,
}

//! Settings of a control VM.

use std::{net, path, time};

use crate::{ids, rollout};

/// Location, addresses and peers of a control VM.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of the site, recorded in the data folder.
    pub site: String,
    /// JSON-RPC listener for other control and entry VMs.
    pub rpc: net::SocketAddr,
    /// Address for backend servers and operators.
    pub control: net::SocketAddr,
    /// Availability zone in which the VM runs.
    pub zone: ids::ZoneName,
    /// Folder of the replicated log.
    pub data: path::PathBuf,
    /// JSON-RPC listeners of control VMs through which this one finds the others.
    pub contacts: Vec<net::SocketAddr>,
    /// Bounds of rollouts.
    pub rollouts: rollout::Limits,
    /// Whether the site starts for the first time, with the contacts as founding members.
    pub founding: bool,
    /// Interval of the heartbeats of backend servers.
    pub heartbeat: time::Duration,
}

//! Settings of a control VM.

use std::{net, path, time};

use crate::ids;

/// Place and neighbours of a control VM.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of the site, recorded in the data folder.
    pub site: String,
    /// Listener for other processes of the tier.
    pub rpc: net::SocketAddr,
    /// Address for backend servers and operators.
    pub control: net::SocketAddr,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Data folder.
    pub data: path::PathBuf,
    /// Listeners of some control VMs.
    pub contacts: Vec<net::SocketAddr>,
    /// Whether the site starts for the first time, with the contacts as founding members.
    pub founding: bool,
    /// Interval of the heartbeats of backend servers.
    pub heartbeat: time::Duration,
}

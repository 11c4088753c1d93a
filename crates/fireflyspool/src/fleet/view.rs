//! What the control thread publishes to the traffic threads.

use std::{sync, time};

use crate::{configuration, fleet, hub, ids, sorted};

/// Configuration and backend servers as of one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Grows with each published view.
    pub generation: u64,
    /// Configuration in force, if one is known.
    pub table: Option<sync::Arc<configuration::RoutingTable>>,
    /// Backend servers.
    pub servers: sorted::SortedMap<ids::ServerName, fleet::KnownServer>,
    /// Zones taken out.
    pub zones: hub::ZonesOut,
    /// Backend servers that entry VMs together find slow or failing, ascending.
    pub outliers: Vec<ids::ServerName>,
    /// Live entry VMs.
    pub members: usize,
    /// When a control VM that reaches a majority last answered.
    pub confirmed: Option<time::Instant>,
}

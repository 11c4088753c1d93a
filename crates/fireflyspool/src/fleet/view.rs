//! What the control thread publishes to the traffic threads.

use std::{sync, time};

use crate::{configuration, containment, fleet, hub, ids, sorted, state};

/// Immutable snapshot of the configuration, the backend servers and the zones.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Grows with each published view.
    pub generation: u64,
    /// Configuration in force; `None` until the first one arrives.
    pub table: Option<sync::Arc<configuration::RoutingTable>>,
    /// Backend servers by name.
    pub servers: sorted::SortedMap<ids::ServerName, fleet::KnownServer>,
    /// Zones taken out of service.
    pub zones: hub::ZonesOut,
    /// Rollouts by service.
    pub rollouts: state::RolloutTable,
    /// Names of backend servers that all entry VMs together find slow or failing, sorted.
    pub outliers: Vec<ids::ServerName>,
    /// Entry VMs to which groups of shards may be delegated, preferred ones first.
    pub delegates: Vec<hub::Delegate>,
    /// Crashes of backend servers by content of the requests.
    pub contents: sync::Arc<containment::Ledger>,
    /// Number of live entry VMs.
    pub members: usize,
    /// When a control VM that reaches a quorum last replied; `None` until then.
    pub confirmed: Option<time::Instant>,
    /// Boot time before which every acknowledged configuration is in this view; `None` if that
    /// is not known of any time.
    pub authority: Option<time::Duration>,
}

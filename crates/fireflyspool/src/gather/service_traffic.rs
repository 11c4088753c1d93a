//! What an entry VM observes of one service.

use crate::gather;

/// Loads of the owners and times of the sub-requests of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceTraffic {
    /// Own outstanding sub-requests and reported queues by owner.
    pub loads: gather::OwnerLoads,
    /// Times of answered sub-requests.
    pub latencies: gather::LatencyWindow,
}

//! Figures of a dispatcher for metrics.

/// Current figures of one dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Sub-requests that wait.
    pub waiting: usize,
    /// Attempts that hold a permit.
    pub running: usize,
    /// Permits of all backend servers that may receive work, by slots and ramp.
    pub permits: usize,
    /// Connections open or being opened.
    pub connections: usize,
    /// Backend servers in use, leaving ones included.
    pub servers: usize,
    /// Backend servers in slow start.
    pub warming: usize,
    /// Backend servers that are ejected.
    pub ejected: usize,
    /// Contents suspected of crashing backend servers.
    pub suspects: usize,
}

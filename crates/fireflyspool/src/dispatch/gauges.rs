//! Metrics of a dispatcher.

/// Current values of one dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Sub-requests that wait for a permit.
    pub waiting: usize,
    /// Attempts that hold a permit.
    pub running: usize,
    /// Permits of all usable backend servers, as slots and slow start allow.
    pub permits: usize,
    /// Connections that are open or being opened.
    pub connections: usize,
    /// Backend servers of this owner, leaving ones included.
    pub servers: usize,
    /// Backend servers in slow start.
    pub warming: usize,
    /// Backend servers that are ejected.
    pub ejected: usize,
    /// Requests that this owner suspects of crashing backend servers, by fingerprint.
    pub suspects: usize,
}

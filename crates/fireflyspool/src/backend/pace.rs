//! Pace of a backend server.

/// How fast a backend server works at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Requests that it runs at a time; above zero.
    pub slots: u32,
    /// Time that work takes in percent of the normal one; above zero.
    pub percent: u32,
}

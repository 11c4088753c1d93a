//! State of a warm backend server.

/// The server may run as many requests at once as it has slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Serving;

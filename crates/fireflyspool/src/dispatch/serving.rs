//! State of a warm backend server.

/// The server receives as many requests as it has slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Serving;

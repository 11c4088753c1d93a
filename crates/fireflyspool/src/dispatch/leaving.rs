//! State of a backend server that is given up.

/// What runs there is finished; nothing new is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving;

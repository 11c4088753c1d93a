//! State of a backend server that is being released.

/// Running attempts finish; no new ones are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving;

//! What a relay does to its connections.

use std::time;

use super::random::Random;

/// Fault of all connections through one relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// Everything is passed on later.
    Delay(time::Duration),
    /// Nothing reaches the server.
    CutThere,
    /// Nothing reaches the client.
    CutBack,
    /// Connections are reset, new ones too.
    Reset,
}

impl Fault {
    pub(crate) fn draw(random: &mut Random) -> Self {
        match random.below(4) {
            0 => Self::Delay(random.millis(20, 300)),
            1 => Self::CutThere,
            2 => Self::CutBack,
            _ => Self::Reset,
        }
    }
}

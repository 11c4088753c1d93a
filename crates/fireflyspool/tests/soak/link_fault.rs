//! What a relay does to its connections.

use std::time;

use super::random::Random;

/// LinkFault of all connections through one relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkFault {
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

impl LinkFault {
    pub(crate) fn draw(random: &mut Random) -> Self {
        match random.below(4) {
            0 => Self::Delay(random.millis(20, 300)),
            1 => Self::CutThere,
            2 => Self::CutBack,
            _ => Self::Reset,
        }
    }
}

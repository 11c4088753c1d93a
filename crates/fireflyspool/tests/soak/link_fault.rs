//! Faults that a relay injects into its connections.

use std::time;

use super::random::Random;

/// Fault of all connections through one relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkFault {
    None,
    /// Bytes are forwarded after this delay.
    Delay(time::Duration),
    /// Bytes to the server are dropped.
    DropToServer,
    /// Bytes to the client are dropped.
    DropToClient,
    /// Existing and new connections are reset.
    Reset,
}

impl LinkFault {
    pub(crate) fn draw(random: &mut Random) -> Self {
        match random.below(4) {
            0 => Self::Delay(random.millis(20, 300)),
            1 => Self::DropToServer,
            2 => Self::DropToClient,
            _ => Self::Reset,
        }
    }
}

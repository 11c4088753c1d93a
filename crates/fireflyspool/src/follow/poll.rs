//! A poll to send.

use std::net;

use crate::hub;

/// Poll and the control VM that it goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Poll {
    /// Listener of the control VM.
    pub hub: net::SocketAddr,
    /// The poll.
    pub request: hub::FollowRequest,
}

//! Poll to send to a control VM.

use std::net;

use crate::hub;

/// Poll with the address of the control VM to send it to.
#[derive(Clone, Debug, PartialEq)]
pub struct Poll {
    /// Listener of the control VM.
    pub hub: net::SocketAddr,
    /// Content of the poll.
    pub request: hub::FollowRequest,
}

//! Answer of another hub that shows which configurations its log holds.

use std::time;

use crate::hub;

/// End of the log of another VM as it was at some time after the batch was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Proof {
    /// Boot time of this VM when it sent the batch.
    pub(super) sent: time::Duration,
    /// End of the log that the answer stated.
    pub(super) tail: hub::LogTail,
}

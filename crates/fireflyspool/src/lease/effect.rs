//! What follows from a reply.

/// What the driver must do after a reply was handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effect {
    /// The view has changed and is to be published before the next request is made.
    pub publish: bool,
    /// The next renewal is due now.
    pub renew: bool,
}

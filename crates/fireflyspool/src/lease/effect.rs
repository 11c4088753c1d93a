//! Actions after a reply.

/// Actions that the driver must take after [`crate::lease::Holder::reply`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effect {
    /// Publish the view before the next request is created.
    pub publish: bool,
    /// Send the next renewal at once.
    pub renew: bool,
}

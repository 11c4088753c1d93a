//! Result of the authorization of a request.

use crate::access;

/// Whether a request may run.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The route needs no key.
    NotNeeded,
    /// The request runs for an account.
    Allowed(access::Grant),
    /// The request carries no key of an account.
    Unauthorized(access::Cause),
    /// The view is too old to tell; a later request, or one to another entry VM, may run.
    Unsure(access::Cause),
}

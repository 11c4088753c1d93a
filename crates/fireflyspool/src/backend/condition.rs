//! What a backend server states about itself in a response.

use std::time;

use crate::backend;

/// Load of a backend server, and whether it asks for fewer requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Condition {
    /// Running and queued requests; `None` if it gave none.
    pub load: Option<backend::Load>,
    /// Its pace; `None` if it states none.
    pub pace: Option<backend::Pace>,
    /// Whether it is about to shut down and wants no new requests.
    pub leaving: bool,
    /// Time for which it wants no requests; `None` if it accepts them.
    pub pause: Option<time::Duration>,
}

//! Crash warning for one request content.

use std::time;

use crate::{ids, sorted};

/// Backend servers that crashed under a content, and the expiry of the warning.
#[derive(Clone, Debug)]
pub(super) struct Warning {
    /// Set of crashed incarnations.
    pub(super) crashed: sorted::SortedMap<(ids::ServerName, ids::Incarnation), ()>,
    pub(super) until: time::Instant,
}

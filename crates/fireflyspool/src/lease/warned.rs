//! Deaths under one content.

use std::time;

use crate::{ids, sorted};

/// Processes that died under a content, with the end of the warning.
#[derive(Clone, Debug)]
pub(super) struct Warned {
    pub(super) dead: sorted::SortedMap<(ids::ServerName, ids::Incarnation), ()>,
    pub(super) until: time::Instant,
}

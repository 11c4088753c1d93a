//! Crashes under one content.

use std::time;

use crate::{ids, sorted};

/// Processes that a content crashed, with the end of the warning.
#[derive(Clone, Debug)]
pub(super) struct Warned {
    pub(super) crashed: sorted::SortedMap<(ids::ServerName, ids::Incarnation), ()>,
    pub(super) until: time::Instant,
}

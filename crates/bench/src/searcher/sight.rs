//! State of a searcher as others read it.

use fireflyspool::{backend, ids};

use crate::searcher;

/// Everything that can be read from a searcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Sight {
    /// Incarnation.
    pub incarnation: ids::Incarnation,
    /// Load as reported.
    pub load: backend::Load,
    /// Health as reported.
    pub healthy: bool,
    /// Behaviour in force.
    pub behaviour: searcher::Behaviour,
    /// Counters.
    pub counters: searcher::Counters,
}

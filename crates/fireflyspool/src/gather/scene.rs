//! What a decision of a query depends on besides the query.

use std::time;

use crate::{gather, view};

/// Surroundings of one event.
pub(super) struct Scene<'a> {
    pub(super) view: &'a view::View,
    pub(super) budgets: &'a mut gather::Budgets,
    pub(super) now: time::Instant,
    pub(super) entropy: gather::entropy::Entropy,
}

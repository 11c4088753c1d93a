//! Inputs of a decision besides the query itself.

use std::time;

use crate::{gather, view};

/// View, shared state, time and randomness for handling one event.
pub(super) struct Context<'a> {
    pub(super) view: &'a view::View,
    pub(super) budgets: &'a mut gather::Budgets,
    pub(super) now: time::Instant,
    pub(super) entropy: gather::split_mix64::SplitMix64,
}
